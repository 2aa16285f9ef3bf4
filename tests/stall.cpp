#include "scene.hpp"

int main() {
  Scene s;
  s.quiet = true;
  for (unsigned id = 1; id <= 10; ++id) {
    s.read(id);
    s.after(100);
    s.ended(id);
  }
  s.quiet = false;
  s.say("runs took 100 ms; now two hang, one of them keyed, and a third is held");
  s.read(11);
  s.read(12, {.type = 1});
  s.read(13);
  s.to(1500);
  s.say("what hangs or is held can go elsewhere, and so can what arrives; health is bad");
  s.to(2100);
  s.read(14);
  s.say("the next one to get on ends it");
  s.ended(11, Outcome::done, 2000);
  s.read(15);
  s.to(3000);
  Scene p;
  p.quiet = true;
  for (unsigned id = 1; id <= 10; ++id) {
    p.read(id);
    p.after(100);
    p.ended(id);
  }
  p.quiet = false;
  p.say("a process that stood still is not stalled: the time it missed does not count");
  p.read(11);
  p.read(12);
  p.after(300);
  p.stand_still(700);
  p.read(13);
  p.after(100);
}
