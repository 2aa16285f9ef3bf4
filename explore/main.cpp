// cometshift-explore: model checker that runs the lease module itself through all orders of a few events.
// Prints the size of the state space, and a shortest path to a violation, if there is one.
//
// Exit codes: 0 no violation; 1 a violation; 2 the search was cut off by the limit of states.
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
  CLI::App app{"Checks leases in all orders of a few events, with three voters and two contenders."};
  app.name("cometshift-explore");
  app.add_option("--rounds", bounds.rounds, "rounds of requests, of one contender")->check(CLI::Range(0, 10));
  app.add_option("--second", bounds.second_rounds, "rounds of requests, of the other")
      ->check(CLI::Range(0, 10));
  app.add_option("--lost", bounds.lost, "messages")->check(CLI::Range(0, 10));
  app.add_option("--doubled", bounds.duplicated, "messages")->check(CLI::Range(0, 10));
  app.add_option("--late", bounds.late, "messages that stay in flight while time passes")
      ->check(CLI::Range(0, 10));
  app.add_option("--crashes", bounds.crashes, "restarts of voters, which lose their state")
      ->check(CLI::Range(0, 10));
  app.add_option("--horizon", horizon_terms, "terms")->check(CLI::Range(0.1, 10.0));
  app.add_flag("--held", bounds.held, "one contender holds the lease at the beginning");
  app.add_option("--most", max_states, "limit of distinct states");
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
