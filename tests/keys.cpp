// Idempotency keys: a keyed op must not run twice, whichever way its first try ended.
#include "driver.hpp"

int main() {
  Driver s;
  s.section("a key is kept until the end of its window, counted from the op's arrival");
  s.read(1, {.type = 1, .waited = 40});
  s.read(2, {.type = 1});
  s.read(3, {.type = 1});
  s.section("a repeat of a running op is answered with its result, a repeat of a queued op takes its place");
  s.read(4, {.type = 1, .original = OpId{1}});
  s.read(5, {.type = 1, .original = OpId{3}});
  s.run_until(200);
  s.run_ended(1);
  s.run_ended(4);
  s.section("an op that has run is not run again, however its run ended");
  s.read(6, {.type = 1, .original = OpId{1}});
  s.run_ended(2, Outcome::failed);
  s.read(7, {.type = 1, .original = OpId{2}});
  s.section("a repeat that waits too long is failed, not nacked");
  s.read(8, {.type = 1, .time_left = 300, .original = OpId{5}});
  s.run_until(600);
  s.section("the key of an op that is nacked without a run is forgotten");
  s.read(9, {.type = 1});
  s.read(10, {.type = 1, .time_left = 100});
  s.run_until(800);
  Driver w({{"op_type.1.key_window_ns", 1e9}});
  w.section(
      "two tries of one op lay unread for longer than their window: the first key is kept all the same");
  w.run_until(2000);
  w.read(1, {.type = 1, .waited = 1500});
  w.read(2, {.type = 1, .waited = 700, .original = OpId{1}});
  w.run_until(2100);
  w.run_ended(1);
  Driver h({{"halt", std::string("drop")}});
  h.section("an op that returned to the queue has run: a retryable one may run again, a keyed one is failed, "
            "not nacked");
  h.read(1);
  h.run_ended(1, Outcome::halted);
  h.read(2, {.type = 1});
  h.run_ended(2, Outcome::halted);
  h.read(3);
  h.read(4);
  h.run_until(1990);
  h.run_ended(1, Outcome::halted);
  h.run_until(2100);
  Driver f({{"fresh_for_ns", 1e9}});
  f.section("reads of one key share an answer while it is fresh");
  f.read(1, {.key = 5});
  f.read(2, {.key = 5, .original = OpId{1}});
  f.read(3, {.key = 6});
  f.read(4, {.key = 7});
  f.read(5, {.key = 7, .original = OpId{4}});
  f.run_ended(3);
}
