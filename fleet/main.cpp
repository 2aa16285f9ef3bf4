// cometshift-fleet: runs several servers as processes, injects faults between them, and checks every act at a
// shared target. Uses loopback only, and exits by itself.
//
// Exit codes: 0 no violation; 1 two members acted at the same time, a rule was broken, or the fleet did not
// recover; 2 the run could not be carried out.
#include "rig.hpp"
#include "timeline.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <cstdio>

using namespace cometshift;
using namespace cometshift::fleet;

namespace {

constexpr double max_seconds = 7200, max_rate = 2000;

double quantile_in_terms(std::vector<Nanos> gaps, double part, double term_s) {
  if (gaps.empty()) return 0;
  std::sort(gaps.begin(), gaps.end());
  return static_cast<double>(gaps[static_cast<std::size_t>(part * static_cast<double>(gaps.size() - 1))]) /
         1e9 / term_s;
}
float quantile(std::vector<float>& all, double part) {
  if (all.empty()) return 0;
  const auto at = static_cast<std::size_t>(part * static_cast<double>(all.size() - 1));
  std::nth_element(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(at), all.end());
  return all[at];
}
unsigned long long as_ull(std::uint64_t n) { return n; }

void print(const RunOptions& options, RunResult& outcome) {
  const ExclusionChecker::Findings& v = outcome.findings;
  std::printf("%u servers, %u voters, %.0f s, seed %llu: %zu faults, %llu starts of a server, %llu changes "
              "of the voters\n",
              options.members, options.voters, options.seconds, as_ull(options.seed), outcome.faults,
              as_ull(outcome.incarnations), as_ull(outcome.voter_changes));
  std::printf("acts %llu by %llu holdings; refused as stale %llu; at once %llu, tokens that went back %llu, "
              "one token of two "
              "members %llu, without a majority %llu\n",
              as_ull(v.acts), as_ull(v.holdings), as_ull(v.refused), as_ull(v.concurrent_acts),
              as_ull(v.token_regressions), as_ull(v.shared_tokens), as_ull(v.acts_without_majority));
  std::printf(
      "until another acts: %zu times, half within %.2f terms, 99 in 100 within %.2f, all within %.2f\n",
      outcome.gaps.size(), quantile_in_terms(outcome.gaps, 0.5, options.term_s),
      quantile_in_terms(outcome.gaps, 0.99, options.term_s),
      quantile_in_terms(outcome.gaps, 1, options.term_s));
  std::printf(
      "ops %llu: rules broken %llu, results that no run made %llu; answers' p99 %.1f ms, p99.9 %.1f ms\n",
      as_ull(outcome.ops), as_ull(outcome.rules_broken), as_ull(outcome.wrong_results),
      static_cast<double>(quantile(outcome.answer_ms, 0.99)),
      static_cast<double>(quantile(outcome.answer_ms, 0.999)));
  std::printf(
      "a server's CPU %.2f%% of a core, memory at most %ld KB; between all servers %.0f bytes a second\n",
      100 * outcome.cpu_seconds / std::max(outcome.member_seconds, 1e-9), outcome.peak_kb,
      static_cast<double>(outcome.bytes) / options.seconds);
  if (!outcome.recovered) std::printf("WRONG: a task was not done in the time without faults at the end\n");
  if (outcome.unexpected_exits > 0)
    std::printf("WRONG: %llu servers did not end as told\n", as_ull(outcome.unexpected_exits));
  for (const std::string& one : v.examples) std::printf("  %s\n", one.c_str());
  for (const std::string& one : outcome.examples) std::printf("  %s\n", one.c_str());
  std::printf("%s\n", outcome.violations() == 0 ? "nothing wrong" : "WRONG");
  std::fflush(stdout);
}

RunResult run_plan(const RunOptions& options, const std::vector<Fault>& plan, const std::string& svg) {
  asio::io_context io;
  Rig rig(io, options, plan);
  RunResult outcome = rig.run();
  load::write_file(options.folder + "/faults.txt", format_plan(rig.injected()));
  if (!svg.empty())
    load::write_file(svg, timeline(rig.checker(), rig.injected(), options.members,
                                   static_cast<Nanos>(options.seconds * 1e9)));
  return outcome;
}

// Shrinks a failing plan: leaves out halves, then smaller parts, as long as the run still fails.
std::vector<Fault> shrink_plan(const RunOptions& options, std::vector<Fault> plan, int tries) {
  for (std::size_t part = std::max<std::size_t>(1, plan.size() / 2); tries > 0;
       part = std::max<std::size_t>(1, part / 2)) {
    bool fewer = false;
    for (std::size_t from = 0; from < plan.size() && tries > 0;) {
      std::vector<Fault> some = plan;
      some.erase(some.begin() + static_cast<std::ptrdiff_t>(from),
                 some.begin() + static_cast<std::ptrdiff_t>(std::min(from + part, plan.size())));
      --tries;
      const bool wrong = run_plan(options, some, "").violations() > 0;
      std::printf("without %zu of %zu faults: %s\n", plan.size() - some.size(), plan.size(),
                  wrong ? "still wrong" : "right");
      std::fflush(stdout);
      if (wrong)
        plan = some, fewer = true;
      else
        from += part;
    }
    if (part == 1 && !fewer) break;
  }
  return plan;
}

} // namespace

int main(int argc, char** argv) {
  RunOptions options;
  RandomPlanOptions random_options;
  std::string plan_file, svg;
  int shrink = 0;
  bool plan_only = false, without = false;
  CLI::App app{
      "Runs several servers as processes on loopback, injects faults between them, and checks every act."};
  app.name("cometshift-fleet");
  app.add_option("--server", options.server, "the program");
  app.add_option("--clock", options.clock, "the library that distorts clocks (standin/odd_clock.c)");
  app.add_option("--folder", options.folder, "for configurations, logs, and the injected faults")->required();
  app.add_option("--members", options.members, "servers")->check(CLI::Range(1, 64));
  app.add_option("--voters", options.voters, "servers that vote")->check(CLI::Range(1, 7));
  app.add_option("--tasks", options.tasks,
                 "tasks, alternately at a target that can refuse and at one that can't")
      ->check(CLI::Range(1, 1000));
  app.add_option("--every", options.every_s, "the tasks' period, in seconds")->check(CLI::Range(0.1, 3600.0));
  app.add_option("--seconds", options.seconds, "length of the run, in seconds")
      ->check(CLI::Range(1.0, max_seconds));
  app.add_option("--term", options.term_s, "of a lease, in seconds")->check(CLI::Range(0.3, 60.0));
  app.add_option("--seed", options.seed, "of the random choices");
  app.add_option("--faults", random_options.faults_per_minute, "faults per minute")
      ->check(CLI::Range(0.0, 1000.0));
  app.add_flag("--kills", random_options.kills_only,
               "only kills of the member that acts, with time to recover in between");
  app.add_option("--plan", plan_file, "file of faults by time, instead of random ones (fleet/plan.hpp)");
  app.add_option("--rate", options.rate, "ops a second at each server")->check(CLI::Range(0.0, max_rate));
  app.add_option("--svg", svg, "file for an SVG timeline of the run");
  app.add_option("--shrink", shrink, "after a failure: number of further runs to find fewer faults that fail")
      ->check(CLI::Range(0, 200));
  app.add_flag("--without", without, "the same servers with no fleet configured");
  app.add_flag("--print-plan", plan_only, "print only the faults");
  app.add_flag("--quiet", options.quiet, "the verdict only");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    options.leases = !without;
    if (options.voters > options.members) throw std::invalid_argument("more voters than servers");
    random_options.seed = options.seed;
    random_options.members = options.members;
    random_options.voters = options.voters;
    random_options.length = static_cast<Nanos>(options.seconds * 1e9);
    random_options.term = static_cast<Nanos>(options.term_s * 1e9);
    std::vector<Fault> plan;
    if (!plan_file.empty())
      plan = parse_plan(load::read_file(plan_file), plan_file, options.members);
    else if (random_options.faults_per_minute > 0)
      plan = random_plan(random_options);
    if (plan_only) {
      std::fputs(format_plan(plan).c_str(), stdout);
      return 0;
    }
    RunResult outcome = run_plan(options, plan, svg);
    print(options, outcome);
    if (outcome.violations() > 0 && shrink > 0) {
      const std::vector<Fault> few = shrink_plan(options, plan, shrink);
      std::printf("%zu faults that go wrong:\n%s", few.size(), format_plan(few).c_str());
    }
    return outcome.violations() == 0 ? 0 : 1;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "cometshift-fleet: %s\n", e.what());
    return 2;
  }
}
