#include "configuration.hpp"

#include "address.hpp"
#include "settings.hpp"

#include <charconv>
#include <set>

namespace cometshift {

namespace {

using simdjson::dom::element;
using simdjson::dom::object;

// A figure of the protocol that no key tells: how long a report counts.
constexpr double list_lapse_ns = 3e9;
constexpr double least_sockets = 64; // fewer leave no room for callers beside the server's own
constexpr double least_memory_mb = 32;

[[noreturn]] void bad(const std::string& key, const char* why) {
  throw std::invalid_argument(key + ": " + why);
}

element at(const object& from, const char* name, const std::string& path) {
  element found;
  if (from[name].get(found) != simdjson::SUCCESS) bad(path + name, "missing");
  return found;
}
object part(const object& from, const char* name) {
  object found;
  if (at(from, name, "").get(found) != simdjson::SUCCESS) bad(name, "not an object");
  return found;
}
std::string word(const object& from, const char* name) {
  std::string_view found;
  if (at(from, name, "").get(found) != simdjson::SUCCESS) bad(name, "not a text");
  if (found.empty()) bad(name, "empty");
  return std::string(found);
}
double figure(const object& from, const char* name, const std::string& path, double least, double most) {
  double found = 0;
  if (at(from, name, path).get(found) != simdjson::SUCCESS) bad(path + name, "not a number");
  if (!(found >= least && found <= most)) bad(path + name, "out of range");
  return found;
}
std::string address(const object& from, const char* name) {
  const std::string found = word(from, name);
  if (!endpoint_in(found)) bad(name, "not an address with a port, such as 127.0.0.1:5050");
  return found;
}

// What the module can't do without, by the names under which it is told.
void check(const Settings& given, const std::string& path) {
  const auto needs = [&](const std::string& ours, const std::string& wire, double least) {
    if (!given.contains(ours)) bad(path + wire, "missing");
    if (number(given, ours, 0) < least) bad(path + wire, "out of range");
  };
  const auto one_of = [&](const std::string& ours, const std::string& wire, std::set<std::string> words) {
    if (given.contains(ours) && !words.contains(text(given, ours, "")))
      bad(path + wire, "not one of its words");
  };
  needs("cores", "family_info.cpus", 1);
  needs("memory_kb", "family_info.mem_limit_kb", 1);
  needs("fall_multiple", "invariants.fall_multiple", 1);
  needs("drain_grace_ns", "invariants.drain_grace_ns", 0);
  if (given.contains("calls_over_ns")) needs("calls_over_ns", "family_info.calls_over_ns", 1);
  one_of("say", "family_info.say", {"level", "tokens", "bias", "none"});
  one_of("halt", "family_info.halt", {"none", "drop", "pause"});
  one_of("below", "family_info.below", {"common", "next_hop", "none"});
  one_of("value_by", "value_by", {"op", "work"});
  // Hands each entry of a list to `check`, with its names; each has a name of its own. How many there are.
  const auto entries = [&](const char* list, const char* wire_list, auto check) {
    std::set<std::string> names;
    for (int i = 0;; ++i) {
      const std::string number = std::to_string(i);
      const std::string ours = std::string(list).append(number).append(".");
      const std::string wire = std::string(wire_list).append("[").append(number).append("].");
      const auto first = given.lower_bound(ours);
      if (first == given.end() || !first->first.starts_with(ours)) return i;
      check(ours, wire);
      const std::string name = text(given, ours + "name", "");
      if (name.empty()) bad(path + wire + "name", "missing");
      if (!names.insert(name).second) bad(path + wire + "name", "twice the same");
    }
  };
  const int op_types =
      entries("op_type.", "categories", [&](const std::string& ours, const std::string& wire) {
        needs(ours + "op_timeout_ns", wire + "deadline_ns", 1);
        needs(ours + "target_latency_ns", wire + "target_ns", 1);
        if (!given.contains(ours + "repeats")) bad(path + wire + "effect", "missing");
        one_of(ours + "repeats", wire + "effect", {"retryable", "keyed", "non_retryable"});
        if (text(given, ours + "repeats", "") == "keyed")
          needs(ours + "key_window_ns", wire + "key_ttl_ns", 1);
      });
  if (op_types == 0) bad(path + "categories", "missing");
  entries("tenant.", "parties", [&](const std::string& ours, const std::string& wire) {
    needs(ours + "quota", wire + "quota_rps", 0);
  });
}

} // namespace

Settings parse_configuration(std::string_view json) {
  simdjson::dom::parser parser;
  element all;
  if (parser.parse(json.data(), json.size()).get(all) != simdjson::SUCCESS) bad("configuration", "not JSON");
  object top;
  if (all.get(top) != simdjson::SUCCESS) bad("configuration", "not an object");

  Settings given = parse_settings(part(top, "settings"), "settings.");
  check(given, "settings.");
  given["name"] = word(top, "name");
  for (const char c : text(given, "name", ""))
    // Against a name that would be another path or header in a report.
    if (static_cast<unsigned char>(c) <= ' ' || c == '/' || c == '?' || c == '#' || c == '%' || c > '~')
      bad("name", "not a plain word");
  for (const char* name : {"listen", "vm", "announce", "records"}) given[name] = address(top, name);
  const std::string seed = word(top, "seed");
  std::uint64_t raw = 0;
  const auto [end, wrong] = std::from_chars(seed.data(), seed.data() + seed.size(), raw, 16);
  if (wrong != std::errc() || end != seed.data() + seed.size()) bad("seed", "not a number in hex digits");
  given["seed_high"] = static_cast<double>(raw >> 32);
  given["seed_low"] = static_cast<double>(raw & 0xffffffff);
  given["stop_ns"] = figure(top, "stop_ms", "", 0, 1e9) * 1e6;
  const object limits = part(top, "limits");
  figure(limits, "cores", "limits.", 1e-3, 1e6);
  given["memory_mb"] = figure(limits, "memory_mb", "limits.", least_memory_mb, 1e9);
  given["sockets"] = figure(limits, "sockets", "limits.", least_sockets, 1e9);
  given["list_lapse_ns"] = list_lapse_ns;
  // This link has no commands to stop a run or to go on without a call: the module is not to count on them.
  given["halt"] = std::string("none");
  for (int t = 0; given.contains("op_type." + std::to_string(t) + ".name"); ++t)
    given.erase("op_type." + std::to_string(t) + ".without_share");
  return given;
}

Settings read_configuration(const std::string& path) {
  simdjson::padded_string json;
  if (simdjson::padded_string::load(path).get(json) != simdjson::SUCCESS)
    throw std::invalid_argument("configuration " + path + ": can't be read");
  return parse_configuration(json);
}

} // namespace cometshift
