// One server in simulated time, in steps of a millisecond: a core, an interpreter that runs what the core
// starts, and calls to a records service that is shared with other servers. The server keeps its own count of
// calls in flight at the service: a call is in flight from its start until it is answered; a cancelled one
// stays until the service ends it, for at most the linger time.
#pragma once

#include "core.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <set>
#include <string>

using namespace cometshift;

constexpr Nanos ms = 1'000'000;
constexpr Nanos second = 1000 * ms;
constexpr Nanos cancelled_call_linger = 200 * ms;
constexpr Nanos window = 5 * second;
constexpr double share = 0.55;
constexpr Nanos link_delay = 5 * ms; // from a start to its run, and from a reply to its run

inline Settings settings(unsigned server) {
  Settings given{{"cores", 2.0},         {"fall_multiple", 4.0},
                 {"memory_kb", 40000.0}, {"run_factor", 4.0},
                 {"key_kb", 2.0},        {"drain_grace_ns", 2e9},
                 {"callers", 3.0},       {"call_share", share},
                 {"calls_over_ns", 5e9}, {"call_linger_ns", static_cast<double>(cancelled_call_linger)},
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

// The records service: how long new calls take. While it is stalled, no call ends.
struct RecordsStub {
  Nanos call_duration = 5 * ms;
  Nanos stalled_until = 0;
  double reply_loss = 0; // fraction of the replies that are never sent
};

struct SimulatedServer : Actions {
  struct Call {
    Nanos made = 0, ends = 0, times_out = 0;
    bool reply_loss = false;
  };
  const RecordsStub& service;
  unsigned number;
  Pcg random;
  Nanos now = 0;
  std::unique_ptr<Core> core;
  std::map<OpId, Call> calls;
  std::set<OpId> starting, awaiting_call; // runs before their call; runs waiting for its reply
  std::set<OpId> ended_ops;               // of those in `starting`
  std::multimap<Nanos, std::function<void()>> scheduled;
  std::uint64_t ops = 0;
  int acked = 0, failed_ops = 0, nacked = 0;
  WindowMean in_flight{window, 0};     // as counted by the service
  std::multiset<Nanos> cancelled_ends; // when cancelled calls end at the service
  double most = 0;

  Settings overrides; // added to the default settings, or replacing them

  SimulatedServer(const RecordsStub& s, unsigned n) : service(s), number(n), random(n + 1) {
    begin(0, 3600 * second);
  }
  // Not started: begin() does that later.
  SimulatedServer(const RecordsStub& s, unsigned n, Settings m)
      : service(s), number(n), random(n + 1), overrides(std::move(m)) {}
  void begin(Nanos at, Nanos machine_up_for) {
    now = at;
    Settings given = overrides;
    given.merge(settings(number));
    core.reset(new Core(now, given, *this));
    core->machine_up(now, machine_up_for);
    core->link_up(now, StartNo{0});
  }
  void kill() {
    for (const auto& [op, call] : calls) linger_at_service(call);
    calls.clear();
    awaiting_call.clear();
    starting.clear();
    ended_ops.clear();
    scheduled.clear();
    core.reset();
  }
  void linger_at_service(const Call& call) {
    const Nanos end = std::min(std::max(call.ends, service.stalled_until), now + cancelled_call_linger);
    cancelled_ends.insert(std::max(now, end));
  }
  void after(Nanos time, std::function<void()> action) { scheduled.emplace(now + time, std::move(action)); }

  void finish_call(OpId op, Outcome outcome) {
    const Call call = calls.at(op);
    calls.erase(op);
    if (outcome == Outcome::done)
      in_flight.change(now, -1);
    else
      linger_at_service(call);
    core->call_finished(now, op, outcome, Content("reply"));
  }
  // The op has ended: a run that waits for its call ends now, one that has not reached it ends when it does.
  void end_run_at_call(OpId op) {
    if (awaiting_call.erase(op) > 0)
      after(link_delay, [this, op] { core->run_finished(now, op, Outcome::halted, 20 * ms, {}); });
    else if (starting.contains(op))
      ended_ops.insert(op);
  }
  void lose(OpId op, StreamRef line) {
    core->stream_lost(now, line);
    end_run_at_call(op);
  }
  // Sends the next op; every third one is keyed. A `mark` makes it a repeat of an earlier keyed op.
  OpId ask(ConnectionId connection, CallerId caller, const std::string& mark) {
    const OpId id{++ops * 100 + number};
    const OpTypeId type{!mark.empty() || ops % 3 == 0};
    core->op_received(now, {connection, StreamId{static_cast<std::uint32_t>(ops)}}, id, type, TenantId{0},
                      caller, now - ms, 4 * second, 10, 0.5,
                      type.raw == 0  ? ""
                      : mark.empty() ? std::to_string(id.raw)
                                     : mark,
                      "", Content("body"), {type.raw, 7});
    return id;
  }
  void step(Nanos at, bool sends_op) {
    now = at;
    while (!cancelled_ends.empty() && *cancelled_ends.begin() <= now) {
      in_flight.change(now, -1);
      cancelled_ends.erase(cancelled_ends.begin());
    }
    in_flight.advance(now);
    most = std::max(most, in_flight.mean_with(in_flight.count(), 0));
    if (!core) return;
    while (!scheduled.empty() && scheduled.begin()->first <= now) {
      const auto action = std::move(scheduled.begin()->second);
      scheduled.erase(scheduled.begin());
      action();
    }
    std::vector<OpId> done, late;
    for (const auto& [op, call] : calls) {
      if (!call.reply_loss && call.ends <= now && service.stalled_until <= now)
        done.push_back(op);
      else if (call.times_out <= now)
        late.push_back(op);
    }
    for (const OpId op : done) finish_call(op, Outcome::done);
    for (const OpId op : late) finish_call(op, Outcome::timed_out);
    if (sends_op) ask(ConnectionId{1}, CallerId{ops % 3}, {});
    if (core->anything_due(now)) {
      const double gauges[] = {0.5, 1};
      core->gauges(now, gauges);
      core->due(now);
    }
    while (core->has_repeats_to_answer()) core->answer_repeats(now);
  }

  void served(StreamRef, OpId, Content) override { ++acked; }
  void refused(StreamRef, OpId, Reason, Nanos, bool) override { ++nacked; }
  void failed(StreamRef, OpId op, Reason) override {
    ++failed_ops;
    end_run_at_call(op);
  }
  void penalize(StreamRef) override {}
  void start(OpId op, OpTypeId, const Content&, StartNo) override {
    starting.insert(op);
    after(link_delay + 10 * ms, [this, op] {
      starting.erase(op);
      if (ended_ops.erase(op) > 0) return core->run_finished(now, op, Outcome::halted, 20 * ms, {});
      awaiting_call.insert(op);
      core->call_wanted(now, op, Content("call"));
    });
  }
  void resume(OpId op, const Content&) override {
    awaiting_call.erase(op);
    after(link_delay, [this, op] { core->run_finished(now, op, Outcome::done, 20 * ms, Content("result")); });
  }
  void call(OpId op, Nanos time_out, const Content&) override {
    in_flight.change(now, 1);
    calls[op] = {now, now + service.call_duration, now + time_out, random.unit() < service.reply_loss};
  }
  void cancel_call(OpId op) override {
    const auto at = calls.find(op);
    if (at == calls.end()) return;
    linger_at_service(at->second);
    calls.erase(at);
  }
  void health(bool) override {}
  void notify_callers(double) override {}
  void set_idle_timeout(Nanos) override {}
  void set_timing(Timing, Nanos) override {}
  void set_eviction_order(std::span<const Eviction>, int) override {}
  void stop_accepting() override {}
  void note(const char*, std::string_view) override {}
};
