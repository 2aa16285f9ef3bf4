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
constexpr Nanos gauge_span = 500 * ms; // what the gauge of the cores averages over
constexpr double free_below = 0.9;     // part of the cores busy: under it they read free, noise allowed for
constexpr double cap_growth = 1.25;    // a tick: doubles within four, fast against a gauge of half a second
constexpr double cap_cut = 0.85;       // a cut: undoes about one step of growth
constexpr Nanos cut_every = 500 * ms;  // between cuts: as long as the gauge takes to show the last
constexpr double crowded_latency = 2;  // times the base: the design's figure
constexpr double crowd_part = 0.85;    // of the survivable crowd: room for what resumes unasked
constexpr double memory_part = 0.95;   // of the memory: room for ops read in the same instant
constexpr double shared_part = 0.5;    // of the memory: reads are remembered only under it, keys come first
constexpr double calls_part = 0.9;     // of the share of calls: room for the time a reply takes
constexpr float long_memory = 64;      // ops until a histogram is halved: ten seconds or so of one op type
constexpr float short_memory = 24;     // the same for what is to show the last seconds
constexpr float enough = 8;            // ops in a histogram before it is believed
constexpr float usual_part = 0.1;      // of the patiences told: what comes more seldom is left of a later try
constexpr Nanos base_rise = 256;       // part of it a base rises a run: hundreds, so a jam doesn't become one
constexpr double planned_sureness = 0.7; // part of runs that take no longer than planned for
constexpr double sent_on_sureness = 0.5; // a run that long must fit, or the op is sent on to another server
constexpr double hold_part = 0.25;   // of the target latency: a longer wait leaves no time to go elsewhere
constexpr double chance_part = 0.75; // the same while nacks are rare: a line by chance is soon gone
constexpr double longer_wait =
    1.4; // times, of what counts for more than others: at twice, runs begin too late
constexpr double rare_nacks = 0.125;  // part of the ops read: under it, the rarer, the longer lines stay
constexpr Nanos least_left = 4;       // part of a run that a paused one is thought to need at the least
constexpr Nanos spare_runs = 2;       // of the urgent op: a run that is paused for it must have more to spare
constexpr double last_sureness = 0.2; // under this chance of being in time an op is not begun
constexpr Nanos faster_elsewhere = 2; // times: another server may be as much faster than this one
constexpr double guess_trust = 0.5;   // of the spread of a caller's guess, before its worth is known
constexpr double guess_step = 1.0 / 128; // of a run in that worth: some hundred runs make it
constexpr double guess_weight = 8;       // ops that this trust weighs as much as
constexpr double unknown_run = 0.25;     // of the target latency: a run's length before any was seen
constexpr Nanos call_tail = 2;      // times the 95th of 100 calls after a failure, four else: longer is lost
constexpr double slow_call = 0.95;  // part of the calls that are shorter: the tail is looked at from there
constexpr double brief_call = 0.05; // of a run: waiting it out idles a core less than a run too many costs
constexpr double lone_part = 0.5;  // of the share that a lone short call may find used: it adds little itself
constexpr double calls_most = 0.8; // of the share: what lies below slows long before it breaks
constexpr double calls_least = 0.15; // of the share, in hand at once however slow they are: it crowds nothing
constexpr double few_part = 0.5;     // of the share, at the most a few: in hand at once though they are slow
constexpr double few_calls = 2;      // in hand at once however small the share: the budget guards its mean
constexpr Nanos first_rest = 4 * second; // of a cold server before a call, at the most
constexpr Nanos undrawn = -1;            // that rest, until a call fits
constexpr double calls_get_lost = 0.005; // part of them: one of the last few hundred
constexpr int call_steps = 4;            // points of a call's time at which the mean in hand is looked at
constexpr Nanos first_call = 200 * ms;   // a call's time-out where little fits, none seen: some round trips
constexpr int failures_to_open = 5;      // calls failing in a row: as the operators' staff know it
constexpr Nanos open_first = 250 * ms;   // the breaker's first rest, then doubled: some round trips
constexpr Nanos open_most = second; // its longest: a call a second is no load, more would outlast the trouble
constexpr Nanos count_span = 500 * ms; // over which nacks are counted for what callers are told
constexpr double rate_keep = 0.8;      // part of the rate before that a count leaves: about two seconds
constexpr double openness_step = 0.05; // raised a count without nacks: back within ten seconds
constexpr double openness_cut = 0.8;   // lowered a count with nacks
constexpr double openness_least = 0.1; // never shut: some traffic must tell when it may open again
constexpr Nanos unread_part = 4;       // of the target latency: waiting longer than that to be read is a line
constexpr Nanos stood_still = 3 * tick; // between calls in: a process that runs is woken every tick
constexpr double stall_runs = 10;       // mean runs without progress: chance does that once in thousands
constexpr double few_runs = 3;          // on the cores: fewer may all be long ones, and are given longer
constexpr double waste_felt = 0.02;    // part of the cores that reads what is nacked: less isn't worth a word
constexpr double unread_felt = 0.05;   // part of those read that waited long for it: fewer are chance
constexpr double reading_step = 0.02;  // of the part of the cores that reading takes, a look: the last second
constexpr double reading_first = 0.25; // that part before it was seen: wary of dear reading
constexpr double told_change = 0.05;   // part of the value: less is not worth telling
constexpr int connection_cost = 2;     // silent for the told idle time, it has cost so many new ones
constexpr int idle_halvings = 6;       // least time that silent ones are kept: a 64th of the told one
constexpr double idle_gain = 0.1;      // of the cost of connections: less isn't worth a change
constexpr std::size_t most_callers = 8192; // remembered, against a flood of made-up ones: 1 MB
constexpr double forgotten = 0.1;          // ops of late by a caller: fewer are none
constexpr double rank_step = 0.05;         // of a nacked op's rank in their mean: the last twenty or so
constexpr double part_step = 1.0 / 32;     // of an op in the parts of ops nacked or tried before
constexpr double full_elsewhere = 4;       // times that part of the nacks ask not to try elsewhere
constexpr double tokens_per_cap = 3;       // ops out here for each allowed to run, at full openness
constexpr Nanos report_part = 6;           // of the time that a report counts: two may get lost, with room
constexpr Nanos link_rest = 20 * ms;       // before the link is made anew: no load, short against a run
constexpr Nanos silent_least = 2 * second; // of the link: machines stand still for less, and go on
constexpr Nanos silent_most = 4 * second;  // made anew once, it still leaves a new server ready within ten
constexpr Nanos leave_rest = 200 * ms;     // for an old link to answer: many round trips, short against a run
constexpr Nanos end_rest = 500 * ms;       // for callers to close what takes no new op: some round trips
constexpr Nanos accept_rest = 20 * ms;     // after a failed accept: no spinning, no long wait
constexpr Nanos stray_rest = 2 * second;   // by then both sides know that an op is over; most runs have ended
constexpr Nanos frame_timeout = 1500 * ms; // for a frame to come whole: callers speak when they connect
constexpr int penalties = 8; // ops in a row that no caller sends, on one connection: no more is read of it
// The mute are no callers, an idle caller only has to connect anew, the newest would lose an op.
constexpr std::array full_order{Eviction::no_frame, Eviction::idle, Eviction::newest};

template <class T>
void drop_from(std::vector<T*>& list, T* one) {
  list.erase(std::remove(list.begin(), list.end(), one), list.end());
}

} // namespace

DecisionModule::DecisionModule(Nanos now, std::uint64_t seed, const Settings& given, Server& server)
    : server_(server), chance_(seed), now_(now), born_(now), guess_slope_(guess_step),
      calls_(span(given, "calls_over_ns", 5e9), now), call_time_(long_memory), recent_calls_(short_memory),
      silences_(long_memory), reading_(reading_first) {
  cores_ = required_number(given, "cores", 1);
  cap_ = cores_;
  fall_multiple_ = required_number(given, "fall_multiple", 1);
  cold_from_ = std::clamp(number(given, "cold_from", 1), 0.0, 1.0);
  warm_after_ = span(given, "warm_after_ns", 0);
  born_cold_ = number(given, "cold", 0) != 0;
  memory_limit_ = required_number(given, "memory_kb", 1);
  run_factor_ = std::max(1.0, number(given, "run_factor", 1));
  key_kb_ = number(given, "key_kb", 0);
  fresh_for_ = span(given, "fresh_for_ns", 0);
  call_share_ = number(given, "call_share", 0);
  call_limit_ = calls_at_most(now);
  if (call_limit_ > 0 && call_limit_ < 1) call_from_ = undrawn;
  idle_ = idle_told_ = span(given, "idle_ns", 0);
  several_below_ = text(given, "below", "none") == "next_hop";
  linger_ = span(given, "call_linger_ns", 0);
  const std::string halt = text(given, "halt", "none");
  halt_ = halt == "pause" ? Halt::pause : halt == "drop" ? Halt::drop : Halt::none;
  const std::string say = text(given, "say", "none");
  say_ = say == "level"    ? Say::level
         : say == "tokens" ? Say::tokens
         : say == "bias"   ? Say::bias
                           : Say::nothing;
  heeded_ = span(given, "heeded_ns", 1e9);
  callers_ = std::max(1.0, number(given, "callers", 1));
  if (number(given, "stay_away_heeded", 0) != 0) max_stay_away_ = span(given, "max_stay_away_ns", 0);
  over_share_worth_ = number(given, "over_share_worth", 1);
  marks_again_ = number(given, "marks_retry", 0) != 0;
  by_work_ = text(given, "value_by", "op") == "work";
  grace_ = span(given, "drain_grace_ns");
  for (int g = 0; given.contains("gauge." + std::to_string(g)); ++g)
    if (const std::string gauge = text(given, "gauge." + std::to_string(g), ""); gauge == "cores_busy")
      busy_gauge_ = g;
    else if (gauge == "on_cores")
      wanting_gauge_ = g;
  for (int t = 0; given.contains("op_type." + std::to_string(t) + ".op_timeout_ns"); ++t) {
    const std::string at = "op_type." + std::to_string(t) + ".";
    OpType type{.run_time = Histogram(long_memory),
                .core_time = Histogram(long_memory),
                .recent = Histogram(short_memory),
                .patience = Usual(long_memory)};
    type.op_timeout = static_cast<Nanos>(required_number(given, at + "op_timeout_ns", 1));
    type.target_latency = static_cast<Nanos>(required_number(given, at + "target_latency_ns", 1));
    type.key_window = span(given, at + "key_window_ns", 0);
    type.importance = number(given, at + "importance", 1);
    type.late_share = number(given, at + "late_share", 0);
    type.without_share = number(given, at + "without_share", 0);
    type.target_stretch = number(given, at + "target_stretch", 0);
    type.may_call = number(given, at + "may_call", 0) != 0;
    const std::string repeats = text(given, at + "repeats", "retryable");
    type.repeats = repeats == "keyed"           ? RetryClass::keyed
                   : repeats == "non_retryable" ? RetryClass::non_retryable
                                                : RetryClass::retryable;
    types_.push_back(type);
  }
  if (types_.empty()) throw std::invalid_argument("setting op_type.0.op_timeout_ns is missing");
  const double fleet = std::max(1.0, number(given, "fleet_size", 1));
  for (int t = 0; given.contains("tenant." + std::to_string(t) + ".quota"); ++t)
    tenants_.push_back({.quota = number(given, "tenant." + std::to_string(t) + ".quota", 0) / fleet});
  progress_at_ = counted_from_ = now;
  const Nanos report = span(given, "list_lapse_ns", 0) / report_part;
  server_.set_timing(Timing::report_interval, report);
  server_.set_timing(Timing::report_timeout, report);
  server_.set_timing(Timing::link_reconnect_delay, link_rest);
  Nanos longest = 0, latest = 0;
  for (const OpType& type : types_) {
    longest = std::max(longest, type.op_timeout);
    latest = std::max(latest, type.target_latency); // what is started into a dead link for as long is lost
  }
  server_.set_timing(Timing::link_silence_timeout, std::clamp(latest, silent_least, silent_most));
  server_.set_timing(Timing::write_stall_timeout, longest); // nobody waits for it any more
  server_.set_timing(Timing::link_handover_timeout, leave_rest);
  server_.set_timing(Timing::connection_drain_delay, end_rest);
  server_.set_timing(Timing::silent_connection_timeout, idle_); // callers close after it themselves
  server_.set_timing(Timing::frame_timeout, frame_timeout);
  server_.set_eviction_order(full_order, penalties);
  server_.set_timing(Timing::accept_retry_delay, accept_rest);
  server_.set_timing(Timing::orphan_query_delay, stray_rest);
  server_.health(true, true);
  server_.wake_at(now + tick, WakeId{1});
}

// ---- the cap

double DecisionModule::warmth(Nanos now) const {
  if (!born_cold_ || warm_after_ <= 0) return 1;
  const double age = static_cast<double>(now - born_) / static_cast<double>(warm_after_);
  return std::min(1.0, cold_from_ + (1 - cold_from_) * age);
}

double DecisionModule::survivable(Nanos now) const {
  return std::max(cores_, std::floor(crowd_part * cores_ * (1 + (fall_multiple_ - 1) * warmth(now))));
}

// Growth wins over the cut. The gauge is believed only where ops were held for all of its span and runs get
// on: against cores that read free because nothing moves (a hang), when more ops would only crowd them. As it
// lags, the cores count as free only if fewer than there are of them are wanted at this moment: against
// growing on a reading from before a rush, as at a cold server that all callers find at once.
void DecisionModule::steer_cap(Nanos now) {
  const bool waiting = !held_.empty() && now - held_since_ >= gauge_span;
  const bool moving = now - progress_at_ < gauge_span;
  const bool free =
      busy_ < free_below && (wanting_core_ >= 0 ? wanting_core_ < cores_ : now - grown_at_ >= gauge_span);
  if (waiting && moving && free && on_core_ >= static_cast<int>(cap_)) {
    cap_ *= cap_growth;
    grown_at_ = now;
  } else if (busy_ >= free_below && now - cut_at_ >= cut_every) {
    for (const OpType& type : types_) {
      if (type.base == 0 || type.recent.total() < enough) continue;
      if (static_cast<double>(type.recent.quantile(0.5)) < crowded_latency * static_cast<double>(type.base))
        continue;
      cap_ *= cap_cut;
      cut_at_ = now;
      break;
    }
  }
  cap_ = std::clamp(cap_, cores_, survivable(now));
}

// ---- the stall watch

// The clock of every call in. The time that a process stood still, seen as a jump, is not its cores' fault.
void DecisionModule::pass_to(Nanos now) {
  if (now - now_ > stood_still) progress_at_ = std::min(now, progress_at_ + now - now_);
  now_ = now;
}

// Guards against cores that stand still or crawl while ops go on being read: no run has ended or come to a
// call for far longer than as many as run should take. Then nothing is taken, what is held is nacked so that
// it can go elsewhere, and so are the retryable ops that hang on the cores. Health stays as stored: in a
// storm many servers stall for a moment, and those left on the list would get the traffic of all. It may harm
// a server on which one run is truly that long; such a run alone has to take many times the mean.
void DecisionModule::watch(Nanos now) {
  if (on_core_ == 0 || stalled_) return;
  const bool known = std::none_of(ops_.begin(), ops_.end(), [this](const auto& entry) {
    return entry.second.stage == Stage::on_core && types_[entry.second.type.raw].core_time.total() < enough;
  });
  const double runs = on_core_;
  const double usual = known ? stall_runs * work_on_core() / (runs * runs) * std::max(1.0, few_runs / runs)
                             : static_cast<double>(types_.front().target_latency);
  const Nanos patience = static_cast<Nanos>(usual / warmth(now));
  if (now - progress_at_ <= std::max(patience, gauge_span)) return;
  stalled_ = true;
  for (auto& [id, op] : ops_) {
    if (op.stage != Stage::on_core || op.answered) continue;
    op.hung = true;
    if (types_[op.type.raw].repeats == RetryClass::retryable) send_on(op);
  }
}

// ---- the hold

// Lengths are kept by the second of an op's hint, so that they show this server's speed; without hints every
// op counts as a second. As guesses are rough, of their spread only so much counts as was seen in the runs.
Nanos DecisionModule::core_time(const Op& op) const {
  const OpType& type = types_[op.type.raw];
  if (type.core_time.total() < enough)
    return static_cast<Nanos>(unknown_run * static_cast<double>(type.target_latency));
  return static_cast<Nanos>(type.core_time.mean() * op.hint);
}

double DecisionModule::work_on_core() const {
  double work = 0;
  for (const auto& [id, op] : ops_)
    if (op.stage == Stage::on_core) work += static_cast<double>(core_time(op));
  return work;
}

Nanos DecisionModule::run_time(const Op& op, double sureness) const {
  const OpType& type = types_[op.type.raw];
  if (type.run_time.total() < enough) return core_time(op);
  const Nanos whole = static_cast<Nanos>(static_cast<double>(type.run_time.quantile(sureness)) * op.hint);
  return std::max(whole / least_left, whole - op.on_core); // a paused one has done a part
}

Nanos DecisionModule::target_deadline(const Op& op) const {
  const OpType& type = types_[op.type.raw];
  const Nanos stretch = static_cast<Nanos>(type.target_stretch * static_cast<double>(core_time(op)));
  return std::min(op.first_seen + std::min(type.target_latency + stretch, type.op_timeout), op.due);
}

bool DecisionModule::winnable(const Op& op, Nanos begin, double sureness) const {
  return begin + run_time(op, sureness) <= target_deadline(op);
}

double DecisionModule::value_density(const Op& op) const {
  double worth = types_[op.type.raw].importance * op.worth;
  if (op.tenant.raw < tenants_.size()) {
    const Tenant& tenant = tenants_[op.tenant.raw];
    const double within = tenant.seen > tenant.quota ? tenant.quota / tenant.seen : 1;
    worth *= within + (1 - within) * over_share_worth_;
  }
  return by_work_ ? worth : worth / static_cast<double>(std::max<Nanos>(1, core_time(op)));
}

// Puts the hold in the order of latest starts and walks it: where an op would start too late to be in time,
// the one with the least worth for its work of those so far is nacked at once, so that its caller can go
// elsewhere. Guards against a line in which all are late; harms if runs are taken for longer than they are.
void DecisionModule::plan(Nanos now) {
  for (Op* op : held_) op->latest_start = target_deadline(*op) - run_time(*op, planned_sureness);
  std::stable_sort(held_.begin(), held_.end(),
                   [](const Op* a, const Op* b) { return a->latest_start < b->latest_start; });
  double ahead = std::max(0.0, static_cast<double>(on_core_) - cap_ + 1); // runs to end before the first may
  double line = static_cast<double>(call_wait()) * cap_; // what is slower, cores or calls, sets the pace
  const double call_pace = static_cast<double>(call_step()) * cap_;
  const auto pace_of = [&](const Op* op) {
    return std::max(static_cast<double>(core_time(*op)), types_[op->type.raw].may_call ? call_pace : 0);
  };
  const double running = ahead > 0 ? work_on_core() / on_core_ : 0; // mean work of what is on the cores
  const double chance = std::max(0.0, 1 - nacked_part_ / rare_nacks);
  const double wait_part = hold_part + (chance_part - hold_part) * chance;
  std::vector<Op*> out, kept;
  for (Op* op : held_) {
    if (!winnable(*op, now, last_sureness)) {
      out.push_back(op);
      continue;
    }
    kept.push_back(op);
    const double work = static_cast<double>(core_time(*op));
    const Nanos begin = now + static_cast<Nanos>((ahead * std::min(work, running) + line) / cap_);
    line += pace_of(op);
    const bool soon = static_cast<double>(begin - now) <=
                      std::min(chance_part, wait_part * std::clamp(op->worth, 1.0, longer_wait)) *
                          static_cast<double>(types_[op->type.raw].target_latency);
    if (begin == now || (soon && winnable(*op, begin, planned_sureness))) continue;
    const auto worst = std::min_element(kept.begin(), kept.end(), [this](const Op* a, const Op* b) {
      return value_density(*a) < value_density(*b);
    });
    line -= pace_of(*worst);
    out.push_back(*worst);
    kept.erase(worst);
  }
  for (Op* op : out) turn_away(now, *op, winnable(*op, now, last_sureness) ? Reason::line : Reason::hopeless);
}

// Runs at a call so short that they are back before another would get anywhere: they count under the cap.
// Guards against one run too many on few cores, which all slow each other for its whole length; harms where
// runs over the cores cost nothing.
int DecisionModule::returning() const {
  double work = 0;
  for (const OpType& type : types_) work = std::max(work, type.core_time.mean());
  const bool brief =
      call_time_.total() >= enough && static_cast<double>(call_time_.quantile(slow_call)) < brief_call * work;
  return brief ? static_cast<int>(calls_.count()) - static_cast<int>(lingering_.size()) : 0;
}

bool DecisionModule::has_core(Nanos now) const {
  const int cap = static_cast<int>(cap_);
  return on_core_ < cap && on_core_ + returning() < cap && running_ < static_cast<int>(survivable(now));
}

bool DecisionModule::may_start(Nanos now, const Op& op) const {
  if (!op.paused && memory_with(op.held_kb * (run_factor_ - 1)) > memory_part * memory_limit_) return false;
  const OpType& type = types_[op.type.raw];
  if (!type.may_call || type.without_share > 0) return true;
  // Against work for ops that would only wait for their calls until they are late.
  return breaker_lets(now) &&
         static_cast<double>(call_wait()) <= hold_part * static_cast<double>(type.target_latency);
}

void DecisionModule::settle(Nanos now) {
  if (held_.empty()) return;
  if (stalled_) {
    const std::vector<Op*> line = held_;
    for (Op* op : line) turn_away(now, *op, Reason::stalled);
    held_since_ = 0;
    return;
  }
  plan(now);
  for (std::size_t i = 0; i < held_.size() && has_core(now);) {
    Op& op = *held_[i];
    if (may_start(now, op)) {
      start(now, op);
      i = 0;
    } else {
      ++i;
    }
  }
  make_room(now);
  if (held_.empty())
    held_since_ = 0;
  else if (held_since_ == 0)
    held_since_ = now;
}

// Pauses a run that has time to spare for a held op that has none, where runs can be paused. Guards against
// short target latencies being missed behind long runs, which on few cores may hold all of them; the cap
// stays. It may harm where memory is short, as what is paused keeps it.
void DecisionModule::make_room(Nanos now) {
  if (halt_ != Halt::pause || on_core_ < static_cast<int>(cap_)) return;
  for (Op* op : held_) {
    const Nanos needs = core_time(*op);
    if (op->paused || op->latest_start - now > needs) continue;
    Op* longest = nullptr;
    Nanos most = spare_runs * needs;
    for (auto& [id, other] : ops_) {
      if (other.pausing) return; // one is on its way
      if (other.stage != Stage::on_core || other.answered || other.hung || other.paused ||
          types_[other.type.raw].repeats != RetryClass::retryable)
        continue;
      if (const Nanos spare = target_deadline(other) - now - run_time(other, planned_sureness);
          spare > most) {
        longest = &other;
        most = spare;
      }
    }
    if (!longest) return;
    longest->pausing = true;
    server_.halt(longest->id);
    return;
  }
}

void DecisionModule::start(Nanos now, Op& op) {
  drop_from(held_, &op);
  if (!op.paused) memory_kb_ += op.held_kb * (run_factor_ - 1);
  ++running_;
  op.ran = true;
  join_core(now, op);
  leave_next(op);
  server_.run(op.id);
  const std::vector<Op*> line = held_;
  for (Op* other : line)
    if (other->earlier == op.id) reuse_earlier(now, *other);
}

// Leaves with an op what comes after the step that it is at.
void DecisionModule::leave_next(Op& op) {
  if (op.stage == Stage::reusing)
    op.when_ended = [this](Op& ended, Outcome, Nanos) { forget(ended); };
  else if (op.stage != Stage::held)
    op.when_ended = [this](Op& ended, Outcome outcome, Nanos lag) { after_run(now_, ended, outcome, lag); };
  if (op.stage == Stage::calling)
    op.when_called = [this](Op& called, Outcome outcome, Nanos) { after_call(now_, called, outcome); };
}

void DecisionModule::join_core(Nanos now, Op& op) {
  op.stage = Stage::on_core;
  op.on_core_since = now;
  if (on_core_++ == 0) progress_at_ = now;
}

void DecisionModule::leave_core(Nanos now, Op& op) {
  if (op.stage != Stage::on_core) return;
  op.on_core += now - op.on_core_since;
  op.pausing = false;
  --on_core_;
  progress_at_ = now;
  stalled_ = false;
}

void DecisionModule::after_run(Nanos now, Op& op, Outcome outcome, Nanos lag) {
  leave_core(now, op);
  if (op.stage == Stage::calling) {
    lingering_.push_back(now + linger_); // its call is given up, not gone
    trial_out_ = false;                  // against waiting for the end of a trial that never comes
  }
  drop_from(at_call_, &op);
  --running_;
  const bool back = outcome == Outcome::halted && !op.answered; // fell back into the hold
  op.paused = op.paused || (back && halt_ == Halt::pause);
  if (!back || !op.paused) memory_kb_ -= op.held_kb * (run_factor_ - 1);
  if (outcome == Outcome::moot) keys_.erase(op.id); // nothing was begun
  if (outcome == Outcome::done && !op.hung) {
    OpType& type = types_[op.type.raw];
    const Nanos core = static_cast<Nanos>(static_cast<double>(op.on_core) / op.hint);
    if (op.guess > 0 && op.on_core > 0) guess_slope_.record(op.guess, static_cast<double>(op.on_core));
    if (!op.paused) type.run_time.record(static_cast<Nanos>(static_cast<double>(lag) / op.hint));
    type.core_time.record(core);
    type.recent.record(core);
    const Nanos usual = type.recent.quantile(0.5);
    if (type.recent.total() >= enough)
      type.base = type.base == 0 ? usual : std::min(usual, type.base + type.base / base_rise);
  }
  if (back) {
    op.stage = Stage::held;
    held_.push_back(&op);
    if (types_[op.type.raw].repeats != RetryClass::retryable) give_up(op, Reason::fell_back);
    return;
  }
  forget(op);
}

// ---- final answers

void DecisionModule::forget(Op& op) {
  drop_from(held_, &op);
  drop_from(at_call_, &op);
  memory_kb_ -= op.held_kb * (op.paused && op.stage == Stage::held ? run_factor_ : 1);
  ops_.erase(op.id);
}

// Nacks a held op that never ran; what did run is failed, since a nack would promise that it did not. Its
// caller is asked not to try elsewhere if that is hopeless, if this was such a try already, and the likelier
// the more of what comes has been nacked before (where that isn't marked: here). Guards against nacks that
// only multiply reading and connecting where others are as full; harms where the few that have room are not
// found by the first tries.
void DecisionModule::turn_away(Nanos now, Op& op, Reason why) {
  if (op.ran) return give_up(op, why);
  ++nacked_lately_;
  if (!stalled_) nacked_part_ += part_step;
  nacked_rank_ += (op.rank - nacked_rank_) * rank_step;
  drop_key(op);
  const bool hopeless = now + run_time(op, last_sureness) / faster_elsewhere > target_deadline(op);
  const bool alone = stalled_ || drained_at_ >= 0; // others need not be as badly off
  const bool full_too =
      !alone && (op.again || chance_.unit() < full_elsewhere * (marks_again_ ? again_part_ : nacked_part_));
  server_.nack(op.id, why, hopeless || full_too, retry_after());
  forget(op);
}

// Nacks a retryable op off the cores: its run is worth nothing here and may be made elsewhere.
void DecisionModule::send_on(Op& op) {
  server_.nack(op.id, Reason::hung, false, retry_after());
  let_go(op);
}

// Fails an op wherever it stands. One on the cores is halted where that can be done, else it runs on unheard.
void DecisionModule::give_up(Op& op, Reason why) {
  server_.fail(op.id, why);
  let_go(op);
}

// After the final answer, or when nobody waits any more.
void DecisionModule::let_go(Op& op) {
  op.answered = true;
  drop_from(at_call_, &op);
  if (op.stage == Stage::held || op.stage == Stage::reusing)
    forget(op);
  else if (op.stage == Stage::on_core && halt_ != Halt::none)
    server_.halt(op.id);
}

// Guards against losing an op: whatever holds it up, it is answered at its due time. A run that hangs, a call
// that doesn't end and a reuse that waits are all met here.
void DecisionModule::overdue(Nanos now) {
  std::vector<Op*> late;
  for (auto& [id, op] : ops_)
    if (!op.answered && op.due <= now + 2 * tick) late.push_back(&op);
  for (Op* op : late) {
    if (op->stage == Stage::held && !op->ran && op->earlier == no_op_id)
      turn_away(now, *op, Reason::due);
    else
      give_up(*op, Reason::due);
  }
}

// ---- memory and keys

double DecisionModule::memory_with(double kb) const {
  return memory_kb_ + kb + key_kb_ * static_cast<double>(keys_.size());
}

// Keeps the entry to the end of the window, counted from the arrival at the machine; past it too, against
// running both where two tries lay unread for longer than a short window. False if memory lacks.
bool DecisionModule::keep(Nanos now, Op& op) {
  const Nanos life = std::max(tick, op.arrived + types_[op.type.raw].key_window - now);
  if (memory_with(key_kb_) > memory_part * memory_limit_) return false;
  keys_.erase(op.earlier);
  keys_[op.id] = now + life;
  op.kept = true;
  server_.keep_key(op.id, life);
  return true;
}

// The entry of an op that ends without a run; one that ran is remembered to the end of its window.
void DecisionModule::drop_key(const Op& op) {
  if (!op.kept || op.ran) return;
  server_.forget_key(op.id);
  keys_.erase(op.id);
}

// True if the op needs no run of its own: what it repeats runs here or has run. A keyed op whose first try is
// still held takes its place; that try's caller has given it up, as tries of one request follow each other.
bool DecisionModule::reuse_earlier(Nanos now, Op& op) {
  const auto first = ops_.find(op.earlier);
  if (first != ops_.end() && first->second.stage == Stage::held && !first->second.ran) {
    if (types_[op.type.raw].repeats == RetryClass::retryable) return false;
    op.first_seen = std::min(op.first_seen, first->second.first_seen);
    turn_away(now, first->second, Reason::replaced);
    op.earlier = no_op_id;
    return false;
  }
  drop_from(held_, &op);
  op.stage = Stage::reusing;
  leave_next(op);
  server_.reuse(op.id);
  return true;
}

// ---- calls

bool DecisionModule::breaker_lets(Nanos now) const {
  if (failures_in_row_ < failures_to_open) return true;
  return now >= open_until_ && !trial_out_;
}

// Guards what lies below: the mean of the calls in hand, those given up too, would stay within this server's
// share even if all of them stayed for as long as they may. However small the share, one short call at a time
// may be made where the mean stands under half of it, or a server would never call at all.
bool DecisionModule::call_fits(Nanos time_out) const {
  if (call_share_ <= 0) return true;
  // Not only at the end of that time: what was in hand before has to have left the window by then.
  double most = 0;
  for (int step = 0; step <= call_steps; ++step)
    most = std::max(most, calls_.mean_with(calls_.count() + 1, (time_out + linger_) * step / call_steps));
  if (most <= calls_part * call_share_) return true;
  return calls_.count() == 0 && time_out <= first_call &&
         calls_.mean_with(0, 0) <= lone_part * calls_part * call_share_;
}

void DecisionModule::park(Op& op) {
  op.stage = Stage::at_call;
  at_call_.push_back(&op);
}

// Lets parked ops call, in the order of coming; those that may not call yet go on without it where that is
// worth something, or wait for as long as they can still be in time.
void DecisionModule::place_calls(Nanos now) {
  calls_.advance(now);
  std::vector<Op*> parked = at_call_;
  std::stable_partition(parked.begin(), parked.end(),
                        [&](const Op* op) { return now < target_deadline(*op); });
  for (Op* op : parked) { // those that can still be in time first
    if (now < op->call_from && !op->call_may_have_run) continue;
    const OpType& type = types_[op->type.raw];
    // One of several below that doesn't answer in the usual time is left for another, against some cut off or
    // hung. What all share is left while it is quick, against replies that never come and fill the share.
    const bool known = call_time_.total() >= enough;
    const Nanos tail = longest_call();
    Nanos usual = op->due - now;
    if (known && several_below_)
      usual = failures_in_row_ > 0 ? tail / 2 : tail;
    else if (known && lost_calls_ > calls_get_lost && !crowded_below())
      usual = std::max(tail, type.repeats == RetryClass::retryable ? first_call / 4 : first_call / 2);
    const Nanos left = target_deadline(*op) - core_time(*op) / 2 - now;
    // An op that can't be in time any more ends here; what it still would take is better spent on others. A
    // keyed one goes on, since a repeat could not be run.
    if (left <= 0 && type.repeats == RetryClass::retryable && type.late_share == 0) {
      give_up(*op, Reason::late_at_call);
      continue;
    }
    const bool skippable = type.without_share > 0 && left > 0;
    Nanos time_out = std::min({skippable ? left : op->due - now, op->due - now, usual});
    const bool fits = time_out > 0 && (!skippable || !known || left >= call_time_.quantile(0.5));
    // A small share has no room for calls that might last that long: a shorter time-out keeps it usable.
    if (!call_fits(time_out)) time_out = std::min(time_out, tail);
    if (known && !call_fits(time_out))
      time_out = std::min(time_out, 2 * call_tail * recent_calls_.quantile(0.5));
    // Against calls in step: all that began cold together may make one at the same moment.
    const bool room = call_fits(time_out);
    if (!room && call_limit_ < 1 && warmth(now) < 1) call_from_ = undrawn;
    if (room && call_from_ == undrawn) call_from_ = now + static_cast<Nanos>(chance_.unit() * longest_rest());
    if (!op->call_may_have_run && breaker_lets(now) && room && fits && (skippable || call_free(now))) {
      drop_from(at_call_, op);
      op->stage = Stage::calling;
      op->called_at = now;
      calls_.change(now, 1);
      if (failures_in_row_ >= failures_to_open) trial_out_ = true;
      leave_next(*op);
      server_.call(op->id, time_out);
    } else if (type.without_share > 0) {
      drop_from(at_call_, op);
      join_core(now, *op);
      server_.answer_without_call(op->id);
    } else if (op->call_may_have_run) {
      give_up(*op, Reason::call_lost);
    }
  }
}

// A call that takes longer is lost: its reply does not come, and it crowds nothing below.
Nanos DecisionModule::longest_call() const {
  return call_time_.total() >= enough ? 2 * call_tail * call_time_.quantile(slow_call) : first_call;
}
bool DecisionModule::crowded_below() const {
  return recent_calls_.total() >= enough &&
         static_cast<double>(recent_calls_.quantile(0.5)) > crowded_latency * static_cast<double>(call_base_);
}

// A few at once however small the share, as the budget guards the mean; but no more than its part while it is
// cold: others may be as cold, and all of them begin together. Under one, by rests.
double DecisionModule::calls_at_most(Nanos now) const {
  const double part = calls_most * call_share_;
  return warmth(now) < 1 ? part : std::max(few_calls, part);
}

double DecisionModule::longest_rest() const {
  return std::min(static_cast<double>(first_rest), static_cast<double>(first_call) / call_limit_);
}

// Guards against calls that pile up below and slow each other, so that forty do less than three: only as many
// are in hand as don't make the usual one take twice its time; where one by each server is too many, fewer by
// rests between. The base follows what is slow by itself. Harms what is slow at any load and could do more.
void DecisionModule::steer_calls(Nanos now, Nanos lag) {
  // All servers feel it when what lies below stands still, and all come back: slowly, from little.
  if (lag > longest_call() && now - lag >= call_done_from_)
    call_limit_ = std::min(call_limit_, calls_least * call_share_);
  call_from_ = call_limit_ > 0 ? now + static_cast<Nanos>(static_cast<double>(lag) / call_limit_) - lag : 0;
  recent_calls_.record(lag);
  if (recent_calls_.total() < enough) return;
  const Nanos usual = recent_calls_.quantile(0.5);
  call_base_ = call_base_ == 0 ? usual : std::min(usual, call_base_ + call_base_ / base_rise);
  if (!crowded_below()) {
    if (!at_call_.empty()) call_limit_ = std::min(call_limit_ + 1 / call_limit_, call_limit_ * cap_growth);
    call_limit_ = std::min(call_limit_, calls_at_most(now));
  } else if (now - call_cut_at_ >= usual) {
    const double least = std::max(calls_least * call_share_, std::min(few_calls, few_part * call_share_));
    call_limit_ = std::max(call_limit_ * cap_cut, std::min(call_limit_, least));
    call_cut_at_ = now;
  }
}

// Where one has outlasted the tail and none that was made since has come back, what lies below stands still:
// against every server's filling its share meanwhile with calls that would end together later. One a second
// asks whether it does: against a lost reply's keeping all calls back until its op is due. With it no more is
// in hand than may be when all is well; under one at once, time-outs are short and rests follow.
bool DecisionModule::call_free(Nanos now) const {
  if (call_share_ <= 0) return true;
  const Nanos lost = longest_call();
  int in_hand = 0;
  bool silent = false;
  Nanos youngest = 0;
  for (const auto& [id, op] : ops_) {
    if (op.stage != Stage::calling) continue;
    const bool outlasted = now - op.called_at > lost;
    silent = silent || (outlasted && op.called_at >= call_done_from_);
    in_hand += !outlasted;
    youngest = std::max(youngest, op.called_at);
  }
  if (call_limit_ < 1) return !silent && in_hand == 0 && call_from_ != undrawn && now >= call_from_;
  if (silent) return in_hand == 0 && now - youngest >= open_most && calls_.count() + 1 <= calls_at_most(now);
  return in_hand < static_cast<int>(call_limit_);
}

// The time between the ends of calls with as many in hand as may be, and what those parked will take of it.
Nanos DecisionModule::call_step() const {
  const auto usual = static_cast<double>(recent_calls_.quantile(0.5));
  return call_share_ > 0 ? static_cast<Nanos>(usual / call_limit_) : 0;
}
Nanos DecisionModule::call_wait() const { return static_cast<Nanos>(at_call_.size()) * call_step(); }

void DecisionModule::note_call(Nanos now, Outcome outcome, Nanos lag) {
  if (outcome == Outcome::done || outcome == Outcome::timed_out) steer_calls(now, lag);
  // A call is lost where one made after it has come back; else what lies below is slow, or stands still.
  const bool lost = outcome == Outcome::cut || (outcome == Outcome::timed_out && now - lag < call_done_from_);
  lost_calls_ += (lost - lost_calls_) * part_step / 4;
  if (outcome == Outcome::moot) return; // tells of the run, not of what lies below
  if (outcome == Outcome::done) {
    call_time_.record(lag);
    call_done_from_ = std::max(call_done_from_, now - lag);
    failures_in_row_ = 0;
    open_for_ = 0;
    trial_out_ = false;
    return;
  }
  ++failures_in_row_;
  if (failures_in_row_ < failures_to_open) return;
  if (open_for_ == 0 || trial_out_) {
    open_for_ = std::clamp(2 * open_for_, open_first, open_most);
    open_until_ = now + open_for_ + static_cast<Nanos>(chance_.unit() * static_cast<double>(open_for_) / 2);
  }
  trial_out_ = false;
}

void DecisionModule::after_call(Nanos now, Op& op, Outcome outcome) {
  outcome == Outcome::timed_out ? lingering_.push_back(now + linger_) : calls_.change(now, -1);
  if (outcome == Outcome::done) return join_core(now, op);
  if (types_[op.type.raw].repeats != RetryClass::retryable && !proves_not_run(outcome))
    op.call_may_have_run = true;
  if (op.answered) {
    op.stage = Stage::at_call;
    return;
  }
  // Against one op's tries in a row opening the breaker for all: what all share would fail it the same.
  if (!several_below_) op.call_from = now + std::max(tick, call_time_.quantile(0.5));
  park(op);
}

// ---- what callers are told

Nanos DecisionModule::retry_after() const {
  if (stalled_) return max_stay_away_;
  double line = 0;
  for (const Op* op : held_) line += static_cast<double>(core_time(*op));
  return std::min(max_stay_away_, static_cast<Nanos>(line / cap_));
}

// So many callers of the same traffic would be as uneven as those that remember what they were told: few
// carry most. Guards against sharing tokens among callers that forget before they come again.
double DecisionModule::alike_callers() const {
  double sum = 0, squares = 0;
  for (const auto& [id, caller] : by_caller_) {
    if (now_ - caller.last > heeded_) continue;
    sum += caller.ops;
    squares += caller.ops * caller.ops;
  }
  return squares > 0 ? std::max(1.0, sum * sum / squares) : callers_;
}

// Notes a caller's silence; of one not heard of lately, as if all that there are called in turn.
void DecisionModule::hear(Nanos now, CallerId id) {
  ++read_;
  if (by_caller_.size() >= most_callers && !by_caller_.contains(id)) return;
  const auto [at, unheard] = by_caller_.try_emplace(id);
  Caller& caller = at->second;
  const double turn = callers_ * static_cast<double>(now - born_) / read_;
  silences_.record(unheard ? static_cast<Nanos>(std::min(turn, static_cast<double>(idle_)))
                           : now - caller.last);
  ++caller.ops;
  caller.last = now;
}

// Guards against a table full of silent connections, where callers find no free slot while the cores stand
// idle, and against paying for a new one with every op. Each caller's silences tell how many connections
// would be open and how many be made anew with any idle time: the cheapest is taken. It may harm where a new
// connection costs far more, or an open one far less, than half of the told idle time makes it.
void DecisionModule::steer_idle() {
  if (idle_ <= 0 || silences_.total() < enough) return;
  const auto cost = [&](Nanos kept) {
    return silences_.part_over(kept) * static_cast<double>(idle_ / connection_cost) +
           silences_.mean_up_to(kept);
  };
  const double now_paid = cost(idle_told_);
  Nanos best = idle_told_;
  double least = now_paid;
  for (Nanos kept = idle_; kept >= idle_ >> idle_halvings; kept /= 2)
    if (const double paid = cost(kept); paid < least) {
      best = kept;
      least = paid;
    }
  if (least > (1 - idle_gain) * now_paid) return;
  idle_told_ = best;
  server_.set_idle_timeout(best);
}

void DecisionModule::tell(Nanos now) {
  if (now - counted_from_ >= count_span) {
    const double counts = static_cast<double>(now - counted_from_) / static_cast<double>(count_span);
    const bool crowded =
        nacked_lately_ * reading_ > waste_felt * read_lately_ || unread_lately_ > unread_felt * read_lately_;
    openness_ = crowded ? std::max(openness_least, openness_ * openness_cut)
                        : std::min(1.0, openness_ + openness_step);
    read_lately_ = nacked_lately_ = unread_lately_ = 0;
    counted_from_ = now;
    for (auto& [id, caller] : by_caller_) caller.ops *= rate_keep;
    std::erase_if(by_caller_, [&](const auto& entry) {
      return entry.second.ops < forgotten && now - entry.second.last > idle_;
    });
    steer_idle();
    for (Tenant& tenant : tenants_) tenant.seen *= std::pow(rate_keep, counts);
  }
  double value = 0;
  const double open = drained_at_ >= 0 || stalled_ ? 0 : openness_;
  switch (say_) {
  case Say::nothing:
    return;
  case Say::level:
    value = open <= 0 ? 1 : std::min(1 - open, nacked_rank_);
    break;
  case Say::bias:
    value = open;
    break;
  case Say::tokens:
    value = tokens_per_cap * cap_ * open;
    if (open < 1) value /= alike_callers();
    break;
  }
  if (std::abs(value - told_) <= told_change * std::max(value, told_)) return;
  told_ = value;
  server_.notify_callers(value);
}

// ---- what happens

void DecisionModule::op_read(Nanos now, OpId id, OpTypeId type_id, TenantId tenant, KeyId key,
                             CallerId caller, Nanos patience, Nanos waited, Nanos hint, double held_kb,
                             double rank, bool again, OpId earlier, double worth) {
  pass_to(now);
  if (type_id.raw >= types_.size()) throw std::invalid_argument("an op of an unknown op type");
  OpType& type = types_[type_id.raw];
  Op& op = ops_[id];
  op.id = id;
  op.type = type_id;
  op.tenant = tenant;
  op.earlier = earlier;
  op.key = key;
  op.arrived = now - waited;
  op.guess = static_cast<double>(hint) / static_cast<double>(second);
  op.hint = hint > 0 ? std::pow(op.guess, guess_slope_.value(guess_trust, guess_weight)) : 1;
  op.held_kb = held_kb;
  op.rank = rank;
  op.due = patience > 0 ? now + patience : std::max(now, op.arrived + type.op_timeout);
  op.first_seen = op.arrived;
  op.again = again;
  op.worth = worth;
  // Callers have few patiences, and first tries begin with one of them: another is what is left to a later
  // one, and tells how old it is. Guards against running what nobody can use any more.
  const Nanos left = patience + waited;
  if (patience > 0 && type.patience.record(left) < usual_part && type.patience.total() >= enough) {
    op.first_seen =
        op.arrived + std::min<Nanos>(0, left - type.patience.next_over(left, usual_part, type.op_timeout));
    op.again = true;
  }
  if (drained_at_ >= 0) op.due = std::min(op.due, answer_by_);
  memory_kb_ += held_kb;
  ++read_lately_;
  nacked_part_ -= nacked_part_ * part_step;
  again_part_ += ((again ? 1 : 0) - again_part_) * part_step;
  hear(now, caller);
  // Unread ops are seen by how long they have waited once read: a line no nack shows.
  if (waited > type.target_latency / unread_part) ++unread_lately_;
  if (tenant.raw < tenants_.size()) tenants_[tenant.raw].seen += (1 - rate_keep) * second / count_span;

  // Before the keys: a repeat that waits for its first takes memory too, and may not be nacked if that has
  // run.
  if (memory_with(0) > memory_part * memory_limit_)
    return earlier != no_op_id ? give_up(op, Reason::memory) : turn_away(now, op, Reason::memory);
  if (earlier != no_op_id && reuse_earlier(now, op)) return;
  // A big op that is likelier than not to be late on these cores is better off on faster ones. Only first
  // tries are sent on, so that none is sent round, and only where further tries are told from them.
  if (marks_again_ && !again && hint > 0 && !winnable(op, now, sent_on_sureness) &&
      now + run_time(op, sent_on_sureness) / faster_elsewhere <= target_deadline(op)) {
    return turn_away(now, op, Reason::too_big);
  }
  admit(now, op);
}

void DecisionModule::reuse_failed(Nanos now, OpId id, OpId earlier) {
  pass_to(now);
  const auto at = ops_.find(id);
  if (at == ops_.end() || at->second.stage != Stage::reusing) return;
  Op& op = at->second;
  op.earlier = earlier;
  op.stage = Stage::held;
  if (earlier == no_op_id || !reuse_earlier(now, op)) admit(now, op);
}

// Nacks an op or puts it into the hold.
void DecisionModule::admit(Nanos now, Op& op) {
  const OpType& type = types_[op.type.raw];
  if (drained_at_ >= 0 && now > serve_until_) return turn_away(now, op, Reason::leaving);
  const bool shared = type.repeats == RetryClass::retryable && fresh_for_ > 0 && op.key != no_key_id;
  if (type.repeats == RetryClass::keyed && !keep(now, op)) return turn_away(now, op, Reason::key_memory);
  if (shared && memory_with(key_kb_) < shared_part * memory_limit_) {
    keys_[op.id] = op.due + fresh_for_;
    op.kept = true;
    server_.keep_key(op.id, op.due + fresh_for_ - now);
  }
  held_.push_back(&op);
  settle(now);
}

void DecisionModule::op_cancelled(Nanos now, OpId id) {
  pass_to(now);
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  Op& op = at->second;
  drop_key(op);
  if (!op.answered) let_go(op);
  settle(now);
}

void DecisionModule::run_ended(Nanos now, OpId id, Outcome outcome, Nanos lag) {
  pass_to(now);
  const auto at = ops_.find(id);
  if (at == ops_.end() || !at->second.when_ended) return;
  const Op::Next next = std::move(at->second.when_ended);
  next(at->second, outcome, lag);
  place_calls(now);
  settle(now);
}

void DecisionModule::call_wanted(Nanos now, OpId id) {
  pass_to(now);
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  leave_core(now, at->second);
  if (at->second.answered)
    at->second.stage = Stage::at_call;
  else
    park(at->second);
  place_calls(now);
  settle(now);
}

void DecisionModule::call_ended(Nanos now, OpId id, Outcome outcome, Nanos lag) {
  pass_to(now);
  note_call(now, outcome, lag);
  const auto at = ops_.find(id);
  if (at == ops_.end() || at->second.stage != Stage::calling) return;
  const Op::Next next = std::move(at->second.when_called);
  next(at->second, outcome, lag);
  place_calls(now);
  settle(now);
}

void DecisionModule::woken(Nanos now, WakeId, std::span<const double> gauges) {
  pass_to(now);
  const auto read = [&](int gauge, double& into) {
    if (gauge >= 0 && static_cast<std::size_t>(gauge) < gauges.size())
      into = gauges[static_cast<std::size_t>(gauge)];
  };
  read(busy_gauge_, busy_);
  read(wanting_gauge_, wanting_core_);
  if (wanting_core_ > 0) {
    const double reading = std::max(0.0, wanting_core_ - on_core_) / std::max(wanting_core_, cores_);
    reading_ += (reading - reading_) * reading_step;
  }
  calls_.advance(now);
  std::erase_if(lingering_, [&](Nanos end) {
    if (end > now) return false;
    calls_.change(now, -1);
    return true;
  });
  std::erase_if(keys_, [&](const auto& entry) { return entry.second <= now; });
  overdue(now);
  watch(now);
  steer_cap(now);
  place_calls(now);
  settle(now);
  tell(now);
  // Past the delay nothing more is served: callers that are told so, or get no connection, lose no time here.
  if (drained_at_ >= 0 && now > serve_until_ && !stopped_accepting_) {
    stopped_accepting_ = true;
    server_.stop_accepting();
  }
  server_.wake_at(now + tick, WakeId{1});
}

void DecisionModule::machine_up(Nanos now, Nanos since) {
  pass_to(now);
  born_ = now - since;
  progress_at_ = now;
  // Whatever served here before ended with the machine, and may have had its whole share of calls in hand.
  calls_.assume(born_, calls_part * call_share_);
}

// The stored health turns bad at once. Ops are served for a shutdown delay that ends by the grace and early
// enough for a run to end before the kill; all that was read is answered before it. Where the process stood
// still the notice may have come at any time of that: against counting from when it was heard.
void DecisionModule::drain(Nanos now, Nanos until_kill) {
  const Nanos noticed = now - now_ > stood_still ? now_ : now;
  pass_to(now);
  if (drained_at_ >= 0) return;
  drained_at_ = now;
  server_.health(false, true);
  answer_by_ = noticed + until_kill - 2 * tick;
  Nanos run = 0;
  for (const OpType& type : types_) run = std::max(run, type.run_time.quantile(planned_sureness));
  serve_until_ = std::min(noticed + grace_, answer_by_ - run);
  for (auto& [id, op] : ops_) op.due = std::min(op.due, answer_by_);
  settle(now);
  tell(now);
}

} // namespace cometshift
