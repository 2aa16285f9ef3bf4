#include "driver.hpp"

int main() {
  Driver s;
  s.learn(400, 400);
  s.say("two run; what can begin soon enough is held, and where the line is too long the least important "
        "leaves");
  for (unsigned id = 1; id <= 12; ++id) s.read(id, {.type = id >= 8 ? 1U : 0U});
  s.say("with nacks not rare any more, the line that may stand is shorter");
  for (unsigned id = 21; id <= 28; ++id) s.read(id, {.type = 1});
  s.say("the rest runs, as the latest starts come");
  s.after(300);
  s.ended(1);
  s.ended(2);
  s.say("one that waited long to be read is over");
  s.read(90, {.waited = 1900});
  Driver t({{"tenant.0.quota", 2.0}, {"tenant.1.quota", 50.0}, {"over_share_worth", 0.1}});
  t.learn(400, 400);
  t.say("a tenant far over its share leaves first");
  for (unsigned id = 1; id <= 13; ++id) t.read(id, {.tenant = id >= 6 ? 0U : 1U});
  Driver u({{"marks_retry", 1.0}});
  u.learn(400, 400);
  u.say("further tries (3 and 5) are asked not to go on elsewhere; with many of them about, first ones too");
  for (unsigned id = 1; id <= 12; ++id) u.read(id, {.again = id == 3 || id == 5});
  u.quiet = true;
  for (unsigned id = 11; id <= 40; ++id) u.read(id, {.again = true});
  u.quiet = false;
  u.read(41);
  Driver v;
  v.learn(100, 1200);
  v.quiet = true;
  for (unsigned id = 1; id <= 60; ++id) v.read(id);
  while (!v.running.empty()) v.ended(static_cast<unsigned>(v.running.begin()->raw));
  for (unsigned id = 61; id <= 62; ++id) v.read(id);
  v.quiet = false;
  v.say(
      "short ones run and nacks are not rare; a long one (12 times theirs) waits for them, not for its like");
  v.read(63, {.type = 1});
  v.ended(61);
  Driver w({{"marks_retry", 1.0}});
  w.quiet = true;
  for (unsigned id = 1; id <= 20; ++id)
    w.read(id, {.hint = 100}), w.after(200), w.ended(id, Outcome::done, 200);
  w.quiet = false;
  w.say("a guess far over the usual: a first try that is likelier late than not is sent on, a further one "
        "runs");
  w.read(21, {.hint = 10000});
  w.read(22, {.again = true, .hint = 10000});
}
