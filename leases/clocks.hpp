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

  Nanos first_start_, second_start_; // readings at the beginning of the window
  Nanos early_start_, late_start_;   // what was told then
  Nanos early_, late_;
  Nanos divergence_ = 0; // of the two, in the last whole window

 public:
  LeaseClock(Nanos first, Nanos second)
      : first_start_(first), second_start_(second), early_start_(first), late_start_(first), early_(first),
        late_(first) {}

  void take(Nanos first, Nanos second) {
    const Nanos first_elapsed = first - first_start_, second_elapsed = second - second_start_;
    early_ = std::max(early_,
                      early_start_ + std::max(first_elapsed,
                                              second_elapsed)); // neither goes back, whatever the readings do
    late_ = std::max(late_, late_start_ + std::min(first_elapsed, second_elapsed));
    if (std::max(first_elapsed, second_elapsed) < window && std::min(first_elapsed, second_elapsed) > -window)
      return;
    divergence_ = std::max(first_elapsed, second_elapsed) - std::min(first_elapsed, second_elapsed);
    first_start_ = first;
    second_start_ = second;
    early_start_ = early_;
    late_start_ = late_;
  }
  Nanos early() const { return early_; } // of who holds, and of all that is no promise to others
  Nanos late() const { return late_; }   // of who granted
  Nanos divergence() const { return divergence_; }
};

} // namespace cometshift
