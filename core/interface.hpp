// The seam round the state machine of a server: `Events` is what it is told, `Actions` what it wants done.
// Both have one time each in a turn, handed in; neither names a socket. The loop, a recording and a replay
// stand on either side.
//
// Shapes: times are Unix time of the caller's clock in ns that never goes back, spans in ns. Ownership:
// contents are handed over; views and spans hold until the call returns. An order is carried out after the
// event has returned: nothing that follows from it may call back within it.
#pragma once

#include "decision_module.hpp"
#include "ids.hpp"

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace cometshift {

// Where an op's answer goes.
struct StreamRef {
  ConnectionId connection;
  StreamId stream;
  auto operator<=>(const StreamRef&) const = default;
};

// A keyed hash of a body, by which repeats are told from other ops with the same mark.
struct Digest {
  std::uint64_t high = 0, low = 0;
  auto operator<=>(const Digest&) const = default;
};

// Bytes that are carried and never looked into. A replay may hold others in their place, so the size that
// counts against bounds is told beside them.
struct Content {
  std::string bytes;
  std::uint32_t size = 0;
  Content() = default;
  explicit Content(std::string all) : bytes(std::move(all)), size(static_cast<std::uint32_t>(bytes.size())) {}
  Content(std::string some, std::uint32_t true_size) : bytes(std::move(some)), size(true_size) {}
  template <class Serializer>
  void serialize(Serializer& serializer) {
    serializer.content(bytes, size);
  }
};

using StartNo = Id<struct StartNoTag, std::uint64_t>; // of a start that was sent; one more each time, from 1

class Events {
 public:
  virtual ~Events() = default;
  // An op was read. `received_at`: when it came to the machine; limit 0, empty texts: not told. `body_digest`
  // counts for ops with a mark only.
  virtual void op_received(Nanos now, StreamRef stream_ref, OpId id, OpTypeId type, TenantId tenant,
                           CallerId caller, Nanos received_at, Nanos limit, double held_kb, double rank,
                           std::string_view mark, std::string_view subject, Content body,
                           Digest body_digest) = 0;
  virtual void stream_lost(Nanos now, StreamRef stream_ref) = 0; // its answer can't be delivered any more
  virtual void machine_up(Nanos now, Nanos since) = 0;
  // The link works, all notices so far are told, and all starts up to `known` were read there.
  virtual void link_up(Nanos now, StartNo last_read) = 0;
  virtual void link_down(Nanos now) = 0;
  virtual void run_finished(Nanos now, OpId id, Outcome outcome, Nanos lag, Content result) = 0;
  virtual void call_wanted(Nanos now, OpId id, Content body) = 0;
  virtual void start_refused(Nanos now, OpId id) = 0; // it began nothing
  virtual void gauges(Nanos now, std::span<const double> values) = 0;
  virtual void call_finished(Nanos now, OpId id, Outcome outcome, Content reply) = 0;
  virtual void due(Nanos now) = 0;            // wake-ups whose time has come, what is forgotten by now
  virtual void answer_repeats(Nanos now) = 0; // the end of a turn: repeats whose first has ended
  virtual void drain(Nanos now) = 0;
  // From now on these pools (names as in pools/pools.hpp; none of them: no pools). Throws
  // std::invalid_argument where they are senseless, and nothing has changed.
  virtual void set_pools(Nanos now, const Settings& pools) = 0;
};

class Actions {
 public:
  virtual ~Actions() = default;
  // The final answers; one for each op.
  virtual void served(StreamRef stream_ref, OpId op, Content result) = 0;
  virtual void refused(StreamRef stream_ref, OpId op, Reason reason, Nanos retry_after, bool no_retry) = 0;
  virtual void failed(StreamRef stream_ref, OpId op, Reason reason) = 0;
  virtual void penalize(StreamRef stream_ref) = 0; // its op is none that a caller would send
  // Only while the link is up.
  virtual void start(OpId op, OpTypeId type, const Content& body, StartNo number) = 0;
  virtual void resume(OpId op, const Content& reply) = 0;
  // Calls end by `Events::call_finished` unless they are given up.
  virtual void call(OpId op, Nanos timeout, const Content& body) = 0;
  virtual void cancel_call(OpId op) = 0;
  virtual void health(bool good) = 0;
  virtual void notify_callers(double value) = 0;
  virtual void set_idle_timeout(Nanos after) = 0;
  virtual void set_timing(Timing what, Nanos time) = 0;
  virtual void set_eviction_order(std::span<const Eviction> order, int max_invalid_ops) = 0;
  virtual void stop_accepting() = 0;
  virtual void note(const char* kind, std::string_view words) = 0; // for the log; kinds are literals
};

} // namespace cometshift
