// Memory: ops, runs and key entries together must stay within the limit.
#include "driver.hpp"

int main() {
  Driver s({{"memory_kb", 1000.0}});
  s.section("a run takes four times the memory of a queued op: the second op waits for the first");
  s.read(1, {.kb = 150});
  s.read(2, {.kb = 150});
  s.section("an op that does not fit into memory is nacked at once");
  s.read(3, {.kb = 250});
  s.run_until(300);
  s.run_ended(1);
  Driver k({{"memory_kb", 400.0}, {"key_kb", 65.0}});
  k.section("a keyed op whose key entry has no room is nacked; after the window of the others the next is "
            "accepted");
  for (unsigned id = 1; id <= 6; ++id) {
    k.read(id, {.type = 1, .kb = 20});
    if (k.running.contains(OpId{id})) k.run_ended(id);
  }
  k.run_until(10100);
  k.read(7, {.type = 1, .kb = 20});
  Driver r({{"memory_kb", 400.0}});
  r.section("a repeat that would wait for its original takes memory too; it is failed, as its original runs");
  r.read(1, {.type = 1, .kb = 80});
  r.read(2, {.type = 1, .kb = 80, .original = OpId{1}});
}
