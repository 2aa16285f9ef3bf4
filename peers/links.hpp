// The sockets between the servers of a fleet: a listener for those that others dial, and at most one
// connection out to each member. Owns them and every byte not yet read or written; decides nothing
// (peers.hpp does). What names another fleet, another member or nobody, or speaks no messages, is closed.
//
// Bounds: connections in, two for each member and some, of which the one that was silent longest makes room;
// of each at most one message is kept; in one turn one read of each. Errors: the constructor throws
// std::invalid_argument where the address can't be listened on.
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

class Links {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void connected(MemberId to) = 0;
    virtual void written(MemberId to) = 0;
    virtual void broken(MemberId to) = 0;
    // The payload of a message's frame; the view holds until the call returns. False: it is none, and its
    // connection ends.
    virtual bool message(const peer_codec::Sender& sender, std::string_view payload) = 0;
    // One of this fleet that is not listed wants to speak. True: it was listed meanwhile by `add`.
    virtual bool accept_unlisted(const peer_codec::Sender&) { return false; }
    virtual void log_event(std::string_view text) = 0; // for the log
  };
  using Tcp = asio::ip::tcp;

  Links(asio::io_context& io, Tcp::endpoint listen, peer_codec::Sender self,
        std::map<MemberId, Tcp::endpoint> others, Handler& handler);
  ~Links();

  // Who else is listed, while this one lives. Another endpoint of one that is listed serves from the next
  // dial.
  void add(MemberId member, Tcp::endpoint at);
  void remove(MemberId member); // hangs up, and hears it no more; nothing of it follows

  void dial(MemberId to); // nothing where it is not listed
  void disconnect(MemberId to);
  void send(MemberId to, std::string frame);
  void close(); // everything, for good

  std::size_t incoming() const { return incoming_.size(); }

 private:
  struct Outgoing {
    explicit Outgoing(asio::io_context& io) : socket(io) {}
    Tcp::socket socket;
    std::string frame;
    char discarded[64]; // nothing comes on it but its end
  };
  struct Incoming {
    explicit Incoming(Tcp::socket s, asio::io_context& io) : socket(std::move(s)), timer(io) {}
    Tcp::socket socket;
    asio::steady_timer timer; // for its first word
    std::string buffer;
    peer_codec::Sender sender;
    std::uint64_t number = 0;
    bool identified = false;     // it has said who it is
    std::uint64_t last_read = 0; // by order: the one that was heard last has the greatest
  };
  using OutgoingPtr = std::shared_ptr<Outgoing>;

  void accept();
  void accept_all();
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
  asio::steady_timer retry_;
  peer_codec::Sender self_;
  std::map<MemberId, Tcp::endpoint> others_;
  Handler& handler_;
  std::map<MemberId, OutgoingPtr> outgoing_;
  std::map<std::uint64_t, std::shared_ptr<Incoming>> incoming_;    // by number
  std::set<std::pair<std::uint64_t, std::uint64_t>> by_last_read_; // with their numbers
  std::map<MemberId, std::set<std::uint64_t>> by_sender_;          // the numbers of those that are known
  std::string read_buffer_; // what is read, before it is a connection's
  std::uint64_t next_number_ = 1, reads_ = 0;
  bool closed_ = false;
};

} // namespace cometshift
