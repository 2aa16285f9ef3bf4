// A search through all that may happen, breadth first, so that what goes wrong first is found by a shortest
// way. The states are the caller's: how they are told apart (128 bits), what may happen next, and what is
// wrong in one. Memory: of a state that has been expanded, its digest and the way back to it.
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

struct SearchResult {
  std::uint64_t states = 0, steps = 0; // told apart; taken
  int depth = 0;                       // of the last that was expanded
  bool complete = false;               // nothing was left out for want of room
  std::string violation;               // empty: nothing
  std::vector<std::uint32_t> path;     // numbers of the steps to it, in the order in which a state lists them
};

// World: `std::vector<std::pair<std::uint32_t, World>> next() const` (steps that may be taken, numbered, and
// what comes of each), `Digest128 digest() const`, `std::string wrong() const`.
template <class World>
SearchResult search(World start, std::uint64_t max_states, unsigned threads) {
  struct Predecessor {
    std::uint32_t from, step;
  };
  struct FrontierEntry {
    World world;
    std::uint32_t index; // among the ways
  };
  SearchResult result;
  std::vector<Predecessor> predecessors{{0, 0}};
  std::unordered_set<Digest128, Digest128::Hash> visited{start.digest()};
  std::vector<FrontierEntry> frontier;
  frontier.push_back({std::move(start), 0});
  result.states = 1;
  constexpr std::size_t batch = 4096; // worlds expanded at once: bounds what waits to be told apart
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
      // Told apart in one order: the same counts, and the same way, whatever the threads.
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
