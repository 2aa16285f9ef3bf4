// The reply to one HTTP call, read from bytes as they come. No I/O.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace cometshift {

class HttpReply {
 public:
  // Header `wanted` is looked for; a body over `most` bytes makes the reply unreadable.
  explicit HttpReply(std::string wanted = {}, std::size_t most = 64 * 1024);

  enum class State { reading, whole, unreadable };
  State feed(std::string_view bytes);
  // The connection has ended: what is not whole by then, or has no told end, is cut off.
  State state() const { return state_; }
  int status() const { return static_cast<int>(parser_.status_code); }
  bool keeps_open() const { return keeps_open_; }
  const std::string& header() const { return value_; } // that was looked for; empty: not there
  std::string& body() { return body_; }

 private:
  static const http_parser_settings hooks;
  static HttpReply& of(http_parser* parser) { return *static_cast<HttpReply*>(parser->data); }

  http_parser parser_;
  std::string wanted_;
  std::size_t most_;
  std::size_t head_bytes_ = 0;
  std::string name_;
  std::string value_;
  std::string body_;
  bool in_value_ = false;
  bool matched_ = false;
  bool keeps_open_ = false;
  State state_ = State::reading;
};

} // namespace cometshift
