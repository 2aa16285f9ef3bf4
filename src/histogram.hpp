// Statistics: a histogram of durations with coarse bins, frequent values, a regression slope, and the mean of
// a count over a sliding window.
#pragma once

#include "ids.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <stdexcept>

namespace cometshift {

// Histogram of durations. Each power of two from 2^19 ns (about 0.5 ms) has two bins. The counts are halved
// after `max_total` samples, so that the histogram follows changes.
class Histogram {
  static constexpr int bins = 32;
  std::array<float, bins> count_{};
  float total_ = 0;
  float max_total_;
  mutable double mean_ = 0; // cached: it is read far more often than it changes
  mutable bool mean_known_ = false;

  // Bins are computed in units of 2^18 ns, here called `ms` although they are about a quarter of one.
  static int bin_of(Nanos span) {
    const auto ms = static_cast<std::uint64_t>(std::max<Nanos>(span, 1) >> 18);
    if (ms < 2) return 0;
    const int top = std::bit_width(ms) - 1;
    const int half = static_cast<int>((ms >> (top - 1)) & 1);
    return std::min(bins - 1, 2 * top + half - 1);
  }
  // Returns the lower end of a bin.
  static Nanos lower_end(int bin) {
    if (bin <= 0) return 0;
    const int top = (bin + 1) / 2;
    const std::uint64_t ms = (std::uint64_t{2} | ((bin + 1) & 1)) << (top - 1);
    return static_cast<Nanos>(ms << 18);
  }

 public:
  explicit Histogram(float max_total) : max_total_(max_total) {}

  template <class Serializer>
  void serialize(Serializer& serializer) {
    serializer(count_, total_, max_total_);
    mean_known_ = false;
  }

  void record(Nanos span) {
    mean_known_ = false;
    count_[bin_of(span)] += 1;
    total_ += 1;
    if (total_ < max_total_) return;
    for (float& c : count_) c /= 2;
    total_ /= 2;
  }
  float total() const { return total_; }
  // Returns the quantile `part` (0 to 1), interpolated linearly within its bin; 0 without samples.
  Nanos quantile(double part) const {
    double left = part * total_;
    for (int b = 0; b < bins; ++b) {
      if (count_[b] > 0 && left <= count_[b])
        return lower_end(b) +
               static_cast<Nanos>(static_cast<double>(lower_end(b + 1) - lower_end(b)) * left / count_[b]);
      left -= count_[b];
    }
    return total_ > 0 ? lower_end(bins) : 0;
  }
  double mean() const {
    if (!mean_known_) mean_ = capped_mean(lower_end(bins));
    mean_known_ = true;
    return mean_;
  }
  // Returns the mean with longer durations counted as `limit`.
  double capped_mean(Nanos limit) const {
    double sum = 0;
    for (int b = 0; b < bins; ++b)
      sum += count_[b] *
             std::min(0.5 * static_cast<double>(lower_end(b) + lower_end(b + 1)), static_cast<double>(limit));
    return total_ > 0 ? sum / total_ : 0;
  }
  // Returns the fraction of durations longer than `span`: of bins whose middle is above it, and of the last
  // bin, which has no upper end.
  double fraction_above(Nanos span) const {
    double sum = count_[bins - 1];
    for (int b = 0; b < bins - 1; ++b)
      if (lower_end(b) + lower_end(b + 1) > 2 * span) sum += count_[b];
    return total_ > 0 ? sum / total_ : 0;
  }
};

// Finds the few durations that occur often. Its counts are halved after `max_total` samples.
class FrequentValues {
  static constexpr int slots = 8;
  std::array<Nanos, slots> span_{};
  std::array<float, slots> count_{};
  float total_ = 0;
  float max_total_;

 public:
  explicit FrequentValues(float max_total) : max_total_(max_total) {}

  template <class Serializer>
  void serialize(Serializer& serializer) {
    serializer(span_, count_, total_, max_total_);
  }

  // Records a duration; returns the fraction of recent ones within 1/64 of it.
  float record(Nanos span) {
    const auto near = [&](int i) { return count_[i] > 0 && std::abs(span_[i] - span) <= span / 64; };
    int at = 0;
    while (at < slots && !near(at)) ++at;
    if (at == slots) { // replaces the least frequent one
      at = static_cast<int>(std::min_element(count_.begin(), count_.end()) - count_.begin());
      span_[at] = span;
      count_[at] = 0;
    }
    count_[at] += 1;
    total_ += 1;
    const float part = count_[at] / total_;
    if (total_ >= max_total_) {
      for (float& c : count_) c /= 2;
      total_ /= 2;
    }
    return part;
  }
  float total() const { return total_; }
  // Returns the shortest of `fallback` and of the durations longer than `span` that make up at least
  // `part` of the recent ones.
  Nanos next_above(Nanos span, float part, Nanos fallback) const {
    for (int i = 0; i < slots; ++i)
      if (count_[i] >= part * total_ && span_[i] > span) fallback = std::min(fallback, span_[i]);
    return fallback;
  }
};

// Slope of a regression between the logarithms of two sizes, limited to 0 (independent) to 1 (proportional).
class LogLogSlope {
  double step_; // weight of one sample
  double x_ = 0, y_ = 0, xx_ = 0, xy_ = 0, samples_ = 0;

 public:
  explicit LogLogSlope(double step) : step_(step) {}

  template <class Serializer>
  void serialize(Serializer& serializer) {
    serializer(step_, x_, y_, xx_, xy_, samples_);
  }

  void record(double x, double y) {
    const double lx = std::log(x), ly = std::log(y), by = std::max(step_, 1 / ++samples_);
    const double dx = lx - x_, dy = ly - y_;
    x_ += by * dx;
    y_ += by * dy;
    xx_ += by * ((1 - by) * dx * dx - xx_);
    xy_ += by * ((1 - by) * dx * dy - xy_);
  }
  // Returns the slope, shrunk towards `prior`, which counts as `weight` samples of unit variance.
  double value(double prior, double weight) const {
    const double samples = std::min(samples_, 1 / step_);
    return std::clamp((xy_ * samples + prior * weight) / (xx_ * samples + weight), 0.0, 1.0);
  }
};

// Mean of a count over a sliding window, which is divided into a few slices. A count can be assumed
// for the time before the first slice.
class WindowMean {
  static constexpr int slices = 16;
  std::array<double, slices> area_{}; // count x time in each slice
  Nanos slice_;
  Nanos begin_;
  Nanos at_;
  std::int64_t index_ = 0;
  double count_ = 0;
  Nanos assumed_until_ = 0;
  double assumed_ = 0;

 public:
  WindowMean(Nanos window, Nanos now)
      : slice_(std::max<Nanos>(1, window / (slices - 1))), begin_(now), at_(now) {}

  template <class Serializer>
  void serialize(Serializer& serializer) {
    serializer(area_, slice_, begin_, at_, index_, count_, assumed_until_, assumed_);
    if (Serializer::reads && (slice_ <= 0 || index_ < 0 || begin_ > at_))
      throw std::invalid_argument("snapshot: invalid window");
  }

  double count() const { return count_; }
  // Assumes that the count was higher by `count` until `until`.
  void assume(Nanos until, double count) {
    assumed_until_ = until;
    assumed_ = count;
  }
  void advance(Nanos now) {
    while (at_ < now) {
      const Nanos edge = begin_ + (index_ + 1) * slice_;
      const Nanos to = std::min(now, edge);
      area_[index_ % slices] += count_ * static_cast<double>(to - at_);
      at_ = to;
      if (to == edge) area_[++index_ % slices] = 0;
    }
  }
  void change(Nanos now, double by) {
    advance(now);
    count_ += by;
  }
  // Returns the mean over the window that ends `ahead` from now if the count is `count` until then.
  double mean_with(double count, Nanos ahead) const {
    const Nanos window = slice_ * (slices - 1);
    if (ahead >= window) return count;
    double sum = count * static_cast<double>(ahead);
    sum += assumed_ * static_cast<double>(std::max<Nanos>(0, assumed_until_ - (at_ + ahead - window)));
    for (std::int64_t i = index_; i >= 0 && i > index_ - slices; --i) {
      const Nanos from = std::max(begin_ + i * slice_, at_ + ahead - window);
      const Nanos to = std::min(begin_ + (i + 1) * slice_, at_);
      if (to <= from) continue;
      const Nanos whole = to - (begin_ + i * slice_);
      sum += area_[i % slices] * static_cast<double>(to - from) / static_cast<double>(whole);
    }
    return sum / static_cast<double>(window);
  }
};

} // namespace cometshift
