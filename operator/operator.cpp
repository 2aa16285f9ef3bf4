#include "operator.hpp"

#include "checker.hpp"
#include "fleet_part.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <vector>

namespace cometshift {

namespace {

using namespace operator_file;

// All keys except those of repeatable nodes (pools, members, tasks).
const std::vector<Key>& keys() {
  static const std::vector<Key> all{
      {"log", "format", "log.format", ValueKind::word, 0, 0, "text", {"text", "json"}},
      {"log", "level", "log.level", ValueKind::word, 0, 0, "info", {"debug", "info", "warning", "error"}},
      {"recording", "on", "recording.on", ValueKind::flag, 0, 0, "false"},
      {"recording", "folder", "recording.folder", ValueKind::folder, 0, 0, ""},
      {"recording", "segment-size", "recording.segment_bytes", ValueKind::size, 64 * kib, gib, "16MiB"},
      {"recording", "segment-age", "recording.segment_age_ns", ValueKind::time, second, day, "10min"},
      {"recording", "total-size", "recording.total_bytes", ValueKind::size, 256 * kib, 1024 * gib, "256MiB"},
      {"recording", "queue-size", "recording.queue_bytes", ValueKind::size, 64 * kib, gib, "8MiB"},
      {"recording", "bodies", "recording.bodies", ValueKind::flag, 0, 0, "false"},
      {"recording", "conceal", "recording.conceal", ValueKind::flag, 0, 0, "true"},
      {"pools", "reserve", "pools.reserve", ValueKind::fraction, 0, 0.5, "5%"},
      {"pools", "window", "pools.window_ns", ValueKind::time, 100 * ms, 10 * second, "1s"},
      {"pools", "repeats", "pools.repeats", ValueKind::fraction, 0, 10, "20%"},
      {"pools",
       "estimator",
       "pools.estimator",
       ValueKind::word,
       0,
       0,
       "throughput",
       {"throughput", "gradient", "additive"}},
      {"fleet", "name", "fleet.name", ValueKind::folder, 0, 0, ""},
      {"fleet", "self", "fleet.self", ValueKind::count, 1, max_member_number, "1"},
      {"fleet", "epoch", "fleet.epoch", ValueKind::count, 1, 1e15, "1"},
      {"fleet", "listen", "fleet.listen", ValueKind::address, 0, 0, ""},
      {"fleet", "term", "fleet.term_ns", ValueKind::time, 100 * ms, 600 * second, "5s"},
      {"fleet", "longest-term", "fleet.longest_term_ns", ValueKind::time, 100 * ms, 600 * second, "5s"},
      {"fleet", "drift", "fleet.drift", ValueKind::fraction, 0, 0.1, "1%"},
      {"fleet", "most-terms", "fleet.most_terms", ValueKind::count, 0, 1e6, "0"},
      {"fleet", "most-leases", "fleet.most_leases", ValueKind::count, 1, 10'000, "256"},
      {"fleet", "beat", "fleet.beat_ns", ValueKind::time, 10 * ms, 60 * second, "500ms"},
      {"fleet", "silent", "fleet.silent_ns", ValueKind::time, 50 * ms, 600 * second, "2s"},
      {"fleet", "rest-least", "fleet.rest_least_ns", ValueKind::time, 10 * ms, 60 * second, "50ms"},
      {"fleet", "rest-most", "fleet.rest_most_ns", ValueKind::time, 10 * ms, 600 * second, "2s"},
  };
  return all;
}

// Parses one pool: its name, its op types and tenants, and its weight, floor and ceiling. `number` is its
// index.
void parse_pool(Checker& checker, Settings& settings, const Node& node, std::size_t number,
                std::set<std::string>& names, double& floors) {
  const std::string at = "pool." + std::to_string(number) + ".";
  const auto* name =
      node.arguments.size() == 1 ? std::get_if<std::string>(&node.arguments.front().held) : nullptr;
  if (!name || name->empty() || !node.properties.empty())
    return checker.wrong(node.at, "pool: takes its name, as pool \"bookings\" { }");
  if (!names.insert(*name).second || *name == "others")
    return checker.wrong(node.arguments.front().at, "pool: " + *name + " is taken");
  settings[at + "name"] = *name;
  static const std::vector<std::string> known{"op-types", "tenants", "weight", "floor", "ceiling"};
  std::set<std::string> seen;
  double floor = 0, ceiling = 1;
  SourcePosition floor_at = node.at;
  for (const Node& child : node.children) {
    if (std::find(known.begin(), known.end(), child.name) == known.end()) {
      checker.wrong(child.at, child.name + ": unknown in pool" + suggest_nearest(child.name, known));
      continue;
    }
    if (!seen.insert(child.name).second) {
      checker.wrong(child.at, child.name + ": twice");
      continue;
    }
    if (child.name == "op-types" || child.name == "tenants") {
      std::string all;
      for (const Value& value : child.arguments) {
        const auto* one = std::get_if<std::string>(&value.held);
        if (!one || one->empty())
          checker.wrong(value.at, child.name + ": not a name");
        else
          all += *one + "\n";
      }
      if (child.arguments.empty())
        checker.wrong(child.at, child.name + ": names none; left out, it means all");
      settings[at + (child.name == "tenants" ? "tenants" : "op_types")] = all;
      continue;
    }
    if (child.arguments.size() != 1 || !child.properties.empty() || !child.children.empty()) {
      checker.wrong(child.at, child.name + ": takes one value");
      continue;
    }
    const Value& value = child.arguments.front();
    if (child.name == "weight") {
      const double* amount = std::get_if<double>(&value.held);
      if (!amount || !(*amount > 0 && *amount <= 100))
        checker.wrong(value.at, "weight: not a figure over 0, up to 100");
      else
        settings[at + "weight"] = *amount;
    } else if (child.name == "floor" && checker.parse_fraction("floor", value, 0, 1, floor)) {
      settings[at + "floor"] = floor;
      floor_at = value.at;
    } else if (child.name == "ceiling" && checker.parse_fraction("ceiling", value, 0.01, 1, ceiling)) {
      settings[at + "ceiling"] = ceiling;
    }
  }
  if (floor > ceiling) checker.wrong(floor_at, "floor: over its ceiling");
  floors += floor;
}

// Defaults of the fleet section or of all others. Fleet settings exist only if the file has a fleet node.
void put_defaults(Settings& settings, bool of_fleet) {
  Checker checker;
  for (const Key& key : keys()) {
    if ((std::string_view(key.node) == "fleet") != of_fleet) continue;
    if (key.sort == ValueKind::folder || key.sort == ValueKind::address) {
      settings[key.setting_name] = std::string(key.default_value);
      continue;
    }
    Value value;
    if (key.sort == ValueKind::flag)
      value.held = std::string_view(key.default_value) == "true";
    else if (key.sort == ValueKind::count)
      value.held = std::strtod(key.default_value, nullptr);
    else
      value.held = std::string(key.default_value);
    checker.parse_value(settings, key, value);
  }
  if (!checker.errors.empty()) throw std::logic_error("operator defaults: " + checker.errors.front().second);
}

// Checks settings against each other, once each is valid on its own.
void check_recording(Checker& checker, const Settings& settings, const Node& node) {
  if (number(settings, "recording.on", 0) != 0 && text(settings, "recording.folder", "").empty())
    checker.wrong(node.at, "recording: on, and no folder is told");
  if (number(settings, "recording.segment_bytes", 0) * 2 > number(settings, "recording.total_bytes", 0))
    checker.wrong(node.at, "recording: total-size is under two segments of segment-size");
}

void parse_node(Checker& checker, Settings& settings, const Node& node) {
  std::vector<Key> own;
  for (const Key& key : keys())
    if (node.name == key.node) own.push_back(key);
  if (node.name == "pools") {
    std::set<std::string> pools;
    double floors = 0;
    settings["pools.on"] = 1.0;
    checker.parse_children(settings, node, own, "", {"pool"}, [&](const Node& child) {
      if (child.name == "pool") parse_pool(checker, settings, child, pools.size(), pools, floors);
      return child.name == "pool";
    });
    if (floors + number(settings, "pools.reserve", 0) > 1)
      checker.wrong(node.at, "pools: the floors and the reserve promise more than there is");
  } else if (node.name == "fleet") {
    put_defaults(settings, true);
    parse_fleet(checker, settings, node, own);
  } else {
    checker.parse_children(settings, node, own, "", {}, [](const Node&) { return false; });
  }
  if (node.name == "recording" && checker.errors.empty()) check_recording(checker, settings, node);
}

} // namespace

Settings parse_operator_text(std::string_view document, const std::string& file) {
  return parse_operator_nodes(kdl::parse(document, file), file);
}

Settings parse_operator_nodes(const std::vector<Node>& nodes, const std::string& file) {
  Settings settings;
  put_defaults(settings, false);
  Checker checker;
  std::map<std::string, SourcePosition> nodes_seen;
  for (const Node& node : nodes) {
    std::vector<std::string> known;
    for (const Key& key : keys())
      if (known.empty() || known.back() != key.node) known.emplace_back(key.node);
    if (std::find(known.begin(), known.end(), node.name) == known.end()) {
      checker.wrong(node.at, node.name + ": unknown" + suggest_nearest(node.name, known));
      continue;
    }
    if (const auto [at, fresh] = nodes_seen.emplace(node.name, node.at); !fresh) {
      checker.wrong(node.at, node.name + ": twice; first at line " + std::to_string(at->second.line));
      continue;
    }
    if (!node.arguments.empty())
      checker.wrong(node.arguments.front().at, node.name + ": takes no value of its own, only children");
    for (const auto& [name, value] : node.properties)
      checker.wrong(value.at, node.name + ": takes children, not properties; " + name + " stands in braces");
    parse_node(checker, settings, node);
  }
  if (checker.errors.empty()) return settings;
  std::string all;
  for (const auto& [at, what] : checker.errors)
    all += std::string(all.empty() ? "" : "\n") + file + ":" + std::to_string(at.line) + ":" +
           std::to_string(at.column) + ": " + what;
  throw kdl::Wrong(all);
}

Settings read_operator_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::invalid_argument("operator file " + path + ": can't be read");
  const std::string all{std::istreambuf_iterator<char>(in), {}};
  return parse_operator_text(all, path);
}

Settings part_of(const Settings& settings, std::string_view prefix) {
  Settings section;
  for (auto at = settings.lower_bound(prefix); at != settings.end() && at->first.starts_with(prefix); ++at)
    section[at->first.substr(prefix.size())] = at->second;
  return section;
}

} // namespace cometshift
