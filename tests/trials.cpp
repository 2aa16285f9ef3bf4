// Tests of shared trials: one server step by step, then simulated fleets whose servers have the decision
// module's circuit breaker, compared with the same fleets where each server sends its own trials. The service
// counts the calls that reach it.
#include "trials.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>

using namespace cometshift;

namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos second = 1000 * ms;
constexpr const char* lease = "below";

// The constants of the circuit breaker, as in src/decision_module.cpp.
constexpr Nanos initial_backoff = 250 * ms, max_backoff = 1000 * ms;
constexpr int failures_to_open = 5;

struct Scenario {
  std::uint64_t seed = 1;
  unsigned servers = 12;
  bool shared = true;
  Nanos down_from = 5 * second, down_to = 25 * second, length = 40 * second;
  Nanos kill_holder_at = -1;        // it does not restart
  Nanos cut_from = -1, cut_to = -1; // half of the servers are cut off; the voters are in the other half
  Nanos call_every = 100 * ms;      // of each server, while its breaker is closed
};
struct Result {
  std::uint64_t trials_while_down = 0; // trial calls at the service, once all breakers are open
  // From the service's recovery until half and nine tenths of the servers have resumed.
  Nanos half_resumed_after = -1, most_resumed_after = -1;
  std::uint64_t max_resumed_in_100ms = 0; // the most servers that resumed within any 100 ms
  std::uint64_t messages_sent = 0;
};

class Fleet {
  struct Server final : LeaseActions, TrialActions {
    Fleet& fleet;
    MemberId self;
    Voters voters;
    std::unique_ptr<Leases> leases;
    std::unique_ptr<Trials> trials;
    bool up = true;
    int failures = 0;
    Nanos backoff = 0, open_until = 0, trial_deferred_until = 0;
    bool breaker_open() const { return failures >= failures_to_open; }
    Nanos scheduled_wake = -1;

    Server(Fleet& f, MemberId id)
        : fleet(f), self(id), voters(0, id, {Epoch{1}, {MemberId{1}, MemberId{2}, MemberId{3}}, {}}, second) {
    }
    void ask(MemberId v, Epoch e, std::string_view l, AskNo n, Token t, Nanos term) override {
      fleet.send(self, v, [from = self, e, l = std::string(l), n, t, term](Server& at, Nanos now) {
        at.leases->asked(now, from, Incarnation{1}, e, l, n, t, term);
      });
    }
    void release(MemberId v, std::string_view l, AskNo n) override {
      fleet.send(self, v, [from = self, l = std::string(l), n](Server& at, Nanos now) {
        at.leases->released(now, from, Incarnation{1}, l, n);
      });
    }
    void grant(MemberId to, Incarnation of, std::string_view l, AskNo n, bool w) override {
      fleet.send(self, to, [from = self, of, l = std::string(l), n, w](Server& at, Nanos now) {
        at.leases->granted(now, from, of, l, n, w);
      });
    }
    void refuse(MemberId to, Incarnation of, std::string_view l, AskNo n, Token seen, Nanos left) override {
      fleet.send(self, to, [from = self, of, l = std::string(l), n, seen, left](Server& at, Nanos now) {
        at.leases->refused(now, from, of, l, n, seen, left);
      });
    }
    void held(std::string_view, Token token, Nanos from, Nanos) override {
      fleet.holder = this;
      trials->held(fleet.now, token, from);
    }
    void lost(std::string_view, Token, LossReason) override {
      if (fleet.holder == this) fleet.holder = nullptr;
      trials->lost(fleet.now);
    }
    void defer_trial(Nanos until) override { trial_deferred_until = until; }
    void resume_calls() override {
      failures = 0, backoff = 0;
      fleet.record_resumed(*this);
    }
    void report_result(bool success, Token token) override {
      for (auto& other : fleet.servers_)
        if (other.get() != this)
          fleet.send(self, other->self, [success, token, sent_at = fleet.now](Server& at, Nanos now) {
            at.trials->result_received(now, token, success, now - sent_at);
          });
    }
  };

  Scenario scenario_;
  Pcg random_;
  Result result_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<Nanos> resumed_at_;
  using Event = std::pair<std::pair<Nanos, std::uint64_t>, std::function<void()>>;
  struct Later {
    bool operator()(const Event& a, const Event& b) const { return a.first > b.first; }
  };
  std::priority_queue<Event, std::vector<Event>, Later> queue_;
  std::uint64_t order_ = 0;

 public:
  Nanos now = 0;
  Server* holder = nullptr;

  explicit Fleet(const Scenario& scenario) : scenario_(scenario), random_(scenario.seed) {
    const Settings settings{{"leases.term", 1e9}, {"leases.longest_term", 1e9}, {"leases.drift", 0.01},
                            {"leases.most", 4.0}, {"trials.unheard", 2e9},      {"trials.spread", 5e8}};
    for (unsigned s = 1; s <= scenario.servers; ++s) {
      servers_.push_back(std::make_unique<Server>(*this, MemberId{s}));
      Server& server = *servers_.back();
      server.leases = std::make_unique<Leases>(0, server.self, Incarnation{1}, server.voters, settings,
                                               scenario.seed * 1000 + s, server);
      server.trials =
          std::make_unique<Trials>(settings, lease, *server.leases, scenario.seed * 2000 + s, server);
      call(server, static_cast<Nanos>(random_.unit() * 100e6));
    }
    if (scenario.kill_holder_at >= 0)
      at(scenario.kill_holder_at, [this] {
        if (holder) holder->up = false;
        holder = nullptr;
      });
  }
  Result run() {
    while (!queue_.empty() && queue_.top().first.first <= scenario_.length) {
      const auto action = std::move(const_cast<Event&>(queue_.top()).second);
      now = queue_.top().first.first;
      queue_.pop();
      action();
    }
    std::sort(resumed_at_.begin(), resumed_at_.end());
    const auto after = [&](double part) {
      const auto n = static_cast<std::size_t>(part * static_cast<double>(scenario_.servers));
      return n <= resumed_at_.size() ? resumed_at_[n - 1] - scenario_.down_to : -1;
    };
    result_.half_resumed_after = after(0.5), result_.most_resumed_after = after(0.9);
    for (std::size_t first = 0, last = 0; last < resumed_at_.size(); ++last) {
      while (resumed_at_[last] - resumed_at_[first] > 100 * ms) ++first;
      result_.max_resumed_in_100ms = std::max<std::uint64_t>(result_.max_resumed_in_100ms, last - first + 1);
    }
    return result_;
  }

 private:
  void at(Nanos when, std::function<void()> action) {
    queue_.push({{std::max(when, now), order_++}, std::move(action)});
  }
  bool cut(MemberId a, MemberId b) const {
    const auto half = [&](MemberId m) { return m.raw > scenario_.servers / 2 + 3; };
    return now >= scenario_.cut_from && now < scenario_.cut_to && half(a) != half(b);
  }
  void send(MemberId from, MemberId to, std::function<void(Server&, Nanos)> action) {
    ++result_.messages_sent;
    at(now + ms + static_cast<Nanos>(random_.unit() * 9e6), [this, from, to, action] {
      Server& server = *servers_[to.raw - 1];
      if (!server.up || cut(from, to)) return;
      action(server, now);
      wake(server);
    });
  }
  void wake(Server& server) {
    Nanos next = server.leases->next_wake();
    if (const Nanos other = server.trials->next_wake(); other >= 0 && (next < 0 || other < next))
      next = other;
    if (next < 0 || next == server.scheduled_wake) return;
    server.scheduled_wake = next;
    at(next, [this, &server, next] {
      if (!server.up || server.scheduled_wake != next) return;
      server.scheduled_wake = -1;
      server.leases->due(now);
      server.trials->due(now);
      wake(server);
    });
  }
  void record_resumed(Server&) { resumed_at_.push_back(now); }
  // Calls at intervals; while the breaker is open, a single trial after each delay, if this server may send
  // one.
  void call(Server& server, Nanos after) {
    at(now + after, [this, &server] {
      if (!server.up) return;
      call(server, server.breaker_open() ? 10 * ms : scenario_.call_every);
      if (server.breaker_open() &&
          (now < server.open_until || (scenario_.shared && now < server.trial_deferred_until)))
        return;
      const bool was_stopped = server.breaker_open();
      const bool success = now < scenario_.down_from || now >= scenario_.down_to;
      if (!success && now > scenario_.down_from + 2 * second) ++result_.trials_while_down;
      if (success) {
        server.failures = 0, server.backoff = 0;
        if (was_stopped) record_resumed(server);
      } else if (++server.failures >= failures_to_open) {
        server.backoff = std::clamp(2 * server.backoff, initial_backoff, max_backoff);
        server.open_until = now + server.backoff +
                            static_cast<Nanos>(random_.unit() * static_cast<double>(server.backoff) / 2);
      }
      if (!scenario_.shared) return;
      if (was_stopped)
        server.trials->trial_finished(now, success);
      else if (server.breaker_open())
        server.trials->calls_stopped(now);
      wake(server);
    });
  }
};

void say(const char* text) { std::printf("# %s\n", text); }

struct Printed final : LeaseActions, TrialActions {
  void ask(MemberId, Epoch, std::string_view, AskNo, Token, Nanos) override {}
  void release(MemberId, std::string_view, AskNo) override {}
  void grant(MemberId, Incarnation, std::string_view, AskNo, bool) override {}
  void refuse(MemberId, Incarnation, std::string_view, AskNo, Token, Nanos) override {}
  void held(std::string_view, Token, Nanos, Nanos) override {}
  void lost(std::string_view, Token, LossReason) override {}
  void defer_trial(Nanos until) override {
    std::printf("  own trial deferred until %lld ms\n", static_cast<long long>(until / ms));
  }
  void resume_calls() override { std::printf("  calls resume\n"); }
  void report_result(bool success, Token token) override {
    std::printf("  report: %s, token %llu\n", success ? "good" : "bad",
                static_cast<unsigned long long>(token.raw));
  }
};

void steps() {
  Printed out;
  const Voters voters(0, MemberId{9}, {Epoch{1}, {MemberId{1}}, {}}, second);
  const Settings settings{{"leases.term", 1e9}, {"leases.longest_term", 1e9}, {"leases.drift", 0.01},
                          {"leases.most", 4.0}, {"trials.unheard", 2e9},      {"trials.spread", 5e8}};
  Leases leases(0, MemberId{9}, Incarnation{1}, voters, settings, 1, out);
  Trials t(settings, lease, leases, 1, out);
  say("stopped: it waits for another server's report, and each failed trial defers its own");
  t.calls_stopped(1000 * ms);
  t.result_received(1500 * ms, Token{5}, false, 10 * ms);
  say("reports of an earlier holder, of a trial before calls stopped here, of one without the lease: "
      "ignored");
  t.result_received(1600 * ms, Token{4}, false, 0);
  t.result_received(1600 * ms, Token{6}, true, 700 * ms);
  t.result_received(1600 * ms, Token{0}, false, 0);
  say("it holds the lease: it sends a trial and reports the result");
  t.held(2000 * ms, Token{7}, 2000 * ms);
  t.trial_finished(2100 * ms, false);
  t.result_received(2200 * ms, Token{0}, false, 0);
  say("lease lost: it waits again; a successful trial is reported: it resumes after a random delay, once");
  t.lost(2300 * ms);
  t.result_received(2400 * ms, Token{8}, true, 0);
  t.result_received(2500 * ms, Token{8}, true, 0);
  t.due(t.next_wake() - 1);
  t.due(t.next_wake());
  std::printf("  %s\n", t.waiting() || t.next_wake() >= 0 ? "still waits" : "waits for nothing");
  say("its own trial succeeded: reported, and finished");
  t.calls_stopped(9000 * ms);
  t.held(9100 * ms, Token{9}, 9150 * ms);
  t.trial_finished(9200 * ms, true);
  t.trial_finished(9300 * ms, true);
  say("report time-out too short");
  try {
    Settings bad = settings;
    bad["trials.unheard"] = 1.9e9;
    Trials invalid(bad, lease, leases, 1, out);
    std::printf("  taken\n");
  } catch (const std::invalid_argument& e) {
    std::printf("  %s\n", e.what());
  }
}

void run_scenario(Scenario scenario) {
  for (const bool shared : {false, true}) {
    scenario.shared = shared;
    std::uint64_t trials = 0, messages_sent = 0, max_resumed = 0;
    Nanos half = 0, most = 0;
    constexpr int seeds = 5;
    bool all = true;
    for (scenario.seed = 1; scenario.seed <= seeds; ++scenario.seed) {
      const Result result = Fleet(scenario).run();
      trials += result.trials_while_down, messages_sent += result.messages_sent;
      max_resumed = std::max(max_resumed, result.max_resumed_in_100ms);
      half += result.half_resumed_after / seeds, most += result.most_resumed_after / seeds;
      all = all && result.most_resumed_after >= 0;
    }
    const double span = static_cast<double>(scenario.down_to - scenario.down_from - 2 * second) / 1e9 * seeds;
    std::printf("  %3u servers, %s: %7.1f trials a second; back: half %lld ms, nine tenths %lld ms%s, at "
                "most %llu within 100 ms; %.0f "
                "messages a second\n",
                scenario.servers, shared ? "shared trials  " : "separate trials",
                static_cast<double>(trials) / span, static_cast<long long>(half / ms),
                static_cast<long long>(most / ms), all ? "" : " (NOT ALL)",
                static_cast<unsigned long long>(max_resumed),
                static_cast<double>(messages_sent) / (static_cast<double>(scenario.length) / 1e9 * seeds));
  }
}

} // namespace

int main() {
  steps();
  say("the service is down for 20 s, five seeds");
  for (const unsigned servers : {12u, 100u, 300u}) run_scenario({.servers = servers});
  say("the holder dies at 15 s");
  run_scenario({.servers = 100, .kill_holder_at = 15 * second});
  say("nearly half of the servers are cut off from the rest from 10 s to the end; the voters are in the "
      "other part");
  run_scenario({.servers = 100, .cut_from = 10 * second, .cut_to = 60 * second});
}
