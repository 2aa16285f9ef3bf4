#include "plan.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <sstream>
#include <stdexcept>

namespace cometshift::fleet {

namespace {

constexpr double second = 1e9;
constexpr double max_seconds = 86400;
constexpr Nanos fault_free_end_terms = 6; // without faults: the fleet has to recover within them

// What follows the name of a fault in a line of a plan.
struct FaultFormat {
  int members;
  bool has_value;
  double weight; // relative probability in random plans; 0: never drawn
};
const std::map<std::string, FaultFormat>& fault_formats() {
  static const std::map<std::string, FaultFormat> all{
      {"kill", {1, true, 3}},       {"drain", {1, true, 1}},
      {"stop", {1, true, 4}},       {"stop-in-act", {1, true, 3}},
      {"cut", {2, true, 2}},        {"cut-out", {1, true, 2}},
      {"cut-in", {1, true, 2}},     {"cut-off", {1, true, 2}},
      {"cut-voters", {1, true, 2}}, {"cut-contenders", {1, true, 1}},
      {"split", {0, true, 1}},      {"delay", {2, true, 1}},
      {"trickle", {2, true, 1}},    {"half-open", {2, false, 1}},
      {"reset", {2, false, 2}},     {"spoil", {2, false, 2}},
      {"act-late", {1, true, 2}},   {"clock-rate", {1, true, 1}},
      {"clock-jump", {1, true, 1}}, {"restart-voters", {0, true, 0.3}},
      {"twin", {1, true, 0.5}},     {"voters", {1, true, 2}},
      {"clock-both", {1, true, 0}}, {"stop-in-plain-act", {1, true, 0}},
  };
  return all;
}

} // namespace

std::vector<Fault> parse_plan(std::string_view text, const std::string& file, unsigned members) {
  std::vector<Fault> plan;
  std::istringstream in{std::string(text)};
  std::string line;
  for (int number = 1; std::getline(in, line); ++number) {
    const auto fail = [&](const std::string& message) {
      throw std::invalid_argument(file + ":" + std::to_string(number) + ": " + message);
    };
    line.resize(std::min(line.size(), line.find('#')));
    std::istringstream words(line);
    double at = 0;
    Fault fault;
    if (!(words >> std::ws) || words.eof()) continue;
    if (!(words >> at) || !(at >= 0 && at <= max_seconds)) fail("no time in seconds at its beginning");
    if (!(words >> fault.kind) || !fault_formats().contains(fault.kind)) fail("no fault: " + fault.kind);
    const FaultFormat& format = fault_formats().at(fault.kind);
    const auto member = [&](unsigned& into) {
      if (!(words >> into) || into > members)
        fail(fault.kind + ": a member is missing, or there is none of its number");
    };
    if (format.members > 0) member(fault.a);
    if (format.members > 1) member(fault.b);
    if (format.has_value && !(words >> fault.value)) fail(fault.kind + ": a figure is missing");
    std::string more;
    if (words >> more) fail("more than a fault: " + more);
    fault.at = static_cast<Nanos>(at * second);
    if (!plan.empty() && fault.at < plan.back().at) fail("before the line above it");
    plan.push_back(fault);
  }
  return plan;
}

std::string format_plan(const std::vector<Fault>& plan) {
  std::string text;
  for (const Fault& fault : plan) {
    const FaultFormat& format = fault_formats().at(fault.kind);
    char words[96];
    std::snprintf(words, sizeof words, "%.3f %s", static_cast<double>(fault.at) / second, fault.kind.c_str());
    text += words;
    if (format.members > 0) text += ' ' + std::to_string(fault.a);
    if (format.members > 1) text += ' ' + std::to_string(fault.b);
    if (format.has_value) {
      std::snprintf(words, sizeof words, " %.4g", fault.value);
      text += words;
    }
    text += '\n';
  }
  return text;
}

std::vector<Fault> random_plan(const RandomPlanOptions& options) {
  std::vector<Fault> plan;
  Pcg rng(options.seed);
  const double term = static_cast<double>(options.term) / second;
  const Nanos last = options.length - fault_free_end_terms * options.term;
  double weights = 0;
  for (const auto& [kind, format] : fault_formats()) weights += format.weight;
  const auto any_member = [&] { return 1 + rng.next() % options.members; };
  if (options.kills_only) {
    // By then the member killed before has restarted and its silence as a voter is over.
    for (Nanos at = 3 * options.term; at < last;
         at += static_cast<Nanos>((4 + rng.unit()) * static_cast<double>(options.term)))
      plan.push_back({at, "kill", 0, 0, 0.3 * term * rng.unit()});
    return plan;
  }
  const double mean = 60 * second / options.faults_per_minute;
  for (Nanos at = 2 * options.term; (at += static_cast<Nanos>(2 * rng.unit() * mean)) < last;) {
    double remaining_weight = rng.unit() * weights;
    Fault fault{at, "", 0, 0, 0};
    for (const auto& [kind, format] : fault_formats()) {
      fault.kind = kind;
      if ((remaining_weight -= format.weight) < 0) break;
    }
    // Half of the faults affect the member that acted last.
    fault.a = rng.unit() < 0.5 ? 0 : any_member();
    fault.b = any_member();
    fault.value = term * (0.1 + 3 * rng.unit() * rng.unit());
    if (fault.kind == "delay") fault.value = 0.4 * term * rng.unit();
    if (fault.kind == "clock-rate") fault.value = 1 + options.drift * 0.95 * (2 * rng.unit() - 1);
    if (fault.kind == "clock-jump")
      fault.value = (rng.unit() < 0.5 ? -1 : 1) * (rng.unit() < 0.5 ? 3600 : term);
    if (fault.kind == "stop-in-act") fault.value = term * (1.2 + 2 * rng.unit());
    plan.push_back(fault);
  }
  return plan;
}

} // namespace cometshift::fleet
