#include "driver.hpp"

int main() {
  Driver s({{"halt", std::string("pause")},
            {"op_type.1.repeats", std::string("retryable")},
            {"op_type.1.target_latency_ns", 500e6}});
  s.train(400, 100, 40);
  s.section(
      "two long runs with time to spare; a short one is held, and gets a core once its own time runs out");
  s.read(1, {.kb = 900});
  s.read(2, {.kb = 900});
  s.read(3, {.type = 1});
  s.run_for(360);
  s.section("what was paused goes on when there is room, and keeps its memory: 4 would be too much with it");
  s.run_ended(1, Outcome::halted);
  s.read(4, {.kb = 1000});
  s.run_for(40);
  s.run_ended(3, Outcome::done, 40);
  s.run_for(100);
  s.run_ended(2, Outcome::done, 100);
  s.run_for(20);
  s.run_ended(1, Outcome::done, 460);
  s.section("the memory of a paused one whose caller goes is free again: 7 has room");
  s.read(5, {.kb = 900});
  s.read(6, {.type = 1});
  s.run_for(360);
  s.run_ended(5, Outcome::halted);
  s.cancel(5);
  s.read(7, {.kb = 1200});
  s.run_ended(6, Outcome::done, 60);
}
