// Drives one Choice alone and prints its decisions, a line each, for comparison with a kept trace.
#pragma once

#include "choice.hpp"

#include <array>
#include <cstdio>
#include <initializer_list>
#include <memory>
#include <set>
#include <string>

using namespace cometshift;

constexpr Nanos ms = 1'000'000;

struct Read {
  unsigned type = 0;
  unsigned tenant = 0;
  Nanos patience = 0; // ms
  Nanos waited = 0;   // ms
  double kb = 10;
  std::int64_t key = -1;
  OpId earlier = no_op;
  unsigned caller = 0;
  bool again = false;
  Nanos hint = 0; // ms
};

class Scene final : public Server {
  std::unique_ptr<Choice> choice_;
  Nanos now_ = 0;
  Nanos wake_ = 0;
  bool healthy_ = false;
  std::array<double, 2> gauges_{1, 0};

  inline static bool open_ = false; // a line is begun: what happens at the same time goes on it
  inline static Nanos open_at_ = 0;

  void emit(std::string what, const std::string& rest = {}) {
    if (quiet) return;
    what += rest;
    if (open_ && open_at_ == now_) {
      std::printf(", %s", what.c_str());
      return;
    }
    end();
    std::printf("%6lld  %s", at(), what.c_str());
    open_ = true;
    open_at_ = now_;
  }
  static std::string of(OpId op) { return std::string(1, ' ').append(std::to_string(op.raw)); }
  static std::string span(Nanos time) { return std::string(" for ").append(std::to_string(time / ms)); }
  static std::string number(double value) {
    char text[16];
    std::snprintf(text, sizeof text, " %.2f", value);
    return text;
  }
  long long at() const { return static_cast<long long>(now_ / ms); }

 public:
  std::set<OpId> running; // started, and not ended by the test
  bool quiet = false;     // nothing is printed
  double told = -1;

  // Two cores, a retryable type 0 and a keyed type 1; what `more` names is changed or added.
  explicit Scene(std::initializer_list<Given::value_type> more = {},
                 std::initializer_list<const char*> without = {}) {
    Given given{{"cores", 2.0},
                {"fall_multiple", 4.0},
                {"memory_kb", 10000.0},
                {"run_factor", 4.0},
                {"key_kb", 5.0},
                {"drain_grace_ns", 2e9},
                {"fleet_size", 1.0},
                {"gauge.0", std::string("cores_busy")},
                {"gauge.1", std::string("on_cores")},
                {"callers", 2.0}};
    for (const char* type : {"op_type.0.", "op_type.1."}) {
      given[std::string(type) + "op_timeout_ns"] = 4e9;
      given[std::string(type) + "target_latency_ns"] = 2e9;
      given[std::string(type) + "may_call"] = 1.0;
    }
    given["op_type.1.repeats"] = std::string("keyed");
    given["op_type.1.key_window_ns"] = 10e9;
    given["op_type.1.importance"] = 3.0;
    for (const auto& [name, value] : more) given[name] = value;
    for (const char* name : without) given.erase(name);
    end();
    choice_ = std::make_unique<Choice>(0, 7, given, *this);
    if (!healthy_) emit("no stored health");
  }

  ~Scene() override { end(); }
  static void end() {
    if (open_) std::puts("");
    open_ = false;
  }

  void run(OpId op) override { running.insert(op), emit("run", of(op)); }
  void nack(OpId op, bool no_retry, Nanos) override { emit(no_retry ? "nack for good" : "nack", of(op)); }
  void fail(OpId op) override { emit("fail", of(op)); }
  void call(OpId op, Nanos time_out) override { emit("call", of(op) + span(time_out)); }
  void answer_without(OpId op) override { emit("answer without", of(op)); }
  void keep_key(OpId op, Nanos life) override { emit("keep", of(op) + span(life)); }
  void forget_key(OpId op) override { emit("forget", of(op)); }
  void reuse(OpId op) override { emit("reuse", of(op)); }
  void halt(OpId op) override { emit("halt", of(op)); }
  void health(bool good, bool stored) override {
    if (!choice_ && good && stored)
      healthy_ = true; // at the start, as it has to be: not printed
    else
      emit(good ? "health good" : "health bad", stored ? " (stored)" : "");
  }
  void tell_callers(double value) override { told = value, emit("tell", number(value)); }
  void idle_close(Nanos after) override { emit("idle close", span(after)); }
  void wake_at(Nanos when, WakeId) override { wake_ = when; }
  void log(std::string_view words) override { emit("log ", std::string(words)); }

  void say(const std::string& words) {
    end();
    std::printf("# %s\n", words.c_str());
  }
  void gauges(double busy, double wanted) { gauges_ = {busy, wanted}; }
  // Lets the clock run to a time in ms, with every wake-up asked for.
  void to(Nanos time) {
    while (wake_ <= time * ms) {
      now_ = wake_;
      choice_->woken(now_, WakeId{1}, gauges_);
    }
    now_ = time * ms;
  }
  void after(Nanos time) { to(now_ / ms + time); }
  // Lets the clock jump as it does for a process that stood still: the wake-ups come late.
  void stand_still(Nanos time) {
    now_ += time * ms;
    wake_ = std::max(wake_, now_);
  }
  void read(unsigned id, Read r = {}) {
    choice_->op_read(now_, OpId{id}, OpTypeId{r.type}, TenantId{r.tenant}, KeyId{r.key}, CallerId{r.caller},
                     r.patience * ms, r.waited * ms, r.hint * ms, r.kb, 0.5, r.again, r.earlier);
  }
  // Teaches runs of such lengths in ms of the two op types, each with a call if that has one; prints nothing.
  void learn(Nanos retryable, Nanos keyed, int ops = 20, Nanos call = 0) {
    quiet = true;
    for (unsigned id = 100; ops-- > 0; ++id) {
      const Nanos length = id % 2 ? keyed : retryable;
      read(id, {.type = id % 2, .kb = 1});
      after(length);
      if (call > 0) wants_call(id), after(call), called(id, Outcome::done, call);
      ended(id, Outcome::done, length + call);
    }
    quiet = false;
  }
  void gone(unsigned id) { choice_->op_gone(now_, OpId{id}); }
  void ended(unsigned id, Outcome outcome = Outcome::done, Nanos lag = 100) {
    running.erase(OpId{id});
    choice_->run_ended(now_, OpId{id}, outcome, lag * ms);
  }
  void wants_call(unsigned id) { choice_->call_wanted(now_, OpId{id}); }
  void called(unsigned id, Outcome outcome = Outcome::done, Nanos lag = 50) {
    choice_->call_ended(now_, OpId{id}, outcome, lag * ms);
  }
  void drain(Nanos left) { choice_->drain(now_, left * ms); }
};
