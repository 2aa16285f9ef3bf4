// Every op is answered by its due time, even if its run or its call never ends.
#include "driver.hpp"

int main() {
  Driver s;
  s.section("a run, a parked call and a call that does not end are failed by their due times");
  s.read(1, {.type = 1});
  s.read(2);
  s.run_until(100);
  s.call_wanted(2);
  s.read(3, {.type = 1, .time_left = 900});
  s.run_until(5000);
  s.section("their late ends are harmless, and their room is free again");
  s.run_ended(1);
  s.run_ended(2, Outcome::halted);
  s.run_ended(3);
  s.run_ended(3);
  s.read(4);
  s.read(5);
  Driver p({{"halt", std::string("pause")}});
  p.section("where a run can be halted it is");
  p.read(1, {.type = 1});
  p.run_until(4100);
  Driver g({{"halt", std::string("drop")}});
  g.section("and likewise when its caller has gone");
  g.read(2);
  g.cancel(2);
  g.cancel(2);
}
