#include "driver.hpp"

int main() {
  Driver s;
  s.say("ops run before the notice and through the shutdown delay");
  s.read(1);
  s.to(100);
  s.drain(3000);
  s.read(2, {.type = 1});
  s.to(200);
  s.ended(1);
  s.say("a second notice changes nothing; health stays bad");
  s.drain(9000);
  s.to(2050);
  s.read(3, {.type = 1});
  s.to(2150);
  s.say("past the grace: refused; also what arrived late but was read within a batch");
  s.read(4);
  s.read(5);
  s.say("all is answered before the kill at 3100, the run that goes on too");
  s.to(3100);
  Driver late;
  late.say("one that arrived in time may be refused but not run once the delay is over");
  late.read(7, {.type = 1});
  late.drain(200);
  late.to(150);
  late.read(6, {.waited = 140});
  late.to(200);
  Driver still;
  still.say("the process stands still from before the notice: the delay and the kill count from when it may "
            "have come");
  still.to(100);
  still.stand_still(500);
  still.drain(3000);
  still.to(2080);
  still.read(8);
  still.to(2120);
  still.read(9);
  still.to(3100);
}
