// Pausing a long run for an urgent op, and the memory of paused ops.
#include "driver.hpp"

int main() {
  Driver s({{"halt", std::string("pause")},
            {"op_type.1.repeats", std::string("retryable")},
            {"op_type.1.target_latency_ns", 500e6}});
  s.train(400, 100, 40);
  s.section("two long runs with slack; a short op is queued, and gets a core once its own slack runs out");
  s.read(1, {.kb = 900});
  s.read(2, {.kb = 900});
  s.read(3, {.type = 1});
  s.run_for(360);
  s.section("a paused run continues when there is room, and keeps its memory: op 4 would not fit beside it");
  s.run_ended(1, Outcome::halted);
  s.read(4, {.kb = 1000});
  s.run_for(40);
  s.run_ended(3, Outcome::done, 40);
  s.run_for(100);
  s.run_ended(2, Outcome::done, 100);
  s.run_for(20);
  s.run_ended(1, Outcome::done, 460);
  s.section("the memory of a paused op whose caller goes is free again: op 7 has room");
  s.read(5, {.kb = 900});
  s.read(6, {.type = 1});
  s.run_for(360);
  s.run_ended(5, Outcome::halted);
  s.cancel(5);
  s.read(7, {.kb = 1200});
  s.run_ended(6, Outcome::done, 60);
}
