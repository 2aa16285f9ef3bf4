#include "party.hpp"

#include "hex.hpp"

#include <asio/buffer.hpp>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/read_until.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <simdjson.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cmath>
#include <cstdio>

namespace cometshift::standin {

namespace {

constexpr double second_ns = 1e9;
constexpr std::size_t kept_notices = 4000; // as the protocol has it
constexpr std::size_t kept_over = 100'000; // runs known to be over
constexpr double busy_window_ns = 0.5e9;   // what the gauge of the cores averages over
constexpr std::size_t most_request = 64 * 1024;
constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string base64(std::string_view bytes) {
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const auto byte = [&](std::size_t k) {
      return i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0u;
    };
    const unsigned three = byte(0) << 16 | byte(1) << 8 | byte(2);
    out += digits[three >> 18 & 63];
    out += digits[three >> 12 & 63];
    out += i + 1 < bytes.size() ? digits[three >> 6 & 63] : '=';
    out += i + 2 < bytes.size() ? digits[three & 63] : '=';
  }
  return out;
}
std::string from_base64(std::string_view text) {
  std::string out;
  unsigned bits = 0, held = 0;
  for (const char c : text) {
    const char* at = c == '\0' ? nullptr : std::char_traits<char>::find(digits, 64, c);
    if (!at) break;
    bits = bits << 6 | static_cast<unsigned>(at - digits);
    held += 6;
    if (held >= 8) {
      held -= 8;
      out += static_cast<char>(bits >> held & 0xff);
    }
  }
  return out;
}
// The figure behind "NAME=" in a body.
double figure_in(std::string_view body, std::string_view name, double otherwise) {
  const std::size_t at = body.find(name);
  if (at == std::string_view::npos) return otherwise;
  double value = otherwise;
  std::from_chars(body.data() + at + name.size(), body.data() + body.size(), value);
  return value;
}
std::string hex(OpId id) {
  std::string text;
  put_hex(text, id.raw);
  return text;
}
Tcp::acceptor listening(asio::io_context& io, Tcp::endpoint at) {
  Tcp::acceptor made(io);
  made.open(at.protocol());
  made.set_option(asio::socket_base::reuse_address(true));
  made.bind(at);
  made.listen();
  return made;
}
auto into(asio::error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

} // namespace

Nanos steady_now() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// ---- where parties listen

Door::Door(asio::io_context& io, Tcp::endpoint at, std::function<void(Tcp::socket)> taken)
    : io_(io), at_(at), taken_(std::move(taken)) {
  open(at);
}

void Door::shut() {
  asio::error_code ignored;
  if (acceptor_) acceptor_->close(ignored); // its wait ends with an error
  acceptor_.reset();
}

void Door::open(Tcp::endpoint at) {
  if (acceptor_ && at == at_) return;
  shut();
  acceptor_ = std::make_shared<Tcp::acceptor>(listening(io_, at));
  at_ = acceptor_->local_endpoint();
  asio::co_spawn(io_, accept(acceptor_), asio::detached);
}

// Kept over each wait, as another may have taken its place by then.
asio::awaitable<void> Door::accept(std::shared_ptr<Tcp::acceptor> mine) {
  for (;;) {
    asio::error_code error;
    Tcp::socket socket = co_await mine->async_accept(into(error));
    if (error || acceptor_ != mine) co_return;
    taken_(std::move(socket));
  }
}

// ---- the interpreter

Machine::Machine(asio::io_context& io, Tcp::endpoint at, double cores, std::uint64_t seed, Watcher watcher)
    : io_(io), door_(io, at,
                     [this](Tcp::socket socket) {
                       asio::error_code ignored;
                       socket.set_option(Tcp::no_delay(true), ignored);
                       // A new link replaces the one before.
                       link_ = std::make_unique<Tcp::socket>(std::move(socket));
                       out_.clear();
                       writing_ = false;
                       asio::co_spawn(io_, read(++links_), asio::detached);
                     }),
      timer_(io), cores_(cores), chance_(seed), watcher_(std::move(watcher)), at_(steady_now()), up_at_(at_),
      busy_at_(at_) {}

asio::awaitable<void> Machine::read(std::uint64_t link) {
  std::string in;
  std::array<char, 16 * 1024> some;
  for (;;) {
    asio::error_code error;
    const std::size_t n = co_await link_->async_read_some(asio::buffer(some), into(error));
    if (link != links_ || !link_) co_return;
    if (error) {
      link_.reset();
      co_return;
    }
    in.append(some.data(), n);
    std::size_t from = 0;
    for (std::size_t end; (end = in.find('\n', from)) != std::string::npos; from = end + 1) {
      line(std::string_view(in).substr(from, end - from));
      if (link != links_ || !link_) co_return;
    }
    in.erase(0, from);
    flush();
  }
}

void Machine::say(const std::string& text) {
  if (!link_) return;
  out_ += text;
  out_ += '\n';
}

void Machine::flush() {
  if (!link_ || writing_ || out_.empty()) return;
  writing_ = true;
  auto bytes = std::make_shared<std::string>(std::move(out_));
  out_.clear();
  asio::async_write(*link_, asio::buffer(*bytes),
                    [this, bytes, link = links_](asio::error_code error, std::size_t) {
                      if (link != links_) return;
                      writing_ = false;
                      if (!error) flush();
                    });
}

void Machine::notice(OpId id, const std::string& what) {
  std::string text = "{\"action\":" + what;
  text.insert(text.find(',') + 1, "\"pos\":" + std::to_string(++last_) + ",\"uid\":\"" + hex(id) + "\",");
  notices_.emplace_back(last_, text);
  if (notices_.size() > kept_notices) notices_.pop_front();
  if (chance_.unit() < remarks_) say("{\"action\":\"TRACE\",\"code\":\"a remark\"}");
  say(text);
  if (chance_.unit() < twice_) say(text);
  flush();
}

void Machine::line(std::string_view text) {
  static simdjson::dom::parser parser;
  simdjson::dom::object command;
  const simdjson::padded_string padded(text);
  if (parser.parse(padded).get(command) != simdjson::SUCCESS) {
    link_.reset(); // not a command: the link ends
    return;
  }
  const auto word = [&](const char* name) {
    std::string_view found;
    return command[name].get(found) == simdjson::SUCCESS ? found : std::string_view();
  };
  const std::string_view action = word("action");
  advance();
  if (action == "CONNECT") {
    std::uint64_t heard = 0;
    if (command["pos"].get(heard) != simdjson::SUCCESS) heard = 0;
    say("{\"action\":\"BANNER\",\"code\":\"running\",\"wall_ms\":" +
        std::to_string((steady_now() - up_at_) / 1'000'000) + "}");
    for (const auto& [number, said] : notices_)
      if (number > heard) say(said);
    return;
  }
  if (action == "TOP") {
    char gauges[96];
    std::size_t wanting = 0;
    for (const auto& [id, run] : running_) wanting += !run.calling;
    std::snprintf(gauges, sizeof gauges, "%.4f,%zu,0,1", std::min(1.0, busy_ / cores_), wanting);
    say("{\"action\":\"TOPS\",\"echo\":\"" + std::string(word("echo")) + "\",\"meters\":[" + gauges + "]}");
    return;
  }
  OpId id;
  if (!read_hex(word("uid"), id.raw)) return;
  if (action == "APPLY") {
    if (running_.contains(id)) return;
    if (over_.contains(id)) return notice(id, "\"VALUE\",\"code\":\"late\",\"wall_ms\":0}");
    const std::string body = from_base64(word("content"));
    const double work_us = figure_in(body, "w=", -1);
    if (work_us < 0) {
      ++turned_down_;
      return say("{\"action\":\"ERROR\",\"code\":\"APPLY\",\"uid\":\"" + hex(id) + "\"}");
    }
    ++runs_;
    Run& run = running_[id];
    run.calls = static_cast<int>(figure_in(body, "c=", 0));
    run.part_ns = run.left_ns = work_us * 1000 / (run.calls + 1);
    run.begun = steady_now();
    if (watcher_.started) watcher_.started(id);
    arm();
  } else if (action == "RESOLVE") {
    const auto at = running_.find(id);
    if (at == running_.end() || !at->second.calling) return;
    at->second.calling = false;
    at->second.left_ns = at->second.part_ns;
    arm();
  }
}

// Lets the cores work up to this moment, and ends what is through by it.
void Machine::advance() {
  const Nanos now = steady_now();
  std::vector<OpId> through;
  double span = static_cast<double>(now - at_);
  at_ = now;
  std::size_t on_core = 0;
  for (const auto& [id, run] : running_) on_core += !run.calling;
  if (on_core > 0 && span > 0) {
    const double rate = speed_ * std::min(1.0, cores_ / static_cast<double>(on_core));
    for (auto& [id, run] : running_) {
      if (run.calling) continue;
      run.left_ns -= span * rate;
      if (run.left_ns <= 0) through.push_back(id);
    }
  }
  const double used = std::min(cores_, static_cast<double>(on_core));
  const double keep = std::exp(-span / busy_window_ns);
  busy_ = busy_ * keep + used * (1 - keep);
  for (const OpId id : through) next_part(id, running_.at(id));
}

void Machine::next_part(OpId id, Run& run) {
  if (run.calls > 0) {
    --run.calls;
    run.calling = true;
    return notice(id, "\"AWAIT\",\"content\":\"" + base64("call of " + hex(id)) + "\"}");
  }
  if (chance_.unit() < failing_) return end(id, "fault", Outcome::failed, {});
  end(id, "fine", Outcome::done, "result of " + hex(id));
}

void Machine::end(OpId id, const char* code, Outcome outcome, const std::string& result) {
  const double wall_ms = static_cast<double>(steady_now() - running_.at(id).begun) / 1e6;
  running_.erase(id);
  over_.insert(id);
  over_order_.push_back(id);
  if (over_order_.size() > kept_over) {
    over_.erase(over_order_.front());
    over_order_.pop_front();
  }
  if (watcher_.ended) watcher_.ended(id, outcome);
  char wall[32];
  std::snprintf(wall, sizeof wall, "%.3f", wall_ms);
  notice(id, "\"VALUE\",\"code\":\"" + std::string(code) + "\",\"wall_ms\":" + wall +
                 (result.empty() ? "" : ",\"content\":\"" + base64(result) + "\"") + "}");
}

void Machine::arm() {
  std::size_t on_core = 0;
  double least = -1;
  for (const auto& [id, run] : running_) {
    if (run.calling) continue;
    ++on_core;
    if (least < 0 || run.left_ns < least) least = run.left_ns;
  }
  if (least < 0 || speed_ <= 0) return void(timer_.cancel());
  const double rate = speed_ * std::min(1.0, cores_ / static_cast<double>(on_core));
  timer_.expires_after(std::chrono::nanoseconds(static_cast<Nanos>(std::max(1.0, least / rate)) + 1000));
  timer_.async_wait([this](asio::error_code stopped) {
    if (stopped) return;
    advance();
    arm();
  });
}

void Machine::speed(double of_usual) {
  advance();
  speed_ = of_usual;
  arm();
}

void Machine::break_link(bool within_a_notice) {
  if (!link_) return;
  asio::error_code ignored;
  if (within_a_notice) {
    const std::string half = "{\"action\":\"VALUE\",\"po";
    link_->write_some(asio::buffer(half), ignored);
  }
  link_->set_option(asio::socket_base::linger(true, 0), ignored);
  ++links_;
  link_.reset();
  out_.clear();
}

// ---- the records service

RecordsService::RecordsService(asio::io_context& io, Tcp::endpoint at, std::uint64_t seed)
    : io_(io),
      door_(io, at,
            [this](Tcp::socket socket) { asio::co_spawn(io_, serve(std::move(socket)), asio::detached); }),
      chance_(seed) {}

namespace {
// The next request: its head, with the body behind it. Empty at the end.
asio::awaitable<std::string> request(Tcp::socket& socket, std::string& in) {
  asio::error_code error;
  const std::size_t head = co_await asio::async_read_until(socket, asio::dynamic_buffer(in, most_request),
                                                           "\r\n\r\n", into(error));
  if (error) co_return std::string();
  std::size_t size = 0;
  if (const std::size_t at = in.find("Content-Length: "); at < head)
    size = static_cast<std::size_t>(figure_in(in, "Content-Length: ", 0));
  std::array<char, 4096> some;
  while (in.size() < head + size) {
    const std::size_t n = co_await socket.async_read_some(asio::buffer(some), into(error));
    if (error) co_return std::string();
    in.append(some.data(), n);
  }
  std::string whole = in.substr(0, head + size);
  in.erase(0, head + size);
  co_return whole;
}
} // namespace

asio::awaitable<void> RecordsService::serve(Tcp::socket socket) {
  std::string in;
  asio::error_code error;
  asio::steady_timer timer(io_);
  for (;;) {
    const std::string asked = co_await request(socket, in);
    if (asked.empty()) co_return;
    ++calls_;
    if (chance_.unit() < away_) {
      const std::string away = "HTTP/1.1 503 Busy\r\nOp-Not-Begun: 1\r\nContent-Length: 0\r\n\r\n";
      co_await asio::async_write(socket, asio::buffer(away), into(error));
      if (error) co_return;
      continue;
    }
    ++in_hand_;
    // Crowded, each waits for the others: as much is done in all, but each takes longer.
    const double crowd = std::max(1.0, static_cast<double>(in_hand_) / crowded_from_);
    timer.expires_after(std::chrono::nanoseconds(
        static_cast<Nanos>(static_cast<double>(usual_) * (0.8 + 0.4 * chance_.unit()) * crowd)));
    co_await timer.async_wait(into(error));
    --in_hand_;
    if (chance_.unit() < silent_) { // the connection is of no further use
      std::array<char, 64> rest;
      while (!error) co_await socket.async_read_some(asio::buffer(rest), into(error));
      co_return;
    }
    if (chance_.unit() < resets_) {
      socket.set_option(asio::socket_base::linger(true, 0), error);
      co_return;
    }
    const std::string body = "reply of some length, as records are";
    std::string reply =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (chance_.unit() < spoilt_) reply = "HTTP/1.1 2\x01\x02 noise that is no head\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(reply), into(error));
    if (error) co_return;
  }
}

// ---- the announce service

AnnounceService::AnnounceService(asio::io_context& io, Tcp::endpoint at, std::uint64_t seed)
    : io_(io),
      door_(io, at,
            [this](Tcp::socket socket) { asio::co_spawn(io_, serve(std::move(socket)), asio::detached); }),
      chance_(seed) {}

asio::awaitable<void> AnnounceService::serve(Tcp::socket socket) {
  std::string in;
  asio::error_code error;
  for (;;) {
    const std::string asked = co_await request(socket, in);
    if (asked.empty()) co_return;
    ++reports_;
    if (chance_.unit() < silent_) continue;
    listed_ = asked.find("\"true\"") != std::string::npos;
    const std::string reply = "HTTP/1.1 204 No Content\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(reply), into(error));
    if (error) co_return;
  }
}

} // namespace cometshift::standin
