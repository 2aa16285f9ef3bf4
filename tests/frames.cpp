// Bytes of encoded frames, and decoding of fields and numbers, valid and malformed.
#include "driver.hpp"
#include "hex.hpp"

void show_bytes(const char* what, const std::string& bytes) {
  std::printf("%-10s", what);
  for (const char c : bytes) std::printf(" %02x", static_cast<unsigned char>(c));
  std::puts("");
}

void show_fields(const char* what, std::string_view payload) {
  std::string_view rest;
  std::string fields;
  const bool whole = frames::for_each_field(
      payload, [&](auto name, auto value) { fields.append(name).append("=").append(value).append(" "); },
      rest);
  std::printf("%-24s %s, %zu left: %s\n", what, whole ? "read" : "overrun", whole ? rest.size() : 0,
              fields.c_str());
}

int main() {
  std::string out;
  frames::put_response(out, frames::response, 7, frames::ok, -1, 0, false, 2);
  show_bytes("served", out + "ok");
  out.clear();
  frames::put_response(out, frames::response, 0x01020304, frames::refused, 0.25, 120, true, 0);
  show_bytes("refused", out);
  out.clear();
  frames::put_response(out, frames::health_response, 2, frames::unhealthy, 0, 0, false, 0);
  show_bytes("checked", out);
  out.clear();
  frames::put_go_away(out);
  show_bytes("no more", out);

  using namespace std::string_literals;
  show_fields("no payload", "");
  show_fields("no fields", "\0body"s);
  show_fields("two and a body", "\2\1a\2\0xx\0\0\0body"s);
  show_fields("a name cut off", "\1\5abc"s);
  show_fields("a size cut off", "\1\1a\2"s);
  show_fields("a value cut off", "\1\1a\3\0xx"s);
  show_fields("fewer than counted", "\2\1a\0\0"s);

  for (const std::uint32_t length : {4u, 5u, 262'144u, 262'145u})
    std::printf("length %u: %s\n", length, frames::is_valid_length(length) ? "possible" : "out of range");
  for (const char* text :
       {"9b1f03aa5c7e2d41", "9b1f03aa5c7e2d4", "9b1f03aa5c7e2d4g", "-b1f03aa5c7e2d41", ""}) {
    std::uint64_t id = 0;
    std::printf("hex %s: %s\n", text, read_hex(text, id) ? "read" : "malformed");
  }
  for (const char* text : {"24.5", "1e3", "", "nan", "inf", "1e999", "2 ", "0x2", "1,5"}) {
    double value = 0;
    std::printf("number %s: %s\n", text,
                frames::parse_number(text, value) ? std::to_string(value).c_str() : "malformed");
  }
}
