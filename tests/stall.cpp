#include "driver.hpp"

int main() {
  Driver s;
  s.learn(100, 100);
  s.say("runs took 100 ms; now two hang, one of them keyed, and a third is held");
  s.read(31);
  s.read(32, {.type = 1});
  s.read(33);
  s.to(2700);
  s.say("what hangs or is held can go elsewhere, and so can what arrives; health stays as stored");
  s.to(3100);
  s.read(34);
  s.say("the next one to get on ends it");
  s.ended(31, Outcome::done, 2000);
  s.read(35);
  s.to(4000);
  Driver p;
  p.learn(100, 100);
  p.say("a process that stood still is not stalled: the time it missed does not count");
  p.read(31);
  p.read(32);
  p.after(300);
  p.stand_still(700);
  p.read(33);
  p.after(100);
}
