#include "driver.hpp"

int main() {
  Driver s;
  s.say("a run, a parked call and a call that does not end are failed by their due times");
  s.read(1, {.type = 1});
  s.read(2);
  s.to(100);
  s.wants_call(2);
  s.read(3, {.type = 1, .patience = 900});
  s.to(5000);
  s.say("their late ends are harmless, and the room is free again");
  s.ended(1);
  s.ended(2, Outcome::halted);
  s.ended(3);
  s.ended(3);
  s.read(4);
  s.read(5);
  Driver p({{"halt", std::string("pause")}});
  p.say("where a run can be stopped it is");
  p.read(1, {.type = 1});
  p.to(4100);
  Driver g({{"halt", std::string("drop")}});
  g.say("and so it is when its caller has gone");
  g.read(2);
  g.gone(2);
  g.gone(2);
}
