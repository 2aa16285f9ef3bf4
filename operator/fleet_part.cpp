#include "fleet_part.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace cometshift::operator_file {

namespace {

constexpr std::size_t most_voters = 7, most_members = 1024, most_tasks = 1024, longest_name = 64;
constexpr double longest_task = 0.5; // of a term: what is left of a holding after a renewal, with room

const std::vector<Key>& task_keys() {
  static const std::vector<Key> all{
      {"task", "every", "every_ns", Sort::time, 10 * ms, 30 * day, "1min"},
      {"task", "limit", "limit_ns", Sort::time, ms, 300 * second, "1s"},
      {"task", "call", "call", Sort::address, 0, 0, ""},
      {"task", "fences", "fences", Sort::flag, 0, 0, "false"},
      {"task", "priority", "priority", Sort::count, 0, 100, "0"},
      {"task", "most-an-hour", "most_an_hour", Sort::count, 0, 360'000, "0"},
      {"task", "catch-up", "catch_up", Sort::flag, 0, 0, "false"},
  };
  return all;
}

bool plain(const std::string& name) {
  return !name.empty() && name.size() <= longest_name && std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  });
}

struct Part {
  Checker& checker;
  Settings& given;
  std::map<double, std::string> members; // by number, where they stand in the map
  std::set<std::string> addresses;
  struct List {
    std::vector<std::pair<double, Place>> members;
    Place at;
    bool told = false;
  };
  List voters, previous;
  std::set<std::string> tasks;

  double number_of(const Value& value, const char* what) {
    const double* figure = std::get_if<double>(&value.held);
    if (figure && *figure == std::floor(*figure) && *figure >= 1 && *figure <= most_member) return *figure;
    checker.wrong(value.at, std::string(what) + ": not a member's number, from 1 to 65535");
    return 0;
  }

  void take_member(const Node& node) {
    if (node.arguments.size() != 2 || !node.properties.empty() || !node.children.empty())
      return checker.wrong(node.at, "member: takes a number and an address, as member 3 \"10.0.0.3:6000\"");
    const double number = number_of(node.arguments.front(), "member");
    if (number == 0) return;
    const std::string at = "fleet.member." + std::to_string(members.size()) + ".";
    if (!members.emplace(number, at).second)
      return checker.wrong(node.arguments.front().at, "member: its number is taken");
    if (members.size() > most_members) return checker.wrong(node.at, "member: too many");
    given[at + "number"] = number;
    given[at + "voter"] = given[at + "previous_voter"] = 0.0;
    static const Key address{"member", "member", "", Sort::address, 0, 0, ""};
    checker.take(given, address, node.arguments.back(), at + "address");
    // Against two members that a third can't tell from each other.
    if (const std::string told = text(given, at + "address", "");
        !told.empty() && !addresses.insert(told).second)
      checker.wrong(node.arguments.back().at, "member: its address is another's");
  }

  void take_list(const Node& node, List& list) {
    if (list.told)
      return checker.wrong(node.at, node.name + ": twice; first at line " + std::to_string(list.at.line));
    list.told = true;
    list.at = node.at;
    if (node.arguments.empty() || node.arguments.size() > most_voters || !node.properties.empty() ||
        !node.children.empty())
      return checker.wrong(node.at,
                           node.name + ": takes one to seven members' numbers, as " + node.name + " 1 2 3");
    for (const Value& value : node.arguments)
      if (const double number = number_of(value, node.name.c_str()); number > 0)
        list.members.emplace_back(number, value.at);
  }
  void mark(const List& list, const char* name, const char* as) {
    std::set<double> seen;
    for (const auto& [voter, at] : list.members) {
      const auto member = members.find(voter);
      if (member == members.end())
        checker.wrong(at, std::string(name) + ": " + std::to_string(static_cast<int>(voter)) +
                              " is none of the members");
      else if (!seen.insert(voter).second)
        checker.wrong(at, std::string(name) + ": " + std::to_string(static_cast<int>(voter)) + " twice");
      else
        given[member->second + as] = 1.0;
    }
  }

  void take_task(const Node& node) {
    const auto* name =
        node.arguments.size() == 1 ? std::get_if<std::string>(&node.arguments.front().held) : nullptr;
    if (!name || !plain(*name) || !node.properties.empty())
      return checker.wrong(node.at,
                           "task: takes its name, of letters, figures, \"-\", \"_\" and \".\", as task "
                           "\"sweep\" { }");
    const std::string at = "fleet.task." + std::to_string(tasks.size()) + ".";
    if (!tasks.insert(*name).second)
      return checker.wrong(node.arguments.front().at, "task: " + *name + " is taken");
    if (tasks.size() > most_tasks) return checker.wrong(node.at, "task: too many");
    given[at + "name"] = *name;
    for (const auto& [ours, otherwise] : {std::pair{"every_ns", 60 * second},
                                          {"limit_ns", second},
                                          {"fences", 0.0},
                                          {"priority", 0.0},
                                          {"most_an_hour", 0.0},
                                          {"catch_up", 0.0}})
      given[at + ours] = otherwise;
    const std::size_t before = checker.found.size();
    checker.take_all(given, node, task_keys(), at, {}, [](const Node&) { return false; });
    if (checker.found.size() > before) return;
    if (text(given, at + "call", "").empty())
      checker.wrong(node.at, "task: call is missing, the address that it is done at");
    if (number(given, at + "limit_ns", 0) > number(given, at + "every_ns", 0))
      checker.wrong(node.at, "task: its limit is over its period");
  }

  // What goes with what, once each is right by itself.
  void look_whole(const Node& node) {
    const auto figure = [&](const char* name) { return number(given, std::string("fleet.") + name, 0); };
    if (text(given, "fleet.name", "").empty()) checker.wrong(node.at, "fleet: name is missing");
    if (text(given, "fleet.listen", "").empty()) checker.wrong(node.at, "fleet: listen is missing");
    if (!members.contains(figure("self"))) checker.wrong(node.at, "fleet: self is none of its members");
    if (voters.members.empty()) checker.wrong(node.at, "fleet: voters are missing");
    mark(voters, "voters", "voter");
    mark(previous, "previous-voters", "previous_voter");
    if (previous.told && figure("epoch") < 2)
      checker.wrong(previous.at, "previous-voters: epoch 1 has none before it");
    if (figure("longest_term_ns") < figure("term_ns"))
      checker.wrong(node.at, "fleet: longest-term is under term");
    if (figure("silent_ns") < 2 * figure("beat_ns"))
      checker.wrong(node.at, "fleet: silent is under two beats");
    if (figure("rest_most_ns") < figure("rest_least_ns"))
      checker.wrong(node.at, "fleet: rest-most is under rest-least");
    if (static_cast<double>(tasks.size()) > figure("most_leases"))
      checker.wrong(node.at, "fleet: more tasks than most-leases");
    for (std::size_t t = 0; t < tasks.size(); ++t) {
      const std::string at = "fleet.task." + std::to_string(t) + ".";
      if (number(given, at + "limit_ns", 0) > longest_task * figure("term_ns"))
        checker.wrong(node.at,
                      "task " + text(given, at + "name", "") +
                          ": its limit is over half a term; it would never begin, or the term is too short");
    }
  }
};

} // namespace

void take_fleet(Checker& checker, Settings& given, const Node& node, const std::vector<Key>& own) {
  Part part{checker, given, {}, {}, {}, {}, {}};
  given["fleet.on"] = 1.0;
  checker.take_all(given, node, own, "", {"member", "voters", "previous-voters", "task"},
                   [&](const Node& child) {
                     if (child.name == "member")
                       part.take_member(child);
                     else if (child.name == "voters")
                       part.take_list(child, part.voters);
                     else if (child.name == "previous-voters")
                       part.take_list(child, part.previous);
                     else if (child.name == "task")
                       part.take_task(child);
                     else
                       return false;
                     return true;
                   });
  // A longer term than was told for the longest is one that members that start wait out.
  const bool longest_told = std::any_of(node.children.begin(), node.children.end(),
                                        [](const Node& c) { return c.name == "longest-term"; });
  if (!longest_told) given["fleet.longest_term_ns"] = number(given, "fleet.term_ns", 0);
  if (checker.found.empty()) part.look_whole(node);
}

} // namespace cometshift::operator_file
