// Trials of a service below by one hand: where calls to it have stopped on many servers, whoever holds its
// lease tries it, and tells the others what came of that; they wait for the word instead of trying each for
// itself. Decides only, as leases.hpp does. What a trial is and when calls stop is the server's own
// judgement; with nobody heard for a stated time, each tries for itself, as without leases.
//
// Times: of the clock of who holds, ns. Nothing that is ordered may call back within the order. Errors: the
// constructor throws std::invalid_argument with the name of a setting that is senseless.
#pragma once

#include "leases.hpp"

#include <string>
#include <string_view>

namespace cometshift {

class TrialActions {
 public:
  virtual ~TrialActions() = default;
  virtual void
  defer_trial(Nanos until) = 0;    // this server makes no trial before then; a time that is past: it may
  virtual void resume_calls() = 0; // calls may go there again, few at first, as after a good trial of its own
  virtual void report_result(bool success, Token token) = 0; // all others; 0: a trial for itself
};

class Trials {
 public:
  // `figures`, spans in ns:
  // - trials.unheard: after so long without a word of whoever tries, this server tries for itself; at least
  // two terms
  // - trials.spread: over which servers come back after a good word, by chance: against all at once
  Trials(const Settings& settings, std::string lease, Leases& leases, std::uint64_t seed,
         TrialActions& actions);

  void calls_stopped(Nanos now); // calls have stopped here
  void trial_finished(Nanos now,
                      bool success); // a trial of this server's has ended, or calls go again by themselves
  void held(Nanos now, Token token, Nanos from);
  void lost(Nanos now);
  void result_received(Nanos now, Token token, bool success, Nanos ago);

  Nanos next_wake() const { return resume_at_; } // -1: none
  void due(Nanos now);

  bool waiting() const { return stopped_at_ >= 0; }

 private:
  void defer(Nanos until);
  void finish(Nanos now);

  Leases& leases_;
  TrialActions& actions_;
  std::string lease_;
  Pcg random_;
  Nanos report_timeout_, spread_;
  Nanos stopped_at_ = -1;    // -1: calls go
  Nanos deferred_until_ = 0; // others try, as last ordered
  Nanos resume_at_ = -1;     // calls may go again from then
  Token held_token_{0};      // held
  Token latest_token_{0};    // the greatest under which a trial was told of
};

} // namespace cometshift
