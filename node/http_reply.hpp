// Incremental parser of the reply to one HTTP call. No I/O.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace cometshift {

// Holds the status, one header and the body of a reply.
class HttpReply {
 public:
  // Keeps the value of header `header_name`. A body of more than `max_body` bytes makes the reply malformed.
  explicit HttpReply(std::string header_name = {}, std::size_t max_body = 64 * 1024);

  enum class State { reading, complete, malformed };
  // Parses more bytes and returns the new state.
  State feed(std::string_view bytes);
  // A reply that is still `reading` when the connection ends is truncated; that includes one without a
  // length.
  State state() const { return state_; }
  int status() const { return static_cast<int>(parser_.status_code); }
  // The connection can be used for another call.
  bool keep_alive() const { return keep_alive_; }
  // The value of the header that was asked for; empty if the reply doesn't have it.
  const std::string& header() const { return header_value_; }
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
