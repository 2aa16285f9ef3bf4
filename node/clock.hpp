// The server's clock: Unix time that never goes back. The system time is passed in; this class does not read
// it.
#pragma once

#include "ids.hpp"

#include <algorithm>
#include <atomic>
#include <functional>
#include <utility>

namespace cometshift {

// Monotonic Unix time. Each reading reads the system clock: the process may be paused at any point, so an
// earlier reading may be long past, and what is read from a socket after it may be newer than it.
class Clock {
  std::function<Nanos()> system_time_;
  std::atomic<Nanos> now_ = 0; // atomic for signal handlers only
  Nanos offset_ = 0; // of this clock against the system clock; grows when the system clock is set back

 public:
  explicit Clock(std::function<Nanos()> system_time) : system_time_(std::move(system_time)) {}

  Nanos now() {
    const Nanos system_time = system_time_(), last = last_reading();
    if (system_time + offset_ < last)
      offset_ = last - system_time; // the system clock was set back: stand still now, advance afterwards
    const Nanos now = system_time + offset_;
    now_.store(now, std::memory_order_relaxed);
    return now;
  }
  // What the last call of now() returned. May be called in a signal handler.
  Nanos last_reading() const { return now_.load(std::memory_order_relaxed); }
  // Converts a time that was read from the system clock, such as an op's time of receipt.
  Nanos from_system(Nanos system_time) const { return system_time + offset_; }
};

// Time in which the process was running, for time-outs that a pause of the process must not shorten. It is
// read at least every `longest_step`; a longer gap between two readings is a pause, and counts as
// `longest_step`.
class RunningTime {
  Clock& clock_;
  Nanos longest_step_;
  Nanos last_reading_;
  Nanos uncounted_ = 0; // of all pauses so far

 public:
  RunningTime(Clock& clock, Nanos longest_step)
      : clock_(clock), longest_step_(longest_step), last_reading_(clock.now()) {}

  Nanos now() {
    const Nanos reading = clock_.now();
    uncounted_ += std::max<Nanos>(0, reading - last_reading_ - longest_step_);
    last_reading_ = reading;
    return reading - uncounted_;
  }
};

} // namespace cometshift
