#include "http_reply.hpp"

#include <algorithm>
#include <cctype>
#include <memory>

namespace cometshift {

namespace {
constexpr std::size_t most_head = 8 * 1024;

bool alike(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}
} // namespace

const http_parser_settings HttpReply::hooks = [] {
  http_parser_settings hooks;
  http_parser_settings_init(&hooks);
  hooks.on_header_field = [](http_parser* p, const char* at, std::size_t size) {
    HttpReply& r = of(p);
    if (r.in_value_) r.name_.clear();
    r.in_value_ = false;
    r.name_.append(at, size);
    return (r.head_bytes_ += size) > most_head ? 1 : 0;
  };
  hooks.on_header_value = [](http_parser* p, const char* at, std::size_t size) {
    HttpReply& r = of(p);
    if (!r.in_value_) r.matched_ = !r.wanted_.empty() && alike(r.name_, r.wanted_);
    r.in_value_ = true;
    if (r.matched_) r.value_.append(at, size);
    return (r.head_bytes_ += size) > most_head ? 1 : 0;
  };
  hooks.on_body = [](http_parser* p, const char* at, std::size_t size) {
    HttpReply& r = of(p);
    if (r.body_.size() + size > r.most_) return 1;
    r.body_.append(at, size);
    return 0;
  };
  hooks.on_message_complete = [](http_parser* p) {
    HttpReply& r = of(p);
    if (p->status_code < 200) { // only says that another follows
      r.value_.clear();
      return 0;
    }
    r.keeps_open_ = http_should_keep_alive(p) != 0;
    r.state_ = State::whole;
    http_parser_pause(p, 1);
    return 0;
  };
  return hooks;
}();

HttpReply::HttpReply(std::string wanted, std::size_t most) : wanted_(std::move(wanted)), most_(most) {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
}

HttpReply::State HttpReply::feed(std::string_view bytes) {
  if (state_ == State::unreadable) return state_;
  parser_.data = this;
  if (state_ == State::whole) { // against a reply nobody asked for
    if (!bytes.empty()) keeps_open_ = false;
    return state_;
  }
  const std::size_t read = http_parser_execute(&parser_, &hooks, bytes.data(), bytes.size());
  if (state_ == State::whole) {
    if (read < bytes.size()) keeps_open_ = false;
  } else if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
    state_ = State::unreadable;
  }
  return state_;
}

} // namespace cometshift
