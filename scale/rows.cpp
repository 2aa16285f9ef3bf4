#include "rows.hpp"

#include <cmath>
#include <thread>

namespace cometshift::scale {

namespace {

std::string quoted(std::string_view text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') out += '\\';
    out += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
  }
  return out + '"';
}
std::string numeral(double value) {
  if (!std::isfinite(value)) return "null"; // JSON has no word for it
  char text[40];
  std::snprintf(text, sizeof text, "%.9g", value);
  return text;
}
void put(std::string& out, const char* name, const std::vector<std::pair<std::string, std::string>>& part) {
  out += std::string(",\"") + name + "\":{";
  const char* before = "";
  for (const auto& [key, value] : part) {
    out += before + quoted(key) + ':' + value;
    before = ",";
  }
  out += '}';
}

} // namespace

Row::Row(std::string_view kind, std::uint64_t seed) : kind_(kind), seed_(seed) {}
Row& Row::set(std::string_view name, double value) { return set_.emplace_back(name, numeral(value)), *this; }
Row& Row::set(std::string_view name, std::string_view value) {
  return set_.emplace_back(name, quoted(value)), *this;
}
Row& Row::got(std::string_view name, double value) { return got_.emplace_back(name, numeral(value)), *this; }
Row& Row::got(std::string_view name, std::string_view value) {
  return got_.emplace_back(name, quoted(value)), *this;
}
Row& Row::got(std::string_view name, const Slope& slope) {
  const std::string of(name);
  return got(of + ".exponent", slope.exponent)
      .got(of + ".low", slope.low)
      .got(of + ".high", slope.high)
      .got(of + ".factor", slope.factor)
      .got(of + ".smallest", slope.smallest)
      .got(of + ".largest", slope.largest)
      .got(of + ".sizes", static_cast<double>(slope.sizes))
      .got(of + ".runs", static_cast<double>(slope.runs));
}

std::string Row::json() const {
  std::string out = "{\"row\":" + quoted(kind_) + ",\"build\":" + quoted(COMETSHIFT_BUILD) +
                    ",\"cores\":" + std::to_string(std::thread::hardware_concurrency()) +
                    ",\"seed\":" + std::to_string(seed_);
  put(out, "set", set_);
  put(out, "got", got_);
  return out + '}';
}
void Row::write(std::FILE* out) const { std::fprintf(out, "%s\n", json().c_str()); }

} // namespace cometshift::scale
