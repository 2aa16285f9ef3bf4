// Ids as 16 hex digits, the form used both by the server's and by the simulator's protocol.
#pragma once

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

namespace cometshift {

// Appends `value` as 16 lower-case hex digits.
inline void put_hex(std::string& out, std::uint64_t value) {
  for (int shift = 60; shift >= 0; shift -= 4) out += "0123456789abcdef"[(value >> shift) & 15];
}
// Parses exactly 16 hex digits; returns false if `text` is anything else.
inline bool read_hex(std::string_view text, std::uint64_t& into) {
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, into, 16);
  return text.size() == 16 && error == std::errc() && end == last;
}

} // namespace cometshift
