// Many members in one process, from one seed: a network that loses, delays, doubles, reorders and cuts;
// clocks that run at other rates and show other times; crashes that forget; pauses at any point, also within
// an act. The referee has the one true time and hears of every holding and every act.
#pragma once

#include "leases.hpp"

#include <cstdio>
#include <deque>
#include <functional>
#include <memory>
#include <queue>

using namespace cometshift;

constexpr Nanos ms = 1'000'000;
constexpr Nanos second = 1000 * ms;
constexpr const char* task = "trial";

struct Plan {
  std::uint64_t seed = 1;
  unsigned members = 5, voters = 3;
  Nanos term = second;
  double drift = 0.01;   // the bound that members are told
  double clocks_off = 1; // part of it that clocks use; over 1 they break it
  Nanos act = 50 * ms;   // the longest that a member plans for
  Nanos lock_delay = 0;  // leases.longest_act
  int most_terms = 0;
  double tells = 0.1;  // part of the letters that tell of voters
  bool hasty = false;  // the operator does not wait for a list to be settled
  bool counts = false; // and one that goes on
  bool hints = true;   // members know a count that rises over their starts
  Nanos length = 30 * second;
  double lost = 0.1, doubled = 0.1, late = 0.02; // parts of the messages; late: by up to three terms
  Nanos kill_every = 0;                          // the holder, once so long or up to a half more; 0: never
  double crashes = 0.3, pauses = 0.3, cuts = 0.3, drops = 0.1; // a second, of the whole fleet
  Nanos longest_pause = 3 * second;
  double in_act = 0.02;              // part of the acts with a pause in them
  Nanos longest_in_act = 3 * second; // of those pauses
  bool judge_plain = false;          // acts at once at the target that can't fence are wrong
  Nanos quiet_after = -1;            // no more faults from then on; -1: never
  double changes = 0; // of the list of voters, a second, by an operator who waits until one is settled
};

struct Verdict {
  int holdings = 0, renewals = 0, overlaps = 0, acts = 0, stale_refused = 0, acts_at_once = 0;
  std::uint64_t changes = 0; // lists of voters that were settled
  int tokens_back = 0;       // holdings with a token not over the one before
  Nanos longest_gap = 0;     // without a holder, after quiet_after
  std::vector<Nanos> gaps;   // from a holder's kill to the next one's first act
  std::string first;         // what went wrong first
};

class FleetOfLeases {
  struct Member final : LeaseActions {
    FleetOfLeases& fleet;
    MemberId self;
    std::uint64_t lives = 0;
    VoterList file; // as it is read at a start, or at a signal
    std::unique_ptr<Voters> voters;
    std::unique_ptr<Leases> leases;
    double rate = 1; // of its clock
    Nanos shows = 0; // what its clock shows more, at the true time 0
    Nanos paused_until = 0;
    bool up = false;
    std::vector<std::function<void()>> waiting; // what came while it stood still
    std::size_t holding = ~std::size_t{0};
    Nanos woken_for = -1;

    Member(FleetOfLeases& f, MemberId id) : fleet(f), self(id) {}
    Nanos clock() const { return shows + static_cast<Nanos>(static_cast<double>(fleet.now) * rate); }
    Nanos true_time(Nanos clock_time) const { // rounded up
      return static_cast<Nanos>(static_cast<double>(clock_time - shows) / rate) + 1;
    }
    // Some letters tell of voters, too.
    void send(MemberId to, std::function<void(Leases&, Nanos)> what) {
      const bool tells = fleet.plan_.changes > 0 && fleet.chance_.unit() < fleet.plan_.tells;
      fleet.send(self, to,
                 [what = std::move(what), tells, from = self, file = voters->on_file(),
                  list = voters->list()](Member& at, Nanos now) {
                   if (tells) {
                     at.voters->file_epoch_received(now, from, file);
                     at.voters->list_received(now, list);
                   }
                   what(*at.leases, now);
                 });
    }
    void ask(MemberId voter, Epoch epoch, std::string_view l, AskNo n, Token t, Nanos term) override {
      send(voter, [from = self, of = incarnation(), epoch, l = std::string(l), n, t,
                   term](Leases& at, Nanos now) { at.asked(now, from, of, epoch, l, n, t, term); });
    }
    void release(MemberId voter, std::string_view l, AskNo n) override {
      send(voter, [from = self, of = incarnation(), l = std::string(l), n](Leases& at, Nanos now) {
        at.released(now, from, of, l, n);
      });
    }
    void grant(MemberId to, Incarnation of, std::string_view l, AskNo n, bool wanted) override {
      send(to, [from = self, of, l = std::string(l), n, wanted](Leases& at, Nanos now) {
        at.granted(now, from, of, l, n, wanted);
      });
    }
    void refuse(MemberId to, Incarnation of, std::string_view l, AskNo n, Token seen, Nanos left) override {
      send(to, [from = self, of, l = std::string(l), n, seen, left](Leases& at, Nanos now) {
        at.refused(now, from, of, l, n, seen, left);
      });
    }
    Incarnation incarnation() const { return Incarnation{lives}; }
    void held(std::string_view, Token token, Nanos from, Nanos until) override {
      fleet.held(*this, token, from, until);
    }
    void lost(std::string_view, Token, LossReason) override { fleet.let_go(*this); }
  };

  struct Holding {
    MemberId member;
    Token token;
    Nanos from, until; // true time
  };

  Plan plan_;
  Pcg chance_;
  Verdict verdict_;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<Holding> holdings_;
  std::set<std::pair<MemberId, MemberId>> cut_; // from, to
  Token target_seen_{0};
  struct Act {
    Token token;
    Nanos end; // the act of a later end began before, if it was at once with this one
  };
  std::deque<Act> plain_acts_; // in the order of their ends
  Nanos last_end_ = 0;
  VoterList list_;       // the newest that the operator has made
  Nanos killed_at_ = -1; // the holder, and no other has acted since
  using Event = std::pair<std::pair<Nanos, std::uint64_t>, std::function<void()>>;
  struct Later {
    bool operator()(const Event& a, const Event& b) const { return a.first > b.first; }
  };
  std::priority_queue<Event, std::vector<Event>, Later> queue_;
  std::uint64_t order_ = 0;

 public:
  Nanos now = 0;

  explicit FleetOfLeases(const Plan& plan) : plan_(plan), chance_(plan.seed) {
    for (unsigned v = 1; v <= plan.voters; ++v) list_.voters.insert(MemberId{v});
    for (unsigned m = 1; m <= plan.members; ++m) {
      members_.push_back(std::make_unique<Member>(*this, MemberId{m}));
      Member& one = *members_.back();
      one.file = list_;
      one.rate =
          1 + plan.drift * plan.clocks_off * (chance_.unit() < 0.5 ? -1 : 1) * (0.5 + chance_.unit() / 2);
      one.shows = static_cast<Nanos>(chance_.unit() * 1e15);
      begin(one);
    }
    for (auto& one : members_) act(*one);
    trouble(plan.crashes, [this] { crash(any()); });
    trouble(plan.pauses, [this] { pause(any(), part(plan_.longest_pause)); });
    trouble(plan.cuts, [this] { cut_some(); });
    if (plan.kill_every > 0) kill_holder();
    trouble(plan.drops, [this] { drop(any()); });
    trouble(plan.changes, [this] { change(); });
  }

  Verdict play() {
    while (!queue_.empty() && queue_.top().first.first <= plan_.length) {
      const auto what = std::move(const_cast<Event&>(queue_.top()).second);
      now = queue_.top().first.first;
      queue_.pop();
      what();
    }
    const bool nobody = std::none_of(members_.begin(), members_.end(),
                                     [](const auto& one) { return one->holding != ~std::size_t{0}; });
    if (plan_.quiet_after >= 0 && nobody) no_holder_until(plan_.length);
    return verdict_;
  }

 private:
  Nanos part(Nanos of) { return static_cast<Nanos>(chance_.unit() * static_cast<double>(of)); }
  Member& any() { return *members_[chance_.next() % members_.size()]; }
  void at(Nanos when, std::function<void()> what) {
    queue_.push({{std::max(when, now), order_++}, std::move(what)});
  }
  bool faults() const { return plan_.quiet_after < 0 || now < plan_.quiet_after; }
  void wrong(const std::string& what) {
    if (verdict_.first.empty()) verdict_.first = std::to_string(now / ms) + " ms: " + what;
  }

  // So many a second, as long as there are faults.
  void trouble(double rate, std::function<void()> what) {
    if (rate <= 0) return;
    at(now + static_cast<Nanos>(2 * chance_.unit() / rate * static_cast<double>(second)), [this, rate, what] {
      if (!faults()) return;
      what();
      trouble(rate, what);
    });
  }

  void begin(Member& one) {
    ++one.lives;
    one.up = true;
    one.waiting.clear();
    one.paused_until = 0;
    const double settle = static_cast<double>(plan_.term) * (1 + plan_.drift) / (1 - plan_.drift);
    one.voters = std::make_unique<Voters>(one.clock(), one.self, one.file, static_cast<Nanos>(settle) + 1);
    const Settings figures{{"leases.term", static_cast<double>(plan_.term)},
                           {"leases.longest_term", static_cast<double>(plan_.term)},
                           {"leases.drift", plan_.drift},
                           {"leases.longest_act", static_cast<double>(plan_.lock_delay)},
                           {"leases.most_terms", static_cast<double>(plan_.most_terms)},
                           {"leases.first_token", plan_.hints ? static_cast<double>(now / ms) : 0},
                           {"leases.most", 16.0}};
    one.leases = std::make_unique<Leases>(one.clock(), one.self, one.incarnation(), *one.voters, figures,
                                          plan_.seed * 1000 + one.self.raw * 50 + one.lives, one);
    one.woken_for = -1;
    one.leases->acquire(one.clock(), task);
    wake(one);
  }
  // A new list, of other voters at times and of as many or more or fewer, comes to each member's file after a
  // while, and is read there by a signal if it is up. Whoever is down then may miss it for good.
  void change() {
    const bool settled = std::any_of(members_.begin(), members_.end(), [&](const auto& one) {
      return one->up && one->voters->epoch() == list_.epoch && !one->voters->joint();
    });
    if (!settled && !plan_.hasty) return;
    VoterList next;
    next.epoch = Epoch{list_.epoch.raw + 1};
    next.previous = list_.voters;
    const std::size_t count = 1 + chance_.next() % 3;
    while (next.voters.size() < count) next.voters.insert(any().self);
    list_ = next;
    ++verdict_.changes;
    for (auto& member : members_) {
      Member& one = *member;
      if (chance_.unit() < 0.1) continue;
      at(now + part((plan_.hasty ? 12 : 3) * plan_.term), [this, &one, next] {
        if (!one.up && chance_.unit() < 0.5) return;
        if (one.file.epoch < next.epoch) one.file = next;
        in(one, [this, &one] { read_file(one); });
      });
    }
  }
  void read_file(Member& one) {
    one.voters->apply_file(one.clock(), one.file);
    wake(one);
  }
  void crash(Member& one) {
    if (!one.up) return;
    let_go(one);
    one.up = false;
    one.leases.reset();
    // Back soon, or after a while.
    at(now + part(chance_.unit() < 0.5 ? plan_.term / 4 : 3 * plan_.term), [this, &one] {
      if (!one.up) begin(one);
    });
  }
  void kill_holder() {
    at(now + plan_.kill_every + part(plan_.kill_every / 2), [this] {
      for (auto& one : members_)
        if (one->up && one->holding != ~std::size_t{0}) {
          killed_at_ = now;
          crash(*one);
          break;
        }
      kill_holder();
    });
  }
  void pause(Member& one, Nanos length) {
    if (!one.up || one.paused_until > now) return;
    one.paused_until = now + length;
    at(one.paused_until, [&one, life = one.lives] {
      if (!one.up || one.lives != life) return;
      const auto came = std::move(one.waiting);
      one.waiting.clear();
      for (const auto& what : came) what();
    });
  }
  void cut_some() {
    // A part hears nothing, or isn't heard, or both.
    const double way = chance_.unit();
    std::set<MemberId> side;
    for (auto& one : members_)
      if (chance_.unit() < 0.5) side.insert(one->self);
    std::set<std::pair<MemberId, MemberId>> mine;
    for (auto& a : members_)
      for (auto& b : members_) {
        const bool out = side.contains(a->self) && !side.contains(b->self);
        const bool in = !side.contains(a->self) && side.contains(b->self);
        if ((out && way < 0.7) || (in && way > 0.3)) mine.emplace(a->self, b->self);
      }
    cut_.insert(mine.begin(), mine.end());
    at(now + part(4 * plan_.term), [this, mine] {
      for (const auto& one : mine) cut_.erase(one);
    });
  }
  void drop(Member& one) {
    if (!one.up || one.paused_until > now) return;
    one.leases->drop(one.clock(), task);
    at(now + part(plan_.term), [this, &one, life = one.lives] {
      if (!one.up || one.lives != life) return;
      one.leases->acquire(one.clock(), task);
      wake(one);
    });
  }

  void send(MemberId from, MemberId to, std::function<void(Member&, Nanos)> what) {
    const bool troubled = faults();
    const int copies = troubled && chance_.unit() < plan_.doubled ? 2 : 1;
    for (int c = 0; c < copies; ++c) {
      if (troubled && chance_.unit() < plan_.lost) continue;
      Nanos takes = ms + part(10 * ms);
      if (troubled && chance_.unit() < plan_.late) takes = part(3 * plan_.term);
      at(now + takes, [this, from, to, what] {
        if (cut_.contains({from, to})) return;
        Member& one = *members_[to.raw - 1];
        in(one, [this, &one, what] {
          what(one, one.clock());
          wake(one);
        });
      });
    }
  }
  // Now, or when it goes on; in this life only.
  void in(Member& one, std::function<void()> what) {
    if (!one.up) return;
    if (one.paused_until > now)
      one.waiting.push_back(std::move(what));
    else
      what();
  }
  void wake(Member& one) {
    one.voters->advance_time(one.clock());
    Nanos next = one.leases->next_wake();
    if (const Nanos settled = one.voters->next_wake(); settled >= 0 && (next < 0 || settled < next))
      next = settled;
    if (next < 0 || next == one.woken_for) return;
    one.woken_for = next;
    at(one.true_time(next), [this, &one, next, life = one.lives] {
      if (one.lives != life || one.woken_for != next) return;
      in(one, [this, &one] {
        one.woken_for = -1;
        if (one.file.epoch > one.voters->on_file()) one.voters->apply_file(one.clock(), one.file);
        if (plan_.counts) one.leases->raise_token_counter(static_cast<std::uint64_t>(now / ms));
        one.leases->due(one.clock());
        wake(one);
      });
    });
  }

  // ---- the referee

  void no_holder_until(Nanos end) {
    const Nanos since = std::max(last_end_, plan_.quiet_after + 6 * plan_.term);
    verdict_.longest_gap = std::max(verdict_.longest_gap, end - since);
  }

  void held(Member& one, Token token, Nanos from, Nanos until) {
    const Nanos begins = std::max(now, static_cast<Nanos>(static_cast<double>(from - one.shows) / one.rate));
    const Nanos ends = static_cast<Nanos>(static_cast<double>(until - one.shows) / one.rate);
    if (one.holding != ~std::size_t{0} && holdings_[one.holding].token == token) {
      ++verdict_.renewals;
      holdings_[one.holding].until = ends;
    } else {
      ++verdict_.holdings;
      if (plan_.quiet_after >= 0) no_holder_until(now);
      if (!holdings_.empty() && token <= holdings_.back().token) {
        ++verdict_.tokens_back;
        wrong("a token that does not rise");
      }
      one.holding = holdings_.size();
      holdings_.push_back({one.self, token, begins, ends});
    }
    const Holding& mine = holdings_[one.holding];
    for (std::size_t h = 0; h < holdings_.size(); ++h) {
      if (h == one.holding) continue;
      const Holding& other = holdings_[h];
      if (std::max(mine.from, other.from) < std::min(mine.until, other.until)) {
        ++verdict_.overlaps;
        wrong("member " + std::to_string(one.self.raw) + " and " + std::to_string(other.member.raw) +
              " hold at once, for " +
              std::to_string((std::min(mine.until, other.until) - std::max(mine.from, other.from)) / 1000) +
              " us");
      }
    }
  }
  void let_go(Member& one) {
    if (one.holding == ~std::size_t{0}) return;
    Holding& mine = holdings_[one.holding];
    mine.until = std::min(mine.until, now);
    last_end_ = std::max(last_end_, mine.until);
    one.holding = ~std::size_t{0};
  }

  // Each member tries to act now and then: it checks, and does it after a while, with a pause between at
  // times.
  void act(Member& one) {
    at(now + part(100 * ms), [this, &one] {
      in(one, [this, &one] {
        const Token token = one.leases->begin_act(one.clock(), task, plan_.act);
        if (token.raw != 0) {
          if (one.holding == ~std::size_t{0} || now >= holdings_[one.holding].until) {
            ++verdict_.overlaps;
            wrong("member " + std::to_string(one.self.raw) + " begins an act past its end");
          }
          if (faults() && chance_.unit() < plan_.in_act) pause(one, part(plan_.longest_in_act));
          at(now + part(plan_.act / 2), [this, &one, token, begun = now, life = one.lives] {
            if (one.lives != life) return;
            in(one, [this, &one, token, begun] {
              done(one, token, begun);
              one.leases->end_act(one.clock(), task, token);
            });
          });
        }
      });
      act(one);
    });
  }
  // At both targets: one that fences, and one that can't, at which an act is all the time from the check on.
  void done(Member& one, Token token, Nanos begun) {
    ++verdict_.acts;
    if (killed_at_ >= 0) verdict_.gaps.push_back(begun - killed_at_), killed_at_ = -1;
    while (!plain_acts_.empty() && plain_acts_.front().end < now - 10 * second) plain_acts_.pop_front();
    for (const Act& other : plain_acts_)
      if (other.token != token && begun < other.end) {
        ++verdict_.acts_at_once;
        if (plan_.judge_plain) wrong("two acts at once at the target that can't fence");
      }
    plain_acts_.push_back({token, now});
    if (token >= target_seen_) {
      target_seen_ = token;
      return;
    }
    ++verdict_.stale_refused;
    one.leases->refused_by_target(one.clock(), task, target_seen_);
  }
};
