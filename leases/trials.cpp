#include "trials.hpp"

#include <algorithm>

namespace cometshift {

namespace {
constexpr double least_unheard_terms = 2; // a holder may be lost, and the next one found, in between
} // namespace

Trials::Trials(const Settings& figures, std::string lease, Leases& leases, std::uint64_t seed,
               TrialActions& orders)
    : leases_(leases), actions_(orders), lease_(std::move(lease)), chance_(seed) {
  const double term = required_number(figures, "leases.term", 1);
  unheard_ = static_cast<Nanos>(required_number(figures, "trials.unheard", least_unheard_terms * term));
  spread_ = span(figures, "trials.spread", 0);
}

void Trials::wait(Nanos until) {
  until_ = until;
  actions_.others_try(until);
}

void Trials::stopped(Nanos now) {
  if (stopped_at_ >= 0) return;
  stopped_at_ = now;
  latest_ = Token{0};
  if (!leases_.acquire(now, lease_)) return; // no room for its name: each for itself
  wait(now + unheard_);
}

// Who holds the lease needs to wait for nobody.
void Trials::held(Nanos now, Token token, Nanos from) {
  if (stopped_at_ < 0) return;
  mine_ = token;
  wait(std::max(now, from));
}
void Trials::lost(Nanos now) {
  mine_ = Token{0};
  if (stopped_at_ >= 0) wait(now + unheard_);
}

void Trials::end(Nanos now) {
  stopped_at_ = back_at_ = -1;
  mine_ = Token{0};
  leases_.drop(now, lease_);
}

void Trials::went(Nanos now, bool good) {
  if (stopped_at_ < 0) return;
  actions_.tell(good, mine_);
  if (good) end(now);
}

void Trials::heard(Nanos now, Token token, bool good, Nanos ago) {
  // Against word of what was before calls stopped here, and of an earlier holder that comes late.
  if (stopped_at_ < 0 || ago < 0 || now - ago < stopped_at_ || (token.raw != 0 && token < latest_)) return;
  latest_ = std::max(latest_, token);
  if (good) {
    if (back_at_ >= 0) return;
    back_at_ = now + static_cast<Nanos>(chance_.unit() * static_cast<double>(spread_));
    wait(std::max(until_, back_at_)); // against all at once, where the last bad word is too old meanwhile
    return;
  }
  // Another's failure puts off this server's own trial, unless it is the one that holds.
  if (mine_.raw == 0 && token.raw != 0) wait(std::max(until_, now - ago + unheard_));
}

void Trials::due(Nanos now) {
  if (back_at_ < 0 || now < back_at_) return;
  end(now);
  actions_.below_is_back();
}

} // namespace cometshift
