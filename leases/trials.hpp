// Shared trials of the service below after a circuit breaker has opened. Where calls have stopped on many
// servers, only the holder of a lease sends trial calls and reports the result to the others, which wait for
// it instead of each sending its own trials. Logic only, as leases.hpp. The server itself decides what a
// trial is and when calls stop. A server that receives no report for a given time sends trials itself, as it
// would without leases.
//
// Times: ns, on the clock of lease holders (clocks.hpp). Actions must not call back into this object.
// Errors: the constructor throws std::invalid_argument naming an invalid setting.
#pragma once

#include "leases.hpp"

#include <string>
#include <string_view>

namespace cometshift {

// What a `Trials` object asks its owner to do.
class TrialActions {
 public:
  virtual ~TrialActions() = default;
  // This server sends no trial call before `until`; if that is in the past, it may send one at once.
  virtual void defer_trial(Nanos until) = 0;
  // Calls may resume, few at first, as after a successful trial of this server.
  virtual void resume_calls() = 0;
  // Reports a trial's result to all other members; token 0: a trial without the lease.
  virtual void report_result(bool success, Token token) = 0;
};

// The shared trials as seen by one server.
class Trials {
 public:
  // `settings`, durations in ns:
  // - trials.unheard: after that long without a report this server sends trials itself; at least two
  //   lease terms
  // - trials.spread: after a successful trial the servers resume at random times within this span, not
  //   all at once
  Trials(const Settings& settings, std::string lease, Leases& leases, std::uint64_t seed,
         TrialActions& actions);

  void calls_stopped(Nanos now); // the circuit breaker of this server has opened
  // A trial call of this server has ended, or its calls resumed by themselves.
  void trial_finished(Nanos now, bool success);
  // The lease was acquired or renewed, or it was lost.
  void held(Nanos now, Token token, Nanos from);
  void lost(Nanos now);
  // Another member reports a trial that ended `ago` earlier.
  void result_received(Nanos now, Token token, bool success, Nanos ago);

  Nanos next_wake() const { return resume_at_; } // -1: none
  void due(Nanos now);

  // Whether calls are stopped and this object coordinates the trials.
  bool waiting() const { return stopped_at_ >= 0; }

 private:
  void defer(Nanos until);
  void finish(Nanos now);

  Leases& leases_;
  TrialActions& actions_;
  std::string lease_;
  Pcg random_;
  Nanos report_timeout_, spread_;
  Nanos stopped_at_ = -1;    // -1: calls are not stopped
  Nanos deferred_until_ = 0; // the time last passed to `defer_trial`
  Nanos resume_at_ = -1;     // calls resume at that time; -1: not decided
  Token held_token_{0};      // of the lease, while it is held
  Token latest_token_{0};    // the greatest token of a reported trial
};

} // namespace cometshift
