#include "interpreter.hpp"

#include "address.hpp"
#include "hex.hpp"
#include "log.hpp"

#include <asio/post.hpp>

#include <array>
#include <charconv>
#include <cstring>
#include <utility>

namespace cometshift {

namespace {

using simdjson::dom::element;
using simdjson::dom::object;

constexpr std::size_t max_line_bytes = 64 * 1024; // a notice with the largest result takes a tenth of it
constexpr int reads_per_turn = 8;
constexpr std::string_view base64_digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string_view text_member(const object& o, const char* name) {
  std::string_view found;
  return o[name].get(found) == simdjson::SUCCESS ? found : std::string_view();
}
std::uint64_t unsigned_member(const object& o, const char* name) {
  std::uint64_t found = 0;
  return o[name].get(found) == simdjson::SUCCESS ? found : 0;
}
Nanos milliseconds_member(const object& o, const char* name) {
  double found = 0;
  if (o[name].get(found) != simdjson::SUCCESS || !(found >= 0) || found > 1e12) return 0;
  return static_cast<Nanos>(found * 1e6);
}
bool parse_id(const object& o, OpId& into) { return read_hex(text_member(o, "uid"), into.raw); }
bool parse_content(const object& o, std::string& into) {
  std::string_view found;
  return o["content"].get(found) == simdjson::SUCCESS && decode_base64(found, into);
}

} // namespace

void encode_base64(std::string& out, std::string_view bytes) {
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k)
      group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
    for (std::size_t k = 0; k < 4; ++k)
      out += i + k <= bytes.size() ? base64_digits[group >> (18 - 6 * k) & 63] : '=';
  }
}

bool decode_base64(std::string_view text, std::string& out) {
  static const std::array<signed char, 256> value = [] {
    std::array<signed char, 256> table;
    table.fill(-1);
    for (std::size_t i = 0; i < base64_digits.size(); ++i)
      table[static_cast<unsigned char>(base64_digits[i])] = static_cast<signed char>(i);
    return table;
  }();
  out.clear();
  if (text.size() % 4 != 0) return false;
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') ++padding;
  out.reserve(text.size() / 4 * 3);
  for (std::size_t i = 0; i < text.size(); i += 4) {
    std::uint32_t group = 0;
    const std::size_t digits_present = i + 4 == text.size() ? 4 - padding : 4;
    for (std::size_t k = 0; k < 4; ++k) {
      const int v = k < digits_present ? value[static_cast<unsigned char>(text[i + k])] : 0;
      if (v < 0) return false;
      group = group << 6 | static_cast<std::uint32_t>(v);
    }
    for (std::size_t k = 0; k + 1 < digits_present; ++k)
      out += static_cast<char>(group >> (16 - 8 * k) & 0xff);
  }
  return true;
}

InterpreterLink::InterpreterLink(asio::io_context& io, const std::string& address, std::size_t max_unwritten,
                                 Handler& handler)
    : io_(io), address_(require_endpoint(address)), socket_(io), reconnect_timer_(io), silence_timer_(io),
      max_unwritten_(max_unwritten), handler_(handler), input_(max_line_bytes + simdjson::SIMDJSON_PADDING) {
  asio::post(io_, [this] { connect(); });
}

// ---- connection

void InterpreterLink::mark_down() {
  if (!std::exchange(up_, false)) return;
  handler_.link_down();
}

void InterpreterLink::connect() {
  const std::uint64_t link = ++link_generation_;
  mark_down();
  connected_ = write_pending_ = handing_over_ = read_pending_ = received_ = banner_received_ = false;
  filled_ = written_ = 0;
  output_.clear();
  asio::error_code ignored;
  socket_.close(ignored);
  socket_ = asio::ip::tcp::socket(io_);
  arm_silence_timer();
  socket_.async_connect(address_, [this, link](asio::error_code error) {
    if (link != link_generation_) return;
    if (error) return link_failed(error.message().c_str());
    asio::error_code failed;
    socket_.non_blocking(true, failed);
    socket_.set_option(asio::ip::tcp::no_delay(true), failed);
    connected_ = true;
    answered_before_link_ = answered_queries_;
    output_ = "{\"action\":\"CONNECT\",\"pos\":" + std::to_string(last_position_) + "}\n";
    flush();
    if (link == link_generation_ && connected_) wait_readable();
  });
}

// Replaces a link that doesn't work: a connection attempt that never completes, or a peer that has
// disappeared without closing or never sends. Runs go on meanwhile, and all their notices are sent again on
// the new link.
void InterpreterLink::arm_silence_timer() {
  if (silence_timeout_ <= 0) return;
  queries_at_last_check_ = sent_queries_;
  silence_timer_.expires_after(std::chrono::nanoseconds(silence_timeout_));
  silence_timer_.async_wait([this, link = link_generation_](asio::error_code stopped) {
    if (stopped || link != link_generation_) return;
    if (connected_) on_readable(); // input may be waiting if it was this process that paused
    if (link != link_generation_) return;
    const bool response_due = !connected_ || !banner_received_ || answered_queries_ < queries_at_last_check_;
    if (!std::exchange(received_, false) && response_due)
      return link_failed("nothing received although an answer is due");
    arm_silence_timer();
  });
}

// No command may be lost between the two addresses: nothing more is sent on the old link except one more
// query, whose answer proves that all commands have been read. If no answer arrives in time, the new link is
// connected all the same, as after a failure.
void InterpreterLink::set_address(const std::string& address) {
  const asio::ip::tcp::endpoint to = require_endpoint(address);
  if (to == address_) return;
  address_ = to;
  if (handing_over_) return;
  if (!up_) return connect();
  mark_down();
  handing_over_ = true;
  send_query();
  reconnect_timer_.expires_after(std::chrono::nanoseconds(handover_timeout_));
  reconnect_timer_.async_wait([this, link = link_generation_](asio::error_code stopped) {
    if (!stopped && link == link_generation_) connect();
  });
}

// Commands that the interpreter has not read are lost; the handler decides which of them may be sent again.
void InterpreterLink::link_failed(const char* reason) {
  if (!failure_logged_) log_info("interpreter", "link down: %s", reason);
  failure_logged_ = true;
  mark_down();
  connected_ = handing_over_ = false;
  const std::uint64_t link = ++link_generation_;
  asio::error_code ignored;
  socket_.close(ignored);
  silence_timer_.cancel();
  reconnect_timer_.expires_after(std::chrono::nanoseconds(reconnect_delay_));
  reconnect_timer_.async_wait([this, link](asio::error_code stopped) {
    if (!stopped && link == link_generation_) connect();
  });
}

// ---- notices

void InterpreterLink::wait_readable() {
  if (std::exchange(read_pending_, true)) return;
  socket_.async_wait(asio::socket_base::wait_read, [this, link = link_generation_](asio::error_code error) {
    if (link != link_generation_) return;
    read_pending_ = false;
    if (error) return link_failed(error.message().c_str());
    on_readable();
  });
}

void InterpreterLink::on_readable() {
  const std::uint64_t link = link_generation_;
  for (int turn = 0; turn < reads_per_turn; ++turn) {
    asio::error_code error;
    const std::size_t room = max_line_bytes - filled_;
    const std::size_t n = socket_.read_some(asio::buffer(input_.data() + filled_, room), error);
    if (error == asio::error::would_block) break;
    if (error) return link_failed(error.message().c_str());
    received_ = true;
    std::size_t from = 0, search_from = filled_;
    filled_ += n;
    while (const void* at = std::memchr(input_.data() + search_from, '\n', filled_ - search_from)) {
      const auto end = static_cast<std::size_t>(static_cast<const char*>(at) - input_.data());
      if (end > from) handle_notice(input_.data() + from, end - from);
      if (link != link_generation_) return;
      from = search_from = end + 1;
    }
    std::memmove(input_.data(), input_.data() + from, filled_ - from);
    filled_ -= from;
    if (filled_ == max_line_bytes) return link_failed("line longer than 64 KB"); // bounds the buffer
    if (n < room) break;
  }
  wait_readable();
}

// A notice after position `after` was lost or corrupted in transit: reconnects, so that it is sent again.
// Returns false if that has been tried before; the notice is then skipped.
bool InterpreterLink::reconnect_from(std::uint64_t after) {
  if (retried_after_ == after) return false;
  retried_after_ = last_position_ = after;
  link_failed("a notice is missing or malformed");
  return true;
}

void InterpreterLink::malformed_notice(std::uint64_t number, const char* reason) {
  if (number == 0 || !reconnect_from(number - 1)) log_info("notice", "skipped: %s", reason);
}

void InterpreterLink::handle_notice(const char* at, std::size_t size) {
  element all;
  object o;
  if (parser_.parse(at, size).get(all) != simdjson::SUCCESS || all.get(o) != simdjson::SUCCESS)
    return log_info("notice", "skipped: not a JSON object");
  const std::string_view action = text_member(o, "action");
  std::uint64_t number = 0;
  if (element pos; o["pos"].get(pos) == simdjson::SUCCESS) {
    number = unsigned_member(o, "pos");
    if (number <= last_position_) return; // already seen on an earlier link
    if (number > last_position_ + 1 && reconnect_from(last_position_)) return;
    if (number > last_position_ + 1)
      log_info("notice", "notices %llu to %llu are missing",
               static_cast<unsigned long long>(last_position_ + 1),
               static_cast<unsigned long long>(number - 1));
    last_position_ = number;
  }
  OpId id;
  std::string bytes;
  if (action == "VALUE") {
    const std::string_view code = text_member(o, "code");
    const Outcome outcome = code == "fine"         ? Outcome::done
                            : code == "broken_off" ? Outcome::halted
                            : code == "late"       ? Outcome::moot
                                                   : Outcome::failed;
    if (!parse_id(o, id)) return malformed_notice(number, "end of a run without a valid uid");
    // A result that can't be decoded counts as a failed run.
    const bool has_result = outcome != Outcome::done || parse_content(o, bytes);
    if (!has_result && number > 0 && reconnect_from(number - 1)) return;
    handler_.run_over(id, has_result ? outcome : Outcome::failed, milliseconds_member(o, "wall_ms"),
                      std::move(bytes));
  } else if (action == "AWAIT") {
    if (!parse_id(o, id) || !parse_content(o, bytes))
      return malformed_notice(number, "malformed call request");
    handler_.call_wanted(id, std::move(bytes));
  } else if (action == "TOPS") {
    std::vector<double> values;
    if (simdjson::dom::array row; o["meters"].get(row) == simdjson::SUCCESS)
      for (const element one : row) {
        double value = 0;
        if (one.get(value) != simdjson::SUCCESS)
          return log_info("notice", "skipped: gauges that are not numbers");
        values.push_back(value);
      }
    const std::string_view tag = text_member(o, "echo");
    std::uint64_t query = 0;
    std::from_chars(tag.data(), tag.data() + tag.size(), query);
    if (query > answered_queries_ && query <= sent_queries_) answered_queries_ = query;
    handler_.gauges(values);
    if (handing_over_ && answered_queries_ == sent_queries_) return connect();
    // The answer to the first query of a link arrives after all notices that were sent again.
    if (!up_ && answered_queries_ > answered_before_link_ && answered_queries_ == sent_queries_) {
      up_ = true;
      handler_.caught_up(answered_before_link_);
    }
  } else if (action == "BANNER") {
    banner_received_ = true;
    failure_logged_ = false;
    log_info("interpreter", "up for %lld ms, %.*s",
             static_cast<long long>(milliseconds_member(o, "wall_ms") / 1'000'000),
             static_cast<int>(std::min<std::size_t>(text_member(o, "code").size(), 40)),
             text_member(o, "code").data());
    handler_.machine_up(milliseconds_member(o, "wall_ms"));
    send_query();
  } else if (action == "ERROR") {
    if (parse_id(o, id)) handler_.command_rejected(id, text_member(o, "code"));
  } else if (action != "TRACE") {
    log_info("notice", "skipped: unknown action");
  }
}

// ---- commands

void InterpreterLink::begin_command(std::string_view action, OpId id) {
  output_ += "{\"action\":\"";
  output_ += action;
  output_ += "\",\"uid\":\"";
  put_hex(output_, id.raw);
  output_ += '"';
}
void InterpreterLink::finish_command(std::string_view bytes) {
  output_ += ",\"content\":\"";
  encode_base64(output_, bytes);
  output_ += "\"}\n";
}

void InterpreterLink::run(OpId id, std::string_view op_type, std::string_view body) {
  begin_command("APPLY", id);
  output_ += ",\"lane\":\"";
  for (const char c : op_type) {
    if (c == '"' || c == '\\') output_ += '\\';
    output_ += c;
  }
  output_ += '"';
  finish_command(body);
}

void InterpreterLink::resume(OpId id, std::string_view reply) {
  begin_command("RESOLVE", id);
  finish_command(reply);
}

bool InterpreterLink::request_gauges() {
  if (!up_ || sent_queries_ != answered_queries_) return false;
  send_query();
  return true;
}

void InterpreterLink::send_query() {
  output_ += "{\"action\":\"TOP\",\"echo\":\"" + std::to_string(++sent_queries_) + "\"}\n";
}

void InterpreterLink::flush() {
  if (write_pending_ && output_.size() - written_ > max_unwritten_)
    return link_failed("the interpreter does not read its commands");
  while (connected_ && !write_pending_ && written_ < output_.size()) {
    asio::error_code error;
    written_ += socket_.write_some(asio::buffer(output_.data() + written_, output_.size() - written_), error);
    if (error == asio::error::would_block) {
      if (output_.size() - written_ > max_unwritten_)
        return link_failed("the interpreter does not read its commands");
      write_pending_ = true;
      socket_.async_wait(asio::socket_base::wait_write, [this, link = link_generation_](asio::error_code) {
        if (link == link_generation_) write_pending_ = false;
      });
      return;
    }
    if (error) return link_failed(error.message().c_str());
  }
  if (written_ == output_.size()) {
    output_.clear();
    written_ = 0;
  }
}

} // namespace cometshift
