// The interface of a server's state machine: `Events` are its inputs, `Actions` its outputs. The event loop,
// the recorder and the replayer use it; nothing here names a socket.
//
// Every event carries the current time, which also applies to the actions that follow from it. Points in time
// are Unix time in ns on the caller's clock, which never goes back; durations are in ns. Contents are passed
// by ownership; views and spans are valid until the call returns. The driver carries an action out after the
// event has returned: nothing that follows from an action may call back within the event.
#pragma once

#include "decision_module.hpp"
#include "ids.hpp"

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace cometshift {

// The caller's stream to which an op's answer is sent.
struct StreamRef {
  ConnectionId connection;
  StreamId stream;
  auto operator<=>(const StreamRef&) const = default;
};

// A keyed hash of a request body. It distinguishes retries of an op from other ops that carry the same
// idempotency key (`mark`).
struct Digest {
  std::uint64_t high = 0, low = 0;
  auto operator<=>(const Digest&) const = default;
};

// An opaque payload. `size` is the size that counts against the limits; it is kept apart because a replay may
// put a placeholder in place of the bytes.
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

using StartNo = Id<struct StartNoTag, std::uint64_t>; // sequence number of the start commands sent, from 1

// Inputs of the state machine.
class Events {
 public:
  virtual ~Events() = default;
  // An op was read from a caller. `received_at`: when it reached the machine. A limit of 0 or an empty text
  // means that the field was absent. `body_digest` is used only for ops with a mark.
  virtual void op_received(Nanos now, StreamRef stream_ref, OpId id, OpTypeId type, TenantId tenant,
                           CallerId caller, Nanos received_at, Nanos limit, double held_kb, double rank,
                           std::string_view mark, std::string_view subject, Content body,
                           Digest body_digest) = 0;
  virtual void stream_lost(Nanos now, StreamRef stream_ref) = 0; // the answer can no longer be delivered
  virtual void machine_up(Nanos now, Nanos since) = 0;           // the machine started `since` ago
  // The link to the interpreter is up, every notice received so far has been delivered as an event, and the
  // interpreter has read all starts up to `last_read`.
  virtual void link_up(Nanos now, StartNo last_read) = 0;
  virtual void link_down(Nanos now) = 0;
  virtual void run_finished(Nanos now, OpId id, Outcome outcome, Nanos lag, Content result) = 0;
  virtual void call_wanted(Nanos now, OpId id, Content body) = 0;
  virtual void start_refused(Nanos now, OpId id) = 0; // nothing was started
  virtual void gauges(Nanos now, std::span<const double> values) = 0;
  virtual void call_finished(Nanos now, OpId id, Outcome outcome, Content reply) = 0;
  virtual void due(Nanos now) = 0; // runs timers that have expired and drops expired state
  // At the end of a turn: answers retries whose original has ended.
  virtual void answer_repeats(Nanos now) = 0;
  // The drain notice. The process may have been paused when it came, so it came at any time from `not_before`
  // on.
  virtual void drain(Nanos now, Nanos not_before) = 0;
  // Replaces the pools (setting names as in pools/pools.hpp; without any, pools are off). Throws
  // std::invalid_argument for invalid settings, in which case nothing has changed.
  virtual void set_pools(Nanos now, const Settings& pools) = 0;
};

// Outputs of the state machine, carried out by its driver.
class Actions {
 public:
  virtual ~Actions() = default;
  // Final answers: exactly one for each op.
  virtual void served(StreamRef stream_ref, OpId op, Content result) = 0;
  virtual void refused(StreamRef stream_ref, OpId op, Reason reason, Nanos retry_after, bool no_retry) = 0;
  virtual void failed(StreamRef stream_ref, OpId op, Reason reason) = 0;
  virtual void penalize(StreamRef stream_ref) = 0; // the op is not one that a correct caller sends
  // Commands to the interpreter, issued only while the link is up.
  virtual void start(OpId op, OpTypeId type, const Content& body, StartNo number) = 0;
  virtual void resume(OpId op, const Content& reply) = 0;
  // A call ends with `Events::call_finished` unless it is cancelled.
  virtual void call(OpId op, Nanos timeout, const Content& body) = 0;
  virtual void cancel_call(OpId op) = 0;
  virtual void health(bool good) = 0;
  virtual void notify_callers(double value) = 0;
  virtual void set_idle_timeout(Nanos after) = 0;
  virtual void set_timing(Timing what, Nanos time) = 0;
  virtual void set_eviction_order(std::span<const Eviction> order, int max_invalid_ops) = 0;
  virtual void stop_accepting() = 0;
  virtual void note(const char* kind, std::string_view words) = 0; // a log line; `kind` is a string literal
};

} // namespace cometshift
