// Encoding and decoding of the frames that balancers and servers exchange. No I/O; decoding copies nothing.
//
//   frame  = length:4 type:1 stream:4 payload      length counts the bytes after it; little-endian
//   fields = count:1, then for each: size:1 name size:2 value
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cometshift::frames {

// Frame types; the numbers are part of the wire protocol.
enum Type : std::uint8_t {
  request = 10,
  response = 11,
  health_check = 20,
  health_response = 21,
  go_away = 30,    // no new requests are taken on this connection
  peer_hello = 40, // this and the next only between servers of a fleet (peers/)
  peer_message = 41
};
// Result codes of responses; the numbers are part of the wire protocol.
enum Code : std::uint8_t { ok = 0, unhealthy = 1, failed = 2, refused = 14 };

constexpr std::size_t header_size = 9; // length, type and stream
// Bounds of the length field.
constexpr std::uint32_t min_length = 5;
constexpr std::uint32_t max_length = 262'144;

// Reads an unsigned little-endian integer of `size` bytes, at most 4.
inline std::uint32_t read_le(const char* data, int size) {
  std::uint32_t value = 0;
  for (int i = size; i-- > 0;) value = value << 8 | static_cast<unsigned char>(data[i]);
  return value;
}
inline bool is_valid_length(std::uint32_t length) { return length >= min_length && length <= max_length; }

// Calls `each(name, value)` for each field and stores the bytes after the fields in `rest`. Returns false if
// the fields overrun the payload.
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

// Appends the head of a response whose body of `body_size` bytes follows. A negative `feedback`, a
// `retry_after_ms` of 0 or less and a false `give_up` are left out.
void put_response(std::string& out, Type type, std::uint32_t stream, Code code, double feedback,
                  std::int64_t retry_after_ms, bool give_up, std::size_t body_size);
// Appends a frame without fields.
void put_go_away(std::string& out);
// Appends a frame with this payload.
void put_frame(std::string& out, Type type, std::uint32_t stream, std::string_view payload);

// Parse a decimal integer, or a finite decimal number. Return false unless the whole text is consumed.
bool parse_integer(std::string_view text, std::int64_t& into);
bool parse_number(std::string_view text, double& into);

} // namespace cometshift::frames
