// Cap on running ops: it may grow only if cores are really free, and shrinks when runs get slower.
#include "driver.hpp"

// Sends ops continuously, with runs of `length`, and prints how many ran at once in the end.
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
  s.section("at first as many ops run as there are cores; busy cores don't let the cap grow");
  for (unsigned id = 1; id <= 7; ++id) s.read(id, {.type = id % 2});
  s.run_until(700);
  s.section("free over the last half second, but all wanted now: a reading from before a burst is not used");
  s.run_ended(1);
  s.gauges(0.4, 2);
  s.run_until(760);
  s.section("no run ends for half a second: a reading of free cores is not used");
  s.gauges(1, 2);
  s.run_until(1300);
  s.gauges(0.4, 0);
  s.run_until(1400);
  s.section("cores free, ops queued and runs ending: the cap grows");
  s.run_ended(2);
  s.run_until(1500);
  Driver t;
  t.section(
      "the cap is cut while latency is at twice its base and the cores read busy, but not below the cores");
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
              ": op 3 starts during a call only if the call is long");
    for (unsigned id = 1; id <= 3; ++id) c.read(id);
    c.call_wanted(1);
    c.run_for(length);
  }
}
