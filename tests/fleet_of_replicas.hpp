// Simulates a fleet of control members in one process, deterministically from a seed. Each member has its
// real leases and its real replica. The network loses, delays, duplicates and reorders messages and is
// partitioned by pairs, halves and regions; members crash and restart without their state, or pause. Puts are
// made at any member. The checker sees every record that is written, every commit at any member, and the
// outcome of every put.
#pragma once

#include "replica.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>

using namespace cometshift;

constexpr Nanos ms = 1'000'000;
constexpr Nanos second = 1000 * ms;
constexpr const char* control_lease = "control";

struct Plan {
  std::uint64_t seed = 1;
  unsigned members = 7, voters = 3, regions = 3;
  Nanos term = second;           // of leases
  double drift = 0.01;           // the bound on the error of clock rates, as a fraction
  double clock_error_factor = 1; // scales the actual errors; above 1 some clocks exceed the bound
  // Fractions of messages; a delayed message takes up to three terms.
  double lost = 0.05, duplicated = 0.05, delayed = 0.02;
  double crashes = 0.5, writer_crashes = 0.1, pauses = 0.3, cuts = 0.3; // per second, in the whole fleet
  double losses = 0;          // per second: all voters, or most of them, at once
  bool spare_majority = true; // skip crashes that would leave fewer voters ready than a majority
  // A restarted member keeps its incarnation, which the protocol does not allow.
  bool reuse_incarnation = false;
  // If not 0, leases are not used: at this interval on average, a random member is told that it holds the
  // lease for the next 20 s. No holder is told that it has lost the lease, so several members write at once.
  Nanos random_holding = 0;
  bool quick_restart = false; // crashed members restart almost at once
  double puts = 20;           // per second
  // No new faults or puts after `quiet_after`, except for one last put at each member.
  Nanos quiet_after = 10 * second, length = 22 * second;
};

struct Verdict {
  std::uint64_t commits = 0, puts = 0, done = 0, refused = 0, unknown = 0, terms = 0, losses = 0,
                transfers = 0, starts = 0;
  int wrong = 0;             // violations
  bool majority_kept = true; // a majority of the voters always had its state
  std::string first;         // the first violation
};

class FleetOfReplicas {
  struct Member final : LeaseActions, ReplicaActions {
    FleetOfReplicas& fleet;
    MemberId self;
    std::uint64_t start_count = 0;
    std::unique_ptr<Voters> voters;
    std::unique_ptr<Leases> leases;
    std::unique_ptr<Replica> replica;
    double clock_rate = 1;
    Nanos clock_offset = 0, paused_until = 0, scheduled_wake = -1;
    bool up = false;
    std::vector<std::function<void()>> deferred; // events that arrived while it was paused
    std::vector<Token> superseded_by;            // tokens to pass to the leases after the action has returned
    Version last_committed{};                    // as seen by the checker

    Member(FleetOfReplicas& f, MemberId id) : fleet(f), self(id) {}
    Incarnation incarnation() const {
      return Incarnation{fleet.plan_.reuse_incarnation ? self.raw : self.raw * 1000 + start_count};
    }
    Nanos clock() const {
      return clock_offset + static_cast<Nanos>(static_cast<double>(fleet.now) * clock_rate);
    }
    Nanos true_time(Nanos at) const {
      return static_cast<Nanos>(static_cast<double>(at - clock_offset) / clock_rate) + 1;
    }
    template <class What>
    void to_leases(MemberId to, What what) {
      fleet.send(self, to, [what](Member& m, Nanos at) { what(*m.leases, at); });
    }
    template <class What>
    void to_replica(MemberId to, What what) {
      fleet.send(self, to, [what](Member& m, Nanos at) { what(*m.replica, at); });
    }

    // ---- LeaseActions
    void ask(MemberId voter, Epoch epoch, std::string_view l, AskNo n, Token t, Nanos term) override {
      to_leases(voter,
                [from = self, from_incarnation = incarnation(), epoch, l = std::string(l), n, t, term](
                    Leases& at, Nanos now) { at.asked(now, from, from_incarnation, epoch, l, n, t, term); });
    }
    void release(MemberId voter, std::string_view l, AskNo n) override {
      to_leases(voter, [from = self, from_incarnation = incarnation(), l = std::string(l),
                        n](Leases& at, Nanos now) { at.released(now, from, from_incarnation, l, n); });
    }
    void grant(MemberId to, Incarnation to_incarnation, std::string_view l, AskNo n, bool wanted) override {
      to_leases(to, [from = self, to_incarnation, l = std::string(l), n, wanted](Leases& at, Nanos now) {
        at.granted(now, from, to_incarnation, l, n, wanted);
      });
    }
    void refuse(MemberId to, Incarnation to_incarnation, std::string_view l, AskNo n, Token seen,
                Nanos left) override {
      to_leases(to, [from = self, to_incarnation, l = std::string(l), n, seen, left](Leases& at, Nanos now) {
        at.refused(now, from, to_incarnation, l, n, seen, left);
      });
    }
    void held(std::string_view, Token token, Nanos, Nanos until) override {
      replica->lease_held(clock(), token, until);
    }
    void lost(std::string_view, Token token, LossReason) override { replica->lease_lost(clock(), token); }

    // ---- ReplicaActions
    void prepare(MemberId to, Token token, std::uint32_t round) override {
      to_replica(to, [from = self, from_incarnation = incarnation(), token, round](Replica& at, Nanos now) {
        at.prepared(now, from, from_incarnation, token, round);
      });
    }
    void promise(MemberId to, Incarnation to_incarnation, Token token, std::uint32_t round,
                 const LogStatus& status) override {
      to_replica(to, [from = self, from_incarnation = incarnation(), to_incarnation, token, round,
                      status](Replica& at, Nanos now) {
        at.promised(now, from, from_incarnation, to_incarnation, token, round, status);
      });
    }
    void refuse(MemberId to, Incarnation to_incarnation, Token token, Token seen) override {
      to_replica(to, [from = self, from_incarnation = incarnation(), to_incarnation, token, seen](Replica& at,
                                                                                                  Nanos now) {
        at.refused(now, from, from_incarnation, to_incarnation, token, seen);
      });
    }
    void append(MemberId to, const Append& append) override {
      for (const Record& record : append.records) fleet.written(record);
      to_replica(to, [from = self, from_incarnation = incarnation(), append](Replica& at, Nanos now) {
        at.appending(now, from, from_incarnation, append);
      });
    }
    void appended(MemberId to, Incarnation to_incarnation, Token token, std::uint64_t sequence,
                  Version matched, bool gap) override {
      to_replica(to, [from = self, from_incarnation = incarnation(), to_incarnation, token, sequence, matched,
                      gap](Replica& at, Nanos now) {
        at.appended(now, from, from_incarnation, to_incarnation, token, sequence, matched, gap);
      });
    }
    void fetch(MemberId to, Token token, Version base, Version cursor, Token since) override {
      to_replica(to, [from = self, from_incarnation = incarnation(), token, base, cursor, since](Replica& at,
                                                                                                 Nanos now) {
        at.fetched(now, from, from_incarnation, token, base, cursor, since);
      });
    }
    void chunk(MemberId to, Incarnation to_incarnation, const Chunk& chunk) override {
      to_replica(
          to, [from = self, from_incarnation = incarnation(), to_incarnation, chunk](Replica& at, Nanos now) {
            at.chunked(now, from, from_incarnation, to_incarnation, chunk);
          });
    }
    void pass(MemberId to, Incarnation to_incarnation, Token token, const ForwardedPut& put) override {
      to_replica(to, [from = self, from_incarnation = incarnation(), to_incarnation, token, put](Replica& at,
                                                                                                 Nanos now) {
        at.passed(now, from, from_incarnation, to_incarnation, token, put);
      });
    }
    void answer(MemberId to, Incarnation to_incarnation, Token token, PutNumber put, PutOutcome end,
                Version version, std::string_view reason) override {
      to_replica(to, [from = self, from_incarnation = incarnation(), to_incarnation, token, put, end, version,
                      reason = std::string(reason)](Replica& at, Nanos now) {
        at.answered(now, from, from_incarnation, to_incarnation, token, put, end, version, reason);
      });
    }
    std::string rejection_reason(const Entry& entry) override {
      return entry.value == "bad" ? "it is bad" : "";
    }
    void committed(const Record& record) override { fleet.committed(*this, record); }
    void replaced() override { fleet.replaced(*this); }
    void ended(PutNumber put, PutOutcome end, Version version, std::string_view) override {
      fleet.ended(*this, put, end, version);
    }
    void began(Token token, bool after_loss) override { fleet.began(*this, token, after_loss); }
    void stepped_down(Token) override {}
    void superseded(Token, Token seen) override { superseded_by.push_back(seen); }
  };

  using PutId = std::tuple<MemberId, Incarnation, PutNumber>;
  struct PutState {
    std::string key;
    std::optional<Version> expected;
    std::optional<PutOutcome> end;
    Version done{}, written{};
  };
  struct CommittedVersion {   // a version in the total order, as first committed at any member
    Version before{};         // its predecessor
    std::uint64_t digest = 0; // of the state at this version
    std::size_t history = 0;  // see history_
  };

  Plan plan_;
  Pcg random_;
  Verdict verdict_;
  std::vector<std::unique_ptr<Member>> members_;
  std::set<MemberId> voter_ids_, all_ids_;
  std::set<std::pair<MemberId, MemberId>> cut_;
  std::map<Version, Record> written_;
  std::map<Version, CommittedVersion> committed_order_;
  Entries reference_;       // the state at head_
  Version head_{};          // the newest version of the total order
  std::size_t history_ = 0; // number of losses after which a new history began
  Token history_token_{}, newest_token_{};
  std::map<PutId, PutState> puts_;
  std::vector<PutId> last_puts_;
  bool formed_ = false; // at some time a majority of the voters has been ready
  using Event = std::pair<std::pair<Nanos, std::uint64_t>, std::function<void()>>;
  struct EarliestFirst {
    bool operator()(const Event& a, const Event& b) const { return a.first > b.first; }
  };
  std::priority_queue<Event, std::vector<Event>, EarliestFirst> event_queue_;
  std::uint64_t next_event_number_ = 0;
  std::uint64_t last_token_number_ = 100;

 public:
  Nanos now = 0;

  explicit FleetOfReplicas(const Plan& plan) : plan_(plan), random_(plan.seed), reference_(settings()) {
    // Members are assigned to regions in turn, so the voters are in different regions.
    for (unsigned m = 1; m <= plan.members; ++m) all_ids_.insert(MemberId{m});
    for (unsigned v = 1; v <= plan.voters; ++v) voter_ids_.insert(MemberId{v});
    for (unsigned m = 1; m <= plan.members; ++m) {
      members_.push_back(std::make_unique<Member>(*this, MemberId{m}));
      Member& one = *members_.back();
      one.clock_rate = 1 + plan.drift * plan.clock_error_factor * (random_.unit() < 0.5 ? -1 : 1) *
                               (0.5 + random_.unit() / 2);
      one.clock_offset = static_cast<Nanos>(random_.unit() * 1e15);
      start(one);
    }
    schedule_fault(plan.crashes, [this] { crash(random_member()); });
    schedule_fault(plan.writer_crashes, [this] {
      for (auto& one : members_)
        if (one->up && one->replica->is_writer(one->clock())) return crash(*one);
    });
    schedule_fault(plan.losses, [this] { crash_majority(); });
    schedule_fault(plan.pauses, [this] {
      const Nanos length = random_up_to(3 * plan_.term);
      pause(random_member(), length);
    });
    schedule_fault(plan.cuts, [this] { partition_network(); });
    if (plan.random_holding > 0) schedule_random_holding();
    schedule_put();
    // After the faults have ended, a put at each member has to succeed.
    schedule(plan.quiet_after + (plan.length - plan.quiet_after) * 3 / 4, [this] {
      for (auto& one : members_)
        if (one->up && one->paused_until <= now)
          last_puts_.push_back(put_at(*one, "last/" + name_of(*one), "v", {}));
    });
  }

  Verdict play() {
    while (!event_queue_.empty() && event_queue_.top().first.first <= plan_.length) {
      const auto what = std::move(const_cast<Event&>(event_queue_.top()).second);
      now = event_queue_.top().first.first;
      event_queue_.pop();
      what();
      track_majority();
    }
    check_final_state();
    return verdict_;
  }

 private:
  Settings settings() const {
    return {{"control.most_entries", 60.0},
            {"control.most_bytes", 3000.0},
            {"control.most_key", 100.0},
            {"control.most_value", 120.0},
            {"control.most_deleted", 6.0},
            {"control.beat", 100.0 * ms},
            {"control.again", 120.0 * ms},
            {"control.batch", 2.0 * ms},
            {"control.grace", 600.0 * ms},
            {"control.patience", 500.0 * ms},
            {"control.put_timeout", 3.0 * second},
            {"control.most_puts", 16.0},
            {"control.most_log", 24.0},
            {"control.most_pending", 12.0},
            {"control.most_batch", 100.0},
            {"control.most_batches", 4.0}};
  }
  static std::string name_of(const Member& one) { return std::to_string(one.self.raw); }
  static std::string name_of(Version v) {
    char text[64];
    std::snprintf(text, sizeof text, "%llx.%llu", static_cast<unsigned long long>(v.token.raw),
                  static_cast<unsigned long long>(v.number));
    return text;
  }
  Nanos random_up_to(Nanos limit) { return static_cast<Nanos>(random_.unit() * static_cast<double>(limit)); }
  Member& random_member() { return *members_[random_.next() % members_.size()]; }
  void schedule(Nanos when, std::function<void()> what) {
    event_queue_.push({{std::max(when, now), next_event_number_++}, std::move(what)});
  }
  bool faults() const { return now < plan_.quiet_after; }
  void report_violation(const std::string& what) {
    ++verdict_.wrong;
    if (verdict_.first.empty()) verdict_.first = std::to_string(now / ms) + " ms: " + what;
  }
  void schedule_fault(double rate, std::function<void()> what) {
    if (rate <= 0) return;
    schedule(now + static_cast<Nanos>(2 * random_.unit() / rate * static_cast<double>(second)),
             [this, rate, what] {
               if (!faults()) return;
               what();
               schedule_fault(rate, what);
             });
  }
  std::size_t majority() const { return plan_.voters / 2 + 1; }
  std::size_t ready_voters() const {
    return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [&](const auto& one) {
      return voter_ids_.contains(one->self) && one->up && one->replica->ready();
    }));
  }

  // ---- starts and crashes

  void start(Member& one) {
    ++one.start_count;
    ++verdict_.starts;
    one.up = true;
    one.deferred.clear();
    one.superseded_by.clear();
    one.paused_until = 0;
    one.last_committed = {};
    const double settle = static_cast<double>(plan_.term) * (1 + plan_.drift) / (1 - plan_.drift);
    one.voters = std::make_unique<Voters>(one.clock(), one.self, VoterList{Epoch{1}, voter_ids_, {}},
                                          static_cast<Nanos>(settle) + 1);
    const Settings leases{{"leases.term", static_cast<double>(plan_.term)},
                          {"leases.longest_term", static_cast<double>(plan_.term)},
                          {"leases.drift", plan_.drift},
                          {"leases.first_token", static_cast<double>(now / ms)},
                          {"leases.most", 16.0}};
    one.leases = std::make_unique<Leases>(one.clock(), one.self, one.incarnation(), *one.voters, leases,
                                          plan_.seed * 1000 + one.self.raw * 50 + one.start_count, one);
    one.replica = std::make_unique<Replica>(one.clock(), one.self, one.incarnation(), all_ids_, voter_ids_,
                                            settings(), one);
    one.scheduled_wake = -1;
    if (plan_.random_holding == 0) one.leases->acquire(one.clock(), control_lease);
    schedule_wake(one);
  }
  // Tells a member that it holds the lease. `back`: how far its token number is behind the newest one.
  void hold_lease(Member& one, std::uint64_t back) {
    last_token_number_ += 3;
    one.replica->lease_held(one.clock(), Token{(last_token_number_ - back) << 16 | one.self.raw},
                            one.clock() + 20 * second);
    schedule_wake(one);
  }
  void schedule_random_holding() {
    schedule(now + random_up_to(2 * plan_.random_holding), [this] {
      // After the faults there is one last holder. Before, a token may be older than one already in use.
      if (!faults())
        return schedule(plan_.quiet_after + 4 * plan_.term, [this] { hold_lease(*members_.front(), 0); });
      Member& one = random_member();
      run_or_defer(one,
                   [this, &one] { hold_lease(one, random_.unit() < 0.1 ? 3 * (random_.next() % 3) : 0); });
      schedule_random_holding();
    });
  }
  void crash(Member& one, bool keep_majority = true) {
    if (!one.up) return;
    if (keep_majority && plan_.spare_majority && voter_ids_.contains(one.self) &&
        ready_voters() - (one.replica->ready() ? 1 : 0) < majority())
      return;
    one.up = false;
    one.replica.reset();
    one.leases.reset();
    const bool soon = plan_.quick_restart || random_.unit() < 0.5;
    schedule(now + random_up_to(plan_.quick_restart ? 20 * ms
                                : soon              ? plan_.term / 4
                                                    : 3 * plan_.term),
             [this, &one] {
               if (!one.up) start(one);
             });
  }
  void crash_majority() {
    ++verdict_.losses;
    const bool all = random_.unit() < 0.3;
    std::size_t remaining = all ? plan_.members : majority();
    for (auto& one : members_)
      if (remaining > 0 && (all || voter_ids_.contains(one->self))) crash(*one, false), --remaining;
  }
  void pause(Member& one, Nanos length) {
    if (!one.up || one.paused_until > now) return;
    one.paused_until = now + length;
    schedule(one.paused_until, [&one, start_count = one.start_count] {
      if (!one.up || one.start_count != start_count) return;
      const auto events = std::move(one.deferred);
      one.deferred.clear();
      for (const auto& what : events) what();
    });
  }
  // Separates a random half of the members, or one region, from the others, in one direction or in both.
  void partition_network() {
    const double direction = random_.unit();
    const bool region = random_.unit() < 0.5;
    const unsigned which = random_.next() % plan_.regions;
    std::set<MemberId> side;
    for (auto& one : members_)
      if (region ? one->self.raw % plan_.regions == which : random_.unit() < 0.5) side.insert(one->self);
    std::set<std::pair<MemberId, MemberId>> affected;
    for (auto& a : members_)
      for (auto& b : members_) {
        const bool out = side.contains(a->self) && !side.contains(b->self);
        const bool in = !side.contains(a->self) && side.contains(b->self);
        if ((out && direction < 0.7) || (in && direction > 0.3)) affected.emplace(a->self, b->self);
      }
    cut_.insert(affected.begin(), affected.end());
    schedule(now + random_up_to(4 * plan_.term), [this, affected] {
      for (const auto& one : affected) cut_.erase(one);
    });
  }

  // ---- messages

  void send(MemberId from, MemberId to, std::function<void(Member&, Nanos)> what) {
    const bool faults_active = faults();
    const int copies = faults_active && random_.unit() < plan_.duplicated ? 2 : 1;
    for (int c = 0; c < copies; ++c) {
      if (faults_active && random_.unit() < plan_.lost) continue;
      const bool same_region = from.raw % plan_.regions == to.raw % plan_.regions;
      Nanos latency = ms + random_up_to(same_region ? 2 * ms : 30 * ms);
      if (faults_active && random_.unit() < plan_.delayed) latency = random_up_to(3 * plan_.term);
      schedule(now + latency, [this, from, to, what] {
        if (cut_.contains({from, to})) return;
        Member& one = *members_[to.raw - 1];
        run_or_defer(one, [this, &one, what] {
          what(one, one.clock());
          schedule_wake(one);
        });
      });
    }
  }
  // At once, or when the pause ends; dropped after a restart.
  void run_or_defer(Member& one, std::function<void()> what) {
    if (!one.up) return;
    if (one.paused_until > now)
      one.deferred.push_back(std::move(what));
    else
      what();
  }
  void schedule_wake(Member& one) {
    while (!one.superseded_by.empty()) {
      const Token seen = one.superseded_by.back();
      one.superseded_by.pop_back();
      one.leases->refused_by_target(one.clock(), control_lease, seen);
    }
    Nanos next = one.leases->next_wake();
    if (const Nanos other = one.replica->next_wake(); other >= 0 && (next < 0 || other < next)) next = other;
    if (next < 0 || next == one.scheduled_wake) return;
    one.scheduled_wake = next;
    schedule(one.true_time(next), [this, &one, next, start_count = one.start_count] {
      if (one.start_count != start_count || one.scheduled_wake != next) return;
      run_or_defer(one, [this, &one] {
        one.scheduled_wake = -1;
        one.leases->due(one.clock());
        one.replica->due(one.clock());
        schedule_wake(one);
      });
    });
  }

  // ---- puts

  void schedule_put() {
    schedule(now + random_up_to(static_cast<Nanos>(2.0 / plan_.puts * static_cast<double>(second))), [this] {
      if (!faults()) return;
      Member& one = random_member();
      if (one.up && one.paused_until <= now) {
        const unsigned which = random_.next() % 40;
        const std::string key = "s" + std::to_string(which % 4) + "/k" + std::to_string(which);
        const double kind = random_.unit();
        std::optional<Version> expected;
        if (random_.unit() < 0.3) {
          const Entry* held = one.replica->entries().find(key);
          expected = held && !held->deleted ? held->version : Version{};
        }
        if (kind < 0.25)
          put_at(one, key, {}, expected, true);
        else
          put_at(one, key, kind < 0.28 ? "bad" : std::string(random_.next() % 100, 'v'), expected);
        schedule_wake(one);
      }
      schedule_put();
    });
  }
  PutId put_at(Member& one, const std::string& key, std::string value, std::optional<Version> expected,
               bool deleted = false) {
    // The put may end within the call, so it is registered with the checker first.
    const PutId id{one.self, one.incarnation(), PutNumber{one.replica->status().total_puts + 1}};
    puts_[id] = {key, expected, std::nullopt, {}, {}};
    if (one.replica->put(one.clock(), key, std::move(value), deleted, expected).raw == 0)
      puts_.erase(id);
    else
      ++verdict_.puts;
    schedule_wake(one);
    return id;
  }

  // ---- the checker

  void written(const Record& record) {
    const auto [at, inserted] = written_.emplace(record.entry.version, record);
    if (!inserted && at->second != record)
      report_violation("two entries under " + name_of(record.entry.version));
  }
  static std::uint64_t digest_of(const Entries& entries) {
    std::uint64_t sum = 0;
    for (const std::string& scope : entries.scopes()) sum += entries.digest(scope);
    return sum;
  }
  void committed(Member& one, const Record& record) {
    ++verdict_.commits;
    written(record);
    const Version version = record.entry.version;
    if (version <= one.last_committed)
      report_violation("member " + name_of(one) + " goes back to " + name_of(version));
    auto known = committed_order_.find(version);
    if (known == committed_order_.end() || known->second.history != history_) {
      // The first commit of this version anywhere: it has to follow everything that was committed before, or
      // the state from which a new history began.
      if (one.last_committed != head_) {
        if (history_ == 0 || version.token >= history_token_)
          report_violation("member " + name_of(one) + " commits " + name_of(version) + " after " +
                           name_of(one.last_committed) + ", the order is at " + name_of(head_));
        return void(one.last_committed = version);
      }
      check_put(record);
      reference_.apply(record.entry);
      head_ = version;
      known = committed_order_
                  .insert_or_assign(version,
                                    CommittedVersion{one.last_committed, digest_of(reference_), history_})
                  .first;
    }
    if (known->second.before != one.last_committed)
      report_violation("member " + name_of(one) + " commits " + name_of(version) + " after " +
                       name_of(one.last_committed) + ", others after " + name_of(known->second.before));
    else if (known->second.digest != digest_of(one.replica->entries()))
      report_violation("member " + name_of(one) + " has a different state at " + name_of(version));
    one.last_committed = version;
  }
  void check_put(const Record& record) {
    if (record.put.raw == 0) return;
    const auto put = puts_.find({record.entry.writer, record.writer_incarnation, record.put});
    if (put == puts_.end()) return report_violation("a put that nobody made");
    PutState& p = put->second;
    if (p.written != Version{})
      report_violation("a put committed twice, " + name_of(p.written) + " and " +
                       name_of(record.entry.version));
    p.written = record.entry.version;
    const Entry* held = reference_.find(record.entry.key);
    if (p.expected && (held && !held->deleted ? held->version != *p.expected : *p.expected != Version{}))
      report_violation("a conditional put over a changed entry, " + name_of(p.written));
    if (p.end == PutOutcome::refused)
      report_violation("a refused put that is committed, " + name_of(record.entry.version));
  }
  void replaced(Member& one) {
    ++verdict_.transfers;
    const Version version = one.replica->committed();
    if (version < one.last_committed)
      report_violation("member " + name_of(one) + " goes back to " + name_of(version));
    const auto known = committed_order_.find(version);
    const bool unknown_version = known == committed_order_.end();
    // For a version from before a loss, only the state at its first commit is known. The current history may
    // have another state at that version, or may not contain it.
    const bool comparable = history_ == 0 || version.token >= history_token_;
    if (version != Version{} && comparable &&
        (unknown_version || known->second.digest != digest_of(one.replica->entries())))
      report_violation("member " + name_of(one) + " received a different state by transfer at " +
                       name_of(version));
    one.last_committed = version;
  }
  void ended(Member& one, PutNumber number, PutOutcome end, Version version) {
    const auto put = puts_.find({one.self, one.incarnation(), number});
    if (put == puts_.end() || put->second.end) return report_violation("an answer without a put");
    PutState& p = put->second;
    p.end = end;
    p.done = version;
    if (end == PutOutcome::done) {
      ++verdict_.done;
      if (p.written != version)
        report_violation("a put answered as done at " + name_of(version) + " that is not committed there");
    } else if (end == PutOutcome::refused) {
      ++verdict_.refused;
      if (p.written != Version{}) report_violation("a committed put that is answered as refused");
    } else {
      ++verdict_.unknown;
    }
  }
  void began(Member& one, Token token, bool after_loss) {
    ++verdict_.terms;
    // A writer that begins late, under an older token than another one, can commit nothing.
    if (token < newest_token_) return;
    newest_token_ = token;
    if (!after_loss || head_ == Version{}) return;
    // Until a majority of the voters has been ready once, `track_majority` does not detect a loss.
    if (!formed_) verdict_.majority_kept = false;
    if (verdict_.majority_kept) return report_violation("a new history although a majority had its state");
    // The new history starts from this writer's state.
    ++history_;
    history_token_ = token;
    reference_ = Entries(settings());
    one.replica->entries().for_each_since({}, one.replica->committed(), {}, [&](const Entry& entry) {
      reference_.apply(entry);
      return true;
    });
    head_ = one.last_committed = one.replica->committed();
    for (auto& [id, put] : puts_)
      if (put.written > head_) put.written = {}; // the write is lost
  }
  void track_majority() {
    const std::size_t ready_count = ready_voters();
    if (ready_count >= majority()) formed_ = true;
    if (formed_ && ready_count < majority()) verdict_.majority_kept = false;
  }
  void check_final_state() {
    const Member* first = nullptr;
    for (auto& one : members_) {
      if (!one->up || !one->replica->ready()) {
        report_violation("member " + name_of(*one) + " has no state in the end");
        continue;
      }
      if (!first) first = one.get();
      if (one->replica->committed() != first->replica->committed() ||
          digest_of(one->replica->entries()) != digest_of(first->replica->entries()))
        report_violation("members " + name_of(*one) + " and " + name_of(*first) + " differ in the end");
      if (one->replica->entries_without_room() > 0) report_violation("no room for committed entries");
      if (one->replica->status().puts > 0) report_violation("puts without an outcome");
    }
    for (const PutId& id : last_puts_)
      if (const auto put = puts_.find(id); put == puts_.end() || put->second.end != PutOutcome::done)
        report_violation("a put after the faults is not done");
    if (first && first->replica->committed() != head_)
      report_violation("the newest committed version is missing");
  }
};
