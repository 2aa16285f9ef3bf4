// A simulated fleet of lease members in one process, driven by one seed. The network loses, delays,
// duplicates, reorders and cuts messages; clocks run at different rates and show different times; members
// crash and lose their state, and pause at any point, also during an act. The invariant checks use the true
// time and see every holding and every act.
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
constexpr const char* lease_name = "trial";

// What a run simulates. Times: ns.
struct Plan {
  std::uint64_t seed = 1;
  unsigned members = 5, voters = 3;
  Nanos term = second;
  double drift = 0.01;   // the drift bound in the members' settings
  double clocks_off = 1; // clocks' largest rate error, as a multiple of the bound; above 1 violates it
  Nanos act = 50 * ms;   // the longest act a member plans for
  Nanos lock_delay = 0;  // leases.longest_act
  int most_terms = 0;
  double list_updates = 0.1;      // fraction of the messages that carry the voter list
  bool unsettled_changes = false; // the operator makes a new list before the last one is settled
  bool raises_counter = false;    // members raise their token counter
  bool first_token_hint = true;   // leases.first_token rises with each start
  Nanos length = 30 * second;
  double lost = 0.1, duplicated = 0.1, late = 0.02; // fractions of the messages; late: by up to three terms
  Nanos kill_every = 0; // interval between kills of the holder, up to a half longer; 0: never
  // Faults per second in the whole fleet. `cuts`: of the network; `drops`: a member drops the lease.
  double crashes = 0.3, pauses = 0.3, cuts = 0.3, drops = 0.1;
  Nanos longest_pause = 3 * second;
  double in_act = 0.02;              // fraction of the acts with a pause in them
  Nanos longest_in_act = 3 * second; // the longest of those pauses
  bool check_unfenced = false;       // concurrent acts at the target that cannot fence are a violation
  Nanos faults_until = -1;           // no faults from then on; -1: faults until the end
  // Attempts per second to change the voter list. The operator skips an attempt while the last list is not
  // settled, unless `unsettled_changes`.
  double changes = 0;
};

// The counts and violations of a run. `overlaps`: pairs of holdings that overlap, counted again at each
// renewal, and acts begun after the end of the holding. `stale_refused`: acts that the fencing target
// refused. `concurrent_acts_unfenced`: acts that overlap an act under another token at the target that cannot
// fence.
struct Verdict {
  int holdings = 0, renewals = 0, overlaps = 0, acts = 0, stale_refused = 0, concurrent_acts_unfenced = 0;
  std::uint64_t changes = 0; // voter lists that the operator made, settled or not
  int non_rising_tokens = 0; // holdings whose token was not greater than the previous one
  Nanos longest_gap = 0;     // time without a holder, from six terms after faults_until on
  std::vector<Nanos> gaps;   // from the kill of a holder to the start of the next act that completes
  std::string first;         // the first violation
};

class FleetOfLeases {
  struct Member final : LeaseActions {
    FleetOfLeases& fleet;
    MemberId self;
    std::uint64_t starts = 0;
    VoterList file; // the operator file's list, read at a start, on a signal and at a timer's wake
    std::unique_ptr<Voters> voters;
    std::unique_ptr<Leases> leases;
    double rate = 1;        // rate of its clock
    Nanos clock_offset = 0; // its clock's reading at true time 0
    Nanos paused_until = 0;
    bool up = false;
    std::vector<std::function<void()>> waiting; // what arrived while it was paused
    std::size_t holding = ~std::size_t{0};      // index in holdings_; all bits set: none
    Nanos scheduled_wake = -1;

    Member(FleetOfLeases& f, MemberId id) : fleet(f), self(id) {}
    Nanos clock() const { return clock_offset + static_cast<Nanos>(static_cast<double>(fleet.now) * rate); }
    Nanos true_time(Nanos clock_time) const { // rounded up
      return static_cast<Nanos>(static_cast<double>(clock_time - clock_offset) / rate) + 1;
    }
    // Some messages also carry the voter list.
    void send(MemberId to, std::function<void(Leases&, Nanos)> action) {
      const bool with_list = fleet.plan_.changes > 0 && fleet.random_.unit() < fleet.plan_.list_updates;
      fleet.send(self, to,
                 [action = std::move(action), with_list, from = self, file = voters->on_file(),
                  list = voters->list()](Member& at, Nanos now) {
                   if (with_list) {
                     at.voters->file_epoch_received(now, from, file);
                     at.voters->list_received(now, list);
                   }
                   action(*at.leases, now);
                 });
    }
    void ask(MemberId voter, Epoch epoch, std::string_view lease, AskNo number, Token token,
             Nanos term) override {
      send(voter, [from = self, requester_incarnation = incarnation(), epoch, lease = std::string(lease),
                   number, token, term](Leases& at, Nanos now) {
        at.asked(now, from, requester_incarnation, epoch, lease, number, token, term);
      });
    }
    void release(MemberId voter, std::string_view lease, AskNo number) override {
      send(voter,
           [from = self, requester_incarnation = incarnation(), lease = std::string(lease),
            number](Leases& at, Nanos now) { at.released(now, from, requester_incarnation, lease, number); });
    }
    void grant(MemberId to, Incarnation requester_incarnation, std::string_view lease, AskNo number,
               bool contended) override {
      send(to, [from = self, requester_incarnation, lease = std::string(lease), number,
                contended](Leases& at, Nanos now) {
        at.granted(now, from, requester_incarnation, lease, number, contended);
      });
    }
    void refuse(MemberId to, Incarnation requester_incarnation, std::string_view lease, AskNo number,
                Token highest_token, Nanos remaining) override {
      send(to, [from = self, requester_incarnation, lease = std::string(lease), number, highest_token,
                remaining](Leases& at, Nanos now) {
        at.refused(now, from, requester_incarnation, lease, number, highest_token, remaining);
      });
    }
    Incarnation incarnation() const { return Incarnation{starts}; }
    void held(std::string_view, Token token, Nanos from, Nanos until) override {
      fleet.held(*this, token, from, until);
    }
    void lost(std::string_view, Token, LossReason) override { fleet.holding_ended(*this); }
  };

  struct Holding {
    MemberId member;
    Token token;
    Nanos from, until; // true time
  };

  Plan plan_;
  Pcg random_;
  Verdict verdict_;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<Holding> holdings_;
  std::set<std::pair<MemberId, MemberId>> cut_links_; // from, to
  Token target_token_{0};
  struct Act {
    Token token;
    Nanos end; // an act that ends later overlaps this one if it began before this end
  };
  std::deque<Act> unfenced_acts_; // ordered by end
  Nanos last_end_ = 0;
  VoterList list_;              // the operator's newest list
  Nanos holder_killed_at_ = -1; // when the holder was killed; -1 once any act has completed since
  using Event = std::pair<std::pair<Nanos, std::uint64_t>, std::function<void()>>;
  struct Later {
    bool operator()(const Event& a, const Event& b) const { return a.first > b.first; }
  };
  std::priority_queue<Event, std::vector<Event>, Later> queue_;
  std::uint64_t order_ = 0;

 public:
  Nanos now = 0;

  explicit FleetOfLeases(const Plan& plan) : plan_(plan), random_(plan.seed) {
    for (unsigned v = 1; v <= plan.voters; ++v) list_.voters.insert(MemberId{v});
    for (unsigned m = 1; m <= plan.members; ++m) {
      members_.push_back(std::make_unique<Member>(*this, MemberId{m}));
      Member& member = *members_.back();
      member.file = list_;
      member.rate =
          1 + plan.drift * plan.clocks_off * (random_.unit() < 0.5 ? -1 : 1) * (0.5 + random_.unit() / 2);
      member.clock_offset = static_cast<Nanos>(random_.unit() * 1e15);
      start_member(member);
    }
    for (auto& member : members_) schedule_acts(*member);
    schedule_faults(plan.crashes, [this] { crash(random_member()); });
    schedule_faults(plan.pauses, [this] {
      const Nanos length = random_part(plan_.longest_pause);
      pause(random_member(), length);
    });
    schedule_faults(plan.cuts, [this] { cut_links(); });
    if (plan.kill_every > 0) kill_holder();
    schedule_faults(plan.drops, [this] { drop(random_member()); });
    schedule_faults(plan.changes, [this] { change(); });
  }

  Verdict play() {
    while (!queue_.empty() && queue_.top().first.first <= plan_.length) {
      const auto action = std::move(const_cast<Event&>(queue_.top()).second);
      now = queue_.top().first.first;
      queue_.pop();
      action();
    }
    const bool nobody = std::none_of(members_.begin(), members_.end(),
                                     [](const auto& member) { return member->holding != ~std::size_t{0}; });
    if (plan_.faults_until >= 0 && nobody) no_holder_until(plan_.length);
    return verdict_;
  }

 private:
  Nanos random_part(Nanos max) { return static_cast<Nanos>(random_.unit() * static_cast<double>(max)); }
  Member& random_member() { return *members_[random_.next() % members_.size()]; }
  void at(Nanos when, std::function<void()> action) {
    queue_.push({{std::max(when, now), order_++}, std::move(action)});
  }
  bool faults() const { return plan_.faults_until < 0 || now < plan_.faults_until; }
  void violation(const std::string& description) {
    if (verdict_.first.empty()) verdict_.first = std::to_string(now / ms) + " ms: " + description;
  }

  // Schedules a fault at this rate per second, as long as faults are injected.
  void schedule_faults(double rate, std::function<void()> action) {
    if (rate <= 0) return;
    at(now + static_cast<Nanos>(2 * random_.unit() / rate * static_cast<double>(second)),
       [this, rate, action] {
         if (!faults()) return;
         action();
         schedule_faults(rate, action);
       });
  }

  void start_member(Member& member) {
    ++member.starts;
    member.up = true;
    member.waiting.clear();
    member.paused_until = 0;
    const double settle = static_cast<double>(plan_.term) * (1 + plan_.drift) / (1 - plan_.drift);
    member.voters =
        std::make_unique<Voters>(member.clock(), member.self, member.file, static_cast<Nanos>(settle) + 1);
    const Settings settings{
        {"leases.term", static_cast<double>(plan_.term)},
        {"leases.longest_term", static_cast<double>(plan_.term)},
        {"leases.drift", plan_.drift},
        {"leases.longest_act", static_cast<double>(plan_.lock_delay)},
        {"leases.most_terms", static_cast<double>(plan_.most_terms)},
        {"leases.first_token", plan_.first_token_hint ? static_cast<double>(now / ms) : 0},
        {"leases.most", 16.0}};
    member.leases =
        std::make_unique<Leases>(member.clock(), member.self, member.incarnation(), *member.voters, settings,
                                 plan_.seed * 1000 + member.self.raw * 50 + member.starts, member);
    member.scheduled_wake = -1;
    member.leases->acquire(member.clock(), lease_name);
    wake(member);
  }
  // A new list with random voters, of the same or another number, reaches each member's file after a while
  // and is read there on a signal if the member is up. A member that is down then may miss it for good.
  void change() {
    const bool settled = std::any_of(members_.begin(), members_.end(), [&](const auto& member) {
      return member->up && member->voters->epoch() == list_.epoch && !member->voters->joint();
    });
    if (!settled && !plan_.unsettled_changes) return;
    VoterList next;
    next.epoch = Epoch{list_.epoch.raw + 1};
    next.previous = list_.voters;
    const std::size_t count = 1 + random_.next() % 3;
    while (next.voters.size() < count) next.voters.insert(random_member().self);
    list_ = next;
    ++verdict_.changes;
    for (auto& entry : members_) {
      Member& member = *entry;
      if (random_.unit() < 0.1) continue;
      at(now + random_part((plan_.unsettled_changes ? 12 : 3) * plan_.term), [this, &member, next] {
        if (!member.up && random_.unit() < 0.5) return;
        if (member.file.epoch < next.epoch) member.file = next;
        run_on(member, [this, &member] { read_file(member); });
      });
    }
  }
  void read_file(Member& member) {
    member.voters->apply_file(member.clock(), member.file);
    wake(member);
  }
  void crash(Member& member) {
    if (!member.up) return;
    holding_ended(member);
    member.up = false;
    member.leases.reset();
    // Restarts soon, or after a longer while.
    at(now + random_part(random_.unit() < 0.5 ? plan_.term / 4 : 3 * plan_.term), [this, &member] {
      if (!member.up) start_member(member);
    });
  }
  void kill_holder() {
    at(now + plan_.kill_every + random_part(plan_.kill_every / 2), [this] {
      for (auto& member : members_)
        if (member->up && member->holding != ~std::size_t{0}) {
          holder_killed_at_ = now;
          crash(*member);
          break;
        }
      kill_holder();
    });
  }
  void pause(Member& member, Nanos length) {
    if (!member.up || member.paused_until > now) return;
    member.paused_until = now + length;
    at(member.paused_until, [&member, incarnation = member.starts] {
      if (!member.up || member.starts != incarnation) return;
      const auto deferred = std::move(member.waiting);
      member.waiting.clear();
      for (const auto& action : deferred) action();
    });
  }
  void cut_links() {
    // Part of the fleet cannot receive, or cannot send, or both.
    const double direction = random_.unit();
    std::set<MemberId> side;
    for (auto& member : members_)
      if (random_.unit() < 0.5) side.insert(member->self);
    std::set<std::pair<MemberId, MemberId>> links;
    for (auto& a : members_)
      for (auto& b : members_) {
        const bool outbound = side.contains(a->self) && !side.contains(b->self);
        const bool inbound = !side.contains(a->self) && side.contains(b->self);
        if ((outbound && direction < 0.7) || (inbound && direction > 0.3)) links.emplace(a->self, b->self);
      }
    cut_links_.insert(links.begin(), links.end());
    at(now + random_part(4 * plan_.term), [this, links] {
      for (const auto& link : links) cut_links_.erase(link);
    });
  }
  void drop(Member& member) {
    if (!member.up || member.paused_until > now) return;
    member.leases->drop(member.clock(), lease_name);
    at(now + random_part(plan_.term), [this, &member, incarnation = member.starts] {
      if (!member.up || member.starts != incarnation) return;
      member.leases->acquire(member.clock(), lease_name);
      wake(member);
    });
  }

  void send(MemberId from, MemberId to, std::function<void(Member&, Nanos)> action) {
    const bool faulty = faults();
    const int copies = faulty && random_.unit() < plan_.duplicated ? 2 : 1;
    for (int c = 0; c < copies; ++c) {
      if (faulty && random_.unit() < plan_.lost) continue;
      Nanos takes = ms + random_part(10 * ms);
      if (faulty && random_.unit() < plan_.late) takes = random_part(3 * plan_.term);
      at(now + takes, [this, from, to, action] {
        if (cut_links_.contains({from, to})) return;
        Member& member = *members_[to.raw - 1];
        run_on(member, [this, &member, action] {
          action(member, member.clock());
          wake(member);
        });
      });
    }
  }
  // Runs the action now, or when the member's pause ends; drops it if the member is down or crashes first.
  void run_on(Member& member, std::function<void()> action) {
    if (!member.up) return;
    if (member.paused_until > now)
      member.waiting.push_back(std::move(action));
    else
      action();
  }
  void wake(Member& member) {
    member.voters->advance_time(member.clock());
    Nanos next = member.leases->next_wake();
    if (const Nanos voters_wake = member.voters->next_wake();
        voters_wake >= 0 && (next < 0 || voters_wake < next))
      next = voters_wake;
    if (next < 0 || next == member.scheduled_wake) return;
    member.scheduled_wake = next;
    at(member.true_time(next), [this, &member, next, incarnation = member.starts] {
      if (member.starts != incarnation || member.scheduled_wake != next) return;
      run_on(member, [this, &member] {
        member.scheduled_wake = -1;
        if (member.file.epoch > member.voters->on_file())
          member.voters->apply_file(member.clock(), member.file);
        if (plan_.raises_counter) member.leases->raise_token_counter(static_cast<std::uint64_t>(now / ms));
        member.leases->due(member.clock());
        wake(member);
      });
    });
  }

  // ---- the invariant checks

  // Records a time without a holder that ends now or with the run.
  void no_holder_until(Nanos end) {
    const Nanos since = std::max(last_end_, plan_.faults_until + 6 * plan_.term);
    verdict_.longest_gap = std::max(verdict_.longest_gap, end - since);
  }

  void held(Member& member, Token token, Nanos from, Nanos until) {
    const Nanos begins =
        std::max(now, static_cast<Nanos>(static_cast<double>(from - member.clock_offset) / member.rate));
    const Nanos ends = static_cast<Nanos>(static_cast<double>(until - member.clock_offset) / member.rate);
    if (member.holding != ~std::size_t{0} && holdings_[member.holding].token == token) {
      ++verdict_.renewals;
      holdings_[member.holding].until = ends;
    } else {
      ++verdict_.holdings;
      if (plan_.faults_until >= 0) no_holder_until(now);
      if (!holdings_.empty() && token <= holdings_.back().token) {
        ++verdict_.non_rising_tokens;
        violation("a token that does not rise");
      }
      member.holding = holdings_.size();
      holdings_.push_back({member.self, token, begins, ends});
    }
    const Holding& own = holdings_[member.holding];
    for (std::size_t h = 0; h < holdings_.size(); ++h) {
      if (h == member.holding) continue;
      const Holding& other = holdings_[h];
      if (std::max(own.from, other.from) < std::min(own.until, other.until)) {
        ++verdict_.overlaps;
        violation("member " + std::to_string(member.self.raw) + " and " + std::to_string(other.member.raw) +
                  " hold at once, for " +
                  std::to_string((std::min(own.until, other.until) - std::max(own.from, other.from)) / 1000) +
                  " us");
      }
    }
  }
  void holding_ended(Member& member) {
    if (member.holding == ~std::size_t{0}) return;
    Holding& own = holdings_[member.holding];
    own.until = std::min(own.until, now);
    last_end_ = std::max(last_end_, own.until);
    member.holding = ~std::size_t{0};
  }

  // Each member repeatedly tries to act: it checks its lease and completes the act a while later, sometimes
  // with a pause in between.
  void schedule_acts(Member& member) {
    at(now + random_part(100 * ms), [this, &member] {
      run_on(member, [this, &member] {
        const Token token = member.leases->begin_act(member.clock(), lease_name, plan_.act);
        if (token.raw != 0) {
          if (member.holding == ~std::size_t{0} || now >= holdings_[member.holding].until) {
            ++verdict_.overlaps;
            violation("member " + std::to_string(member.self.raw) + " begins an act past its end");
          }
          if (faults() && random_.unit() < plan_.in_act) pause(member, random_part(plan_.longest_in_act));
          at(now + random_part(plan_.act / 2),
             [this, &member, token, begun = now, incarnation = member.starts] {
               if (member.starts != incarnation) return;
               run_on(member, [this, &member, token, begun] {
                 complete_act(member, token, begun);
                 member.leases->end_act(member.clock(), lease_name, token);
               });
             });
        }
      });
      schedule_acts(member);
    });
  }
  // Each act goes to two targets: one that fences by token, and one that cannot, at which the act lasts from
  // the check to its completion.
  void complete_act(Member& member, Token token, Nanos begun) {
    ++verdict_.acts;
    if (holder_killed_at_ >= 0) verdict_.gaps.push_back(begun - holder_killed_at_), holder_killed_at_ = -1;
    while (!unfenced_acts_.empty() && unfenced_acts_.front().end < now - 10 * second)
      unfenced_acts_.pop_front();
    for (const Act& other : unfenced_acts_)
      if (other.token != token && begun < other.end) {
        ++verdict_.concurrent_acts_unfenced;
        if (plan_.check_unfenced) violation("two acts at once at the target that can't fence");
      }
    unfenced_acts_.push_back({token, now});
    if (token >= target_token_) {
      target_token_ = token;
      return;
    }
    ++verdict_.stale_refused;
    member.leases->refused_by_target(member.clock(), lease_name, target_token_);
  }
};
