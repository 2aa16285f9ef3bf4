// Drain: ops are served until the shutdown delay ends, and all of them are answered before the kill.
#include "driver.hpp"

int main() {
  Driver s;
  s.section("ops run before the notice and through the shutdown delay");
  s.read(1);
  s.run_until(100);
  s.drain(3000);
  s.read(2, {.type = 1});
  s.run_until(200);
  s.run_ended(1);
  s.section("a second notice changes nothing; health stays bad");
  s.drain(9000);
  s.run_until(2050);
  s.read(3, {.type = 1});
  s.run_until(2150);
  s.section(
      "after the grace period ops are nacked, also those that arrived late but were read within a batch");
  s.read(4);
  s.read(5);
  s.section("every op is answered before the kill at 3100, also one whose run continues");
  s.run_until(3100);
  Driver late;
  late.section("an op that arrived in time may be nacked but not run once the delay is over");
  late.read(7, {.type = 1});
  late.drain(200);
  late.run_until(150);
  late.read(6, {.waited = 140});
  late.run_until(200);
  Driver still;
  still.section(
      "the process is paused before the notice: the delay and the kill count from when it may have arrived");
  still.run_until(100);
  still.pause_process(500);
  still.drain(3000);
  still.run_until(2080);
  still.read(8);
  still.run_until(2120);
  still.read(9);
  still.run_until(3100);
}
