#include "driver.hpp"

// Keeps ops coming, with runs of `length`, and says how many ran at once in the end.
static void serve(Driver& s, int count, Nanos length) {
  static unsigned id = 100;
  std::size_t at_once = 0;
  s.quiet = true;
  for (int i = 0; i < count; ++i) {
    for (int j = 0; j < 9; ++j) s.read(id++);
    s.after(length);
    at_once = s.running.size();
    for (const OpId op : std::set<OpId>(s.running))
      s.ended(static_cast<unsigned>(op.raw), Outcome::done, length);
  }
  s.quiet = false;
  s.say(std::to_string(at_once).append(" run at once"));
}

int main() {
  Driver s({{"op_type.0.target_latency_ns", 2e10},
            {"op_type.0.op_timeout_ns", 4e10},
            {"op_type.1.target_latency_ns", 2e10},
            {"op_type.1.op_timeout_ns", 4e10}});
  s.say("as many as there are cores run at first; busy cores don't let it grow");
  for (unsigned id = 1; id <= 7; ++id) s.read(id, {.type = id % 2});
  s.to(700);
  s.say("free over the last half second, but all wanted now: a reading from before a rush, not believed");
  s.ended(1);
  s.gauges(0.4, 2);
  s.to(760);
  s.say("nothing ends for half a second: free cores are not believed");
  s.gauges(1, 2);
  s.to(1300);
  s.gauges(0.4, 0);
  s.to(1400);
  s.say("free, with ops held, and runs end: it grows");
  s.ended(2);
  s.to(1500);
  Driver t;
  t.say("cut while latency stays at twice its base and the cores read busy, not below the cores");
  serve(t, 40, 60);
  t.gauges(0.3, 0);
  serve(t, 40, 60);
  t.gauges(1, 9);
  serve(t, 40, 60);
  serve(t, 12, 200);
  serve(t, 30, 200);
  for (const Nanos length : {5, 200}) {
    Driver c;
    c.learn(400, 400, 20, length);
    c.say("runs of 400 ms, calls of " + std::to_string(length) +
          ": 3 starts during a call only if that is long");
    for (unsigned id = 1; id <= 3; ++id) c.read(id);
    c.wants_call(1);
    c.after(length);
  }
}
