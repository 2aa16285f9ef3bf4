#include "leases_world.hpp"

#include "serializer.hpp"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <xxhash.h>

namespace cometshift::explore {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos term = 1000 * ms;
constexpr double drift = 0.01;
constexpr const char* lease = "t";

const Voters& voter_list() {
  static const Voters all(0, MemberId{1}, {Epoch{1}, {MemberId{1}, MemberId{2}, MemberId{3}}, {}}, term);
  return all;
}
// A first token comes from the operator's clock in service, so each start has another.
Settings settings(std::uint8_t incarnation) {
  return {{"leases.term", static_cast<double>(term)},
          {"leases.longest_term", static_cast<double>(term)},
          {"leases.drift", drift},
          {"leases.first_token", static_cast<double>(incarnation)},
          {"leases.most", 2.0}};
}

// Serializes everything except lists of members, which it collects separately.
class AnonymizingWriter : public Serializer<AnonymizingWriter> {
  Writer out_;
  std::vector<std::vector<MemberId>>& lists_;

 public:
  static constexpr bool reads = false;
  AnonymizingWriter(std::string& out, std::vector<std::vector<MemberId>>& lists) : out_(out), lists_(lists) {}
  template <class T>
  void whole(T value) {
    out_.whole(value);
  }
  template <class T>
  void enumerated(T value) {
    out_.enumerated(value);
  }
  void fraction(double value) { out_.fraction(value); }
  void bytes(const std::string& text) { out_.bytes(text); }
  void list(std::vector<MemberId>& all) { lists_.push_back(all); }
  template <class M>
  void table(M& all) {
    out_.varint(all.size());
    for (auto& [key, value] : all) {
      auto copy = key;
      (*this)(copy, value);
    }
  }
};

} // namespace

struct LeasesWorld::Actions final : LeaseActions {
  LeasesWorld& world;
  std::size_t member;
  Actions(LeasesWorld& w, std::size_t m) : world(w), member(m) {}
  void send(Message::Kind kind, MemberId to, std::uint64_t incarnation, AskNo n, std::uint64_t token,
            Nanos span, bool wanted = false) {
    const Message message{kind,
                          static_cast<std::uint8_t>(member + 1),
                          static_cast<std::uint8_t>(to.raw),
                          wanted,
                          incarnation,
                          n.raw,
                          token,
                          span,
                          false};
    world.in_flight_.insert(std::upper_bound(world.in_flight_.begin(), world.in_flight_.end(), message),
                            message);
  }
  std::uint64_t own_incarnation() const { return world.incarnations_[member]; }
  void ask(MemberId v, Epoch, std::string_view, AskNo n, Token t, Nanos span) override {
    send(Message::Kind::ask, v, own_incarnation(), n, t.raw, span);
  }
  void release(MemberId v, std::string_view, AskNo n) override {
    send(Message::Kind::release, v, own_incarnation(), n, 0, 0);
  }
  void grant(MemberId to, Incarnation incarnation, std::string_view, AskNo n, bool wanted) override {
    send(Message::Kind::grant, to, incarnation.raw, n, 0, 0, wanted);
  }
  void refuse(MemberId to, Incarnation incarnation, std::string_view, AskNo n, Token seen,
              Nanos left) override {
    send(Message::Kind::refuse, to, incarnation.raw, n, seen.raw, left);
  }
  void held(std::string_view, Token token, Nanos, Nanos until) override { world.held(member, token, until); }
  void lost(std::string_view, Token, LossReason) override { world.holdings_[member - voters] = {}; }
};

std::string LeasesWorld::Message::describe() const {
  static constexpr const char* kinds[] = {"ask", "release", "grant", "refusal"};
  char text[128];
  std::snprintf(text, sizeof text, "%s %llu, %u to %u%s", kinds[static_cast<int>(kind)],
                static_cast<unsigned long long>(number), from, to,
                kind == Kind::ask && span == 0 ? ", only a look" : "");
  return text;
}

// The voters' silence after their start is over at time 0; contenders want the lease from then on.
LeasesWorld::LeasesWorld(const Bounds& bounds) : bounds_(&bounds) {
  for (std::size_t m = 0; m < members; ++m) {
    incarnations_[m] = 1;
    Actions actions(*this, m);
    const Nanos begun = m < voters ? -2 * term : 0;
    Leases leases(begun, MemberId{static_cast<std::uint32_t>(m + 1)}, Incarnation{1}, voter_list(),
                  settings(1), m < voters ? 1 : m, actions);
    if (m >= voters) leases.acquire(0, lease);
    store_state(m, leases);
  }
  if (!bounds.held) return;
  // The first contender queries the voters, requests the lease, and receives all answers.
  *this = after({StepKind::wake, 0});
  while (!in_flight_.empty()) *this = after({StepKind::deliver, 0});
  rounds_.fill(0);
}

// Voters' clocks run fast and contenders' slow, each by the bound: the worst case for a holder.
Nanos LeasesWorld::clock(std::size_t member) const {
  return static_cast<Nanos>(static_cast<double>(now_) * (member < voters ? 1 + drift : 1 - drift));
}
Nanos LeasesWorld::true_time(std::size_t member, Nanos clock) const {
  return static_cast<Nanos>(static_cast<double>(clock) / (member < voters ? 1 + drift : 1 - drift)) + 1;
}

std::unique_ptr<Leases> LeasesWorld::restore(std::size_t member, Actions& actions) const {
  auto leases = std::make_unique<Leases>(clock(member), MemberId{static_cast<std::uint32_t>(member + 1)},
                                         Incarnation{incarnations_[member]}, voter_list(),
                                         settings(incarnations_[member]), 1, actions);
  Reader reader(states_[member]);
  leases->serialize(reader);
  return leases;
}

void LeasesWorld::store_state(std::size_t member, Leases& leases) {
  states_[member].clear();
  Writer writer(states_[member]);
  leases.serialize(writer);
  if (member >= voters) {
    contender_states_[member - voters].clear();
    voter_lists_[member - voters].clear();
    AnonymizingWriter beside(contender_states_[member - voters], voter_lists_[member - voters]);
    leases.serialize(beside);
  }
  wake_times_[member] = leases.next_wake();
  grant_expiries_[member] = leases.grant_expiries();
}

// A holder relies on its lease until it expires by its own clock, whatever messages it receives meanwhile.
void LeasesWorld::held(std::size_t member, Token token, Nanos until) {
  const std::size_t me = member - voters;
  for (std::size_t other = 0; other < contenders; ++other)
    if (other != me && holdings_[other].until > now_ && violation_.empty())
      violation_ =
          "both hold, for " +
          std::to_string((std::min(holdings_[other].until, true_time(member, until) - 1) - now_) / 1000) +
          " us";
  if (token.raw != holdings_[me].token && token.raw <= greatest_ && violation_.empty())
    violation_ = "a token that does not rise";
  greatest_ = std::max(greatest_, token.raw);
  holdings_[me] = {token.raw, true_time(member, until) - 1};
}

std::vector<Nanos> LeasesWorld::event_times() const {
  std::vector<Nanos> all;
  const auto add = [&](Nanos at) {
    for (const Nanos one : {at - 1, at})
      if (one > now_ && one <= bounds_->horizon) all.push_back(one);
  };
  for (std::size_t m = 0; m < members; ++m) {
    if (m >= voters && rounds_[m - voters] < rounds_of(m - voters) && wake_times_[m] >= 0)
      add(true_time(m, wake_times_[m]));
    for (const Nanos end : grant_expiries_[m])
      if (m < voters) add(true_time(m, end));
  }
  for (const Holding& one : holdings_) add(one.until);
  std::sort(all.begin(), all.end());
  all.erase(std::unique(all.begin(), all.end()), all.end());
  return all;
}

int LeasesWorld::newly_late() const {
  return static_cast<int>(
      std::count_if(in_flight_.begin(), in_flight_.end(), [](const Message& m) { return !m.late; }));
}

std::vector<LeasesWorld::Step> LeasesWorld::steps() const {
  std::vector<Step> all;
  for (std::uint32_t m = 0; m < in_flight_.size(); ++m) {
    if (m > 0 && in_flight_[m] == in_flight_[m - 1]) continue;
    all.push_back({StepKind::deliver, m});
    if (lost_ < bounds_->lost) all.push_back({StepKind::lose, m});
    if (duplicated_ < bounds_->duplicated) all.push_back({StepKind::duplicate, m});
  }
  if (crashes_ < bounds_->crashes)
    for (std::uint32_t v = 0; v < voters; ++v) all.push_back({StepKind::crash, v});
  for (std::uint32_t c = 0; c < contenders; ++c)
    if (rounds_[c] < rounds_of(c) && wake_times_[voters + c] >= 0 &&
        wake_times_[voters + c] <= clock(voters + c))
      all.push_back({StepKind::wake, c});
  if (late_ + newly_late() <= bounds_->late && !event_times().empty()) all.push_back({StepKind::pass, 0});
  return all;
}

LeasesWorld LeasesWorld::after(Step step) const {
  LeasesWorld world = *this;
  const auto with_member = [&world](std::size_t member, auto action) {
    Actions actions(world, member);
    const std::unique_ptr<Leases> leases = world.restore(member, actions);
    action(*leases, world.clock(member));
    world.store_state(member, *leases);
  };
  switch (step.kind) {
  case StepKind::deliver: {
    const Message m = in_flight_[step.index];
    world.in_flight_.erase(world.in_flight_.begin() + step.index);
    with_member(m.to - 1u, [&](Leases& at, Nanos now) {
      const MemberId from{m.from};
      switch (m.kind) {
      case Message::Kind::ask:
        return at.asked(now, from, Incarnation{m.incarnation}, Epoch{1}, lease, AskNo{m.number},
                        Token{m.token}, m.span);
      case Message::Kind::release:
        return at.released(now, from, Incarnation{m.incarnation}, lease, AskNo{m.number});
      case Message::Kind::grant:
        return at.granted(now, from, Incarnation{m.incarnation}, lease, AskNo{m.number}, m.wanted);
      case Message::Kind::refuse:
        return at.refused(now, from, Incarnation{m.incarnation}, lease, AskNo{m.number}, Token{m.token},
                          m.span);
      }
    });
    break;
  }
  case StepKind::lose:
    world.in_flight_.erase(world.in_flight_.begin() + step.index);
    ++world.lost_;
    break;
  case StepKind::duplicate:
    world.in_flight_.insert(world.in_flight_.begin() + step.index, in_flight_[step.index]);
    ++world.duplicated_;
    break;
  case StepKind::crash: {
    ++world.crashes_;
    ++world.incarnations_[step.index];
    Actions actions(world, step.index);
    Leases restarted(world.clock(step.index), MemberId{step.index + 1},
                     Incarnation{world.incarnations_[step.index]}, voter_list(),
                     settings(world.incarnations_[step.index]), 1, actions);
    world.store_state(step.index, restarted);
    break;
  }
  case StepKind::wake:
    ++world.rounds_[step.index];
    with_member(voters + step.index, [](Leases& at, Nanos now) { at.due(now); });
    break;
  case StepKind::pass:
    world.now_ = event_times().front();
    world.late_ += newly_late();
    for (Message& m : world.in_flight_) m.late = true;
    std::sort(world.in_flight_.begin(), world.in_flight_.end());
    break;
  }
  return world;
}

std::vector<std::pair<std::uint32_t, LeasesWorld>> LeasesWorld::next() const {
  std::vector<std::pair<std::uint32_t, LeasesWorld>> all;
  std::uint32_t number = 0;
  for (const Step step : steps()) all.emplace_back(number++, after(step));
  return all;
}

std::string LeasesWorld::describe(std::uint32_t step) const {
  const Step step_taken = steps()[step];
  char at[32];
  std::snprintf(at, sizeof at, "%8.3f ms  ", static_cast<double>(now_) / 1e6);
  switch (step_taken.kind) {
  case StepKind::deliver:
    return at + in_flight_[step_taken.index].describe() + " arrives";
  case StepKind::lose:
    return at + in_flight_[step_taken.index].describe() + " is lost";
  case StepKind::duplicate:
    return at + in_flight_[step_taken.index].describe() + " is doubled";
  case StepKind::crash:
    return at + std::string("voter ") + std::to_string(step_taken.index + 1) + " starts anew";
  case StepKind::wake:
    return at + std::string("contender ") + std::to_string(voters + step_taken.index + 1) +
           " does what is due";
  case StepKind::pass:
    return at + std::string("time passes");
  }
  return at;
}

Digest128 LeasesWorld::digest() const {
  std::string all;
  const auto number = [](std::string& into, auto value) {
    Writer(into).whole(static_cast<std::int64_t>(value));
  };
  number(all, now_);
  for (const int one : {lost_, duplicated_, crashes_, late_}) number(all, one);
  for (std::size_t c = 0; c < contenders; ++c) {
    Writer(all).bytes(contender_states_[c]);
    number(all, rounds_[c]);
    number(all, holdings_[c].token);
    number(all, std::max(holdings_[c].until, now_)); // the time since an expiry makes no difference
  }
  number(all, greatest_);
  // Each voter's state with all that concerns it, sorted, so that permutations give the same digest.
  std::array<std::string, voters> voter_states;
  for (std::size_t v = 0; v < voters; ++v) {
    const MemberId me{static_cast<std::uint32_t>(v + 1)};
    number(voter_states[v], incarnations_[v]);
    Writer(voter_states[v]).bytes(states_[v]);
    for (const auto& lists : voter_lists_)
      for (const std::vector<MemberId>& list : lists)
        number(voter_states[v], std::find(list.begin(), list.end(), me) != list.end());
    for (const Message& m : in_flight_) {
      if (m.from != me.raw && m.to != me.raw) continue;
      number(voter_states[v], m.kind), number(voter_states[v], m.from == me.raw ? m.to : m.from),
          number(voter_states[v], m.wanted);
      number(voter_states[v], m.incarnation), number(voter_states[v], m.number),
          number(voter_states[v], m.token);
      number(voter_states[v], m.span), number(voter_states[v], m.late);
    }
  }
  std::sort(voter_states.begin(), voter_states.end());
  for (const std::string& one : voter_states) Writer(all).bytes(one);
  const XXH128_hash_t sum = XXH3_128bits(all.data(), all.size());
  return {sum.high64, sum.low64};
}

} // namespace cometshift::explore
