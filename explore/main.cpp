// cometshift-explore: all orders of a few events against the deciding modules as they are. Prints how much
// there was to see, and a shortest way to what goes wrong, if anything does.
//
// Exit codes: 0 nothing wrong; 1 something is; 2 it could not be run.
#include "leases_world.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>

using namespace cometshift;
using namespace cometshift::explore;

int main(int argc, char** argv) {
  Bounds bounds;
  double horizon_terms = 2.2;
  std::uint64_t max_states = 20'000'000;
  unsigned threads = 4;
  CLI::App app{"All orders of a few events: three voters, two contenders."};
  app.name("cometshift-explore");
  app.add_option("--rounds", bounds.rounds, "of asking, for one contender")->check(CLI::Range(0, 10));
  app.add_option("--second", bounds.second_rounds, "and for the other")->check(CLI::Range(0, 10));
  app.add_option("--lost", bounds.lost, "messages")->check(CLI::Range(0, 10));
  app.add_option("--doubled", bounds.duplicated, "messages")->check(CLI::Range(0, 10));
  app.add_option("--late", bounds.late, "messages that time passes over")->check(CLI::Range(0, 10));
  app.add_option("--crashes", bounds.crashes, "of voters, which forget")->check(CLI::Range(0, 10));
  app.add_option("--horizon", horizon_terms, "terms")->check(CLI::Range(0.1, 10.0));
  app.add_flag("--held", bounds.held, "one contender holds the lease at the beginning");
  app.add_option("--most", max_states, "states told apart");
  app.add_option("--threads", threads, "")->check(CLI::Range(1, 64));
  CLI11_PARSE(app, argc, argv);
  bounds.horizon = static_cast<Nanos>(horizon_terms * 1e9);
  const LeasesWorld start(bounds);
  const SearchResult result = search(start, max_states, threads);
  std::printf("rounds %d and %d, lost %d, doubled %d, late %d, crashes %d, %s%.1f terms: %llu states, %llu "
              "steps, depth %d%s\n",
              bounds.rounds, bounds.second_rounds, bounds.lost, bounds.duplicated, bounds.late,
              bounds.crashes, bounds.held ? "held, " : "", horizon_terms,
              static_cast<unsigned long long>(result.states), static_cast<unsigned long long>(result.steps),
              result.depth,
              result.complete            ? ", all of it"
              : result.violation.empty() ? ", CUT OFF"
                                         : "");
  if (result.violation.empty()) return result.complete ? 0 : 2;
  std::printf("wrong: %s\n", result.violation.c_str());
  LeasesWorld state = start;
  for (const std::uint32_t step : result.path) {
    const std::string description = state.describe(step);
    if (!description.ends_with("time passes")) std::printf("  %s\n", description.c_str());
    state = std::move(state.next()[step].second);
  }
  return 1;
}
