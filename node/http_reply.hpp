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
  explicit HttpReply(std::string header_name = {}, std::size_t max_body = 64 * 1024);

  enum class State { reading, complete, malformed };
  State feed(std::string_view bytes);
  // The connection has ended: what is not whole by then, or has no told end, is cut off.
  State state() const { return state_; }
  int status() const { return static_cast<int>(parser_.status_code); }
  bool keep_alive() const { return keep_alive_; }
  const std::string& header() const { return header_value_; } // that was looked for; empty: not there
  std::string& body() { return body_; }

 private:
  static const http_parser_settings callbacks;
  static HttpReply& self(http_parser* parser) { return *static_cast<HttpReply*>(parser->data); }

  http_parser parser_;
  std::string wanted_header_;
  std::size_t max_body_;
  std::size_t header_bytes_ = 0;
  std::string current_header_;
  std::string header_value_;
  std::string body_;
  bool in_value_ = false;
  bool matched_ = false;
  bool keep_alive_ = false;
  State state_ = State::reading;
};

} // namespace cometshift
