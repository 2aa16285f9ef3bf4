// The fleet rig's checker and its fault plans: each kind of violation is reported to the checker once and has
// to be detected.
#include "judge.hpp"
#include "plan.hpp"

#include <cstdio>

using namespace cometshift;
using namespace cometshift::fleet;

namespace {

constexpr Nanos ms = 1'000'000;
void section(const char* what) { std::printf("# %s\n", what); }

struct Fixture {
  ExclusionChecker checker{{3, {1, 2, 3}, 1000 * ms, 100 * ms}};
  std::size_t act(Nanos at, const char* task, unsigned member, std::uint64_t token, Nanos act_duration = 20) {
    const std::size_t number =
        checker.begin_act(at * ms, task, std::string_view(task).starts_with("fenced"), member, Token{token});
    if (act_duration >= 0) checker.end_act((at + act_duration) * ms, number);
    return number;
  }
  void print() const {
    const ExclusionChecker::Findings& v = checker.findings();
    std::printf("  acts %llu, holdings %llu, refused %llu; at once %llu, back %llu, one token twice %llu, "
                "unheard %llu\n",
                static_cast<unsigned long long>(v.acts), static_cast<unsigned long long>(v.holdings),
                static_cast<unsigned long long>(v.refused),
                static_cast<unsigned long long>(v.concurrent_acts),
                static_cast<unsigned long long>(v.token_regressions),
                static_cast<unsigned long long>(v.shared_tokens),
                static_cast<unsigned long long>(v.acts_without_majority));
    for (const std::string& one : v.examples) std::printf("    %s\n", one.c_str());
    for (const Nanos gap : checker.gaps())
      std::printf("    another acts after %lld ms\n", static_cast<long long>(gap / ms));
  }
};

} // namespace

int main() {
  {
    section("as it should be: one after the other, the next under a greater token");
    Fixture t;
    t.act(0, "plain-0", 1, 5), t.act(100, "plain-0", 1, 5), t.act(200, "plain-0", 2, 7);
    t.act(200, "plain-1", 3, 1); // another task has nothing to do with it
    t.print();
  }
  {
    section("two at once, where the target can't refuse; at the one that can, what was taken is done");
    Fixture t;
    t.act(0, "plain-0", 1, 5, -1), t.act(10, "plain-0", 2, 7);
    t.act(0, "fenced-0", 1, 5, -1), t.act(10, "fenced-0", 2, 7);
    t.print();
  }
  {
    section("an earlier token after a later one: refused where that can be, wrong where it can't");
    Fixture t;
    t.act(0, "fenced-0", 2, 7), t.act(100, "fenced-0", 1, 5);
    t.act(0, "plain-0", 2, 7), t.act(100, "plain-0", 1, 5);
    t.print();
  }
  {
    section("one token, two members");
    Fixture t;
    t.act(0, "fenced-0", 1, 5), t.act(100, "fenced-0", 2, 5);
    t.print();
  }
  {
    section("a member that hears no majority acts: for a term it may, then it may not");
    Fixture t;
    std::vector<std::vector<bool>> receives_from(4, std::vector<bool>(4, true));
    receives_from[1][2] = receives_from[3][1] = false; // one way each
    t.checker.set_connectivity(0, receives_from);
    t.act(1050, "plain-0", 1, 5), t.act(1150, "plain-0", 1, 5), t.act(1200, "plain-0", 2, 6);
    t.print();
    section("it hears them again; one that stands still hears nobody");
    receives_from[1][2] = true;
    t.checker.set_connectivity(1300 * ms, receives_from);
    t.act(1400, "plain-0", 1, 8);
    receives_from[1][1] = false;
    t.checker.set_connectivity(1500 * ms, receives_from);
    t.act(2700, "plain-0", 1, 8);
    t.print();
  }
  {
    section("from the loss of who acts to another's act");
    Fixture t;
    t.act(0, "plain-0", 1, 5);
    t.checker.on_member_lost(50 * ms, 2); // it did not act
    t.checker.on_member_lost(100 * ms, 1);
    t.act(900, "plain-0", 3, 6), t.act(1000, "plain-0", 3, 6);
    t.print();
  }
  section("plans: as read and written; drawn from a seed, the same each time");
  const char* text =
      "# a comment\n1 kill 0 0.5\n2.25 cut 1 2 1.5 # one way\n3 reset 2 3\n4 restart-voters 0.2\n";
  std::printf("%s", format_plan(parse_plan(text, "plan", 3)).c_str());
  const RandomPlanOptions options{.seed = 4, .length = 20'000 * ms, .term = 1000 * ms};
  std::printf("%s  the same: %s\n", format_plan(random_plan(options)).c_str(),
              format_plan(random_plan(options)) == format_plan(random_plan(options)) ? "yes" : "no");
  section("plans that can't be read");
  for (const char* bad : {"kill 1 1", "1 kil 1 1", "1 kill 4 1", "1 kill 1", "1 cut 1 1",
                          "2 kill 1 1\n1 kill 1 1", "1 reset 1 2 3"})
    try {
      parse_plan(bad, "plan", 3);
      std::printf("  taken\n");
    } catch (const std::invalid_argument& e) {
      std::printf("  %s\n", e.what());
    }
}
