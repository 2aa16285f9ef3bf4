// Simulates control members at different versions and the servers that follow them in one process,
// deterministically from a seed. A connection delivers in order; of the messages of one topic that are not
// yet sent, it keeps only the newest. When a connection breaks, messages in transit are lost, delayed or
// duplicated. Both sides restart; control members pause, stop sending, lag, become inactive and are activated
// again, sometimes at an older version than before. The checker knows every write, everything that each
// server has received since its start, and the size of every message.
#pragma once

#include "feed.hpp"
#include "follower.hpp"

#include <cstdio>
#include <memory>
#include <queue>
#include <utility>

using namespace cometshift;

constexpr Nanos ms = 1'000'000;
constexpr Nanos second = 1000 * ms;

struct Plan {
  std::uint64_t seed = 1;
  unsigned controls = 5, servers = 30, zones = 4, scopes = 10, keys = 6; // keys: per scope
  double commits = 8, bursts = 0.1;                                      // per second; a burst is 100 commits
  double deleted = 0.2, bad = 0.05;                                      // fractions of the commits
  // Per second: single connections that break; control members that lose all connections in one direction or
  // in both.
  double link_breaks = 10, cuts = 0.3;
  double control_restarts = 0.5, deactivations = 0.2, pauses = 0.3,
         muted_periods = 0.1;                      // per second, of control members
  double server_restarts = 1, scope_changes = 0.3; // per second, of servers
  double zone_restarts = 0.05;                     // per second: all servers of a zone restart at once
  double lag = 0.2; // fraction of the commits that reach a control member up to 2 s late
  // delay: the longest usual delay of a message or commit; length: of the run; quiet_after: no new faults
  // from then on
  Nanos delay = 60 * ms, length = 24 * second, quiet_after = 10 * second;
  Nanos faults_last = 4 * second;     // the longest duration of a fault
  Nanos converge_within = 6 * second; // after the last fault
  std::size_t most_whole = 3;         // concurrent renewals of one control member
  bool small_parts = true;            // small messages and bursts, so that renewals take several parts
};

struct Verdict {
  std::string first; // the first violation
  // taken: states applied by servers
  std::uint64_t commits = 0, taken = 0, states_checked = 0, server_starts = 0;
  Feed::Counts feed;
  Follower::Counts follower;
  Nanos converged_after = -1; // time from the last fault until all servers are up to date
  // Delays from each commit to each server that follows its scope, in runs without faults.
  std::vector<Nanos> gaps;
  std::size_t most_renewals = 0;
};

class FleetOfFollowers {
  struct Control;
  struct Server;
  using Event = std::pair<std::pair<Nanos, std::uint64_t>, std::function<void()>>;
  struct EarliestFirst {
    bool operator()(const Event& a, const Event& b) const { return a.first > b.first; }
  };
  struct Link { // in one direction
    bool up = true;
    int epoch = 0;                                // increased whenever the connection breaks
    std::map<int, std::function<void()>> waiting; // by topic: the newest message not yet sent
    bool flush_scheduled = false;
    Nanos last = 0; // the arrival time of the last message
  };
  struct Bucket { // the checker's copy of a token bucket
    double tokens = -1;
    Nanos at = 0;
  };

  struct Control final : FeedActions {
    FleetOfFollowers& fleet;
    MemberId id;
    std::string region, zone;
    std::unique_ptr<Entries> state;
    std::unique_ptr<Feed> feed;
    std::size_t arrived = 0, position = 0; // in the log: received; applied
    Nanos last_arrival = 0, paused_until = 0, scheduled_wake = -1;
    bool muted = false;
    std::uint64_t start_count = 0;
    std::map<MemberId, Bucket> credit;           // by server
    std::set<MemberId> renewing;                 // servers with a renewal in progress
    std::vector<std::function<void()>> deferred; // events that arrived during a pause

    Control(FleetOfFollowers& f, MemberId i) : fleet(f), id(i) {}
    void send(MemberId to, int topic, std::function<void(Follower&)> what) {
      if (!muted) fleet.to_server(*this, to, topic, std::move(what));
    }
    static std::vector<Entry> copy_entries(const std::vector<const Entry*>& entries) {
      std::vector<Entry> all;
      for (const Entry* entry : entries) all.push_back(*entry);
      return all;
    }
    // Charges a message to the credit of its receiver.
    void charge(MemberId to, const std::vector<const Entry*>& entries) {
      std::size_t bytes = message_overhead;
      for (const Entry* entry : entries) bytes += max_encoded_size(*entry);
      fleet.check_credit(*this, to, bytes);
    }
    void delta(MemberId to, Incarnation incarnation, AttachmentNumber n, Version from, Version upto,
               Version last, Nanos age, const std::vector<const Entry*>& entries) override {
      charge(to, entries);
      send(to, 1,
           [id = id, incarnation, n, from, upto, last, age, all = copy_entries(entries),
            &f = fleet](Follower& at) { at.delta(f.now, id, incarnation, n, from, upto, last, age, all); });
    }
    void renewal(MemberId to, Incarnation incarnation, AttachmentNumber n, Version at,
                 const std::vector<std::uint16_t>& scopes, Version from, Version upto, Version last,
                 const std::vector<const Entry*>& entries) override {
      charge(to, entries);
      renewing.insert(to);
      send(to, 1, [=, id = id, all = copy_entries(entries), &f = fleet](Follower& one) {
        one.renewal(f.now, id, incarnation, n, at, scopes, from, upto, last, all);
      });
    }
    void beat(MemberId to, Incarnation incarnation, AttachmentNumber n, Version committed,
              Nanos age) override {
      charge(to, {});
      send(to, 2, [id = id, incarnation, n, committed, age, &f = fleet](Follower& at) {
        at.beat(f.now, id, incarnation, n, committed, age);
      });
    }
    void rest(MemberId to, Incarnation incarnation, AttachmentNumber n, Nanos rest) override {
      charge(to, {});
      send(to, 3, [id = id, incarnation, n, rest, &f = fleet](Follower& at) {
        at.rest(f.now, id, incarnation, n, rest);
      });
    }
    void elsewhere(MemberId to, Incarnation incarnation, AttachmentNumber n) override {
      send(to, 4,
           [id = id, incarnation, n, &f = fleet](Follower& at) { at.elsewhere(f.now, id, incarnation, n); });
    }
    void again(MemberId to, Incarnation incarnation, AttachmentNumber n) override {
      send(to, 4,
           [id = id, incarnation, n, &f = fleet](Follower& at) { at.again(f.now, id, incarnation, n); });
    }
  };

  struct Server final : FollowerActions {
    FleetOfFollowers& fleet;
    MemberId id;
    Follower::Location place;
    std::vector<std::string> scopes;
    std::unique_ptr<Follower> follower;
    std::uint64_t start_count = 0;
    Nanos scheduled_wake = -1;
    Version last{}; // as last applied
    // By key: the newest version received, and the value that has to be in force.
    std::map<std::string, Version, std::less<>> known_versions;
    std::map<std::string, std::string, std::less<>> expected_values;

    Server(FleetOfFollowers& f, MemberId i) : fleet(f), id(i) {}
    Incarnation incarnation() const { return Incarnation{id.raw * 1000 + start_count}; }
    void send(MemberId to, int topic, std::function<void(Feed&)> what) {
      fleet.to_control(*this, to, topic, std::move(what));
    }
    void follow(MemberId to, AttachmentNumber n, bool primary, const Position& at,
                const std::vector<FollowedScope>& held) override {
      send(to, 1, [id = id, incarnation = incarnation(), n, primary, at, held, &f = fleet](Feed& feed) {
        feed.follow(f.now, id, incarnation, n, primary, at, held);
      });
    }
    void unfollow(MemberId to, AttachmentNumber n) override {
      send(to, 1, [id = id, incarnation = incarnation(), n, &f = fleet](Feed& feed) {
        feed.unfollow(f.now, id, incarnation, n);
      });
    }
    void have(MemberId to, AttachmentNumber n, const Position& at) override {
      send(to, 2, [id = id, incarnation = incarnation(), n, at, &f = fleet](Feed& feed) {
        feed.have(f.now, id, incarnation, n, at);
      });
    }
    void compare(MemberId to, AttachmentNumber n, Version at,
                 const std::vector<std::uint64_t>& digests) override {
      send(to, 3, [id = id, incarnation = incarnation(), n, at, digests, &f = fleet](Feed& feed) {
        feed.compare(f.now, id, incarnation, n, at, digests);
      });
    }
    bool refuses(std::string_view value) const { return id.raw % 2 == 1 && value.starts_with("bad"); }
    std::string check(const Entry& entry) override { return refuses(entry.value) ? "bad" : ""; }
    void refused(const Entry& entry, std::string_view) override {
      if (!refuses(entry.value)) fleet.report_violation(id, "refused an entry that it can use");
    }
    void applied(Version version, const std::vector<const Entry*>& changed) override {
      fleet.taken(*this, version, changed);
    }
    void left(MemberId, LeaveReason) override {}
  };

  Plan plan_;
  Pcg random_;
  Verdict verdict_;
  std::vector<std::unique_ptr<Control>> controls_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::map<std::pair<MemberId, MemberId>, Link> links_;
  std::vector<Entry> log_;
  std::vector<Nanos> log_times_;
  std::map<Version, std::size_t> log_index_; // positions in the log, from 1
  std::map<std::string, std::map<std::string, std::vector<std::size_t>>>
      history_by_key_; // positions by scope and key
  Version version_{Token{1}, 0};
  std::priority_queue<Event, std::vector<Event>, EarliestFirst> event_queue_;
  std::uint64_t next_event_number_ = 0;

 public:
  Nanos now = 0;

  explicit FleetOfFollowers(const Plan& plan) : plan_(plan), random_(plan.seed) {
    for (unsigned c = 1; c <= plan.controls; ++c) {
      controls_.push_back(std::make_unique<Control>(*this, MemberId{c}));
      controls_.back()->zone = "z" + std::to_string(c % plan.zones);
      controls_.back()->region = "r" + std::to_string(c % plan.zones / 2);
    }
    for (unsigned s = 0; s < plan.servers; ++s) {
      servers_.push_back(std::make_unique<Server>(*this, MemberId{100 + s}));
      servers_.back()->place = {"r" + std::to_string(s % plan.zones / 2),
                                "z" + std::to_string(s % plan.zones)};
    }
    for (auto& one : controls_) start(*one);
    for (auto& one : servers_) {
      one->scopes = random_scopes();
      start(*one);
    }
    schedule_fault(plan.commits, [this] { commit(); });
    schedule_fault(plan.bursts, [this] {
      for (int i = 0; i < 100; ++i) commit();
    });
    schedule_fault(plan.link_breaks, [this] { break_link(random_of(links_).first, second / 2); });
    schedule_fault(plan.cuts, [this] { cut(*random_of(controls_)); });
    schedule_fault(plan.control_restarts, [this] { start(*random_of(controls_)); });
    schedule_fault(plan.deactivations, [this] { deactivate(*random_of(controls_)); });
    schedule_fault(plan.pauses,
                   [this] { random_of(controls_)->paused_until = now + random_up_to(3 * second); });
    schedule_fault(plan.muted_periods, [this] { mute(*random_of(controls_)); });
    schedule_fault(plan.server_restarts, [this] { start(*random_of(servers_)); });
    schedule_fault(plan.scope_changes, [this] { change_scopes(*random_of(servers_)); });
    schedule_fault(plan.zone_restarts, [this] {
      const std::string zone = random_of(servers_)->place.zone;
      for (auto& one : servers_)
        if (one->place.zone == zone) start(*one);
    });
    confirm_current_members();
    schedule(plan.quiet_after + plan.faults_last, [this] { await_convergence(); });
  }

  Verdict play() {
    while (!event_queue_.empty() && event_queue_.top().first.first <= plan_.length &&
           verdict_.first.empty()) {
      const auto what = std::move(const_cast<Event&>(event_queue_.top()).second);
      now = event_queue_.top().first.first;
      event_queue_.pop();
      what();
    }
    for (auto& one : servers_) {
      if (verdict_.first.empty()) check_state(*one);
      add(verdict_.follower, one->follower->counts());
    }
    if (verdict_.converged_after < 0 || verdict_.converged_after > plan_.converge_within)
      report_violation({}, "not all servers are up to date in time");
    for (auto& one : controls_) add(verdict_.feed, one->feed->counts());
    if (verdict_.feed.invalid + verdict_.follower.invalid > 0)
      report_violation({}, "invalid messages were sent");
    return verdict_;
  }

 private:
  Nanos random_up_to(Nanos limit) { return static_cast<Nanos>(random_.unit() * static_cast<double>(limit)); }
  template <class All>
  typename All::reference random_of(All& all) {
    return *std::next(all.begin(), static_cast<std::ptrdiff_t>(random_.next() % all.size()));
  }
  void schedule(Nanos when, std::function<void()> what) {
    event_queue_.push({{std::max(when, now), next_event_number_++}, std::move(what)});
  }
  bool faults() const { return now < plan_.quiet_after; }
  void report_violation(MemberId member, const std::string& what) {
    if (verdict_.first.empty())
      verdict_.first = std::to_string(now / ms) + " ms: " + std::to_string(member.raw) + " " + what;
  }
  template <class Counts>
  static void add(Counts& sum, const Counts& more) { // for structs that consist of 64-bit counters only
    constexpr std::size_t count = sizeof(Counts) / sizeof(std::uint64_t);
    auto* const to = reinterpret_cast<std::uint64_t*>(&sum);
    const auto* const from = reinterpret_cast<const std::uint64_t*>(&more);
    for (std::size_t i = 0; i < count; ++i) to[i] += from[i];
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
  Settings settings() const {
    const bool small = plan_.small_parts;
    return {{"control.beat", 500e6},      {"control.silent", 1600e6},
            {"control.answer", 400e6},    {"control.most_part", small ? 700.0 : 7000.0},
            {"control.rate", 5000.0},     {"control.burst", small ? 5000.0 : 24000.0},
            {"control.total_rate", 50e3}, {"control.total_burst", small ? 8e3 : 48e3},
            {"control.most_key", 40.0},   {"control.most_value", 200.0},
            {"control.behind", 1e9},      {"control.most_followers", 64.0},
            {"control.settle", 2e9},      {"control.most_whole", static_cast<double>(plan_.most_whole)},
            {"control.rest_least", 1e8},  {"control.rest_most", 1.5e9},
            {"control.compare", 2e9},     {"control.most_entries", 500.0},
            {"control.most_bytes", 1e5},  {"control.most_deleted", 6.0}};
  }

  // ---- writes, and their arrival at the control members

  void commit() {
    // From time to time another member becomes the writer, and the numbers start again under a new token.
    if (random_.unit() < 0.03) version_ = {Token{version_.token.raw + 1 + random_.next() % 3}, 0};
    ++version_.number;
    const std::string scope = "s" + std::to_string(random_.next() % plan_.scopes);
    Entry entry{scope + "/k" + std::to_string(random_.next() % plan_.keys), "", version_, MemberId{1}, false};
    entry.deleted = random_.unit() < plan_.deleted;
    if (!entry.deleted) {
      const std::string filling(random_.next() % 60, 'x');
      const char* const prefix = random_.unit() < plan_.bad ? "bad" : "v";
      entry.value = prefix + std::to_string(log_.size()) + filling;
    }
    log_.push_back(entry);
    log_times_.push_back(now);
    log_index_[version_] = log_.size();
    history_by_key_[scope][entry.key].push_back(log_.size());
    ++verdict_.commits;
    for (auto& one : controls_) {
      Nanos latency = ms + random_up_to(plan_.delay);
      if (faults() && random_.unit() < plan_.lag) latency = random_up_to(2 * second);
      one->last_arrival = std::max(one->last_arrival, now + latency);
      schedule(one->last_arrival, [this, &c = *one, upto = log_.size()] {
        c.arrived = std::max(c.arrived, upto);
        run_or_defer(c, [this, &c] { catch_up(c); });
      });
    }
  }
  void catch_up(Control& c) {
    if (c.feed->is_inactive()) return;
    for (; c.position < c.arrived; ++c.position) {
      c.state->apply(log_[c.position]);
      c.feed->committed(now, log_[c.position]);
    }
    after_event(c);
  }
  // Stands for the heartbeats of the writer: tells up-to-date control members that they are.
  void confirm_current_members() {
    for (auto& one : controls_)
      if (one->position == log_.size() && !one->feed->is_inactive()) one->feed->confirm_current(now);
    schedule(now + 200 * ms, [this] { confirm_current_members(); });
  }

  // ---- control members

  void start(Control& c) {
    if (c.feed) add(verdict_.feed, c.feed->counts());
    ++c.start_count;
    c.deferred.clear();
    c.credit.clear();
    c.renewing.clear();
    c.paused_until = 0;
    c.scheduled_wake = -1;
    c.feed.reset();
    c.state = std::make_unique<Entries>(settings());
    c.feed = std::make_unique<Feed>(now, *c.state, settings(),
                                    plan_.seed * 100 + c.id.raw * 17 + c.start_count, c);
    schedule(now + random_up_to(faults() && c.start_count > 1 ? 2 * second : 10 * ms),
             [this, &c, start_count = c.start_count] {
               if (c.start_count == start_count) load_state(c);
             });
  }
  // Loads the newest state that has arrived, or an older one, without tombstones.
  void load_state(Control& c) {
    if (!c.feed->is_inactive()) return;
    c.state->clear();
    c.position = c.arrived - std::min<std::size_t>(c.arrived, random_.next() % 2 * (random_.next() % 30));
    for (const auto& [scope, keys] : history_by_key_)
      for (const auto& [key, positions] : keys)
        if (const std::size_t position = newest(positions, c.position);
            position > 0 && !log_[position - 1].deleted)
          c.state->apply(log_[position - 1]);
    if (c.position > 0) {
      c.state->advance_to(log_[c.position - 1].version);
      c.state->raise_floor(log_[c.position - 1].version);
    }
    c.feed->activate(now);
    schedule(now + random_up_to(second), [this, &c] { run_or_defer(c, [this, &c] { catch_up(c); }); });
    after_event(c);
  }
  void deactivate(Control& c) {
    if (c.feed->is_inactive()) return;
    c.feed->deactivate(now);
    after_event(c);
    schedule(now + random_up_to(2 * second), [this, &c, start_count = c.start_count] {
      if (c.start_count == start_count) load_state(c);
    });
  }
  void mute(Control& c) {
    c.muted = true;
    schedule(now + random_up_to(4 * second), [&c] { c.muted = false; });
  }
  // Breaks the connections of a control member, in one direction or in both.
  void cut(Control& c) {
    const double direction = random_.unit();
    std::vector<std::pair<MemberId, MemberId>> affected;
    for (auto& [ends, link] : links_)
      if ((ends.first == c.id && direction < 0.7) || (ends.second == c.id && direction > 0.3))
        affected.push_back(ends);
    for (const auto& ends : affected) break_link(ends, 3 * second);
  }
  void break_link(std::pair<MemberId, MemberId> ends, Nanos longest) {
    Link& link = links_.at(ends);
    ++link.epoch;
    link.up = false;
    if (random_.unit() < 0.5) link.waiting.clear();
    schedule(now + random_up_to(longest), [this, &link, ends] {
      link.up = true;
      link.last = now;
      flush(ends);
    });
  }
  // At once, or when the pause ends; dropped after a restart.
  void run_or_defer(Control& c, std::function<void()> what) {
    if (c.paused_until <= now && c.deferred.empty()) return what();
    if (c.deferred.empty())
      schedule(c.paused_until, [&c, start_count = c.start_count] {
        if (c.start_count != start_count) return;
        const auto deferred = std::exchange(c.deferred, {});
        for (const auto& one : deferred) one();
      });
    c.deferred.push_back([&c, start_count = c.start_count, what = std::move(what)] {
      if (c.start_count == start_count) what();
    });
  }
  // Runs what is due, checks the limit on renewals, and schedules the next wake.
  void after_event(Control& c) {
    c.feed->due(now);
    if (!c.renewing.empty()) {
      std::set<MemberId> still_renewing;
      for (const Feed::Status& one : c.feed->status())
        if (one.renewing) still_renewing.insert(one.member);
      std::erase_if(c.renewing, [&](MemberId one) { return !still_renewing.contains(one); });
      verdict_.most_renewals = std::max({verdict_.most_renewals, c.renewing.size(), c.feed->renewals()});
      if (verdict_.most_renewals > plan_.most_whole) report_violation(c.id, "runs too many renewals at once");
    }
    const Nanos next = c.feed->next_wake();
    if (next < 0 || next == c.scheduled_wake) return;
    c.scheduled_wake = next;
    schedule(next, [this, &c, next, start_count = c.start_count] {
      if (c.start_count != start_count || c.scheduled_wake != next) return;
      c.scheduled_wake = -1;
      run_or_defer(c, [this, &c] { after_event(c); });
    });
  }
  // Checks that over any period, a server is sent no more bytes than the burst plus the rate times the
  // period.
  void check_credit(Control& c, MemberId to, std::size_t bytes) {
    // Bytes per second; bytes. As control.rate and control.burst in `settings`.
    const double rate = 5000, burst = plan_.small_parts ? 5000 : 24000;
    Bucket& bucket = c.credit[to];
    if (bucket.tokens < 0)
      bucket.tokens = burst;
    else
      bucket.tokens = std::min(burst, bucket.tokens + rate * static_cast<double>(now - bucket.at) / 1e9);
    bucket.at = now;
    bucket.tokens -= static_cast<double>(bytes);
    if (bucket.tokens < -1) report_violation(c.id, "sends a server more than its credit");
    bucket.tokens = std::max(bucket.tokens, 0.0);
  }

  // ---- servers

  std::vector<std::string> random_scopes() {
    std::set<std::string> some;
    for (std::uint32_t i = 0, count = 1 + random_.next() % 4; i < count; ++i)
      some.insert("s" + std::to_string(random_.next() % plan_.scopes));
    return {some.begin(), some.end()};
  }
  void start(Server& s) {
    if (s.follower) add(verdict_.follower, s.follower->counts());
    ++s.start_count;
    ++verdict_.server_starts;
    s.last = {};
    s.known_versions.clear();
    s.expected_values.clear();
    std::vector<Follower::Control> controls;
    for (const auto& c : controls_) controls.push_back({c->id, c->region, c->zone});
    s.follower = std::make_unique<Follower>(now, s.incarnation(), s.place, controls, s.scopes, settings(),
                                            plan_.seed * 1000 + s.id.raw * 7 + s.start_count, s);
    s.scheduled_wake = -1;
    after_event(s);
  }
  void change_scopes(Server& s) {
    s.scopes = random_scopes();
    const auto not_followed = [&](const auto& one) {
      return std::find(s.scopes.begin(), s.scopes.end(), scope_of(one.first)) == s.scopes.end();
    };
    std::erase_if(s.known_versions, not_followed);
    std::erase_if(s.expected_values, not_followed);
    s.follower->set_scopes(now, s.scopes);
    after_event(s);
  }
  void after_event(Server& s) {
    const Nanos next = s.follower->next_wake();
    if (next < 0 || next == s.scheduled_wake) return;
    s.scheduled_wake = next;
    schedule(next, [this, &s, next, start_count = s.start_count] {
      if (s.start_count != start_count || s.scheduled_wake != next) return;
      s.scheduled_wake = -1;
      s.follower->due(now);
      after_event(s);
    });
  }

  // ---- the network

  void to_server(Control& from, MemberId to, int topic, std::function<void(Follower&)> what) {
    put({from.id, to}, topic, [this, &s = *servers_[to.raw - 100], what = std::move(what)] {
      what(*s.follower);
      after_event(s);
    });
  }
  void to_control(Server& from, MemberId to, int topic, std::function<void(Feed&)> what) {
    Control& c = *controls_[to.raw - 1];
    put({from.id, to}, topic, [this, &c, what = std::move(what)] {
      run_or_defer(c, [this, &c, what] {
        what(*c.feed);
        after_event(c);
      });
    });
  }
  void put(std::pair<MemberId, MemberId> ends, int topic, std::function<void()> what) {
    Link& link = links_[ends];
    link.waiting[topic] = std::move(what);
    if (link.flush_scheduled) return;
    link.flush_scheduled = true;
    schedule(now + random_up_to(10 * ms), [this, ends] { flush(ends); });
  }
  void flush(std::pair<MemberId, MemberId> ends) {
    Link& link = links_.at(ends);
    link.flush_scheduled = false;
    if (!link.up) return;
    link.last = std::max(link.last, now + ms + random_up_to(plan_.delay));
    for (auto& [topic, what] : std::exchange(link.waiting, {}))
      schedule(link.last, [this, &link, epoch = link.epoch, what = std::move(what)] {
        if (link.epoch == epoch) return what();
        // Sent over a connection that has broken since: lost, delayed or duplicated.
        for (int copies = random_.unit() < 0.5 ? 0 : random_.unit() < 0.6 ? 1 : 2; copies > 0; --copies)
          schedule(now + random_up_to(3 * second), what);
      });
  }

  // ---- the checker

  // The greatest of the ascending positions that is not after `upto`; 0: none.
  static std::size_t newest(const std::vector<std::size_t>& positions, std::size_t upto) {
    const auto after = std::upper_bound(positions.begin(), positions.end(), upto);
    return after == positions.begin() ? 0 : *std::prev(after);
  }

  // Advances the expected values to the state after the first `position` log entries. For a key whose newest
  // entry the server refuses, the previous value stays in force.
  void advance_expected(Server& s, std::size_t position) {
    for (const std::string& scope : s.scopes)
      for (const auto& [key, positions] : history_by_key_[scope]) {
        const std::size_t newest_at = newest(positions, position);
        const Entry* const entry = newest_at == 0 ? nullptr : &log_[newest_at - 1];
        if (!entry || entry->deleted) {
          s.known_versions.erase(key);
          s.expected_values.erase(key);
        } else if (Version& known = s.known_versions[key]; known != entry->version) {
          known = entry->version;
          if (!s.refuses(entry->value)) s.expected_values[key] = entry->value;
        }
      }
  }
  void taken(Server& s, Version version, const std::vector<const Entry*>& changed) {
    ++verdict_.taken;
    if (version < s.last) return report_violation(s.id, "applies an older state after a newer one");
    const auto position = log_index_.find(version);
    if (position == log_index_.end()) return report_violation(s.id, "applies a state that never existed");
    if (plan_.link_breaks == 0 && s.last != Version{})
      for (std::size_t i = log_index_.at(s.last); i < position->second; ++i)
        if (std::find(s.scopes.begin(), s.scopes.end(), scope_of(log_[i].key)) != s.scopes.end())
          verdict_.gaps.push_back(now - log_times_[i]);
    s.last = version;
    std::map<std::string, std::string, std::less<>> before = s.expected_values;
    advance_expected(s, position->second);
    for (const Entry* const entry : changed)
      if (entry->deleted ? before.erase(entry->key) == 0
                         : std::exchange(before[entry->key], entry->value) == entry->value)
        return report_violation(s.id, "reports a change that is none");
    if (before != s.expected_values)
      return report_violation(s.id, "applies a state that differs from the true one of its version");
    check_state(s);
  }
  // Checks that the values in force are the true state at the server's version. Called also when the version
  // may have advanced without a change.
  void check_state(Server& s) {
    ++verdict_.states_checked;
    const Version version = s.follower->version();
    if (version < s.last) return report_violation(s.id, "went back to an older version");
    if (version != Version{} && !log_index_.contains(version))
      return report_violation(s.id, "has a state that never existed");
    advance_expected(s, version == Version{} ? 0 : log_index_.at(version));
    std::map<std::string, std::string, std::less<>> has;
    for (const std::string& scope : s.scopes)
      s.follower->for_each_in(scope, [&](const Entry& entry) { return has[entry.key] = entry.value, true; });
    if (has != s.expected_values)
      report_violation(s.id, "has a state that differs from the true one of its version");
  }
  // Waits until all servers have the newest state and know that it is the newest.
  void await_convergence() {
    for (auto& one : servers_) {
      const Nanos age = one->follower->age(now);
      if (one->follower->version() == version_ && age >= 0 && age < 2 * second) continue;
      return schedule(now + 50 * ms, [this] { await_convergence(); });
    }
    verdict_.converged_after = now - plan_.quiet_after - plan_.faults_last;
  }
};
