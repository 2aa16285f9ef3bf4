// Queue: which ops are nacked when it gets too long, and when nacks ask callers not to retry elsewhere.
#include "driver.hpp"

int main() {
  Driver s;
  s.train(400, 400);
  s.section("two ops run; ops that can start soon enough are queued, and if the queue is too long the least "
            "important is nacked");
  for (unsigned id = 1; id <= 12; ++id) s.read(id, {.type = id >= 8 ? 1U : 0U});
  s.section("once nacks are not rare any more, a shorter queue is allowed");
  for (unsigned id = 21; id <= 28; ++id) s.read(id, {.type = 1});
  s.section("the remaining ops run in order of their latest starts");
  s.run_for(300);
  s.run_ended(1);
  s.run_ended(2);
  s.section("an op that waited long to be read is nacked");
  s.read(90, {.waited = 1900});
  Driver t({{"tenant.0.quota", 2.0}, {"tenant.1.quota", 50.0}, {"over_share_worth", 0.1}});
  t.train(400, 400);
  t.section("ops of a tenant far over its share are nacked first");
  for (unsigned id = 1; id <= 13; ++id) t.read(id, {.tenant = id >= 6 ? 0U : 1U});
  Driver u({{"marks_retry", 1.0}});
  u.train(400, 400);
  u.section(
      "retries (3 and 5) are asked not to retry elsewhere; while many ops are retries, first tries too");
  for (unsigned id = 1; id <= 12; ++id) u.read(id, {.is_retry = id == 3 || id == 5});
  u.quiet = true;
  for (unsigned id = 11; id <= 40; ++id) u.read(id, {.is_retry = true});
  u.quiet = false;
  u.read(41);
  Driver v;
  v.train(100, 1200);
  v.quiet = true;
  for (unsigned id = 1; id <= 60; ++id) v.read(id);
  while (!v.running.empty()) v.run_ended(static_cast<unsigned>(v.running.begin()->raw));
  for (unsigned id = 61; id <= 62; ++id) v.read(id);
  v.quiet = false;
  v.section("short ops run and nacks are not rare; a long op (12 times as long) waits for them, not for "
            "another long one");
  v.read(63, {.type = 1});
  v.run_ended(61);
  Driver w({{"marks_retry", 1.0}});
  w.quiet = true;
  for (unsigned id = 1; id <= 20; ++id)
    w.read(id, {.work_estimate = 100}), w.run_for(200), w.run_ended(id, Outcome::done, 200);
  w.quiet = false;
  w.section(
      "an estimate far above the usual: a first try that is likely to be late is redirected, a retry runs");
  w.read(21, {.work_estimate = 10000});
  w.read(22, {.is_retry = true, .work_estimate = 10000});
}
