// What a run came to, as JSON lines: one row a figure's circumstances, with the build, the seed, the
// machine's cores and every setting beside the figures. docs/CAPACITY.md is written from such rows
// (page.hpp), and nothing else.
//
// {"row":"link","build":"...","cores":8,"seed":1,"set":{"members":100,...},"got":{"voter.cpu":0.012,...}}
// Names of figures end in their unit where they have one: _s, _ms, _us, _bytes, _bytes_s (a second), _part.
#pragma once

#include "slope.hpp"

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cometshift::scale {

class Row {
 public:
  Row(std::string_view kind, std::uint64_t seed); // of a kind: "link", "core", "added", "control", "slope"
  Row& set(std::string_view name, double value);
  Row& set(std::string_view name, std::string_view value);
  Row& got(std::string_view name, double value);
  Row& got(std::string_view name, std::string_view value);
  Row& got(std::string_view name, const Slope& slope); // name.exponent, .low, .high, .factor, .largest, ...
  std::string json() const;                            // without a line's end
  void write(std::FILE* out) const;

 private:
  using Part = std::vector<std::pair<std::string, std::string>>; // names, values as JSON
  std::string kind_;
  std::uint64_t seed_;
  Part set_, got_;
};

} // namespace cometshift::scale
