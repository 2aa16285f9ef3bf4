#include "driver.hpp"

int main() {
  Driver s;
  s.say("one long patience among many must not make the others look old, nor a second usual one");
  for (unsigned id = 1; id <= 6; ++id) s.read(id, {.patience = id == 2 ? 4000 : 2100}), s.ended(id);
  for (unsigned id = 11; id <= 14; ++id) s.read(id, {.patience = 1200}), s.ended(id);
  Driver t;
  t.say("not a usual one: as old as it is shorter than the next that is; 38 has 150 ms left, runs take 300");
  for (unsigned id = 21; id <= 36; ++id) t.read(id, {.patience = 2100}), t.ended(id, Outcome::done, 300);
  t.read(37, {.patience = 1500});
  t.read(38, {.patience = 250});
}
