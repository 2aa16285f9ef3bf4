#include "settings.hpp"

#include <initializer_list>
#include <limits>

namespace cometshift {

namespace {

using simdjson::dom::element;
using simdjson::dom::object;

// How a value is read: `word` is translated by module_value(), `label` is taken as it stands.
enum class Kind { number, flag, word, label };

// Maps a name in the configuration to the module's name of the same setting.
struct Mapping {
  const char* outer_name;
  const char* module_name;
  Kind kind = Kind::number;
};
using Mappings = std::initializer_list<Mapping>;

[[noreturn]] void throw_invalid(const std::string& key, const char* reason) {
  throw std::invalid_argument(key + ": " + reason);
}

// Translates a value of the configuration to the module's name for it; unknown values pass unchanged.
std::string module_value(std::string_view word) {
  if (word == "idempotency_key") return "keyed";
  if (word == "non_idempotent") return "non_retryable";
  if (word == "read_like") return "retryable";
  if (word == "min_rank") return "level";
  if (word == "request") return "op";
  if (word == "cpu_busy") return "cores_busy";
  if (word == "runnable") return "on_cores";
  if (word == "mem_used") return "memory_used";
  if (word == "sockets") return "connections";
  return std::string(word);
}

void put(Settings& settings, const element& at, const std::string& key, const std::string& name, Kind kind) {
  if (at.is_null()) return;
  bool flag = false;
  double value = 0;
  std::string_view word;
  switch (kind) {
  case Kind::flag:
    if (at.get(flag) != simdjson::SUCCESS) throw_invalid(key, "not true or false");
    settings[name] = flag ? 1.0 : 0.0;
    return;
  case Kind::number:
    if (at.get(value) != simdjson::SUCCESS) throw_invalid(key, "not a number");
    // Larger spans would overflow a count of nanoseconds.
    if (!(value >= 0) || value > static_cast<double>(std::numeric_limits<Nanos>::max() / 4))
      throw_invalid(key, "out of range");
    settings[name] = value;
    return;
  case Kind::word:
  case Kind::label:
    if (at.get(word) != simdjson::SUCCESS) throw_invalid(key, "not a text");
    settings[name] = kind == Kind::word ? module_value(word) : std::string(word);
    return;
  }
}
void put_fields(Settings& settings, const object& from, const std::string& path, const std::string& prefix,
                Mappings mappings) {
  for (const Mapping& mapping : mappings)
    if (element at; from[mapping.outer_name].get(at) == simdjson::SUCCESS)
      put(settings, at, path + mapping.outer_name, prefix + mapping.module_name, mapping.kind);
}
// Calls `each` with every element of the list `name`, its index and its path. An absent list is skipped.
template <class Each>
void for_each_element(const object& from, const char* name, const std::string& path, Each each) {
  element at;
  if (from[name].get(at) != simdjson::SUCCESS || at.is_null()) return;
  simdjson::dom::array row;
  if (at.get(row) != simdjson::SUCCESS) throw_invalid(path + name, "not a list");
  std::size_t i = 0;
  for (const element item : row) {
    each(item, std::to_string(i), path + name + "[" + std::to_string(i) + "]");
    ++i;
  }
}
// Calls `each` with the object `name` and its path if it is present.
template <class Each>
void with_object(const object& from, const char* name, const std::string& path, Each each) {
  element at;
  if (from[name].get(at) != simdjson::SUCCESS || at.is_null()) return;
  object part;
  if (at.get(part) != simdjson::SUCCESS) throw_invalid(path + name, "not an object");
  each(part, path + name + ".");
}

} // namespace

Settings parse_settings(const object& source, const std::string& path) {
  Settings settings;
  const auto values = [&](const char* name, Mappings mappings) {
    with_object(source, name, path, [&](const object& part, const std::string& subpath) {
      put_fields(settings, part, subpath, "", mappings);
    });
  };
  const auto row = [&](const object& from, const char* name, const std::string& subpath, std::string prefix,
                       const char* suffix, Kind kind) {
    for_each_element(from, name, subpath,
                     [&](const element& at, const std::string& i, const std::string& key) {
                       put(settings, at, key, prefix + i + suffix, kind);
                     });
  };
  const auto entries = [&](const char* name, const char* prefix, Mappings mappings) {
    for_each_element(source, name, path,
                     [&](const element& at, const std::string& i, const std::string& key) {
                       object entry;
                       if (at.get(entry) != simdjson::SUCCESS) throw_invalid(key, "not an object");
                       put_fields(settings, entry, key + ".", std::string(prefix) + i + ".", mappings);
                     });
  };
  put_fields(settings, source, path, "",
             {{"fleet_size", "fleet_size"},
              {"value_by", "value_by", Kind::word},
              {"over_share_worth", "over_share_worth"}});
  values("family_info", {{"below", "below", Kind::word},
                         {"callers", "callers"},
                         {"calls_out", "call_share"},
                         {"calls_over_ns", "calls_over_ns"},
                         {"cold", "cold", Kind::flag},
                         {"cpus", "cores"},
                         {"fresh_for_ns", "fresh_for_ns"},
                         {"halt", "halt", Kind::word},
                         {"heeded_ns", "heeded_ns"},
                         {"idle_ns", "idle_ns"},
                         {"key_kb", "key_kb"},
                         {"mem_limit_kb", "memory_kb"},
                         {"passes_deadline", "tells_patience", Kind::flag},
                         {"run_factor", "run_factor"},
                         {"say", "say", Kind::word},
                         {"stays_for_ns", "call_linger_ns"}});
  with_object(source, "family_info", path, [&](const object& info, const std::string& subpath) {
    row(info, "gauges", subpath, "gauge.", "", Kind::word);
    row(info, "calls_by_class", subpath, "op_type.", ".may_call", Kind::flag);
    row(info, "class_skip_worth", subpath, "op_type.", ".without_share", Kind::number);
  });
  values("invariants", {{"cold_from", "cold_from"},
                        {"warm_after_ns", "warm_after_ns"},
                        {"drain_grace_ns", "drain_grace_ns"},
                        {"fall_multiple", "fall_multiple"}});
  values("limits",
         {{"retry_after", "stay_away_heeded", Kind::flag}, {"max_retry_after_ns", "max_stay_away_ns"}});
  values("clients", {{"marks_retry", "marks_retry", Kind::flag}});
  entries("categories", "op_type.",
          {{"name", "name", Kind::label},
           {"deadline_ns", "op_timeout_ns"},
           {"target_ns", "target_latency_ns"},
           {"key_ttl_ns", "key_window_ns"},
           {"importance", "importance"},
           {"late_share", "late_share"},
           {"aim_stretch", "target_stretch"},
           {"effect", "repeats", Kind::word}});
  entries("parties", "tenant.", {{"name", "name", Kind::label}, {"quota_rps", "quota"}});
  return settings;
}

} // namespace cometshift
