// The balancers' connections and their listener. Owns both, their input and output buffers, and the set of
// open streams. The wire protocol is confined to this class: for another protocol only its code changes, and
// it delivers the same ops.
#pragma once

#include "clock.hpp"
#include "interface.hpp"
#include "listener.hpp"

#include <asio/ip/tcp.hpp>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cometshift {

// Accepts connections, decodes requests into ops and writes the responses.
class Front : Listener::Handler {
 public:
  // Receives ops and lost streams. `received_at` is Unix time and `limit` the caller's time limit, both in
  // ns; `held_kb` is the memory and `rank` the rank, in [0, 1), that the request states; `mark` is its
  // idempotency key and `subject` the item it concerns. A limit of 0 and empty texts mean that the request
  // doesn't state them. Views are valid until the call returns.
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void op_received(StreamRef ref, OpId id, OpTypeId type, TenantId tenant, CallerId caller,
                             Nanos received_at, Nanos limit, double held_kb, double rank,
                             std::string_view mark, std::string_view subject, std::string_view body) = 0;
    // The connection of an open stream ended; its response can't be delivered any more.
    virtual void stream_lost(StreamRef ref) = 0;
  };
  // Names of op types and tenants, indexed by their ids.
  struct Names {
    std::vector<std::string> op_types;
    std::vector<bool> keyed; // op types whose requests carry an idempotency key
    std::vector<std::string> tenants;
    bool limit_required = false; // requests state the caller's time limit
  };

  // Listens on the address `listen`; throws std::invalid_argument if that fails. While the unwritten output
  // of all connections exceeds `max_pending_bytes`, those with the most of it are closed. `clock` is read for
  // each event of a connection and at each flush().
  Front(asio::io_context& io, const std::string& listen, std::size_t max_connections,
        std::size_t max_pending_bytes, Names names, Clock& clock, Handler& handler);

  // The final responses; each stream takes one, further ones are ignored.
  void served(StreamRef ref, std::string result);
  void refused(StreamRef ref, Nanos retry_after, bool no_retry);
  void failed(StreamRef ref);

  // Reported in health responses.
  void health(bool good) { healthy_ = good; }
  // The value that every response carries from now on; negative: none.
  void feedback(double value) { feedback_ = value; }
  // A connection that has been idle, without open streams, for this time is sent go_away; 0: no limit.
  void set_idle_timeout(Nanos after) { idle_timeout_ = after; }
  // A second limit of the same kind, meant for connections whose peer disappeared without closing them. The
  // shorter of the two applies to every connection; 0: no limit.
  void silent_connection_timeout(Nanos after) { silence_timeout_ = after; }
  // Bounds the time to the first frame of a connection, and from the first to the last byte of a frame.
  void frame_timeout(Nanos time) { frame_timeout_ = time; }
  // A connection whose output makes no progress for this long is closed.
  void write_stall_timeout(Nanos time) { write_stall_timeout_ = time; }
  // `order`: which connections to close first when the connection table is full. `max_invalid_ops`: the
  // number of invalid ops without a served op between them at which a connection's input is rejected.
  void set_eviction_order(std::vector<Eviction> order, int max_invalid_ops) {
    eviction_order_ = std::move(order);
    max_invalid_ops_ = max_invalid_ops;
  }
  // Counts an invalid op, one that a correct caller never sends, against the connection it came from.
  void penalize(StreamRef ref);
  // Time between go_away and the close of a connection, and the longest time that a closed one lingers.
  void connection_drain_delay(Nanos time) { drain_delay_ = time; }
  // Delay after a failed accept, such as when no descriptor is free.
  void accept_retry_delay(Nanos delay) { listener_.set_retry_delay(delay); }
  // Accepts the connections that are pending, some with each call, then closes the listener. Sends go_away on
  // all connections. Called once in each turn from the first call on.
  void stop_accepting();
  // No longer accepting, and every connection has ended.
  bool closed() const { return listener_.closed() && connections_.empty() && lingering_.empty(); }
  // Ends a turn: checks timeouts and writes the pending output of each connection.
  void flush();

  std::size_t connections() const { return connections_.size(); }
  // Output that the peers have not taken yet, over all connections.
  std::size_t pending_bytes() const { return pending_bytes_; }

 private:
  struct Connection {
    Connection(asio::ip::tcp::socket s, ConnectionId i) : socket(std::move(s)), id(i) {}
    asio::ip::tcp::socket socket;
    ConnectionId id;
    std::unique_ptr<char[]> input;
    std::size_t filled = 0;
    std::size_t skip_bytes = 0; // still to be discarded, of a frame that is too large to buffer
    std::deque<std::string> output;
    std::size_t written = 0;       // bytes of output.front() that are already written
    std::size_t pending_bytes = 0; // unwritten output
    std::set<StreamId> open_streams;
    StreamId used_through;         // all stream numbers up to this one have been used
    std::set<StreamId> used_above; // used stream numbers above used_through; only the highest are kept
    Nanos last_activity = 0;       // last complete frame received or response queued
    // Since when the first frame, or the rest of a partly received one, is awaited; -1: neither.
    Nanos frame_began = 0;
    bool received_frame = false;   // at least one complete frame was received
    int invalid_ops = 0;           // since the last op that was served
    int frames_after_drain = 0;    // frames received after the drain delay
    Nanos write_blocked_since = 0; // valid while write_pending
    Nanos draining_since = -1;     // when go_away was queued; -1: not yet
    bool read_pending = false;     // an asynchronous wait for input is in progress
    bool write_pending = false;    // an asynchronous wait for buffer space is in progress
    bool input_ignored = false;    // input is discarded instead of parsed
    bool peer_closed = false;      // the peer has shut down its sending side
    bool dirty = false;            // in dirty_
  };

  // A connection whose output is complete: the sending side is shut down, and further input is read and
  // discarded. Closing at once with unread input would send a reset, which could destroy responses that the
  // peer has not read yet. Discarded input is never executed as an op; callers rely on this.
  struct Lingering {
    Lingering(asio::ip::tcp::socket s, Nanos n) : socket(std::move(s)), since(n) {}
    asio::ip::tcp::socket socket;
    Nanos since;
  };

  // Events of the listener
  void accepted(asio::ip::tcp::socket socket) override;
  void free_descriptor() override;
  bool may_free_descriptor() const override;

  bool evict_one();
  bool is_idle(const Connection& c) const;
  void wait_readable(Connection& c);
  static bool was_reset(Connection& c);
  void on_readable(Connection& c);
  void parse_frames(Connection& c, Nanos read_at);
  bool handle_frame(Connection& c, Nanos read_at, std::uint8_t type, StreamId stream,
                    std::string_view payload, bool whole);
  bool handle_request(Connection& c, StreamId stream, std::string_view payload, bool whole);
  bool claim_stream(Connection& c, StreamId stream);
  bool reject_input(Connection& c, const char* reason); // returns false: stop parsing
  template <class Put>
  void enqueue(Connection& c, Put put);
  void mark_dirty(Connection& c);
  Connection* take_stream(StreamRef ref);
  void send_go_away(Connection& c);
  void write_output(Connection& c);
  void remove(Connection& c, const char* reason);
  void close_gracefully(Connection& c);
  void drain_lingering(std::uint64_t number);
  void check_timeouts(Nanos now);
  bool refuse_request(Connection& c, StreamId stream, const char* reason); // returns true: go on parsing
  bool may_close(const Connection& c, Nanos now) const;

  std::size_t max_connections_;
  std::size_t max_pending_bytes_;
  Names names_;
  Clock& clock_;
  Handler& handler_;
  std::map<ConnectionId, std::unique_ptr<Connection>> connections_;
  std::map<std::uint64_t, Lingering> lingering_; // the oldest first
  std::uint64_t next_lingering_ = 1;
  std::vector<ConnectionId> dirty_; // have output that the next flush() is to write
  std::uint64_t next_connection_ = 1;
  std::size_t pending_bytes_ = 0; // unwritten output of all connections
  Nanos timeouts_checked_at_ = 0;
  Nanos idle_timeout_ = 0; // 0: no limit
  Nanos silence_timeout_ = 0;
  Nanos drain_delay_ = 0;
  Nanos frame_timeout_ = 0;
  Nanos write_stall_timeout_ = 0;
  std::vector<Eviction> eviction_order_;
  int max_invalid_ops_ = 0;
  double feedback_ = -1;
  bool healthy_ = true;
  Nanos stopped_accepting_at_ = 0; // valid once the listener is closing
  Listener listener_;              // calls the handler, so it comes after all that its calls use
};

} // namespace cometshift
