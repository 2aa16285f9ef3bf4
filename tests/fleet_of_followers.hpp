// Control members at different versions and the servers that follow them in one process, from one seed.
// Between two of them a connection keeps its order and of a matter only the newest word waits; connections
// break, and words of before are then lost, or come late, or twice. Both sides restart; control members stand
// still, fall mute, lag, go blank and are brought up, at times to an older version than before. The referee
// knows every write, what each server was given in its life, and every word's size.
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
  unsigned controls = 5, servers = 30, zones = 4, scopes = 10, keys = 6; // keys: of a scope
  double commits = 8, bursts = 0.1;                                      // a second; a burst is of 100
  double deleted = 0.2, bad = 0.05;                                      // parts of the commits
  double breaks = 10, cuts = 0.3; // a second: of connections; of control members from all servers
  double restarts = 0.5, blanks = 0.2, stops = 0.3, mutes = 0.1; // a second, of control members
  double starts = 1, rescopes = 0.3;                             // a second, of servers
  double zones_lost = 0.05; // a second: all servers of one start anew at once
  double lag = 0.2;         // part of the commits that are late at a control member
  Nanos delay = 60 * ms, length = 24 * second, quiet_after = 10 * second;
  Nanos faults_last = 4 * second;  // the longest that one takes
  Nanos level_within = 6 * second; // after the last of them
  std::size_t most_whole = 3;
  bool small_parts = true;
};

struct Verdict {
  std::string first; // what went wrong first
  std::uint64_t commits = 0, taken = 0, checked = 0, lives = 0;
  Feed::Counts feed;
  Follower::Counts follower;
  Nanos level_after = -1; // all servers, after the last fault
  std::vector<Nanos>
      gaps; // from each commit to each server that follows its scope, where there are no faults
  std::size_t most_renewals = 0;
};

class FleetOfFollowers {
  struct Control;
  struct Server;
  using Event = std::pair<std::pair<Nanos, std::uint64_t>, std::function<void()>>;
  struct Later {
    bool operator()(const Event& a, const Event& b) const { return a.first > b.first; }
  };
  struct Link { // one way
    bool up = true;
    int epoch = 0;
    std::map<int, std::function<void()>> waiting; // by matter, the newest
    bool flushes = false;
    Nanos last = 0; // what was sent arrives by then
  };
  struct Bucket { // the referee's
    double tokens = -1;
    Nanos at = 0;
  };

  struct Control final : FeedActions {
    FleetOfFollowers& fleet;
    MemberId id;
    std::string region, zone;
    std::unique_ptr<Entries> state;
    std::unique_ptr<Feed> feed;
    std::size_t arrived = 0, position = 0; // of the log
    Nanos last_arrival = 0, stopped_until = 0, woken_for = -1;
    bool mute = false;
    std::uint64_t lives = 0;
    std::map<MemberId, Bucket> credit;
    std::set<MemberId> renewing;
    std::vector<std::function<void()>> kept; // while it stands still

    Control(FleetOfFollowers& f, MemberId i) : fleet(f), id(i) {}
    void say(MemberId to, int matter, std::function<void(Follower&)> what) {
      if (!mute) fleet.to_server(*this, to, matter, std::move(what));
    }
    static std::vector<Entry> copied(const std::vector<const Entry*>& entries) {
      std::vector<Entry> all;
      for (const Entry* entry : entries) all.push_back(*entry);
      return all;
    }
    void count(MemberId to, const std::vector<const Entry*>& entries) {
      std::size_t bytes = message_overhead;
      for (const Entry* entry : entries) bytes += max_encoded_size(*entry);
      fleet.spent(*this, to, bytes);
    }
    void delta(MemberId to, Incarnation of, AttachmentNumber n, Version from, Version upto, Version last,
               Nanos age, const std::vector<const Entry*>& entries) override {
      count(to, entries);
      say(to, 1, [id = id, of, n, from, upto, last, age, all = copied(entries), &f = fleet](Follower& at) {
        at.delta(f.now, id, of, n, from, upto, last, age, all);
      });
    }
    void renewal(MemberId to, Incarnation of, AttachmentNumber n, Version at,
                 const std::vector<std::uint16_t>& scopes, Version from, Version upto, Version last,
                 const std::vector<const Entry*>& entries) override {
      count(to, entries);
      renewing.insert(to);
      say(to, 1, [=, id = id, all = copied(entries), &f = fleet](Follower& one) {
        one.renewal(f.now, id, of, n, at, scopes, from, upto, last, all);
      });
    }
    void beat(MemberId to, Incarnation of, AttachmentNumber n, Version committed, Nanos age) override {
      count(to, {});
      say(to, 2, [id = id, of, n, committed, age, &f = fleet](Follower& at) {
        at.beat(f.now, id, of, n, committed, age);
      });
    }
    void rest(MemberId to, Incarnation of, AttachmentNumber n, Nanos rest) override {
      count(to, {});
      say(to, 3, [id = id, of, n, rest, &f = fleet](Follower& at) { at.rest(f.now, id, of, n, rest); });
    }
    void elsewhere(MemberId to, Incarnation of, AttachmentNumber n) override {
      say(to, 4, [id = id, of, n, &f = fleet](Follower& at) { at.elsewhere(f.now, id, of, n); });
    }
    void again(MemberId to, Incarnation of, AttachmentNumber n) override {
      say(to, 4, [id = id, of, n, &f = fleet](Follower& at) { at.again(f.now, id, of, n); });
    }
  };

  struct Server final : FollowerActions {
    FleetOfFollowers& fleet;
    MemberId id;
    Follower::Location place;
    std::vector<std::string> scopes;
    std::unique_ptr<Follower> follower;
    std::uint64_t lives = 0;
    Nanos woken_for = -1;
    Version last{};
    std::map<std::string, Version, std::less<>> given; // of each key, and what it has to have in force
    std::map<std::string, std::string, std::less<>> force;

    Server(FleetOfFollowers& f, MemberId i) : fleet(f), id(i) {}
    Incarnation of() const { return Incarnation{id.raw * 1000 + lives}; }
    void say(MemberId to, int matter, std::function<void(Feed&)> what) {
      fleet.to_control(*this, to, matter, std::move(what));
    }
    void follow(MemberId to, AttachmentNumber n, bool primary, const Position& at,
                const std::vector<FollowedScope>& held) override {
      say(to, 1, [id = id, of = of(), n, primary, at, held, &f = fleet](Feed& feed) {
        feed.follow(f.now, id, of, n, primary, at, held);
      });
    }
    void unfollow(MemberId to, AttachmentNumber n) override {
      say(to, 1, [id = id, of = of(), n, &f = fleet](Feed& feed) { feed.unfollow(f.now, id, of, n); });
    }
    void have(MemberId to, AttachmentNumber n, const Position& at) override {
      say(to, 2, [id = id, of = of(), n, at, &f = fleet](Feed& feed) { feed.have(f.now, id, of, n, at); });
    }
    void compare(MemberId to, AttachmentNumber n, Version at,
                 const std::vector<std::uint64_t>& digests) override {
      say(to, 3, [id = id, of = of(), n, at, digests, &f = fleet](Feed& feed) {
        feed.compare(f.now, id, of, n, at, digests);
      });
    }
    bool refuses(std::string_view value) const { return id.raw % 2 == 1 && value.starts_with("bad"); }
    std::string check(const Entry& entry) override { return refuses(entry.value) ? "bad" : ""; }
    void refused(const Entry& entry, std::string_view) override {
      if (!refuses(entry.value)) fleet.wrong(id, "refused what it can take");
    }
    void applied(Version version, const std::vector<const Entry*>& changed) override {
      fleet.taken(*this, version, changed);
    }
    void left(MemberId, LeaveReason) override {}
  };

  Plan plan_;
  Pcg chance_;
  Verdict verdict_;
  std::vector<std::unique_ptr<Control>> controls_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::map<std::pair<MemberId, MemberId>, Link> links_;
  std::vector<Entry> log_;
  std::vector<Nanos> log_at_;
  std::map<Version, std::size_t> places_;                                            // in the log, from 1
  std::map<std::string, std::map<std::string, std::vector<std::size_t>>> histories_; // scope, key
  Version version_{Token{1}, 0};
  std::priority_queue<Event, std::vector<Event>, Later> queue_;
  std::uint64_t order_ = 0;

 public:
  Nanos now = 0;

  explicit FleetOfFollowers(const Plan& plan) : plan_(plan), chance_(plan.seed) {
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
    for (auto& one : controls_) begin(*one);
    for (auto& one : servers_) {
      one->scopes = some_scopes();
      begin(*one);
    }
    trouble(plan.commits, [this] { commit(); });
    trouble(plan.bursts, [this] {
      for (int i = 0; i < 100; ++i) commit();
    });
    trouble(plan.breaks, [this] { break_link(any(links_).first, second / 2); });
    trouble(plan.cuts, [this] { cut(*any(controls_)); });
    trouble(plan.restarts, [this] { begin(*any(controls_)); });
    trouble(plan.blanks, [this] { go_blank(*any(controls_)); });
    trouble(plan.stops, [this] { any(controls_)->stopped_until = now + part(3 * second); });
    trouble(plan.mutes, [this] { mute(*any(controls_)); });
    trouble(plan.starts, [this] { begin(*any(servers_)); });
    trouble(plan.rescopes, [this] { rescope(*any(servers_)); });
    trouble(plan.zones_lost, [this] {
      const std::string zone = any(servers_)->place.zone;
      for (auto& one : servers_)
        if (one->place.zone == zone) begin(*one);
    });
    beat_of_writer();
    at(plan.quiet_after + plan.faults_last, [this] { watch(); });
  }

  Verdict play() {
    while (!queue_.empty() && queue_.top().first.first <= plan_.length && verdict_.first.empty()) {
      const auto what = std::move(const_cast<Event&>(queue_.top()).second);
      now = queue_.top().first.first;
      queue_.pop();
      what();
    }
    for (auto& one : servers_) {
      if (verdict_.first.empty()) look(*one);
      add(verdict_.follower, one->follower->counts());
    }
    if (verdict_.level_after < 0 || verdict_.level_after > plan_.level_within)
      wrong({}, "not all level in time");
    for (auto& one : controls_) add(verdict_.feed, one->feed->counts());
    if (verdict_.feed.invalid + verdict_.follower.invalid > 0) wrong({}, "says what makes no sense");
    return verdict_;
  }

 private:
  Nanos part(Nanos of) { return static_cast<Nanos>(chance_.unit() * static_cast<double>(of)); }
  template <class All>
  typename All::reference any(All& all) {
    return *std::next(all.begin(), static_cast<std::ptrdiff_t>(chance_.next() % all.size()));
  }
  void at(Nanos when, std::function<void()> what) {
    queue_.push({{std::max(when, now), order_++}, std::move(what)});
  }
  bool faults() const { return now < plan_.quiet_after; }
  void wrong(MemberId who, const std::string& what) {
    if (verdict_.first.empty())
      verdict_.first = std::to_string(now / ms) + " ms: " + std::to_string(who.raw) + " " + what;
  }
  template <class Counts>
  static void add(Counts& sum, const Counts& more) { // of counts only
    constexpr std::size_t count = sizeof(Counts) / sizeof(std::uint64_t);
    auto* const to = reinterpret_cast<std::uint64_t*>(&sum);
    const auto* const from = reinterpret_cast<const std::uint64_t*>(&more);
    for (std::size_t i = 0; i < count; ++i) to[i] += from[i];
  }
  void trouble(double rate, std::function<void()> what) {
    if (rate <= 0) return;
    at(now + static_cast<Nanos>(2 * chance_.unit() / rate * static_cast<double>(second)), [this, rate, what] {
      if (!faults()) return;
      what();
      trouble(rate, what);
    });
  }
  Settings figures() const {
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

  // ---- writes, and how they come to the control members

  void commit() {
    // Now and then another writer, whose count begins anew.
    if (chance_.unit() < 0.03) version_ = {Token{version_.token.raw + 1 + chance_.next() % 3}, 0};
    ++version_.number;
    const std::string scope = "s" + std::to_string(chance_.next() % plan_.scopes);
    Entry entry{scope + "/k" + std::to_string(chance_.next() % plan_.keys), "", version_, MemberId{1}, false};
    entry.deleted = chance_.unit() < plan_.deleted;
    if (!entry.deleted)
      entry.value = (chance_.unit() < plan_.bad ? "bad" : "v") + std::to_string(log_.size()) +
                    std::string(chance_.next() % 60, 'x');
    log_.push_back(entry);
    log_at_.push_back(now);
    places_[version_] = log_.size();
    histories_[scope][entry.key].push_back(log_.size());
    ++verdict_.commits;
    for (auto& one : controls_) {
      Nanos takes = ms + part(plan_.delay);
      if (faults() && chance_.unit() < plan_.lag) takes = part(2 * second);
      one->last_arrival = std::max(one->last_arrival, now + takes);
      at(one->last_arrival, [this, &c = *one, upto = log_.size()] {
        c.arrived = std::max(c.arrived, upto);
        in(c, [this, &c] { catch_up(c); });
      });
    }
  }
  void catch_up(Control& c) {
    if (c.feed->is_inactive()) return;
    for (; c.position < c.arrived; ++c.position) {
      c.state->apply(log_[c.position]);
      c.feed->committed(now, log_[c.position]);
    }
    turned(c);
  }
  void beat_of_writer() {
    for (auto& one : controls_)
      if (one->position == log_.size() && !one->feed->is_inactive()) one->feed->confirm_current(now);
    at(now + 200 * ms, [this] { beat_of_writer(); });
  }

  // ---- control members

  void begin(Control& c) {
    if (c.feed) add(verdict_.feed, c.feed->counts());
    ++c.lives;
    c.kept.clear();
    c.credit.clear();
    c.renewing.clear();
    c.stopped_until = 0;
    c.woken_for = -1;
    c.feed.reset();
    c.state = std::make_unique<Entries>(figures());
    c.feed = std::make_unique<Feed>(now, *c.state, figures(), plan_.seed * 100 + c.id.raw * 17 + c.lives, c);
    at(now + part(faults() && c.lives > 1 ? 2 * second : 10 * ms), [this, &c, life = c.lives] {
      if (c.lives == life) bring_up(c);
    });
  }
  // To what it has heard of, or an older state, which has only what stands.
  void bring_up(Control& c) {
    if (!c.feed->is_inactive()) return;
    c.state->clear();
    c.position = c.arrived - std::min<std::size_t>(c.arrived, chance_.next() % 2 * (chance_.next() % 30));
    for (const auto& [scope, keys] : histories_)
      for (const auto& [key, places] : keys)
        if (const std::size_t place = newest(places, c.position); place > 0 && !log_[place - 1].deleted)
          c.state->apply(log_[place - 1]);
    if (c.position > 0) {
      c.state->advance_to(log_[c.position - 1].version);
      c.state->raise_floor(log_[c.position - 1].version);
    }
    c.feed->activate(now);
    at(now + part(second), [this, &c] { in(c, [this, &c] { catch_up(c); }); });
    turned(c);
  }
  void go_blank(Control& c) {
    if (c.feed->is_inactive()) return;
    c.feed->deactivate(now);
    turned(c);
    at(now + part(2 * second), [this, &c, life = c.lives] {
      if (c.lives == life) bring_up(c);
    });
  }
  void mute(Control& c) {
    c.mute = true;
    at(now + part(4 * second), [&c] { c.mute = false; });
  }
  void cut(Control& c) {
    const double way = chance_.unit();
    std::vector<std::pair<MemberId, MemberId>> mine;
    for (auto& [ends, link] : links_)
      if ((ends.first == c.id && way < 0.7) || (ends.second == c.id && way > 0.3)) mine.push_back(ends);
    for (const auto& ends : mine) break_link(ends, 3 * second);
  }
  void break_link(std::pair<MemberId, MemberId> ends, Nanos longest) {
    Link& link = links_.at(ends);
    ++link.epoch;
    link.up = false;
    if (chance_.unit() < 0.5) link.waiting.clear();
    at(now + part(longest), [this, &link, ends] {
      link.up = true;
      link.last = now;
      flush(ends);
    });
  }
  void in(Control& c, std::function<void()> what) {
    if (c.stopped_until <= now && c.kept.empty()) return what();
    if (c.kept.empty())
      at(c.stopped_until, [&c, life = c.lives] {
        if (c.lives != life) return;
        const auto kept = std::exchange(c.kept, {});
        for (const auto& one : kept) one();
      });
    c.kept.push_back([&c, life = c.lives, what = std::move(what)] {
      if (c.lives == life) what();
    });
  }
  void turned(Control& c) {
    c.feed->due(now);
    if (!c.renewing.empty()) {
      std::set<MemberId> still;
      for (const Feed::Status& one : c.feed->status())
        if (one.renewing) still.insert(one.member);
      std::erase_if(c.renewing, [&](MemberId one) { return !still.contains(one); });
      verdict_.most_renewals = std::max({verdict_.most_renewals, c.renewing.size(), c.feed->renewals()});
      if (verdict_.most_renewals > plan_.most_whole) wrong(c.id, "gives too many renewals at once");
    }
    const Nanos next = c.feed->next_wake();
    if (next < 0 || next == c.woken_for) return;
    c.woken_for = next;
    at(next, [this, &c, next, life = c.lives] {
      if (c.lives != life || c.woken_for != next) return;
      c.woken_for = -1;
      in(c, [this, &c] { turned(c); });
    });
  }
  // Over any span no more than the burst and the rate.
  void spent(Control& c, MemberId to, std::size_t bytes) {
    const double rate = 5000, burst = plan_.small_parts ? 5000 : 24000;
    Bucket& bucket = c.credit[to];
    if (bucket.tokens < 0)
      bucket.tokens = burst;
    else
      bucket.tokens = std::min(burst, bucket.tokens + rate * static_cast<double>(now - bucket.at) / 1e9);
    bucket.at = now;
    bucket.tokens -= static_cast<double>(bytes);
    if (bucket.tokens < -1) wrong(c.id, "gives a server more than its credit");
    bucket.tokens = std::max(bucket.tokens, 0.0);
  }

  // ---- servers

  std::vector<std::string> some_scopes() {
    std::set<std::string> some;
    for (std::uint32_t i = 0, count = 1 + chance_.next() % 4; i < count; ++i)
      some.insert("s" + std::to_string(chance_.next() % plan_.scopes));
    return {some.begin(), some.end()};
  }
  void begin(Server& s) {
    if (s.follower) add(verdict_.follower, s.follower->counts());
    ++s.lives;
    ++verdict_.lives;
    s.last = {};
    s.given.clear();
    s.force.clear();
    std::vector<Follower::Control> controls;
    for (const auto& c : controls_) controls.push_back({c->id, c->region, c->zone});
    s.follower = std::make_unique<Follower>(now, s.of(), s.place, controls, s.scopes, figures(),
                                            plan_.seed * 1000 + s.id.raw * 7 + s.lives, s);
    s.woken_for = -1;
    turned(s);
  }
  void rescope(Server& s) {
    s.scopes = some_scopes();
    const auto gone = [&](const auto& one) {
      return std::find(s.scopes.begin(), s.scopes.end(), scope_of(one.first)) == s.scopes.end();
    };
    std::erase_if(s.given, gone);
    std::erase_if(s.force, gone);
    s.follower->set_scopes(now, s.scopes);
    turned(s);
  }
  void turned(Server& s) {
    const Nanos next = s.follower->next_wake();
    if (next < 0 || next == s.woken_for) return;
    s.woken_for = next;
    at(next, [this, &s, next, life = s.lives] {
      if (s.lives != life || s.woken_for != next) return;
      s.woken_for = -1;
      s.follower->due(now);
      turned(s);
    });
  }

  // ---- the network

  void to_server(Control& from, MemberId to, int matter, std::function<void(Follower&)> what) {
    put({from.id, to}, matter, [this, &s = *servers_[to.raw - 100], what = std::move(what)] {
      what(*s.follower);
      turned(s);
    });
  }
  void to_control(Server& from, MemberId to, int matter, std::function<void(Feed&)> what) {
    Control& c = *controls_[to.raw - 1];
    put({from.id, to}, matter, [this, &c, what = std::move(what)] {
      in(c, [this, &c, what] {
        what(*c.feed);
        turned(c);
      });
    });
  }
  void put(std::pair<MemberId, MemberId> ends, int matter, std::function<void()> what) {
    Link& link = links_[ends];
    link.waiting[matter] = std::move(what);
    if (link.flushes) return;
    link.flushes = true;
    at(now + part(10 * ms), [this, ends] { flush(ends); });
  }
  void flush(std::pair<MemberId, MemberId> ends) {
    Link& link = links_.at(ends);
    link.flushes = false;
    if (!link.up) return;
    link.last = std::max(link.last, now + ms + part(plan_.delay));
    for (auto& [matter, what] : std::exchange(link.waiting, {}))
      at(link.last, [this, &link, epoch = link.epoch, what = std::move(what)] {
        if (link.epoch == epoch) return what();
        // It went by a connection that broke.
        for (int copies = chance_.unit() < 0.5 ? 0 : chance_.unit() < 0.6 ? 1 : 2; copies > 0; --copies)
          at(now + part(3 * second), what);
      });
  }

  // ---- the referee

  static std::size_t newest(const std::vector<std::size_t>& places, std::size_t upto) { // 0: none
    const auto behind = std::upper_bound(places.begin(), places.end(), upto);
    return behind == places.begin() ? 0 : *std::prev(behind);
  }

  // What the server has to have in force in that state: of a key whose newest it refuses, what it had.
  void go_on(Server& s, std::size_t place) {
    for (const std::string& scope : s.scopes)
      for (const auto& [key, places] : histories_[scope]) {
        const std::size_t newest_at = newest(places, place);
        const Entry* const entry = newest_at == 0 ? nullptr : &log_[newest_at - 1];
        if (!entry || entry->deleted) {
          s.given.erase(key);
          s.force.erase(key);
        } else if (Version& known = s.given[key]; known != entry->version) {
          known = entry->version;
          if (!s.refuses(entry->value)) s.force[key] = entry->value;
        }
      }
  }
  void taken(Server& s, Version version, const std::vector<const Entry*>& changed) {
    ++verdict_.taken;
    if (version < s.last) return wrong(s.id, "takes an older state after a newer one");
    const auto place = places_.find(version);
    if (place == places_.end()) return wrong(s.id, "takes a state that never was");
    if (plan_.breaks == 0 && s.last != Version{})
      for (std::size_t i = places_.at(s.last); i < place->second; ++i)
        if (std::find(s.scopes.begin(), s.scopes.end(), scope_of(log_[i].key)) != s.scopes.end())
          verdict_.gaps.push_back(now - log_at_[i]);
    s.last = version;
    std::map<std::string, std::string, std::less<>> before = s.force;
    go_on(s, place->second);
    for (const Entry* const entry : changed)
      if (entry->deleted ? before.erase(entry->key) == 0
                         : std::exchange(before[entry->key], entry->value) == entry->value)
        return wrong(s.id, "tells a change that is none");
    if (before != s.force) return wrong(s.id, "takes another state than the true one of its version");
    look(s);
  }
  // What it has in force is the true state of its version, also where that went on without a change.
  void look(Server& s) {
    ++verdict_.checked;
    const Version version = s.follower->version();
    if (version < s.last) return wrong(s.id, "went back");
    if (version != Version{} && !places_.contains(version)) return wrong(s.id, "has a state that never was");
    go_on(s, version == Version{} ? 0 : places_.at(version));
    std::map<std::string, std::string, std::less<>> has;
    for (const std::string& scope : s.scopes)
      s.follower->for_each_in(scope, [&](const Entry& entry) { return has[entry.key] = entry.value, true; });
    if (has != s.force) wrong(s.id, "has another state than the true one of its version");
  }
  // Level: the newest state, known to be so.
  void watch() {
    for (auto& one : servers_) {
      const Nanos age = one->follower->age(now);
      if (one->follower->version() == version_ && age >= 0 && age < 2 * second) continue;
      return at(now + 50 * ms, [this] { watch(); });
    }
    verdict_.level_after = now - plan_.quiet_after - plan_.faults_last;
  }
};
