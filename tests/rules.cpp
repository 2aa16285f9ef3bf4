// Unit test of the rule checker: each violation must be detected, and a run without violations must pass.
#include "rules.hpp"
#include "driver.hpp"

int main() {
  constexpr Nanos second = 1000 * ms;
  const Rules::Figures site{.repeats = {RetryClass::retryable, RetryClass::keyed},
                            .op_timeouts = {second, second},
                            .key_windows = {0, 5 * second},
                            .grace = second};
  const OpId a{1}, b{2};
  const auto look = [&](const char* what, auto happens) {
    Rules rules(site);
    happens(rules);
    rules.check_deadlines(100 * second);
    std::printf("# %s\n  %s\n", what, describe(rules.broken()).c_str());
    for (const std::string& one : rules.examples()) std::printf("  %s\n", one.c_str());
  };
  const auto came = [&](Rules& r, Nanos now, OpId op, unsigned type = 0, const char* mark = "") {
    r.came(now, op, OpTypeId{type}, now, now + second, mark);
    r.assign_stream(op, {ConnectionId{1}, StreamId{static_cast<std::uint32_t>(op.raw)}});
  };
  look("served, nacked, and a repeat that is served with the result of the first", [&](Rules& r) {
    came(r, 0, a, 1, "m"), r.started(0, a), came(r, ms, b, 1, "m");
    r.run_over(a, Outcome::done), r.answered(2 * ms, a, Rules::Final::served),
        r.answered(2 * ms, b, Rules::Final::served);
    came(r, 3 * ms, OpId{3}), r.answered(4 * ms, OpId{3}, Rules::Final::nacked);
  });
  look("no answer", [&](Rules& r) { came(r, 0, a); });
  look("no answer, but its line is lost", [&](Rules& r) {
    came(r, 0, a), r.stream_lost({ConnectionId{1}, StreamId{1}});
  });
  look("an answer after its due time",
       [&](Rules& r) { came(r, 0, a), r.answered(1500 * ms, a, Rules::Final::failed); });
  look("two answers, while its run is out", [&](Rules& r) {
    came(r, 0, a), r.started(0, a), r.answered(ms, a, Rules::Final::failed),
        r.answered(ms, a, Rules::Final::served);
  });
  look("a keyed effect twice", [&](Rules& r) {
    came(r, 0, a, 1, "m"), r.started(0, a), r.run_over(a, Outcome::done),
        r.answered(ms, a, Rules::Final::served);
    came(r, 4 * second, b, 1, "m"), r.started(4 * second, b), r.answered(4 * second, b, Rules::Final::served);
  });
  look("the same after its window, and after a start that began nothing", [&](Rules& r) {
    came(r, 0, a, 1, "m"), r.started(0, a), r.run_over(a, Outcome::done),
        r.answered(ms, a, Rules::Final::served);
    came(r, 6 * second, b, 1, "m"), r.started(6 * second, b), r.run_over(b, Outcome::moot),
        r.answered(6 * second, b, Rules::Final::failed);
    came(r, 7 * second, OpId{3}, 1, "m"), r.started(7 * second, OpId{3}),
        r.answered(7 * second, OpId{3}, Rules::Final::served);
  });
  look("nacked after its run",
       [&](Rules& r) { came(r, 0, a, 1, "m"), r.started(0, a), r.answered(ms, a, Rules::Final::nacked); });
  look("started, though it came after the grace", [&](Rules& r) {
    r.drain_started(0), came(r, 900 * ms, a), r.started(900 * ms, a),
        r.answered(900 * ms, a, Rules::Final::served);
    came(r, 2 * second, b), r.started(2 * second, b), r.answered(2 * second, b, Rules::Final::served);
  });
}
