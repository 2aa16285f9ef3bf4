#include "checker.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace cometshift::operator_file {

namespace {

struct Unit {
  const char* word;
  double value;
};
constexpr Unit times[] = {{"ns", 1},     {"us", 1e3},          {"ms", ms},
                          {"s", second}, {"min", 60 * second}, {"h", 3600 * second},
                          {"d", day}};
constexpr Unit sizes[] = {{"B", 1},     {"KB", 1e3},  {"MB", 1e6}, {"GB", 1e9},
                          {"KiB", kib}, {"MiB", mib}, {"GiB", gib}};

template <std::size_t N>
const Unit* unit_in(const Unit (&units)[N], std::string_view word) {
  for (const Unit& unit : units)
    if (word == unit.word) return &unit;
  return nullptr;
}

// Formats a value with the largest unit that divides it evenly.
std::string format_quantity(double value, bool time) {
  const Unit* best = nullptr;
  const auto look = [&](const auto& units) {
    for (const Unit& unit : units)
      if (std::fmod(value, unit.value) == 0 && (!best || unit.value > best->value)) best = &unit;
  };
  time ? look(times) : look(sizes);
  char text[32];
  std::snprintf(text, sizeof text, "%g%s", value / best->value, best->word);
  return text;
}

// Levenshtein distance.
std::size_t distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j < row.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t corner = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t above = row[j];
      row[j] = std::min({above + 1, row[j - 1] + 1, corner + (a[i - 1] != b[j - 1])});
      corner = above;
    }
  }
  return row[b.size()];
}

// Checks for a numeric host and a port only; other errors are found when the socket is opened.
bool address_like(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  unsigned port = 0;
  const char* last = text.data() + text.size();
  const auto [end, wrong] = std::from_chars(text.data() + colon + 1, last, port);
  const std::string_view host = text.substr(0, colon);
  return wrong == std::errc() && end == last && port > 0 && port <= 65535 &&
         host.find_first_not_of("0123456789abcdefABCDEF.:[]") == std::string_view::npos;
}

} // namespace

std::string suggest_nearest(std::string_view word, const std::vector<std::string>& candidates) {
  std::string best;
  std::size_t min_value = word.size() / 2 + 1;
  for (const std::string& one : candidates)
    if (const std::size_t d = distance(word, one); d < min_value) {
      min_value = d;
      best = one;
    }
  return best.empty() ? "" : "; did you mean " + best + "?";
}

bool Checker::parse_quantity(const Key& key, const Value& value, double& result) {
  const bool time = key.sort == ValueKind::time;
  const char* examples = time ? "\"500ms\", \"10s\" or \"5min\"" : "\"64KiB\" or \"16MiB\"";
  std::string word = value.type;
  double amount = 0;
  if (const auto* number = std::get_if<double>(&value.held)) {
    amount = *number;
    if (word.empty()) {
      char text[32];
      std::snprintf(text, sizeof text, "%g", amount);
      wrong(value.at, std::string(key.name) + ": a figure without its unit; \"" + text +
                          (time ? "ms" : "MiB") + "\"? It takes " + examples);
      return false;
    }
  } else if (const auto* text = std::get_if<std::string>(&value.held)) {
    char* end = nullptr;
    amount = std::strtod(text->c_str(), &end);
    if (end == text->c_str()) {
      wrong(value.at,
            std::string(key.name) + ": not a " + (time ? "time" : "size") + "; it takes " + examples);
      return false;
    }
    word = end;
  } else {
    wrong(value.at, std::string(key.name) + ": not a " + (time ? "time" : "size") + "; it takes " + examples);
    return false;
  }
  const Unit* unit = time ? unit_in(times, word) : unit_in(sizes, word);
  if (!unit) {
    const bool other = time ? unit_in(sizes, word) != nullptr : unit_in(times, word) != nullptr;
    wrong(value.at, std::string(key.name) + ": " +
                        (word.empty() ? "a figure without its unit"
                         : other      ? "a unit of " + std::string(time ? "size" : "time") + ", " + word
                                      : "an unknown unit, " + word) +
                        "; it takes " + examples);
    return false;
  }
  result = amount * unit->value;
  if (!(result >= key.min_value && result <= key.max_value)) {
    wrong(value.at, std::string(key.name) + ": out of range; from " + format_quantity(key.min_value, time) +
                        " to " + format_quantity(key.max_value, time));
    return false;
  }
  return true;
}

bool Checker::parse_fraction(const std::string& name, const Value& value, double min_value, double max_value,
                             double& result) {
  const auto* text = std::get_if<std::string>(&value.held);
  char* end = nullptr;
  if (text) result = std::strtod(text->c_str(), &end) / 100;
  if (!text || end == text->c_str() || std::string_view(end) != "%") {
    wrong(value.at, name + ": not a part; it takes \"20%\"");
    return false;
  }
  if (result >= min_value && result <= max_value) return true;
  char range[64];
  std::snprintf(range, sizeof range, ": out of range; from %g%% to %g%%", 100 * min_value, 100 * max_value);
  wrong(value.at, name + range);
  return false;
}

void Checker::parse_value(Settings& settings, const Key& key, const Value& value,
                          const std::string& setting_name) {
  double amount = 0;
  switch (key.sort) {
  case ValueKind::flag:
    if (const bool* flag = std::get_if<bool>(&value.held))
      settings[setting_name] = *flag ? 1.0 : 0.0;
    else
      wrong(value.at, std::string(key.name) + ": not #true or #false");
    return;
  case ValueKind::time:
  case ValueKind::size:
    if (parse_quantity(key, value, amount)) settings[setting_name] = std::floor(amount);
    return;
  case ValueKind::fraction:
    if (parse_fraction(key.name, value, key.min_value, key.max_value, amount))
      settings[setting_name] = amount;
    return;
  case ValueKind::count: {
    const double* whole = std::get_if<double>(&value.held);
    if (!whole || *whole != std::floor(*whole) || !(*whole >= key.min_value && *whole <= key.max_value)) {
      char range[96];
      std::snprintf(range, sizeof range, ": not a whole number from %g to %g", key.min_value, key.max_value);
      return wrong(value.at, key.name + std::string(range));
    }
    settings[setting_name] = *whole;
    return;
  }
  case ValueKind::address: {
    const auto* text = std::get_if<std::string>(&value.held);
    if (!text || !address_like(*text))
      return wrong(value.at,
                   std::string(key.name) + ": not an address with a port, such as \"127.0.0.1:6001\"");
    settings[setting_name] = *text;
    return;
  }
  case ValueKind::folder:
  case ValueKind::word: {
    const auto* text = std::get_if<std::string>(&value.held);
    if (!text || text->empty()) return wrong(value.at, std::string(key.name) + ": not a text");
    if (key.sort == ValueKind::word && std::none_of(key.choices.begin(), key.choices.end(),
                                                    [&](const char* word) { return *text == word; })) {
      std::string all;
      for (const char* word : key.choices) all += std::string(all.empty() ? "" : ", ") + word;
      return wrong(value.at, std::string(key.name) + ": " + *text + " is none of its words: " + all);
    }
    settings[setting_name] = *text;
    return;
  }
  }
}

} // namespace cometshift::operator_file
