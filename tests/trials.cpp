// Trials of a service below by one hand: what one server does, step by step; then fleets in simulated time,
// each server with a breaker as the module's, beside the same fleet with each for itself. The service counts
// what reaches it.
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

// The breaker's own figures, as src/decision_module.cpp has them.
constexpr Nanos first_rest = 250 * ms, most_rest = 1000 * ms;
constexpr int failures_to_open = 5;

struct Day {
  std::uint64_t seed = 1;
  unsigned servers = 12;
  bool one_hand = true;
  Nanos down_from = 5 * second, down_to = 25 * second, length = 40 * second;
  Nanos kill_holder_at = -1;        // it is gone for good
  Nanos cut_from = -1, cut_to = -1; // half of the servers, voters among the others, hear nobody
  Nanos call_every = 100 * ms;      // of each server, while calls go
};
struct Came {
  std::uint64_t tries_while_down = 0;   // at the service, once all have stopped
  Nanos half_back = -1, most_back = -1; // from the service's return: half, nine tenths of the servers
  std::uint64_t most_in_tenth = 0;      // servers that came back within any 100 ms
  std::uint64_t messages = 0;
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
    Nanos rest = 0, open_until = 0, others_until = 0;
    bool stopped() const { return failures >= failures_to_open; }
    Nanos woken_for = -1;

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
    void defer_trial(Nanos until) override { others_until = until; }
    void resume_calls() override {
      failures = 0, rest = 0;
      fleet.back(*this);
    }
    void report_result(bool good, Token token) override {
      for (auto& other : fleet.servers_)
        if (other.get() != this)
          fleet.send(self, other->self, [good, token, said = fleet.now](Server& at, Nanos now) {
            at.trials->result_received(now, token, good, now - said);
          });
    }
  };

  Day day_;
  Pcg chance_;
  Came came_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<Nanos> backs_;
  using Event = std::pair<std::pair<Nanos, std::uint64_t>, std::function<void()>>;
  struct Later {
    bool operator()(const Event& a, const Event& b) const { return a.first > b.first; }
  };
  std::priority_queue<Event, std::vector<Event>, Later> queue_;
  std::uint64_t order_ = 0;

 public:
  Nanos now = 0;
  Server* holder = nullptr;

  explicit Fleet(const Day& day) : day_(day), chance_(day.seed) {
    const Settings figures{{"leases.term", 1e9}, {"leases.longest_term", 1e9}, {"leases.drift", 0.01},
                           {"leases.most", 4.0}, {"trials.unheard", 2e9},      {"trials.spread", 5e8}};
    for (unsigned s = 1; s <= day.servers; ++s) {
      servers_.push_back(std::make_unique<Server>(*this, MemberId{s}));
      Server& one = *servers_.back();
      one.leases = std::make_unique<Leases>(0, one.self, Incarnation{1}, one.voters, figures,
                                            day.seed * 1000 + s, one);
      one.trials = std::make_unique<Trials>(figures, lease, *one.leases, day.seed * 2000 + s, one);
      call(one, static_cast<Nanos>(chance_.unit() * 100e6));
    }
    if (day.kill_holder_at >= 0)
      at(day.kill_holder_at, [this] {
        if (holder) holder->up = false;
        holder = nullptr;
      });
  }
  Came play() {
    while (!queue_.empty() && queue_.top().first.first <= day_.length) {
      const auto what = std::move(const_cast<Event&>(queue_.top()).second);
      now = queue_.top().first.first;
      queue_.pop();
      what();
    }
    std::sort(backs_.begin(), backs_.end());
    const auto after = [&](double part) {
      const auto n = static_cast<std::size_t>(part * static_cast<double>(day_.servers));
      return n <= backs_.size() ? backs_[n - 1] - day_.down_to : -1;
    };
    came_.half_back = after(0.5), came_.most_back = after(0.9);
    for (std::size_t first = 0, last = 0; last < backs_.size(); ++last) {
      while (backs_[last] - backs_[first] > 100 * ms) ++first;
      came_.most_in_tenth = std::max<std::uint64_t>(came_.most_in_tenth, last - first + 1);
    }
    return came_;
  }

 private:
  void at(Nanos when, std::function<void()> what) {
    queue_.push({{std::max(when, now), order_++}, std::move(what)});
  }
  bool cut(MemberId a, MemberId b) const {
    const auto half = [&](MemberId m) { return m.raw > day_.servers / 2 + 3; };
    return now >= day_.cut_from && now < day_.cut_to && half(a) != half(b);
  }
  void send(MemberId from, MemberId to, std::function<void(Server&, Nanos)> what) {
    ++came_.messages;
    at(now + ms + static_cast<Nanos>(chance_.unit() * 9e6), [this, from, to, what] {
      Server& one = *servers_[to.raw - 1];
      if (!one.up || cut(from, to)) return;
      what(one, now);
      wake(one);
    });
  }
  void wake(Server& one) {
    Nanos next = one.leases->next_wake();
    if (const Nanos other = one.trials->next_wake(); other >= 0 && (next < 0 || other < next)) next = other;
    if (next < 0 || next == one.woken_for) return;
    one.woken_for = next;
    at(next, [this, &one, next] {
      if (!one.up || one.woken_for != next) return;
      one.woken_for = -1;
      one.leases->due(now);
      one.trials->due(now);
      wake(one);
    });
  }
  void back(Server&) { backs_.push_back(now); }
  // A call now and then; while they have stopped, a single trial after each rest, if it is this server's to
  // make.
  void call(Server& one, Nanos after) {
    at(now + after, [this, &one] {
      if (!one.up) return;
      call(one, one.stopped() ? 10 * ms : day_.call_every);
      if (one.stopped() && (now < one.open_until || (day_.one_hand && now < one.others_until))) return;
      const bool was_stopped = one.stopped();
      const bool good = now < day_.down_from || now >= day_.down_to;
      if (!good && now > day_.down_from + 2 * second) ++came_.tries_while_down;
      if (good) {
        one.failures = 0, one.rest = 0;
        if (was_stopped) back(one);
      } else if (++one.failures >= failures_to_open) {
        one.rest = std::clamp(2 * one.rest, first_rest, most_rest);
        one.open_until =
            now + one.rest + static_cast<Nanos>(chance_.unit() * static_cast<double>(one.rest) / 2);
      }
      if (!day_.one_hand) return;
      if (was_stopped)
        one.trials->trial_finished(now, good);
      else if (one.stopped())
        one.trials->calls_stopped(now);
      wake(one);
    });
  }
};

void say(const char* what) { std::printf("# %s\n", what); }

struct Printed final : LeaseActions, TrialActions {
  void ask(MemberId, Epoch, std::string_view, AskNo, Token, Nanos) override {}
  void release(MemberId, std::string_view, AskNo) override {}
  void grant(MemberId, Incarnation, std::string_view, AskNo, bool) override {}
  void refuse(MemberId, Incarnation, std::string_view, AskNo, Token, Nanos) override {}
  void held(std::string_view, Token, Nanos, Nanos) override {}
  void lost(std::string_view, Token, LossReason) override {}
  void defer_trial(Nanos until) override {
    std::printf("  others try until %lld ms\n", static_cast<long long>(until / ms));
  }
  void resume_calls() override { std::printf("  below is back\n"); }
  void report_result(bool good, Token token) override {
    std::printf("  tell: %s, token %llu\n", good ? "good" : "bad",
                static_cast<unsigned long long>(token.raw));
  }
};

void steps() {
  Printed out;
  const Voters voters(0, MemberId{9}, {Epoch{1}, {MemberId{1}}, {}}, second);
  const Settings figures{{"leases.term", 1e9}, {"leases.longest_term", 1e9}, {"leases.drift", 0.01},
                         {"leases.most", 4.0}, {"trials.unheard", 2e9},      {"trials.spread", 5e8}};
  Leases leases(0, MemberId{9}, Incarnation{1}, voters, figures, 1, out);
  Trials t(figures, lease, leases, 1, out);
  say("stopped: it waits for another's word, and each bad one puts its own trial off");
  t.calls_stopped(1000 * ms);
  t.result_received(1500 * ms, Token{5}, false, 10 * ms);
  say("word of an earlier holder, of a trial before calls stopped here, of one that was for itself: nothing");
  t.result_received(1600 * ms, Token{4}, false, 0);
  t.result_received(1600 * ms, Token{6}, true, 700 * ms);
  t.result_received(1600 * ms, Token{0}, false, 0);
  say("it holds the lease: it tries, and tells");
  t.held(2000 * ms, Token{7}, 2000 * ms);
  t.trial_finished(2100 * ms, false);
  t.result_received(2200 * ms, Token{0}, false, 0);
  say("it has lost it: it waits again; a good word: back after a while by chance, once");
  t.lost(2300 * ms);
  t.result_received(2400 * ms, Token{8}, true, 0);
  t.result_received(2500 * ms, Token{8}, true, 0);
  t.due(t.next_wake() - 1);
  t.due(t.next_wake());
  std::printf("  %s\n", t.waiting() || t.next_wake() >= 0 ? "still waits" : "waits for nothing");
  say("its own trial was good: told, and over");
  t.calls_stopped(9000 * ms);
  t.held(9100 * ms, Token{9}, 9150 * ms);
  t.trial_finished(9200 * ms, true);
  t.trial_finished(9300 * ms, true);
  say("too short a time without a word");
  try {
    Settings bad = figures;
    bad["trials.unheard"] = 1.9e9;
    Trials one(bad, lease, leases, 1, out);
    std::printf("  taken\n");
  } catch (const std::invalid_argument& e) {
    std::printf("  %s\n", e.what());
  }
}

void row(Day day) {
  for (const bool one_hand : {false, true}) {
    day.one_hand = one_hand;
    std::uint64_t tries = 0, messages = 0, at_once = 0;
    Nanos half = 0, most = 0;
    constexpr int seeds = 5;
    bool all = true;
    for (day.seed = 1; day.seed <= seeds; ++day.seed) {
      const Came came = Fleet(day).play();
      tries += came.tries_while_down, messages += came.messages;
      at_once = std::max(at_once, came.most_in_tenth);
      half += came.half_back / seeds, most += came.most_back / seeds;
      all = all && came.most_back >= 0;
    }
    const double span = static_cast<double>(day.down_to - day.down_from - 2 * second) / 1e9 * seeds;
    std::printf("  %3u servers, %s: %7.1f trials a second; back: half %lld ms, nine tenths %lld ms%s, at "
                "most %llu within 100 ms; %.0f "
                "words a second\n",
                day.servers, one_hand ? "one hand       " : "each for itself",
                static_cast<double>(tries) / span, static_cast<long long>(half / ms),
                static_cast<long long>(most / ms), all ? "" : " (NOT ALL)",
                static_cast<unsigned long long>(at_once),
                static_cast<double>(messages) / (static_cast<double>(day.length) / 1e9 * seeds));
  }
}

} // namespace

int main() {
  steps();
  say("the service down for 20 s, five seeds");
  for (const unsigned servers : {12u, 100u, 300u}) row({.servers = servers});
  say("the holder dies at 15 s");
  row({.servers = 100, .kill_holder_at = 15 * second});
  say("nearly half of the servers hear nobody of the rest from 10 s to the end, the voters are in the other "
      "part");
  row({.servers = 100, .cut_from = 10 * second, .cut_to = 60 * second});
}
