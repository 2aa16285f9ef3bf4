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
constexpr double most_seconds = 86400;
constexpr Nanos quiet_end_terms = 6; // without faults, in which the fleet has to come back

struct Shape {
  int members;
  bool figure;
  double weight; // of chance, where plans are drawn
};
const std::map<std::string, Shape>& shapes() {
  static const std::map<std::string, Shape> all{
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

std::vector<Fault> plan_in(std::string_view text, const std::string& file, unsigned members) {
  std::vector<Fault> plan;
  std::istringstream in{std::string(text)};
  std::string line;
  for (int number = 1; std::getline(in, line); ++number) {
    const auto bad = [&](const std::string& what) {
      throw std::invalid_argument(file + ":" + std::to_string(number) + ": " + what);
    };
    line.resize(std::min(line.size(), line.find('#')));
    std::istringstream words(line);
    double at = 0;
    Fault fault;
    if (!(words >> std::ws) || words.eof()) continue;
    if (!(words >> at) || !(at >= 0 && at <= most_seconds)) bad("no time in seconds at its beginning");
    if (!(words >> fault.what) || !shapes().contains(fault.what)) bad("no fault: " + fault.what);
    const Shape& shape = shapes().at(fault.what);
    const auto member = [&](unsigned& into) {
      if (!(words >> into) || into > members)
        bad(fault.what + ": a member is missing, or there is none of its number");
    };
    if (shape.members > 0) member(fault.a);
    if (shape.members > 1) member(fault.b);
    if (shape.figure && !(words >> fault.figure)) bad(fault.what + ": a figure is missing");
    std::string more;
    if (words >> more) bad("more than a fault: " + more);
    fault.at = static_cast<Nanos>(at * second);
    if (!plan.empty() && fault.at < plan.back().at) bad("before the line above it");
    plan.push_back(fault);
  }
  return plan;
}

std::string text_of(const std::vector<Fault>& plan) {
  std::string text;
  for (const Fault& fault : plan) {
    const Shape& shape = shapes().at(fault.what);
    char words[96];
    std::snprintf(words, sizeof words, "%.3f %s", static_cast<double>(fault.at) / second, fault.what.c_str());
    text += words;
    if (shape.members > 0) text += ' ' + std::to_string(fault.a);
    if (shape.members > 1) text += ' ' + std::to_string(fault.b);
    if (shape.figure) {
      std::snprintf(words, sizeof words, " %.4g", fault.figure);
      text += words;
    }
    text += '\n';
  }
  return text;
}

std::vector<Fault> drawn(const Draw& draw) {
  std::vector<Fault> plan;
  Pcg chance(draw.seed);
  const double term = static_cast<double>(draw.term) / second;
  const Nanos last = draw.length - quiet_end_terms * draw.term;
  double weights = 0;
  for (const auto& [what, shape] : shapes()) weights += shape.weight;
  const auto any = [&] { return 1 + chance.next() % draw.members; };
  if (draw.kills_only) {
    // By then the one before is back, and no longer silent as a voter.
    for (Nanos at = 3 * draw.term; at < last;
         at += static_cast<Nanos>((4 + chance.unit()) * static_cast<double>(draw.term)))
      plan.push_back({at, "kill", 0, 0, 0.3 * term * chance.unit()});
    return plan;
  }
  const double mean = 60 * second / draw.a_minute;
  for (Nanos at = 2 * draw.term; (at += static_cast<Nanos>(2 * chance.unit() * mean)) < last;) {
    double left = chance.unit() * weights;
    Fault fault{at, "", 0, 0, 0};
    for (const auto& [what, shape] : shapes()) {
      fault.what = what;
      if ((left -= shape.weight) < 0) break;
    }
    // Half of them meet whoever acts.
    fault.a = chance.unit() < 0.5 ? 0 : any();
    fault.b = any();
    fault.figure = term * (0.1 + 3 * chance.unit() * chance.unit());
    if (fault.what == "delay") fault.figure = 0.4 * term * chance.unit();
    if (fault.what == "clock-rate") fault.figure = 1 + draw.drift * 0.95 * (2 * chance.unit() - 1);
    if (fault.what == "clock-jump")
      fault.figure = (chance.unit() < 0.5 ? -1 : 1) * (chance.unit() < 0.5 ? 3600 : term);
    if (fault.what == "stop-in-act") fault.figure = term * (1.2 + 2 * chance.unit());
    plan.push_back(fault);
  }
  return plan;
}

} // namespace cometshift::fleet
