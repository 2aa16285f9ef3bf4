// Sockets between the servers of a fleet: a listener for the connections that others dial, and at most one
// outgoing connection to each member. Owns the sockets and all bytes that are not yet read or written. Which
// members are dialled and what is sent is decided elsewhere (peers.hpp). An incoming connection is closed
// when no hello arrives within 2 s, when its hello names another fleet, another recipient or an unlisted
// sender, or when it sends invalid frames.
//
// Bounds: two incoming connections for each member and some spare ones; beyond that the one that was idle
// longest is closed. Of each, at most 16 KiB are read at a time, and at most one partial message is kept.
// Each outgoing connection keeps at most one frame. Errors: the constructor throws std::invalid_argument if
// it can't listen on the address.
#pragma once

#include "peer_codec.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace cometshift {

// The listener and the connections of one member.
class Links {
 public:
  // Receives the events of the connections.
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void connected(MemberId to) = 0; // the hello was written, and `send` may be called
    virtual void written(MemberId to) = 0;   // the frame was written, and the next may be sent
    virtual void broken(MemberId to) = 0;    // dialling failed, or the connection has ended
    // The payload of a message frame; the view is valid until the call returns. False: the payload is
    // invalid, and the connection is closed.
    virtual bool message(const peer_codec::Sender& sender, std::string_view payload) = 0;
    // A member of this fleet that is not listed has connected. True: the handler has listed it by `add`.
    virtual bool accept_unlisted(const peer_codec::Sender&) { return false; }
    virtual void log_event(std::string_view text) = 0; // writes to the log
  };
  using Tcp = asio::ip::tcp;

  Links(asio::io_context& io, Tcp::endpoint listen, peer_codec::Sender self,
        std::map<MemberId, Tcp::endpoint> others, Handler& handler);
  ~Links();

  // Lists another member, or changes the endpoint of a listed one from the next dial on.
  void add(MemberId member, Tcp::endpoint at);
  void remove(MemberId member); // closes its connections in both directions; no event of it follows

  void dial(MemberId to);       // no effect if it is not listed
  void disconnect(MemberId to); // closes the outgoing connection; no event of it follows
  // Writes a frame, after `connected` or the `written` of the frame before. No effect without a connection.
  void send(MemberId to, std::string frame);
  void close(); // closes all sockets permanently

  // The number of open incoming connections.
  std::size_t incoming() const { return incoming_.size(); }

 private:
  struct Outgoing {
    explicit Outgoing(asio::io_context& io) : socket(io) {}
    Tcp::socket socket;
    std::string frame;  // the hello or the frame that is being written
    char discarded[64]; // the other side sends nothing on this connection; a read only detects its end
  };
  struct Incoming {
    explicit Incoming(Tcp::socket s, asio::io_context& io) : socket(std::move(s)), timer(io) {}
    Tcp::socket socket;
    asio::steady_timer timer; // limits the wait for its hello
    std::string buffer;
    peer_codec::Sender sender;
    std::uint64_t number = 0;    // key in incoming_
    bool identified = false;     // its hello was accepted
    std::uint64_t last_read = 0; // sequence number of its last read
  };
  using OutgoingPtr = std::shared_ptr<Outgoing>;

  void accept();
  void accept_pending();
  void read(const std::shared_ptr<Incoming>& incoming);
  void close_incoming(const std::shared_ptr<Incoming>& incoming, const char* reason);
  void evict_oldest();
  void close_superseded(const Incoming& newer);
  bool parse(Incoming& incoming, const char*& reason);
  void watch_for_close(MemberId to, const OutgoingPtr& outgoing);
  void outgoing_closed(MemberId to, const OutgoingPtr& outgoing);
  bool is_current(MemberId to, const OutgoingPtr& outgoing) const;
  std::size_t max_incoming() const;

  asio::io_context& io_;
  Tcp::acceptor acceptor_;
  asio::steady_timer retry_; // accepts again after a failure
  peer_codec::Sender self_;
  std::map<MemberId, Tcp::endpoint> others_;
  Handler& handler_;
  std::map<MemberId, OutgoingPtr> outgoing_;
  std::map<std::uint64_t, std::shared_ptr<Incoming>> incoming_;    // by number
  std::set<std::pair<std::uint64_t, std::uint64_t>> by_last_read_; // last_read and number
  std::map<MemberId, std::set<std::uint64_t>> by_sender_;          // numbers of identified connections
  std::string read_buffer_;                                        // shared by all connections for one read
  std::uint64_t next_number_ = 1, reads_ = 0;
  bool closed_ = false;
};

} // namespace cometshift
