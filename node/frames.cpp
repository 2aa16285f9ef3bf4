#include "frames.hpp"

#include <charconv>
#include <cmath>

namespace cometshift::frames {

namespace {

void put_number(std::string& out, std::uint64_t value, int bytes) {
  for (; bytes > 0; --bytes, value >>= 8) out += static_cast<char>(value & 0xff);
}
template <class N>
void put_field(std::string& out, std::string_view name, N value) {
  char digits[32];
  const std::string_view text(
      digits, static_cast<std::size_t>(std::to_chars(digits, digits + sizeof digits, value).ptr - digits));
  put_number(out, name.size(), 1);
  out += name;
  put_number(out, text.size(), 2);
  out += text;
}
template <class N>
bool parse_all(std::string_view text, N& into) {
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, into);
  return error == std::errc() && end == last;
}

} // namespace

void put_response(std::string& out, Type type, std::uint32_t stream, Code code, double feedback,
                  std::int64_t retry_after_ms, bool give_up, std::size_t body_size) {
  const std::size_t start = out.size();
  put_number(out, 0, 4);
  put_number(out, type, 1);
  put_number(out, stream, 4);
  put_number(out, code, 1);
  put_number(out, (feedback >= 0 ? 1u : 0u) + (retry_after_ms > 0 ? 1u : 0u) + (give_up ? 1u : 0u), 1);
  if (feedback >= 0) put_field(out, "feedback", feedback);
  if (retry_after_ms > 0) put_field(out, "later", retry_after_ms);
  if (give_up) put_field(out, "giveup", 1);
  std::size_t length = out.size() - start - 4 + body_size;
  for (std::size_t i = 0; i < 4; ++i, length >>= 8) out[start + i] = static_cast<char>(length & 0xff);
}

void put_go_away(std::string& out) { put_frame(out, go_away, 0, {}); }

void put_frame(std::string& out, Type type, std::uint32_t stream, std::string_view payload) {
  put_number(out, min_length + payload.size(), 4);
  put_number(out, type, 1);
  put_number(out, stream, 4);
  out += payload;
}

bool parse_integer(std::string_view text, std::int64_t& into) { return parse_all(text, into); }
bool parse_number(std::string_view text, double& into) {
  return parse_all(text, into) && std::isfinite(into);
}

} // namespace cometshift::frames
