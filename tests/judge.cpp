// The judge of the rig of several processes, and its plans of faults: each wrong is told to it once and has
// to be seen.
#include "judge.hpp"
#include "plan.hpp"

#include <cstdio>

using namespace cometshift;
using namespace cometshift::fleet;

namespace {

constexpr Nanos ms = 1'000'000;
void say(const char* what) { std::printf("# %s\n", what); }

struct Told {
  Judge judge{{3, {1, 2, 3}, 1000 * ms, 100 * ms}};
  std::size_t act(Nanos at, const char* task, unsigned member, std::uint64_t token, Nanos takes = 20) {
    const std::size_t number =
        judge.begins(at * ms, task, std::string_view(task).starts_with("fenced"), member, Token{token});
    if (takes >= 0) judge.ends((at + takes) * ms, number);
    return number;
  }
  void print() const {
    const Judge::Verdict& v = judge.verdict();
    std::printf("  acts %llu, holdings %llu, refused %llu; at once %llu, back %llu, one token twice %llu, "
                "unheard %llu\n",
                static_cast<unsigned long long>(v.acts), static_cast<unsigned long long>(v.holdings),
                static_cast<unsigned long long>(v.refused), static_cast<unsigned long long>(v.at_once),
                static_cast<unsigned long long>(v.tokens_back),
                static_cast<unsigned long long>(v.one_token_twice),
                static_cast<unsigned long long>(v.unheard));
    for (const std::string& one : v.first) std::printf("    %s\n", one.c_str());
    for (const Nanos gap : judge.gaps())
      std::printf("    another acts after %lld ms\n", static_cast<long long>(gap / ms));
  }
};

} // namespace

int main() {
  {
    say("as it should be: one after the other, the next under a greater token");
    Told t;
    t.act(0, "plain-0", 1, 5), t.act(100, "plain-0", 1, 5), t.act(200, "plain-0", 2, 7);
    t.act(200, "plain-1", 3, 1); // another task has nothing to do with it
    t.print();
  }
  {
    say("two at once, where the target can't refuse; at the one that can, what was taken is done");
    Told t;
    t.act(0, "plain-0", 1, 5, -1), t.act(10, "plain-0", 2, 7);
    t.act(0, "fenced-0", 1, 5, -1), t.act(10, "fenced-0", 2, 7);
    t.print();
  }
  {
    say("an earlier token after a later one: refused where that can be, wrong where it can't");
    Told t;
    t.act(0, "fenced-0", 2, 7), t.act(100, "fenced-0", 1, 5);
    t.act(0, "plain-0", 2, 7), t.act(100, "plain-0", 1, 5);
    t.print();
  }
  {
    say("one token, two members");
    Told t;
    t.act(0, "fenced-0", 1, 5), t.act(100, "fenced-0", 2, 5);
    t.print();
  }
  {
    say("a member that hears no majority acts: for a term it may, then it may not");
    Told t;
    std::vector<std::vector<bool>> hears(4, std::vector<bool>(4, true));
    hears[1][2] = hears[3][1] = false; // one way each
    t.judge.reach(0, hears);
    t.act(1050, "plain-0", 1, 5), t.act(1150, "plain-0", 1, 5), t.act(1200, "plain-0", 2, 6);
    t.print();
    say("it hears them again; one that stands still hears nobody");
    hears[1][2] = true;
    t.judge.reach(1300 * ms, hears);
    t.act(1400, "plain-0", 1, 8);
    hears[1][1] = false;
    t.judge.reach(1500 * ms, hears);
    t.act(2700, "plain-0", 1, 8);
    t.print();
  }
  {
    say("from the loss of who acts to another's act");
    Told t;
    t.act(0, "plain-0", 1, 5);
    t.judge.lost(50 * ms, 2); // it did not act
    t.judge.lost(100 * ms, 1);
    t.act(900, "plain-0", 3, 6), t.act(1000, "plain-0", 3, 6);
    t.print();
  }
  say("plans: as read and written; drawn from a seed, the same each time");
  const char* text =
      "# a comment\n1 kill 0 0.5\n2.25 cut 1 2 1.5 # one way\n3 reset 2 3\n4 restart-voters 0.2\n";
  std::printf("%s", text_of(plan_in(text, "plan", 3)).c_str());
  const Draw draw{.seed = 4, .length = 20'000 * ms, .term = 1000 * ms};
  std::printf("%s  the same: %s\n", text_of(drawn(draw)).c_str(),
              text_of(drawn(draw)) == text_of(drawn(draw)) ? "yes" : "no");
  say("plans that can't be read");
  for (const char* bad : {"kill 1 1", "1 kil 1 1", "1 kill 4 1", "1 kill 1", "1 cut 1 1",
                          "2 kill 1 1\n1 kill 1 1", "1 reset 1 2 3"})
    try {
      plan_in(bad, "plan", 3);
      std::printf("  taken\n");
    } catch (const std::invalid_argument& e) {
      std::printf("  %s\n", e.what());
    }
}
