// cometshift's decisions, all of them. One `DecisionModule` serves one server: call `op_read` and the others
// below as things happen; it acts at once through the `Server` that it was built with. Both are declared in
// decision_module.hpp, what is remembered of an op in state.hpp.
//
// The design (docs/design.md) decides the ordinary path: health is stored and turns bad at the drain notice,
// ops are served through the shutdown delay, and a cap bounds the running ops. Beside it stand six
// mechanisms:
//   1. hold: the order, pauses for urgent ops, and which are nacked, by importance still to be won per work
//   2. guard: memory and the crowd on the cores, by warmth; every op answered by its due time
//   3. keys: repeats of keyed ops are known and never run twice; reads may share answers
//   4. calls: a budget, time-outs, a breaker, answers without the call
//   5. callers: the value they are told, advice to stay away and not to retry elsewhere, idle connections
//   6. stall watch: progress is asked for before the gauge of the cores is believed
#include "decision_module.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos second = 1000 * ms;

constexpr Nanos tick = 20 * ms; // between looks: short against target latencies; dues are met two early
constexpr Nanos gauge_window = 500 * ms; // what the gauge of the cores averages over
constexpr double free_cores_threshold =
    0.9; // part of the cores busy: under it they read free, noise allowed for
constexpr double cap_growth_factor =
    1.25;                               // a tick: doubles within four, fast against a gauge of half a second
constexpr double cap_cut_factor = 0.85; // a cut: undoes about one step of growth
constexpr Nanos cap_cut_interval = 500 * ms;  // between cuts: as long as the gauge takes to show the last
constexpr double congested_latency_ratio = 2; // times the base: the design's figure
constexpr double max_running_fraction = 0.85; // of the survivable crowd: room for what resumes unasked
constexpr double memory_fraction = 0.95;      // of the memory: room for ops read in the same instant
constexpr double shared_read_memory_fraction =
    0.5; // of the memory: reads are remembered only under it, keys come first
constexpr double call_budget_fraction = 0.9; // of the share of calls: room for the time a reply takes
constexpr float long_history = 64;  // ops until a histogram is halved: ten seconds or so of one op type
constexpr float short_history = 24; // the same for what is to show the last seconds
constexpr float min_samples = 8;    // ops in a histogram before it is believed
constexpr float common_timeout_fraction =
    0.1; // of the patiences told: what comes more seldom is left of a later try
constexpr Nanos base_rise_divisor =
    256; // part of it a base rises a run: hundreds, so a jam doesn't become one
constexpr double planning_quantile = 0.7; // part of runs that take no longer than planned for
constexpr double redirect_quantile = 0.5; // a run that long must fit, or the op is sent on to another server
// of the target latency: a longer wait leaves no time to go elsewhere
constexpr double max_wait_fraction = 0.25;
constexpr double relaxed_wait_fraction = 0.75; // the same while nacks are rare: a line by chance is soon gone
constexpr double max_weight_wait_factor =
    1.4; // times, of what counts for more than others: at twice, runs begin too late
constexpr double rare_nack_fraction =
    0.125;                                 // part of the ops read: under it, the rarer, the longer lines stay
constexpr Nanos min_remaining_divisor = 4; // part of a run that a paused one is thought to need at the least
constexpr Nanos preemption_slack_factor =
    2; // of the urgent op: a run that is paused for it must have more to spare
constexpr double hopeless_quantile = 0.2;    // under this chance of being in time an op is not begun
constexpr Nanos max_remote_speedup = 2;      // times: another server may be as much faster than this one
constexpr double estimate_slope_prior = 0.5; // of the spread of a caller's guess, before its worth is known
constexpr double estimate_slope_step = 1.0 / 128; // of a run in that worth: some hundred runs make it
constexpr double estimate_prior_weight = 8;       // ops that this trust weighs as much as
constexpr double default_run_fraction = 0.25;     // of the target latency: a run's length before any was seen
constexpr Nanos call_tail_factor =
    2; // times the 95th of 100 calls after a failure, four else: longer is lost
constexpr double call_tail_quantile =
    0.95; // part of the calls that are shorter: the tail is looked at from there
constexpr double short_call_fraction =
    0.05; // of a run: waiting it out idles a core less than a run too many costs
constexpr double single_call_fraction =
    0.5; // of the share that a lone short call may find used: it adds little itself
constexpr double max_call_fraction = 0.8; // of the share: what lies below slows long before it breaks
constexpr double min_call_fraction =
    0.15; // of the share, in hand at once however slow they are: it crowds nothing
constexpr double few_calls_fraction =
    0.5; // of the share, at the most a few: in hand at once though they are slow
constexpr double min_concurrent_calls =
    2; // in hand at once however small the share: the budget guards its mean
constexpr Nanos max_first_call_delay = 4 * second; // of a cold server before a call, at the most
constexpr Nanos delay_not_drawn = -1;              // that rest, until a call fits
constexpr double call_loss_threshold = 0.005;      // part of them: one of the last few hundred
constexpr int call_mean_samples = 4; // points of a call's time at which the mean in hand is looked at
constexpr Nanos default_call_timeout =
    200 * ms; // a call's time-out where little fits, none seen: some round trips
constexpr int breaker_failure_threshold = 5;      // calls failing in a row: as the operators' staff know it
constexpr Nanos breaker_initial_delay = 250 * ms; // the breaker's first rest, then doubled: some round trips
constexpr Nanos breaker_max_delay =
    second; // its longest: a call a second is no load, more would outlast the trouble
constexpr Nanos feedback_interval = 500 * ms; // over which nacks are counted for what callers are told
constexpr double rate_decay = 0.8; // part of the rate before that a count leaves: about two seconds
constexpr double admission_raise_step = 0.05; // raised a count without nacks: back within ten seconds
constexpr double admission_cut_factor = 0.8;  // lowered a count with nacks
constexpr double min_admission_level = 0.1;   // never shut: some traffic must tell when it may open again
constexpr Nanos unread_wait_divisor =
    4; // of the target latency: waiting longer than that to be read is a line
constexpr Nanos process_pause_threshold =
    3 * tick;                           // between calls in: a process that runs is woken every tick
constexpr double stall_run_factor = 10; // mean runs without progress: chance does that once in thousands
constexpr double stall_min_runs = 3;    // on the cores: fewer may all be long ones, and are given longer
constexpr double wasted_reading_threshold =
    0.02; // part of the cores that reads what is nacked: less isn't worth a word
constexpr double unread_threshold = 0.05; // part of those read that waited long for it: fewer are chance
constexpr double reading_average_step =
    0.02; // of the part of the cores that reading takes, a look: the last second
constexpr double initial_reading_fraction = 0.25;  // that part before it was seen: wary of dear reading
constexpr double feedback_change_threshold = 0.05; // part of the value: less is not worth telling
constexpr int reconnect_cost_divisor = 2;    // silent for the told idle time, it has cost so many new ones
constexpr int max_idle_halvings = 6;         // least time that silent ones are kept: a 64th of the told one
constexpr double min_idle_gain = 0.1;        // of the cost of connections: less isn't worth a change
constexpr std::size_t max_callers = 8192;    // remembered, against a flood of made-up ones: 1 MB
constexpr double min_caller_ops = 0.1;       // ops of late by a caller: fewer are none
constexpr double nacked_rank_step = 0.05;    // of a nacked op's rank in their mean: the last twenty or so
constexpr double fraction_step = 1.0 / 32;   // of an op in the parts of ops nacked or tried before
constexpr double no_retry_factor = 4;        // times that part of the nacks ask not to try elsewhere
constexpr double tokens_per_cap = 3;         // ops out here for each allowed to run, at full openness
constexpr Nanos report_interval_divisor = 6; // of the time that a report counts: two may get lost, with room
constexpr Nanos link_reconnect_delay = 20 * ms; // before the link is made anew: no load, short against a run
constexpr Nanos min_link_silence_timeout =
    2 * second; // of the link: machines stand still for less, and go on
constexpr Nanos max_link_silence_timeout =
    4 * second; // made anew once, it still leaves a new server ready within ten
constexpr Nanos link_handover_timeout =
    200 * ms; // for an old link to answer: many round trips, short against a run
constexpr Nanos connection_drain_delay =
    500 * ms;                                 // for callers to close what takes no new op: some round trips
constexpr Nanos accept_retry_delay = 20 * ms; // after a failed accept: no spinning, no long wait
constexpr Nanos orphan_query_delay =
    2 * second;                            // by then both sides know that an op is over; most runs have ended
constexpr Nanos frame_timeout = 1500 * ms; // for a frame to come whole: callers speak when they connect
constexpr int max_invalid_ops =
    8; // ops in a row that no caller sends, on one connection: no more is read of it
// The mute are no callers, an idle caller only has to connect anew, the newest would lose an op.
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
    const std::string at = "op_type." + std::to_string(t) + ".";
    OpType type{.run_time = Histogram(long_history),
                .core_time = Histogram(long_history),
                .recent_core_time = Histogram(short_history),
                .caller_timeouts = FrequentValues(long_history)};
    type.op_timeout = static_cast<Nanos>(required_number(settings, at + "op_timeout_ns", 1));
    type.target_latency = static_cast<Nanos>(required_number(settings, at + "target_latency_ns", 1));
    type.key_window = span(settings, at + "key_window_ns", 0);
    type.importance = number(settings, at + "importance", 1);
    type.late_value_fraction = number(settings, at + "late_share", 0);
    type.value_fraction_without_call = number(settings, at + "without_share", 0);
    type.target_stretch = number(settings, at + "target_stretch", 0);
    type.may_call = number(settings, at + "may_call", 0) != 0;
    const std::string repeats = text(settings, at + "repeats", "retryable");
    type.retry_class = repeats == "keyed"           ? RetryClass::keyed
                       : repeats == "non_retryable" ? RetryClass::non_retryable
                                                    : RetryClass::retryable;
    types_.push_back(type);
  }
  if (types_.empty()) throw std::invalid_argument("setting op_type.0.op_timeout_ns is missing");
  const double fleet = std::max(1.0, number(settings, "fleet_size", 1));
  for (int t = 0; settings.contains("tenant." + std::to_string(t) + ".quota"); ++t)
    tenants_.push_back({.quota = number(settings, "tenant." + std::to_string(t) + ".quota", 0) / fleet});
  last_progress_at_ = counting_since_ = now;
  const Nanos report = span(settings, "list_lapse_ns", 0) / report_interval_divisor;
  server_.set_timing(Timing::report_interval, report);
  server_.set_timing(Timing::report_timeout, report);
  server_.set_timing(Timing::link_reconnect_delay, link_reconnect_delay);
  Nanos longest = 0, latest = 0;
  for (const OpType& type : types_) {
    longest = std::max(longest, type.op_timeout);
    latest = std::max(latest, type.target_latency); // what is started into a dead link for as long is lost
  }
  server_.set_timing(Timing::link_silence_timeout,
                     std::clamp(latest, min_link_silence_timeout, max_link_silence_timeout));
  server_.set_timing(Timing::write_stall_timeout, longest); // nobody waits for it any more
  server_.set_timing(Timing::link_handover_timeout, link_handover_timeout);
  server_.set_timing(Timing::connection_drain_delay, connection_drain_delay);
  server_.set_timing(Timing::silent_connection_timeout,
                     configured_idle_timeout_); // callers close after it themselves
  server_.set_timing(Timing::frame_timeout, frame_timeout);
  server_.set_eviction_order(eviction_order, max_invalid_ops);
  server_.set_timing(Timing::accept_retry_delay, accept_retry_delay);
  server_.set_timing(Timing::orphan_query_delay, orphan_query_delay);
  server_.health(true, true);
  server_.wake_at(now + tick, WakeId{1});
}

// ---- the cap

double DecisionModule::warm_fraction(Nanos now) const {
  if (!cold_start_ || warm_after_ <= 0) return 1;
  const double age = static_cast<double>(now - started_at_) / static_cast<double>(warm_after_);
  return std::min(1.0, cold_start_fraction_ + (1 - cold_start_fraction_) * age);
}

double DecisionModule::max_running(Nanos now) const {
  return std::max(
      cores_, std::floor(max_running_fraction * cores_ * (1 + (fall_multiple_ - 1) * warm_fraction(now))));
}

// Growth wins over the cut. The gauge is believed only where ops were held for all of its span and runs get
// on: against cores that read free because nothing moves (a hang), when more ops would only crowd them. As it
// lags, the cores count as free only if fewer than there are of them are wanted at this moment: against
// growing on a reading from before a rush, as at a cold server that all callers find at once.
void DecisionModule::adjust_cap(Nanos now) {
  const bool waiting = !queue_.empty() && now - queued_since_ >= gauge_window;
  const bool moving = now - last_progress_at_ < gauge_window;
  const bool free = busy_ < free_cores_threshold &&
                    (runnable_ >= 0 ? runnable_ < cores_ : now - cap_grown_at_ >= gauge_window);
  if (waiting && moving && free && on_core_ >= static_cast<int>(cap_)) {
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

// ---- the stall watch

// The clock of every call in. The time that a process stood still, seen as a jump, is not its cores' fault.
void DecisionModule::advance_clock(Nanos now) {
  if (now - now_ > process_pause_threshold) last_progress_at_ = std::min(now, last_progress_at_ + now - now_);
  now_ = now;
}

// Guards against cores that stand still or crawl while ops go on being read: no run has ended or come to a
// call for far longer than as many as run should take. Then nothing is taken, what is held is nacked so that
// it can go elsewhere, and so are the retryable ops that hang on the cores. Health stays as stored: in a
// storm many servers stall for a moment, and those left on the list would get the traffic of all. It may harm
// a server on which one run is truly that long; such a run alone has to take many times the mean.
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

// ---- the hold

// Lengths are kept by the second of an op's hint, so that they show this server's speed; without hints every
// op counts as a second. As guesses are rough, of their spread only so much counts as was seen in the runs.
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
  return std::max(whole / min_remaining_divisor, whole - op.core_time_used); // a paused one has done a part
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

// Puts the hold in the order of latest starts and walks it: where an op would start too late to be in time,
// the one with the least worth for its work of those so far is nacked at once, so that its caller can go
// elsewhere. Guards against a line in which all are late; harms if runs are taken for longer than they are.
void DecisionModule::plan_queue(Nanos now) {
  for (Op* op : queue_) op->latest_start_at = target_deadline(*op) - run_time(*op, planning_quantile);
  std::stable_sort(queue_.begin(), queue_.end(),
                   [](const Op* a, const Op* b) { return a->latest_start_at < b->latest_start_at; });
  double ahead = std::max(0.0, static_cast<double>(on_core_) - cap_ + 1); // runs to end before the first may
  double backlog =
      static_cast<double>(parked_call_wait()) * cap_; // what is slower, cores or calls, sets the pace
  const double call_cost = static_cast<double>(call_interval()) * cap_;
  const auto cost_of = [&](const Op* op) {
    return std::max(static_cast<double>(core_time(*op)), types_[op->type.raw].may_call ? call_cost : 0);
  };
  const double mean_work_on_core =
      ahead > 0 ? work_on_core() / on_core_ : 0; // mean work of what is on the cores
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
        now + static_cast<Nanos>((ahead * std::min(work, mean_work_on_core) + backlog) / cap_);
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

// Runs at a call so short that they are back before another would get anywhere: they count under the cap.
// Guards against one run too many on few cores, which all slow each other for its whole length; harms where
// runs over the cores cost nothing.
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
  // Against work for ops that would only wait for their calls until they are late.
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

// Pauses a run that has time to spare for a held op that has none, where runs can be paused. Guards against
// short target latencies being missed behind long runs, which on few cores may hold all of them; the cap
// stays. It may harm where memory is short, as what is paused keeps it.
void DecisionModule::preempt_for_urgent(Nanos now) {
  if (halt_ != Halt::pause || on_core_ < static_cast<int>(cap_)) return;
  for (Op* op : queue_) {
    const Nanos required = core_time(*op);
    if (op->paused || op->latest_start_at - now > required) continue;
    Op* victim = nullptr;
    Nanos largest_slack = preemption_slack_factor * required;
    for (auto& [id, other] : ops_) {
      if (other.pause_requested) return; // one is on its way
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

// Leaves with an op what comes after the step that it is at.
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
    lingering_calls_.push_back(now + call_linger_); // its call is given up, not gone
    trial_call_in_flight_ = false;                  // against waiting for the end of a trial that never comes
  }
  erase_item(parked_, &op);
  --running_;
  const bool requeued = outcome == Outcome::halted && !op.answered; // fell back into the hold
  op.paused = op.paused || (requeued && halt_ == Halt::pause);
  if (!requeued || !op.paused) memory_kb_ -= op.held_kb * (run_memory_factor_ - 1);
  if (outcome == Outcome::moot) keys_.erase(op.id); // nothing was begun
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

// Nacks a held op that never ran; what did run is failed, since a nack would promise that it did not. Its
// caller is asked not to try elsewhere if that is hopeless, if this was such a try already, and the likelier
// the more of what comes has been nacked before (where that isn't marked: here). Guards against nacks that
// only multiply reading and connecting where others are as full; harms where the few that have room are not
// found by the first tries.
void DecisionModule::reject(Nanos now, Op& op, Reason reason) {
  if (op.ran) return fail_op(op, reason);
  ++recent_nacked_;
  if (!stalled_) nacked_fraction_ += fraction_step;
  mean_nacked_rank_ += (op.rank - mean_nacked_rank_) * nacked_rank_step;
  forget_unused_key(op);
  const bool hopeless = now + run_time(op, hopeless_quantile) / max_remote_speedup > target_deadline(op);
  const bool local_problem = stalled_ || drain_started_at_ >= 0; // others need not be as badly off
  const bool others_full =
      !local_problem &&
      (op.is_retry ||
       random_.unit() < no_retry_factor * (callers_mark_retries_ ? retry_fraction_ : nacked_fraction_));
  server_.nack(op.id, reason, hopeless || others_full, retry_after());
  erase_op(op);
}

// Nacks a retryable op off the cores: its run is worth nothing here and may be made elsewhere.
void DecisionModule::nack_hung(Op& op) {
  server_.nack(op.id, Reason::hung, false, retry_after());
  release(op);
}

// Fails an op wherever it stands. One on the cores is halted where that can be done, else it runs on unheard.
void DecisionModule::fail_op(Op& op, Reason reason) {
  server_.fail(op.id, reason);
  release(op);
}

// After the final answer, or when nobody waits any more.
void DecisionModule::release(Op& op) {
  op.answered = true;
  erase_item(parked_, &op);
  if (op.stage == Stage::queued || op.stage == Stage::reusing)
    erase_op(op);
  else if (op.stage == Stage::on_core && halt_ != Halt::none)
    server_.halt(op.id);
}

// Guards against losing an op: whatever holds it up, it is answered at its due time. A run that hangs, a call
// that doesn't end and a reuse that waits are all met here.
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

// Keeps the entry to the end of the window, counted from the arrival at the machine; past it too, against
// running both where two tries lay unread for longer than a short window. False if memory lacks.
bool DecisionModule::store_key(Nanos now, Op& op) {
  const Nanos lifetime = std::max(tick, op.received_at + types_[op.type.raw].key_window - now);
  if (projected_memory(key_kb_) > memory_fraction * memory_limit_) return false;
  keys_.erase(op.original);
  keys_[op.id] = now + lifetime;
  op.key_kept = true;
  server_.keep_key(op.id, lifetime);
  return true;
}

// The entry of an op that ends without a run; one that ran is remembered to the end of its window.
void DecisionModule::forget_unused_key(const Op& op) {
  if (!op.key_kept || op.ran) return;
  server_.forget_key(op.id);
  keys_.erase(op.id);
}

// True if the op needs no run of its own: what it repeats runs here or has run. A keyed op whose first try is
// still held takes its place; that try's caller has given it up, as tries of one request follow each
// other.
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

// Guards what lies below: the mean of the calls in hand, those given up too, would stay within this
// server's share even if all of them stayed for as long as they may. However small the share, one short call
// at a time may be made where the mean stands under half of it, or a server would never call at all.
bool DecisionModule::call_fits_budget(Nanos time_out) const {
  if (call_share_ <= 0) return true;
  // Not only at the end of that time: what was in hand before has to have left the window by then.
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

// Lets parked ops call, in the order of coming; those that may not call yet go on without it where that is
// worth something, or wait for as long as they can still be in time.
void DecisionModule::dispatch_calls(Nanos now) {
  calls_.advance(now);
  std::vector<Op*> parked = parked_;
  std::stable_partition(parked.begin(), parked.end(),
                        [&](const Op* op) { return now < target_deadline(*op); });
  for (Op* op : parked) { // those that can still be in time first
    if (now < op->next_call_at && !op->call_may_have_run) continue;
    const OpType& type = types_[op->type.raw];
    // One of several below that doesn't answer in the usual time is left for another, against some cut off or
    // hung. What all share is left while it is quick, against replies that never come and fill the share.
    const bool known = call_times_.total() >= min_samples;
    const Nanos tail = call_loss_timeout();
    Nanos usual = op->due - now;
    if (known && load_balanced_downstream_)
      usual = consecutive_failures_ > 0 ? tail / 2 : tail;
    else if (known && lost_call_fraction_ > call_loss_threshold && !downstream_congested())
      usual = std::max(tail, type.retry_class == RetryClass::retryable ? default_call_timeout / 4
                                                                       : default_call_timeout / 2);
    const Nanos left = target_deadline(*op) - core_time(*op) / 2 - now;
    // An op that can't be in time any more ends here; what it still would take is better spent on others. A
    // keyed one goes on, since a repeat could not be run.
    if (left <= 0 && type.retry_class == RetryClass::retryable && type.late_value_fraction == 0) {
      fail_op(*op, Reason::late_at_call);
      continue;
    }
    const bool skippable = type.value_fraction_without_call > 0 && left > 0;
    Nanos time_out = std::min({skippable ? left : op->due - now, op->due - now, usual});
    const bool fits = time_out > 0 && (!skippable || !known || left >= call_times_.quantile(0.5));
    // A small share has no room for calls that might last that long: a shorter time-out keeps it usable.
    if (!call_fits_budget(time_out)) time_out = std::min(time_out, tail);
    if (known && !call_fits_budget(time_out))
      time_out = std::min(time_out, 2 * call_tail_factor * recent_call_times_.quantile(0.5));
    // Against calls in step: all that began cold together may make one at the same moment.
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

// A call that takes longer is lost: its reply does not come, and it crowds nothing below.
Nanos DecisionModule::call_loss_timeout() const {
  return call_times_.total() >= min_samples ? 2 * call_tail_factor * call_times_.quantile(call_tail_quantile)
                                            : default_call_timeout;
}
bool DecisionModule::downstream_congested() const {
  return recent_call_times_.total() >= min_samples &&
         static_cast<double>(recent_call_times_.quantile(0.5)) >
             congested_latency_ratio * static_cast<double>(base_call_time_);
}

// A few at once however small the share, as the budget guards the mean; but no more than its part while it is
// cold: others may be as cold, and all of them begin together. Under one, by rests.
double DecisionModule::max_concurrent_calls(Nanos now) const {
  const double part = max_call_fraction * call_share_;
  return warm_fraction(now) < 1 ? part : std::max(min_concurrent_calls, part);
}

double DecisionModule::max_call_delay() const {
  return std::min(static_cast<double>(max_first_call_delay),
                  static_cast<double>(default_call_timeout) / call_limit_);
}

// Guards against calls that pile up below and slow each other, so that forty do less than three: only as many
// are in hand as don't make the usual one take twice its time; where one by each server is too many, fewer by
// rests between. The base follows what is slow by itself. Harms what is slow at any load and could do more.
void DecisionModule::adjust_call_limit(Nanos now, Nanos elapsed) {
  // All servers feel it when what lies below stands still, and all come back: slowly, from little.
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

// Where one has outlasted the tail and none that was made since has come back, what lies below stands still:
// against every server's filling its share meanwhile with calls that would end together later. One a second
// asks whether it does: against a lost reply's keeping all calls back until its op is due. With it no more is
// in hand than may be when all is well; under one at once, time-outs are short and rests follow.
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

// The time between the ends of calls with as many in hand as may be, and what those parked will take of it.
Nanos DecisionModule::call_interval() const {
  const auto usual = static_cast<double>(recent_call_times_.quantile(0.5));
  return call_share_ > 0 ? static_cast<Nanos>(usual / call_limit_) : 0;
}
Nanos DecisionModule::parked_call_wait() const {
  return static_cast<Nanos>(parked_.size()) * call_interval();
}

void DecisionModule::record_call(Nanos now, Outcome outcome, Nanos elapsed) {
  if (outcome == Outcome::done || outcome == Outcome::timed_out) adjust_call_limit(now, elapsed);
  // A call is lost where one made after it has come back; else what lies below is slow, or stands still.
  const bool lost =
      outcome == Outcome::cut || (outcome == Outcome::timed_out && now - elapsed < newest_completed_call_at_);
  lost_call_fraction_ += (lost - lost_call_fraction_) * fraction_step / 4;
  if (outcome == Outcome::moot) return; // tells of the run, not of what lies below
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
  // Against one op's tries in a row opening the breaker for all: what all share would fail it the same.
  if (!load_balanced_downstream_) op.next_call_at = now + std::max(tick, call_times_.quantile(0.5));
  park_at_call(op);
}

// ---- what callers are told

Nanos DecisionModule::retry_after() const {
  if (stalled_) return max_retry_after_;
  double backlog = 0;
  for (const Op* op : queue_) backlog += static_cast<double>(core_time(*op));
  return std::min(max_retry_after_, static_cast<Nanos>(backlog / cap_));
}

// So many callers of the same traffic would be as uneven as those that remember what they were told: few
// carry most. Guards against sharing tokens among callers that forget before they come again.
double DecisionModule::effective_callers() const {
  double sum = 0, squares = 0;
  for (const auto& [id, caller] : by_caller_) {
    if (now_ - caller.last > feedback_lifetime_) continue;
    sum += caller.ops;
    squares += caller.ops * caller.ops;
  }
  return squares > 0 ? std::max(1.0, sum * sum / squares) : configured_callers_;
}

// Notes a caller's silence; of one not heard of lately, as if all that there are called in turn.
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

// Guards against a table full of silent connections, where callers find no free slot while the cores stand
// idle, and against paying for a new one with every op. Each caller's silences tell how many connections
// would be open and how many be made anew with any idle time: the cheapest is taken. It may harm where a new
// connection costs far more, or an open one far less, than half of the told idle time makes it.
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

// ---- what happens

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
  // Callers have few patiences, and first tries begin with one of them: another is what is left to a later
  // one, and tells how old it is. Guards against running what nobody can use any more.
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
  // Unread ops are seen by how long they have waited once read: a line no nack shows.
  if (waited > type.target_latency / unread_wait_divisor) ++recent_unread_;
  if (tenant.raw < tenants_.size())
    tenants_[tenant.raw].rate += (1 - rate_decay) * second / feedback_interval;

  // Before the keys: a repeat that waits for its first takes memory too, and may not be nacked if that has
  // run.
  if (projected_memory(0) > memory_fraction * memory_limit_)
    return original != no_op_id ? fail_op(op, Reason::memory) : reject(now, op, Reason::memory);
  if (original != no_op_id && reuse_original(now, op)) return;
  // A big op that is likelier than not to be late on these cores is better off on faster ones. Only first
  // tries are sent on, so that none is sent round, and only where further tries are told from them.
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

// Nacks an op or puts it into the hold.
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
  // Past the delay nothing more is served: callers that are told so, or get no connection, lose no time here.
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
  // Whatever served here before ended with the machine, and may have had its whole share of calls in hand.
  calls_.assume(started_at_, call_budget_fraction * call_share_);
}

// The stored health turns bad at once. Ops are served for a shutdown delay that ends by the grace and early
// enough for a run to end before the kill; all that was read is answered before it. Where the process stood
// still the notice may have come at any time of that: against counting from when it was heard.
void DecisionModule::drain(Nanos now, Nanos until_kill) {
  const Nanos noticed = now - now_ > process_pause_threshold ? now_ : now;
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
