// Stall detection: hanging cores must be noticed, a paused process must not look like one.
#include "driver.hpp"

int main() {
  Driver s;
  s.train(100, 100);
  s.section("runs took 100 ms; now two hang, one of them keyed, and a third op is queued");
  s.read(31);
  s.read(32, {.type = 1});
  s.read(33);
  s.run_until(2700);
  s.section("hanging and queued ops can go elsewhere, and so can new ones; health stays as stored");
  s.run_until(3100);
  s.read(34);
  s.section("the next run to make progress ends the stall");
  s.run_ended(31, Outcome::done, 2000);
  s.read(35);
  s.run_until(4000);
  Driver p;
  p.train(100, 100);
  p.section("a process that was paused is not stalled: the time it missed does not count");
  p.read(31);
  p.read(32);
  p.run_for(300);
  p.pause_process(700);
  p.read(33);
  p.run_for(100);
}
