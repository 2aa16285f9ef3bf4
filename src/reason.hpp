// Reasons why an op was nacked or failed: first those of the decision module, then those of the core.
// docs/on-call.md lists them all. Recordings contain the numbers, so a number is never reused.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace cometshift {

enum class Reason : std::uint8_t {
  none = 0,
  leaving = 1,        // arrived after the end of the shutdown delay
  memory = 2,         // its memory does not fit
  key_memory = 3,     // no memory for its key entry
  too_big = 4,        // too large to be in time here; a faster server may manage
  hopeless = 5,       // queued, and no run is short enough any more
  line = 6,           // the queue is too long, and this op has the lowest value per work
  stalled = 7,        // the cores are stalled: queued ops are nacked
  hung = 8,           // it hangs on stalled cores
  due = 9,            // its due time was reached
  replaced = 10,      // a repeat of it arrived while it was queued
  late_at_call = 11,  // waiting to call, and can't be in time any more
  call_lost = 12,     // its call gave no reply and may have taken effect
  fell_back = 13,     // halted on the cores, and may not run twice
  too_many_ops = 32,  // the table of ops is full
  too_many_keys = 33, // the table of keys is full
  known = 34,         // its id is that of an open op
  other_mark = 35,    // its idempotency key is that of a different op whose run is known
  run_failed = 36,    // the interpreter ended its run without a result
  never_begun = 37,   // the interpreter did not start its run
  first_failed = 38,  // the op that it repeats has no result
  ceiling = 48,       // its pool has reached its ceiling
};

// Names as they appear in logs, reports and on-call documentation.
struct ReasonName {
  Reason reason;
  std::string_view name;
};
constexpr std::array reason_names{
    ReasonName{Reason::none, "none"},
    ReasonName{Reason::leaving, "leaving"},
    ReasonName{Reason::memory, "memory"},
    ReasonName{Reason::key_memory, "key-memory"},
    ReasonName{Reason::too_big, "too-big"},
    ReasonName{Reason::hopeless, "hopeless"},
    ReasonName{Reason::line, "line"},
    ReasonName{Reason::stalled, "stalled"},
    ReasonName{Reason::hung, "hung"},
    ReasonName{Reason::due, "due"},
    ReasonName{Reason::replaced, "replaced"},
    ReasonName{Reason::late_at_call, "late-at-call"},
    ReasonName{Reason::call_lost, "call-lost"},
    ReasonName{Reason::fell_back, "fell-back"},
    ReasonName{Reason::too_many_ops, "too-many-ops"},
    ReasonName{Reason::too_many_keys, "too-many-keys"},
    ReasonName{Reason::known, "known"},
    ReasonName{Reason::other_mark, "other-mark"},
    ReasonName{Reason::run_failed, "run-failed"},
    ReasonName{Reason::never_begun, "never-begun"},
    ReasonName{Reason::first_failed, "first-failed"},
    ReasonName{Reason::ceiling, "ceiling"},
};
// Returns the name of a reason.
constexpr std::string_view to_text(Reason reason) {
  for (const ReasonName& entry : reason_names)
    if (entry.reason == reason) return entry.name;
  return "unknown";
}

} // namespace cometshift
