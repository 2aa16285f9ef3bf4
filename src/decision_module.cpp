// The decision module: admission, scheduling, deduplication, calls to the downstream service and feedback to
// callers. One `DecisionModule` serves one server. Its owner reports each event by a call of `op_read` or one
// of the other public functions; the module responds at once through the `Server` passed to its constructor.
// Both are declared in decision_module.hpp, the state of an op in state.hpp.
//
// The design (docs/design.md) specifies the ordinary path: health is stored and turns bad at the drain
// notice, ops are served until the shutdown delay ends, and a cap bounds the number of running ops. Six
// mechanisms complement it:
//   1. queue: its order, pauses for urgent ops, and which ops are nacked, by achievable importance per unit
//     of work
//   2. resource limits: memory and the number of running ops, which depends on how warm the server is; every
//     op is answered by its due time
//   3. keys: repeats of keyed ops are recognized and never run twice; reads may share answers
//   4. calls: a budget, time-outs, a circuit breaker, answers without the call
//   5. callers: the feedback value, advice on when to retry and not to retry elsewhere, idle connections
//   6. stall detection: runs must make progress before the gauge of the cores is believed
#include "decision_module.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos second = 1000 * ms;

// Interval of periodic work in woken(): short compared with target latencies. Ops are answered two ticks
// before they are due.
constexpr Nanos tick = 20 * ms;
// Period over which the gauge of busy cores is averaged.
constexpr Nanos gauge_window = 500 * ms;
// Cores count as free while a smaller fraction of them is busy. The margin allows for noise in the gauge.
constexpr double free_cores_threshold = 0.9;
// Growth per tick. The cap doubles within four ticks, fast compared with the half second of the gauge.
constexpr double cap_growth_factor = 1.25;
// One cut undoes about one step of growth.
constexpr double cap_cut_factor = 0.85;
// Minimum time between cuts: the gauge takes that long to show the effect of the last one.
constexpr Nanos cap_cut_interval = 500 * ms;
// Latency counts as congested from this multiple of its base (docs/design.md).
constexpr double congested_latency_ratio = 2;
// Fraction of the survivable number of running ops that may be started. The rest is for ops that resume by
// themselves after a call.
constexpr double max_running_fraction = 0.85;
// Fraction of the memory that may be used. The rest is for ops read at the same instant.
constexpr double memory_fraction = 0.95;
// Reads are kept for sharing only while less than this fraction of the memory is used: keyed ops have
// priority.
constexpr double shared_read_memory_fraction = 0.5;
// Fraction of the call share that may be used. The rest covers the time that a reply takes to arrive.
constexpr double call_budget_fraction = 0.9;
// Samples after which the counts of a histogram are halved: about ten seconds of one op type.
constexpr float long_history = 64;
// The same for histograms that show the last few seconds.
constexpr float short_history = 24;
// Samples that a histogram needs before it is used.
constexpr float min_samples = 8;
// A caller timeout that makes up a smaller fraction of the recent ones is taken for what is left to a retry.
constexpr float common_timeout_fraction = 0.1;
// The base of run times and that of call times rise by at most 1/256 per sample. A large rise takes hundreds
// of samples, so that congestion does not become the base.
constexpr Nanos base_rise_divisor = 256;
// Quantile of run times that plans assume.
constexpr double planning_quantile = 0.7;
// If a run of this quantile does not fit, a first try is nacked so that a faster server can run it.
constexpr double redirect_quantile = 0.5;
// Maximum wait in the queue as a fraction of the target latency: a longer one leaves no time to try
// elsewhere.
constexpr double max_wait_fraction = 0.25;
// The same while nacks are rare: a queue that formed by chance drains soon.
constexpr double relaxed_wait_fraction = 0.75;
// Maximum factor on the wait of ops with a higher weight. At 2, their runs start too late.
constexpr double max_weight_wait_factor = 1.4;
// Fraction of ops nacked below which a longer wait is allowed, the rarer the nacks the longer.
constexpr double rare_nack_fraction = 0.125;
// A paused run is assumed to need at least this part (1/4) of a whole run.
constexpr Nanos min_remaining_divisor = 4;
// A run is paused for an urgent op only if its slack exceeds this many runs of the urgent op.
constexpr Nanos preemption_slack_factor = 2;
// An op is not started if its chance of being in time is below this.
constexpr double hopeless_quantile = 0.2;
// Another server may be up to this many times as fast.
constexpr Nanos max_remote_speedup = 2;
// Fraction of the spread of work estimates that is believed before runs have shown how accurate they are.
constexpr double estimate_slope_prior = 0.5;
// Weight of one run in that fraction: about a hundred runs determine it.
constexpr double estimate_slope_step = 1.0 / 128;
// Weight of the prior, in runs.
constexpr double estimate_prior_weight = 8;
// Assumed run time before any was observed, as a fraction of the target latency.
constexpr double default_run_fraction = 0.25;
// A call is considered lost after this multiple of the call_tail_quantile following a failure, and after
// twice as much otherwise.
constexpr Nanos call_tail_factor = 2;
// Quantile of call times from which the tail is estimated.
constexpr double call_tail_quantile = 0.95;
// Ops at calls shorter than this fraction of a run count under the cap. A core that idles until they return
// costs less than one run too many.
constexpr double short_call_fraction = 0.05;
// A single short call may be made while less than this fraction of the budget is used: it adds little.
constexpr double single_call_fraction = 0.5;
// Upper bound of concurrent calls, as a fraction of the share: the downstream service slows down long before
// it fails.
constexpr double max_call_fraction = 0.8;
// Lower bound of concurrent calls, as a fraction of the share, however slow they are: so few cause no
// congestion.
constexpr double min_call_fraction = 0.15;
// The limit of concurrent slow calls is not cut below this fraction of the share or min_concurrent_calls,
// whichever is less.
constexpr double few_calls_fraction = 0.5;
// Concurrent calls allowed however small the share is: the budget still bounds their mean.
constexpr double min_concurrent_calls = 2;
// Maximum random delay of a cold server before its first call.
constexpr Nanos max_first_call_delay = 4 * second;
// Value of next_call_at_ until a call fits and that delay is drawn.
constexpr Nanos delay_not_drawn = -1;
// Fraction of lost calls above which calls get shorter time-outs: one in two hundred recent calls.
constexpr double call_loss_threshold = 0.005;
// Intervals into which a call's duration is divided to check the mean number of calls in flight.
constexpr int call_mean_samples = 4;
// Time-out of a call where little fits and no call times are known: a few round trips.
constexpr Nanos default_call_timeout = 200 * ms;
// Consecutive failures that open the circuit breaker: the value that operators know.
constexpr int breaker_failure_threshold = 5;
// First delay of the open breaker, doubled after each failed trial: a few round trips.
constexpr Nanos breaker_initial_delay = 250 * ms;
// Maximum delay of the open breaker. A call per second is no load; a longer delay would outlast the fault.
constexpr Nanos breaker_max_delay = second;
// Period over which nacks are counted for the feedback to callers.
constexpr Nanos feedback_interval = 500 * ms;
// Part of a rate that remains after each period: rates average over about two seconds.
constexpr double rate_decay = 0.8;
// Raise per period without excessive nacks: back at 1 within ten seconds.
constexpr double admission_raise_step = 0.05;
// Factor per period with excessive nacks.
constexpr double admission_cut_factor = 0.8;
// Never 0: some traffic has to show when the level may rise again.
constexpr double min_admission_level = 0.1;
// An op that waited to be read for longer than this part (1/4) of its target latency shows a backlog of
// unread ops.
constexpr Nanos unread_wait_divisor = 4;
// A longer gap between two calls of this module means that the process was paused: a running one is woken
// every tick.
constexpr Nanos process_pause_threshold = 3 * tick;
// Mean run times without progress after which the cores count as stalled. Chance causes that once in
// thousands of times.
constexpr double stall_run_factor = 10;
// With fewer runs on the cores, all of them may be long ones, and the limit is longer.
constexpr double stall_min_runs = 3;
// Fraction of the cores spent on reading nacked ops that is worth telling callers about.
constexpr double wasted_reading_threshold = 0.02;
// Fraction of ops that waited long to be read above which callers are told. Fewer occur by chance.
constexpr double unread_threshold = 0.05;
// Weight of one sample in the moving average of the fraction of cores spent on reading: it shows the last
// second.
constexpr double reading_average_step = 0.02;
// That fraction before it is measured: reading is assumed to be expensive.
constexpr double initial_reading_fraction = 0.25;
// Relative change of the feedback value below which callers are not notified.
constexpr double feedback_change_threshold = 0.05;
// A connection that is silent for the configured idle timeout costs as much as this many new ones.
constexpr int reconnect_cost_divisor = 2;
// The idle timeout is at least 1/64 of the configured one.
constexpr int max_idle_halvings = 6;
// Relative gain in the cost of connections below which the idle timeout stays.
constexpr double min_idle_gain = 0.1;
// Callers remembered at most, against a flood of made-up caller ids: 1 MB.
constexpr std::size_t max_callers = 8192;
// A caller with a smaller recent number of ops is forgotten once it is silent.
constexpr double min_caller_ops = 0.1;
// Weight of a nacked op's rank in the mean rank: it covers about the last twenty.
constexpr double nacked_rank_step = 0.05;
// Weight of one op in the fractions of ops that were nacked or are retries.
constexpr double fraction_step = 1.0 / 32;
// Nacks ask not to retry elsewhere with this multiple of the fraction of retries or nacks.
constexpr double no_retry_factor = 4;
// Ops that callers may have in flight per op allowed to run, at an admission level of 1.
constexpr double tokens_per_cap = 3;
// Reports per lifetime of a report: two may be lost, with some margin.
constexpr Nanos report_interval_divisor = 6;
// No noticeable load, and short compared with a run.
constexpr Nanos link_reconnect_delay = 20 * ms;
// Interpreter machines pause for less than this and go on.
constexpr Nanos min_link_silence_timeout = 2 * second;
// A new server whose link is remade once is still ready within ten seconds.
constexpr Nanos max_link_silence_timeout = 4 * second;
// Many round trips, and short compared with a run.
constexpr Nanos link_handover_timeout = 200 * ms;
// For callers to close a connection that takes no new op: some round trips.
constexpr Nanos connection_drain_delay = 500 * ms;
// Delay after a failed accept: neither a busy loop nor a long wait.
constexpr Nanos accept_retry_delay = 20 * ms;
// By then both sides know that an op is over, and most runs have ended.
constexpr Nanos orphan_query_delay = 2 * second;
// For a complete frame to arrive: callers send one as soon as they connect.
constexpr Nanos frame_timeout = 1500 * ms;
// Consecutive ops on a connection that no caller would send, after which nothing more is read from it.
constexpr int max_invalid_ops = 8;
// A connection without any frame belongs to no caller, an idle caller only has to reconnect, and closing the
// newest connection would lose an op.
constexpr std::array eviction_order{Eviction::no_frame, Eviction::idle, Eviction::newest};

template <class T>
void erase_item(std::vector<T*>& list, T* item) {
  list.erase(std::remove(list.begin(), list.end(), item), list.end());
}

} // namespace

DecisionModule::DecisionModule(Nanos now, std::uint64_t seed, const Settings& settings, Server& server)
    : server_(server), random_(seed), now_(now), started_at_(now), estimate_slope_(estimate_slope_step),
      calls_(span(settings, "calls_over_ns", 5e9), now), call_times_(long_history),
      recent_call_times_(short_history), caller_gaps_(long_history),
      reading_fraction_(initial_reading_fraction) {
  cores_ = required_number(settings, "cores", 1);
  cap_ = cores_;
  fall_multiple_ = required_number(settings, "fall_multiple", 1);
  cold_start_fraction_ = std::clamp(number(settings, "cold_from", 1), 0.0, 1.0);
  warm_after_ = span(settings, "warm_after_ns", 0);
  cold_start_ = number(settings, "cold", 0) != 0;
  memory_limit_ = required_number(settings, "memory_kb", 1);
  run_memory_factor_ = std::max(1.0, number(settings, "run_factor", 1));
  key_kb_ = number(settings, "key_kb", 0);
  fresh_for_ = span(settings, "fresh_for_ns", 0);
  call_share_ = number(settings, "call_share", 0);
  call_limit_ = max_concurrent_calls(now);
  if (call_limit_ > 0 && call_limit_ < 1) next_call_at_ = delay_not_drawn;
  configured_idle_timeout_ = idle_timeout_ = span(settings, "idle_ns", 0);
  load_balanced_downstream_ = text(settings, "below", "none") == "next_hop";
  call_linger_ = span(settings, "call_linger_ns", 0);
  const std::string halt = text(settings, "halt", "none");
  halt_ = halt == "pause" ? Halt::pause : halt == "drop" ? Halt::drop : Halt::none;
  const std::string feedback = text(settings, "say", "none");
  feedback_ = feedback == "level"    ? Feedback::level
              : feedback == "tokens" ? Feedback::tokens
              : feedback == "bias"   ? Feedback::bias
                                     : Feedback::none;
  feedback_lifetime_ = span(settings, "heeded_ns", 1e9);
  configured_callers_ = std::max(1.0, number(settings, "callers", 1));
  if (number(settings, "stay_away_heeded", 0) != 0) max_retry_after_ = span(settings, "max_stay_away_ns", 0);
  over_quota_weight_ = number(settings, "over_share_worth", 1);
  callers_mark_retries_ = number(settings, "marks_retry", 0) != 0;
  value_by_work_ = text(settings, "value_by", "op") == "work";
  drain_grace_ = span(settings, "drain_grace_ns");
  for (int g = 0; settings.contains("gauge." + std::to_string(g)); ++g)
    if (const std::string gauge = text(settings, "gauge." + std::to_string(g), ""); gauge == "cores_busy")
      busy_gauge_ = g;
    else if (gauge == "on_cores")
      runnable_gauge_ = g;
  for (int t = 0; settings.contains("op_type." + std::to_string(t) + ".op_timeout_ns"); ++t) {
    const std::string prefix = "op_type." + std::to_string(t) + ".";
    OpType type{.run_time = Histogram(long_history),
                .core_time = Histogram(long_history),
                .recent_core_time = Histogram(short_history),
                .caller_timeouts = FrequentValues(long_history)};
    type.op_timeout = static_cast<Nanos>(required_number(settings, prefix + "op_timeout_ns", 1));
    type.target_latency = static_cast<Nanos>(required_number(settings, prefix + "target_latency_ns", 1));
    type.key_window = span(settings, prefix + "key_window_ns", 0);
    type.importance = number(settings, prefix + "importance", 1);
    type.late_value_fraction = number(settings, prefix + "late_share", 0);
    type.value_fraction_without_call = number(settings, prefix + "without_share", 0);
    type.target_stretch = number(settings, prefix + "target_stretch", 0);
    type.may_call = number(settings, prefix + "may_call", 0) != 0;
    const std::string repeats = text(settings, prefix + "repeats", "retryable");
    type.retry_class = repeats == "keyed"           ? RetryClass::keyed
                       : repeats == "non_retryable" ? RetryClass::non_retryable
                                                    : RetryClass::retryable;
    types_.push_back(type);
  }
  if (types_.empty()) throw std::invalid_argument("setting op_type.0.op_timeout_ns is missing");
  const double fleet_size = std::max(1.0, number(settings, "fleet_size", 1));
  for (int t = 0; settings.contains("tenant." + std::to_string(t) + ".quota"); ++t)
    tenants_.push_back({.quota = number(settings, "tenant." + std::to_string(t) + ".quota", 0) / fleet_size});
  last_progress_at_ = counting_since_ = now;
  const Nanos report_interval = span(settings, "list_lapse_ns", 0) / report_interval_divisor;
  server_.set_timing(Timing::report_interval, report_interval);
  server_.set_timing(Timing::report_timeout, report_interval);
  server_.set_timing(Timing::link_reconnect_delay, link_reconnect_delay);
  Nanos max_op_timeout = 0, max_target_latency = 0;
  for (const OpType& type : types_) {
    max_op_timeout = std::max(max_op_timeout, type.op_timeout);
    // Ops started on a dead link during that time are lost.
    max_target_latency = std::max(max_target_latency, type.target_latency);
  }
  server_.set_timing(Timing::link_silence_timeout,
                     std::clamp(max_target_latency, min_link_silence_timeout, max_link_silence_timeout));
  server_.set_timing(Timing::write_stall_timeout, max_op_timeout); // no caller waits for longer
  server_.set_timing(Timing::link_handover_timeout, link_handover_timeout);
  server_.set_timing(Timing::connection_drain_delay, connection_drain_delay);
  // Callers close a connection after that time themselves.
  server_.set_timing(Timing::silent_connection_timeout, configured_idle_timeout_);
  server_.set_timing(Timing::frame_timeout, frame_timeout);
  server_.set_eviction_order(eviction_order, max_invalid_ops);
  server_.set_timing(Timing::accept_retry_delay, accept_retry_delay);
  server_.set_timing(Timing::orphan_query_delay, orphan_query_delay);
  server_.health(true, true);
  server_.wake_at(now + tick, WakeId{1});
}

// ---- cap on running ops

double DecisionModule::warm_fraction(Nanos now) const {
  if (!cold_start_ || warm_after_ <= 0) return 1;
  const double age = static_cast<double>(now - started_at_) / static_cast<double>(warm_after_);
  return std::min(1.0, cold_start_fraction_ + (1 - cold_start_fraction_) * age);
}

double DecisionModule::max_running(Nanos now) const {
  return std::max(
      cores_, std::floor(max_running_fraction * cores_ * (1 + (fall_multiple_ - 1) * warm_fraction(now))));
}

// Growth takes precedence over a cut. The gauge is used only if ops were queued for all of its window and
// runs make progress: during a hang the gauge shows the cores as free, and more ops would only congest them.
// As the gauge lags, the cores count as free only if fewer ops want a core at this moment than there are
// cores. Otherwise the cap would grow on a reading from before a burst, as on a cold server that all callers
// find at once.
void DecisionModule::adjust_cap(Nanos now) {
  const bool waiting = !queue_.empty() && now - queued_since_ >= gauge_window;
  const bool progressing = now - last_progress_at_ < gauge_window;
  const bool free = busy_ < free_cores_threshold &&
                    (runnable_ >= 0 ? runnable_ < cores_ : now - cap_grown_at_ >= gauge_window);
  if (waiting && progressing && free && on_core_ >= static_cast<int>(cap_)) {
    cap_ *= cap_growth_factor;
    cap_grown_at_ = now;
  } else if (busy_ >= free_cores_threshold && now - cap_cut_at_ >= cap_cut_interval) {
    for (const OpType& type : types_) {
      if (type.base_core_time == 0 || type.recent_core_time.total() < min_samples) continue;
      if (static_cast<double>(type.recent_core_time.quantile(0.5)) <
          congested_latency_ratio * static_cast<double>(type.base_core_time))
        continue;
      cap_ *= cap_cut_factor;
      cap_cut_at_ = now;
      break;
    }
  }
  cap_ = std::clamp(cap_, cores_, max_running(now));
}

// ---- stall detection

// Called first by every public function. A jump of the clock means that the process was paused; that time
// does not count as a lack of progress on the cores.
void DecisionModule::advance_clock(Nanos now) {
  if (now - now_ > process_pause_threshold) last_progress_at_ = std::min(now, last_progress_at_ + now - now_);
  now_ = now;
}

// Detects cores that stall or crawl while ops are still being read: no run has ended or reached a call for
// far longer than the present number of concurrent runs should take. From then on no op is accepted, queued
// ops are nacked so that they can go elsewhere, and so are the retryable ops that hang on the cores. The
// stored health stays good: during an incident many servers stall for a moment, and the few left on the
// server list would get all the traffic. Drawback: a server may be affected by a single run that is truly
// that long, but such a run has to take many times the mean.
void DecisionModule::detect_stall(Nanos now) {
  if (on_core_ == 0 || stalled_) return;
  const bool known = std::none_of(ops_.begin(), ops_.end(), [this](const auto& entry) {
    return entry.second.stage == Stage::on_core &&
           types_[entry.second.type.raw].core_time.total() < min_samples;
  });
  const double runs = on_core_;
  const double usual =
      known ? stall_run_factor * work_on_core() / (runs * runs) * std::max(1.0, stall_min_runs / runs)
            : static_cast<double>(types_.front().target_latency);
  const Nanos limit = static_cast<Nanos>(usual / warm_fraction(now));
  if (now - last_progress_at_ <= std::max(limit, gauge_window)) return;
  stalled_ = true;
  for (auto& [id, op] : ops_) {
    if (op.stage != Stage::on_core || op.answered) continue;
    op.hung = true;
    if (types_[op.type.raw].retry_class == RetryClass::retryable) nack_hung(op);
  }
}

// ---- queue

// Core times and run times are recorded divided by the op's `work_factor` and so reflect this server's speed.
// The factor is the caller's work estimate in seconds, raised to a power between 0 and 1, or 1 without an
// estimate. As estimates are rough, the power starts at estimate_slope_prior and follows what runs show.
Nanos DecisionModule::core_time(const Op& op) const {
  const OpType& type = types_[op.type.raw];
  if (type.core_time.total() < min_samples)
    return static_cast<Nanos>(default_run_fraction * static_cast<double>(type.target_latency));
  return static_cast<Nanos>(type.core_time.mean() * op.work_factor);
}

double DecisionModule::work_on_core() const {
  double work = 0;
  for (const auto& [id, op] : ops_)
    if (op.stage == Stage::on_core) work += static_cast<double>(core_time(op));
  return work;
}

Nanos DecisionModule::run_time(const Op& op, double quantile) const {
  const OpType& type = types_[op.type.raw];
  if (type.run_time.total() < min_samples) return core_time(op);
  const Nanos whole =
      static_cast<Nanos>(static_cast<double>(type.run_time.quantile(quantile)) * op.work_factor);
  // A paused op has done part of its run.
  return std::max(whole / min_remaining_divisor, whole - op.core_time_used);
}

Nanos DecisionModule::target_deadline(const Op& op) const {
  const OpType& type = types_[op.type.raw];
  const Nanos stretch = static_cast<Nanos>(type.target_stretch * static_cast<double>(core_time(op)));
  return std::min(op.first_try_at + std::min(type.target_latency + stretch, type.op_timeout), op.due);
}

bool DecisionModule::can_meet_target(const Op& op, Nanos begin, double quantile) const {
  return begin + run_time(op, quantile) <= target_deadline(op);
}

double DecisionModule::value_density(const Op& op) const {
  double weight = types_[op.type.raw].importance * op.weight;
  if (op.tenant.raw < tenants_.size()) {
    const Tenant& tenant = tenants_[op.tenant.raw];
    const double within = tenant.rate > tenant.quota ? tenant.quota / tenant.rate : 1;
    weight *= within + (1 - within) * over_quota_weight_;
  }
  return value_by_work_ ? weight : weight / static_cast<double>(std::max<Nanos>(1, core_time(op)));
}

// Sorts the queue by latest start and walks it: where an op would start too late to be in time, the op with
// the lowest value density among those walked so far is nacked at once, so that its caller can go elsewhere.
// This prevents a queue in which every op is late. Drawback: ops are nacked needlessly if run times are
// overestimated.
void DecisionModule::plan_queue(Nanos now) {
  for (Op* op : queue_) op->latest_start_at = target_deadline(*op) - run_time(*op, planning_quantile);
  std::stable_sort(queue_.begin(), queue_.end(),
                   [](const Op* a, const Op* b) { return a->latest_start_at < b->latest_start_at; });
  // Runs that have to end before the first op can start.
  double runs_ahead = std::max(0.0, static_cast<double>(on_core_) - cap_ + 1);
  // The slower of cores and calls sets the pace.
  double backlog = static_cast<double>(parked_call_wait()) * cap_;
  const double call_cost = static_cast<double>(call_interval()) * cap_;
  const auto cost_of = [&](const Op* op) {
    return std::max(static_cast<double>(core_time(*op)), types_[op->type.raw].may_call ? call_cost : 0);
  };
  const double mean_work_on_core = runs_ahead > 0 ? work_on_core() / on_core_ : 0;
  const double rarity = std::max(0.0, 1 - nacked_fraction_ / rare_nack_fraction);
  const double wait_fraction = max_wait_fraction + (relaxed_wait_fraction - max_wait_fraction) * rarity;
  std::vector<Op*> rejected, accepted;
  for (Op* op : queue_) {
    if (!can_meet_target(*op, now, hopeless_quantile)) {
      rejected.push_back(op);
      continue;
    }
    accepted.push_back(op);
    const double work = static_cast<double>(core_time(*op));
    const Nanos begin =
        now + static_cast<Nanos>((runs_ahead * std::min(work, mean_work_on_core) + backlog) / cap_);
    backlog += cost_of(op);
    const bool short_wait =
        static_cast<double>(begin - now) <=
        std::min(relaxed_wait_fraction, wait_fraction * std::clamp(op->weight, 1.0, max_weight_wait_factor)) *
            static_cast<double>(types_[op->type.raw].target_latency);
    if (begin == now || (short_wait && can_meet_target(*op, begin, planning_quantile))) continue;
    const auto least_valuable =
        std::min_element(accepted.begin(), accepted.end(),
                         [this](const Op* a, const Op* b) { return value_density(*a) < value_density(*b); });
    backlog -= cost_of(*least_valuable);
    rejected.push_back(*least_valuable);
    accepted.erase(least_valuable);
  }
  for (Op* op : rejected)
    reject(now, *op, can_meet_target(*op, now, hopeless_quantile) ? Reason::line : Reason::hopeless);
}

// Number of ops in calls so short that they return before another op would have made progress. They count
// under the cap. This prevents one run too many on few cores, where all runs slow each other down for its
// whole length. Drawback: lost capacity where runs beyond the number of cores cost nothing.
int DecisionModule::returning_calls() const {
  double work = 0;
  for (const OpType& type : types_) work = std::max(work, type.core_time.mean());
  const bool brief =
      call_times_.total() >= min_samples &&
      static_cast<double>(call_times_.quantile(call_tail_quantile)) < short_call_fraction * work;
  return brief ? static_cast<int>(calls_.count()) - static_cast<int>(lingering_calls_.size()) : 0;
}

bool DecisionModule::core_available(Nanos now) const {
  const int cap = static_cast<int>(cap_);
  return on_core_ < cap && on_core_ + returning_calls() < cap &&
         running_ < static_cast<int>(max_running(now));
}

bool DecisionModule::may_start(Nanos now, const Op& op) const {
  if (!op.paused && projected_memory(op.held_kb * (run_memory_factor_ - 1)) > memory_fraction * memory_limit_)
    return false;
  const OpType& type = types_[op.type.raw];
  if (!type.may_call || type.value_fraction_without_call > 0) return true;
  // An op that must call is not started if it would only wait for its call until it is late.
  return breaker_allows(now) && static_cast<double>(parked_call_wait()) <=
                                    max_wait_fraction * static_cast<double>(type.target_latency);
}

void DecisionModule::schedule(Nanos now) {
  if (queue_.empty()) return;
  if (stalled_) {
    const std::vector<Op*> queued = queue_;
    for (Op* op : queued) reject(now, *op, Reason::stalled);
    queued_since_ = 0;
    return;
  }
  plan_queue(now);
  for (std::size_t i = 0; i < queue_.size() && core_available(now);) {
    Op& op = *queue_[i];
    if (may_start(now, op)) {
      start(now, op);
      i = 0;
    } else {
      ++i;
    }
  }
  preempt_for_urgent(now);
  if (queue_.empty())
    queued_since_ = 0;
  else if (queued_since_ == 0)
    queued_since_ = now;
}

// Pauses a run that has slack for a queued op that has none, where runs can be paused. This prevents short
// target latencies from being missed behind long runs, which may occupy all of a few cores; the cap stays the
// same. Drawback: a paused run keeps its memory, which matters where memory is short.
void DecisionModule::preempt_for_urgent(Nanos now) {
  if (halt_ != Halt::pause || on_core_ < static_cast<int>(cap_)) return;
  for (Op* op : queue_) {
    const Nanos required = core_time(*op);
    if (op->paused || op->latest_start_at - now > required) continue;
    Op* victim = nullptr;
    Nanos largest_slack = preemption_slack_factor * required;
    for (auto& [id, other] : ops_) {
      if (other.pause_requested) return; // a pause is already pending
      if (other.stage != Stage::on_core || other.answered || other.hung || other.paused ||
          types_[other.type.raw].retry_class != RetryClass::retryable)
        continue;
      if (const Nanos slack = target_deadline(other) - now - run_time(other, planning_quantile);
          slack > largest_slack) {
        victim = &other;
        largest_slack = slack;
      }
    }
    if (!victim) return;
    victim->pause_requested = true;
    server_.halt(victim->id);
    return;
  }
}

void DecisionModule::start(Nanos now, Op& op) {
  erase_item(queue_, &op);
  if (!op.paused) memory_kb_ += op.held_kb * (run_memory_factor_ - 1);
  ++running_;
  op.ran = true;
  join_core(now, op);
  set_continuations(op);
  server_.run(op.id);
  const std::vector<Op*> queued = queue_;
  for (Op* other : queued)
    if (other->original == op.id) reuse_original(now, *other);
}

// Sets the continuations of the step that the op is at.
void DecisionModule::set_continuations(Op& op) {
  if (op.stage == Stage::reusing)
    op.on_run_ended = [this](Op& ended, Outcome, Nanos) { erase_op(ended); };
  else if (op.stage != Stage::queued)
    op.on_run_ended = [this](Op& ended, Outcome outcome, Nanos elapsed) {
      on_run_end(now_, ended, outcome, elapsed);
    };
  if (op.stage == Stage::calling)
    op.on_call_ended = [this](Op& called, Outcome outcome, Nanos) { on_call_end(now_, called, outcome); };
}

void DecisionModule::join_core(Nanos now, Op& op) {
  op.stage = Stage::on_core;
  op.on_core_since = now;
  if (on_core_++ == 0) last_progress_at_ = now;
}

void DecisionModule::leave_core(Nanos now, Op& op) {
  if (op.stage != Stage::on_core) return;
  op.core_time_used += now - op.on_core_since;
  op.pause_requested = false;
  --on_core_;
  last_progress_at_ = now;
  stalled_ = false;
}

void DecisionModule::on_run_end(Nanos now, Op& op, Outcome outcome, Nanos elapsed) {
  leave_core(now, op);
  if (op.stage == Stage::calling) {
    // The call is abandoned but still in progress downstream. If it was a trial, its end will not be
    // reported.
    lingering_calls_.push_back(now + call_linger_);
    trial_call_in_flight_ = false;
  }
  erase_item(parked_, &op);
  --running_;
  const bool requeued = outcome == Outcome::halted && !op.answered; // returns to the queue
  op.paused = op.paused || (requeued && halt_ == Halt::pause);
  if (!requeued || !op.paused) memory_kb_ -= op.held_kb * (run_memory_factor_ - 1);
  if (outcome == Outcome::moot) keys_.erase(op.id); // nothing was started
  if (outcome == Outcome::done && !op.hung) {
    OpType& type = types_[op.type.raw];
    const Nanos core = static_cast<Nanos>(static_cast<double>(op.core_time_used) / op.work_factor);
    if (op.work_estimate > 0 && op.core_time_used > 0)
      estimate_slope_.record(op.work_estimate, static_cast<double>(op.core_time_used));
    if (!op.paused) type.run_time.record(static_cast<Nanos>(static_cast<double>(elapsed) / op.work_factor));
    type.core_time.record(core);
    type.recent_core_time.record(core);
    const Nanos usual = type.recent_core_time.quantile(0.5);
    if (type.recent_core_time.total() >= min_samples)
      type.base_core_time =
          type.base_core_time == 0
              ? usual
              : std::min(usual, type.base_core_time + type.base_core_time / base_rise_divisor);
  }
  if (requeued) {
    op.stage = Stage::queued;
    queue_.push_back(&op);
    if (types_[op.type.raw].retry_class != RetryClass::retryable) fail_op(op, Reason::fell_back);
    return;
  }
  erase_op(op);
}

// ---- final answers

void DecisionModule::erase_op(Op& op) {
  erase_item(queue_, &op);
  erase_item(parked_, &op);
  memory_kb_ -= op.held_kb * (op.paused && op.stage == Stage::queued ? run_memory_factor_ : 1);
  ops_.erase(op.id);
}

// Nacks a queued op that never ran. An op that did run is failed, since a nack would promise that it did not.
// The caller is asked not to retry elsewhere if that is hopeless, if this op was already such a retry, and
// otherwise with a probability that grows with the fraction of ops that are retries (where retries are not
// marked: of ops nacked here). This avoids nacks that only multiply reading and connecting while other
// servers are just as full. Drawback: if few servers have room, the first tries may not find them.
void DecisionModule::reject(Nanos now, Op& op, Reason reason) {
  if (op.ran) return fail_op(op, reason);
  ++recent_nacked_;
  if (!stalled_) nacked_fraction_ += fraction_step;
  mean_nacked_rank_ += (op.rank - mean_nacked_rank_) * nacked_rank_step;
  forget_unused_key(op);
  const bool hopeless = now + run_time(op, hopeless_quantile) / max_remote_speedup > target_deadline(op);
  const bool local_problem = stalled_ || drain_started_at_ >= 0; // other servers may be in a better state
  const bool others_full =
      !local_problem &&
      (op.is_retry ||
       random_.unit() < no_retry_factor * (callers_mark_retries_ ? retry_fraction_ : nacked_fraction_));
  server_.nack(op.id, reason, hopeless || others_full, retry_after());
  erase_op(op);
}

// Nacks a retryable op that hangs on the cores: its run has no value here and may be repeated elsewhere.
void DecisionModule::nack_hung(Op& op) {
  server_.nack(op.id, Reason::hung, false, retry_after());
  release(op);
}

// Fails an op at any stage. A run on the cores is halted where possible; otherwise it continues and its
// result is discarded.
void DecisionModule::fail_op(Op& op, Reason reason) {
  server_.fail(op.id, reason);
  release(op);
}

// Called after the final answer, or when no caller waits for an answer any more.
void DecisionModule::release(Op& op) {
  op.answered = true;
  erase_item(parked_, &op);
  if (op.stage == Stage::queued || op.stage == Stage::reusing)
    erase_op(op);
  else if (op.stage == Stage::on_core && halt_ != Halt::none)
    server_.halt(op.id);
}

// Ensures that no op is lost: whatever delays it, it is answered by its due time. This covers runs that hang,
// calls that do not end and ops that wait to reuse a result.
void DecisionModule::answer_due_ops(Nanos now) {
  std::vector<Op*> late;
  for (auto& [id, op] : ops_)
    if (!op.answered && op.due <= now + 2 * tick) late.push_back(&op);
  for (Op* op : late) {
    if (op->stage == Stage::queued && !op->ran && op->original == no_op_id)
      reject(now, *op, Reason::due);
    else
      fail_op(*op, Reason::due);
  }
}

// ---- memory and keys

double DecisionModule::projected_memory(double kb) const {
  return memory_kb_ + kb + key_kb_ * static_cast<double>(keys_.size());
}

// Keeps the key entry until the end of its window, which starts with the arrival at the machine, but for at
// least one tick: otherwise two tries that both waited unread for longer than a short window would both run.
// Returns false if there is not enough memory.
bool DecisionModule::store_key(Nanos now, Op& op) {
  const Nanos lifetime = std::max(tick, op.received_at + types_[op.type.raw].key_window - now);
  if (projected_memory(key_kb_) > memory_fraction * memory_limit_) return false;
  keys_.erase(op.original);
  keys_[op.id] = now + lifetime;
  op.key_kept = true;
  server_.keep_key(op.id, lifetime);
  return true;
}

// Removes the key entry of an op that ends without a run. An op that ran is remembered until the end of its
// window.
void DecisionModule::forget_unused_key(const Op& op) {
  if (!op.key_kept || op.ran) return;
  server_.forget_key(op.id);
  keys_.erase(op.id);
}

// Returns true if the op needs no run of its own because the op that it repeats is running here or has run. A
// keyed op replaces its first try if that is still queued: as tries of one request follow each other, the
// caller has abandoned the first.
bool DecisionModule::reuse_original(Nanos now, Op& op) {
  const auto first = ops_.find(op.original);
  if (first != ops_.end() && first->second.stage == Stage::queued && !first->second.ran) {
    if (types_[op.type.raw].retry_class == RetryClass::retryable) return false;
    op.first_try_at = std::min(op.first_try_at, first->second.first_try_at);
    reject(now, first->second, Reason::replaced);
    op.original = no_op_id;
    return false;
  }
  erase_item(queue_, &op);
  op.stage = Stage::reusing;
  set_continuations(op);
  server_.reuse(op.id);
  return true;
}

// ---- calls

bool DecisionModule::breaker_allows(Nanos now) const {
  if (consecutive_failures_ < breaker_failure_threshold) return true;
  return now >= breaker_open_until_ && !trial_call_in_flight_;
}

// Protects the downstream service: the mean number of calls in flight, abandoned ones included, must stay
// within this server's share even if all of them take as long as they may. However small the share is, one
// short call at a time may be made while the mean is below half of it; otherwise a server might never call at
// all.
bool DecisionModule::call_fits_budget(Nanos time_out) const {
  if (call_share_ <= 0) return true;
  // The end of the call is not enough: calls in flight before it must have left the window by then.
  double max_mean = 0;
  for (int step = 0; step <= call_mean_samples; ++step)
    max_mean = std::max(
        max_mean, calls_.mean_with(calls_.count() + 1, (time_out + call_linger_) * step / call_mean_samples));
  if (max_mean <= call_budget_fraction * call_share_) return true;
  return calls_.count() == 0 && time_out <= default_call_timeout &&
         calls_.mean_with(0, 0) <= single_call_fraction * call_budget_fraction * call_share_;
}

void DecisionModule::park_at_call(Op& op) {
  op.stage = Stage::at_call;
  parked_.push_back(&op);
}

// Starts calls of parked ops in order of arrival. An op that may not call yet continues without the call
// where that has some value; otherwise it waits for as long as it can still be in time.
void DecisionModule::dispatch_calls(Nanos now) {
  calls_.advance(now);
  std::vector<Op*> parked = parked_;
  std::stable_partition(parked.begin(), parked.end(),
                        [&](const Op* op) { return now < target_deadline(*op); });
  for (Op* op : parked) { // ops that can still be in time come first
    if (now < op->next_call_at && !op->call_may_have_run) continue;
    const OpType& type = types_[op->type.raw];
    // Behind a load balancer, a server that does not answer in the usual time is abandoned for another one,
    // in case it is cut off or hangs. Calls to a single service get a shorter time-out if replies have been
    // lost while it is fast, so that replies that never arrive do not use up the share.
    const bool known = call_times_.total() >= min_samples;
    const Nanos tail = call_loss_timeout();
    Nanos usual = op->due - now;
    if (known && load_balanced_downstream_)
      usual = consecutive_failures_ > 0 ? tail / 2 : tail;
    else if (known && lost_call_fraction_ > call_loss_threshold && !downstream_congested())
      usual = std::max(tail, type.retry_class == RetryClass::retryable ? default_call_timeout / 4
                                                                       : default_call_timeout / 2);
    const Nanos left = target_deadline(*op) - core_time(*op) / 2 - now;
    // An op that can't be in time any more ends here, as other ops make better use of its remaining work. A
    // keyed op continues, since a repeat could not be run.
    if (left <= 0 && type.retry_class == RetryClass::retryable && type.late_value_fraction == 0) {
      fail_op(*op, Reason::late_at_call);
      continue;
    }
    const bool skippable = type.value_fraction_without_call > 0 && left > 0;
    Nanos time_out = std::min({skippable ? left : op->due - now, op->due - now, usual});
    const bool fits = time_out > 0 && (!skippable || !known || left >= call_times_.quantile(0.5));
    // A small share has no room for calls that might take that long: a shorter time-out keeps it usable.
    if (!call_fits_budget(time_out)) time_out = std::min(time_out, tail);
    if (known && !call_fits_budget(time_out))
      time_out = std::min(time_out, 2 * call_tail_factor * recent_call_times_.quantile(0.5));
    // Servers that start cold together could all call at the same moment; a random delay separates them.
    const bool room = call_fits_budget(time_out);
    if (!room && call_limit_ < 1 && warm_fraction(now) < 1) next_call_at_ = delay_not_drawn;
    if (room && next_call_at_ == delay_not_drawn)
      next_call_at_ = now + static_cast<Nanos>(random_.unit() * max_call_delay());
    if (!op->call_may_have_run && breaker_allows(now) && room && fits &&
        (skippable || call_slot_available(now))) {
      erase_item(parked_, op);
      op->stage = Stage::calling;
      op->called_at = now;
      calls_.change(now, 1);
      if (consecutive_failures_ >= breaker_failure_threshold) trial_call_in_flight_ = true;
      set_continuations(*op);
      server_.call(op->id, time_out);
    } else if (type.value_fraction_without_call > 0) {
      erase_item(parked_, op);
      join_core(now, *op);
      server_.answer_without_call(op->id);
    } else if (op->call_may_have_run) {
      fail_op(*op, Reason::call_lost);
    }
  }
}

// A call that takes longer is considered lost: its reply will not arrive, and it does not load the downstream
// service.
Nanos DecisionModule::call_loss_timeout() const {
  return call_times_.total() >= min_samples ? 2 * call_tail_factor * call_times_.quantile(call_tail_quantile)
                                            : default_call_timeout;
}
bool DecisionModule::downstream_congested() const {
  return recent_call_times_.total() >= min_samples &&
         static_cast<double>(recent_call_times_.quantile(0.5)) >
             congested_latency_ratio * static_cast<double>(base_call_time_);
}

// Allows a few concurrent calls however small the share is, as the budget bounds their mean. A cold server
// gets no more than its share: others may be as cold, and all of them start together. A limit below one is
// enforced by delays between calls.
double DecisionModule::max_concurrent_calls(Nanos now) const {
  const double part = max_call_fraction * call_share_;
  return warm_fraction(now) < 1 ? part : std::max(min_concurrent_calls, part);
}

double DecisionModule::max_call_delay() const {
  return std::min(static_cast<double>(max_first_call_delay),
                  static_cast<double>(default_call_timeout) / call_limit_);
}

// Prevents calls from piling up downstream and slowing each other down until forty achieve less than three
// would: only as many are in flight as do not make the usual call take twice its base time. Where even one
// per server is too many, delays between calls reduce the rate further. The base follows a service that is
// slow by itself. Drawback: a service that is slow at any load gets fewer calls than it could handle.
void DecisionModule::adjust_call_limit(Nanos now, Nanos elapsed) {
  // A stalled downstream service affects all servers, and all of them resume calling at the same
  // time, so the limit starts low.
  if (elapsed > call_loss_timeout() && now - elapsed >= newest_completed_call_at_)
    call_limit_ = std::min(call_limit_, min_call_fraction * call_share_);
  next_call_at_ =
      call_limit_ > 0 ? now + static_cast<Nanos>(static_cast<double>(elapsed) / call_limit_) - elapsed : 0;
  recent_call_times_.record(elapsed);
  if (recent_call_times_.total() < min_samples) return;
  const Nanos usual = recent_call_times_.quantile(0.5);
  base_call_time_ =
      base_call_time_ == 0 ? usual : std::min(usual, base_call_time_ + base_call_time_ / base_rise_divisor);
  if (!downstream_congested()) {
    if (!parked_.empty())
      call_limit_ = std::min(call_limit_ + 1 / call_limit_, call_limit_ * cap_growth_factor);
    call_limit_ = std::min(call_limit_, max_concurrent_calls(now));
  } else if (now - call_limit_cut_at_ >= usual) {
    const double least = std::max(min_call_fraction * call_share_,
                                  std::min(min_concurrent_calls, few_calls_fraction * call_share_));
    call_limit_ = std::max(call_limit_ * cap_cut_factor, std::min(call_limit_, least));
    call_limit_cut_at_ = now;
  }
}

// If a call has exceeded the tail and no call made after it has returned, the downstream service is stalled.
// Without this check every server would fill its share meanwhile with calls that later end together. One call
// per second probes the service, so that a single lost reply does not hold back all calls until its op is
// due. Including the probe, no more calls are in flight than are allowed in normal operation; with a limit
// below one, time-outs are short and delays follow.
bool DecisionModule::call_slot_available(Nanos now) const {
  if (call_share_ <= 0) return true;
  const Nanos loss_timeout = call_loss_timeout();
  int in_flight = 0;
  bool downstream_stalled = false;
  Nanos newest_call_at = 0;
  for (const auto& [id, op] : ops_) {
    if (op.stage != Stage::calling) continue;
    const bool overdue = now - op.called_at > loss_timeout;
    downstream_stalled = downstream_stalled || (overdue && op.called_at >= newest_completed_call_at_);
    in_flight += !overdue;
    newest_call_at = std::max(newest_call_at, op.called_at);
  }
  if (call_limit_ < 1)
    return !downstream_stalled && in_flight == 0 && next_call_at_ != delay_not_drawn && now >= next_call_at_;
  if (downstream_stalled)
    return in_flight == 0 && now - newest_call_at >= breaker_max_delay &&
           calls_.count() + 1 <= max_concurrent_calls(now);
  return in_flight < static_cast<int>(call_limit_);
}

// Mean time between the ends of calls while as many are in flight as allowed.
Nanos DecisionModule::call_interval() const {
  const auto usual = static_cast<double>(recent_call_times_.quantile(0.5));
  return call_share_ > 0 ? static_cast<Nanos>(usual / call_limit_) : 0;
}
// Time until a call could start after those of all parked ops.
Nanos DecisionModule::parked_call_wait() const {
  return static_cast<Nanos>(parked_.size()) * call_interval();
}

void DecisionModule::record_call(Nanos now, Outcome outcome, Nanos elapsed) {
  if (outcome == Outcome::done || outcome == Outcome::timed_out) adjust_call_limit(now, elapsed);
  // A call is lost if one made after it has returned; otherwise the downstream service is slow or stalled.
  const bool lost =
      outcome == Outcome::cut || (outcome == Outcome::timed_out && now - elapsed < newest_completed_call_at_);
  lost_call_fraction_ += (lost - lost_call_fraction_) * fraction_step / 4;
  if (outcome == Outcome::moot) return; // says something about the run, not about the downstream service
  if (outcome == Outcome::done) {
    call_times_.record(elapsed);
    newest_completed_call_at_ = std::max(newest_completed_call_at_, now - elapsed);
    consecutive_failures_ = 0;
    breaker_delay_ = 0;
    trial_call_in_flight_ = false;
    return;
  }
  ++consecutive_failures_;
  if (consecutive_failures_ < breaker_failure_threshold) return;
  if (breaker_delay_ == 0 || trial_call_in_flight_) {
    breaker_delay_ = std::clamp(2 * breaker_delay_, breaker_initial_delay, breaker_max_delay);
    breaker_open_until_ =
        now + breaker_delay_ + static_cast<Nanos>(random_.unit() * static_cast<double>(breaker_delay_) / 2);
  }
  trial_call_in_flight_ = false;
}

void DecisionModule::on_call_end(Nanos now, Op& op, Outcome outcome) {
  outcome == Outcome::timed_out ? lingering_calls_.push_back(now + call_linger_) : calls_.change(now, -1);
  if (outcome == Outcome::done) return join_core(now, op);
  if (types_[op.type.raw].retry_class != RetryClass::retryable && !proves_not_run(outcome))
    op.call_may_have_run = true;
  if (op.answered) {
    op.stage = Stage::at_call;
    return;
  }
  // Consecutive tries of one op must not open the breaker for all: a single shared service would fail them in
  // the same way.
  if (!load_balanced_downstream_) op.next_call_at = now + std::max(tick, call_times_.quantile(0.5));
  park_at_call(op);
}

// ---- feedback to callers

Nanos DecisionModule::retry_after() const {
  if (stalled_) return max_retry_after_;
  double backlog = 0;
  for (const Op* op : queue_) backlog += static_cast<double>(core_time(*op));
  return std::min(max_retry_after_, static_cast<Nanos>(backlog / cap_));
}

// Number of equally active callers whose traffic would be as uneven as that of the callers that still
// remember their feedback: a few of them carry most of it. Tokens are not shared among callers that forget
// them before their next op.
double DecisionModule::effective_callers() const {
  double sum = 0, squares = 0;
  for (const auto& [id, caller] : by_caller_) {
    if (now_ - caller.last > feedback_lifetime_) continue;
    sum += caller.ops;
    squares += caller.ops * caller.ops;
  }
  return squares > 0 ? std::max(1.0, sum * sum / squares) : configured_callers_;
}

// Records the time since the caller's last op. For a caller not heard from lately it is estimated as if all
// callers took turns.
void DecisionModule::record_caller(Nanos now, CallerId id) {
  ++ops_read_;
  if (by_caller_.size() >= max_callers && !by_caller_.contains(id)) return;
  const auto [entry, is_new] = by_caller_.try_emplace(id);
  Caller& caller = entry->second;
  const double mean_gap = configured_callers_ * static_cast<double>(now - started_at_) / ops_read_;
  caller_gaps_.record(
      is_new ? static_cast<Nanos>(std::min(mean_gap, static_cast<double>(configured_idle_timeout_)))
             : now - caller.last);
  ++caller.ops;
  caller.last = now;
}

// Avoids both a table full of silent connections, where callers find no free slot while the cores idle, and
// the cost of a new connection for every op. The gaps between the ops of each caller show how many
// connections would be open and how many would be remade for any idle timeout; the cheapest timeout is used.
// Drawback: the choice is wrong where a new connection costs far more, or an open one far less, than half of
// the configured idle timeout implies.
void DecisionModule::adjust_idle_timeout() {
  if (configured_idle_timeout_ <= 0 || caller_gaps_.total() < min_samples) return;
  const auto cost = [&](Nanos timeout) {
    return caller_gaps_.fraction_above(timeout) *
               static_cast<double>(configured_idle_timeout_ / reconnect_cost_divisor) +
           caller_gaps_.capped_mean(timeout);
  };
  const double current_cost = cost(idle_timeout_);
  Nanos best = idle_timeout_;
  double lowest_cost = current_cost;
  for (Nanos timeout = configured_idle_timeout_; timeout >= configured_idle_timeout_ >> max_idle_halvings;
       timeout /= 2)
    if (const double candidate_cost = cost(timeout); candidate_cost < lowest_cost) {
      best = timeout;
      lowest_cost = candidate_cost;
    }
  if (lowest_cost > (1 - min_idle_gain) * current_cost) return;
  idle_timeout_ = best;
  server_.set_idle_timeout(best);
}

void DecisionModule::update_feedback(Nanos now) {
  if (now - counting_since_ >= feedback_interval) {
    const double periods =
        static_cast<double>(now - counting_since_) / static_cast<double>(feedback_interval);
    const bool overloaded = recent_nacked_ * reading_fraction_ > wasted_reading_threshold * recent_read_ ||
                            recent_unread_ > unread_threshold * recent_read_;
    admission_level_ = overloaded ? std::max(min_admission_level, admission_level_ * admission_cut_factor)
                                  : std::min(1.0, admission_level_ + admission_raise_step);
    recent_read_ = recent_nacked_ = recent_unread_ = 0;
    counting_since_ = now;
    for (auto& [id, caller] : by_caller_) caller.ops *= rate_decay;
    std::erase_if(by_caller_, [&](const auto& entry) {
      return entry.second.ops < min_caller_ops && now - entry.second.last > configured_idle_timeout_;
    });
    adjust_idle_timeout();
    for (Tenant& tenant : tenants_) tenant.rate *= std::pow(rate_decay, periods);
  }
  double value = 0;
  const double level = drain_started_at_ >= 0 || stalled_ ? 0 : admission_level_;
  switch (feedback_) {
  case Feedback::none:
    return;
  case Feedback::level:
    value = level <= 0 ? 1 : std::min(1 - level, mean_nacked_rank_);
    break;
  case Feedback::bias:
    value = level;
    break;
  case Feedback::tokens:
    value = tokens_per_cap * cap_ * level;
    if (level < 1) value /= effective_callers();
    break;
  }
  if (std::abs(value - last_feedback_) <= feedback_change_threshold * std::max(value, last_feedback_)) return;
  last_feedback_ = value;
  server_.notify_callers(value);
}

// ---- events

void DecisionModule::op_read(Nanos now, OpId id, OpTypeId type_id, TenantId tenant, KeyId key,
                             CallerId caller, Nanos time_left, Nanos waited, Nanos work_estimate,
                             double held_kb, double rank, bool is_retry, OpId original, double weight) {
  advance_clock(now);
  if (type_id.raw >= types_.size()) throw std::invalid_argument("an op of an unknown op type");
  OpType& type = types_[type_id.raw];
  Op& op = ops_[id];
  op.id = id;
  op.type = type_id;
  op.tenant = tenant;
  op.original = original;
  op.key = key;
  op.received_at = now - waited;
  op.work_estimate = static_cast<double>(work_estimate) / static_cast<double>(second);
  op.work_factor =
      work_estimate > 0
          ? std::pow(op.work_estimate, estimate_slope_.value(estimate_slope_prior, estimate_prior_weight))
          : 1;
  op.held_kb = held_kb;
  op.rank = rank;
  op.due = time_left > 0 ? now + time_left : std::max(now, op.received_at + type.op_timeout);
  op.first_try_at = op.received_at;
  op.is_retry = is_retry;
  op.weight = weight;
  // Callers use few different timeouts, and first tries start with one of them. Any other value is what is
  // left to a retry, and shows how old its first try is. This avoids running ops whose answers are of no use
  // any more.
  const Nanos timeout = time_left + waited;
  if (time_left > 0 && type.caller_timeouts.record(timeout) < common_timeout_fraction &&
      type.caller_timeouts.total() >= min_samples) {
    op.first_try_at =
        op.received_at + std::min<Nanos>(0, timeout - type.caller_timeouts.next_above(
                                                          timeout, common_timeout_fraction, type.op_timeout));
    op.is_retry = true;
  }
  if (drain_started_at_ >= 0) op.due = std::min(op.due, answer_by_);
  memory_kb_ += held_kb;
  ++recent_read_;
  nacked_fraction_ -= nacked_fraction_ * fraction_step;
  retry_fraction_ += ((is_retry ? 1 : 0) - retry_fraction_) * fraction_step;
  record_caller(now, caller);
  // Unread ops show only by how long they waited once they are read: no nack indicates such a backlog.
  if (waited > type.target_latency / unread_wait_divisor) ++recent_unread_;
  if (tenant.raw < tenants_.size())
    tenants_[tenant.raw].rate += (1 - rate_decay) * second / feedback_interval;

  // Checked before the keys: a repeat that waits for its original takes memory too, and may not be nacked if
  // the original has run.
  if (projected_memory(0) > memory_fraction * memory_limit_)
    return original != no_op_id ? fail_op(op, Reason::memory) : reject(now, op, Reason::memory);
  if (original != no_op_id && reuse_original(now, op)) return;
  // A large op that is more likely than not to be late on these cores has better chances on faster ones. Only
  // first tries are redirected, so that no op is passed around, and only where retries can be told from first
  // tries.
  if (callers_mark_retries_ && !is_retry && work_estimate > 0 &&
      !can_meet_target(op, now, redirect_quantile) &&
      now + run_time(op, redirect_quantile) / max_remote_speedup <= target_deadline(op)) {
    return reject(now, op, Reason::too_big);
  }
  admit(now, op);
}

void DecisionModule::reuse_failed(Nanos now, OpId id, OpId original) {
  advance_clock(now);
  const auto at = ops_.find(id);
  if (at == ops_.end() || at->second.stage != Stage::reusing) return;
  Op& op = at->second;
  op.original = original;
  op.stage = Stage::queued;
  if (original == no_op_id || !reuse_original(now, op)) admit(now, op);
}

// Nacks an op or adds it to the queue.
void DecisionModule::admit(Nanos now, Op& op) {
  const OpType& type = types_[op.type.raw];
  if (drain_started_at_ >= 0 && now > serve_until_) return reject(now, op, Reason::leaving);
  const bool shared = type.retry_class == RetryClass::retryable && fresh_for_ > 0 && op.key != no_key_id;
  if (type.retry_class == RetryClass::keyed && !store_key(now, op))
    return reject(now, op, Reason::key_memory);
  if (shared && projected_memory(key_kb_) < shared_read_memory_fraction * memory_limit_) {
    keys_[op.id] = op.due + fresh_for_;
    op.key_kept = true;
    server_.keep_key(op.id, op.due + fresh_for_ - now);
  }
  queue_.push_back(&op);
  schedule(now);
}

void DecisionModule::op_cancelled(Nanos now, OpId id) {
  advance_clock(now);
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  Op& op = at->second;
  forget_unused_key(op);
  if (!op.answered) release(op);
  schedule(now);
}

void DecisionModule::run_ended(Nanos now, OpId id, Outcome outcome, Nanos elapsed) {
  advance_clock(now);
  const auto at = ops_.find(id);
  if (at == ops_.end() || !at->second.on_run_ended) return;
  const Op::Next next = std::move(at->second.on_run_ended);
  next(at->second, outcome, elapsed);
  dispatch_calls(now);
  schedule(now);
}

void DecisionModule::call_wanted(Nanos now, OpId id) {
  advance_clock(now);
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  leave_core(now, at->second);
  if (at->second.answered)
    at->second.stage = Stage::at_call;
  else
    park_at_call(at->second);
  dispatch_calls(now);
  schedule(now);
}

void DecisionModule::call_ended(Nanos now, OpId id, Outcome outcome, Nanos elapsed) {
  advance_clock(now);
  record_call(now, outcome, elapsed);
  const auto at = ops_.find(id);
  if (at == ops_.end() || at->second.stage != Stage::calling) return;
  const Op::Next next = std::move(at->second.on_call_ended);
  next(at->second, outcome, elapsed);
  dispatch_calls(now);
  schedule(now);
}

void DecisionModule::woken(Nanos now, WakeId, std::span<const double> gauges) {
  advance_clock(now);
  const auto read = [&](int gauge, double& into) {
    if (gauge >= 0 && static_cast<std::size_t>(gauge) < gauges.size())
      into = gauges[static_cast<std::size_t>(gauge)];
  };
  read(busy_gauge_, busy_);
  read(runnable_gauge_, runnable_);
  if (runnable_ > 0) {
    const double reading = std::max(0.0, runnable_ - on_core_) / std::max(runnable_, cores_);
    reading_fraction_ += (reading - reading_fraction_) * reading_average_step;
  }
  calls_.advance(now);
  std::erase_if(lingering_calls_, [&](Nanos end) {
    if (end > now) return false;
    calls_.change(now, -1);
    return true;
  });
  std::erase_if(keys_, [&](const auto& entry) { return entry.second <= now; });
  answer_due_ops(now);
  detect_stall(now);
  adjust_cap(now);
  dispatch_calls(now);
  schedule(now);
  update_feedback(now);
  // After the shutdown delay no op is served: callers that are told so, or get no connection, lose no time
  // here.
  if (drain_started_at_ >= 0 && now > serve_until_ && !stopped_accepting_) {
    stopped_accepting_ = true;
    server_.stop_accepting();
  }
  server_.wake_at(now + tick, WakeId{1});
}

void DecisionModule::machine_up(Nanos now, Nanos since) {
  advance_clock(now);
  started_at_ = now - since;
  last_progress_at_ = now;
  // The previous server here ended with the machine, and may have had its whole share of calls in flight.
  calls_.assume(started_at_, call_budget_fraction * call_share_);
}

// The stored health turns bad at once. Ops are served until the shutdown delay ends: at the end of the
// grace period, or earlier if a run would not end before the kill otherwise. Every op that was read is
// answered before the kill. If the process was paused, the notice may have come at any time during the pause,
// so the times are counted from its beginning, whatever else was handled since.
void DecisionModule::drain(Nanos now, Nanos not_before, Nanos until_kill) {
  const Nanos earliest = std::min(not_before, now_);
  const Nanos noticed = now - earliest > process_pause_threshold ? earliest : now;
  advance_clock(now);
  if (drain_started_at_ >= 0) return;
  drain_started_at_ = now;
  server_.health(false, true);
  answer_by_ = noticed + until_kill - 2 * tick;
  Nanos run = 0;
  for (const OpType& type : types_) run = std::max(run, type.run_time.quantile(planning_quantile));
  serve_until_ = std::min(noticed + drain_grace_, answer_by_ - run);
  for (auto& [id, op] : ops_) op.due = std::min(op.due, answer_by_);
  schedule(now);
  update_feedback(now);
}

} // namespace cometshift
