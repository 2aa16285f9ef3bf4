#include "capacity.hpp"

#include <algorithm>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos window = 500 * ms; // over which throughput is counted: some runs, short against a cold start
constexpr double window_smoothing = 0.4; // of a window in the estimate: a change shows within two seconds
constexpr double min_saturated_fraction =
    0.6; // of a window with the cores wanted: less says nothing of what they can do
constexpr double max_growth_per_window =
    1.1; // at most, where runs end faster than believed though the cores are not full
constexpr double initial_cores = 1; // believed before anything was seen
constexpr double min_cores = 0.05;  // against an estimate that lets nothing through, and so never sees more
constexpr float min_runs_for_base = 4;          // runs of a type before its base is believed
constexpr Nanos base_rise_divisor = 512;        // part of it a base rises a run, so a jam does not become one
constexpr double slowdown_smoothing = 1.0 / 12; // of a run in the ratio to its base
constexpr double additive_step = 0.05;          // cores a run that takes what it should
constexpr double additive_decrease_factor = 0.85; // once a cut's rest, while runs take twice their base
constexpr double decrease_slowdown = 2;           // times its base
constexpr Nanos decrease_interval = 300 * ms;     // as long as some runs take to show the last cut
constexpr Nanos max_completion_gap =
    2000 * ms; // with the cores wanted and nothing ending: the estimate falls by then

} // namespace

Capacity::Capacity(Nanos now, Estimator estimator, std::size_t op_types)
    : estimator_(estimator), types_(op_types), estimate_(initial_cores), window_started_at_(now),
      demand_since_(now), last_completion_(now) {}

Nanos Capacity::base_work(OpTypeId type) const {
  return type.raw < types_.size() && types_[type.raw].runs_seen >= min_runs_for_base
             ? types_[type.raw].base_work
             : 0;
}

// Counts the time up to now with as many wanted as there were.
void Capacity::advance_to(Nanos now) {
  const Nanos span = std::max<Nanos>(0, now - demand_since_);
  demand_area_ += static_cast<double>(demand_) * static_cast<double>(span);
  if (demand_ > 0 && (static_cast<double>(demand_) >= estimate_ || busy_fraction_ >= 0.9))
    saturated_time_ += span;
  demand_since_ = now;
  if (now - window_started_at_ >= window) close_window(now);
}

void Capacity::close_window(Nanos now) {
  const auto span = static_cast<double>(now - window_started_at_);
  const double rate = completed_work_ / span;
  const bool saturated = static_cast<double>(saturated_time_) >= min_saturated_fraction * span;
  if (estimator_ == Estimator::throughput) {
    if (saturated && (completed_work_ > 0 || now - last_completion_ >= max_completion_gap)) {
      // Against an estimate that a first window sets for long: the first counts whole.
      estimate_ += (rate - estimate_) * (has_estimate_ ? window_smoothing : 1);
      has_estimate_ = true;
    } else if (rate > estimate_) {
      estimate_ = std::min(rate, has_estimate_ ? estimate_ * max_growth_per_window : rate);
    }
  } else if (estimator_ == Estimator::gradient && saturated) {
    // As many cores as are wanted at the same time, up to where runs get slower for it.
    const double mean_demand = demand_area_ / span;
    estimate_ +=
        (mean_demand / std::max(1.0, slowdown_) - estimate_) * (has_estimate_ ? window_smoothing : 1);
    has_estimate_ = true;
  }
  estimate_ = std::max(estimate_, min_cores);
  window_started_at_ = now;
  demand_area_ = 0;
  saturated_time_ = 0;
  completed_work_ = 0;
}

void Capacity::demand_changed(Nanos now, int demand) {
  advance_to(now);
  demand_ = demand;
}

void Capacity::run_ended(Nanos now, OpTypeId type_id, Nanos core_time, int demand) {
  advance_to(now);
  demand_ = std::max(0, demand - 1);
  if (type_id.raw >= types_.size() || core_time <= 0) return;
  Type& type = types_[type_id.raw];
  type.recent.record(core_time);
  type.runs_seen = std::min<float>(type.runs_seen + 1, 1e6f);
  const Nanos median = type.recent.quantile(0.5);
  // It rises only by runs that had a core each: against a crowd, in which all take longer, becoming the base.
  const bool uncontended = static_cast<double>(demand) <= std::max(1.0, estimate_);
  type.base_work =
      type.base_work == 0
          ? median
          : std::min(median, type.base_work + (uncontended ? type.base_work / base_rise_divisor : 0));
  const double base_work = static_cast<double>(std::max<Nanos>(1, type.base_work));
  completed_work_ += base_work;
  last_completion_ = now;
  slowdown_ += (static_cast<double>(core_time) / base_work - slowdown_) * slowdown_smoothing;
  if (estimator_ != Estimator::additive) return;
  has_estimate_ = true;
  if (slowdown_ < decrease_slowdown) {
    if (static_cast<double>(demand) >= estimate_) estimate_ += additive_step;
  } else if (now - last_decrease_ >= decrease_interval) {
    estimate_ = std::max(min_cores, estimate_ * additive_decrease_factor);
    last_decrease_ = now;
  }
}

} // namespace cometshift
