// Tests of the fleet's periodic tasks on one member, step by step, and of the lease clock.
#include "tasks.hpp"
#include "clocks.hpp"

#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>

using namespace cometshift;

namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos second = 1000 * ms;
void say(const char* text) { std::printf("# %s\n", text); }

// A member that is the only voter; its messages to itself are delivered at the end of each step.
struct Driver final : LeaseActions, TaskActions {
  Nanos now = 0;
  std::deque<std::function<void()>> pending_messages;
  bool asks_lost = false; // its asks are lost
  Voters voters{0, MemberId{1}, {Epoch{1}, {MemberId{1}}, {}}, second};
  Leases leases;
  std::unique_ptr<Tasks> tasks;
  std::map<std::uint32_t, Token> running;

  explicit Driver(const Settings& task_settings)
      : leases(0, MemberId{1}, Incarnation{7}, voters,
               {{"leases.term", 1e9},
                {"leases.longest_term", 1e9},
                {"leases.drift", 0.01},
                {"leases.most", 16.0}},
               1, *this) {
    tasks = std::make_unique<Tasks>(0, task_settings, leases, *this);
  }
  void ask(MemberId, Epoch epoch, std::string_view l, AskNo n, Token t, Nanos term) override {
    if (asks_lost) return;
    pending_messages.push_back([this, epoch, l = std::string(l), n, t, term] {
      leases.asked(now, MemberId{1}, Incarnation{7}, epoch, l, n, t, term);
    });
  }
  void release(MemberId, std::string_view l, AskNo n) override {
    pending_messages.push_back(
        [this, l = std::string(l), n] { leases.released(now, MemberId{1}, Incarnation{7}, l, n); });
  }
  void grant(MemberId, Incarnation of, std::string_view l, AskNo n, bool w) override {
    pending_messages.push_back(
        [this, of, l = std::string(l), n, w] { leases.granted(now, MemberId{1}, of, l, n, w); });
  }
  void refuse(MemberId, Incarnation of, std::string_view l, AskNo n, Token seen, Nanos left) override {
    pending_messages.push_back([this, of, l = std::string(l), n, seen, left] {
      leases.refused(now, MemberId{1}, of, l, n, seen, left);
    });
  }
  void held(std::string_view l, Token, Nanos from, Nanos) override { tasks->held(l, from); }
  void lost(std::string_view l, Token, LossReason reason) override {
    std::printf("  %6lld %s lost: %s\n", at(), std::string(l).c_str(), std::string(to_text(reason)).c_str());
    tasks->lost(l);
  }
  void begin(TaskId t, Token token, Nanos limit) override {
    running[t.raw] = token;
    std::printf("  %6lld begin %s, within %lld ms\n", at(), tasks->name(t).c_str(),
                static_cast<long long>(limit / ms));
  }
  void notify_done(TaskId t, Token) override {
    std::printf("  %6lld notify that %s is done\n", at(), tasks->name(t).c_str());
  }
  void released_after_failures(TaskId t, Nanos rest) override {
    std::printf("  %6lld lease of %s released for %lld ms\n", at(), tasks->name(t).c_str(),
                static_cast<long long>(rest / ms));
  }
  long long at() const { return static_cast<long long>(now / ms); }
  void step() {
    leases.due(now);
    tasks->due(now);
    while (!pending_messages.empty()) {
      const auto action = std::move(pending_messages.front());
      pending_messages.pop_front();
      action();
      leases.due(now);
      tasks->due(now);
    }
  }
  void run_until(Nanos time) {
    for (;;) {
      Nanos next = leases.next_wake();
      if (const Nanos other = tasks->next_wake(); other >= 0) next = std::min(next, other);
      if (next < 0 || next > time * ms) break;
      now = std::max(now, next);
      step();
    }
    now = time * ms;
    step();
  }
  void finish(std::uint32_t t, TaskOutcome outcome, Token seen = {}) {
    const Token token = running[t];
    running.erase(t);
    tasks->ended(now, TaskId{t}, token, outcome, seen);
    step();
  }
};

Settings task(int n, const char* name, Nanos every, Nanos limit, Settings more = {}) {
  const std::string at = "task." + std::to_string(n) + ".";
  Settings settings{{at + "name", std::string(name)},
                    {at + "every", static_cast<double>(every * ms)},
                    {at + "limit", static_cast<double>(limit * ms)}};
  for (const auto& [key, value] : more) settings[at + key] = value;
  return settings;
}
Settings merged(Settings a, const Settings& b) {
  a.insert(b.begin(), b.end());
  return a;
}

void steps() {
  {
    say("run once a period by the holder; not started while running, or if it would not end within the "
        "holding");
    Driver s(task(0, "sweep", 400, 300));
    s.run_until(1100); // a voter is silent for a term after its start
    s.run_until(1250);
    s.finish(0, TaskOutcome::done);
    s.run_until(1600);
    s.finish(0, TaskOutcome::done);
    s.asks_lost = true; // no renewal succeeds from here on
    s.run_until(3000);
  }
  {
    say("highest priority first, up to the limit of concurrent tasks");
    Settings all = merged(task(0, "low", 200, 50, {{"priority", 1.0}}),
                          merged(task(1, "high", 200, 50, {{"priority", 9.0}}),
                                 task(2, "middle", 200, 50, {{"priority", 5.0}})));
    all["tasks.at_once"] = 2.0;
    Driver s(all);
    s.run_until(1150);
    s.finish(1, TaskOutcome::done);
    s.run_until(1160);
    s.finish(2, TaskOutcome::failed);
    s.finish(0, TaskOutcome::done);
  }
  {
    say("equal priorities, one at a time: each in turn");
    Settings all = merged(task(0, "a", 100, 50), merged(task(1, "b", 100, 50), task(2, "c", 100, 50)));
    all["tasks.at_once"] = 1.0;
    Driver s(all);
    s.run_until(1150);
    for (int n = 0; n < 5; ++n) {
      s.run_until(s.now / ms + 120);
      s.finish(s.running.begin()->first, TaskOutcome::done);
    }
  }
  {
    say("three consecutive failures: the lease is released, each time for longer, so that another member may "
        "try");
    Driver s(task(0, "sweep", 100, 50));
    s.run_until(1150);
    for (int n = 0; n < 7; ++n) {
      s.finish(0, n % 2 ? TaskOutcome::failed : TaskOutcome::unknown);
      while (!s.running.contains(0)) s.run_until(s.now / ms + 10);
    }
    say("the target knows a greater token: the lease is released and held again under a greater one");
    s.finish(0, TaskOutcome::refused, Token{0x5000000});
    while (!s.running.contains(0)) s.run_until(s.now / ms + 10);
    std::printf("  under %llx\n", static_cast<unsigned long long>(s.running[0].raw));
  }
  {
    say("done by another member: the period counts from then; a late report of an earlier holder changes "
        "nothing");
    Driver s(task(0, "sweep", 400, 100));
    s.now = 700 * ms;
    s.tasks->completed_elsewhere(s.now, "sweep", Token{9}, 100 * ms);
    s.tasks->completed_elsewhere(s.now, "sweep", Token{8}, 0);
    s.tasks->completed_elsewhere(s.now, "unknown", Token{8}, 0);
    s.run_until(1300);
    std::printf("  next at %lld\n", static_cast<long long>(s.tasks->status()[0].next / ms));
  }
  for (const double catch_up : {0.0, 1.0}) {
    say(catch_up > 0 ? "missed periods are made up for" : "missed periods are skipped");
    Driver s(task(0, "sweep", 200, 50, {{"catch_up", catch_up}}));
    s.run_until(1105);
    for (int n = 0; n < 3; ++n) {
      s.run_until(s.now / ms + 20);
      if (s.running.contains(0)) s.finish(0, TaskOutcome::done);
    }
    const Tasks::Status status = s.tasks->status()[0];
    std::printf("  done %llu, left out %llu, next at %lld\n", static_cast<unsigned long long>(status.done),
                static_cast<unsigned long long>(status.missed), static_cast<long long>(status.next / ms));
  }
  {
    say("at most sixteen an hour: two at once, then one every 225 s");
    Driver s(task(0, "sweep", 1000, 50, {{"most_an_hour", 16.0}}));
    s.run_until(1050);
    for (int n = 0; n < 4; ++n) {
      s.finish(0, TaskOutcome::done);
      while (!s.running.contains(0)) s.run_until(s.now / ms + 100);
    }
  }
  {
    say("leaving while a task runs: its lease is released when it has ended, and no task starts");
    Driver s(merged(task(0, "sweep", 200, 100), task(1, "other", 200, 100)));
    s.run_until(1150);
    s.finish(1, TaskOutcome::done);
    s.tasks->leave(s.now);
    s.leases.leave(s.now);
    s.run_until(1200);
    s.finish(0, TaskOutcome::done);
    s.run_until(2000);
    std::printf("  still requested: %zu\n", s.leases.status().size());
  }
  say("invalid settings");
  for (const Settings& bad :
       {task(0, "a", 100, 200), task(0, "a", 0, 0), task(0, "a", 100, 50, {{"most_an_hour", -1.0}}),
        merged(task(0, "a", 100, 50), {{"tasks.at_once", 0.0}})})
    try {
      Driver s(bad);
      std::printf("  taken\n");
    } catch (const std::invalid_argument& e) {
      std::printf("  %s\n", e.what());
    }
}

// The holder must release by the true time and the voter must not let a grant expire before it, whichever one
// of the two clocks is wrong.
void clocks() {
  say("two clocks, one of them wrong: the time counted by the holder and by the voter over ten seconds");
  struct Case {
    const char* what;
    std::function<Nanos(Nanos)> wrong_clock;
  };
  const Case cases[] = {
      {"both right", [](Nanos t) { return t; }},
      {"one jumps an hour on", [](Nanos t) { return t < 5 * second ? t : t + 3600 * second; }},
      {"one jumps an hour back", [](Nanos t) { return t < 5 * second ? t : t - 3600 * second; }},
      {"one stands", [](Nanos t) { return std::min(t, 5 * second); }},
      {"one runs twice as fast", [](Nanos t) { return 2 * t; }},
      {"one runs half as fast", [](Nanos t) { return t / 2; }},
      {"one goes back and on again",
       [](Nanos t) { return t < 4 * second || t > 6 * second ? t : t - second; }},
  };
  for (const Case& clock_case : cases)
    for (const bool first : {true, false}) {
      LeaseClock clock(100 * second, 100 * second);
      const Nanos early0 = clock.early(), late0 = clock.late();
      Nanos max_divergence = 0, before_early = early0, before_late = late0;
      bool went_back = false, holder_too_slow = false, voter_too_fast = false;
      for (Nanos t = 0; t <= 10 * second; t += 7 * ms) {
        const Nanos wrong_clock = 100 * second + clock_case.wrong_clock(t), right = 100 * second + t;
        clock.take(first ? wrong_clock : right, first ? right : wrong_clock);
        went_back = went_back || clock.early() < before_early || clock.late() < before_late;
        before_early = clock.early(), before_late = clock.late();
        holder_too_slow = holder_too_slow || clock.early() - early0 < t;
        voter_too_fast = voter_too_fast || clock.late() - late0 > t;
        max_divergence = std::max(max_divergence, clock.divergence());
      }
      std::printf("  %s (%s): %lld ms, %lld ms%s%s%s%s\n", clock_case.what, first ? "first" : "second",
                  static_cast<long long>((clock.early() - early0) / ms),
                  static_cast<long long>((clock.late() - late0) / ms),
                  max_divergence > 20 * ms ? ", seen to differ" : "", went_back ? ", WENT BACK" : "",
                  holder_too_slow ? ", HOLDS TOO LONG" : "", voter_too_fast ? ", LETS GO TOO SOON" : "");
    }
}

} // namespace

int main() {
  steps();
  clocks();
}
