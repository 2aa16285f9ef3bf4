// Tests the replicated log of the control members. First small cases, with every message printed; then
// simulated fleets with a checker (fleet_of_replicas.hpp), which guards against two orders of writes, lost
// writes and writes that are applied twice. Usage with arguments: SEEDS [stop] [forgetful] runs only the
// fleets, with up to SEEDS seeds of each kind, ending at the first violation ("stop"), or only the first kind
// ("forgetful"). tests/mutants/control has one file for each fault that the checker has to find.
#include "fleet_of_replicas.hpp"

#include <cstdlib>

namespace {

// ---- small cases: three voters and a member that does not vote; every message is printed and delivered by
// hand

std::string name_of(Version v) {
  return v == Version{} ? "nothing" : std::to_string(v.token.raw) + "." + std::to_string(v.number);
}

class ManualNetwork {
  struct Node final : ReplicaActions {
    ManualNetwork& network;
    MemberId self;
    std::uint64_t start_count = 0;
    std::unique_ptr<Replica> replica;
    Node(ManualNetwork& d, MemberId id) : network(d), self(id) {}
    Incarnation incarnation() const { return Incarnation{self.raw * 10 + start_count}; }

    void send(MemberId to, std::string text, std::function<void(Replica&, Nanos)> what) {
      network.messages_.push_back({self, to, std::move(text), std::move(what)});
    }
    void prepare(MemberId to, Token t, std::uint32_t round) override {
      send(to, "prepare " + std::to_string(t.raw) + ", round " + std::to_string(round),
           [=, from = self, from_incarnation = incarnation()](Replica& r, Nanos n) {
             r.prepared(n, from, from_incarnation, t, round);
           });
    }
    void promise(MemberId to, Incarnation to_incarnation, Token t, std::uint32_t round,
                 const LogStatus& s) override {
      send(to,
           "promise " + std::to_string(t.raw) + ", log to " + name_of(s.last) + ", committed " +
               name_of(s.committed),
           [=, from = self, from_incarnation = incarnation()](Replica& r, Nanos n) {
             r.promised(n, from, from_incarnation, to_incarnation, t, round, s);
           });
    }
    void refuse(MemberId to, Incarnation to_incarnation, Token t, Token seen) override {
      send(to, "refuse " + std::to_string(t.raw) + ", promised " + std::to_string(seen.raw),
           [=, from = self, from_incarnation = incarnation()](Replica& r, Nanos n) {
             r.refused(n, from, from_incarnation, to_incarnation, t, seen);
           });
    }
    void append(MemberId to, const Append& a) override {
      std::string text = "append behind " + name_of(a.previous) + ":";
      for (const Record& one : a.records)
        text += " " + name_of(one.entry.version) + " " + one.entry.key + "=" + one.entry.value + ";";
      send(to, text + " committed " + name_of(a.committed),
           [=, from = self, from_incarnation = incarnation()](Replica& r, Nanos n) {
             r.appending(n, from, from_incarnation, a);
           });
    }
    void appended(MemberId to, Incarnation to_incarnation, Token t, std::uint64_t sequence, Version v,
                  bool gap) override {
      send(to, (gap ? "gap, go back to " : "have up to ") + name_of(v),
           [=, from = self, from_incarnation = incarnation()](Replica& r, Nanos n) {
             r.appended(n, from, from_incarnation, to_incarnation, t, sequence, v, gap);
           });
    }
    void fetch(MemberId to, Token t, Version base, Version cursor, Token since) override {
      send(to, "fetch from " + name_of(cursor) + " on " + name_of(base),
           [=, from = self, from_incarnation = incarnation()](Replica& r, Nanos n) {
             r.fetched(n, from, from_incarnation, t, base, cursor, since);
           });
    }
    void chunk(MemberId to, Incarnation to_incarnation, const Chunk& c) override {
      send(to,
           "chunk " + name_of(c.from) + " to " + name_of(c.to) + ", " + std::to_string(c.records.size()) +
               " records, committed " + name_of(c.committed) + (c.last ? ", last" : ""),
           [=, from = self, from_incarnation = incarnation()](Replica& r, Nanos n) {
             r.chunked(n, from, from_incarnation, to_incarnation, c);
           });
    }
    void pass(MemberId to, Incarnation to_incarnation, Token t, const ForwardedPut& p) override {
      send(to, "put " + p.key + "=" + p.value + " passed on",
           [=, from = self, from_incarnation = incarnation()](Replica& r, Nanos n) {
             r.passed(n, from, from_incarnation, to_incarnation, t, p);
           });
    }
    void answer(MemberId to, Incarnation to_incarnation, Token t, PutNumber p, PutOutcome end, Version v,
                std::string_view reason) override {
      send(to, "put " + std::string(to_text(end)) + " " + name_of(v),
           [=, from = self, from_incarnation = incarnation(), reason = std::string(reason)](Replica& r,
                                                                                            Nanos n) {
             r.answered(n, from, from_incarnation, to_incarnation, t, p, end, v, reason);
           });
    }
    std::string rejection_reason(const Entry& entry) override {
      return entry.value == "bad" ? "it is bad" : "";
    }
    void committed(const Record& r) override {
      std::printf("  %u has committed %s %s=%s\n", self.raw, name_of(r.entry.version).c_str(),
                  r.entry.key.c_str(), r.entry.value.c_str());
    }
    void replaced() override {
      std::printf("  %u has another state, of %s\n", self.raw, name_of(replica->committed()).c_str());
    }
    void ended(PutNumber, PutOutcome end, Version v, std::string_view reason) override {
      std::printf("  put at %u %s %s%s%s\n", self.raw, std::string(to_text(end)).c_str(), name_of(v).c_str(),
                  reason.empty() ? "" : ": ", std::string(reason).c_str());
    }
    void began(Token t, bool after_loss) override {
      std::printf("  %u in office under %llu%s\n", self.raw, static_cast<unsigned long long>(t.raw),
                  after_loss ? ", begun anew" : "");
    }
    void stepped_down(Token t) override {
      std::printf("  %u steps down, %llu\n", self.raw, static_cast<unsigned long long>(t.raw));
    }
    void superseded(Token t, Token seen) override {
      std::printf("  %u superseded, %llu by %llu\n", self.raw, static_cast<unsigned long long>(t.raw),
                  static_cast<unsigned long long>(seen.raw));
    }
  };
  struct Message {
    MemberId from, to;
    std::string text;
    std::function<void(Replica&, Nanos)> what;
  };
  std::vector<std::unique_ptr<Node>> nodes_;
  std::deque<Message> messages_;
  std::set<std::uint32_t> cut_; // members that neither receive nor send
  bool quiet_ = false;

 public:
  Nanos now = 0;
  static Settings settings() {
    return {{"control.most_entries", 100.0}, {"control.most_bytes", 10000.0}, {"control.most_key", 100.0},
            {"control.most_value", 100.0},   {"control.most_deleted", 4.0},   {"control.beat", 1e9},
            {"control.again", 1e9},          {"control.batch", 0.0},          {"control.grace", 1e9},
            {"control.patience", 3e9},       {"control.put_timeout", 5e9},    {"control.most_puts", 4.0},
            {"control.most_log", 3.0},       {"control.most_pending", 8.0},   {"control.most_batch", 100.0},
            {"control.most_batches", 4.0}};
  }
  ManualNetwork() {
    for (std::uint32_t m = 1; m <= 4; ++m) {
      nodes_.push_back(std::make_unique<Node>(*this, MemberId{m}));
      start(m);
    }
  }
  Replica& operator[](std::uint32_t m) { return *nodes_[m - 1]->replica; }
  void start(std::uint32_t m) {
    Node& node = *nodes_[m - 1];
    ++node.start_count;
    node.replica = std::make_unique<Replica>(
        now, node.self, node.incarnation(),
        std::set<MemberId>{MemberId{1}, MemberId{2}, MemberId{3}, MemberId{4}},
        std::set<MemberId>{MemberId{1}, MemberId{2}, MemberId{3}}, settings(), node);
  }
  void cut(std::set<std::uint32_t> members) { cut_ = std::move(members); }
  void set_quiet(bool quiet) { quiet_ = quiet; }
  // Delivers queued messages and the ones that they cause, up to `max_messages`, and runs what is due.
  void deliver(int max_messages = 1000) {
    for (int count = 0; count < max_messages; ++count) {
      for (auto& node : nodes_)
        if (const Nanos next = node->replica->next_wake(); next >= 0 && next <= now) node->replica->due(now);
      if (messages_.empty()) return;
      const Message message = std::move(messages_.front());
      messages_.pop_front();
      const bool lost = cut_.contains(message.from.raw) || cut_.contains(message.to.raw);
      if (!quiet_)
        std::printf("  %u to %u: %s%s\n", message.from.raw, message.to.raw, message.text.c_str(),
                    lost ? " (lost)" : "");
      if (!lost) message.what(*nodes_[message.to.raw - 1]->replica, now);
    }
  }
  void advance(Nanos span) {
    now += span;
    for (auto& node : nodes_) node->replica->due(now);
  }
  void show() {
    std::printf("  now");
    for (auto& node : nodes_)
      std::printf("%s %u: %s, committed %s, log to %s", node->self.raw > 1 ? ";" : "", node->self.raw,
                  node->replica->ready() ? "ready" : "blank", name_of(node->replica->committed()).c_str(),
                  name_of(node->replica->status().last).c_str());
    std::printf("\n");
  }
};

void small_cases() {
  const auto say = [](const char* what) { std::printf("# %s\n", what); };
  const auto put = [](ManualNetwork& d, std::uint32_t m, const char* key, const char* value,
                      std::optional<Version> expected = {}) { d[m].put(d.now, key, value, false, expected); };
  ManualNetwork d;
  say("first start: no voter has a state; all have answered twice before the first writer begins");
  d[1].lease_held(0, Token{10}, 60 * second);
  d.deliver();
  d.show();
  say("a put at 4: forwarded, written, committed by two of three, answered as done");
  put(d, 4, "s/a", "1");
  d.deliver();
  d.show();
  say("refused: by the caller's check, because of a concurrent change, because of its scope");
  d.set_quiet(true);
  put(d, 1, "s/b", "bad");
  put(d, 1, "s/a", "2", Version{});
  put(d, 1, "control/roster", "x");
  d.deliver();
  d.set_quiet(false);
  say("the writer fails between an acknowledgement and the commit: the next writer finds the record and "
      "commits it");
  put(d, 1, "s/a", "3");
  d.cut({3, 4});
  d.deliver(1); // to 2 only; its acknowledgement is lost
  d.cut({1});
  d.start(1);
  d[2].lease_held(d.now, Token{20}, 120 * second);
  d.deliver();
  d.show();
  say("a prepare with a smaller token is refused");
  d.cut({});
  d[1].lease_held(d.now, Token{15}, 60 * second);
  d.deliver();
  say("a member without state joins: it receives all that it lacks, then a roster that names its "
      "incarnation");
  d.advance(second);
  d.deliver();
  d.advance(second);
  d.deliver();
  d.show();
  say("the writer is partitioned off with a minority: its put is not committed, and another member becomes "
      "the writer");
  d.cut({2});
  put(d, 2, "s/a", "lost");
  d.deliver();
  d[3].lease_held(d.now, Token{30}, 300 * second);
  d.deliver();
  put(d, 3, "s/a", "kept");
  d.deliver();
  say("after the partition, uncommitted records are discarded; the log shows that, so the put is forwarded");
  d[2].lease_lost(d.now, Token{20});
  d.cut({});
  d.advance(second);
  d.deliver();
  d.show();
  say("loss of all voters: all answer without state; the member that does not vote still holds the state");
  d.start(1), d.start(2), d.start(3);
  d[1].lease_held(d.now, Token{40}, 600 * second);
  d.deliver();
  d.advance(second);
  d.set_quiet(true);
  d.deliver();
  d.advance(second);
  d.deliver();
  d.show();
}

// ---- fleets

struct Totals {
  std::uint64_t seeds = 0, majority_kept = 0;
  Verdict all;
};
void add(Totals& sum, const Verdict& v, std::uint64_t kind, std::uint64_t seed) {
  ++sum.seeds;
  sum.majority_kept += v.majority_kept;
  sum.all.commits += v.commits, sum.all.puts += v.puts, sum.all.done += v.done;
  sum.all.refused += v.refused, sum.all.unknown += v.unknown, sum.all.terms += v.terms;
  sum.all.losses += v.losses, sum.all.transfers += v.transfers, sum.all.starts += v.starts;
  sum.all.wrong += v.wrong;
  if (sum.all.first.empty() && !v.first.empty())
    sum.all.first = "kind " + std::to_string(kind) + ", seed " + std::to_string(seed) + ", " + v.first;
}
void print(const char* what, const Totals& s) {
  const auto n = [](std::uint64_t value) { return static_cast<unsigned long long>(value); };
  std::printf("%s: %llu seeds, %llu starts, %llu terms, %llu commits, %llu transfers, wrong %d\n", what,
              n(s.seeds), n(s.all.starts), n(s.all.terms), n(s.all.commits), n(s.all.transfers), s.all.wrong);
  std::printf("  a majority of the voters always had its state: %llu seeds\n", n(s.majority_kept));
  std::printf("  puts %llu: done %llu, refused %llu, unknown %llu\n", n(s.all.puts), n(s.all.done),
              n(s.all.refused), n(s.all.unknown));
  if (!s.all.first.empty()) std::printf("  first: %s\n", s.all.first.c_str());
}

constexpr std::uint64_t plan_kinds = 10;
Plan kind_of(std::uint64_t kind) {
  Plan plan;
  plan.voters = kind % 3 == 2 ? 5 : 3;
  plan.members = plan.voters + 2 + static_cast<unsigned>(kind % 4);
  plan.regions = kind % 2 == 0 ? 3 : 5;
  plan.drift = kind % 2 == 0 ? 0.05 : 0.001;
  plan.lost = kind % 5 == 4 ? 0.3 : 0.05;
  plan.crashes = kind % 3 == 0 ? 2 : 0.5;
  plan.writer_crashes = kind % 3 == 1 ? 0.7 : 0.1;
  plan.cuts = kind % 4 == 3 ? 1 : 0.3;
  plan.pauses = kind % 5 == 1 ? 1.5 : 0.3;
  plan.delayed = kind % 3 == 0 ? 0.1 : 0.02;
  return plan;
}
Totals run_plan(const Plan& given, std::uint64_t kind, std::uint64_t from, std::uint64_t seeds, bool stop) {
  Totals sum;
  Plan plan = given;
  for (plan.seed = from; plan.seed < from + seeds; ++plan.seed) {
    add(sum, FleetOfReplicas(plan).play(), kind, plan.seed);
    if (stop && sum.all.wrong > 0) break;
  }
  return sum;
}
Totals run_plan_kinds(std::uint64_t seeds, bool stop) {
  Totals all;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    Plan plan = kind_of(seed % plan_kinds);
    plan.seed = seed;
    add(all, FleetOfReplicas(plan).play(), seed % plan_kinds, seed);
    if (stop && all.all.wrong > 0) break;
  }
  return all;
}
// Clocks far beyond the drift bound, so that two members write at once: safety must not depend on clocks.
Plan plan_with_wrong_clocks() {
  Plan plan = kind_of(1);
  plan.drift = 0.05;
  plan.clock_error_factor = 10;
  plan.pauses = 2;
  return plan;
}
// No leases: random members are told that they hold the lease, and write concurrently.
Plan plan_with_random_holders() {
  Plan plan = kind_of(0);
  plan.random_holding = 400 * ms;
  plan.delayed = 0.05;
  return plan;
}
// As above, with members that restart without their state again and again, and late messages of earlier
// incarnations.
Plan plan_with_forgetful_members() {
  Plan plan = plan_with_random_holders();
  plan.random_holding = 150 * ms;
  plan.voters = 3;
  plan.members = 4;
  plan.quick_restart = true;
  plan.crashes = 6;
  plan.delayed = 0.15;
  plan.pauses = 0;
  plan.cuts = 1;
  return plan;
}
// Most voters, or all members, lose their state at once from time to time.
Plan plan_with_lost_voters() {
  Plan plan = kind_of(2);
  plan.spare_majority = false;
  plan.losses = 0.2;
  return plan;
}

} // namespace

int main(int count, char** arguments) {
  const auto has_argument = [&](const char* word) {
    return std::any_of(arguments + 1, arguments + count,
                       [&](const char* one) { return std::string_view(one) == word; });
  };
  if (count > 1) {
    // The kinds that find most faults run first.
    const std::uint64_t seeds = std::strtoull(arguments[1], nullptr, 10);
    const bool stop = has_argument("stop");
    int wrong = 0;
    const auto play = [&](const char* what, const std::function<Totals()>& sum) {
      if (stop && wrong > 0) return;
      const Totals s = sum();
      print(what, s);
      wrong += s.all.wrong;
    };
    play("members that lose their state, random lease holders",
         [&] { return run_plan(plan_with_forgetful_members(), 104, 1, seeds, stop); });
    if (has_argument("forgetful")) return wrong == 0 ? 0 : 1;
    play("mixed faults", [&] { return run_plan_kinds(seeds, stop); });
    play("random lease holders",
         [&] { return run_plan(plan_with_random_holders(), 102, 1, seeds / 2, stop); });
    play("clocks beyond the drift bound",
         [&] { return run_plan(plan_with_wrong_clocks(), 100, 1, seeds / 5, stop); });
    play("voters lost at once", [&] { return run_plan(plan_with_lost_voters(), 101, 1, seeds, stop); });
    return wrong == 0 ? 0 : 1;
  }
  small_cases();
  std::printf("# fleets\n");
  const Totals all = run_plan_kinds(80, false);
  print("mixed faults", all);
  const Totals off = run_plan(plan_with_wrong_clocks(), 100, 1, 10, false);
  print("clocks ten times beyond the drift bound: two write at once", off);
  const Totals lost = run_plan(plan_with_lost_voters(), 101, 1, 10, false);
  print("voters lost at once", lost);
  const Totals free = run_plan(plan_with_random_holders(), 102, 1, 20, false);
  print("random lease holders, several at once", free);
  const Totals forgot = run_plan(plan_with_forgetful_members(), 104, 1, 40, false);
  print("the same, with members that lose their state again and again", forgot);
  const Totals barren = run_plan(plan_with_forgetful_members(), 104, 2521, 1,
                                 false); // each term leaves an uncommitted roster
  print("many terms in a row that commit nothing", barren);
  Plan twice = kind_of(0);
  twice.reuse_incarnation = true;
  const Totals same = run_plan(twice, 103, 1, 20, true);
  std::printf("reused incarnations: %s\n", same.all.wrong > 0 ? "detected by the checker" : "NOT DETECTED");
  const int wrong = all.all.wrong + off.all.wrong + lost.all.wrong + free.all.wrong + forgot.all.wrong +
                    (same.all.wrong == 0);
  std::puts(wrong == 0 ? "one order, no write lost or applied twice" : "WRONG");
  return wrong == 0 ? 0 : 1;
}
