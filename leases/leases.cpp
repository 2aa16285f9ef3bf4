#include "leases.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr std::size_t longest_name = 128; // bytes: names are written by operators
constexpr double most_drift = 0.1;        // a clock that is worse can't be believed at all
constexpr double renew_part = 0.4;        // of the time held: two renewals may get lost before it ends
constexpr double renew_jitter = 0.1;      // of that: leases taken together don't stay in step
constexpr Nanos answer_part = 8;     // of the term, in which a round's answers are waited for, if not told
constexpr Nanos rest_part = 16;      // of the term, the mean rest after the first round that was lost
constexpr int rest_doublings = 2;    // of that rest: a quarter of a term in the mean
constexpr Nanos seen_terms = 8;      // that a voter keeps a name with no grant, for the token seen on it
constexpr unsigned member_bits = 16; // of a token: its lowest, so that two members' are never the same

bool sensible_name(std::string_view lease) { return !lease.empty() && lease.size() <= longest_name; }

} // namespace

std::string_view to_text(LossReason why) {
  switch (why) {
  case LossReason::ended:
    return "ended";
  case LossReason::given_up:
    return "given up";
  case LossReason::turn_over:
    return "its turn is over";
  case LossReason::refused_by_target:
    return "its token was refused";
  }
  return "?";
}

Leases::Leases(Nanos now, MemberId self, Incarnation incarnation, const Voters& voters,
               const Settings& figures, std::uint64_t seed, LeaseActions& orders)
    : actions_(orders), self_(self), incarnation_(incarnation), voters_(voters), chance_(seed) {
  term_ = static_cast<Nanos>(required_number(figures, "leases.term", static_cast<double>(ms)));
  longest_term_ =
      static_cast<Nanos>(required_number(figures, "leases.longest_term", static_cast<double>(term_)));
  answer_ = span(figures, "leases.answer", static_cast<double>(term_ / answer_part));
  if (answer_ < 1 || answer_ > term_) throw std::invalid_argument("setting leases.answer is senseless");
  longest_act_ = span(figures, "leases.longest_act", 0);
  drift_ = required_number(figures, "leases.drift", 0);
  if (drift_ > most_drift) throw std::invalid_argument("setting leases.drift is senseless");
  most_terms_ = static_cast<int>(number(figures, "leases.most_terms", 0));
  most_ = static_cast<std::size_t>(required_number(figures, "leases.most", 1));
  first_ = Token{static_cast<std::uint64_t>(number(figures, "leases.first_token", 0)) << member_bits};
  // Against two holders where a voter forgot what it granted: by then the longest of it is over, whatever the
  // drift, as a holder's time is shorter than its voters' by twice the bound.
  silent_until_ = now + longest_term_;
}

// A holder's clock may run slow and a voter's fast, each by the bound.
Nanos Leases::holding_time() const {
  return static_cast<Nanos>(std::floor(static_cast<double>(term_) * (1 - drift_) / (1 + drift_)));
}

Nanos Leases::renew_after() {
  const double part = renew_part * (1 + renew_jitter * (2 * chance_.unit() - 1));
  return static_cast<Nanos>(part * static_cast<double>(holding_time()));
}

Nanos Leases::rest(int rounds) {
  const double mean = static_cast<double>(term_ / rest_part) * std::exp2(std::min(rounds, rest_doublings));
  return static_cast<Nanos>(mean * (0.5 + chance_.unit()));
}

Token Leases::next_token(const Wish& wish) const {
  const std::uint64_t over = std::max(wish.floor.raw >> member_bits, counted_);
  return Token{(over + 1) << member_bits | (self_.raw & ((1u << member_bits) - 1))};
}

// ---- a voter

// The record of a lease, made if there is room; what nobody asked for in a long while makes room.
Leases::Grant* Leases::grant_for(Nanos now, std::string_view lease) {
  if (const auto at = grants_.find(lease); at != grants_.end()) return &at->second;
  if (grants_.size() >= most_)
    std::erase_if(grants_, [&](const auto& entry) { return entry.second.until + seen_terms * term_ <= now; });
  if (grants_.size() >= most_) return nullptr;
  Grant& made = grants_[std::string(lease)];
  made.seen = first_;
  return &made;
}

void Leases::asked(Nanos now, MemberId from, Incarnation of, Epoch epoch, std::string_view lease,
                   AskNo number, Token token, Nanos term) {
  if (!voters_.may_grant(self_)) return;
  // A longer term than is waited out by voters that start, or one that is no time, is none.
  if (!sensible_name(lease) || term < 0 || term > longest_term_ || token.raw == 0 || number.raw == 0)
    return void(++senseless_);
  Grant* const grant = grant_for(now, lease);
  // Silent, it only learns which tokens are in use, so that they go on rising when most voters forgot.
  if (silent(now)) {
    if (grant) grant->seen = std::max(grant->seen, token);
    return;
  }
  if (!grant) return actions_.refuse(from, of, lease, number, Token{0}, term_); // no room
  // Against a majority of voters that others need no more (voters.hpp): it is to learn of their list first.
  if (epoch < voters_.epoch()) return actions_.refuse(from, of, lease, number, Token{0}, answer_);
  const bool same = grant->holder == from && grant->of == of;
  // Against an old ask, or one that comes twice, which would begin again what was released or is over.
  if (same && number <= grant->last) return;
  if (!same && !grant->open(now)) {
    grant->wanted_until = now + term_;
    return actions_.refuse(from, of, lease, number, grant->seen, grant->until - now);
  }
  // Who looks holds nothing: what it was granted and could not use is free again, if the word of it was lost.
  if (same && term == 0) grant->until = std::min(grant->until, now);
  // A token rises with each holder; one who holds goes on under its own, also where this voter missed some
  // renewals: nobody else was granted meanwhile.
  const bool goes_on = same && token == grant->seen;
  if (!goes_on && token <= grant->seen) return actions_.refuse(from, of, lease, number, grant->seen, 0);
  if (term == 0) return actions_.grant(from, of, lease, number, false);
  grant->holder = from;
  grant->of = of;
  grant->last = number;
  grant->seen = token;
  grant->until = now + term;
  actions_.grant(from, of, lease, number, now < grant->wanted_until);
}

void Leases::released(Nanos now, MemberId from, Incarnation of, std::string_view lease, AskNo number) {
  const auto at = grants_.find(lease);
  if (at == grants_.end()) return;
  Grant& grant = at->second;
  if (grant.holder != from || grant.of != of || number < grant.last) return;
  grant.last = number;
  grant.until = std::min(grant.until, now);
}

// ---- who asks

bool Leases::acquire(Nanos now, std::string_view lease) {
  if (!sensible_name(lease)) return false;
  if (const auto at = wishes_.find(lease); at != wishes_.end()) {
    at->second.dropped = false;
    return true;
  }
  if (wishes_.size() >= most_) return false;
  Wish& wish = wishes_[std::string(lease)];
  wish.floor = first_;
  wish.next = now;
  return true;
}

// Who does not hold looks first: against grants that are no use to it and stand in a holder's way.
void Leases::ask(Nanos now, const std::string& lease, Wish& wish, bool look) {
  wish.looking = look;
  if (look) {
    wish.token = next_token(wish);
    ++wish.rounds;
  }
  wish.number = AskNo{++asks_};
  wish.asked_at = now;
  wish.granted.clear();
  wish.refused_by.clear();
  wish.wanted = false;
  wish.block = 0;
  wish.next = now + answer_;
  for (const MemberId voter : voters_.all())
    actions_.ask(voter, voters_.epoch(), lease, wish.number, wish.token, look ? 0 : term_);
}

void Leases::give_back(const std::string& lease, const Wish& wish) {
  for (const MemberId voter : voters_.all()) actions_.release(voter, lease, wish.number);
}

void Leases::lose(Nanos now, const std::string& lease, Wish& wish, LossReason why, Nanos rest) {
  const Token token = wish.token;
  const bool held = wish.held;
  give_back(lease, wish);
  wish.held = false;
  wish.floor = std::max(wish.floor, token);
  wish.number = AskNo{++asks_}; // grants that are still on their way count for nothing
  wish.granted.clear();
  wish.rounds = wish.terms = wish.acts = 0;
  wish.next = now + rest;
  if (held) actions_.lost(lease, token, why);
}

void Leases::granted(Nanos now, MemberId from, Incarnation to, std::string_view lease, AskNo number,
                     bool wanted) {
  const auto at = wishes_.find(lease);
  if (to != incarnation_ || at == wishes_.end()) return;
  Wish& wish = at->second;
  if (number != wish.number) return; // of an ask that is over
  if (!voters_.is_voter(from)) return void(++senseless_);
  // Against a grant that comes when it has ended, and one that carries a holder over its own end.
  if (now >= wish.asked_at + holding_time() || (wish.held && now >= wish.until)) return;
  wish.granted.insert(from);
  wish.wanted = wish.wanted || wanted;
  if (!voters_.enough(wish.granted)) return settle_round(now, at->first, wish);
  if (wish.looking) return ask(now, at->first, wish, false);
  const Nanos until = wish.asked_at + holding_time();
  if (wish.held && until <= wish.until) return; // another grant of an ask that has carried it on
  if (!wish.held) {
    wish.held = true;
    wish.since = now;
    // Against what a holder before began in time and was stopped in.
    wish.from =
        now + static_cast<Nanos>(std::ceil(static_cast<double>(longest_act_) * (1 + drift_) / (1 - drift_)));
    wish.rounds = wish.terms = 0;
  } else {
    ++wish.terms;
  }
  wish.until = until;
  wish.next = wish.asked_at + renew_after();
  actions_.held(at->first, wish.token, wish.from, wish.until);
}

void Leases::refused(Nanos now, MemberId from, Incarnation to, std::string_view lease, AskNo number,
                     Token seen, Nanos left) {
  const auto at = wishes_.find(lease);
  if (to != incarnation_ || at == wishes_.end()) return;
  Wish& wish = at->second;
  wish.floor = std::max(wish.floor, seen);
  if (number != wish.number || !voters_.is_voter(from)) return;
  wish.refused_by.insert(from);
  wish.block = std::max(wish.block, now + std::clamp<Nanos>(left, 0, longest_term_));
  settle_round(now, at->first, wish);
}

// A round that can't be won any more is given up at once, so that another's can be: of those who share the
// voters the one with the greatest token asks again soon, the others rest.
void Leases::settle_round(Nanos now, const std::string& lease, Wish& wish) {
  if (wish.held || !voters_.lost(wish.refused_by)) return;
  const bool blocked = wish.block > now; // else only the token was too small: the next is greater
  const bool first = wish.token > wish.floor;
  give_back(lease, wish);
  wish.number = AskNo{++asks_};
  if (!blocked)
    wish.next = now;
  else if (voters_.enough(wish.refused_by) && wish.block - now > term_ / 2) {
    wish.next = wish.block + rest(1); // held by another: asked for again when that may be over
    wish.rounds = 0;
  } else
    wish.next = now + rest(first ? 0 : wish.rounds);
}

Token Leases::may_act(Nanos now, std::string_view lease, Nanos act) const {
  const auto at = wishes_.find(lease);
  if (at == wishes_.end() || !at->second.held) return Token{0};
  const Wish& wish = at->second;
  return now >= wish.from && now + act < wish.until ? wish.token : Token{0};
}

Token Leases::begin_act(Nanos now, std::string_view lease, Nanos act) {
  const Token token = may_act(now, lease, act);
  const auto at = wishes_.find(lease);
  if (token.raw == 0 || at->second.dropped) return Token{0};
  ++at->second.acts;
  return token;
}

void Leases::end_act(Nanos now, std::string_view lease, Token token) {
  const auto at = wishes_.find(lease);
  if (at == wishes_.end() || !at->second.held || at->second.token != token || at->second.acts == 0) return;
  if (--at->second.acts == 0 && at->second.dropped) drop(now, lease);
}

void Leases::refused_by_target(Nanos now, std::string_view lease, Token seen) {
  const auto at = wishes_.find(lease);
  if (at == wishes_.end()) return;
  Wish& wish = at->second;
  wish.floor = std::max(wish.floor, seen);
  if (wish.held && wish.token < seen) lose(now, at->first, wish, LossReason::refused_by_target, 0);
}

void Leases::drop(Nanos now, std::string_view lease) {
  const auto at = wishes_.find(lease);
  if (at == wishes_.end()) return;
  Wish& wish = at->second;
  // Against another's act beside one that is not over.
  wish.dropped = wish.held && wish.acts > 0;
  if (wish.dropped) return;
  first_ = std::max(first_, wish.token); // asked for again, it is another holding
  lose(now, at->first, wish, LossReason::given_up, 0);
  wishes_.erase(at);
}

void Leases::leave(Nanos now) {
  std::vector<std::string> names;
  for (const auto& [lease, wish] : wishes_) names.push_back(lease);
  for (const std::string& lease : names) drop(now, lease);
}

// ---- time

Nanos Leases::next_wake() const {
  Nanos next = -1;
  for (const auto& [lease, wish] : wishes_) {
    const Nanos at = wish.held ? std::min(wish.next, wish.until) : wish.next;
    if (next < 0 || at < next) next = at;
  }
  return next;
}

void Leases::due(Nanos now) {
  for (auto at = wishes_.begin(); at != wishes_.end();) {
    const bool over = at->second.dropped && now >= at->second.until;
    if (over) lose(now, at->first, at->second, LossReason::ended, 0);
    at = over ? wishes_.erase(at) : std::next(at);
  }
  for (auto& [lease, wish] : wishes_) {
    if (wish.dropped) {
      wish.next = wish.until; // not renewed
    } else if (wish.held && now >= wish.until)
      lose(now, lease, wish, LossReason::ended, rest(0));
    else if (wish.held && now >= wish.next && most_terms_ > 0 && wish.wanted && wish.terms >= most_terms_ &&
             wish.acts == 0)
      lose(now, lease, wish, LossReason::turn_over, term_);
    else if (now >= wish.next)
      ask(now, lease, wish, !wish.held);
  }
}

std::vector<Nanos> Leases::grant_expiries() const {
  std::vector<Nanos> ends{silent_until_};
  for (const auto& [lease, grant] : grants_) ends.push_back(grant.until);
  return ends;
}

std::vector<Leases::Status> Leases::status() const {
  std::vector<Status> all;
  for (const auto& [lease, wish] : wishes_)
    all.push_back({lease, wish.held ? wish.token : Token{0}, wish.since, wish.until, wish.rounds});
  return all;
}

} // namespace cometshift
