#include "timeline.hpp"

#include <algorithm>
#include <cstdio>

namespace cometshift::fleet {

namespace {
constexpr double second = 1e9;
constexpr double width = 60, left = 60, row = 34, top = 30; // pixels; width: per second
// Acts under one token that are closer together than this are drawn as one bar.
constexpr Nanos max_gap_in_holding = 400'000'000;
constexpr const char* colours[] = {"#4878a8", "#b07030", "#508858", "#905080",
                                   "#707070", "#a04848", "#308890"};

double x_of(Nanos at) { return left + width * static_cast<double>(at) / second; }
template <class... Args>
void put(std::string& out, const char* format, Args... args) {
  char words[512];
  std::snprintf(words, sizeof words, format, args...);
  out += words;
}
} // namespace

std::string timeline(const ExclusionChecker& checker, const std::vector<Fault>& faults, unsigned members,
                     Nanos length) {
  std::string out;
  put(out,
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" height=\"%.0f\" font-family=\"sans-serif\" "
      "font-size=\"9\">\n",
      x_of(length) + 20, top + row * members + 30);
  for (unsigned m = 1; m <= members; ++m) {
    const double y = top + row * (m - 1);
    put(out,
        "<text x=\"4\" y=\"%.1f\">member %u</text><line x1=\"%.0f\" x2=\"%.1f\" y1=\"%.1f\" y2=\"%.1f\" "
        "stroke=\"#ccc\"/>\n",
        y + 12, m, left, x_of(length), y + 9, y + 9);
  }
  for (double at = 0; at <= static_cast<double>(length) / second; at += 5)
    put(out, "<text x=\"%.1f\" y=\"%.1f\">%.0f s</text>\n", left + width * at, top + row * members + 20, at);
  // A bar is a sequence of acts of one task, member and token. Tasks are placed below each other within a
  // member's row.
  std::vector<std::string> tasks;
  for (const Act& act : checker.acts())
    if (std::find(tasks.begin(), tasks.end(), act.task) == tasks.end()) tasks.push_back(act.task);
  std::sort(tasks.begin(), tasks.end());
  for (std::size_t t = 0; t < tasks.size(); ++t) {
    const Act* first = nullptr;
    const Act* last = nullptr;
    const auto bar = [&] {
      if (!first) return;
      const double y = top + row * (first->member - 1) + 2 +
                       16.0 * static_cast<double>(t) / static_cast<double>(tasks.size());
      put(out,
          "<rect x=\"%.2f\" y=\"%.1f\" width=\"%.2f\" height=\"%.1f\" fill=\"%s\"><title>%s, token "
          "%llx</title></rect>\n",
          x_of(first->begun), y, std::max(1.0, x_of(std::max(last->ended, last->begun)) - x_of(first->begun)),
          14.0 / static_cast<double>(tasks.size()), colours[t % std::size(colours)], first->task.c_str(),
          static_cast<unsigned long long>(first->token.raw));
    };
    for (const Act& act : checker.acts()) {
      if (act.task != tasks[t]) continue;
      if (act.refused) {
        put(out,
            "<circle cx=\"%.2f\" cy=\"%.1f\" r=\"3\" fill=\"red\"><title>refused, token "
            "%llx</title></circle>\n",
            x_of(act.begun), top + row * (act.member - 1) + 9,
            static_cast<unsigned long long>(act.token.raw));
        continue;
      }
      if (!first || act.token != first->token || act.begun - last->begun > max_gap_in_holding) {
        bar();
        first = &act;
      }
      last = &act;
    }
    bar();
  }
  for (const Fault& fault : faults)
    for (const unsigned on : {fault.a, fault.b}) {
      if (on == 0 && !(fault.a == 0 && fault.b == 0)) continue;
      const double y = top + row * (on == 0 ? 0 : on - 1) + (on == 0 ? -8 : 28);
      put(out,
          "<text x=\"%.2f\" y=\"%.1f\" fill=\"#a00\">%s</text><line x1=\"%.2f\" x2=\"%.2f\" y1=\"%.1f\" "
          "y2=\"%.1f\" "
          "stroke=\"#a00\"/>\n",
          x_of(fault.at) + 2, y, fault.kind.c_str(), x_of(fault.at), x_of(fault.at), y - 26, y);
      if (on == 0) break;
    }
  return out + "</svg>\n";
}

} // namespace cometshift::fleet
