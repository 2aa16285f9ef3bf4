#include "fleet_part.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace cometshift::operator_file {

namespace {

constexpr std::size_t max_voters = 7, max_members = 1024, max_tasks = 1024, max_name_length = 64;
constexpr double max_task_fraction = 0.5; // of a term: what remains of a lease after a renewal, with a margin

const std::vector<Key>& task_keys() {
  static const std::vector<Key> all{
      {"task", "every", "every_ns", ValueKind::time, 10 * ms, 30 * day, "1min"},
      {"task", "limit", "limit_ns", ValueKind::time, ms, 300 * second, "1s"},
      {"task", "call", "call", ValueKind::address, 0, 0, ""},
      {"task", "fences", "fences", ValueKind::flag, 0, 0, "false"},
      {"task", "priority", "priority", ValueKind::count, 0, 100, "0"},
      {"task", "most-an-hour", "most_an_hour", ValueKind::count, 0, 360'000, "0"},
      {"task", "catch-up", "catch_up", ValueKind::flag, 0, 0, "false"},
  };
  return all;
}

bool is_valid_name(const std::string& name) {
  return !name.empty() && name.size() <= max_name_length && std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  });
}

struct FleetSection {
  Checker& checker;
  Settings& settings;
  std::map<double, std::string> members; // by member number, the prefix of their settings
  std::set<std::string> addresses;
  struct List {
    std::vector<std::pair<double, SourcePosition>> members;
    SourcePosition at;
    bool declared = false;
  };
  List voters, previous;
  std::set<std::string> tasks;

  double number_of(const Value& value, const char* what) {
    const double* amount = std::get_if<double>(&value.held);
    if (amount && *amount == std::floor(*amount) && *amount >= 1 && *amount <= max_member_number)
      return *amount;
    checker.wrong(value.at, std::string(what) + ": not a member's number, from 1 to 65535");
    return 0;
  }

  void parse_member(const Node& node) {
    if (node.arguments.size() != 2 || !node.properties.empty() || !node.children.empty())
      return checker.wrong(node.at, "member: takes a number and an address, as member 3 \"10.0.0.3:6000\"");
    const double number = number_of(node.arguments.front(), "member");
    if (number == 0) return;
    const std::string at = "fleet.member." + std::to_string(members.size()) + ".";
    if (!members.emplace(number, at).second)
      return checker.wrong(node.arguments.front().at, "member: its number is taken");
    if (members.size() > max_members) return checker.wrong(node.at, "member: too many");
    settings[at + "number"] = number;
    settings[at + "voter"] = settings[at + "previous_voter"] = 0.0;
    static const Key address{"member", "member", "", ValueKind::address, 0, 0, ""};
    checker.parse_value(settings, address, node.arguments.back(), at + "address");
    // Other members could not tell two members with the same address apart.
    if (const std::string declared = text(settings, at + "address", "");
        !declared.empty() && !addresses.insert(declared).second)
      checker.wrong(node.arguments.back().at, "member: its address is another's");
  }

  void parse_member_list(const Node& node, List& list) {
    if (list.declared)
      return checker.wrong(node.at, node.name + ": twice; first at line " + std::to_string(list.at.line));
    list.declared = true;
    list.at = node.at;
    if (node.arguments.empty() || node.arguments.size() > max_voters || !node.properties.empty() ||
        !node.children.empty())
      return checker.wrong(node.at,
                           node.name + ": takes one to seven members' numbers, as " + node.name + " 1 2 3");
    for (const Value& value : node.arguments)
      if (const double number = number_of(value, node.name.c_str()); number > 0)
        list.members.emplace_back(number, value.at);
  }
  void mark_members(const List& list, const char* name, const char* setting_suffix) {
    std::set<double> seen;
    for (const auto& [voter, at] : list.members) {
      const auto member = members.find(voter);
      if (member == members.end())
        checker.wrong(at, std::string(name) + ": " + std::to_string(static_cast<int>(voter)) +
                              " is none of the members");
      else if (!seen.insert(voter).second)
        checker.wrong(at, std::string(name) + ": " + std::to_string(static_cast<int>(voter)) + " twice");
      else
        settings[member->second + setting_suffix] = 1.0;
    }
  }

  void parse_task(const Node& node) {
    const auto* name =
        node.arguments.size() == 1 ? std::get_if<std::string>(&node.arguments.front().held) : nullptr;
    if (!name || !is_valid_name(*name) || !node.properties.empty())
      return checker.wrong(node.at,
                           "task: takes its name, of letters, figures, \"-\", \"_\" and \".\", as task "
                           "\"sweep\" { }");
    const std::string at = "fleet.task." + std::to_string(tasks.size()) + ".";
    if (!tasks.insert(*name).second)
      return checker.wrong(node.arguments.front().at, "task: " + *name + " is taken");
    if (tasks.size() > max_tasks) return checker.wrong(node.at, "task: too many");
    settings[at + "name"] = *name;
    for (const auto& [setting_name, default_value] : {std::pair{"every_ns", 60 * second},
                                                      {"limit_ns", second},
                                                      {"fences", 0.0},
                                                      {"priority", 0.0},
                                                      {"most_an_hour", 0.0},
                                                      {"catch_up", 0.0}})
      settings[at + setting_name] = default_value;
    const std::size_t errors_before = checker.errors.size();
    checker.parse_children(settings, node, task_keys(), at, {}, [](const Node&) { return false; });
    if (checker.errors.size() > errors_before) return;
    if (text(settings, at + "call", "").empty())
      checker.wrong(node.at, "task: call is missing, the address that it is done at");
    if (number(settings, at + "limit_ns", 0) > number(settings, at + "every_ns", 0))
      checker.wrong(node.at, "task: its limit is over its period");
  }

  // Checks settings against each other, once each is valid on its own.
  void check_consistency(const Node& node) {
    const auto amount = [&](const char* name) { return number(settings, std::string("fleet.") + name, 0); };
    if (text(settings, "fleet.name", "").empty()) checker.wrong(node.at, "fleet: name is missing");
    if (text(settings, "fleet.listen", "").empty()) checker.wrong(node.at, "fleet: listen is missing");
    if (!members.contains(amount("self"))) checker.wrong(node.at, "fleet: self is none of its members");
    if (voters.members.empty()) checker.wrong(node.at, "fleet: voters are missing");
    mark_members(voters, "voters", "voter");
    mark_members(previous, "previous-voters", "previous_voter");
    if (previous.declared && amount("epoch") < 2)
      checker.wrong(previous.at, "previous-voters: epoch 1 has none before it");
    if (amount("longest_term_ns") < amount("term_ns"))
      checker.wrong(node.at, "fleet: longest-term is under term");
    if (amount("silent_ns") < 2 * amount("beat_ns"))
      checker.wrong(node.at, "fleet: silent is under two beats");
    if (amount("rest_most_ns") < amount("rest_least_ns"))
      checker.wrong(node.at, "fleet: rest-most is under rest-least");
    if (static_cast<double>(tasks.size()) > amount("most_leases"))
      checker.wrong(node.at, "fleet: more tasks than most-leases");
    for (std::size_t t = 0; t < tasks.size(); ++t) {
      const std::string at = "fleet.task." + std::to_string(t) + ".";
      if (number(settings, at + "limit_ns", 0) > max_task_fraction * amount("term_ns"))
        checker.wrong(node.at,
                      "task " + text(settings, at + "name", "") +
                          ": its limit is over half a term; it would never begin, or the term is too short");
    }
  }
};

} // namespace

void parse_fleet(Checker& checker, Settings& settings, const Node& node, const std::vector<Key>& own) {
  FleetSection section{checker, settings, {}, {}, {}, {}, {}};
  settings["fleet.on"] = 1.0;
  checker.parse_children(settings, node, own, "", {"member", "voters", "previous-voters", "task"},
                         [&](const Node& child) {
                           if (child.name == "member")
                             section.parse_member(child);
                           else if (child.name == "voters")
                             section.parse_member_list(child, section.voters);
                           else if (child.name == "previous-voters")
                             section.parse_member_list(child, section.previous);
                           else if (child.name == "task")
                             section.parse_task(child);
                           else
                             return false;
                           return true;
                         });
  // Members wait out the longest term when they start, so it is at least the current term.
  const bool longest_term_declared = std::any_of(node.children.begin(), node.children.end(),
                                                 [](const Node& c) { return c.name == "longest-term"; });
  if (!longest_term_declared) settings["fleet.longest_term_ns"] = number(settings, "fleet.term_ns", 0);
  if (checker.errors.empty()) section.check_consistency(node);
}

} // namespace cometshift::operator_file
