// What can be counted of a piece of work without a clock: heap allocations, their bytes, and steps, the basic
// blocks that the compiler has a build tell of (-fsanitize-coverage=trace-pc; tests/CMakeLists.txt has one of
// the core and the module). Where a build tells of none, steps stay 0. By thread; the same on every machine
// for the same text and compiler.
#pragma once

#include <cstdint>
#include <cstdio>

namespace cometshift::scale {

struct Counts {
  std::uint64_t allocations = 0, bytes = 0, steps = 0;
  Counts& operator+=(const Counts& more) {
    allocations += more.allocations, bytes += more.bytes, steps += more.steps;
    return *this;
  }
  friend Counts operator-(const Counts& a, const Counts& b) {
    return {a.allocations - b.allocations, a.bytes - b.bytes, a.steps - b.steps};
  }
  friend Counts greater(const Counts& a, const Counts& b) {
    return {a.allocations > b.allocations ? a.allocations : b.allocations,
            a.bytes > b.bytes ? a.bytes : b.bytes, a.steps > b.steps ? a.steps : b.steps};
  }
};

Counts counts(); // so far, of this thread

// How the counts of a core go with sizes, each beside the exponent that it may have at the most: a line each,
// without figures, that are told on `figures`. 0: all hold; 1: one does not.
int count_core(std::FILE* out, std::FILE* figures);

} // namespace cometshift::scale
