// What stands at the service below, as the service counts it, against each server's share of it: calls given
// up, a service that stands still or is slow, replies that never come, servers killed and begun anew, other
// addresses in the middle. A call is in hand from its order until it is answered; one given up stays until
// its end, for the told time at the most.
#include "core.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <set>
#include <string>

using namespace cometshift;

namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos second = 1000 * ms;
constexpr Nanos linger = 200 * ms;
constexpr Nanos window = 5 * second;
constexpr double share = 0.55;
constexpr Nanos link = 5 * ms; // until a start is on the cores, a reply with its run
constexpr unsigned servers = 6;

Given settings(unsigned server) {
  Given given{{"cores", 2.0},         {"fall_multiple", 4.0},
              {"memory_kb", 40000.0}, {"run_factor", 4.0},
              {"key_kb", 2.0},        {"drain_grace_ns", 2e9},
              {"callers", 3.0},       {"call_share", share},
              {"calls_over_ns", 5e9}, {"call_linger_ns", static_cast<double>(linger)},
              {"memory_mb", 64.0},    {"stop_ns", 3e9},
              {"seed_high", 1.0},     {"seed_low", 2.0 + server},
              {"name", "n"},          {"tells_patience", 1.0}};
  for (int t = 0; t < 2; ++t) {
    const std::string at = "op_type." + std::to_string(t) + ".";
    given[at + "name"] = t == 0 ? "look" : "book";
    given[at + "repeats"] = t == 0 ? "retryable" : "keyed";
    given[at + "op_timeout_ns"] = 4e9;
    given[at + "target_latency_ns"] = 1e9;
    given[at + "may_call"] = 1.0;
    if (t == 1) given[at + "key_window_ns"] = 18e9;
  }
  return given;
}

// The service: how long its calls take from now on. While it stands still nothing ends.
struct Service {
  Nanos takes = 5 * ms;
  Nanos stands_until = 0;
  double mute = 0; // part of the replies that never come
};

struct Place final : Orders {
  struct Call {
    Nanos made = 0, ends = 0, times_out = 0;
    bool mute = false;
  };
  const Service& service;
  unsigned number;
  Pcg chance;
  Nanos now = 0;
  std::unique_ptr<Core> core;
  std::map<OpId, Call> calls;
  std::set<OpId> waiting; // runs at a call
  std::multimap<Nanos, std::function<void()>> later;
  std::uint64_t ops = 0;
  int acked = 0, failed_ops = 0, nacked = 0;
  WindowMean in_hand{window, 0}; // as the service has it
  std::multiset<Nanos> given_up; // ends of those that stay
  double most = 0;

  Place(const Service& s, unsigned n) : service(s), number(n), chance(n + 1) { begin(0, 3600 * second); }
  void begin(Nanos at, Nanos machine_up_for) {
    now = at;
    core.reset(new Core(now, settings(number), *this));
    core->machine_up(now, machine_up_for);
    core->link_up(now, StartNo{0});
  }
  void kill() {
    for (const auto& [op, call] : calls) leave(call);
    calls.clear();
    waiting.clear();
    later.clear();
    core.reset();
  }
  void leave(const Call& call) {
    const Nanos end = std::min(std::max(call.ends, service.stands_until), now + linger);
    given_up.insert(std::max(now, end));
  }
  void after(Nanos time, std::function<void()> what) { later.emplace(now + time, std::move(what)); }

  void over(OpId op, Outcome outcome) {
    const Call call = calls.at(op);
    calls.erase(op);
    if (outcome == Outcome::done)
      in_hand.change(now, -1);
    else
      leave(call);
    core->call_over(now, op, outcome, Content("reply"));
  }
  void step(Nanos at, bool asks) {
    now = at;
    while (!given_up.empty() && *given_up.begin() <= now) {
      in_hand.change(now, -1);
      given_up.erase(given_up.begin());
    }
    in_hand.advance(now);
    most = std::max(most, in_hand.mean_with(in_hand.count(), 0));
    if (!core) return;
    while (!later.empty() && later.begin()->first <= now) {
      const auto what = std::move(later.begin()->second);
      later.erase(later.begin());
      what();
    }
    std::vector<OpId> done, late;
    for (const auto& [op, call] : calls) {
      if (!call.mute && call.ends <= now && service.stands_until <= now)
        done.push_back(op);
      else if (call.times_out <= now)
        late.push_back(op);
    }
    for (const OpId op : done) over(op, Outcome::done);
    for (const OpId op : late) over(op, Outcome::timed_out);
    if (asks) {
      const std::uint64_t id = ++ops * 100 + number;
      const OpTypeId type{ops % 3 == 0};
      core->op_came(now, {ConnectionId{1}, StreamId{static_cast<std::uint32_t>(ops)}}, OpId{id}, type,
                    TenantId{0}, CallerId{id % 3}, now - ms, 4 * second, 10, 0.5,
                    type.raw == 1 ? std::to_string(id) : "", "", Content("body"), {id, 7});
    }
    if (core->anything_due(now)) {
      const double gauges[] = {0.5, 1};
      core->gauges(now, gauges);
      core->due(now);
    }
    while (core->unsettled()) core->settle(now);
  }

  void served(Line, OpId, Content) override { ++acked; }
  void refused(Line, OpId, Why, Nanos, bool) override { ++nacked; }
  void failed(Line, OpId op, Why) override {
    ++failed_ops;
    if (waiting.erase(op) > 0) // its run ends at the call, as its op is over
      after(link, [this, op] { core->run_over(now, op, Outcome::halted, 20 * ms, {}); });
  }
  void strike(Line) override {}
  void start(OpId op, OpTypeId, const Content&, StartNo) override {
    after(link + 10 * ms, [this, op] {
      waiting.insert(op);
      core->call_wanted(now, op, Content("call"));
    });
  }
  void resume(OpId op, const Content&) override {
    waiting.erase(op);
    after(link, [this, op] { core->run_over(now, op, Outcome::done, 20 * ms, Content("result")); });
  }
  void call(OpId op, Nanos time_out, const Content&) override {
    in_hand.change(now, 1);
    calls[op] = {now, now + service.takes, now + time_out, chance.unit() < service.mute};
  }
  void give_up_call(OpId op) override {
    const auto at = calls.find(op);
    if (at == calls.end()) return;
    leave(at->second);
    calls.erase(at);
  }
  void health(bool) override {}
  void tell_callers(double) override {}
  void idle_close(Nanos) override {}
  void pace(Pace, Nanos) override {}
  void when_full(std::span<const Way>, int) override {}
  void close_doors() override {}
  void note(const char*, std::string_view) override {}
};

// Each server by itself stays within its share, in one life; all together with room, in all lives.
constexpr double room = 0.95;

struct Day {
  const char* what;
  bool one_life;
  std::function<void(Nanos at, Service&, std::vector<std::unique_ptr<Place>>&)> at; // each ms
};

bool play(const Day& day) {
  std::printf("# %s\n", day.what);
  Service service;
  std::vector<std::unique_ptr<Place>> places;
  for (unsigned n = 0; n < servers; ++n) places.push_back(std::make_unique<Place>(service, n));
  double most_sum = 0;
  for (Nanos t = 0; t < 14 * second; t += ms) {
    day.at(t, service, places);
    double sum = 0;
    for (auto& place : places) {
      place->step(t, t / ms % 50 == 7 * place->number);
      sum += place->in_hand.mean_with(place->in_hand.count(), 0);
    }
    most_sum = std::max(most_sum, sum / (servers * share));
    if (t % (2 * second) == 0 && t > 0)
      std::printf("%6lld  mean in hand %.2f of the shares\n", static_cast<long long>(t / ms),
                  sum / (servers * share));
  }
  int acked = 0, nacked = 0, failed = 0;
  double most = 0;
  for (const auto& place : places) {
    acked += place->acked, nacked += place->nacked, failed += place->failed_ops;
    most = std::max(most, place->most / share);
  }
  const bool within = most_sum <= room && (most <= 1 || !day.one_life);
  std::printf("  most %.2f of all shares, %.2f of one; acked %d, nacked %d, failed %d: %s\n", most_sum, most,
              acked, nacked, failed, within ? "within" : "OVER");
  return within;
}

} // namespace

int main() {
  const auto calm = [](Nanos, Service&, auto&) {};
  const auto stands = [](Nanos t, Service& s, auto&) {
    if (t == 5 * second) s.stands_until = t + 1300 * ms;
  };
  const auto slow = [](Nanos t, Service& s, auto&) {
    if (t == 4 * second) s.takes = 400 * ms;
    if (t == 9 * second) s.takes = 5 * ms;
  };
  const auto mute = [](Nanos t, Service& s, auto&) {
    if (t == 2 * second) s.mute = 0.03;
  };
  const auto hangs = [](Nanos t, Service& s, auto&) {
    if (t == 3 * second) s.takes = 60 * second;
  };
  const auto killed = [](Nanos t, Service& s, auto& places) {
    if (t == 3 * second) s.takes = 300 * ms;
    const auto k = static_cast<unsigned>(t / (500 * ms)) % servers;
    if (t > 4 * second && t < 9 * second && t % (500 * ms) == 0) places[k]->kill();
    if (t > 4 * second && t < 9 * second && t % (500 * ms) == 400 * ms) places[k]->begin(t, 100 * ms);
  };
  bool good = play({"calm", true, calm});
  good &= play({"the service stands still for 1.3 s", true, stands});
  good &= play({"each call takes 400 ms for 5 s", true, slow});
  good &= play({"three replies in a hundred never come", true, mute});
  good &= play({"calls don't end any more, those in hand go on at the old address", true, hangs});
  good &= play({"slow, and a server is killed and begun anew every 500 ms", false, killed});
  return good ? 0 : 1;
}
