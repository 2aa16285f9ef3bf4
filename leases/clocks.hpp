// Lease time derived from two clocks of one machine, so that one of them may jump, stop or run at a wrong
// rate without two members holding a lease at the same time. The holder uses whichever clock advanced more
// and releases early; the voter uses whichever advanced less and lets grants expire late. (docs/leases.md,
// assumption 1.) No I/O: the readings are passed in.
#pragma once

#include "ids.hpp"

#include <algorithm>

namespace cometshift {

// The two lease times of one machine.
class LeaseClock {
  // Comparison interval: long compared with the noise of readings.
  static constexpr Nanos window = 1'000'000'000;

  Nanos first_start_, second_start_; // readings at the start of the window
  Nanos early_start_, late_start_;   // results at the start of the window
  Nanos early_, late_;
  Nanos divergence_ = 0;

 public:
  LeaseClock(Nanos first, Nanos second)
      : first_start_(first), second_start_(second), early_start_(first), late_start_(first), early_(first),
        late_(first) {}

  // Takes one reading of each clock.
  void take(Nanos first, Nanos second) {
    const Nanos first_elapsed = first - first_start_, second_elapsed = second - second_start_;
    // Neither result goes back, whatever the readings do.
    early_ = std::max(early_, early_start_ + std::max(first_elapsed, second_elapsed));
    late_ = std::max(late_, late_start_ + std::min(first_elapsed, second_elapsed));
    if (std::max(first_elapsed, second_elapsed) < window && std::min(first_elapsed, second_elapsed) > -window)
      return;
    divergence_ = std::max(first_elapsed, second_elapsed) - std::min(first_elapsed, second_elapsed);
    first_start_ = first;
    second_start_ = second;
    early_start_ = early_;
    late_start_ = late_;
  }
  // Time for the holder, and for everything that is no promise to other members.
  Nanos early() const { return early_; }
  // Time for the voter's grants.
  Nanos late() const { return late_; }
  // How far the clocks diverged within the last whole window.
  Nanos divergence() const { return divergence_; }
};

} // namespace cometshift
