#include "driver.hpp"

int main() {
  Driver s;
  s.train(400, 400);
  s.section("two run; what can begin soon enough is held, and where the line is too long the least important "
            "leaves");
  for (unsigned id = 1; id <= 12; ++id) s.read(id, {.type = id >= 8 ? 1U : 0U});
  s.section("with nacks not rare any more, the line that may stand is shorter");
  for (unsigned id = 21; id <= 28; ++id) s.read(id, {.type = 1});
  s.section("the rest runs, as the latest starts come");
  s.run_for(300);
  s.run_ended(1);
  s.run_ended(2);
  s.section("one that waited long to be read is over");
  s.read(90, {.waited = 1900});
  Driver t({{"tenant.0.quota", 2.0}, {"tenant.1.quota", 50.0}, {"over_share_worth", 0.1}});
  t.train(400, 400);
  t.section("a tenant far over its share leaves first");
  for (unsigned id = 1; id <= 13; ++id) t.read(id, {.tenant = id >= 6 ? 0U : 1U});
  Driver u({{"marks_retry", 1.0}});
  u.train(400, 400);
  u.section(
      "further tries (3 and 5) are asked not to go on elsewhere; with many of them about, first ones too");
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
  v.section(
      "short ones run and nacks are not rare; a long one (12 times theirs) waits for them, not for its like");
  v.read(63, {.type = 1});
  v.run_ended(61);
  Driver w({{"marks_retry", 1.0}});
  w.quiet = true;
  for (unsigned id = 1; id <= 20; ++id)
    w.read(id, {.work_estimate = 100}), w.run_for(200), w.run_ended(id, Outcome::done, 200);
  w.quiet = false;
  w.section(
      "a guess far over the usual: a first try that is likelier late than not is sent on, a further one "
      "runs");
  w.read(21, {.work_estimate = 10000});
  w.read(22, {.is_retry = true, .work_estimate = 10000});
}
