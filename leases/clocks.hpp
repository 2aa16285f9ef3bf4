// Time for leases out of two clocks of one machine, so that one of them may jump, stand or run wrong and two
// still never hold at once: who holds takes whatever went further, and lets go early; who granted takes
// whatever went less far, and lets go late. (docs/leases.md, assumption 1.) No I/O: readings are handed in.
#pragma once

#include "ids.hpp"

#include <algorithm>

namespace cometshift {

class LeaseClock {
  static constexpr Nanos window =
      1'000'000'000; // over which the two are compared: long beside the noise of readings

  Nanos one_at_, other_at_;  // readings at the beginning of the window
  Nanos early_at_, late_at_; // what was told then
  Nanos early_, late_;
  Nanos apart_ = 0; // of the two, in the last whole window

 public:
  LeaseClock(Nanos one, Nanos other)
      : one_at_(one), other_at_(other), early_at_(one), late_at_(one), early_(one), late_(one) {}

  void take(Nanos one, Nanos other) {
    const Nanos a = one - one_at_, b = other - other_at_;
    early_ = std::max(early_, early_at_ + std::max(a, b)); // neither goes back, whatever the readings do
    late_ = std::max(late_, late_at_ + std::min(a, b));
    if (std::max(a, b) < window && std::min(a, b) > -window) return;
    apart_ = std::max(a, b) - std::min(a, b);
    one_at_ = one;
    other_at_ = other;
    early_at_ = early_;
    late_at_ = late_;
  }
  Nanos early() const { return early_; } // of who holds, and of all that is no promise to others
  Nanos late() const { return late_; }   // of who granted
  Nanos divergence() const { return apart_; }
};

} // namespace cometshift
