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

// The one list of them all, but those of nodes that may stand more than once.
const std::vector<Key>& keys() {
  static const std::vector<Key> all{
      {"log", "format", "log.format", Sort::word, 0, 0, "text", {"text", "json"}},
      {"log", "level", "log.level", Sort::word, 0, 0, "info", {"debug", "info", "warning", "error"}},
      {"recording", "on", "recording.on", Sort::flag, 0, 0, "false"},
      {"recording", "folder", "recording.folder", Sort::folder, 0, 0, ""},
      {"recording", "segment-size", "recording.segment_bytes", Sort::size, 64 * kib, gib, "16MiB"},
      {"recording", "segment-age", "recording.segment_age_ns", Sort::time, second, day, "10min"},
      {"recording", "total-size", "recording.total_bytes", Sort::size, 256 * kib, 1024 * gib, "256MiB"},
      {"recording", "queue-size", "recording.queue_bytes", Sort::size, 64 * kib, gib, "8MiB"},
      {"recording", "bodies", "recording.bodies", Sort::flag, 0, 0, "false"},
      {"recording", "conceal", "recording.conceal", Sort::flag, 0, 0, "true"},
      {"pools", "reserve", "pools.reserve", Sort::part, 0, 0.5, "5%"},
      {"pools", "window", "pools.window_ns", Sort::time, 100 * ms, 10 * second, "1s"},
      {"pools", "repeats", "pools.repeats", Sort::part, 0, 10, "20%"},
      {"pools",
       "estimator",
       "pools.estimator",
       Sort::word,
       0,
       0,
       "throughput",
       {"throughput", "gradient", "additive"}},
      {"fleet", "name", "fleet.name", Sort::folder, 0, 0, ""},
      {"fleet", "self", "fleet.self", Sort::count, 1, most_member, "1"},
      {"fleet", "epoch", "fleet.epoch", Sort::count, 1, 1e15, "1"},
      {"fleet", "listen", "fleet.listen", Sort::address, 0, 0, ""},
      {"fleet", "term", "fleet.term_ns", Sort::time, 100 * ms, 600 * second, "5s"},
      {"fleet", "longest-term", "fleet.longest_term_ns", Sort::time, 100 * ms, 600 * second, "5s"},
      {"fleet", "drift", "fleet.drift", Sort::part, 0, 0.1, "1%"},
      {"fleet", "most-terms", "fleet.most_terms", Sort::count, 0, 1e6, "0"},
      {"fleet", "most-leases", "fleet.most_leases", Sort::count, 1, 10'000, "256"},
      {"fleet", "beat", "fleet.beat_ns", Sort::time, 10 * ms, 60 * second, "500ms"},
      {"fleet", "silent", "fleet.silent_ns", Sort::time, 50 * ms, 600 * second, "2s"},
      {"fleet", "rest-least", "fleet.rest_least_ns", Sort::time, 10 * ms, 60 * second, "50ms"},
      {"fleet", "rest-most", "fleet.rest_most_ns", Sort::time, 10 * ms, 600 * second, "2s"},
  };
  return all;
}

// One pool: its name, then what it takes and how it stands. `number` counts them.
void take_pool(Checker& checker, Settings& given, const Node& node, std::size_t number,
               std::set<std::string>& names, double& floors) {
  const std::string at = "pool." + std::to_string(number) + ".";
  const auto* name =
      node.arguments.size() == 1 ? std::get_if<std::string>(&node.arguments.front().held) : nullptr;
  if (!name || name->empty() || !node.properties.empty())
    return checker.wrong(node.at, "pool: takes its name, as pool \"bookings\" { }");
  if (!names.insert(*name).second || *name == "others")
    return checker.wrong(node.arguments.front().at, "pool: " + *name + " is taken");
  given[at + "name"] = *name;
  static const std::vector<std::string> known{"op-types", "tenants", "weight", "floor", "ceiling"};
  std::set<std::string> seen;
  double floor = 0, ceiling = 1;
  Place floor_at = node.at;
  for (const Node& child : node.children) {
    if (std::find(known.begin(), known.end(), child.name) == known.end()) {
      checker.wrong(child.at, child.name + ": unknown in pool" + nearest(child.name, known));
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
      given[at + (child.name == "tenants" ? "tenants" : "op_types")] = all;
      continue;
    }
    if (child.arguments.size() != 1 || !child.properties.empty() || !child.children.empty()) {
      checker.wrong(child.at, child.name + ": takes one value");
      continue;
    }
    const Value& value = child.arguments.front();
    if (child.name == "weight") {
      const double* figure = std::get_if<double>(&value.held);
      if (!figure || !(*figure > 0 && *figure <= 100))
        checker.wrong(value.at, "weight: not a figure over 0, up to 100");
      else
        given[at + "weight"] = *figure;
    } else if (child.name == "floor" && checker.percent("floor", value, 0, 1, floor)) {
      given[at + "floor"] = floor;
      floor_at = value.at;
    } else if (child.name == "ceiling" && checker.percent("ceiling", value, 0.01, 1, ceiling)) {
      given[at + "ceiling"] = ceiling;
    }
  }
  if (floor > ceiling) checker.wrong(floor_at, "floor: over its ceiling");
  floors += floor;
}

// Of the fleet, or of all else: without its node nothing is said of a fleet.
void put_defaults(Settings& given, bool of_fleet) {
  Checker checker;
  for (const Key& key : keys()) {
    if ((std::string_view(key.node) == "fleet") != of_fleet) continue;
    if (key.sort == Sort::folder || key.sort == Sort::address) {
      given[key.ours] = std::string(key.otherwise);
      continue;
    }
    Value value;
    if (key.sort == Sort::flag)
      value.held = std::string_view(key.otherwise) == "true";
    else if (key.sort == Sort::count)
      value.held = std::strtod(key.otherwise, nullptr);
    else
      value.held = std::string(key.otherwise);
    checker.take(given, key, value);
  }
  if (!checker.found.empty()) throw std::logic_error("operator defaults: " + checker.found.front().second);
}

// What goes with what, once each is right by itself.
void look_at_recording(Checker& checker, const Settings& given, const Node& node) {
  if (number(given, "recording.on", 0) != 0 && text(given, "recording.folder", "").empty())
    checker.wrong(node.at, "recording: on, and no folder is told");
  if (number(given, "recording.segment_bytes", 0) * 2 > number(given, "recording.total_bytes", 0))
    checker.wrong(node.at, "recording: total-size is under two segments of segment-size");
}

void take_node(Checker& checker, Settings& given, const Node& node) {
  std::vector<Key> own;
  for (const Key& key : keys())
    if (node.name == key.node) own.push_back(key);
  if (node.name == "pools") {
    std::set<std::string> pools;
    double floors = 0;
    given["pools.on"] = 1.0;
    checker.take_all(given, node, own, "", {"pool"}, [&](const Node& child) {
      if (child.name == "pool") take_pool(checker, given, child, pools.size(), pools, floors);
      return child.name == "pool";
    });
    if (floors + number(given, "pools.reserve", 0) > 1)
      checker.wrong(node.at, "pools: the floors and the reserve promise more than there is");
  } else if (node.name == "fleet") {
    put_defaults(given, true);
    take_fleet(checker, given, node, own);
  } else {
    checker.take_all(given, node, own, "", {}, [](const Node&) { return false; });
  }
  if (node.name == "recording" && checker.found.empty()) look_at_recording(checker, given, node);
}

} // namespace

Settings operator_in(std::string_view document, const std::string& file) {
  return operator_of(kdl::parse(document, file), file);
}

Settings operator_of(const std::vector<Node>& nodes, const std::string& file) {
  Settings given;
  put_defaults(given, false);
  Checker checker;
  std::map<std::string, Place> nodes_seen;
  for (const Node& node : nodes) {
    std::vector<std::string> known;
    for (const Key& key : keys())
      if (known.empty() || known.back() != key.node) known.emplace_back(key.node);
    if (std::find(known.begin(), known.end(), node.name) == known.end()) {
      checker.wrong(node.at, node.name + ": unknown" + nearest(node.name, known));
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
    take_node(checker, given, node);
  }
  if (checker.found.empty()) return given;
  std::string all;
  for (const auto& [at, what] : checker.found)
    all += std::string(all.empty() ? "" : "\n") + file + ":" + std::to_string(at.line) + ":" +
           std::to_string(at.column) + ": " + what;
  throw kdl::Wrong(all);
}

Settings read_operator(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::invalid_argument("operator file " + path + ": can't be read");
  const std::string all{std::istreambuf_iterator<char>(in), {}};
  return operator_in(all, path);
}

Settings part_of(const Settings& given, std::string_view before) {
  Settings part;
  for (auto at = given.lower_bound(before); at != given.end() && at->first.starts_with(before); ++at)
    part[at->first.substr(before.size())] = at->second;
  return part;
}

} // namespace cometshift
