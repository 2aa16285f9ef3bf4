#include "script.hpp"

#include <map>
#include <sstream>

namespace cometshift::standin {

namespace {
constexpr double second_ns = 1e9;
constexpr double most_seconds = 86400;
const std::map<std::string, bool>& known() { // whether a figure belongs to it
  static const std::map<std::string, bool> all{{"link-break", false},    {"link-break-within", false},
                                               {"notices-twice", true},  {"remarks", true},
                                               {"speed", true},          {"runs-fail", true},
                                               {"records-ms", true},     {"records-silent", true},
                                               {"records-spoilt", true}, {"records-away", true},
                                               {"records-reset", true},  {"records-down", false},
                                               {"records-up", false},    {"announce-silent", true},
                                               {"announce-down", false}, {"announce-up", false},
                                               {"move", false},          {"reload", false},
                                               {"leave", false},         {"strangers", true},
                                               {"callers-reset", true},  {"recording", true},
                                               {"rate", true},           {"resend", true}};
  return all;
}
} // namespace

std::vector<Fault> script_in(std::string_view text, const std::string& file) {
  std::vector<Fault> faults;
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
    if (!(words >> fault.what) || !known().contains(fault.what)) bad("no fault: " + fault.what);
    if (known().at(fault.what) && (!(words >> fault.figure) || !(fault.figure >= 0)))
      bad(fault.what + ": a figure is missing");
    std::string more;
    if (words >> more) bad("more than a fault: " + more);
    fault.at = static_cast<Nanos>(at * second_ns);
    if (!faults.empty() && fault.at < faults.back().at) bad("before the line above it");
    faults.push_back(fault);
  }
  return faults;
}

} // namespace cometshift::standin
