#include "http_reply.hpp"

#include <algorithm>
#include <cctype>
#include <memory>

namespace cometshift {

namespace {
constexpr std::size_t max_header_bytes = 8 * 1024;

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}
} // namespace

const http_parser_settings HttpReply::callbacks = [] {
  http_parser_settings callbacks;
  http_parser_settings_init(&callbacks);
  callbacks.on_header_field = [](http_parser* p, const char* at, std::size_t size) {
    HttpReply& r = self(p);
    if (r.in_value_) r.current_header_.clear();
    r.in_value_ = false;
    r.current_header_.append(at, size);
    return (r.header_bytes_ += size) > max_header_bytes ? 1 : 0;
  };
  callbacks.on_header_value = [](http_parser* p, const char* at, std::size_t size) {
    HttpReply& r = self(p);
    if (!r.in_value_)
      r.matched_ = !r.wanted_header_.empty() && equals_ignoring_case(r.current_header_, r.wanted_header_);
    r.in_value_ = true;
    if (r.matched_) r.header_value_.append(at, size);
    return (r.header_bytes_ += size) > max_header_bytes ? 1 : 0;
  };
  callbacks.on_body = [](http_parser* p, const char* at, std::size_t size) {
    HttpReply& r = self(p);
    if (r.body_.size() + size > r.max_body_) return 1;
    r.body_.append(at, size);
    return 0;
  };
  callbacks.on_message_complete = [](http_parser* p) {
    HttpReply& r = self(p);
    if (p->status_code < 200) { // an interim response: the final one follows
      r.header_value_.clear();
      return 0;
    }
    r.keep_alive_ = http_should_keep_alive(p) != 0;
    r.state_ = State::complete;
    http_parser_pause(p, 1);
    return 0;
  };
  return callbacks;
}();

HttpReply::HttpReply(std::string header_name, std::size_t max_body)
    : wanted_header_(std::move(header_name)), max_body_(max_body) {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
}

HttpReply::State HttpReply::feed(std::string_view bytes) {
  if (state_ == State::malformed) return state_;
  parser_.data = this;
  if (state_ == State::complete) { // unsolicited bytes: the connection must not be reused
    if (!bytes.empty()) keep_alive_ = false;
    return state_;
  }
  const std::size_t read = http_parser_execute(&parser_, &callbacks, bytes.data(), bytes.size());
  if (state_ == State::complete) {
    if (read < bytes.size()) keep_alive_ = false;
  } else if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
    state_ = State::malformed;
  }
  return state_;
}

} // namespace cometshift
