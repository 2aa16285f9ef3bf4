#include "leases.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr std::size_t max_name_length = 128; // bytes; names come from operator files
constexpr double max_drift = 0.1;            // a clock with a greater error is unusable
constexpr double renewal_fraction = 0.4;     // of the holding time: two renewals may be lost before it ends
constexpr double renewal_jitter = 0.1;       // of that: leases acquired together do not renew in step
// Of the term: default time-out of a round.
constexpr Nanos answer_timeout_divisor = 8;
constexpr Nanos backoff_divisor = 16;    // of the term: mean delay after the first lost round
constexpr int max_backoff_doublings = 2; // of that delay: at most a quarter of a term in the mean
constexpr Nanos idle_grant_terms = 8; // a voter keeps a name without a grant that long, for its highest token
// The lowest bits of a token hold the member id, so that two members never use the same token.
constexpr unsigned member_bits = 16;

bool is_valid_name(std::string_view lease) { return !lease.empty() && lease.size() <= max_name_length; }

} // namespace

std::string_view to_text(LossReason reason) {
  switch (reason) {
  case LossReason::ended:
    return "ended";
  case LossReason::given_up:
    return "given up";
  case LossReason::yielded:
    return "yielded to another member";
  case LossReason::refused_by_target:
    return "its token was refused";
  }
  return "?";
}

Leases::Leases(Nanos now, MemberId self, Incarnation incarnation, const Voters& voters,
               const Settings& settings, std::uint64_t seed, LeaseActions& actions)
    : actions_(actions), self_(self), incarnation_(incarnation), voters_(voters), random_(seed) {
  term_ = static_cast<Nanos>(required_number(settings, "leases.term", static_cast<double>(ms)));
  max_term_ =
      static_cast<Nanos>(required_number(settings, "leases.longest_term", static_cast<double>(term_)));
  answer_timeout_ = span(settings, "leases.answer", static_cast<double>(term_ / answer_timeout_divisor));
  if (answer_timeout_ < 1 || answer_timeout_ > term_)
    throw std::invalid_argument("setting leases.answer is senseless");
  max_act_duration_ = span(settings, "leases.longest_act", 0);
  drift_ = required_number(settings, "leases.drift", 0);
  if (drift_ > max_drift) throw std::invalid_argument("setting leases.drift is senseless");
  max_terms_ = static_cast<int>(number(settings, "leases.most_terms", 0));
  max_names_ = static_cast<std::size_t>(required_number(settings, "leases.most", 1));
  token_floor_ = Token{static_cast<std::uint64_t>(number(settings, "leases.first_token", 0)) << member_bits};
  // Prevents two holders after a voter has lost its grants: after this time the longest of them has expired
  // whatever the drift, because a holder's time is shorter than its voters' by twice the drift bound.
  silent_until_ = now + max_term_;
}

// The holder's clock may run slow and a voter's clock fast, each by the drift bound.
Nanos Leases::holding_time() const {
  return static_cast<Nanos>(std::floor(static_cast<double>(term_) * (1 - drift_) / (1 + drift_)));
}

Nanos Leases::renewal_delay() {
  const double fraction = renewal_fraction * (1 + renewal_jitter * (2 * random_.unit() - 1));
  return static_cast<Nanos>(fraction * static_cast<double>(holding_time()));
}

Nanos Leases::backoff(int rounds) {
  const double mean =
      static_cast<double>(term_ / backoff_divisor) * std::exp2(std::min(rounds, max_backoff_doublings));
  return static_cast<Nanos>(mean * (0.5 + random_.unit()));
}

Token Leases::next_token(const LeaseRequest& request) const {
  const std::uint64_t highest_used = std::max(request.token_floor.raw >> member_bits, token_counter_);
  return Token{(highest_used + 1) << member_bits | (self_.raw & ((1u << member_bits) - 1))};
}

// ---- voter side

// The record of a lease, added if there is room. Records that have had no grant for long are removed when the
// table is full.
Leases::Grant* Leases::find_or_add_grant(Nanos now, std::string_view lease) {
  if (const auto at = grants_.find(lease); at != grants_.end()) return &at->second;
  if (grants_.size() >= max_names_)
    std::erase_if(grants_,
                  [&](const auto& entry) { return entry.second.until + idle_grant_terms * term_ <= now; });
  if (grants_.size() >= max_names_) return nullptr;
  Grant& added = grants_[std::string(lease)];
  added.highest_token = token_floor_;
  return &added;
}

void Leases::asked(Nanos now, MemberId from, Incarnation incarnation, Epoch epoch, std::string_view lease,
                   AskNo number, Token token, Nanos term) {
  if (!voters_.may_grant(self_)) return;
  // A term longer than the silence of a restarted voter would be unsafe; a negative one is invalid.
  if (!is_valid_name(lease) || term < 0 || term > max_term_ || token.raw == 0 || number.raw == 0)
    return void(++invalid_messages_);
  Grant* const grant = find_or_add_grant(now, lease);
  // A silent voter only records the tokens in use, so that tokens keep rising after most voters have lost
  // their state.
  if (silent(now)) {
    if (grant) grant->highest_token = std::max(grant->highest_token, token);
    return;
  }
  if (!grant) return actions_.refuse(from, incarnation, lease, number, Token{0}, term_); // no room
  // The asking member uses an old voter list, whose majority other members no longer need (voters.hpp). It
  // has to receive the newer list first.
  if (epoch < voters_.epoch())
    return actions_.refuse(from, incarnation, lease, number, Token{0}, answer_timeout_);
  const bool same_holder = grant->holder == from && grant->incarnation == incarnation;
  // An old or duplicate ask must not restore a grant that was released or has expired.
  if (same_holder && number <= grant->last_ask) return;
  if (!same_holder && !grant->open(now)) {
    grant->contended_until = now + term_;
    return actions_.refuse(from, incarnation, lease, number, grant->highest_token, grant->until - now);
  }
  // A member that only checks holds nothing, so an earlier grant to it whose release message was lost is
  // freed.
  if (same_holder && term == 0) grant->until = std::min(grant->until, now);
  // Tokens rise with each holder. A holder renews under its own token, also if this voter missed some
  // renewals: it has granted the lease to nobody else meanwhile.
  const bool is_renewal = same_holder && token == grant->highest_token;
  if (!is_renewal && token <= grant->highest_token)
    return actions_.refuse(from, incarnation, lease, number, grant->highest_token, 0);
  if (term == 0) return actions_.grant(from, incarnation, lease, number, false);
  grant->holder = from;
  grant->incarnation = incarnation;
  grant->last_ask = number;
  grant->highest_token = token;
  grant->until = now + term;
  actions_.grant(from, incarnation, lease, number, now < grant->contended_until);
}

void Leases::released(Nanos now, MemberId from, Incarnation incarnation, std::string_view lease,
                      AskNo number) {
  const auto at = grants_.find(lease);
  if (at == grants_.end()) return;
  Grant& grant = at->second;
  if (grant.holder != from || grant.incarnation != incarnation || number < grant.last_ask) return;
  grant.last_ask = number;
  grant.until = std::min(grant.until, now);
}

// ---- requesting side

bool Leases::acquire(Nanos now, std::string_view lease) {
  if (!is_valid_name(lease)) return false;
  if (const auto at = requests_.find(lease); at != requests_.end()) {
    at->second.release_pending = false;
    return true;
  }
  if (requests_.size() >= max_names_) return false;
  LeaseRequest& request = requests_[std::string(lease)];
  request.token_floor = token_floor_;
  request.next = now;
  return true;
}

// A member that does not hold the lease checks first (a probe with term 0), so that grants short of a
// majority do not block others.
void Leases::ask(Nanos now, const std::string& lease, LeaseRequest& request, bool probe_only) {
  request.probing = probe_only;
  if (probe_only) {
    request.token = next_token(request);
    ++request.rounds;
  }
  request.number = AskNo{++last_ask_};
  request.asked_at = now;
  request.granted.clear();
  request.refused_by.clear();
  request.contended = false;
  request.blocked_until = 0;
  request.next = now + answer_timeout_;
  for (const MemberId voter : voters_.all())
    actions_.ask(voter, voters_.epoch(), lease, request.number, request.token, probe_only ? 0 : term_);
}

void Leases::release_grants(const std::string& lease, const LeaseRequest& request) {
  for (const MemberId voter : voters_.all()) actions_.release(voter, lease, request.number);
}

void Leases::end_holding(Nanos now, const std::string& lease, LeaseRequest& request, LossReason reason,
                         Nanos backoff) {
  const Token token = request.token;
  const bool held = request.held;
  release_grants(lease, request);
  request.held = false;
  request.token_floor = std::max(request.token_floor, token);
  request.number = AskNo{++last_ask_}; // grants still in transit are ignored
  request.granted.clear();
  request.rounds = request.renewals = request.acts = 0;
  request.next = now + backoff;
  if (held) actions_.lost(lease, token, reason);
}

void Leases::granted(Nanos now, MemberId from, Incarnation to, std::string_view lease, AskNo number,
                     bool contended) {
  const auto at = requests_.find(lease);
  if (to != incarnation_ || at == requests_.end()) return;
  LeaseRequest& request = at->second;
  if (number != request.number) return; // an answer to an earlier ask
  if (!voters_.is_voter(from)) return void(++invalid_messages_);
  // Ignores a grant that arrives after its own end, and a renewal that arrives after the holding has ended.
  if (now >= request.asked_at + holding_time() || (request.held && now >= request.until)) return;
  request.granted.insert(from);
  request.contended = request.contended || contended;
  if (!voters_.has_quorum(request.granted)) return settle_round(now, at->first, request);
  if (request.probing) return ask(now, at->first, request, false);
  const Nanos until = request.asked_at + holding_time();
  if (request.held && until <= request.until) return; // the ask has already renewed the holding
  if (!request.held) {
    request.held = true;
    request.since = now;
    // Waits out an act that the previous holder began in time and was paused in.
    request.from = now + static_cast<Nanos>(
                             std::ceil(static_cast<double>(max_act_duration_) * (1 + drift_) / (1 - drift_)));
    request.rounds = request.renewals = 0;
  } else {
    ++request.renewals;
  }
  request.until = until;
  request.next = request.asked_at + renewal_delay();
  actions_.held(at->first, request.token, request.from, request.until);
}

void Leases::refused(Nanos now, MemberId from, Incarnation to, std::string_view lease, AskNo number,
                     Token highest_token, Nanos remaining) {
  const auto at = requests_.find(lease);
  if (to != incarnation_ || at == requests_.end()) return;
  LeaseRequest& request = at->second;
  request.token_floor = std::max(request.token_floor, highest_token);
  if (number != request.number || !voters_.is_voter(from)) return;
  request.refused_by.insert(from);
  request.blocked_until = std::max(request.blocked_until, now + std::clamp<Nanos>(remaining, 0, max_term_));
  settle_round(now, at->first, request);
}

// A round that can no longer get a majority is given up at once, so that another member's round can succeed.
// When rounds split the voters, the member with the greatest token retries soon and the others wait longer.
void Leases::settle_round(Nanos now, const std::string& lease, LeaseRequest& request) {
  if (request.held || !voters_.quorum_impossible(request.refused_by)) return;
  // If not blocked, only the token was too small, and the next one is greater.
  const bool blocked = request.blocked_until > now;
  const bool has_highest_token = request.token > request.token_floor;
  release_grants(lease, request);
  request.number = AskNo{++last_ask_};
  if (!blocked)
    request.next = now;
  else if (voters_.has_quorum(request.refused_by) && request.blocked_until - now > term_ / 2) {
    // Held by another member: ask again when that may have ended.
    request.next = request.blocked_until + backoff(1);
    request.rounds = 0;
  } else
    request.next = now + backoff(has_highest_token ? 0 : request.rounds);
}

Token Leases::may_act(Nanos now, std::string_view lease, Nanos act) const {
  const auto at = requests_.find(lease);
  if (at == requests_.end() || !at->second.held) return Token{0};
  const LeaseRequest& request = at->second;
  return now >= request.from && now + act < request.until ? request.token : Token{0};
}

Token Leases::begin_act(Nanos now, std::string_view lease, Nanos act) {
  const Token token = may_act(now, lease, act);
  const auto at = requests_.find(lease);
  if (token.raw == 0 || at->second.release_pending) return Token{0};
  ++at->second.acts;
  return token;
}

void Leases::end_act(Nanos now, std::string_view lease, Token token) {
  const auto at = requests_.find(lease);
  if (at == requests_.end() || !at->second.held || at->second.token != token || at->second.acts == 0) return;
  if (--at->second.acts == 0 && at->second.release_pending) drop(now, lease);
}

void Leases::refused_by_target(Nanos now, std::string_view lease, Token highest_token) {
  const auto at = requests_.find(lease);
  if (at == requests_.end()) return;
  LeaseRequest& request = at->second;
  request.token_floor = std::max(request.token_floor, highest_token);
  if (request.held && request.token < highest_token)
    end_holding(now, at->first, request, LossReason::refused_by_target, 0);
}

void Leases::drop(Nanos now, std::string_view lease) {
  const auto at = requests_.find(lease);
  if (at == requests_.end()) return;
  LeaseRequest& request = at->second;
  // Releasing during an act would let another member act at the same time.
  request.release_pending = request.held && request.acts > 0;
  if (request.release_pending) return;
  // A later request of the same lease is a new holding with a greater token.
  token_floor_ = std::max(token_floor_, request.token);
  end_holding(now, at->first, request, LossReason::given_up, 0);
  requests_.erase(at);
}

void Leases::leave(Nanos now) {
  std::vector<std::string> names;
  for (const auto& [lease, request] : requests_) names.push_back(lease);
  for (const std::string& lease : names) drop(now, lease);
}

// ---- time

Nanos Leases::next_wake() const {
  Nanos next = -1;
  for (const auto& [lease, request] : requests_) {
    const Nanos at = request.held ? std::min(request.next, request.until) : request.next;
    if (next < 0 || at < next) next = at;
  }
  return next;
}

void Leases::due(Nanos now) {
  for (auto at = requests_.begin(); at != requests_.end();) {
    const bool expired = at->second.release_pending && now >= at->second.until;
    if (expired) end_holding(now, at->first, at->second, LossReason::ended, 0);
    at = expired ? requests_.erase(at) : std::next(at);
  }
  for (auto& [lease, request] : requests_) {
    if (request.release_pending) {
      request.next = request.until; // a lease to be released is not renewed
    } else if (request.held && now >= request.until)
      end_holding(now, lease, request, LossReason::ended, backoff(0));
    else if (request.held && now >= request.next && max_terms_ > 0 && request.contended &&
             request.renewals >= max_terms_ && request.acts == 0)
      end_holding(now, lease, request, LossReason::yielded, term_);
    else if (now >= request.next)
      ask(now, lease, request, !request.held);
  }
}

std::vector<Nanos> Leases::grant_expiries() const {
  std::vector<Nanos> ends{silent_until_};
  for (const auto& [lease, grant] : grants_) ends.push_back(grant.until);
  return ends;
}

std::vector<Leases::Status> Leases::status() const {
  std::vector<Status> all;
  for (const auto& [lease, request] : requests_)
    all.push_back(
        {lease, request.held ? request.token : Token{0}, request.since, request.until, request.rounds});
  return all;
}

} // namespace cometshift
