// The server's clock: Unix time that never goes back and stays the same within a turn of the event loop. The
// system time is passed in; this class does not read it.
#pragma once

#include "ids.hpp"

namespace cometshift {

// Monotonic Unix time, constant within a turn.
class Clock {
  Nanos now_ = 0;
  Nanos offset_ = 0; // of this clock against the system clock; grows when the system clock is set back
  bool turn_started_ = false;

 public:
  // The time of this turn. `system` returns the system time and is called once per turn.
  template <class System>
  Nanos now(System system) {
    if (turn_started_) return now_;
    const Nanos system_time = system();
    if (system_time + offset_ < now_)
      offset_ = now_ - system_time; // the system clock was set back: stand still now, advance afterwards
    now_ = system_time + offset_;
    turn_started_ = true;
    return now_;
  }
  void next_turn() { turn_started_ = false; }
  // Converts a time that was read from the system clock, such as an op's time of receipt.
  Nanos from_system(Nanos system_time) const { return system_time + offset_; }
};

} // namespace cometshift
