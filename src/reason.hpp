// Why an op was nacked or failed. What the decisions in decision_module.cpp found stands first, then what the
// core found by itself. docs/on-call.md lists them all; recordings carry the numbers, so none is ever given
// another.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace cometshift {

enum class Reason : std::uint8_t {
  none = 0,
  leaving = 1,        // came after the end of the delay before the stop
  memory = 2,         // its memory does not fit
  key_memory = 3,     // no room to remember its key
  too_big = 4,        // a faster server may do it in time, this one hardly
  hopeless = 5,       // held, and no run is short enough any more
  line = 6,           // the line is longer than it may be, and this one is worth least for its work
  stalled = 7,        // the cores stand still: what is held goes
  hung = 8,           // it hangs on cores that stand still
  due = 9,            // its due time came
  replaced = 10,      // a repeat of it came while it was held
  late_at_call = 11,  // at its call, and can't be in time
  call_lost = 12,     // its call may have had its effect and gave no reply
  fell_back = 13,     // stopped on the cores, and may not run twice
  too_many_ops = 32,  // the table of ops is full
  too_many_keys = 33, // the table of keys is full
  known = 34,         // its number is that of an open op
  other_mark = 35,    // its mark is that of another op, whose run was heard of
  run_failed = 36,    // the interpreter ended its run without a result
  never_begun = 37,   // the interpreter did not begin its run
  first_failed = 38,  // what it repeats has no result
  ceiling = 48,       // its pool has had as much as it may have
};

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
constexpr std::string_view to_text(Reason reason) {
  for (const ReasonName& entry : reason_names)
    if (entry.reason == reason) return entry.name;
  return "unknown";
}

} // namespace cometshift
