// Tests the distribution of entries from control members to servers. First the messages of a feed and of a
// follower, step by step; then simulated fleets with a checker (fleet_of_followers.hpp), which guards against
// servers that apply an older, incomplete or wrong state; then the cost of a change. Usage with arguments:
// SEEDS [stop] runs only the fleets, with so many seeds, up to the first violation ("stop").
#include "fleet_of_followers.hpp"

#include <cmath>
#include <cstdlib>
#include <cstring>

namespace {

Settings test_settings() {
  return {{"control.beat", 1e9},           {"control.silent", 3e9},         {"control.answer", 1e9},
          {"control.most_part", 400.0},    {"control.rate", 1000.0},        {"control.burst", 1000.0},
          {"control.total_rate", 1e5},     {"control.total_burst", 1e5},    {"control.most_key", 40.0},
          {"control.most_value", 200.0},   {"control.most_followers", 3.0}, {"control.most_whole", 1.0},
          {"control.behind", 2e9},         {"control.settle", 4e9},         {"control.rest_least", 1e9},
          {"control.rest_most", 8e9},      {"control.compare", 60e9},       {"control.most_entries", 100.0},
          {"control.most_bytes", 10000.0}, {"control.most_deleted", 2.0}};
}
void print_title(const char* what) { std::printf("# %s\n", what); }
std::string describe(Version v) {
  return v == Version{} ? "none" : std::to_string(v.token.raw) + "." + std::to_string(v.number);
}
std::string describe(const Position& at) {
  std::string text = describe(at.taken);
  if (at.staged != at.taken) text += ", staged " + describe(at.staged);
  if (at.renewing != Version{})
    text += ", renewing " + describe(at.renewing) + " up to " + describe(at.renewed);
  return text;
}
std::string describe(const Entry& entry) {
  return " " + entry.key + (entry.deleted ? " gone" : "=" + entry.value.substr(0, 8)) + "@" +
         describe(entry.version);
}
Version v(std::uint64_t number, std::uint64_t token = 7) { return {Token{token}, number}; }
Entry put(const char* key, std::uint64_t number, const std::string& value, std::uint64_t token = 7) {
  return {key, value, v(number, token), MemberId{1}, false};
}
Entry gone(const char* key, std::uint64_t number) { return {key, "", v(number), MemberId{1}, true}; }

struct PrintedFeed final : FeedActions {
  Nanos now = 0;
  void line(MemberId to, AttachmentNumber n, const std::string& what) const {
    std::printf("  %5lld to %u/%llu %s\n", static_cast<long long>(now / ms), to.raw,
                static_cast<unsigned long long>(n.raw), what.c_str());
  }
  static std::string list(const std::vector<const Entry*>& entries) {
    std::string text;
    for (const Entry* entry : entries) text += describe(*entry);
    return text;
  }
  void delta(MemberId to, Incarnation, AttachmentNumber n, Version from, Version upto, Version last, Nanos,
             const std::vector<const Entry*>& entries) override {
    line(to, n,
         "delta " + describe(from) + " to " + describe(upto) + (upto == last ? ", whole:" : ":") +
             list(entries));
  }
  void renewal(MemberId to, Incarnation, AttachmentNumber n, Version at,
               const std::vector<std::uint16_t>& scopes, Version from, Version upto, Version,
               const std::vector<const Entry*>& entries) override {
    line(to, n,
         "renewal at " + describe(at) + " of " + std::to_string(scopes.size()) + " scopes, " +
             describe(from) + " to " + describe(upto) + ":" + list(entries));
  }
  void beat(MemberId to, Incarnation, AttachmentNumber n, Version committed, Nanos age) override {
    line(to, n, "beat at " + describe(committed) + ", " + std::to_string(age / ms) + " ms old");
  }
  void rest(MemberId to, Incarnation, AttachmentNumber n, Nanos) override { line(to, n, "rest"); }
  void elsewhere(MemberId to, Incarnation, AttachmentNumber n) override { line(to, n, "elsewhere"); }
  void again(MemberId to, Incarnation, AttachmentNumber n) override { line(to, n, "again"); }
};

struct FeedDriver {
  PrintedFeed out;
  Entries state{test_settings()};
  Feed feed{0, state, test_settings(), 1, out};
  void commit(const Entry& entry) {
    state.apply(entry);
    feed.committed(out.now, entry);
  }
  void to(Nanos time) {
    for (Nanos next; (next = feed.next_wake()) >= 0 && next <= time * ms;) {
      out.now = std::max(out.now, next);
      feed.due(out.now);
    }
    out.now = time * ms;
    feed.due(out.now);
  }
  void follow(unsigned from, std::uint64_t number, Version at, std::vector<FollowedScope> scopes,
              bool primary = true) {
    feed.follow(out.now, MemberId{from}, Incarnation{from}, AttachmentNumber{number}, primary,
                {at, at, {}, {}, 0}, scopes);
    feed.due(out.now);
  }
  void have(unsigned from, std::uint64_t number, Position at) {
    feed.have(out.now, MemberId{from}, Incarnation{from}, AttachmentNumber{number}, at);
    feed.due(out.now);
  }
};

void feed_steps() {
  {
    print_title("an inactive feed sends nothing; after activation a server without state gets a renewal, "
                "then the delta that follows it");
    FeedDriver s;
    s.commit(put("a/x", 1, "1"));
    s.follow(20, 1, {}, {{"a", 0, false}});
    s.feed.activate(0);
    s.have(20, 1, {});
    s.follow(20, 2, {}, {{"a", 0, false}});
    s.commit(put("a/y", 2, "2"));
    s.have(20, 2, {{}, v(1), {}, {}, 1});
    s.have(20, 2, {v(2), v(2), {}, {}, 1});
    print_title("changes that come together are sent together, the newest of each key; changes of other "
                "scopes arrive with a heartbeat");
    s.commit(put("a/x", 3, "3"));
    s.commit(put("a/x", 4, "4"));
    s.commit(put("b/x", 5, "5"));
    s.to(10);
    s.have(20, 2, {v(5), v(5), {}, {}, 1});
    s.commit(put("b/x", 6, "6"));
    s.to(1200);
    print_title(
        "an unacknowledged part is sent again after growing time-outs; an unresponsive server is dropped");
    s.commit(put("a/x", 7, "7"));
    s.to(5000);
    s.have(20, 2, {v(7), v(7), {}, {}, 1});
  }
  {
    print_title("a long delta is split into parts, one in flight at a time, within the credit; a commit in "
                "between is in the last part");
    FeedDriver s;
    s.feed.activate(0);
    s.commit(put("a/o", 1, "o"));
    s.follow(20, 1, v(1), {{"a", s.state.digest("a"), true}});
    for (std::uint64_t i = 2; i < 8; ++i)
      s.commit(put(("a/" + std::to_string(i)).c_str(), i, std::string(90, 'x')));
    s.to(10);
    s.have(20, 1, {v(1), v(3), {}, {}, 0});
    s.commit(put("a/2", 8, "new"));
    s.have(20, 1, {v(1), v(5), {}, {}, 0});
    s.to(900);
    s.have(20, 1, {v(8), v(8), {}, {}, 0});
    print_title("if tombstones after the server's version have been dropped, it gets a renewal of the scopes "
                "whose digests differ");
    s.commit(gone("a/2", 9));
    s.commit(gone("a/3", 10));
    s.commit(gone("a/4", 11));
    s.commit(put("b/x", 12, "b"));
    s.to(5000);
    s.follow(20, 2, v(8), {{"a", 1, true}, {"b", s.state.digest("b"), true}});
    s.to(5010);
  }
  {
    print_title(
        "one renewal at a time: the other server is queued, is told to wait, and starts when a slot is free");
    FeedDriver s;
    s.feed.activate(0);
    s.commit(put("a/x", 1, "1"));
    s.follow(20, 1, {}, {{"a", 0, false}});
    s.follow(21, 1, {}, {{"a", 0, false}});
    s.follow(22, 1, v(1), {{"a", s.state.digest("a"), true}}, false);
    s.follow(23, 1, {}, {{"a", 0, false}});
    s.have(20, 1, {{}, v(1), {}, {}, 1});
    print_title("digests that differ at the same version cause a renewal; a server that is ahead gets "
                "heartbeats only");
    s.have(21, 1, {v(1), v(1), {}, {}, 1});
    s.feed.compare(s.out.now, MemberId{20}, Incarnation{20}, AttachmentNumber{1}, v(1), {5});
    s.have(20, 1, {v(3), v(3), {}, {}, 1});
    s.to(1100);
    print_title("deactivation refers all servers to other members");
    s.feed.deactivate(s.out.now);
  }
}

struct PrintedFollower final : FollowerActions {
  Nanos now = 0;
  void line(const std::string& what) const {
    std::printf("  %5lld %s\n", static_cast<long long>(now / ms), what.c_str());
  }
  static std::string name(MemberId to, AttachmentNumber n) {
    return std::to_string(to.raw) + "/" + std::to_string(n.raw);
  }
  void follow(MemberId to, AttachmentNumber n, bool primary, const Position& at,
              const std::vector<FollowedScope>& scopes) override {
    std::string text =
        "follow " + name(to, n) + (primary ? " first" : " second") + " at " + describe(at) + ":";
    for (const FollowedScope& one : scopes) text += " " + one.scope + (one.held ? "" : " (new)");
    line(text);
  }
  void unfollow(MemberId to, AttachmentNumber n) override { line("unfollow " + name(to, n)); }
  bool quiet = false;
  void have(MemberId to, AttachmentNumber n, const Position& at) override {
    if (!quiet) line("have " + name(to, n) + " " + describe(at));
  }
  void compare(MemberId to, AttachmentNumber n, Version at,
               const std::vector<std::uint64_t>& digests) override {
    if (!quiet)
      line("compare " + name(to, n) + " at " + describe(at) + ", " + std::to_string(digests.size()) +
           " scopes");
  }
  std::string check(const Entry& entry) override { return entry.value == "bad" ? "no such thing" : ""; }
  void refused(const Entry& entry, std::string_view reason) override {
    line("refused" + describe(entry) + ": " + std::string(reason));
  }
  void applied(Version version, const std::vector<const Entry*>& changed) override {
    std::string text = "taken " + describe(version) + ":";
    for (const Entry* entry : changed) text += describe(*entry);
    line(text);
  }
  void left(MemberId control, LeaveReason reason) override {
    line("left " + std::to_string(control.raw) + ": " + std::string(to_text(reason)));
  }
};

struct FollowerDriver {
  PrintedFollower out;
  std::map<MemberId, AttachmentNumber> numbers;
  Follower follower;
  explicit FollowerDriver(std::vector<Follower::Control> controls = {{MemberId{1}, "r", "a"},
                                                                     {MemberId{2}, "r", "b"},
                                                                     {MemberId{3}, "q", "c"}})
      : follower(0, Incarnation{9}, {"r", "a"}, controls, {"a", "b"}, test_settings(), 1, out) {
    follower.due(0);
  }
  void to(Nanos time) {
    for (Nanos next; (next = follower.next_wake()) >= 0 && next <= time * ms;) {
      out.now = std::max(out.now, next);
      follower.due(out.now);
    }
    out.now = time * ms;
    follower.due(out.now);
  }
  void delta(unsigned from, std::uint64_t n, Version since, Version upto, bool whole,
             std::vector<Entry> entries) {
    follower.delta(out.now, MemberId{from}, Incarnation{9}, AttachmentNumber{n}, since, upto,
                   whole ? upto : v(upto.number + 2), 0, entries);
  }
  void renewal(unsigned from, std::uint64_t n, Version at, std::vector<std::uint16_t> scopes, Version since,
               Version upto, std::vector<Entry> entries) {
    follower.renewal(out.now, MemberId{from}, Incarnation{9}, AttachmentNumber{n}, at, scopes, since, upto,
                     at, entries);
  }
  void beat(unsigned from, std::uint64_t n, Version committed) {
    follower.beat(out.now, MemberId{from}, Incarnation{9}, AttachmentNumber{n}, committed, 0);
  }
  void well(Nanos until, std::initializer_list<std::pair<unsigned, std::uint64_t>> lines, Version at) {
    while (out.now < until * ms) {
      to(out.now / ms + 500);
      for (const auto& [from, n] : lines) beat(from, n, at);
    }
  }
  void begin() {
    renewal(1, 1, v(2), {0, 1}, {}, v(2), {put("a/x", 1, "1"), put("b/y", 2, "2")});
    delta(1, 1, v(2), v(2), true, {});
  }
};

void follower_steps() {
  {
    print_title("the closest member first; a renewal in two parts is staged, and applied with the delta that "
                "follows it");
    FollowerDriver s;
    s.renewal(1, 1, v(2), {0, 1}, {}, v(1), {put("a/x", 1, "1")});
    s.renewal(1, 1, v(2), {0, 1}, v(1), v(2), {put("b/y", 2, "2")});
    s.delta(1, 1, v(2), v(3), true, {put("a/x", 3, "3")});
    print_title("a delta after a gap is rejected and reported; older ones, ones of another attachment or "
                "from the secondary are rejected");
    s.delta(1, 1, v(5), v(6), true, {put("a/x", 6, "6")});
    s.delta(1, 1, v(1), v(2), true, {put("a/x", 2, "old")});
    s.delta(1, 7, v(3), v(4), true, {put("a/x", 4, "4")});
    s.delta(2, 2, v(3), v(4), true, {put("a/x", 4, "4")});
    s.renewal(1, 1, v(2), {0, 1}, {}, v(2), {});
    print_title("a long delta changes nothing before its last part");
    s.delta(1, 1, v(3), v(4), false, {put("a/x", 4, "4")});
    std::printf("  in force: %s\n", s.follower.find("a/x")->value.c_str());
    s.delta(1, 1, v(4), v(6), true, {gone("b/y", 5), put("b/z", 6, "6")});
    print_title("a refused entry leaves the previous value in force and the version advances; a later "
                "deletion removes that value");
    s.delta(1, 1, v(6), v(8), true, {put("a/x", 7, "bad"), put("b/z", 8, "8")});
    std::printf("  in force: %s, keys refused %zu\n", s.follower.find("a/x")->value.c_str(),
                s.follower.keys_refused());
    s.delta(1, 1, v(8), v(9), true, {gone("a/x", 9)});
    std::printf("  in force: %s, keys refused %zu\n", s.follower.find("a/x") ? "some" : "none",
                s.follower.keys_refused());
    print_title(
        "a renewal of one scope removes the entries that it leaves out; the other scope is unchanged");
    s.renewal(1, 1, v(10), {1}, {}, v(10), {put("b/w", 10, "10")});
    s.delta(1, 1, v(10), v(10), true, {});
    print_title("a member that sends entries of a scope that is not followed is left; a change of scopes "
                "causes new attachments");
    s.delta(1, 1, v(10), v(11), true, {put("c/x", 11, "11")});
    s.follower.set_scopes(s.out.now, {"b", "c"});
  }
  {
    print_title("an unresponsive primary is left and the secondary becomes the primary; the last state is "
                "kept, with its age");
    FollowerDriver s;
    s.begin();
    s.out.quiet = true;
    s.well(3000, {{2, 2}}, v(2));
    s.well(8000, {}, v(2));
    std::printf("  has %s, %lld ms old\n", describe(s.follower.version()).c_str(),
                static_cast<long long>(s.follower.age(s.out.now) / ms));
  }
  {
    print_title("a closer member that returns becomes the secondary, and the primary after it has been "
                "healthy for some time");
    FollowerDriver s;
    s.begin();
    s.out.quiet = true;
    s.follower.elsewhere(s.out.now, MemberId{1}, Incarnation{9}, AttachmentNumber{1});
    s.well(14000, {{2, 3}, {3, 4}, {1, 5}}, v(2));
  }
  {
    print_title("a primary that sends nothing while the secondary is ahead is replaced");
    FollowerDriver s;
    s.begin();
    s.out.quiet = true;
    s.well(1000, {{1, 1}, {2, 2}}, v(2));
    while (s.out.now < 4000 * ms) {
      s.to(s.out.now / ms + 500);
      s.beat(1, 1, v(2));
      s.beat(2, 2, v(3));
    }
    print_title("a follower that is told to wait does not leave");
    s.out.now = 0;
    FollowerDriver r;
    r.out.quiet = true;
    for (Nanos t = 500; t <= 4000; t += 500) {
      r.to(t);
      r.follower.rest(r.out.now, MemberId{1}, Incarnation{9}, AttachmentNumber{1}, second);
      r.beat(2, 2, v(3));
    }
  }
}

// ---- fleets

Plan plan_of(std::uint64_t seed) {
  Plan plan;
  plan.seed = seed;
  plan.controls = 3 + static_cast<unsigned>(seed % 8);
  plan.servers = 20 + static_cast<unsigned>(seed * 7 % 41);
  plan.zones = 2 + static_cast<unsigned>(seed % 4);
  plan.length = 20 * second;
  plan.quiet_after = 8 * second;
  if (seed % 3 == 0) plan.control_restarts = 2, plan.deactivations = 1;
  if (seed % 4 == 0) plan.link_breaks = 40;
  if (seed % 5 == 0) plan.lag = 0.6;
  if (seed % 5 == 1) plan.bursts = 1;
  if (seed % 6 == 0) plan.server_restarts = 8, plan.zone_restarts = 0.4;
  if (seed % 7 == 0) plan.deleted = 0.5;
  plan.most_whole = 1 + seed % 4;
  return plan;
}

// All control members lose their state and start again from an older one: the versions that a server still
// has from before are not part of the new history, and only digests show the difference.
struct DirectPair final : FeedActions, FollowerActions {
  Nanos now = 0;
  Entries state{test_settings()};
  std::unique_ptr<Feed> feed;
  Follower follower{0,          Incarnation{9},  {"r", "a"}, {{MemberId{1}, "r", "a"}},
                    {"a", "b"}, test_settings(), 1,          *this};
  std::vector<std::function<void()>> messages;
  AttachmentNumber number{}; // of the last attachment
  void delta(MemberId, Incarnation incarnation, AttachmentNumber n, Version from, Version upto, Version last,
             Nanos age, const std::vector<const Entry*>& entries) override {
    std::vector<Entry> all;
    for (const Entry* entry : entries) all.push_back(*entry);
    messages.push_back(
        [=, this] { follower.delta(now, MemberId{1}, incarnation, n, from, upto, last, age, all); });
  }
  void renewal(MemberId, Incarnation incarnation, AttachmentNumber n, Version at,
               const std::vector<std::uint16_t>& scopes, Version from, Version upto, Version last,
               const std::vector<const Entry*>& entries) override {
    std::vector<Entry> all;
    for (const Entry* entry : entries) all.push_back(*entry);
    messages.push_back(
        [=, this] { follower.renewal(now, MemberId{1}, incarnation, n, at, scopes, from, upto, last, all); });
  }
  void beat(MemberId, Incarnation incarnation, AttachmentNumber n, Version committed, Nanos age) override {
    messages.push_back([=, this] { follower.beat(now, MemberId{1}, incarnation, n, committed, age); });
  }
  void rest(MemberId, Incarnation, AttachmentNumber, Nanos) override {}
  void elsewhere(MemberId, Incarnation incarnation, AttachmentNumber n) override {
    messages.push_back([=, this] { follower.elsewhere(now, MemberId{1}, incarnation, n); });
  }
  void again(MemberId, Incarnation incarnation, AttachmentNumber n) override {
    messages.push_back([=, this] { follower.again(now, MemberId{1}, incarnation, n); });
  }
  void follow(MemberId, AttachmentNumber n, bool primary, const Position& at,
              const std::vector<FollowedScope>& scopes) override {
    number = n;
    messages.push_back(
        [=, this] { feed->follow(now, MemberId{20}, Incarnation{9}, n, primary, at, scopes); });
  }
  void have(MemberId, AttachmentNumber n, const Position& at) override {
    messages.push_back([=, this] { feed->have(now, MemberId{20}, Incarnation{9}, n, at); });
  }
  void compare(MemberId, AttachmentNumber n, Version at, const std::vector<std::uint64_t>& digests) override {
    messages.push_back([=, this] { feed->compare(now, MemberId{20}, Incarnation{9}, n, at, digests); });
  }
  void unfollow(MemberId, AttachmentNumber) override {}
  std::string check(const Entry&) override { return {}; }
  void refused(const Entry&, std::string_view) override {}
  void applied(Version, const std::vector<const Entry*>&) override {}
  void left(MemberId, LeaveReason) override {}

  void begin(std::initializer_list<Entry> entries) {
    state.clear();
    for (const Entry& entry : entries) state.apply(entry);
    feed = std::make_unique<Feed>(now, state, test_settings(), 1, *this);
    feed->activate(now);
  }
  void run(Nanos length) {
    for (const Nanos until = now + length; now < until; now += 10 * ms) {
      feed->confirm_current(now);
      follower.due(now);
      feed->due(now);
      for (const auto& one : std::exchange(messages, {})) one();
    }
  }
};
std::string check_lost_history() {
  DirectPair s;
  s.begin({put("a/x", 1, "1"), put("b/y", 2, "2"), put("a/z", 3, "lost")});
  s.run(5 * second);
  if (s.follower.version() != v(3)) return "the first state is not applied";
  s.begin({put("a/x", 1, "1"), put("b/y", 2, "2")});
  s.run(10 * second);
  if (s.follower.version() != v(3)) return "an older state is applied";
  const Entry newer = put("b/y", 1, "new", 9);
  s.state.apply(newer);
  s.feed->committed(s.now, newer);
  s.run(20 * second);
  if (s.follower.version() != v(1, 9) || s.follower.find("a/z")) return "entries that were lost remain";
  return {};
}

// Messages that no correct feed sends and that a server has to reject.
std::string check_rejections() {
  DirectPair s;
  const MemberId from{1};
  s.begin({put("a/x", 1, "1"), put("b/y", 2, "2")});
  s.run(5 * second);
  const AttachmentNumber n = s.number;
  Follower& f = s.follower;
  f.delta(s.now, from, Incarnation{9}, n, v(4), v(5), v(5), 0, {put("a/x", 5, "5")});
  if (f.version() != v(2)) return "a delta is applied after a gap";
  f.delta(s.now, from, Incarnation{9}, n, v(0), v(1), v(1), 0, {put("a/x", 1, "0")});
  f.renewal(s.now, from, Incarnation{9}, n, v(1), {0, 1}, {}, v(1), v(1), {put("a/x", 1, "0")});
  f.delta(s.now, from, Incarnation{9}, n, v(1), v(1), v(1), 0, {});
  if (f.version() != v(2)) return "an older state is applied";
  f.delta(s.now, from, Incarnation{9}, n, v(2), v(3), v(4), 0, {put("a/x", 3, "3")});
  if (f.version() != v(2) || f.find("a/x")->value != "1") return "a part is applied alone";
  f.delta(s.now, from, Incarnation{9}, n, v(3), v(3), v(3), 0, {});
  if (f.version() != v(2)) return "staged entries are completed by an older state";
  f.delta(s.now, from, Incarnation{9}, n, v(3), v(4), v(4), 0, {put("b/y", 4, "4")});
  return f.version() == v(4) && f.find("a/x")->value == "3" ? "" : "a complete delta is not applied";
}

struct Totals {
  std::uint64_t seeds = 0, wrong = 0, commits = 0, taken = 0, server_starts = 0;
  Feed::Counts feed;
  Follower::Counts follower;
  std::size_t most_renewals = 0;
  Nanos converged_after = 0;
  std::string first;
  void add(const Plan& plan, const Verdict& one) {
    ++seeds;
    commits += one.commits, taken += one.taken, server_starts += one.server_starts;
    feed.parts += one.feed.parts, feed.repeats += one.feed.repeats, feed.renewals += one.feed.renewals;
    follower.gaps += one.follower.gaps, follower.outdated += one.follower.outdated;
    follower.misaddressed += one.follower.misaddressed, follower.moves += one.follower.moves;
    follower.refused += one.follower.refused, follower.invalid += one.follower.invalid;
    most_renewals = std::max(most_renewals, one.most_renewals);
    converged_after = std::max(converged_after, one.converged_after);
    if (one.first.empty()) return;
    ++wrong;
    if (first.empty()) first = "seed " + std::to_string(plan.seed) + ", " + one.first;
  }
};

int run_seeds(std::uint64_t seeds, bool stop) {
  Totals sum;
  for (const std::string& what : {check_lost_history(), check_rejections()})
    if (!what.empty() && ++sum.wrong == 1) sum.first = what;
  for (std::uint64_t seed = 1; seed <= seeds && !(stop && sum.wrong > 0); ++seed)
    sum.add(plan_of(seed), FleetOfFollowers(plan_of(seed)).play());
  const auto n = [](std::uint64_t count) { return static_cast<unsigned long long>(count); };
  std::printf("%llu seeds, wrong %llu: %llu commits, %llu starts of servers, %llu states applied\n",
              n(sum.seeds), n(sum.wrong), n(sum.commits), n(sum.server_starts), n(sum.taken));
  if (!sum.first.empty()) std::printf("  first: %s\n", sum.first.c_str());
  std::printf("  parts %llu, repeated %llu, renewals %llu, at most %zu at once\n", n(sum.feed.parts),
              n(sum.feed.repeats), n(sum.feed.renewals), sum.most_renewals);
  std::printf(
      "  not taken: gaps %llu, older %llu, foreign %llu, senseless %llu; entries refused %llu, moves %llu\n",
      n(sum.follower.gaps), n(sum.follower.outdated), n(sum.follower.misaddressed), n(sum.follower.invalid),
      n(sum.follower.refused), n(sum.follower.moves));
  std::printf("  all level %lld ms after the last fault at the latest\n",
              static_cast<long long>(sum.converged_after / ms));
  return sum.wrong > 0 ? 1 : 0;
}

int run_without_faults() {
  Plan plan;
  plan.controls = 10, plan.servers = 60, plan.zones = 5, plan.delay = 150 * ms;
  plan.commits = 4, plan.bursts = 0.2, plan.deleted = plan.bad = 0;
  plan.link_breaks = plan.cuts = plan.control_restarts = plan.deactivations = plan.pauses =
      plan.muted_periods = plan.server_restarts = 0;
  plan.scope_changes = plan.zone_restarts = plan.lag = 0;
  plan.quiet_after = 30 * second, plan.length = 40 * second, plan.small_parts = false;
  Verdict v = FleetOfFollowers(plan).play();
  std::sort(v.gaps.begin(), v.gaps.end());
  if (!v.first.empty() || v.gaps.empty()) return std::printf("  wrong: %s\n", v.first.c_str()), 1;
  std::printf("  %zu times a change came into force at a server: half within %lld ms, all within %lld ms\n",
              v.gaps.size(), static_cast<long long>(v.gaps[v.gaps.size() / 2] / ms),
              static_cast<long long>(v.gaps.back() / ms));
  return v.gaps.back() > 4 * second ? 1 : 0;
}

int run_zone_restarts() {
  Plan plan;
  plan.controls = 4, plan.servers = 60, plan.zones = 2, plan.most_whole = 4;
  plan.link_breaks = plan.cuts = plan.control_restarts = plan.deactivations = plan.pauses =
      plan.muted_periods = plan.server_restarts = 0;
  plan.scope_changes = plan.lag = 0;
  plan.zone_restarts = 0.3, plan.faults_last = 0;
  const Verdict v = FleetOfFollowers(plan).play();
  std::printf("  %llu renewals, at most %zu at once, all level %lld ms after the last fault%s%s\n",
              static_cast<unsigned long long>(v.feed.renewals), v.most_renewals,
              static_cast<long long>(v.converged_after / ms),
              v.first.empty() ? "" : ", wrong: ", v.first.c_str());
  return v.first.empty() ? 0 : 1;
}

// ---- cost

struct RecordedDeltas final : FeedActions {
  std::vector<std::pair<MemberId, Version>> deltas;
  void delta(MemberId to, Incarnation, AttachmentNumber, Version, Version upto, Version, Nanos,
             const std::vector<const Entry*>&) override {
    deltas.emplace_back(to, upto);
  }
  void renewal(MemberId, Incarnation, AttachmentNumber, Version, const std::vector<std::uint16_t>&, Version,
               Version, Version, const std::vector<const Entry*>&) override {}
  void beat(MemberId, Incarnation, AttachmentNumber, Version, Nanos) override {}
  void rest(MemberId, Incarnation, AttachmentNumber, Nanos) override {}
  void elsewhere(MemberId, Incarnation, AttachmentNumber) override {}
  void again(MemberId, Incarnation, AttachmentNumber) override {}
};

// Entries and followers visited for a change in a scope with `of_scope` followers, including their
// acknowledgements.
double visits_per_change(unsigned all, unsigned of_scope) {
  Settings settings = test_settings();
  settings["control.most_followers"] = static_cast<double>(all);
  settings["control.total_rate"] = settings["control.total_burst"] = 1e12;
  RecordedDeltas out;
  Entries state(settings);
  Feed feed(0, state, settings, 1, out);
  std::uint64_t number = 0;
  const auto commit = [&](Nanos now, const char* key) {
    const Entry entry = put(key, ++number, "x");
    state.apply(entry);
    feed.committed(now, entry);
    feed.due(now);
  };
  feed.activate(0);
  commit(0, "wide/x");
  commit(0, "narrow/x");
  for (unsigned i = 0; i < all; ++i)
    feed.follow(0, MemberId{i + 1}, Incarnation{1}, AttachmentNumber{1}, true, {v(2), v(2), {}, {}, 0},
                {{i < of_scope ? "narrow" : "wide", state.digest(i < of_scope ? "narrow" : "wide"), true}});
  feed.due(0);
  const std::uint64_t before = feed.counts().visited;
  for (int i = 0; i < 5; ++i) {
    out.deltas.clear();
    commit(i * 10 * ms, "narrow/x");
    for (const auto& [to, upto] : std::exchange(out.deltas, {}))
      feed.have(i * 10 * ms, to, Incarnation{1}, AttachmentNumber{1}, {upto, upto, {}, {}, 0});
    feed.due(i * 10 * ms);
  }
  return static_cast<double>(feed.counts().visited - before) / 5;
}

int check_costs() {
  const auto exponent = [](const std::vector<std::pair<double, double>>& points) {
    double x = 0, y = 0, xx = 0, xy = 0;
    for (const auto& [a, b] : points)
      x += std::log(a), y += std::log(b), xx += std::log(a) * std::log(a), xy += std::log(a) * std::log(b);
    const double n = static_cast<double>(points.size());
    return (n * xy - x * y) / (n * xx - x * x);
  };
  std::vector<std::pair<double, double>> in_all, in_scope;
  for (const unsigned all : {100u, 300u, 1000u, 3000u, 10000u})
    in_all.emplace_back(all, visits_per_change(all, 20));
  for (const unsigned some : {10u, 30u, 100u, 300u, 1000u})
    in_scope.emplace_back(some, visits_per_change(2000, some));
  std::printf("  looked at for a change of a scope with 20 followers, of 100 to 10,000 in all:");
  for (const auto& [all, looked] : in_all) std::printf(" %.0f", looked);
  const double a = exponent(in_all), b = exponent(in_scope);
  std::printf(", exponent %.2f\n  with 10 to 1,000 followers, of 2,000:", a);
  for (const auto& [some, looked] : in_scope) std::printf(" %.0f", looked);
  std::printf(", exponent %.2f\n", b);
  return a > 0.1 || b > 1.1 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv) {
  if (argc > 1)
    return run_seeds(std::strtoull(argv[1], nullptr, 10), argc > 2 && !std::strcmp(argv[2], "stop"));
  feed_steps();
  follower_steps();
  print_title("fleets with faults");
  int wrong = run_seeds(300, false);
  print_title("without faults, with bursts of 100 changes");
  wrong += run_without_faults();
  print_title("half of the servers restart at once from time to time");
  wrong += run_zone_restarts();
  print_title("the cost of a change");
  wrong += check_costs();
  return wrong;
}
