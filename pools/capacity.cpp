#include "capacity.hpp"

#include <algorithm>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;
// Interval over which throughput is counted: several runs, but short compared with a cold start.
constexpr Nanos window = 500 * ms;
// Weight of a window in the estimate: a change shows within two seconds.
constexpr double window_smoothing = 0.4;
// Fraction of a window that must be saturated: less says nothing about capacity.
constexpr double min_saturated_fraction = 0.6;
// Upper limit where throughput exceeds the estimate although the cores are not saturated.
constexpr double max_growth_per_window = 1.1;
constexpr double initial_cores = 1;    // estimate before anything was observed
constexpr double min_cores = 0.05;     // an estimate that admits nothing could never recover
constexpr float min_runs_for_base = 4; // runs of a type before its base work is used
// Base work rises by at most 1/512 a run, so that congestion does not become the base.
constexpr Nanos base_rise_divisor = 512;
constexpr double slowdown_smoothing = 1.0 / 12; // weight of a run in the slowdown
constexpr double additive_step = 0.05;          // cores added per run without slowdown
// Applied once per decrease_interval while runs take twice their base work.
constexpr double additive_decrease_factor = 0.85;
constexpr double decrease_slowdown = 2; // core time over base work
// Long enough for some runs to show the effect of the last decrease.
constexpr Nanos decrease_interval = 300 * ms;
// With saturated cores and no completed run, the estimate falls after this time.
constexpr Nanos max_completion_gap = 2000 * ms;

} // namespace

Capacity::Capacity(Nanos now, Estimator estimator, std::size_t op_types)
    : estimator_(estimator), types_(op_types), estimate_(initial_cores), window_started_at_(now),
      demand_since_(now), last_completion_(now) {}

Nanos Capacity::base_work(OpTypeId type) const {
  return type.raw < types_.size() && types_[type.raw].runs_seen >= min_runs_for_base
             ? types_[type.raw].base_work
             : 0;
}

// Accounts for the time up to now at the current demand.
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
      // The first window counts in full, so that the initial value does not linger.
      estimate_ += (rate - estimate_) * (has_estimate_ ? window_smoothing : 1);
      has_estimate_ = true;
    } else if (rate > estimate_) {
      estimate_ = std::min(rate, has_estimate_ ? estimate_ * max_growth_per_window : rate);
    }
  } else if (estimator_ == Estimator::gradient && saturated) {
    // As many cores as are wanted at the same time, up to the point where runs slow down.
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
  // The base rises only by runs that had a core to themselves; otherwise the slowdown of a crowd would become
  // the base.
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
