// Parsing and validation of single values of the operator file, by kind of value, with their error messages.
// Internal to operator/.
#pragma once

#include "kdl.hpp"
#include "state.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cometshift::operator_file {

using kdl::Node;
using kdl::SourcePosition;
using kdl::Value;

enum class ValueKind { flag, time, size, fraction, folder, word, count, address };

// One key: its node and name in the file, its name in the settings, and its valid values.
struct Key {
  const char* node;
  const char* name;
  const char* setting_name;
  ValueKind sort;
  double min_value, max_value; // times in ns, sizes in bytes
  const char* default_value;
  std::vector<const char*> choices = {};
};

constexpr double ms = 1e6, second = 1e9, day = 86400e9;
constexpr double kib = 1024, mib = 1024 * kib, gib = 1024 * mib;

// A "did you mean" suggestion with the most similar candidate; empty if none is similar enough.
std::string suggest_nearest(std::string_view word, const std::vector<std::string>& candidates);

struct Checker {
  std::vector<std::pair<SourcePosition, std::string>> errors;

  void wrong(SourcePosition at, const std::string& what) { errors.emplace_back(at, what); }
  // A number with a unit, such as "500ms" or (ms)500.
  bool parse_quantity(const Key& key, const Value& value, double& result);
  // A percentage such as "20%", as a fraction.
  bool parse_fraction(const std::string& name, const Value& value, double min_value, double max_value,
                      double& result);
  // Parses a value by its kind and stores it under the setting name of the key.
  void parse_value(Settings& settings, const Key& key, const Value& value) {
    parse_value(settings, key, value, key.setting_name);
  }
  void parse_value(Settings& settings, const Key& key, const Value& value, const std::string& setting_name);
  // Parses the children of a node: each key of `keys` at most once, with one value. `handle_other` is called
  // first for each child and returns true if it has handled it.
  template <class More>
  void parse_children(Settings& settings, const Node& node, const std::vector<Key>& keys,
                      const std::string& prefix, const std::vector<std::string>& other_names,
                      More handle_other);
};

template <class More>
void Checker::parse_children(Settings& settings, const Node& node, const std::vector<Key>& keys,
                             const std::string& prefix, const std::vector<std::string>& other_names,
                             More handle_other) {
  std::vector<std::pair<std::string, SourcePosition>> seen;
  for (const Node& child : node.children) {
    if (handle_other(child)) continue;
    const Key* known = nullptr;
    std::vector<std::string> names;
    for (const Key& key : keys) {
      names.emplace_back(key.name);
      if (child.name == key.name) known = &key;
    }
    names.insert(names.end(), other_names.begin(), other_names.end());
    if (!known) {
      wrong(child.at, child.name + ": unknown in " + node.name + suggest_nearest(child.name, names));
      continue;
    }
    const SourcePosition* first = nullptr;
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
    parse_value(settings, *known, child.arguments.front(), prefix + known->setting_name);
  }
}

} // namespace cometshift::operator_file
