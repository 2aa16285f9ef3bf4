// cometshift-lab: plays all combinations of an experiment on all cores; rows (tab-separated), a table with
// intervals over the seeds. The same file gives the same bytes, whatever the number of threads.
//
// Exit codes: 0 done, no rule broken; 1 one was; 2 a file can't be read; 64 not understood.
#include "days.hpp"
#include "experiment.hpp"
#include "kdl.hpp"

#include <CLI/CLI.hpp>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <map>
#include <mutex>
#include <thread>

using namespace cometshift;
using namespace cometshift::lab;

namespace {

struct Play {
  const Experiment* experiment;
  const Policy* policy;
  double value;
  std::uint64_t seed;
  emulator::Row row;
};

struct Mean {
  std::vector<double> all;
  double mean() const {
    double sum = 0;
    for (const double one : all) sum += one;
    return all.empty() ? 0 : sum / static_cast<double>(all.size());
  }
  // Half of an interval that holds the mean of such days nineteen times of twenty, as if they were normal.
  double half() const {
    if (all.size() < 2) return 0;
    const double m = mean();
    double squares = 0;
    for (const double one : all) squares += (one - m) * (one - m);
    const auto n = static_cast<double>(all.size());
    return 1.96 * std::sqrt(squares / (n - 1) / n);
  }
};

void write_rows(const std::vector<Play>& plays, std::FILE* out) {
  std::fputs(
      "experiment\tpolicy\tvaries\tvalue\tseed\tservice\tbound\tof_bound\ttries\tleast_reserve\tbroken", out);
  for (const load::Kind& kind : plays.front().experiment->day.kinds)
    std::fprintf(out, "\tin_time_%s", kind.name.c_str());
  std::fputs("\n", out);
  for (const Play& one : plays) {
    std::fprintf(out, "%s\t%s\t%s\t%g\t%llu\t%.5f\t%.5f\t%.5f\t%.4f\t%.4f\t%llu",
                 one.experiment->name.c_str(), one.policy->name.c_str(), one.experiment->varies.c_str(),
                 one.value, static_cast<unsigned long long>(one.seed), one.row.service, one.row.bound,
                 one.row.bound > 0 ? one.row.service / one.row.bound : 1, one.row.tries,
                 one.row.least_reserve, static_cast<unsigned long long>(one.row.broken.total()));
    for (const double part : one.row.in_time) std::fprintf(out, "\t%.5f", part);
    std::fputs("\n", out);
  }
}

void write_report(const std::vector<Play>& plays, std::FILE* out) {
  for (std::size_t from = 0; from < plays.size();) {
    const Experiment& experiment = *plays[from].experiment;
    std::fprintf(out,
                 "## %s\n\nSimulated: %zu servers of %g cores, %g s, %llu seeds; mean and half of a 95%% "
                 "interval.\n\n",
                 experiment.name.c_str(), experiment.day.servers, experiment.day.cores,
                 static_cast<double>(experiment.day.length) / 1e9,
                 static_cast<unsigned long long>(experiment.seeds));
    std::fprintf(out,
                 "| %s | policy | importance in time | of the upper bound | tries a request | least of the "
                 "cheapest over 2 s |",
                 experiment.varies.empty() ? "day" : experiment.varies.c_str());
    for (const load::Kind& kind : experiment.day.kinds) std::fprintf(out, " %s in time |", kind.name.c_str());
    std::fputs(" rules broken |\n|", out);
    for (std::size_t i = 0; i < 7 + experiment.day.kinds.size(); ++i) std::fputs(" --- |", out);
    std::fputs("\n", out);
    while (from < plays.size() && plays[from].experiment == &experiment) {
      Mean service, of_bound, tries, least;
      std::vector<Mean> kinds(experiment.day.kinds.size());
      std::uint64_t broken = 0;
      const Play& first = plays[from];
      for (; from < plays.size() && plays[from].experiment == &experiment &&
             plays[from].policy == first.policy && plays[from].value == first.value;
           ++from) {
        const emulator::Row& row = plays[from].row;
        service.all.push_back(row.service);
        of_bound.all.push_back(row.bound > 0 ? row.service / row.bound : 1);
        tries.all.push_back(row.tries);
        least.all.push_back(row.least_reserve);
        for (std::size_t k = 0; k < kinds.size(); ++k) kinds[k].all.push_back(row.in_time[k]);
        broken += row.broken.total();
      }
      std::fprintf(out, "| %g | %s | %.3f ± %.3f | %.3f ± %.3f | %.2f ± %.2f | %.3f |", first.value,
                   first.policy->name.c_str(), service.mean(), service.half(), of_bound.mean(),
                   of_bound.half(), tries.mean(), tries.half(), least.mean());
      for (const Mean& kind : kinds) std::fprintf(out, " %.3f ± %.3f |", kind.mean(), kind.half());
      std::fprintf(out, " %llu |\n", static_cast<unsigned long long>(broken));
    }
    std::fputs("\n", out);
    // How the first server with pools found its capacity, over one day.
    for (const Play& one : plays) {
      if (one.experiment != &experiment || one.row.believed.empty() || one.seed != 1) continue;
      std::fprintf(
          out, "Capacity believed by the first server, %s%s, value %g, seed 1, each half second, in cores:",
          one.policy->name.empty() ? "" : "policy ", one.policy->name.c_str(), one.value);
      for (const double cores : one.row.believed) std::fprintf(out, " %.1f", cores);
      std::fputs("\n\n", out);
      break;
    }
  }
}

// Plays `count` things on so many threads; each writes only what is its own.
template <class Play>
void side_by_side(std::size_t count, unsigned threads, bool quiet, Play play) {
  std::atomic<std::size_t> next{0}, done{0};
  std::mutex say;
  std::vector<std::thread> workers;
  for (unsigned t = 0; t < std::max(1u, threads); ++t)
    workers.emplace_back([&] {
      for (std::size_t i; (i = next++) < count;) {
        play(i);
        const std::size_t now = ++done;
        if (quiet) continue;
        const std::lock_guard hold(say);
        std::fprintf(stderr, "\r%zu of %zu days", now, count);
      }
    });
  for (std::thread& worker : workers) worker.join();
  if (!quiet) std::fputs("\n", stderr);
}

// Random days: how many broke no rule, and which did.
int days(std::uint64_t from, std::uint64_t count, unsigned threads, bool quiet) {
  std::vector<emulator::Row> rows(count);
  side_by_side(count, threads, quiet,
               [&](std::size_t i) { rows[i] = emulator::play(emulator::random_day(from + i)); });
  std::uint64_t good = 0, events = 0;
  for (std::uint64_t i = 0; i < count; ++i) {
    const emulator::Row& row = rows[i];
    events += row.events;
    good += row.broken.total() == 0;
    if (row.broken.total() == 0) continue;
    std::printf("day %llu: %s\n", static_cast<unsigned long long>(from + i), describe(row.broken).c_str());
    for (const std::string& one : row.examples) std::printf("  %s\n", one.c_str());
  }
  std::printf("%llu of %llu random days with no rule broken, %llu events\n",
              static_cast<unsigned long long>(good), static_cast<unsigned long long>(count),
              static_cast<unsigned long long>(events));
  return good == count ? 0 : 1;
}

struct Cell {
  std::vector<double> all;
};
// Rows as `run` wrote them, by experiment, value and policy: importance in time.
std::map<std::string, Cell> cells_of(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw kdl::Wrong(path + ": can't be read");
  std::map<std::string, Cell> cells;
  std::string line;
  std::getline(in, line);
  if (!line.starts_with("experiment\tpolicy\tvaries\tvalue\tseed\tservice"))
    throw kdl::Wrong(path + ": not rows of this program");
  while (std::getline(in, line)) {
    std::vector<std::string> cells_here;
    for (std::size_t from = 0; from <= line.size();) {
      const std::size_t end = std::min(line.find('\t', from), line.size());
      cells_here.push_back(line.substr(from, end - from));
      from = end + 1;
    }
    if (cells_here.size() < 6) throw kdl::Wrong(path + ": a row that is too short: " + line);
    cells[cells_here[0] + " | " + cells_here[3] + " | " + cells_here[1]].all.push_back(
        std::strtod(cells_here[5].c_str(), nullptr));
  }
  return cells;
}

int compare(const std::string& a, const std::string& b) {
  const auto before = cells_of(a), after = cells_of(b);
  std::printf("| experiment | value | policy | importance in time, before | after | difference |\n| --- | "
              "--- | --- | --- | --- | --- |\n");
  for (const auto& [name, cell] : before) {
    const auto other = after.find(name);
    if (other == after.end()) continue;
    const Mean x{cell.all}, y{other->second.all};
    const double half = std::hypot(x.half(), y.half());
    std::printf("| %s | %.3f | %.3f | %+.3f%s |\n", name.c_str(), x.mean(), y.mean(), y.mean() - x.mean(),
                std::abs(y.mean() - x.mean()) > half ? "" : " (within the interval)");
  }
  return 0;
}

int run(const std::string& path, const std::string& rows, const std::string& report, unsigned threads,
        bool quiet) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw kdl::Wrong(path + ": can't be read");
  const std::vector<Experiment> experiments = experiments_in({std::istreambuf_iterator<char>(in), {}}, path);
  std::vector<Play> plays;
  for (const Experiment& experiment : experiments)
    for (const double value : experiment.values)
      for (const Policy& policy : experiment.policies)
        for (std::uint64_t seed = 1; seed <= experiment.seeds; ++seed)
          plays.push_back({&experiment, &policy, value, seed, {}});
  if (plays.empty()) throw kdl::Wrong(path + ": no experiment in it");
  side_by_side(plays.size(), threads, quiet, [&](std::size_t i) {
    Play& one = plays[i];
    one.row = emulator::play(day_of(*one.experiment, *one.policy, one.value, one.seed));
  });
  const auto to = [](const std::string& file, auto write) {
    std::FILE* out = file.empty() || file == "-" ? stdout : std::fopen(file.c_str(), "wb");
    if (!out) throw kdl::Wrong(file + ": can't be written");
    write(out);
    if (out != stdout) std::fclose(out);
  };
  if (!rows.empty()) to(rows, [&](std::FILE* out) { write_rows(plays, out); });
  to(report, [&](std::FILE* out) { write_report(plays, out); });
  std::uint64_t broken = 0;
  for (const Play& one : plays) {
    broken += one.row.broken.total();
    for (const std::string& example : one.row.examples)
      std::fprintf(stderr, "%s, %s, %g, seed %llu: %s\n", one.experiment->name.c_str(),
                   one.policy->name.c_str(), one.value, static_cast<unsigned long long>(one.seed),
                   example.c_str());
  }
  return broken == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv) {
  CLI::App app{"Experiments on emulated fleets."};
  app.name("cometshift-lab");
  app.require_subcommand(1);
  std::string path, rows, report;
  unsigned threads = std::thread::hardware_concurrency();
  bool quiet = false;
  CLI::App* running = app.add_subcommand("run", "play all combinations of an experiment file");
  running->add_option("file", path, "an experiment")->required();
  running->add_option("--rows", rows, "a file of tab-separated values, a row for each day");
  running->add_option("--report", report, "a file for the tables (else standard output)");
  running->add_option("--threads", threads, "days side by side")->check(CLI::Range(1, 256));
  running->add_flag("--quiet", quiet, "no progress");
  std::uint64_t from = 1, count = 100;
  CLI::App* random = app.add_subcommand("days", "random days of troubles, the rules checked");
  random->add_option("--from", from, "the first seed");
  random->add_option("--count", count, "how many")->check(CLI::Range(1, 1'000'000));
  random->add_option("--threads", threads, "days side by side")->check(CLI::Range(1, 256));
  random->add_flag("--quiet", quiet, "no progress");
  std::string before, after;
  CLI::App* comparing = app.add_subcommand("compare", "two files of rows");
  comparing->add_option("before", before)->required();
  comparing->add_option("after", after)->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 64;
  }
  try {
    if (random->parsed()) return days(from, count, threads, quiet);
    if (comparing->parsed()) return compare(before, after);
    return run(path, rows, report, threads, quiet);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "cometshift-lab: %s\n", e.what());
    return 2;
  }
}
