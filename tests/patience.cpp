#include "driver.hpp"

int main() {
  Driver s;
  s.section("one long patience among many must not make the others look old, nor a second usual one");
  for (unsigned id = 1; id <= 6; ++id) s.read(id, {.time_left = id == 2 ? 4000 : 2100}), s.run_ended(id);
  for (unsigned id = 11; id <= 14; ++id) s.read(id, {.time_left = 1200}), s.run_ended(id);
  Driver t;
  t.section(
      "not a usual one: as old as it is shorter than the next that is; 38 has 150 ms left, runs take 300");
  for (unsigned id = 21; id <= 36; ++id) t.read(id, {.time_left = 2100}), t.run_ended(id, Outcome::done, 300);
  t.read(37, {.time_left = 1500});
  t.read(38, {.time_left = 250});
}
