// How one value of the operator file is read and checked: what sorts there are, and what is said of a wrong
// one. For the parts of operator.cpp; nobody else's.
#pragma once

#include "kdl.hpp"
#include "state.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cometshift::operator_file {

using kdl::Node;
using kdl::Place;
using kdl::Value;

enum class Sort { flag, time, size, part, folder, word, count, address };

// One key: its place in the file, its name in the map, what it may be.
struct Key {
  const char* node;
  const char* name;
  const char* ours;
  Sort sort;
  double least, most; // of times in ns, of sizes in bytes
  const char* otherwise;
  std::vector<const char*> words = {};
};

constexpr double ms = 1e6, second = 1e9, day = 86400e9;
constexpr double kib = 1024, mib = 1024 * kib, gib = 1024 * mib;

// The one that is likely meant, in words; empty: none is near.
std::string nearest(std::string_view word, const std::vector<std::string>& among);

struct Checker {
  std::vector<std::pair<Place, std::string>> found;

  void wrong(Place at, const std::string& what) { found.emplace_back(at, what); }
  // A figure with its unit, as "500ms" or (ms)500.
  bool measure(const Key& key, const Value& value, double& into);
  // A part of something, as "20%".
  bool percent(const std::string& name, const Value& value, double least, double most, double& into);
  // A value by its sort, under the key's name in the map.
  void take(Settings& given, const Key& key, const Value& value) { take(given, key, value, key.ours); }
  void take(Settings& given, const Key& key, const Value& value, const std::string& ours);
  // The children of a node that takes keys only: each at most once, with one value; others are left to
  // `more`, which says whether it knows them. `keys` are those of the node.
  template <class More>
  void take_all(Settings& given, const Node& node, const std::vector<Key>& keys, const std::string& before,
                const std::vector<std::string>& more_names, More more);
};

template <class More>
void Checker::take_all(Settings& given, const Node& node, const std::vector<Key>& keys,
                       const std::string& before, const std::vector<std::string>& more_names, More more) {
  std::vector<std::pair<std::string, Place>> seen;
  for (const Node& child : node.children) {
    if (more(child)) continue;
    const Key* known = nullptr;
    std::vector<std::string> names;
    for (const Key& key : keys) {
      names.emplace_back(key.name);
      if (child.name == key.name) known = &key;
    }
    names.insert(names.end(), more_names.begin(), more_names.end());
    if (!known) {
      wrong(child.at, child.name + ": unknown in " + node.name + nearest(child.name, names));
      continue;
    }
    const Place* first = nullptr;
    for (const auto& [name, at] : seen)
      if (name == child.name) first = &at;
    if (first) {
      wrong(child.at, child.name + ": twice; first at line " + std::to_string(first->line));
      continue;
    }
    seen.emplace_back(child.name, child.at);
    if (child.arguments.size() != 1 || !child.properties.empty() || !child.children.empty()) {
      wrong(child.at, child.name + ": takes one value");
      continue;
    }
    take(given, *known, child.arguments.front(), before + known->ours);
  }
}

} // namespace cometshift::operator_file
