#include "scene.hpp"

int main() {
  Scene s;
  s.say("one long patience among many must not make the others look old: all are in time");
  for (unsigned id = 1; id <= 6; ++id) {
    s.read(id, {.patience = id == 2 ? 4000 : 2100, .caller = 1});
    s.after(300);
    if (s.running.contains(OpId{id})) s.ended(id, Outcome::done, 300);
  }
  s.say("callers differ in patience");
  for (unsigned id = 11; id <= 14; ++id) {
    s.read(id, {.patience = 1200, .caller = 2});
    s.after(300);
    if (s.running.contains(OpId{id})) s.ended(id, Outcome::done, 300);
  }
  s.say("less than the caller's usual: a later try, here one whose time is over");
  s.read(21, {.patience = 1500, .caller = 1});
}
