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

constexpr std::size_t most_line = 64 * 1024; // a notice with the largest result takes a tenth
constexpr int reads_a_turn = 8;
constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string_view word(const object& o, const char* name) {
  std::string_view found;
  return o[name].get(found) == simdjson::SUCCESS ? found : std::string_view();
}
std::uint64_t whole(const object& o, const char* name) {
  std::uint64_t found = 0;
  return o[name].get(found) == simdjson::SUCCESS ? found : 0;
}
Nanos span_ms(const object& o, const char* name) {
  double found = 0;
  if (o[name].get(found) != simdjson::SUCCESS || !(found >= 0) || found > 1e12) return 0;
  return static_cast<Nanos>(found * 1e6);
}
bool id_in(const object& o, OpId& into) { return read_hex(word(o, "uid"), into.raw); }
bool content_in(const object& o, std::string& into) {
  std::string_view found;
  return o["content"].get(found) == simdjson::SUCCESS && read_base64(found, into);
}

} // namespace

void put_base64(std::string& out, std::string_view bytes) {
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t three = 0;
    for (std::size_t k = 0; k < 3; ++k)
      three = three << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
    for (std::size_t k = 0; k < 4; ++k)
      out += i + k <= bytes.size() ? digits[three >> (18 - 6 * k) & 63] : '=';
  }
}

bool read_base64(std::string_view text, std::string& out) {
  static const std::array<signed char, 256> value = [] {
    std::array<signed char, 256> made;
    made.fill(-1);
    for (std::size_t i = 0; i < digits.size(); ++i)
      made[static_cast<unsigned char>(digits[i])] = static_cast<signed char>(i);
    return made;
  }();
  out.clear();
  if (text.size() % 4 != 0) return false;
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') ++padding;
  out.reserve(text.size() / 4 * 3);
  for (std::size_t i = 0; i < text.size(); i += 4) {
    std::uint32_t four = 0;
    const std::size_t there = i + 4 == text.size() ? 4 - padding : 4;
    for (std::size_t k = 0; k < 4; ++k) {
      const int v = k < there ? value[static_cast<unsigned char>(text[i + k])] : 0;
      if (v < 0) return false;
      four = four << 6 | static_cast<std::uint32_t>(v);
    }
    for (std::size_t k = 0; k + 1 < there; ++k) out += static_cast<char>(four >> (16 - 8 * k) & 0xff);
  }
  return true;
}

InterpreterLink::InterpreterLink(asio::io_context& io, const std::string& address, std::size_t most_unwritten,
                                 Handler& taker)
    : io_(io), address_(endpoint_of(address)), socket_(io), again_(io), silence_(io),
      most_unwritten_(most_unwritten), taker_(taker), in_(most_line + simdjson::SIMDJSON_PADDING) {
  asio::post(io_, [this] { connect(); });
}

// ---- the link

void InterpreterLink::down() {
  if (!std::exchange(up_, false)) return;
  taker_.link_down();
}

void InterpreterLink::connect() {
  const std::uint64_t link = ++link_;
  down();
  open_ = waiting_room_ = leaving_ = reading_ = heard_ = banner_ = false;
  filled_ = written_ = 0;
  out_.clear();
  asio::error_code ignored;
  socket_.close(ignored);
  socket_ = asio::ip::tcp::socket(io_);
  watch();
  socket_.async_connect(address_, [this, link](asio::error_code error) {
    if (link != link_) return;
    if (error) return broken(error.message().c_str());
    asio::error_code failed;
    socket_.non_blocking(true, failed);
    socket_.set_option(asio::ip::tcp::no_delay(true), failed);
    open_ = true;
    heard_before_ = answered_;
    out_ = "{\"action\":\"CONNECT\",\"pos\":" + std::to_string(last_) + "}\n";
    flush();
    if (link == link_ && open_) await_bytes();
  });
}

// Against a link that is none: a connection that is never made, or one whose other side is gone without a
// word or never speaks. It is made anew; what runs goes on meanwhile, and all notices come again.
void InterpreterLink::watch() {
  if (silent_for_ <= 0) return;
  looked_ = asked_;
  silence_.expires_after(std::chrono::nanoseconds(silent_for_));
  silence_.async_wait([this, link = link_](asio::error_code stopped) {
    if (stopped || link != link_) return;
    if (open_) readable(); // against taking a pause of this process for the other's silence
    if (link != link_) return;
    const bool owed = !open_ || !banner_ || answered_ < looked_;
    if (!std::exchange(heard_, false) && owed) return broken("nothing is heard");
    watch();
  });
}

// What has been sent is not to get lost between two addresses: nothing more goes out on the old link, and an
// answer to one more question there proves that the rest is read. Where none comes, the link is made all the
// same, as after a break.
void InterpreterLink::move_to(const std::string& address) {
  const asio::ip::tcp::endpoint to = endpoint_of(address);
  if (to == address_) return;
  address_ = to;
  if (leaving_) return;
  if (!up_) return connect();
  down();
  leaving_ = true;
  question();
  again_.expires_after(std::chrono::nanoseconds(leave_within_));
  again_.async_wait([this, link = link_](asio::error_code stopped) {
    if (!stopped && link == link_) connect();
  });
}

// What was written and not read there is lost; the host says what of it may be sent again.
void InterpreterLink::broken(const char* why) {
  if (!said_down_) note("interpreter", "link down: %s", why);
  said_down_ = true;
  down();
  open_ = leaving_ = false;
  const std::uint64_t link = ++link_;
  asio::error_code ignored;
  socket_.close(ignored);
  silence_.cancel();
  again_.expires_after(std::chrono::nanoseconds(rest_));
  again_.async_wait([this, link](asio::error_code stopped) {
    if (!stopped && link == link_) connect();
  });
}

// ---- notices

void InterpreterLink::await_bytes() {
  if (std::exchange(reading_, true)) return;
  socket_.async_wait(asio::socket_base::wait_read, [this, link = link_](asio::error_code error) {
    if (link != link_) return;
    reading_ = false;
    if (error) return broken(error.message().c_str());
    readable();
  });
}

void InterpreterLink::readable() {
  const std::uint64_t link = link_;
  for (int turn = 0; turn < reads_a_turn; ++turn) {
    asio::error_code error;
    const std::size_t room = most_line - filled_;
    const std::size_t n = socket_.read_some(asio::buffer(in_.data() + filled_, room), error);
    if (error == asio::error::would_block) break;
    if (error) return broken(error.message().c_str());
    heard_ = true;
    std::size_t from = 0, look = filled_;
    filled_ += n;
    while (const void* at = std::memchr(in_.data() + look, '\n', filled_ - look)) {
      const auto end = static_cast<std::size_t>(static_cast<const char*>(at) - in_.data());
      if (end > from) line(in_.data() + from, end - from);
      if (link != link_) return;
      from = look = end + 1;
    }
    std::memmove(in_.data(), in_.data() + from, filled_ - from);
    filled_ -= from;
    if (filled_ == most_line) return broken("a line without end"); // against filling the memory
    if (n < room) break;
  }
  await_bytes();
}

// Against a notice that was lost or spoilt on the way: a new link brings it again. Once; then it is passed
// over.
bool InterpreterLink::once_more(std::uint64_t after) {
  if (retried_ == after) return false;
  retried_ = last_ = after;
  broken("a notice is missing or can't be read");
  return true;
}

void InterpreterLink::unreadable(std::uint64_t number, const char* what) {
  if (number == 0 || !once_more(number - 1)) note("notice", "passed over, %s", what);
}

void InterpreterLink::line(const char* at, std::size_t size) {
  element all;
  object o;
  if (parser_.parse(at, size).get(all) != simdjson::SUCCESS || all.get(o) != simdjson::SUCCESS)
    return note("notice", "passed over, not an object of JSON");
  const std::string_view action = word(o, "action");
  std::uint64_t number = 0;
  if (element pos; o["pos"].get(pos) == simdjson::SUCCESS) {
    number = whole(o, "pos");
    if (number <= last_) return; // seen, on a link before
    if (number > last_ + 1 && once_more(last_)) return;
    if (number > last_ + 1)
      note("notice", "missing from %llu to %llu", static_cast<unsigned long long>(last_ + 1),
           static_cast<unsigned long long>(number - 1));
    last_ = number;
  }
  OpId id;
  std::string bytes;
  if (action == "VALUE") {
    const std::string_view code = word(o, "code");
    const Outcome outcome = code == "fine"         ? Outcome::done
                            : code == "broken_off" ? Outcome::halted
                            : code == "late"       ? Outcome::moot
                                                   : Outcome::failed;
    if (!id_in(o, id)) return unreadable(number, "an end without a uid");
    // What can't be read is no result: the run has failed for all that can be told.
    const bool readable = outcome != Outcome::done || content_in(o, bytes);
    if (!readable && number > 0 && once_more(number - 1)) return;
    taker_.run_over(id, readable ? outcome : Outcome::failed, span_ms(o, "wall_ms"), std::move(bytes));
  } else if (action == "AWAIT") {
    if (!id_in(o, id) || !content_in(o, bytes)) return unreadable(number, "a call that can't be read");
    taker_.call_wanted(id, std::move(bytes));
  } else if (action == "TOPS") {
    std::vector<double> values;
    if (simdjson::dom::array row; o["meters"].get(row) == simdjson::SUCCESS)
      for (const element one : row) {
        double value = 0;
        if (one.get(value) != simdjson::SUCCESS)
          return note("notice", "passed over, gauges that are no numbers");
        values.push_back(value);
      }
    const std::string_view tag = word(o, "echo");
    std::uint64_t question = 0;
    std::from_chars(tag.data(), tag.data() + tag.size(), question);
    if (question > answered_ && question <= asked_) answered_ = question;
    taker_.gauges(values);
    if (leaving_ && answered_ == asked_) return connect();
    // The answer to the first question of a link comes after all that was replayed.
    if (!up_ && answered_ > heard_before_ && answered_ == asked_) {
      up_ = true;
      taker_.caught_up(heard_before_);
    }
  } else if (action == "BANNER") {
    banner_ = true;
    said_down_ = false;
    note("interpreter", "up for %lld ms, %.*s", static_cast<long long>(span_ms(o, "wall_ms") / 1'000'000),
         static_cast<int>(std::min<std::size_t>(word(o, "code").size(), 40)), word(o, "code").data());
    taker_.machine_up(span_ms(o, "wall_ms"));
    question();
  } else if (action == "ERROR") {
    if (id_in(o, id)) taker_.command_rejected(id, word(o, "code"));
  } else if (action != "TRACE") {
    note("notice", "passed over, an unknown kind");
  }
}

// ---- commands

void InterpreterLink::command(std::string_view action, OpId id) {
  out_ += "{\"action\":\"";
  out_ += action;
  out_ += "\",\"uid\":\"";
  put_hex(out_, id.raw);
  out_ += '"';
}
void InterpreterLink::content(std::string_view bytes) {
  out_ += ",\"content\":\"";
  put_base64(out_, bytes);
  out_ += "\"}\n";
}

void InterpreterLink::run(OpId id, std::string_view op_type, std::string_view body) {
  command("APPLY", id);
  out_ += ",\"lane\":\"";
  for (const char c : op_type) {
    if (c == '"' || c == '\\') out_ += '\\';
    out_ += c;
  }
  out_ += '"';
  content(body);
}

void InterpreterLink::resume(OpId id, std::string_view reply) {
  command("RESOLVE", id);
  content(reply);
}

bool InterpreterLink::ask_gauges() {
  if (!up_ || asked_ != answered_) return false;
  question();
  return true;
}

void InterpreterLink::question() {
  out_ += "{\"action\":\"TOP\",\"echo\":\"" + std::to_string(++asked_) + "\"}\n";
}

void InterpreterLink::flush() {
  if (waiting_room_ && out_.size() - written_ > most_unwritten_) return broken("it does not read");
  while (open_ && !waiting_room_ && written_ < out_.size()) {
    asio::error_code error;
    written_ += socket_.write_some(asio::buffer(out_.data() + written_, out_.size() - written_), error);
    if (error == asio::error::would_block) {
      if (out_.size() - written_ > most_unwritten_) return broken("it does not read");
      waiting_room_ = true;
      socket_.async_wait(asio::socket_base::wait_write, [this, link = link_](asio::error_code) {
        if (link == link_) waiting_room_ = false;
      });
      return;
    }
    if (error) return broken(error.message().c_str());
  }
  if (written_ == out_.size()) {
    out_.clear();
    written_ = 0;
  }
}

} // namespace cometshift
