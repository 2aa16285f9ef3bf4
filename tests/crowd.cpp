#include "driver.hpp"

// How many are started when all go to wait at a call as soon as they run.
static void crowd(Driver& s, unsigned id) {
  s.quiet = true;
  for (int i = 0; i < 20; ++i, ++id) {
    s.read(id, {.kb = 1});
    if (s.running.contains(OpId{id})) s.call_wanted(id);
  }
  s.section(std::to_string(s.running.size()).append(" started"));
}

int main() {
  Driver s;
  s.section(
      "those waiting at calls are not under the cap, but with the running ones under the survivable crowd");
  crowd(s, 1);
  Driver c({{"cold", 1.0}, {"cold_from", 0.2}, {"warm_after_ns", 10e9}});
  c.section("cold: fewer");
  crowd(c, 1);
}
