// The interface of the decisions. A `DecisionModule`, one for each server, is told what happens by the calls
// of its public part and acts through the `Server` that it was given. Times are those of the caller's
// clock.
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

// What a server on sockets does by itself now and then, or waits for.
enum class Timing {
  report_interval,        // between reports to the list of servers
  report_timeout,         // for the reply to a report, before it is made anew
  link_reconnect_delay,   // before the link to the machine is made anew
  link_silence_timeout,   // nothing may be heard on the link where something is owed, before it is made anew
  link_handover_timeout,  // for the answer that proves a link read before it is left for another address
  connection_drain_delay, // between telling a caller that its connection takes no new op and closing it
  silent_connection_timeout, // a caller's connection may be silent, however it was left
  frame_timeout,             // a caller's connection may take for its first frame, or for the rest of one
  write_stall_timeout,       // a caller may take nothing of what waits for it, before its connection ends
  accept_retry_delay,        // after a connection could not be accepted
  orphan_query_delay,        // from an op's answer to asking how its run stands, if nothing was heard
};

// Whose connection goes where no more can be held; the longest silent first.
enum class Eviction { no_frame, idle, newest };

// What a server can be told to do.
class Server {
 public:
  virtual ~Server() = default;
  virtual void run(OpId op) = 0; // start a held op, or resume one that was halted
  virtual void nack(OpId op, Reason reason, bool no_retry, Nanos retry_after) = 0;
  virtual void fail(OpId op, Reason reason) = 0; // a final answer that promises nothing
  virtual void call(OpId op, Nanos time_out) = 0;
  virtual void answer_without_call(OpId op) = 0; // go on without the call
  virtual void keep_key(OpId op, Nanos lifetime) = 0;
  virtual void forget_key(OpId op) = 0;
  virtual void reuse(OpId op) = 0; // answer with the result of the op that it repeats
  virtual void halt(OpId op) = 0;
  virtual void health(bool good, bool from_store) = 0;
  virtual void notify_callers(double value) = 0;
  virtual void set_idle_timeout(Nanos after) = 0; // 0: as the site has it
  virtual void wake_at(Nanos at, WakeId id) = 0;
  virtual void log(std::string_view words) = 0;
  // Only for servers on sockets.
  virtual void set_timing(Timing, Nanos) {}
  virtual void set_eviction_order(std::span<const Eviction> /*order*/, int /*max_invalid_ops*/) {
  }                                // max_invalid_ops: of ops no caller sends
  virtual void stop_accepting() {} // no new ops on any connection, and no new connections
};

// The figures that a decision on one op rests on; spans in ns.
struct DecisionInputs {
  Nanos run_time = 0;        // believed of the run, calls included
  Nanos core_time = 0;       // the same without calls
  Nanos target_deadline = 0; // latest end for its worth, from now
  Nanos due = 0;             // latest answer, from now
  double value_density = 0;  // importance for its work, in units of the module
  std::size_t queued = 0;
  Nanos backlog = 0; // work of the held, over the cap
  int on_core = 0;
  int running = 0;
  double cap = 0;
  double cores = 0;
  double busy = 0;
  double memory_kb = 0;
  double memory_limit_kb = 0;
  double calls = 0;
  double call_limit = 0;
  std::size_t at_call = 0;
  bool breaker_open = false;
  bool stalled = false;
  bool draining = false;
  double nacked_fraction = 0; // of the last ops read
  double admission_level = 0; // told to callers
};

class DecisionModule {
 public:
  // Throws std::invalid_argument with the name of a setting that is missing or senseless.
  DecisionModule(Nanos now, std::uint64_t seed, const Settings& settings, Server& server);
  DecisionModule(const DecisionModule&) = delete;
  DecisionModule& operator=(const DecisionModule&) = delete;

  // An op has been read. Absent: 0 for spans, hint and `earlier`, `no_key_id` for the key. `worth` is a
  // factor of what it counts for beside others.
  void op_read(Nanos now, OpId id, OpTypeId type, TenantId tenant, KeyId key, CallerId caller,
               Nanos time_left, Nanos waited, Nanos work_estimate, double held_kb, double rank, bool is_retry,
               OpId original, double weight = 1);
  // What an op was to reuse was never begun; `earlier` is what it repeats now.
  void reuse_failed(Nanos now, OpId id, OpId original);
  void op_cancelled(Nanos now, OpId id); // nobody waits for its answer any more
  void run_ended(Nanos now, OpId id, Outcome outcome, Nanos elapsed);
  void call_wanted(Nanos now, OpId id);
  void call_ended(Nanos now, OpId id, Outcome outcome, Nanos elapsed);
  void woken(Nanos now, WakeId id, std::span<const double> gauges);
  void drain(Nanos now, Nanos until_kill);
  void machine_up(Nanos now, Nanos since); // it started that long ago; unsaid: with this object

  // What is believed at this moment of an op that stands here, for those who ask why (explain.cpp); false if
  // there is no such op. Changes nothing.
  bool explain(Nanos now, OpId id, DecisionInputs& into) const;
  // Hands all that is remembered to `serializer` (serializer.hpp), which writes it or fills it in: an object
  // so filled, made with the same settings, decides like the one that was written.
  template <class Serializer>
  void serialize(Serializer& serializer);

 private:
  struct Tenant {
    double quota = 0; // ops a second, here
    double rate = 0;  // ops a second of late, here
  };

  // The cap on running ops.
  void adjust_cap(Nanos now);
  double warm_fraction(Nanos now) const;
  double max_running(Nanos now) const;
  // The stall watch.
  void advance_clock(Nanos now);
  void detect_stall(Nanos now);
  // The hold.
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
  // What callers are told, and how long their connections stay.
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
  LogLogSlope estimate_slope_; // how run times follow the callers' guesses
  std::map<OpId, Op> ops_;
  std::vector<Op*> queue_;  // in the order of their latest starts once planned
  std::vector<Op*> parked_; // parked at a call, in the order of coming there

  double cores_ = 0;
  double cap_ = 0;
  double fall_multiple_ = 0;
  double cold_start_fraction_ = 0;
  Nanos warm_after_ = 0;
  bool cold_start_ = false;
  int running_ = 0; // started and not ended, waiting at calls too
  int on_core_ = 0;
  Nanos queued_since_ = 0;
  Nanos cap_cut_at_ = 0;
  Nanos last_progress_at_ = 0; // when a run last ended or came to a call
  bool stalled_ = false;
  Nanos cap_grown_at_ = 0;
  double busy_ = 1;
  double runnable_ = -1; // runs, reading and the like that want a core now; -1: not told

  double memory_kb_ = 0;
  double memory_limit_ = 0;
  double run_memory_factor_ = 0;
  double key_kb_ = 0;
  std::map<OpId, Nanos> keys_; // kept entries and the ends of their times
  Nanos fresh_for_ = 0;

  double call_share_ = 0;                 // 0: no such bound
  bool load_balanced_downstream_ = false; // calls go to servers of a next tier, by a balancer
  Nanos call_linger_ = 0;
  WindowMean calls_;
  std::vector<Nanos> lingering_calls_; // ends of the stays of calls given up
  Histogram call_times_;
  Histogram recent_call_times_; // those timed out too
  Nanos base_call_time_ = 0;    // a call's time when all is well
  double call_limit_ = 0;       // calls in hand at once
  Nanos call_limit_cut_at_ = 0;
  Nanos newest_completed_call_at_ = 0; // when the youngest of those that came back was made
  Nanos next_call_at_ = 0;             // no call before then, under a limit of one
  double lost_call_fraction_ =
      0; // part of those of late that broke off, or timed out while younger ones came back
  int consecutive_failures_ = 0;
  Nanos breaker_open_until_ = 0;
  Nanos breaker_delay_ = 0;
  bool trial_call_in_flight_ = false;

  enum class Halt { none, drop, pause } halt_ = Halt::none;
  enum class Feedback { none, level, tokens, bias } feedback_ = Feedback::none;
  double configured_callers_ = 1;
  struct Caller {
    double ops = 0; // of late
    Nanos last = 0;
  };
  std::map<CallerId, Caller> by_caller_;
  Nanos feedback_lifetime_ = 0;       // callers remember what they were told so long
  Histogram caller_gaps_;             // between the ops of a caller
  Nanos configured_idle_timeout_ = 0; // callers close a silent connection by themselves after it; 0: not told
  Nanos idle_timeout_ = 0;
  double admission_level_ = 1;
  double last_feedback_ = -1;
  Nanos max_retry_after_ = 0;
  double ops_read_ = 0;
  double recent_read_ = 0;
  double recent_nacked_ = 0;
  double recent_unread_ = 0;    // of those read, the ones that waited long for it
  double reading_fraction_;     // part of the cores that goes to reading and the like
  double nacked_fraction_ = 0;  // of the last ops read
  double retry_fraction_ = 0;   // of those, further tries
  double mean_nacked_rank_ = 0; // mean rank of those nacked last
  Nanos counting_since_ = 0;
  double over_quota_weight_ = 1;
  bool value_by_work_ = false;
  bool callers_mark_retries_ = false; // callers mark further tries
  int busy_gauge_ = -1;
  int runnable_gauge_ = -1;

  Nanos drain_grace_ = 0;
  Nanos drain_started_at_ = -1; // -1: not told to leave
  Nanos serve_until_ = 0;
  Nanos answer_by_ = 0;
  bool stopped_accepting_ = false;
};

} // namespace cometshift
