// Interface of the decision module. One `DecisionModule` per server is told of events through its public
// functions and acts through the `Server` passed to its constructor. All times are on the clock
// of the object's owner.
#pragma once

#include "histogram.hpp"
#include "ids.hpp"
#include "pcg.hpp"
#include "reason.hpp"
#include "state.hpp"

#include <map>
#include <span>
#include <string_view>
#include <vector>

namespace cometshift {

// Intervals and time-outs of a server on sockets.
enum class Timing {
  // Time between reports to the server list.
  report_interval,
  // Wait for the reply to a report, before the report is sent again.
  report_timeout,
  // Delay before the link to the interpreter machine is re-established.
  link_reconnect_delay,
  // Silence on that link while an answer is due, before the link is re-established.
  link_silence_timeout,
  // Wait for the answer that proves that a link was read, before the link is moved to another address.
  link_handover_timeout,
  // Time between telling a caller that its connection takes no new op and closing the connection.
  connection_drain_delay,
  // Silence on a caller's connection, in any state, before the connection is closed.
  silent_connection_timeout,
  // Wait for the first frame of a caller's connection, or for the rest of a frame.
  frame_timeout,
  // Wait for a caller to read any of its pending data, before its connection is closed.
  write_stall_timeout,
  // Delay after a failed accept.
  accept_retry_delay,
  // Time from the answer to an op until the state of its run is queried, if no notice of its end arrived.
  orphan_query_delay,
};

// Kinds of connections that are closed when the limit of connections is reached. Within a kind, the one that
// has been silent for the longest time is closed first.
enum class Eviction { no_frame, idle, newest };

// Actions of a server that the decision module requests.
class Server {
 public:
  virtual ~Server() = default;
  virtual void run(OpId op) = 0; // starts a queued op or resumes a halted one
  // Answers that the op never ran; `retry_after` is how long callers should stay away, `no_retry` asks them
  // not to try another server.
  virtual void nack(OpId op, Reason reason, bool no_retry, Nanos retry_after) = 0;
  // Answers with a failure. Unlike a nack, it does not promise that the op never ran.
  virtual void fail(OpId op, Reason reason) = 0;
  virtual void call(OpId op, Nanos time_out) = 0;     // makes the op's call to the downstream service
  virtual void answer_without_call(OpId op) = 0;      // resumes the op without its call
  virtual void keep_key(OpId op, Nanos lifetime) = 0; // remembers the op's key for repeats
  virtual void forget_key(OpId op) = 0;
  virtual void reuse(OpId op) = 0; // answers with the result of the original op
  virtual void halt(OpId op) = 0;  // stops or pauses a run on the cores
  virtual void health(bool good, bool from_store) = 0;
  virtual void notify_callers(double value) = 0;
  virtual void set_idle_timeout(Nanos after) = 0; // 0: the site's configured timeout
  virtual void wake_at(Nanos at, WakeId id) = 0;
  virtual void log(std::string_view words) = 0;
  // Only for servers on sockets. After `max_invalid_ops` consecutive ops that no caller would send, nothing
  // more is read from their connection.
  virtual void set_timing(Timing, Nanos) {}
  virtual void set_eviction_order(std::span<const Eviction> /*order*/, int /*max_invalid_ops*/) {}
  virtual void stop_accepting() {} // takes no new ops on any connection, and no new connections
};

// Inputs of the decisions on one op. Times are in ns; deadlines are relative to now.
struct DecisionInputs {
  Nanos run_time = 0;        // estimate, calls included
  Nanos core_time = 0;       // estimate, calls excluded
  Nanos target_deadline = 0; // latest end that meets its target
  Nanos due = 0;             // latest time of the answer
  double value_density = 0;  // importance per unit of work
  std::size_t queued = 0;
  Nanos backlog = 0; // work of the queued ops, divided by the cap
  int on_core = 0;   // number of ops on the cores
  int running = 0;   // ops started and not ended, those at calls included
  double cap = 0;    // maximum number of ops on the cores
  double cores = 0;
  double busy = 0; // fraction of the cores that is busy
  double memory_kb = 0;
  double memory_limit_kb = 0;
  double calls = 0;        // in flight, abandoned ones included
  double call_limit = 0;   // maximum number of concurrent calls
  std::size_t at_call = 0; // ops waiting to call
  bool breaker_open = false;
  bool stalled = false;
  bool draining = false;
  double nacked_fraction = 0; // of the last ops read
  double admission_level = 0; // as told to callers
};

// Decides on admission, scheduling and calls of one server. Not thread-safe.
class DecisionModule {
 public:
  // Throws std::invalid_argument naming a setting that is missing or invalid.
  DecisionModule(Nanos now, std::uint64_t seed, const Settings& settings, Server& server);
  DecisionModule(const DecisionModule&) = delete;
  DecisionModule& operator=(const DecisionModule&) = delete;

  // An op was read. Absent values are 0 (times, work estimate), `no_op_id` (`original`, the op that it
  // repeats) and `no_key_id`. `time_left` is the time until the caller gives up, `waited` the time since the
  // op arrived, `held_kb` the memory it takes before it runs. `rank` is the op's rank as its caller sent it,
  // and `is_retry` whether the caller marked it as a retry. `weight` is a factor on its importance relative
  // to other ops.
  void op_read(Nanos now, OpId id, OpTypeId type, TenantId tenant, KeyId key, CallerId caller,
               Nanos time_left, Nanos waited, Nanos work_estimate, double held_kb, double rank, bool is_retry,
               OpId original, double weight = 1);
  // The op whose result was to be reused did not run; `original` is the op that it repeats now, or
  // `no_op_id`.
  void reuse_failed(Nanos now, OpId id, OpId original);
  // No caller waits for the op's answer any more.
  void op_cancelled(Nanos now, OpId id);
  // A run or the reuse of a result ended, `elapsed` after its start.
  void run_ended(Nanos now, OpId id, Outcome outcome, Nanos elapsed);
  // A run has reached its call and left the cores.
  void call_wanted(Nanos now, OpId id);
  // A call ended, `elapsed` after its start.
  void call_ended(Nanos now, OpId id, Outcome outcome, Nanos elapsed);
  // A requested wake-up. `gauges` are in the order of the settings.
  void woken(Nanos now, WakeId id, std::span<const double> gauges);
  // The server was told, at `not_before` at the earliest, that it will be killed `until_kill` later.
  void drain(Nanos now, Nanos not_before, Nanos until_kill);
  // The machine started `since` ago. Without this event it is assumed to have started with this object.
  void machine_up(Nanos now, Nanos since);

  // Fills in the present inputs of decisions on an op, to explain a decision (explain.cpp). Returns false if
  // there is no such op. Has no side effects.
  bool explain(Nanos now, OpId id, DecisionInputs& into) const;
  // Passes the complete state to `serializer` (serializer.hpp), which writes it or fills it in. An object
  // that was filled in, and constructed with the same settings, makes the same decisions as the one that was
  // written.
  template <class Serializer>
  void serialize(Serializer& serializer);

 private:
  struct Tenant {
    double quota = 0; // ops per second on this server
    double rate = 0;  // recent ops per second on this server
  };

  // Cap on running ops.
  void adjust_cap(Nanos now);
  double warm_fraction(Nanos now) const;
  double max_running(Nanos now) const;
  // Stall detection.
  void advance_clock(Nanos now);
  void detect_stall(Nanos now);
  // Queue.
  Nanos core_time(const Op& op) const;
  double work_on_core() const;
  Nanos run_time(const Op& op, double quantile) const;
  Nanos target_deadline(const Op& op) const;
  bool can_meet_target(const Op& op, Nanos start, double quantile) const;
  double value_density(const Op& op) const;
  void plan_queue(Nanos now);
  void schedule(Nanos now);
  int returning_calls() const;
  bool core_available(Nanos now) const;
  bool may_start(Nanos now, const Op& op) const;
  void preempt_for_urgent(Nanos now);
  void start(Nanos now, Op& op);
  void set_continuations(Op& op);
  void on_run_end(Nanos now, Op& op, Outcome outcome, Nanos elapsed);
  // Final answers.
  void reject(Nanos now, Op& op, Reason reason);
  void nack_hung(Op& op);
  void fail_op(Op& op, Reason reason);
  void release(Op& op);
  void answer_due_ops(Nanos now);
  void erase_op(Op& op);
  // Memory and keys.
  double projected_memory(double kb) const;
  bool store_key(Nanos now, Op& op);
  void forget_unused_key(const Op& op);
  bool reuse_original(Nanos now, Op& op);
  void admit(Nanos now, Op& op);
  // Calls.
  void park_at_call(Op& op);
  void dispatch_calls(Nanos now);
  void on_call_end(Nanos now, Op& op, Outcome outcome);
  bool call_fits_budget(Nanos time_out) const;
  bool breaker_allows(Nanos now) const;
  void record_call(Nanos now, Outcome outcome, Nanos elapsed);
  Nanos call_loss_timeout() const;
  bool downstream_congested() const;
  void adjust_call_limit(Nanos now, Nanos elapsed);
  double max_concurrent_calls(Nanos now) const;
  double max_call_delay() const;
  bool call_slot_available(Nanos now) const;
  Nanos call_interval() const;
  Nanos parked_call_wait() const;
  void leave_core(Nanos now, Op& op);
  void join_core(Nanos now, Op& op);
  // Feedback to callers and the lifetime of their connections.
  void record_caller(Nanos now, CallerId id);
  void adjust_idle_timeout();
  double effective_callers() const;
  void update_feedback(Nanos now);
  Nanos retry_after() const;

  Server& server_;
  Pcg random_;
  Nanos now_ = 0;
  Nanos started_at_;
  std::vector<OpType> types_;
  std::vector<Tenant> tenants_;
  LogLogSlope estimate_slope_; // how run times depend on the callers' estimates
  std::map<OpId, Op> ops_;
  std::vector<Op*> queue_;  // sorted by latest start after plan_queue()
  std::vector<Op*> parked_; // ops waiting to call, in order of arrival

  double cores_ = 0;
  double cap_ = 0;           // maximum number of ops on the cores
  double fall_multiple_ = 0; // running ops per core that a warm server survives
  double cold_start_fraction_ = 0;
  Nanos warm_after_ = 0;
  bool cold_start_ = false;
  int running_ = 0; // started and not ended, ops at calls included
  int on_core_ = 0;
  Nanos queued_since_ = 0;
  Nanos cap_cut_at_ = 0;
  Nanos last_progress_at_ = 0; // when a run last ended or reached a call
  bool stalled_ = false;
  Nanos cap_grown_at_ = 0;
  double busy_ = 1;
  double runnable_ = -1; // tasks (runs, reading and others) that want a core now; -1: unknown

  double memory_kb_ = 0;
  double memory_limit_ = 0;
  double run_memory_factor_ = 0;
  double key_kb_ = 0;
  std::map<OpId, Nanos> keys_; // kept entries and their expiry times
  Nanos fresh_for_ = 0;        // how long after its due time a read's answer may be shared

  double call_share_ = 0;                 // 0: unlimited
  bool load_balanced_downstream_ = false; // calls go to several servers behind a load balancer
  Nanos call_linger_ = 0;                 // how long an abandoned call continues downstream
  WindowMean calls_;
  std::vector<Nanos> lingering_calls_; // times at which abandoned calls end downstream
  Histogram call_times_;
  Histogram recent_call_times_; // calls that timed out included
  Nanos base_call_time_ = 0;    // duration of a call without congestion
  double call_limit_ = 0;       // maximum number of concurrent calls
  Nanos call_limit_cut_at_ = 0;
  Nanos newest_completed_call_at_ = 0; // start of the latest call that has returned
  Nanos next_call_at_ = 0;             // earliest next call while the limit is below one
  // Fraction of recent calls that were cut off, or timed out while calls made later returned.
  double lost_call_fraction_ = 0;
  int consecutive_failures_ = 0;
  Nanos breaker_open_until_ = 0;
  Nanos breaker_delay_ = 0;
  bool trial_call_in_flight_ = false;

  enum class Halt { none, drop, pause } halt_ = Halt::none;
  enum class Feedback { none, level, tokens, bias } feedback_ = Feedback::none;
  double configured_callers_ = 1;
  struct Caller {
    double ops = 0; // recent number
    Nanos last = 0;
  };
  std::map<CallerId, Caller> by_caller_;
  Nanos feedback_lifetime_ = 0;       // how long callers remember their feedback
  Histogram caller_gaps_;             // times between the ops of one caller
  Nanos configured_idle_timeout_ = 0; // after which callers close a connection; 0: unknown
  Nanos idle_timeout_ = 0;
  double admission_level_ = 1;
  double last_feedback_ = -1;
  Nanos max_retry_after_ = 0;
  double ops_read_ = 0;
  double recent_read_ = 0;
  double recent_nacked_ = 0;
  double recent_unread_ = 0;    // ops that waited long to be read
  double reading_fraction_;     // fraction of the cores spent on reading and similar work
  double nacked_fraction_ = 0;  // of the last ops read
  double retry_fraction_ = 0;   // fraction of them that are retries
  double mean_nacked_rank_ = 0; // mean rank of the last nacked ops
  Nanos counting_since_ = 0;
  double over_quota_weight_ = 1;
  bool value_by_work_ = false;
  bool callers_mark_retries_ = false;
  int busy_gauge_ = -1;
  int runnable_gauge_ = -1;

  Nanos drain_grace_ = 0;
  Nanos drain_started_at_ = -1; // -1: not draining
  Nanos serve_until_ = 0;       // while draining: end of the shutdown delay
  Nanos answer_by_ = 0;         // while draining: latest time of any answer
  bool stopped_accepting_ = false;
};

} // namespace cometshift
