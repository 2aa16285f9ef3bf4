#include "configuration.hpp"

#include "address.hpp"
#include "settings.hpp"

#include <charconv>
#include <set>

namespace cometshift {

namespace {

using simdjson::dom::element;
using simdjson::dom::object;

// How long a report to the announce service stays valid. Fixed by the protocol; no key sets it.
constexpr double listing_lifetime_ns = 3e9;
constexpr double min_sockets = 64; // fewer leave no room for callers beside the server's own sockets
constexpr double min_memory_mb = 32;

[[noreturn]] void reject(const std::string& key, const char* reason) {
  throw std::invalid_argument(key + ": " + reason);
}

element required_member(const object& from, const char* name, const std::string& path) {
  element found;
  if (from[name].get(found) != simdjson::SUCCESS) reject(path + name, "missing");
  return found;
}
object object_member(const object& from, const char* name) {
  object found;
  if (required_member(from, name, "").get(found) != simdjson::SUCCESS) reject(name, "not an object");
  return found;
}
std::string text_member(const object& from, const char* name) {
  std::string_view found;
  if (required_member(from, name, "").get(found) != simdjson::SUCCESS) reject(name, "not a text");
  if (found.empty()) reject(name, "empty");
  return std::string(found);
}
double number_member(const object& from, const char* name, const std::string& path, double least,
                     double most) {
  double found = 0;
  if (required_member(from, name, path).get(found) != simdjson::SUCCESS) reject(path + name, "not a number");
  if (!(found >= least && found <= most)) reject(path + name, "out of range");
  return found;
}
std::string address_member(const object& from, const char* name) {
  const std::string found = text_member(from, name);
  if (!parse_endpoint(found)) reject(name, "not an address with a port, such as 127.0.0.1:5050");
  return found;
}

// Checks the settings that the decision module requires. Errors name the keys of the configuration file.
void check_settings(const Settings& settings, const std::string& path) {
  const auto require = [&](const std::string& setting, const std::string& key, double least) {
    if (!settings.contains(setting)) reject(path + key, "missing");
    if (number(settings, setting, 0) < least) reject(path + key, "out of range");
  };
  const auto one_of = [&](const std::string& setting, const std::string& key, std::set<std::string> allowed) {
    if (settings.contains(setting) && !allowed.contains(text(settings, setting, "")))
      reject(path + key, "not an allowed value");
  };
  require("cores", "family_info.cpus", 1);
  require("memory_kb", "family_info.mem_limit_kb", 1);
  require("fall_multiple", "invariants.fall_multiple", 1);
  require("drain_grace_ns", "invariants.drain_grace_ns", 0);
  if (settings.contains("calls_over_ns")) require("calls_over_ns", "family_info.calls_over_ns", 1);
  one_of("say", "family_info.say", {"level", "tokens", "bias", "none"});
  one_of("halt", "family_info.halt", {"none", "drop", "pause"});
  one_of("below", "family_info.below", {"common", "next_hop", "none"});
  one_of("value_by", "value_by", {"op", "work"});
  // Calls `check_entry` for each entry of a list, with the prefixes of its settings and of its keys. Entry
  // names must be present and unique. Returns the number of entries.
  const auto entries = [&](const char* list, const char* key_list, auto check_entry) {
    std::set<std::string> names;
    for (int i = 0;; ++i) {
      const std::string number = std::to_string(i);
      const std::string setting = std::string(list).append(number).append(".");
      const std::string key = std::string(key_list).append("[").append(number).append("].");
      const auto first = settings.lower_bound(setting);
      if (first == settings.end() || !first->first.starts_with(setting)) return i;
      check_entry(setting, key);
      const std::string name = text(settings, setting + "name", "");
      if (name.empty()) reject(path + key + "name", "missing");
      if (!names.insert(name).second) reject(path + key + "name", "duplicate name");
    }
  };
  const int op_types =
      entries("op_type.", "categories", [&](const std::string& setting, const std::string& key) {
        require(setting + "op_timeout_ns", key + "deadline_ns", 1);
        require(setting + "target_latency_ns", key + "target_ns", 1);
        if (!settings.contains(setting + "repeats")) reject(path + key + "effect", "missing");
        one_of(setting + "repeats", key + "effect", {"retryable", "keyed", "non_retryable"});
        if (text(settings, setting + "repeats", "") == "keyed")
          require(setting + "key_window_ns", key + "key_ttl_ns", 1);
      });
  if (op_types == 0) reject(path + "categories", "missing");
  entries("tenant.", "parties", [&](const std::string& setting, const std::string& key) {
    require(setting + "quota", key + "quota_rps", 0);
  });
}

} // namespace

Settings parse_configuration(std::string_view json) {
  simdjson::dom::parser parser;
  element document;
  if (parser.parse(json.data(), json.size()).get(document) != simdjson::SUCCESS)
    reject("configuration", "not JSON");
  object root;
  if (document.get(root) != simdjson::SUCCESS) reject("configuration", "not an object");

  Settings settings = parse_settings(object_member(root, "settings"), "settings.");
  check_settings(settings, "settings.");
  settings["name"] = text_member(root, "name");
  for (const char c : text(settings, "name", ""))
    // The name becomes part of a request path; other characters could change the path or inject a header.
    if (static_cast<unsigned char>(c) <= ' ' || c == '/' || c == '?' || c == '#' || c == '%' || c > '~')
      reject("name", "contains a character that is not allowed");
  for (const char* name : {"listen", "vm", "announce", "records"})
    settings[name] = address_member(root, name);
  const std::string seed = text_member(root, "seed");
  std::uint64_t raw = 0;
  const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), raw, 16);
  if (error != std::errc() || end != seed.data() + seed.size()) reject("seed", "not a number in hex digits");
  settings["seed_high"] = static_cast<double>(raw >> 32);
  settings["seed_low"] = static_cast<double>(raw & 0xffffffff);
  settings["stop_ns"] = number_member(root, "stop_ms", "", 0, 1e9) * 1e6;
  const object limits = object_member(root, "limits");
  number_member(limits, "cores", "limits.", 1e-3, 1e6);
  settings["memory_mb"] = number_member(limits, "memory_mb", "limits.", min_memory_mb, 1e9);
  settings["sockets"] = number_member(limits, "sockets", "limits.", min_sockets, 1e9);
  settings["list_lapse_ns"] = listing_lifetime_ns;
  // This interpreter link has no commands to stop a run or to continue it without its call; the decision
  // module must not rely on them.
  settings["halt"] = std::string("none");
  for (int t = 0; settings.contains("op_type." + std::to_string(t) + ".name"); ++t)
    settings.erase("op_type." + std::to_string(t) + ".without_share");
  return settings;
}

Settings read_configuration(const std::string& path) {
  simdjson::padded_string json;
  if (simdjson::padded_string::load(path).get(json) != simdjson::SUCCESS)
    throw std::invalid_argument("configuration " + path + ": can't be read");
  return parse_configuration(json);
}

} // namespace cometshift
