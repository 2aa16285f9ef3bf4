// What is remembered of ops and op types. Nothing here decides.
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

// How a run or a call ended.
enum class Outcome { done, failed, shed, timed_out, unreachable, cut, halted, moot };

// `shed`, `unreachable` and `moot` prove that nothing was begun.
constexpr bool proves_not_run(Outcome o) {
  return o == Outcome::shed || o == Outcome::unreachable || o == Outcome::moot;
}

// What was given at the start: names to values, lists spelt out as "op_type.0.target_latency_ns".
using Settings = std::map<std::string, std::variant<double, std::string>, std::less<>>;

inline double number(const Settings& settings, std::string_view name, double fallback) {
  const auto at = settings.find(name);
  if (at == settings.end()) return fallback;
  if (const double* value = std::get_if<double>(&at->second)) return *value;
  throw std::invalid_argument("setting " + std::string(name) + " is not a number");
}
// For what there is no doing without: the complaint names it.
inline double required_number(const Settings& settings, std::string_view name, double minimum) {
  if (!settings.contains(name)) throw std::invalid_argument("setting " + std::string(name) + " is missing");
  const double value = number(settings, name, 0);
  if (!(value >= minimum)) throw std::invalid_argument("setting " + std::string(name) + " is senseless");
  return value;
}
inline Nanos span(const Settings& settings, std::string_view name) {
  return static_cast<Nanos>(required_number(settings, name, 0));
}
inline Nanos span(const Settings& settings, std::string_view name, double fallback) {
  return settings.contains(name) ? span(settings, name) : static_cast<Nanos>(fallback);
}
inline std::string text(const Settings& settings, std::string_view name, std::string_view fallback) {
  const auto at = settings.find(name);
  if (at == settings.end()) return std::string(fallback);
  if (const std::string* value = std::get_if<std::string>(&at->second)) return *value;
  throw std::invalid_argument("setting " + std::string(name) + " is not a text");
}

enum class RetryClass { retryable, keyed, non_retryable };

struct OpType {
  Nanos target_latency = 0;
  Nanos op_timeout = 0;
  Nanos key_window = 0;
  double importance = 1;
  double late_value_fraction = 0;
  double value_fraction_without_call = 0; // of the importance, for an answer without the call
  double target_stretch = 0;
  bool may_call = false;
  RetryClass retry_class = RetryClass::retryable;
  Histogram run_time;             // from start to end, calls included
  Histogram core_time;            // the same without the calls
  Histogram recent_core_time;     // core time of late
  FrequentValues caller_timeouts; // of callers, where ops tell it
  Nanos base_core_time = 0;       // core time when all is well
};

enum class Stage { queued, on_core, at_call, calling, reusing };

struct Op {
  // Handed the outcome of the step that the op is at.
  using Next = std::function<void(Op&, Outcome, Nanos elapsed)>;

  OpId id;
  OpTypeId type;
  TenantId tenant;
  OpId original;             // the kept op that this one repeats
  KeyId key = no_key_id;     // what it reads
  Nanos received_at = 0;     // at the machine
  Nanos first_try_at = 0;    // when its first try is thought to have begun
  Nanos due = 0;             // it must be answered by then
  Nanos latest_start_at = 0; // to be in time, as last planned
  Nanos on_core_since = 0;
  Nanos core_time_used = 0; // time spent on the cores so far
  Nanos next_call_at = 0;   // no call before then
  Nanos called_at = 0;
  double work_estimate = 0; // the caller's, of its work on a standard core in seconds; 0: none made
  double work_factor = 1;   // what is made of it
  double held_kb = 0;
  double rank = 0;
  double weight = 1;     // a factor of what it counts for, as its pool has it
  bool is_retry = false; // marked as a further try
  bool key_kept = false;
  bool ran = false;             // has been started here, ever
  bool answered = false;        // its final answer is given, or nobody waits; the run goes on
  bool pause_requested = false; // asked to pause
  bool paused = false;          // has been, and keeps its memory while held
  bool hung = false;            // stood on cores that stood still
  bool call_may_have_run = false;
  Stage stage = Stage::queued;
  Next on_run_ended;
  Next on_call_ended;
};

} // namespace cometshift
