// The frames that balancers and servers exchange: bytes to fields and back, no I/O. Nothing is copied on
// reading.
//
//   frame  = length:4 type:1 stream:4 payload      length counts all that follows it; little-endian
//   fields = count:1, then for each: size:1 name size:2 value
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cometshift::frames {

enum Type : std::uint8_t {
  request = 10,
  response = 11,
  health_check = 20,
  health_response = 21,
  go_away = 30,
  peer_hello = 40, // between servers of a fleet only (peers/)
  peer_message = 41
};
enum Code : std::uint8_t { ok = 0, unhealthy = 1, failed = 2, refused = 14 };

constexpr std::size_t header_size = 9; // of a frame, its length included
constexpr std::uint32_t min_length = 5;
constexpr std::uint32_t max_length = 262'144;

inline std::uint32_t read_le(const char* data, int size) {
  std::uint32_t value = 0;
  for (int i = size; i-- > 0;) value = value << 8 | static_cast<unsigned char>(data[i]);
  return value;
}
inline bool is_valid_length(std::uint32_t length) { return length >= min_length && length <= max_length; }

// Hands each field to `each(name, value)`; what follows the fields is left in `rest`. False if they overrun
// the payload.
template <class Each>
bool for_each_field(std::string_view payload, Each each, std::string_view& rest) {
  if (payload.empty()) return false;
  unsigned count = static_cast<unsigned char>(payload.front());
  payload.remove_prefix(1);
  const auto take = [&payload](int size_bytes, std::string_view& out) {
    if (payload.size() < static_cast<std::size_t>(size_bytes)) return false;
    const std::size_t size = read_le(payload.data(), size_bytes);
    payload.remove_prefix(static_cast<std::size_t>(size_bytes));
    if (payload.size() < size) return false;
    out = payload.substr(0, size);
    payload.remove_prefix(size);
    return true;
  };
  for (; count > 0; --count) {
    std::string_view name, value;
    if (!take(1, name) || !take(2, value)) return false;
    each(name, value);
  }
  rest = payload;
  return true;
}

// What an answer may say beside its code; nothing is said by what is negative or false.
void put_response(std::string& out, Type type, std::uint32_t stream, Code code, double feedback,
                  std::int64_t retry_after_ms, bool give_up, std::size_t body_size);
void put_go_away(std::string& out);
void put_frame(std::string& out, Type type, std::uint32_t stream, std::string_view payload);

// Whole texts only: whole decimal numbers, and numbers with a fraction.
bool parse_integer(std::string_view text, std::int64_t& into);
bool parse_number(std::string_view text, double& into);

} // namespace cometshift::frames
