// Age of an op by its caller's timeout: an uncommon timeout marks a retry, but must not make other ops look
// old.
#include "driver.hpp"

int main() {
  Driver s;
  s.section("one long timeout among many must not make the others look old, nor must a second common one");
  for (unsigned id = 1; id <= 6; ++id) s.read(id, {.time_left = id == 2 ? 4000 : 2100}), s.run_ended(id);
  for (unsigned id = 11; id <= 14; ++id) s.read(id, {.time_left = 1200}), s.run_ended(id);
  Driver t;
  t.section("an uncommon timeout: its age is the difference to the next common one; 38 has 150 ms left, runs "
            "take 300");
  for (unsigned id = 21; id <= 36; ++id) t.read(id, {.time_left = 2100}), t.run_ended(id, Outcome::done, 300);
  t.read(37, {.time_left = 1500});
  t.read(38, {.time_left = 250});
}
