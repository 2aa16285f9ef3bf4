// The server's one clock: Unix time that never goes back, the same for all of a turn. Takes the system's time
// as it is handed in; reads none itself.
#pragma once

#include "ids.hpp"

namespace cometshift {

class Clock {
  Nanos now_ = 0;
  Nanos shift_ = 0; // of ours against the system's, which may be set back
  bool known_ = false;

 public:
  // The time of this turn; `system` is asked once a turn.
  template <class System>
  Nanos now(System system) {
    if (known_) return now_;
    const Nanos there = system();
    if (there + shift_ < now_)
      shift_ = now_ - there; // against a system clock that is set back: time stands, then goes on
    now_ = there + shift_;
    known_ = true;
    return now_;
  }
  void next_turn() { known_ = false; }
  // Of a time that others took from the system's clock.
  Nanos from_system(Nanos theirs) const { return theirs + shift_; }
};

} // namespace cometshift
