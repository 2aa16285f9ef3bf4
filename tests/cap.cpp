#include "driver.hpp"

// Keeps ops coming, with runs of `length`, and says how many ran at once in the end.
static void serve(Driver& s, int count, Nanos length) {
  static unsigned id = 100;
  std::size_t concurrent = 0;
  s.quiet = true;
  for (int i = 0; i < count; ++i) {
    for (int j = 0; j < 9; ++j) s.read(id++);
    s.run_for(length);
    concurrent = s.running.size();
    for (const OpId op : std::set<OpId>(s.running))
      s.run_ended(static_cast<unsigned>(op.raw), Outcome::done, length);
  }
  s.quiet = false;
  s.section(std::to_string(concurrent).append(" run at once"));
}

int main() {
  Driver s({{"op_type.0.target_latency_ns", 2e10},
            {"op_type.0.op_timeout_ns", 4e10},
            {"op_type.1.target_latency_ns", 2e10},
            {"op_type.1.op_timeout_ns", 4e10}});
  s.section("as many as there are cores run at first; busy cores don't let it grow");
  for (unsigned id = 1; id <= 7; ++id) s.read(id, {.type = id % 2});
  s.run_until(700);
  s.section("free over the last half second, but all wanted now: a reading from before a rush, not believed");
  s.run_ended(1);
  s.gauges(0.4, 2);
  s.run_until(760);
  s.section("nothing ends for half a second: free cores are not believed");
  s.gauges(1, 2);
  s.run_until(1300);
  s.gauges(0.4, 0);
  s.run_until(1400);
  s.section("free, with ops held, and runs end: it grows");
  s.run_ended(2);
  s.run_until(1500);
  Driver t;
  t.section("cut while latency stays at twice its base and the cores read busy, not below the cores");
  serve(t, 40, 60);
  t.gauges(0.3, 0);
  serve(t, 40, 60);
  t.gauges(1, 9);
  serve(t, 40, 60);
  serve(t, 12, 200);
  serve(t, 30, 200);
  for (const Nanos length : {5, 200}) {
    Driver c;
    c.train(400, 400, 20, length);
    c.section("runs of 400 ms, calls of " + std::to_string(length) +
              ": 3 starts during a call only if that is long");
    for (unsigned id = 1; id <= 3; ++id) c.read(id);
    c.call_wanted(1);
    c.run_for(length);
  }
}
