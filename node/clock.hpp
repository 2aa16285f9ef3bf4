// The server's one clock: Unix time that never goes back, the same for all of a turn. Takes the system's time
// as it is handed in; reads none itself.
#pragma once

#include "ids.hpp"

namespace cometshift {

class Clock {
  Nanos now_ = 0;
  Nanos offset_ = 0; // of ours against the system's, which may be set back
  bool turn_started_ = false;

 public:
  // The time of this turn; `system` is asked once a turn.
  template <class System>
  Nanos now(System system) {
    if (turn_started_) return now_;
    const Nanos system_time = system();
    if (system_time + offset_ < now_)
      offset_ = now_ - system_time; // against a system clock that is set back: time stands, then goes on
    now_ = system_time + offset_;
    turn_started_ = true;
    return now_;
  }
  void next_turn() { turn_started_ = false; }
  // Of a time that others took from the system's clock.
  Nanos from_system(Nanos system_time) const { return system_time + offset_; }
};

} // namespace cometshift
