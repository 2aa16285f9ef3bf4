#include "settings.hpp"

#include <initializer_list>
#include <limits>

namespace cometshift {

namespace {

using simdjson::dom::element;
using simdjson::dom::object;

enum class Kind { number, flag, word, label }; // a label is a text that is taken as it stands

struct Name {
  const char* wire;
  const char* ours;
  Kind kind = Kind::number;
};
using Names = std::initializer_list<Name>;

[[noreturn]] void bad(const std::string& key, const char* why) {
  throw std::invalid_argument(key + ": " + why);
}

// The wire's words for the values that the module reads as texts, in ours.
std::string our_word(std::string_view word) {
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

void put(Settings& given, const element& at, const std::string& key, const std::string& ours, Kind kind) {
  if (at.is_null()) return;
  bool flag = false;
  double value = 0;
  std::string_view word;
  switch (kind) {
  case Kind::flag:
    if (at.get(flag) != simdjson::SUCCESS) bad(key, "not true or false");
    given[ours] = flag ? 1.0 : 0.0;
    return;
  case Kind::number:
    if (at.get(value) != simdjson::SUCCESS) bad(key, "not a number");
    // Against spans that don't fit into whole nanoseconds.
    if (!(value >= 0) || value > static_cast<double>(std::numeric_limits<Nanos>::max() / 4))
      bad(key, "out of range");
    given[ours] = value;
    return;
  case Kind::word:
  case Kind::label:
    if (at.get(word) != simdjson::SUCCESS) bad(key, "not a text");
    given[ours] = kind == Kind::word ? our_word(word) : std::string(word);
    return;
  }
}
void take_all(Settings& given, const object& from, const std::string& path, const std::string& before,
              Names names) {
  for (const Name& name : names)
    if (element at; from[name.wire].get(at) == simdjson::SUCCESS)
      put(given, at, path + name.wire, before + name.ours, name.kind);
}
// Hands each element of a list to `each`, with its number and its path.
template <class Each>
void take_row(const object& from, const char* name, const std::string& path, Each each) {
  element at;
  if (from[name].get(at) != simdjson::SUCCESS || at.is_null()) return;
  simdjson::dom::array row;
  if (at.get(row) != simdjson::SUCCESS) bad(path + name, "not a list");
  std::size_t i = 0;
  for (const element one : row) {
    each(one, std::to_string(i), path + name + "[" + std::to_string(i) + "]");
    ++i;
  }
}
// Hands the object under a name, if it is there, to `each` with its path.
template <class Each>
void take_part(const object& from, const char* name, const std::string& path, Each each) {
  element at;
  if (from[name].get(at) != simdjson::SUCCESS || at.is_null()) return;
  object part;
  if (at.get(part) != simdjson::SUCCESS) bad(path + name, "not an object");
  each(part, path + name + ".");
}

} // namespace

Settings parse_settings(const object& settings, const std::string& path) {
  Settings given;
  const auto values = [&](const char* name, Names names) {
    take_part(settings, name, path, [&](const object& part, const std::string& inside) {
      take_all(given, part, inside, "", names);
    });
  };
  const auto row = [&](const object& from, const char* name, const std::string& inside, std::string before,
                       const char* after, Kind kind) {
    take_row(from, name, inside, [&](const element& at, const std::string& i, const std::string& key) {
      put(given, at, key, before + i + after, kind);
    });
  };
  const auto entries = [&](const char* name, const char* before, Names names) {
    take_row(settings, name, path, [&](const element& at, const std::string& i, const std::string& key) {
      object entry;
      if (at.get(entry) != simdjson::SUCCESS) bad(key, "not an object");
      take_all(given, entry, key + ".", std::string(before) + i + ".", names);
    });
  };
  take_all(given, settings, path, "",
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
  take_part(settings, "family_info", path, [&](const object& info, const std::string& inside) {
    row(info, "gauges", inside, "gauge.", "", Kind::word);
    row(info, "calls_by_class", inside, "op_type.", ".may_call", Kind::flag);
    row(info, "class_skip_worth", inside, "op_type.", ".without_share", Kind::number);
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
  return given;
}

} // namespace cometshift
