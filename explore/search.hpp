// Breadth-first search of a state space, so that the first violation is found by a shortest path. The
// caller's state type gives the digest by which states are distinguished (128 bits), the steps possible from
// a state, and the violation in it. Of a state that has been expanded only the digest and its predecessor are
// kept in memory.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <unordered_set>
#include <utility>
#include <vector>

namespace cometshift::explore {

struct Digest128 {
  std::uint64_t high = 0, low = 0;
  bool operator==(const Digest128&) const = default;
  struct Hash {
    std::size_t operator()(const Digest128& d) const { return static_cast<std::size_t>(d.low); }
  };
};

// What a search has covered, and the violation that it found.
struct SearchResult {
  std::uint64_t states = 0, steps = 0; // distinct states; transitions taken
  int depth = 0;                       // of the last level that was expanded
  bool complete = false;               // not cut off by the limit of states
  std::string violation;               // empty: none found
  std::vector<std::uint32_t> path;     // numbers of the steps that lead to it, as World::next() numbers them
};

// World: `std::vector<std::pair<std::uint32_t, World>> next() const` (the possible steps, numbered, and the
// state after each), `Digest128 digest() const`, `std::string violation() const`.
template <class World>
SearchResult search(World start, std::uint64_t max_states, unsigned threads) {
  struct Predecessor {
    std::uint32_t from, step;
  };
  struct FrontierEntry {
    World world;
    std::uint32_t index; // in predecessors
  };
  SearchResult result;
  std::vector<Predecessor> predecessors{{0, 0}};
  std::unordered_set<Digest128, Digest128::Hash> visited{start.digest()};
  std::vector<FrontierEntry> frontier;
  frontier.push_back({std::move(start), 0});
  result.states = 1;
  // States expanded at once: bounds the memory of successors that have not been compared yet.
  constexpr std::size_t batch = 4096;
  for (; !frontier.empty(); ++result.depth) {
    std::vector<FrontierEntry> next;
    for (std::size_t from = 0; from < frontier.size(); from += batch) {
      const std::size_t to = std::min(frontier.size(), from + batch);
      struct Step {
        std::uint32_t number;
        Digest128 digest;
        World world;
      };
      std::vector<std::vector<Step>> steps(to - from);
      std::atomic<std::size_t> next_index{from};
      const auto expand = [&] {
        for (std::size_t i; (i = next_index.fetch_add(1)) < to;)
          for (auto& [number, world] : frontier[i].world.next()) {
            const Digest128 digest = world.digest();
            steps[i - from].push_back({number, digest, std::move(world)});
          }
      };
      std::vector<std::thread> workers;
      for (unsigned t = 1; t < threads; ++t) workers.emplace_back(expand);
      expand();
      for (std::thread& worker : workers) worker.join();
      // Successors are compared in a fixed order, so counts and path don't depend on the threads.
      for (std::size_t i = from; i < to; ++i)
        for (Step& step : steps[i - from]) {
          ++result.steps;
          if (!visited.insert(step.digest).second) continue;
          ++result.states;
          predecessors.push_back({frontier[i].index, step.number});
          const auto index = static_cast<std::uint32_t>(predecessors.size() - 1);
          if (result.violation = step.world.violation(); !result.violation.empty()) {
            for (std::uint32_t back = index; back != 0; back = predecessors[back].from)
              result.path.push_back(predecessors[back].step);
            std::reverse(result.path.begin(), result.path.end());
            return result;
          }
          if (result.states >= max_states) return result;
          next.push_back({std::move(step.world), index});
        }
    }
    frontier = std::move(next);
  }
  result.complete = true;
  return result;
}

} // namespace cometshift::explore
