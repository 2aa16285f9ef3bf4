#include "capacity.hpp"

#include <algorithm>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos window = 500 * ms; // over which throughput is counted: some runs, short against a cold start
constexpr double window_weight = 0.4; // of a window in the estimate: a change shows within two seconds
constexpr double full_part = 0.6; // of a window with the cores wanted: less says nothing of what they can do
constexpr double raised_a_window =
    1.1; // at most, where runs end faster than believed though the cores are not full
constexpr double first_cores = 1;    // believed before anything was seen
constexpr double least_cores = 0.05; // against an estimate that lets nothing through, and so never sees more
constexpr float enough = 4;          // runs of a type before its base is believed
constexpr Nanos base_rise = 512;     // part of it a base rises a run, so a jam does not become one
constexpr double ratio_weight = 1.0 / 12; // of a run in the ratio to its base
constexpr double additive_step = 0.05;    // cores a run that takes what it should
constexpr double additive_cut = 0.85;     // once a cut's rest, while runs take twice their base
constexpr double crowded = 2;             // times its base
constexpr Nanos cut_rest = 300 * ms;      // as long as some runs take to show the last cut
constexpr Nanos longest_gap =
    2000 * ms; // with the cores wanted and nothing ending: the estimate falls by then

} // namespace

Capacity::Capacity(Nanos now, By by, std::size_t op_types)
    : by_(by), types_(op_types), estimate_(first_cores), window_from_(now), wanted_since_(now),
      last_done_(now) {}

Nanos Capacity::base(OpTypeId type) const {
  return type.raw < types_.size() && types_[type.raw].seen >= enough ? types_[type.raw].base : 0;
}

// Counts the time up to now with as many wanted as there were.
void Capacity::pass_to(Nanos now) {
  const Nanos span = std::max<Nanos>(0, now - wanted_since_);
  wanted_area_ += static_cast<double>(wanted_) * static_cast<double>(span);
  if (wanted_ > 0 && (static_cast<double>(wanted_) >= estimate_ || busy_ >= 0.9)) full_time_ += span;
  wanted_since_ = now;
  if (now - window_from_ >= window) count(now);
}

void Capacity::count(Nanos now) {
  const auto span = static_cast<double>(now - window_from_);
  const double rate = done_ / span;
  const bool full = static_cast<double>(full_time_) >= full_part * span;
  if (by_ == By::throughput) {
    if (full && (done_ > 0 || now - last_done_ >= longest_gap)) {
      // Against an estimate that a first window sets for long: the first counts whole.
      estimate_ += (rate - estimate_) * (known_ ? window_weight : 1);
      known_ = true;
    } else if (rate > estimate_) {
      estimate_ = std::min(rate, known_ ? estimate_ * raised_a_window : rate);
    }
  } else if (by_ == By::gradient && full) {
    // As many cores as are wanted at the same time, up to where runs get slower for it.
    const double used = wanted_area_ / span;
    estimate_ += (used / std::max(1.0, ratio_) - estimate_) * (known_ ? window_weight : 1);
    known_ = true;
  }
  estimate_ = std::max(estimate_, least_cores);
  window_from_ = now;
  wanted_area_ = 0;
  full_time_ = 0;
  done_ = 0;
}

void Capacity::on_cores(Nanos now, int wanted) {
  pass_to(now);
  wanted_ = wanted;
}

void Capacity::run_ended(Nanos now, OpTypeId type_id, Nanos on_cores, int wanted) {
  pass_to(now);
  wanted_ = std::max(0, wanted - 1);
  if (type_id.raw >= types_.size() || on_cores <= 0) return;
  Type& type = types_[type_id.raw];
  type.recent.record(on_cores);
  type.seen = std::min<float>(type.seen + 1, 1e6f);
  const Nanos usual = type.recent.quantile(0.5);
  // It rises only by runs that had a core each: against a crowd, in which all take longer, becoming the base.
  const bool alone = static_cast<double>(wanted) <= std::max(1.0, estimate_);
  type.base = type.base == 0 ? usual : std::min(usual, type.base + (alone ? type.base / base_rise : 0));
  const double base = static_cast<double>(std::max<Nanos>(1, type.base));
  done_ += base;
  last_done_ = now;
  ratio_ += (static_cast<double>(on_cores) / base - ratio_) * ratio_weight;
  if (by_ != By::additive) return;
  known_ = true;
  if (ratio_ < crowded) {
    if (static_cast<double>(wanted) >= estimate_) estimate_ += additive_step;
  } else if (now - last_cut_ >= cut_rest) {
    estimate_ = std::max(least_cores, estimate_ * additive_cut);
    last_cut_ = now;
  }
}

} // namespace cometshift
