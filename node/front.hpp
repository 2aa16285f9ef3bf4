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
    virtual void op_received(StreamRef ref, OpId id, OpTypeId type, TenantId tenant, CallerId caller,
                             Nanos received_at, Nanos limit, double held_kb, double rank,
                             std::string_view mark, std::string_view subject, std::string_view body) = 0;
    virtual void stream_lost(StreamRef ref) = 0; // its answer can't be delivered any more
  };
  struct Names { // by their ids; which op types carry a mark, and whether patience is told
    std::vector<std::string> op_types;
    std::vector<bool> keyed;
    std::vector<std::string> tenants;
    bool tells_patience = false;
  };

  Front(asio::io_context& io, const std::string& listen, std::size_t max_connections,
        std::size_t max_pending_bytes, Names names, Handler& handler);

  // The final answers; each line takes one.
  void served(StreamRef ref, std::string result);
  void refused(StreamRef ref, Nanos retry_after, bool no_retry);
  void failed(StreamRef ref);

  void health(bool good) { healthy_ = good; }
  void feedback(double value) { feedback_ = value; }
  void set_idle_timeout(Nanos after) { idle_timeout_ = after; }
  void silent_connection_timeout(Nanos after) { silence_timeout_ = after; }
  void frame_timeout(Nanos time) { frame_timeout_ = time; }
  void write_stall_timeout(Nanos time) { write_stall_timeout_ = time; }
  void set_eviction_order(std::vector<Eviction> order, int max_invalid_ops) {
    eviction_order_ = std::move(order);
    max_invalid_ops_ = max_invalid_ops;
  }
  // Its op is none that a caller would send: too many of them, and its connection ends.
  void penalize(StreamRef ref);
  void connection_drain_delay(Nanos time) { drain_delay_ = time; }
  void accept_retry_delay(Nanos rest) { accept_retry_delay_ = rest; }
  void stop_accepting();
  bool closed() const { return stopped_accepting_ && connections_.empty() && lingering_.empty(); }
  void flush(Nanos now); // one gathered write for each connection with something to say

  std::size_t connections() const { return connections_.size(); }
  std::size_t pending_bytes() const {
    return pending_bytes_;
  } // bytes for which there is no room at their peers

 private:
  struct Connection {
    Connection(asio::ip::tcp::socket s, ConnectionId i) : socket(std::move(s)), id(i) {}
    asio::ip::tcp::socket socket;
    ConnectionId id;
    std::unique_ptr<char[]> input;
    std::size_t filled = 0;
    std::size_t skip_bytes = 0; // bytes to come of a frame that is too large to keep
    std::deque<std::string> output;
    std::size_t written = 0;       // of the first of them
    std::size_t pending_bytes = 0; // bytes to write
    std::set<StreamId> open_streams;
    StreamId used_through;         // all streams to it have been used
    std::set<StreamId> used_above; // those above it, the highest ones
    Nanos last_activity = 0;       // something whole was read, or answered
    Nanos frame_began = 0;         // waits since then for the rest of a frame, or for its first
    bool received_frame = false;   // has brought a whole frame
    int invalid_ops = 0;           // in a row
    int frames_after_drain = 0;    // frames read past the time to end
    Nanos write_blocked_since = 0; // while there is no room for what waits
    Nanos draining_since = -1;     // told that it takes no new op; -1: not told
    bool read_pending = false;     // a wait for bytes is out
    bool write_pending = false;    // a wait for room is out
    bool input_ignored = false;    // what comes is not read as frames any more
    bool peer_closed = false;      // it sends no more
    bool dirty = false;
  };

  // A connection on which all is said: our side is shut, and what still comes is read and dropped, so that no
  // reset takes what the peer has yet to read. Nothing of it is taken for an op: that it was never read is
  // the caller's proof.
  struct Lingering {
    Lingering(asio::ip::tcp::socket s, Nanos n) : socket(std::move(s)), since(n) {}
    asio::ip::tcp::socket socket;
    Nanos since;
  };

  void accept();
  asio::error_code accept_pending(int most);
  bool evict_one();
  bool is_idle(const Connection& c) const;
  void wait_readable(Connection& c);
  void on_readable(Connection& c);
  void parse_frames(Connection& c);
  bool handle_frame(Connection& c, std::uint8_t type, StreamId stream, std::string_view payload, bool whole);
  bool handle_request(Connection& c, StreamId stream, std::string_view payload, bool whole);
  bool claim_stream(Connection& c, StreamId stream);
  bool reject_input(Connection& c, const char* reason); // false: nothing more is read
  template <class Put>
  void enqueue(Connection& c, Put put);
  void mark_dirty(Connection& c);
  Connection* take_stream(StreamRef ref);
  void send_go_away(Connection& c);
  void write_output(Connection& c);
  void remove(Connection& c, const char* reason);
  void close_gracefully(Connection& c);
  void drain_lingering(std::uint64_t number);
  void check_timeouts();
  bool refuse_request(Connection& c, StreamId stream, const char* reason); // true: reading goes on
  bool may_close(const Connection& c) const;

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_timer_;
  std::size_t max_connections_;
  std::size_t max_pending_bytes_;
  Names names_;
  Handler& handler_;
  std::map<ConnectionId, std::unique_ptr<Connection>> connections_;
  std::map<std::uint64_t, Lingering> lingering_; // in the order in which they began to end
  std::uint64_t next_lingering_ = 1;
  std::vector<ConnectionId> dirty_;
  std::uint64_t next_connection_ = 1;
  std::size_t pending_bytes_ = 0; // bytes to write, in all
  Nanos now_ = 0;
  Nanos swept_at_ = 0;
  Nanos idle_timeout_ = 0; // 0: connections may stay silent
  Nanos silence_timeout_ = 0;
  Nanos drain_delay_ = 0;
  Nanos frame_timeout_ = 0;
  Nanos write_stall_timeout_ = 0;
  std::vector<Eviction> eviction_order_;
  int max_invalid_ops_ = 0;
  Nanos accept_retry_delay_ = 0;
  double feedback_ = -1;
  bool healthy_ = true;
  bool accepting_ = false;
  bool stopped_accepting_ = false;
};

} // namespace cometshift
