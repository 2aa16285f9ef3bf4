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

const Voters& list() {
  static const Voters all(0, MemberId{1}, {Epoch{1}, {MemberId{1}, MemberId{2}, MemberId{3}}, {}}, term);
  return all;
}
// A token's beginning is what an operator's clock gives it; another with each start.
Settings figures(std::uint8_t lives) {
  return {{"leases.term", static_cast<double>(term)},
          {"leases.longest_term", static_cast<double>(term)},
          {"leases.drift", drift},
          {"leases.first_token", static_cast<double>(lives)},
          {"leases.most", 2.0}};
}

// Writes all but lists of members, which it hands over.
class Nameless : public Serializer<Nameless> {
  Writer out_;
  std::vector<std::vector<MemberId>>& lists_;

 public:
  static constexpr bool reads = false;
  Nameless(std::string& out, std::vector<std::vector<MemberId>>& lists) : out_(out), lists_(lists) {}
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
  void say(Message::Kind kind, MemberId to, std::uint64_t incarnation, AskNo n, std::uint64_t token,
           Nanos span, bool wanted = false) {
    const Message one{kind,
                      static_cast<std::uint8_t>(member + 1),
                      static_cast<std::uint8_t>(to.raw),
                      wanted,
                      incarnation,
                      n.raw,
                      token,
                      span,
                      false};
    world.on_the_way_.insert(std::upper_bound(world.on_the_way_.begin(), world.on_the_way_.end(), one), one);
  }
  std::uint64_t mine() const { return world.lives_[member]; }
  void ask(MemberId v, Epoch, std::string_view, AskNo n, Token t, Nanos span) override {
    say(Message::Kind::ask, v, mine(), n, t.raw, span);
  }
  void release(MemberId v, std::string_view, AskNo n) override {
    say(Message::Kind::release, v, mine(), n, 0, 0);
  }
  void grant(MemberId to, Incarnation of, std::string_view, AskNo n, bool wanted) override {
    say(Message::Kind::grant, to, of.raw, n, 0, 0, wanted);
  }
  void refuse(MemberId to, Incarnation of, std::string_view, AskNo n, Token seen, Nanos left) override {
    say(Message::Kind::refuse, to, of.raw, n, seen.raw, left);
  }
  void held(std::string_view, Token token, Nanos, Nanos until) override { world.held(member, token, until); }
  void lost(std::string_view, Token, LossReason) override { world.holdings_[member - voters] = {}; }
};

std::string LeasesWorld::Message::words() const {
  static constexpr const char* kinds[] = {"ask", "release", "grant", "refusal"};
  char text[128];
  std::snprintf(text, sizeof text, "%s %llu, %u to %u%s", kinds[static_cast<int>(kind)],
                static_cast<unsigned long long>(number), from, to,
                kind == Kind::ask && span == 0 ? ", only a look" : "");
  return text;
}

// Voters are past their silence at the beginning; contenders want the lease from then on.
LeasesWorld::LeasesWorld(const Bounds& bounds) : bounds_(&bounds) {
  for (std::size_t m = 0; m < members; ++m) {
    lives_[m] = 1;
    Actions orders(*this, m);
    const Nanos begun = m < voters ? -2 * term : 0;
    Leases made(begun, MemberId{static_cast<std::uint32_t>(m + 1)}, Incarnation{1}, list(), figures(1),
                m < voters ? 1 : m, orders);
    if (m >= voters) made.acquire(0, lease);
    keep(m, made);
  }
  if (!bounds.held) return;
  // The first contender looks, asks, and hears all answers.
  *this = after({What::wake, 0});
  while (!on_the_way_.empty()) *this = after({What::deliver, 0});
  rounds_.fill(0);
}

// Voters' clocks run fast, contenders' slow, each by the bound: the worst for who holds.
Nanos LeasesWorld::clock(std::size_t member) const {
  return static_cast<Nanos>(static_cast<double>(now_) * (member < voters ? 1 + drift : 1 - drift));
}
Nanos LeasesWorld::true_time(std::size_t member, Nanos clock) const {
  return static_cast<Nanos>(static_cast<double>(clock) / (member < voters ? 1 + drift : 1 - drift)) + 1;
}

std::unique_ptr<Leases> LeasesWorld::alive(std::size_t member, Actions& orders) const {
  auto made =
      std::make_unique<Leases>(clock(member), MemberId{static_cast<std::uint32_t>(member + 1)},
                               Incarnation{lives_[member]}, list(), figures(lives_[member]), 1, orders);
  Reader reader(kept_[member]);
  made->serialize(reader);
  return made;
}

void LeasesWorld::keep(std::size_t member, Leases& leases) {
  kept_[member].clear();
  Writer writer(kept_[member]);
  leases.serialize(writer);
  if (member >= voters) {
    nameless_[member - voters].clear();
    heard_[member - voters].clear();
    Nameless beside(nameless_[member - voters], heard_[member - voters]);
    leases.serialize(beside);
  }
  wakes_[member] = leases.next_wake();
  ends_[member] = leases.grant_expiries();
}

// Who holds believes it until its own clock says otherwise, whatever it hears meanwhile.
void LeasesWorld::held(std::size_t member, Token token, Nanos until) {
  const std::size_t me = member - voters;
  for (std::size_t other = 0; other < contenders; ++other)
    if (other != me && holdings_[other].until > now_ && wrong_.empty())
      wrong_ =
          "both hold, for " +
          std::to_string((std::min(holdings_[other].until, true_time(member, until) - 1) - now_) / 1000) +
          " us";
  if (token.raw != holdings_[me].token && token.raw <= greatest_ && wrong_.empty())
    wrong_ = "a token that does not rise";
  greatest_ = std::max(greatest_, token.raw);
  holdings_[me] = {token.raw, true_time(member, until) - 1};
}

std::vector<Nanos> LeasesWorld::moments() const {
  std::vector<Nanos> all;
  const auto add = [&](Nanos at) {
    for (const Nanos one : {at - 1, at})
      if (one > now_ && one <= bounds_->horizon) all.push_back(one);
  };
  for (std::size_t m = 0; m < members; ++m) {
    if (m >= voters && rounds_[m - voters] < rounds_of(m - voters) && wakes_[m] >= 0)
      add(true_time(m, wakes_[m]));
    for (const Nanos end : ends_[m])
      if (m < voters) add(true_time(m, end));
  }
  for (const Holding& one : holdings_) add(one.until);
  std::sort(all.begin(), all.end());
  all.erase(std::unique(all.begin(), all.end()), all.end());
  return all;
}

int LeasesWorld::newly_late() const {
  return static_cast<int>(
      std::count_if(on_the_way_.begin(), on_the_way_.end(), [](const Message& m) { return !m.late; }));
}

std::vector<LeasesWorld::Step> LeasesWorld::steps() const {
  std::vector<Step> all;
  for (std::uint32_t m = 0; m < on_the_way_.size(); ++m) {
    if (m > 0 && on_the_way_[m] == on_the_way_[m - 1]) continue;
    all.push_back({What::deliver, m});
    if (lost_ < bounds_->lost) all.push_back({What::lose, m});
    if (doubled_ < bounds_->doubled) all.push_back({What::twice, m});
  }
  if (crashes_ < bounds_->crashes)
    for (std::uint32_t v = 0; v < voters; ++v) all.push_back({What::crash, v});
  for (std::uint32_t c = 0; c < contenders; ++c)
    if (rounds_[c] < rounds_of(c) && wakes_[voters + c] >= 0 && wakes_[voters + c] <= clock(voters + c))
      all.push_back({What::wake, c});
  if (late_ + newly_late() <= bounds_->late && !moments().empty()) all.push_back({What::pass, 0});
  return all;
}

LeasesWorld LeasesWorld::after(Step step) const {
  LeasesWorld world = *this;
  const auto in = [&world](std::size_t member, auto act) {
    Actions orders(world, member);
    const std::unique_ptr<Leases> one = world.alive(member, orders);
    act(*one, world.clock(member));
    world.keep(member, *one);
  };
  switch (step.what) {
  case What::deliver: {
    const Message m = on_the_way_[step.which];
    world.on_the_way_.erase(world.on_the_way_.begin() + step.which);
    in(m.to - 1u, [&](Leases& at, Nanos now) {
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
  case What::lose:
    world.on_the_way_.erase(world.on_the_way_.begin() + step.which);
    ++world.lost_;
    break;
  case What::twice:
    world.on_the_way_.insert(world.on_the_way_.begin() + step.which, on_the_way_[step.which]);
    ++world.doubled_;
    break;
  case What::crash: {
    ++world.crashes_;
    ++world.lives_[step.which];
    Actions orders(world, step.which);
    Leases anew(world.clock(step.which), MemberId{step.which + 1}, Incarnation{world.lives_[step.which]},
                list(), figures(world.lives_[step.which]), 1, orders);
    world.keep(step.which, anew);
    break;
  }
  case What::wake:
    ++world.rounds_[step.which];
    in(voters + step.which, [](Leases& at, Nanos now) { at.due(now); });
    break;
  case What::pass:
    world.now_ = moments().front();
    world.late_ += newly_late();
    for (Message& m : world.on_the_way_) m.late = true;
    std::sort(world.on_the_way_.begin(), world.on_the_way_.end());
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

std::string LeasesWorld::words(std::uint32_t step) const {
  const Step one = steps()[step];
  char at[32];
  std::snprintf(at, sizeof at, "%8.3f ms  ", static_cast<double>(now_) / 1e6);
  switch (one.what) {
  case What::deliver:
    return at + on_the_way_[one.which].words() + " arrives";
  case What::lose:
    return at + on_the_way_[one.which].words() + " is lost";
  case What::twice:
    return at + on_the_way_[one.which].words() + " is doubled";
  case What::crash:
    return at + std::string("voter ") + std::to_string(one.which + 1) + " starts anew";
  case What::wake:
    return at + std::string("contender ") + std::to_string(voters + one.which + 1) + " does what is due";
  case What::pass:
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
  for (const int one : {lost_, doubled_, crashes_, late_}) number(all, one);
  for (std::size_t c = 0; c < contenders; ++c) {
    Writer(all).bytes(nameless_[c]);
    number(all, rounds_[c]);
    number(all, holdings_[c].token);
    number(all, std::max(holdings_[c].until, now_)); // how long ago makes no difference
  }
  number(all, greatest_);
  // Each voter with all that concerns it, in an order of their own.
  std::array<std::string, voters> each;
  for (std::size_t v = 0; v < voters; ++v) {
    const MemberId me{static_cast<std::uint32_t>(v + 1)};
    number(each[v], lives_[v]);
    Writer(each[v]).bytes(kept_[v]);
    for (const auto& lists : heard_)
      for (const std::vector<MemberId>& list : lists)
        number(each[v], std::find(list.begin(), list.end(), me) != list.end());
    for (const Message& m : on_the_way_) {
      if (m.from != me.raw && m.to != me.raw) continue;
      number(each[v], m.kind), number(each[v], m.from == me.raw ? m.to : m.from), number(each[v], m.wanted);
      number(each[v], m.incarnation), number(each[v], m.number), number(each[v], m.token);
      number(each[v], m.span), number(each[v], m.late);
    }
  }
  std::sort(each.begin(), each.end());
  for (const std::string& one : each) Writer(all).bytes(one);
  const XXH128_hash_t sum = XXH3_128bits(all.data(), all.size());
  return {sum.high64, sum.low64};
}

} // namespace cometshift::explore
