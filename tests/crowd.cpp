// Ops that wait at calls are outside the cap, but all started ops together are limited, on a cold server to
// fewer.
#include "driver.hpp"

// Prints how many ops are started if all of them wait at a call as soon as they run.
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
  s.section("ops waiting at calls don't count under the cap, but with the running ones under the maximum of "
            "running ops");
  crowd(s, 1);
  Driver c({{"cold", 1.0}, {"cold_from", 0.2}, {"warm_after_ns", 10e9}});
  c.section("cold server: fewer");
  crowd(c, 1);
}
