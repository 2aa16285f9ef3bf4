#include "core_counts.hpp"

#include "allocations.hpp"
#include "configuration.hpp"
#include "core_world.hpp"
#include "slope.hpp"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <new>
#include <vector>

namespace {

thread_local std::uint64_t steps = 0;

} // namespace

// ---- what is counted

extern "C" void __sanitizer_cov_trace_pc(); // called by each basic block of what is built so
extern "C" void __sanitizer_cov_trace_pc() { ++steps; }

namespace cometshift::scale {

Counts counts() { return {allocated.times, allocated.bytes, steps}; }

namespace {

constexpr std::size_t top_sizes = 3; // that the exponent is fitted to: below them what stays the same counts
constexpr double flat = 0.15;        // an exponent under it: trees grow so over the sizes here
constexpr double linear = 1.1;       // and sorted tables

// What one size came to, as counts.
struct Counted {
  double read = 0, made = 0, made_bytes = 0; // steps; bytes asked for
  double op = 0, op_allocations = 0;         // of an op, its arrival and its end
  double look = 0;                           // steps of the dearest wake-up
  double take = 0;                           // steps of taking other pools
};

Counted count(const Sizes& sizes, Nanos before, Nanos time) {
  const std::string text = configuration_text(sizes);
  Counted got;
  Counts from = counts();
  const Settings given = parse_configuration(text);
  Counts more = counts() - from;
  got.read = static_cast<double>(more.steps);
  got.made_bytes = static_cast<double>(more.bytes);
  from = counts();
  World world(given, sizes, 1);
  more = counts() - from;
  got.made = static_cast<double>(more.steps);
  got.made_bytes += static_cast<double>(more.bytes);
  world.run(before);
  world.from_here();
  world.run(time);
  const auto ops = static_cast<double>(world.came.times);
  got.op = static_cast<double>(world.came.counts.steps + world.over.counts.steps) / ops;
  got.op_allocations =
      static_cast<double>(world.came.counts.allocations + world.over.counts.allocations) / ops;
  got.look = static_cast<double>(world.look.most.steps);
  if (!sizes.pools) return got;
  from = counts();
  world.core().set_pools(world.now(), pools_of(sizes.tenants));
  got.take = static_cast<double>((counts() - from).steps);
  return got;
}

struct Bound {
  const char* what;
  double Counted::*figure;
  double most;
};

} // namespace

int count_core(std::FILE* out, std::FILE* figures) {
  int wrong = 0;
  // Counts at each size, and holds the exponents to their bounds.
  const auto sweep = [&](const char* by, const std::vector<double>& all, Nanos before, Nanos time,
                         const std::function<void(Sizes&, double)>& set, const std::vector<Bound>& bounds) {
    std::vector<Counted> got;
    for (const double size : all) {
      Sizes sizes;
      set(sizes, size);
      got.push_back(count(sizes, before, time));
    }
    for (const Bound& bound : bounds) {
      std::vector<Measured> row;
      for (std::size_t i = all.size() - top_sizes; i < all.size(); ++i)
        row.push_back({all[i], got[i].*bound.figure});
      // Against a verdict on nothing.
      if (std::all_of(row.begin(), row.end(), [](const Measured& one) { return one.value == 0; })) {
        std::fprintf(out, "%s, %.0f to %.0f: %s: not counted by this build\n", by, all.front(), all.back(),
                     bound.what);
        continue;
      }
      const Slope slope = slope_of(row, 1);
      const bool holds = slope.exponent <= bound.most;
      wrong |= !holds;
      std::fprintf(out, "%s, %.0f to %.0f: %s, at most N^%.2f: %s\n", by, all.front(), all.back(), bound.what,
                   bound.most, holds ? "holds" : "does not hold");
      std::fprintf(figures, "%s: %s: N^%.2f;", by, bound.what, slope.exponent);
      for (std::size_t i = 0; i < all.size(); ++i)
        std::fprintf(figures, " %.0f: %.1f", all[i], got[i].*bound.figure);
      std::fprintf(figures, "\n");
    }
  };
  const Bound op{"steps of an op", &Counted::op, flat};
  const Bound allocations{"allocations of an op", &Counted::op_allocations, flat};
  sweep("tenants", {10, 100, 500, 1000, 5000, 10'000}, 5 * second, 10 * second,
        [](Sizes& s, double n) { s.tenants = static_cast<std::size_t>(n); },
        {op,
         allocations,
         {"steps of reading the configuration", &Counted::read, linear},
         {"steps of making the core", &Counted::made, linear},
         {"bytes asked for by both", &Counted::made_bytes, linear},
         {"steps of the dearest wake-up", &Counted::look, linear}});
  sweep("tenants, with pools", {10, 50, 100, 300, 1000}, 2 * second, 2 * second,
        [](Sizes& s, double n) { s.tenants = static_cast<std::size_t>(n), s.pools = true; },
        {{"steps of an op", &Counted::op, linear}, // each start walks all tenants (pools/pools.cpp)
         allocations,
         {"steps of the dearest wake-up", &Counted::look, linear},
         {"steps of taking other pools", &Counted::take, linear}});
  sweep("callers", {10, 100, 500, 2000, 8000}, 5 * second, 2 * second,
        [](Sizes& s, double n) { s.callers = static_cast<std::size_t>(n), s.rate = 2000, s.idle_s = 60; },
        {op, allocations, {"steps of the dearest wake-up", &Counted::look, linear}});
  sweep("callers, beyond those that are remembered", {10'000, 20'000, 40'000}, 10 * second, 2 * second,
        [](Sizes& s, double n) { s.callers = static_cast<std::size_t>(n), s.rate = 2000, s.idle_s = 60; },
        {op, allocations, {"steps of the dearest wake-up", &Counted::look, flat}});
  sweep("op types", {1, 4, 16, 32, 64}, 5 * second, 10 * second,
        [](Sizes& s, double n) { s.op_types = static_cast<std::size_t>(n); },
        {op,
         allocations,
         {"steps of making the core", &Counted::made, linear},
         {"steps of the dearest wake-up", &Counted::look, linear}});
  sweep("connections", {24, 100, 400, 1000, 4000}, 5 * second, 10 * second,
        [](Sizes& s, double n) { s.connections = static_cast<std::size_t>(n); },
        {op, allocations, {"steps of the dearest wake-up", &Counted::look, flat}});
  sweep("ops a second", {20, 94, 470, 940, 1880}, 5 * second, 5 * second,
        [](Sizes& s, double n) { s.rate = n; },
        {op, allocations, {"steps of the dearest wake-up", &Counted::look, linear}});
  return wrong;
}

} // namespace cometshift::scale
