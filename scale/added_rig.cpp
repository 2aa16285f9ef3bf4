#include "added_rig.hpp"

#include "frames.hpp"
#include "hex.hpp"
#include "pcg.hpp"
#include "site.hpp"

#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstring>
#include <stdexcept>

namespace cometshift::scale {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr std::size_t most_open = 32;     // ops on a connection, as the protocol has it
constexpr double keyed_part = 0.38;       // of the ops, as load/site.cpp has it
constexpr std::size_t echo_bytes = 250;   // about an op's frame, and its answer
constexpr std::size_t some_bytes = 65536; // of one read

std::string hex(std::uint64_t id) {
  std::string text;
  put_hex(text, id);
  return text;
}
void put(std::string& out, std::uint64_t value, int bytes) {
  for (; bytes > 0; --bytes, value >>= 8) out += static_cast<char>(value & 0xff);
}
// The text behind "NAME":" in a command; the server writes no spaces and no escapes into those read here.
std::string_view word(std::string_view line, std::string_view name) {
  const std::size_t at = line.find(name);
  if (at == std::string_view::npos) return {};
  const std::size_t from = at + name.size();
  return line.substr(from, line.find('"', from) - from);
}
// Whole bytes on a socket that has room for them: what may be open on it is far under its buffer.
void write_all(Tcp::socket& socket, std::string_view bytes, asio::error_code& error) {
  while (!bytes.empty() && !error) {
    bytes.remove_prefix(socket.write_some(asio::buffer(bytes), error));
    if (error == asio::error::would_block) socket.wait(asio::socket_base::wait_write, error);
  }
}
// All that there is to read; false at the connection's end.
bool read_all(Tcp::socket& socket, std::string& in) {
  static std::array<char, some_bytes> some;
  for (;;) {
    asio::error_code error;
    const std::size_t n = socket.read_some(asio::buffer(some), error);
    if (error) return error == asio::error::would_block;
    in.append(some.data(), n);
    if (n < some.size()) return true;
  }
}
void plain(Tcp::socket& socket) {
  asio::error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(Tcp::no_delay(true), ignored);
}

} // namespace

std::vector<Arrival> arrivals(std::uint64_t seed, double rate, Nanos length, std::size_t tenants,
                              Nanos mean_run) {
  Pcg chance(seed);
  std::vector<Arrival> all;
  for (double at = 0;;) {
    at += -std::log(1 - chance.unit()) / rate * 1e9;
    if (at >= static_cast<double>(length)) return all;
    const double run = static_cast<double>(mean_run) * (0.5 + chance.unit());
    all.push_back({.at = static_cast<Nanos>(at),
                   .run = static_cast<Nanos>(run),
                   .tenant = static_cast<std::uint32_t>(chance.unit() * static_cast<double>(tenants)),
                   .keyed = chance.unit() < keyed_part});
  }
}

Spread::Spread(std::vector<Nanos> all) : sorted_(std::move(all)) {
  std::sort(sorted_.begin(), sorted_.end());
}
Nanos Spread::at(double part) const {
  if (sorted_.empty()) return 0;
  const double rank = std::ceil(part * static_cast<double>(sorted_.size()));
  return sorted_[std::min(sorted_.size(), static_cast<std::size_t>(std::max(1.0, rank))) - 1];
}

AddedRig::AddedRig(asio::io_context& io, Ports at, Figures figures, std::vector<Arrival> ops,
                   std::vector<Arrival> echoes, std::uint64_t seed)
    : io_(io), at_(at), figures_(std::move(figures)), op_plan_(std::move(ops)), echo_plan_(std::move(echoes)),
      ops_(op_plan_.size()), echoes_(echo_plan_.size()), ids_((seed << 32) + 1),
      body_(figures_.body_bytes, 'b'), result_(figures_.result_bytes / 3 * 4, 'A'), timer_(io), last_(io),
      door_(io, at.interpreter, [this](Tcp::socket socket) { linked(std::move(socket)); }), there_(io),
      back_(io) {}

// ---- the loop

void AddedRig::run(std::vector<std::pair<Nanos, std::function<void()>>> acts, Nanos most) {
  acts_ = std::move(acts);
  for (std::size_t i = 0; i < op_plan_.size(); ++i) dues_.push({op_plan_[i].at, What::op, i});
  for (std::size_t i = 0; i < echo_plan_.size(); ++i) dues_.push({echo_plan_[i].at, What::echo, i});
  for (std::size_t i = 0; i < acts_.size(); ++i) dues_.push({acts_[i].first, What::act, i});
  to_send_ = op_plan_.size() + echo_plan_.size();
  begun_ = standin::steady_now();
  const Nanos end = (op_plan_.empty() ? 0 : op_plan_.back().at) + most;
  last_.expires_after(std::chrono::nanoseconds(end));
  last_.async_wait([this](asio::error_code stopped) {
    if (!stopped) io_.stop();
  });
  arm();
  io_.restart();
  while (!over() && io_.run_one() > 0) {
  }
  last_.cancel();
}

void AddedRig::arm() {
  if (dues_.empty() || dues_.top().at == armed_) return;
  armed_ = dues_.top().at;
  timer_.expires_at(std::chrono::steady_clock::time_point(std::chrono::nanoseconds(begun_ + armed_)));
  timer_.async_wait([this](asio::error_code stopped) {
    if (stopped) return;
    armed_ = -1;
    due();
    arm();
  });
}

void AddedRig::due() {
  while (!dues_.empty() && dues_.top().at <= now()) {
    const Due one = dues_.top();
    dues_.pop();
    switch (one.what) {
    case What::op:
      --to_send_;
      ++open_;
      ops_[one.which].meant = one.at;
      send(one.which);
      break;
    case What::echo:
      --to_send_;
      ++echoes_open_;
      echoes_[one.which].meant = one.at;
      send_echo(one.which, false);
      break;
    case What::run_over:
      run_over(one.which);
      break;
    case What::echo_back:
      send_echo(one.which, true);
      break;
    case What::act:
      acts_[one.which].second();
    }
  }
}

// ---- balancers

void AddedRig::connect() {
  for (std::uint32_t caller = 0; caller < figures_.callers; ++caller) open(caller);
}

AddedRig::Held AddedRig::open(std::uint32_t caller) {
  auto c = std::make_shared<Connection>(io_);
  c->caller = caller;
  c->socket.connect(at_.server);
  plain(c->socket);
  connections_.push_back(c);
  await_answers(c);
  return c;
}

AddedRig::Held AddedRig::connection_for(std::uint32_t caller) {
  for (const Held& c : connections_)
    if (c->caller == caller && !c->closing && c->open.size() < most_open) return c;
  return connections_.size() < figures_.connections ? open(caller) : nullptr;
}

void AddedRig::send(std::size_t op) {
  const Arrival& plan = op_plan_[op];
  const auto caller = static_cast<std::uint32_t>(op % figures_.callers);
  const Held c = connection_for(caller);
  if (!c) return waiting_.push_back(op);
  const std::uint32_t stream = c->next_stream++;
  const std::string id = hex(ids_ + op);
  std::vector<std::pair<std::string_view, std::string>> fields{
      {"verb", plan.keyed ? figures_.keyed : figures_.retryable},
      {"txn", id},
      {"door", std::to_string(load::unix_now() / ms)},
      {"lb", std::to_string(caller)},
      {"team", "tenant-" + std::to_string(plan.tenant)},
      {"limit", std::to_string(figures_.op_timeout / ms)},
      {"ram", "4"},
      {"standing", "0.5"}};
  if (plan.keyed) fields.emplace_back("unique", "mark" + id);
  std::string payload(1, static_cast<char>(fields.size()));
  for (const auto& [name, value] : fields) {
    put(payload, name.size(), 1);
    payload += name;
    put(payload, value.size(), 2);
    payload += value;
  }
  payload += body_;
  std::string frame;
  frames::put_frame(frame, frames::request, stream, payload);
  c->open.emplace(stream, op);
  asio::error_code error;
  ops_[op].sent = now();
  write_all(c->socket, frame, error);
  if (error) lost(*c);
}

void AddedRig::await_answers(Held c) {
  c->socket.async_wait(asio::socket_base::wait_read, [this, c](asio::error_code error) {
    if (c->ended) return;
    const bool there = !error && read_all(c->socket, c->in);
    if (!answers(*c, now()) || !there || (c->closing && c->open.empty())) return lost(*c);
    await_answers(c);
    while (!waiting_.empty() &&
           connection_for(static_cast<std::uint32_t>(waiting_.front() % figures_.callers))) {
      const std::size_t next = waiting_.front();
      waiting_.pop_front();
      send(next);
    }
  });
}

bool AddedRig::answers(Connection& c, Nanos at) {
  std::size_t from = 0;
  while (c.in.size() - from >= frames::header_size) {
    const std::uint32_t length = frames::read_le(c.in.data() + from, 4);
    if (!frames::is_valid_length(length)) return false;
    if (c.in.size() - from < length + 4) break;
    const auto type = static_cast<std::uint8_t>(c.in[from + 4]);
    const std::uint32_t stream = frames::read_le(c.in.data() + from + 5, 4);
    if (type == frames::go_away) c.closing = true;
    const auto one = c.open.find(stream);
    if (type == frames::response && one != c.open.end() && length > frames::min_length) {
      Sample& sample = ops_[one->second];
      const auto code = static_cast<std::uint8_t>(c.in[from + frames::header_size]);
      sample.answered = at;
      sample.end = code == frames::ok        ? Sample::End::acked
                   : code == frames::refused ? Sample::End::nacked
                                             : Sample::End::failed;
      c.open.erase(one);
      --open_;
    }
    from += length + 4;
  }
  c.in.erase(0, from);
  return true;
}

// What was open on it stays without an answer.
void AddedRig::lost(Connection& c) {
  c.ended = c.closing = true;
  broken_ += !c.open.empty();
  open_ -= c.open.size();
  c.open.clear();
  asio::error_code ignored;
  c.socket.close(ignored);
  std::erase_if(connections_, [&](const Held& one) { return one.get() == &c; });
}

// ---- the interpreter

void AddedRig::linked(Tcp::socket socket) {
  plain(socket);
  link_ = std::make_unique<Tcp::socket>(std::move(socket));
  link_in_.clear(), link_out_.clear();
  link_full_ = false;
  await_commands(++links_);
}

void AddedRig::await_commands(std::uint64_t link) {
  link_->async_wait(asio::socket_base::wait_read, [this, link](asio::error_code error) {
    if (link != links_ || !link_) return;
    if (error || !read_all(*link_, link_in_)) return link_.reset();
    const Nanos at = now();
    std::size_t from = 0;
    for (std::size_t end; (end = link_in_.find('\n', from)) != std::string::npos; from = end + 1)
      command(std::string_view(link_in_).substr(from, end - from), at);
    link_in_.erase(0, from);
    flush();
    arm();
    await_commands(link);
  });
}

void AddedRig::command(std::string_view line, Nanos at) {
  const std::string_view action = word(line, "\"action\":\"");
  if (action == "CONNECT") return say("{\"action\":\"BANNER\",\"code\":\"running\",\"wall_ms\":5000}");
  if (action == "TOP") {
    char gauges[96];
    std::snprintf(gauges, sizeof gauges, "%.4f,%zu,0,1",
                  std::min(1.0, static_cast<double>(running_) / figures_.cores), running_);
    return say("{\"action\":\"TOPS\",\"echo\":\"" + std::string(word(line, "\"echo\":\"")) +
               "\",\"meters\":[" + gauges + "]}");
  }
  std::uint64_t id = 0;
  if (action != "APPLY" || !read_hex(word(line, "\"uid\":\""), id)) return;
  const std::size_t op = id - ids_;
  if (op >= ops_.size() || ops_[op].started > 0) return;
  ops_[op].started = at;
  ++running_;
  dues_.push({at + op_plan_[op].run, What::run_over, op});
}

void AddedRig::run_over(std::size_t op) {
  --running_;
  char took[32];
  std::snprintf(took, sizeof took, "%.3f", static_cast<double>(now() - ops_[op].started) / 1e6);
  const std::string line = "{\"action\":\"VALUE\",\"pos\":" + std::to_string(++notices_) + ",\"uid\":\"" +
                           hex(ids_ + op) + "\",\"code\":\"fine\",\"wall_ms\":" + took + ",\"content\":\"" +
                           result_ + "\"}";
  ops_[op].ended = now();
  say(line);
  flush();
}

void AddedRig::say(const std::string& line) { link_out_ += line + '\n'; }

void AddedRig::flush() {
  while (link_ && !link_full_ && !link_out_.empty()) {
    asio::error_code error;
    link_out_.erase(0, link_->write_some(asio::buffer(link_out_), error));
    if (error == asio::error::would_block) {
      link_full_ = true;
      link_->async_wait(asio::socket_base::wait_write, [this, link = links_](asio::error_code stopped) {
        if (stopped || link != links_) return;
        link_full_ = false;
        flush();
      });
    } else if (error) {
      return link_.reset();
    }
  }
}

// ---- the echo

bool AddedRig::connect_echo() {
  for (Tcp::socket* one : {&there_, &back_}) {
    asio::error_code error, ignored;
    if (one->is_open() && one->remote_endpoint(error) == at_.echo && !error) continue;
    one->close(ignored);
    one->connect(at_.echo, error);
    if (error) return false;
    plain(*one);
  }
  await_echo(false), await_echo(true);
  return true;
}

void AddedRig::send_echo(std::size_t echo, bool back) {
  std::string bytes;
  put(bytes, echo, 4);
  bytes.resize(echo_bytes);
  asio::error_code error;
  (back ? echoes_[echo].ended : echoes_[echo].sent) = now();
  write_all(back ? back_ : there_, bytes, error);
  if (error) throw std::runtime_error("the echo's process is gone");
}

// What was sent there arrives back here, and the other way round.
void AddedRig::await_echo(bool back) {
  Tcp::socket& socket = back ? there_ : back_;
  socket.async_wait(asio::socket_base::wait_read, [this, back](asio::error_code error) {
    std::string& in = back ? there_in_ : back_in_;
    if (error || !read_all(back ? there_ : back_, in)) return;
    const Nanos at = now();
    std::size_t from = 0;
    for (; in.size() - from >= echo_bytes; from += echo_bytes) {
      const std::size_t echo = frames::read_le(in.data() + from, 4);
      if (echo >= echoes_.size()) continue;
      if (back) {
        echoes_[echo].answered = at;
        echoes_[echo].end = Sample::End::acked;
        --echoes_open_;
      } else {
        echoes_[echo].started = at;
        dues_.push({at + echo_plan_[echo].run, What::echo_back, echo});
      }
    }
    in.erase(0, from);
    arm();
    await_echo(back);
  });
}

namespace {
void pass(std::shared_ptr<Tcp::socket> from, std::shared_ptr<Tcp::socket> to) {
  from->async_wait(asio::socket_base::wait_read, [from, to](asio::error_code error) {
    std::string bytes;
    if (error || !read_all(*from, bytes)) return;
    write_all(*to, bytes, error);
    if (!error) pass(from, to);
  });
}
} // namespace

int pass_on(const Tcp::endpoint& at) {
  asio::io_context io;
  std::shared_ptr<Tcp::socket> first;
  standin::Door door(io, at, [&first](Tcp::socket socket) {
    plain(socket);
    auto one = std::make_shared<Tcp::socket>(std::move(socket));
    if (!first) {
      first = std::move(one);
      return;
    }
    pass(first, one), pass(one, first);
    first.reset();
  });
  io.run();
  return 0;
}

} // namespace cometshift::scale
