#include "experiment.hpp"

#include "days.hpp"
#include "kdl.hpp"
#include "operator.hpp"

#include <algorithm>
#include <map>

namespace cometshift::lab {

namespace {

using kdl::Node;
using kdl::Value;

constexpr Nanos ms = 1'000'000;
constexpr double second = 1e9;

struct Figure {
  const char* name;
  double least, most;
  void (*put)(emulator::Day&, double);
};
const std::vector<Figure>& figures() {
  static const std::vector<Figure> all{
      {"servers", 1, 2000, [](emulator::Day& d, double v) { d.servers = static_cast<std::size_t>(v); }},
      {"balancers", 1, 5000, [](emulator::Day& d, double v) { d.balancers = static_cast<std::size_t>(v); }},
      {"cores", 1, 256, [](emulator::Day& d, double v) { d.cores = v; }},
      {"demand", 0.01, 20, [](emulator::Day& d, double v) { d.demand = v; }},
      {"seconds", 1, 3600, [](emulator::Day& d, double v) { d.length = static_cast<Nanos>(v * second); }},
      {"list-lag-ms", 0, 60000, [](emulator::Day& d, double v) { d.list_lag = static_cast<Nanos>(v) * ms; }},
      {"resend", 0, 1, [](emulator::Day& d, double v) { d.resend = v; }},
      {"walks", 0, 50, [](emulator::Day& d, double v) { d.walks = v; }},
      {"heeds", 0, 1, [](emulator::Day& d, double v) { d.heeds = v; }},
      {"client-tries", 0, 10, [](emulator::Day& d, double v) { d.client_tries = static_cast<int>(v); }},
      {"read-part", 0, 1, [](emulator::Day& d, double v) { d.read_part = v; }},
      {"warm-ms", 1, 60000, [](emulator::Day& d, double v) { d.warm_ns = v * 1e6; }},
      {"cold-from", 0.01, 1, [](emulator::Day& d, double v) { d.cold_from = v; }},
      {"dependency", 0.1, 100, [](emulator::Day& d, double v) { d.dependency_slots = v; }},
  };
  return all;
}
const Figure* figure_named(const std::string& name) {
  for (const Figure& one : figures())
    if (name == one.name) return &one;
  return nullptr;
}

double number_in(const std::string& file, const Value& value, const std::string& name, double least,
                 double most) {
  const double* figure = std::get_if<double>(&value.held);
  if (!figure) kdl::wrong(file, value.at, name + ": not a number");
  if (!(*figure >= least && *figure <= most)) kdl::wrong(file, value.at, name + ": out of range");
  return *figure;
}
std::string text_in(const std::string& file, const Node& node, std::size_t at) {
  const auto* text =
      at < node.arguments.size() ? std::get_if<std::string>(&node.arguments[at].held) : nullptr;
  if (!text) kdl::wrong(file, node.at, node.name + ": takes a name");
  return *text;
}

load::Kind kind_in(const std::string& file, const Node& node) {
  load::Kind kind;
  kind.name = text_in(file, node, 0);
  for (const auto& [name, value] : node.properties) {
    const auto figure = [&](double least, double most) { return number_in(file, value, name, least, most); };
    if (name == "part")
      kind.part = figure(0, 1);
    else if (name == "work-ms")
      kind.work_us = figure(0.01, 1e5) * 1000;
    else if (name == "calls")
      kind.calls = static_cast<int>(figure(0, 20));
    else if (name == "importance")
      kind.importance = figure(0.01, 1000);
    else if (name == "target-ms")
      kind.target = static_cast<Nanos>(figure(1, 1e6)) * ms;
    else if (name == "limit-ms")
      kind.limit = static_cast<Nanos>(figure(1, 1e6)) * ms;
    else if (name == "keyed" && std::holds_alternative<bool>(value.held))
      kind.keyed = std::get<bool>(value.held);
    else
      kdl::wrong(file, value.at, name + ": unknown in op-type");
  }
  if (kind.target <= 0 || kind.limit < kind.target)
    kdl::wrong(file, node.at, "op-type: target-ms and limit-ms are needed, the limit not under the target");
  return kind;
}

emulator::Fault fault_in(const std::string& file, const Node& node) {
  static const std::vector<std::string> known{"crash",           "stall",     "slow",  "dependency-slow",
                                              "dependency-away", "late-list", "drain", "pools"};
  emulator::Fault fault;
  fault.what = text_in(file, node, 0);
  if (std::find(known.begin(), known.end(), fault.what) == known.end())
    kdl::wrong(file, node.at, "fault: " + fault.what + " is unknown");
  for (const auto& [name, value] : node.properties) {
    if (name == "at")
      fault.at = static_cast<Nanos>(number_in(file, value, name, 0, 3600) * second);
    else if (name == "until")
      fault.until = static_cast<Nanos>(number_in(file, value, name, 0, 3600) * second);
    else if (name == "part")
      fault.part = number_in(file, value, name, 0, 1);
    else if (name == "figure")
      fault.figure = number_in(file, value, name, 0, 1e12);
    else
      kdl::wrong(file, value.at, name + ": unknown in fault");
  }
  return fault;
}

Experiment experiment_in(const std::string& file, const Node& node) {
  Experiment made;
  made.name = text_in(file, node, 0);
  for (const Node& child : node.children) {
    if (child.name == "seeds") {
      if (child.arguments.size() != 1) kdl::wrong(file, child.at, "seeds: takes how many");
      made.seeds = static_cast<std::uint64_t>(number_in(file, child.arguments[0], "seeds", 1, 1000));
    } else if (child.name == "day") {
      for (const auto& [name, value] : child.properties) {
        const Figure* figure = figure_named(name);
        if (!figure) kdl::wrong(file, value.at, name + ": unknown in day");
        figure->put(made.day, number_in(file, value, name, figure->least, figure->most));
      }
    } else if (child.name == "speeds") {
      made.day.speeds.clear();
      for (const Value& value : child.arguments)
        made.day.speeds.push_back(number_in(file, value, "speeds", 0.01, 100));
      if (made.day.speeds.empty()) kdl::wrong(file, child.at, "speeds: names none");
    } else if (child.name == "op-type") {
      made.day.kinds.push_back(kind_in(file, child));
    } else if (child.name == "tenants") {
      made.day.tenants.clear();
      for (const Value& value : child.arguments)
        made.day.tenants.push_back(number_in(file, value, "tenants", 0, 1));
      made.day.quotas.resize(made.day.tenants.size(), 1.0 / static_cast<double>(made.day.tenants.size()));
    } else if (child.name == "fault") {
      made.day.faults.push_back(fault_in(file, child));
    } else if (child.name == "vary") {
      made.varies = text_in(file, child, 0);
      const Figure* figure = figure_named(made.varies);
      if (!figure) kdl::wrong(file, child.at, "vary: " + made.varies + " is no figure of a day");
      for (std::size_t i = 1; i < child.arguments.size(); ++i)
        made.values.push_back(number_in(file, child.arguments[i], made.varies, figure->least, figure->most));
    } else if (child.name == "policy") {
      Policy policy;
      policy.name = text_in(file, child, 0);
      std::vector<Node> of_operators;
      for (const Node& one : child.children) {
        if (one.name == "queue" && one.arguments.size() == 1) {
          policy.queue = static_cast<std::size_t>(number_in(file, one.arguments[0], "queue", 1, 1e6));
        } else if (one.name == "fixed") {
          for (const Value& value : one.arguments)
            policy.fixed.push_back(number_in(file, value, "fixed", 0.01, 1));
        } else {
          of_operators.push_back(one);
        }
      }
      if (!policy.fixed.empty() && policy.queue == 0) kdl::wrong(file, child.at, "fixed: goes with queue");
      if (!of_operators.empty())
        for (const auto& entry : parse_operator_nodes(of_operators, file))
          if (Pools::is_setting(entry.first)) policy.settings.insert(entry);
      made.policies.push_back(std::move(policy));
    } else {
      kdl::wrong(file, child.at, child.name + ": unknown in experiment");
    }
  }
  if (made.day.kinds.empty()) made.day.kinds = emulator::usual_day(1).kinds;
  if (made.values.empty()) made.varies.clear(), made.values = {0};
  if (made.policies.empty()) made.policies.push_back({"none", {}, 0, {}});
  return made;
}

} // namespace

std::vector<Experiment> experiments_in(const std::string& text, const std::string& file) {
  std::vector<Experiment> all;
  for (const Node& node : kdl::parse(text, file)) {
    if (node.name != "experiment")
      kdl::wrong(file, node.at, node.name + ": unknown; did you mean experiment?");
    all.push_back(experiment_in(file, node));
  }
  return all;
}

emulator::Day day_of(const Experiment& experiment, const Policy& policy, double value, std::uint64_t seed) {
  emulator::Day day = experiment.day;
  if (!experiment.varies.empty()) figure_named(experiment.varies)->put(day, value);
  day.seed = seed;
  day.more = policy.settings;
  day.queue = policy.queue;
  day.fixed = policy.fixed;
  if (!day.fixed.empty() && day.fixed.size() != day.kinds.size())
    throw std::invalid_argument(experiment.name + ", " + policy.name + ": fixed: a part for each op type");
  return day;
}

} // namespace cometshift::lab
