// State of ops and op types, and access to settings. No decisions are made here.
#pragma once

#include "histogram.hpp"
#include "ids.hpp"

#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

namespace cometshift {

// How a run or a call ended. Recordings contain the numbers.
enum class Outcome { done, failed, shed, timed_out, unreachable, cut, halted, moot };

// Returns whether the outcome proves that nothing was started.
constexpr bool proves_not_run(Outcome o) {
  return o == Outcome::shed || o == Outcome::unreachable || o == Outcome::moot;
}

// Settings passed at the start: names and values. Lists are flattened, as in "op_type.0.target_latency_ns".
using Settings = std::map<std::string, std::variant<double, std::string>, std::less<>>;

// Returns the number `name`, or `fallback` if it is absent. Throws std::invalid_argument for a text.
inline double number(const Settings& settings, std::string_view name, double fallback) {
  const auto at = settings.find(name);
  if (at == settings.end()) return fallback;
  if (const double* value = std::get_if<double>(&at->second)) return *value;
  throw std::invalid_argument("setting " + std::string(name) + " is not a number");
}
// Returns a mandatory number. Throws std::invalid_argument naming it if it is absent or less than `minimum`.
inline double required_number(const Settings& settings, std::string_view name, double minimum) {
  if (!settings.contains(name)) throw std::invalid_argument("setting " + std::string(name) + " is missing");
  const double value = number(settings, name, 0);
  if (!(value >= minimum)) throw std::invalid_argument("setting " + std::string(name) + " is senseless");
  return value;
}
// Returns a time in ns, mandatory unless there is a fallback. Throws std::invalid_argument if it is negative.
inline Nanos span(const Settings& settings, std::string_view name) {
  return static_cast<Nanos>(required_number(settings, name, 0));
}
inline Nanos span(const Settings& settings, std::string_view name, double fallback) {
  return settings.contains(name) ? span(settings, name) : static_cast<Nanos>(fallback);
}
// Returns the text `name`, or `fallback` if it is absent. Throws std::invalid_argument for a number.
inline std::string text(const Settings& settings, std::string_view name, std::string_view fallback) {
  const auto at = settings.find(name);
  if (at == settings.end()) return std::string(fallback);
  if (const std::string* value = std::get_if<std::string>(&at->second)) return *value;
  throw std::invalid_argument("setting " + std::string(name) + " is not a text");
}

// Whether an op may be repeated: freely, under its idempotency key, or not at all.
enum class RetryClass { retryable, keyed, non_retryable };

// Settings and measurements of one op type.
struct OpType {
  Nanos target_latency = 0;
  Nanos op_timeout = 0;
  Nanos key_window = 0;
  double importance = 1;
  double late_value_fraction = 0;
  // Value of an answer without the call, as a fraction of the importance.
  double value_fraction_without_call = 0;
  double target_stretch = 0;
  bool may_call = false;
  RetryClass retry_class = RetryClass::retryable;
  Histogram run_time;             // from start to end, calls included
  Histogram core_time;            // from start to end, calls excluded
  Histogram recent_core_time;     // the last few seconds of core times
  FrequentValues caller_timeouts; // timeouts that callers use, where ops carry them
  Nanos base_core_time = 0;       // core time without congestion
};

// Where an op stands: queued, running, waiting to call, calling, or waiting to reuse a result.
enum class Stage { queued, on_core, at_call, calling, reusing };

// State of one op.
struct Op {
  // Continuation that receives the outcome of the current step.
  using Next = std::function<void(Op&, Outcome, Nanos elapsed)>;

  OpId id;
  OpTypeId type;
  TenantId tenant;
  OpId original;             // the kept op that this op repeats
  KeyId key = no_key_id;     // of the data it reads
  Nanos received_at = 0;     // arrival at the machine
  Nanos first_try_at = 0;    // estimated start of its first try
  Nanos due = 0;             // latest time for its answer
  Nanos latest_start_at = 0; // latest start to be in time, as last planned
  Nanos on_core_since = 0;
  Nanos core_time_used = 0; // time spent on the cores so far
  Nanos next_call_at = 0;   // earliest time of its next call
  Nanos called_at = 0;
  double work_estimate = 0; // the caller's estimate, in seconds on a standard core; 0: none
  double work_factor = 1;   // factor on the type's mean work, derived from the estimate
  double held_kb = 0;
  double rank = 0;
  double weight = 1;     // factor on its importance, set by its pool
  bool is_retry = false; // marked or recognized as a retry
  bool key_kept = false;
  bool ran = false;             // has ever been started here
  bool answered = false;        // final answer given or no caller waits; the run continues
  bool pause_requested = false; // asked to pause, still running
  bool paused = false;          // was paused, and keeps its memory while queued
  bool hung = false;            // was on the cores during a stall
  bool call_may_have_run = false;
  Stage stage = Stage::queued;
  Next on_run_ended;
  Next on_call_ended;
};

} // namespace cometshift
