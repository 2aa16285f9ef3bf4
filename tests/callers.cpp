// Feedback to callers (level, tokens, bias) and the idle timeout of their connections, under overload, after
// it and while draining.
#include "driver.hpp"

#include <cmath>

// Sends more ops than can be served, while `wanted` cores are in demand, reading included.
static void crowd(Driver& s, double wanted, Nanos waited, int ops, unsigned callers = 0) {
  static unsigned id = 1;
  s.quiet = true;
  s.gauges(1, wanted);
  for (int i = 0; i < 40; ++i) {
    for (int j = 0; j < ops; ++j)
      s.read(id++, {.waited = waited, .caller = callers > 0 ? id % callers : id % 10 == 0 ? 1U : 2U});
    s.run_for(100);
    for (const OpId op : std::set<OpId>(s.running)) s.run_ended(static_cast<unsigned>(op.raw));
  }
  s.quiet = false;
  s.section(std::to_string(std::lround(100 * s.last_feedback)).append(" hundredths in the last feedback"));
}

int main() {
  Driver s({{"say", std::string("level")}});
  s.section("nine of ten ops nacked, but reading them costs next to nothing: callers may keep sending");
  crowd(s, 2, 0, 4);
  s.section("reading takes half of the cores: a level, at most the mean rank of the nacked ops (0.5)");
  crowd(s, 4, 0, 4);
  s.quiet = true;
  while (!s.running.empty()) s.run_ended(static_cast<unsigned>(s.running.begin()->raw));
  s.quiet = false;
  s.section("no load any more: the level comes down again");
  s.run_for(4500);
  Driver t({{"say", std::string("tokens")}});
  t.section("tokens: ops wait long to be read, though none is nacked; one caller sends nine of ten, so few "
            "share them");
  crowd(t, 4, 600, 1);
  t.section("and no tokens while draining");
  t.drain(3000);
  Driver f({{"say", std::string("tokens")}});
  f.section("forty callers in turn, ten ops a second: only ten remember their feedback");
  crowd(f, 4, 600, 1, 40);
  Driver b({{"say", std::string("bias")}});
  b.section("bias");
  b.drain(3000);
  for (const double callers : {20.0, 500.0}) {
    Driver c({{"callers", callers}, {"idle_ns", 30e9}});
    c.section("callers in turn, each silent for as many tenths of a second: with many, idle connections "
              "close soon");
    for (unsigned id = 1; id < 80; ++id) {
      c.quiet = true;
      c.read(id, {.caller = id % static_cast<unsigned>(callers)});
      c.run_ended(id);
      c.quiet = false;
      c.run_for(100);
    }
  }
  Driver n;
  n.section("no feedback configured");
  n.drain(3000);
}
