// The listener and the balancers' connections. Owns both, every byte not yet read or written, and which
// streams are open; it is a seam: another protocol would stand here and hand over the same ops.
#pragma once

#include "interface.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cometshift {

class Front {
 public:
  // What comes in. `received_at` and `limit` are Unix time and a span; limit 0, empty texts: not told. The
  // views hold until the call returns.
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void op_received(StreamRef line, OpId id, OpTypeId type, TenantId tenant, CallerId caller,
                             Nanos received_at, Nanos limit, double held_kb, double rank,
                             std::string_view mark, std::string_view subject, std::string_view body) = 0;
    virtual void stream_lost(StreamRef line) = 0; // its answer can't be delivered any more
  };
  struct Names { // by their ids; which op types carry a mark, and whether patience is told
    std::vector<std::string> op_types;
    std::vector<bool> marked;
    std::vector<std::string> tenants;
    bool tells_patience = false;
  };

  Front(asio::io_context& io, const std::string& listen, std::size_t most_connections,
        std::size_t most_waiting, Names names, Handler& taker);

  // The final answers; each line takes one.
  void served(StreamRef line, std::string result);
  void refused(StreamRef line, Nanos retry_after, bool no_retry);
  void failed(StreamRef line);

  void health(bool good) { good_ = good; }
  void feedback(double value) { feedback_ = value; }
  void set_idle_timeout(Nanos after) { idle_ = after; }
  void silent_connection_timeout(Nanos after) { silent_ = after; }
  void frame_timeout(Nanos time) { first_word_ = time; }
  void write_stall_timeout(Nanos time) { unread_ = time; }
  void set_eviction_order(std::vector<Eviction> order, int max_invalid_ops) {
    order_ = std::move(order);
    most_penalties_ = max_invalid_ops;
  }
  // Its op is none that a caller would send: too many of them, and its connection ends.
  void penalize(StreamRef line);
  void connection_drain_delay(Nanos time) { leave_to_end_ = time; }
  void accept_retry_delay(Nanos rest) { accept_again_ = rest; }
  void stop_accepting();
  bool closed() const { return stopped_accepting_ && connections_.empty() && endings_.empty(); }
  void flush(Nanos now); // one gathered write for each connection with something to say

  std::size_t connections() const { return connections_.size(); }
  std::size_t waiting() const { return waiting_; } // bytes for which there is no room at their peers

 private:
  struct Connection {
    Connection(asio::ip::tcp::socket s, ConnectionId i) : socket(std::move(s)), id(i) {}
    asio::ip::tcp::socket socket;
    ConnectionId id;
    std::unique_ptr<char[]> in;
    std::size_t filled = 0;
    std::size_t skip = 0; // bytes to come of a frame that is too large to keep
    std::deque<std::string> out;
    std::size_t written = 0; // of the first of them
    std::size_t waiting = 0; // bytes to write
    std::set<StreamId> open;
    StreamId used_to;           // all streams to it have been used
    std::set<StreamId> used;    // those above it, the highest ones
    Nanos last = 0;             // something whole was read, or answered
    Nanos begun = 0;            // waits since then for the rest of a frame, or for its first
    bool heard = false;         // has brought a whole frame
    int penalties = 0;          // in a row
    int past_end = 0;           // frames read past the time to end
    Nanos stuck_since = 0;      // while there is no room for what waits
    Nanos draining_since = -1;  // told that it takes no new op; -1: not told
    bool reading = false;       // a wait for bytes is out
    bool writing = false;       // a wait for room is out
    bool input_ignored = false; // what comes is not read as frames any more
    bool peer_ended = false;    // it sends no more
    bool dirty = false;
  };

  // A connection on which all is said: our side is shut, and what still comes is read and dropped, so that no
  // reset takes what the peer has yet to read. Nothing of it is taken for an op: that it was never read is
  // the caller's proof.
  struct Ending {
    Ending(asio::ip::tcp::socket s, Nanos n) : socket(std::move(s)), since(n) {}
    asio::ip::tcp::socket socket;
    Nanos since;
  };

  void accept();
  asio::error_code accept_some(int most);
  bool make_room();
  bool spare(const Connection& c) const;
  void await_bytes(Connection& c);
  void readable(Connection& c);
  void parse(Connection& c);
  bool frame(Connection& c, std::uint8_t type, StreamId stream, std::string_view payload, bool whole);
  bool ask(Connection& c, StreamId stream, std::string_view payload, bool whole);
  bool use_stream(Connection& c, StreamId stream);
  bool unreadable(Connection& c, const char* why); // false: nothing more is read
  template <class Put>
  void say(Connection& c, Put put);
  void mark(Connection& c);
  Connection* settle(StreamRef line);
  void tell_no_more(Connection& c);
  void write(Connection& c);
  void drop(Connection& c, const char* why);
  void end(Connection& c);
  void linger(std::uint64_t number);
  void sweep();
  bool refuse(Connection& c, StreamId stream, const char* why); // true: reading goes on
  bool over(const Connection& c) const;

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_;
  std::size_t most_connections_;
  std::size_t most_waiting_;
  Names names_;
  Handler& taker_;
  std::map<ConnectionId, std::unique_ptr<Connection>> connections_;
  std::map<std::uint64_t, Ending> endings_; // in the order in which they began to end
  std::uint64_t next_ending_ = 1;
  std::vector<ConnectionId> dirty_;
  std::uint64_t next_ = 1;
  std::size_t waiting_ = 0; // bytes to write, in all
  Nanos now_ = 0;
  Nanos swept_at_ = 0;
  Nanos idle_ = 0; // 0: connections may stay silent
  Nanos silent_ = 0;
  Nanos leave_to_end_ = 0;
  Nanos first_word_ = 0;
  Nanos unread_ = 0;
  std::vector<Eviction> order_;
  int most_penalties_ = 0;
  Nanos accept_again_ = 0;
  double feedback_ = -1;
  bool good_ = true;
  bool accepting_ = false;
  bool stopped_accepting_ = false;
};

} // namespace cometshift
