#include "trials.hpp"

#include <algorithm>

namespace cometshift {

namespace {
constexpr double min_report_timeout_terms = 2; // the time in which a holder may fail and a next one be found
} // namespace

Trials::Trials(const Settings& settings, std::string lease, Leases& leases, std::uint64_t seed,
               TrialActions& actions)
    : leases_(leases), actions_(actions), lease_(std::move(lease)), random_(seed) {
  const double term = required_number(settings, "leases.term", 1);
  report_timeout_ =
      static_cast<Nanos>(required_number(settings, "trials.unheard", min_report_timeout_terms * term));
  spread_ = span(settings, "trials.spread", 0);
}

void Trials::defer(Nanos until) {
  deferred_until_ = until;
  actions_.defer_trial(until);
}

void Trials::calls_stopped(Nanos now) {
  if (stopped_at_ >= 0) return;
  stopped_at_ = now;
  latest_token_ = Token{0};
  if (!leases_.acquire(now, lease_)) return; // no room for the lease name: this server sends trials itself
  defer(now + report_timeout_);
}

// The holder of the lease does not wait for reports.
void Trials::held(Nanos now, Token token, Nanos from) {
  if (stopped_at_ < 0) return;
  held_token_ = token;
  defer(std::max(now, from));
}
void Trials::lost(Nanos now) {
  held_token_ = Token{0};
  if (stopped_at_ >= 0) defer(now + report_timeout_);
}

void Trials::finish(Nanos now) {
  stopped_at_ = resume_at_ = -1;
  held_token_ = Token{0};
  leases_.drop(now, lease_);
}

void Trials::trial_finished(Nanos now, bool success) {
  if (stopped_at_ < 0) return;
  actions_.report_result(success, held_token_);
  if (success) finish(now);
}

void Trials::result_received(Nanos now, Token token, bool success, Nanos ago) {
  // Ignores reports of trials before calls stopped here, and late reports of an earlier holder.
  if (stopped_at_ < 0 || ago < 0 || now - ago < stopped_at_ || (token.raw != 0 && token < latest_token_))
    return;
  latest_token_ = std::max(latest_token_, token);
  if (success) {
    if (resume_at_ >= 0) return;
    resume_at_ = now + static_cast<Nanos>(random_.unit() * static_cast<double>(spread_));
    // Spreads the servers also if the last failure report is too old by then.
    defer(std::max(deferred_until_, resume_at_));
    return;
  }
  // Another server's failed trial defers this server's own, unless this server holds the lease.
  if (held_token_.raw == 0 && token.raw != 0) defer(std::max(deferred_until_, now - ago + report_timeout_));
}

void Trials::due(Nanos now) {
  if (resume_at_ < 0 || now < resume_at_) return;
  finish(now);
  actions_.resume_calls();
}

} // namespace cometshift
