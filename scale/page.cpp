#include "page.hpp"

#include "commands.hpp"
#include "slope.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <memory>
#include <optional>
#include <simdjson.h>
#include <sstream>
#include <stdexcept>

namespace cometshift::scale {

namespace {

constexpr std::string_view template_from = "<!-- figures\n", template_to = "-->\n";
constexpr std::string_view figures_to = "<!-- end of figures -->\n";
constexpr double no_size = 1e12; // a limit that is passed only beyond so many is never passed

std::string formed(const char* form, double value) {
  char text[64];
  std::snprintf(text, sizeof text, form, value);
  return text;
}
// Digits enough for two that count, thousands apart.
std::string count_of(double value) {
  if (std::abs(value) < 100 && value != std::floor(value)) return formed("%.2g", value);
  std::string digits = formed("%.0f", value);
  for (auto at = static_cast<std::ptrdiff_t>(digits.size()) - 3; at > (digits[0] == '-' ? 1 : 0); at -= 3)
    digits.insert(static_cast<std::size_t>(at), ",");
  return digits;
}
std::string in_units(double value, const std::vector<std::pair<double, const char*>>& units) {
  for (const auto& [size, name] : units)
    if (std::abs(value) >= size)
      return formed(std::abs(value) < 10 * size ? "%.2g" : "%.0f", value / size) + name;
  return value == 0 ? std::string("0") + units.back().second
                    : formed("%.2g", value / units.back().first) + units.back().second;
}
std::string in_form(double value, const std::string& form) {
  if (form == "part") {
    const double percent = 100 * value;
    return (std::abs(percent) >= 100 ? count_of(std::round(percent)) : formed("%.2g", percent)) + "%";
  }
  if (form == "bytes") return in_units(value, {{1e9, " GB"}, {1e6, " MB"}, {1e3, " kB"}, {1, " B"}});
  if (form == "s") return in_units(value, {{60, " min"}, {1, " s"}, {1e-3, " ms"}, {1e-6, " us"}});
  if (form == "ms") return in_form(value / 1e3, "s");
  if (form == "us") return in_form(value / 1e6, "s");
  if (form == "count") return count_of(value);
  if (form == "x") return formed("%.2f", value);
  throw std::runtime_error("no form is called " + form);
}
double median(std::vector<double> all) {
  std::sort(all.begin(), all.end());
  const std::size_t half = all.size() / 2;
  return all.size() % 2 ? all[half] : (all[half - 1] + all[half]) / 2;
}
std::string beyond(const Slope& slope, double size) {
  return size > slope.largest * 1.0001 ? " (extrapolated, " + count_of(slope.largest) + " ran)" : "";
}

} // namespace

const std::vector<Results::Kept>& Results::rows_of(const std::string& file) {
  if (const auto at = files_.find(file); at != files_.end()) return at->second;
  std::ifstream in(folder_ + "/" + file);
  if (!in) throw std::runtime_error(file + ": can't be read");
  std::vector<Kept> rows;
  simdjson::dom::parser parser;
  std::string line;
  for (int number = 1; std::getline(in, line); ++number) {
    if (line.empty()) continue;
    Kept row;
    const auto text_of = [](simdjson::dom::element value) {
      std::string_view text;
      double fraction = 0;
      if (!value.get_string().get(text)) return std::string(text);
      return value.get_double().get(fraction) ? std::string("null") : formed("%.9g", fraction);
    };
    simdjson::dom::element all;
    std::string_view kind;
    simdjson::dom::object set, got;
    if (parser.parse(line).get(all) || all["row"].get(kind) || all["set"].get(set) || all["got"].get(got))
      throw std::runtime_error(file + ", line " + std::to_string(number) + ": no row");
    row.kind = kind;
    for (const auto [name, value] : set) row.set[std::string(name)] = text_of(value);
    for (const auto [name, value] : got) {
      if (double fraction = 0; !value.get_double().get(fraction)) row.numbers[std::string(name)] = fraction;
      row.texts[std::string(name)] = text_of(value);
    }
    rows.push_back(std::move(row));
  }
  return files_.emplace(file, std::move(rows)).first->second;
}

std::string Results::figure(std::string_view words) {
  std::istringstream in{std::string(words)};
  std::string file, kind, settings, name, form, more;
  if (!(in >> file >> kind >> settings >> name >> form) || in >> more)
    throw std::runtime_error("not understood: {" + std::string(words) + "}");
  const auto missing = [&] { return std::runtime_error("no row has {" + std::string(words) + "}"); };

  std::vector<const Kept*> found;
  for (const Kept& row : rows_of(file)) {
    if (row.kind != kind) continue;
    bool fits = true;
    std::istringstream wanted(settings == "-" ? "" : settings);
    for (std::string one; std::getline(wanted, one, ',');) {
      const auto is = one.find('=');
      if (is == std::string::npos) throw std::runtime_error("no setting: " + one);
      const auto at = row.set.find(one.substr(0, is));
      fits = fits && at != row.set.end() && at->second == one.substr(is + 1);
    }
    if (fits) found.push_back(&row);
  }
  if (found.empty()) throw missing();

  if (form == "text") {
    const auto at = found.front()->texts.find(name);
    if (at == found.front()->texts.end()) throw missing();
    return at->second;
  }
  const auto number = [&](const std::string& of) {
    std::vector<double> all;
    for (const Kept* row : found)
      if (const auto at = row->numbers.find(of); at != row->numbers.end()) all.push_back(at->second);
    if (all.empty()) throw missing();
    return median(std::move(all));
  };
  const auto mark = name.find_first_of("@>^");
  if (mark == std::string::npos) return in_form(number(name), form);

  if (found.size() > 1) throw std::runtime_error("more than one slope is {" + std::string(words) + "}");
  const std::string of = name.substr(0, mark);
  Slope slope;
  slope.exponent = number(of + ".exponent");
  slope.low = number(of + ".low");
  slope.high = number(of + ".high");
  slope.factor = number(of + ".factor");
  slope.largest = number(of + ".largest");
  if (name[mark] == '^')
    return formed("%.2f", slope.exponent) + " (" + formed("%.2f", slope.low) + " to " +
           formed("%.2f", slope.high) + ")";
  double given = 0;
  try {
    given = std::stod(name.substr(mark + 1));
  } catch (const std::exception&) {
    throw std::runtime_error("no number in {" + std::string(words) + "}");
  }
  if (name[mark] == '@') return in_form(slope.at(given), form) + beyond(slope, given);
  const double size = slope.exponent > 0 ? std::pow(given / slope.factor, 1 / slope.exponent) : no_size;
  if (!(size < no_size)) return "never";
  return in_form(std::ceil(size), form) + beyond(slope, size);
}

std::string written(std::string_view page, Results& results) {
  std::string out;
  const auto line_at = [&](std::size_t at) {
    return "line " +
           std::to_string(1 + std::count(page.begin(), page.begin() + static_cast<std::ptrdiff_t>(at), '\n'));
  };
  for (std::size_t at = 0;;) {
    const std::size_t from = page.find(template_from, at);
    if (from == std::string_view::npos) return out.append(page.substr(at));
    const std::size_t body = from + template_from.size();
    const std::size_t to = page.find(template_to, body);
    const std::size_t end = page.find(figures_to, body);
    if (to == std::string_view::npos || end == std::string_view::npos || end < to)
      throw std::runtime_error(line_at(from) + ": a template without its end");
    out.append(page.substr(at, to + template_to.size() - at));
    for (std::size_t read = body; read < to;) {
      const std::size_t open = std::min(page.find('{', read), to);
      out.append(page.substr(read, open - read));
      if (open == to) break;
      const std::size_t close = page.find('}', open);
      if (close >= to) throw std::runtime_error(line_at(open) + ": a figure without its end");
      try {
        out += results.figure(page.substr(open + 1, close - open - 1));
      } catch (const std::runtime_error& e) {
        throw std::runtime_error(line_at(open) + ": " + e.what());
      }
      read = close + 1;
    }
    out += figures_to;
    at = end + figures_to.size();
  }
}

namespace {

int run(const std::string& page, const std::string& folder, bool check) {
  std::ifstream in(page);
  std::stringstream all;
  if (!in || !(all << in.rdbuf())) return std::fprintf(stderr, "%s: can't be read\n", page.c_str()), 2;
  try {
    Results results(folder);
    const std::string is = all.str(), should = written(is, results);
    if (is == should) return 0;
    if (check) {
      const auto differ = std::mismatch(is.begin(), is.end(), should.begin(), should.end()).first;
      std::fprintf(stderr,
                   "%s: line %td differs from the kept results: write it with cometshift-scale page\n",
                   page.c_str(), 1 + std::count(is.begin(), differ, '\n'));
      return 1;
    }
    std::ofstream file(page);
    if (!(file << should << std::flush))
      return std::fprintf(stderr, "%s: can't be written\n", page.c_str()), 2;
    return 0;
  } catch (const std::runtime_error& e) {
    return std::fprintf(stderr, "%s: %s\n", page.c_str(), e.what()), 2;
  }
}

} // namespace

void add_page(CLI::App& app, int& code) {
  struct Options {
    std::string page = "docs/CAPACITY.md", results = "docs/experiments/scale";
    bool check = false;
  };
  const auto options = std::make_shared<Options>();
  CLI::App& page = *app.add_subcommand("page", "Writes a page's figures from kept results.");
  page.add_option("--page", options->page, "the page");
  page.add_option("--results", options->results, "the folder of kept rows");
  page.add_flag("--check", options->check, "writes nothing; exits with 1 where page and results differ");
  page.callback([options, &code] { code = run(options->page, options->results, options->check); });
}

} // namespace cometshift::scale
