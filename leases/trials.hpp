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
  others_try(Nanos until) = 0; // this server makes no trial before then; a time that is past: it may
  virtual void
  below_is_back() = 0; // calls may go there again, few at first, as after a good trial of its own
  virtual void tell(bool good, Token token) = 0; // all others; 0: a trial for itself
};

class Trials {
 public:
  // `figures`, spans in ns:
  // - trials.unheard: after so long without a word of whoever tries, this server tries for itself; at least
  // two terms
  // - trials.spread: over which servers come back after a good word, by chance: against all at once
  Trials(const Settings& figures, std::string lease, Leases& leases, std::uint64_t seed,
         TrialActions& orders);

  void stopped(Nanos now);         // calls have stopped here
  void went(Nanos now, bool good); // a trial of this server's has ended, or calls go again by themselves
  void held(Nanos now, Token token, Nanos from);
  void lost(Nanos now);
  void heard(Nanos now, Token token, bool good, Nanos ago);

  Nanos next_wake() const { return back_at_; } // -1: none
  void due(Nanos now);

  bool waits() const { return stopped_at_ >= 0; }

 private:
  void wait(Nanos until);
  void end(Nanos now);

  Leases& leases_;
  TrialActions& actions_;
  std::string lease_;
  Pcg chance_;
  Nanos unheard_, spread_;
  Nanos stopped_at_ = -1; // -1: calls go
  Nanos until_ = 0;       // others try, as last ordered
  Nanos back_at_ = -1;    // calls may go again from then
  Token mine_{0};         // held
  Token latest_{0};       // the greatest under which a trial was told of
};

} // namespace cometshift
