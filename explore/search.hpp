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

struct Found {
  std::uint64_t states = 0, steps = 0; // told apart; taken
  int depth = 0;                       // of the last that was expanded
  bool whole = false;                  // nothing was left out for want of room
  std::string wrong;                   // empty: nothing
  std::vector<std::uint32_t> way;      // numbers of the steps to it, in the order in which a state lists them
};

// World: `std::vector<std::pair<std::uint32_t, World>> next() const` (steps that may be taken, numbered, and
// what comes of each), `Digest128 digest() const`, `std::string wrong() const`.
template <class World>
Found search(World start, std::uint64_t most_states, unsigned threads) {
  struct Eviction {
    std::uint32_t from, step;
  };
  struct Front {
    World world;
    std::uint32_t at; // among the ways
  };
  Found found;
  std::vector<Eviction> ways{{0, 0}};
  std::unordered_set<Digest128, Digest128::Hash> seen{start.digest()};
  std::vector<Front> front;
  front.push_back({std::move(start), 0});
  found.states = 1;
  constexpr std::size_t batch = 4096; // worlds expanded at once: bounds what waits to be told apart
  for (; !front.empty(); ++found.depth) {
    std::vector<Front> next;
    for (std::size_t from = 0; from < front.size(); from += batch) {
      const std::size_t to = std::min(front.size(), from + batch);
      struct Step {
        std::uint32_t number;
        Digest128 digest;
        World world;
      };
      std::vector<std::vector<Step>> steps(to - from);
      std::atomic<std::size_t> turn{from};
      const auto work = [&] {
        for (std::size_t i; (i = turn.fetch_add(1)) < to;)
          for (auto& [number, world] : front[i].world.next()) {
            const Digest128 digest = world.digest();
            steps[i - from].push_back({number, digest, std::move(world)});
          }
      };
      std::vector<std::thread> crew;
      for (unsigned t = 1; t < threads; ++t) crew.emplace_back(work);
      work();
      for (std::thread& one : crew) one.join();
      // Told apart in one order: the same counts, and the same way, whatever the threads.
      for (std::size_t i = from; i < to; ++i)
        for (Step& step : steps[i - from]) {
          ++found.steps;
          if (!seen.insert(step.digest).second) continue;
          ++found.states;
          ways.push_back({front[i].at, step.number});
          const auto at = static_cast<std::uint32_t>(ways.size() - 1);
          if (found.wrong = step.world.wrong(); !found.wrong.empty()) {
            for (std::uint32_t back = at; back != 0; back = ways[back].from)
              found.way.push_back(ways[back].step);
            std::reverse(found.way.begin(), found.way.end());
            return found;
          }
          if (found.states >= most_states) return found;
          next.push_back({std::move(step.world), at});
        }
    }
    front = std::move(next);
  }
  found.whole = true;
  return found;
}

} // namespace cometshift::explore
