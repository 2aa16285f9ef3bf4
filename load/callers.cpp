#include "callers.hpp"

#include "hex.hpp"
#include "site.hpp"

#include <asio/co_spawn.hpp>
#include <asio/connect.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>

namespace cometshift::load {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr std::size_t most_open = 32; // ops on a connection, as the protocol has it
constexpr std::size_t head = 9;
constexpr Nanos answer_room = 500 * ms; // past a try's limit a client waits no more for it

auto into(asio::error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

void put(std::string& out, std::uint64_t value, int bytes) {
  for (; bytes > 0; --bytes, value >>= 8) out += static_cast<char>(value & 0xff);
}
std::uint64_t number_at(const char* at, int bytes) {
  std::uint64_t value = 0;
  for (int i = bytes; i-- > 0;) value = value << 8 | static_cast<unsigned char>(at[i]);
  return value;
}
std::string hex(OpId id) {
  std::string text;
  put_hex(text, id.raw);
  return text;
}

} // namespace

Callers::Callers(asio::io_context& io, asio::ip::tcp::endpoint server, Demand& demand, Rules& rules,
                 std::vector<std::string> tenants)
    : io_(io), server_(server), demand_(demand), rules_(rules), tenants_(std::move(tenants)),
      tallies_(demand.kinds().size()) {}

Nanos Callers::now() const { return unix_now() - begun_; }

void Callers::begin(Nanos length) {
  begun_ = unix_now();
  length_ = length;
  asio::co_spawn(io_, ask(), asio::detached);
}

asio::awaitable<void> Callers::ask() {
  asio::steady_timer timer(io_);
  asio::error_code error;
  for (;;) {
    const Nanos at = demand_.next_at();
    if (at >= length_) break;
    if (const Nanos wait = at - now(); wait > 0) {
      timer.expires_after(std::chrono::nanoseconds(wait));
      co_await timer.async_wait(into(error));
    }
    Request& request = demand_.arrive(); // late ones count from their time: the loop is open
    ++tallies_[request.kind].asked;
    ++open_;
    send(request);
  }
  done_asking_ = true;
}

void Callers::stop() {
  stopped_ = true;
  length_ = 0;
  reset_some(1);
}

void Callers::send(Request& request) {
  if (stopped_) return;
  const Kind& kind = demand_.kinds()[request.kind];
  Held c;
  for (auto& [id, one] : connections_)
    if (one->caller == request.caller && !one->closing && one->open.size() < most_open) c = one;
  if (!c) {
    c = std::make_shared<Connection>(io_);
    c->caller = request.caller;
    c->id = next_connection_++;
    ++connections_made_;
    connections_.emplace(c->id, c);
    asio::co_spawn(io_, run(c), asio::detached);
  }
  const OpId op{demand_.next_txn()};
  const std::uint32_t stream = c->next_stream++;
  const Nanos there = unix_now();
  const Nanos left = std::max<Nanos>(ms, request.asked + kind.limit - now());
  const std::string body = "w=" + std::to_string(static_cast<long long>(request.work_us)) +
                           ";c=" + std::to_string(kind.calls) + ";request " + std::to_string(request.id.raw);
  std::vector<std::pair<std::string_view, std::string>> fields{{"verb", kind.name},
                                                               {"txn", hex(op)},
                                                               {"door", std::to_string(there / ms)},
                                                               {"lb", std::to_string(request.caller)},
                                                               {"limit", std::to_string(left / ms)},
                                                               {"ram", std::to_string(request.kb)},
                                                               {"standing", std::to_string(request.rank)}};
  if (!tenants_.empty()) fields.emplace_back("team", tenants_[request.tenant]);
  if (!request.mark.empty()) fields.emplace_back("unique", request.mark);
  std::string payload(1, static_cast<char>(fields.size()));
  for (const auto& [name, value] : fields) {
    put(payload, name.size(), 1);
    payload += name;
    put(payload, value.size(), 2);
    payload += value;
  }
  put(c->out, 5 + payload.size() + body.size(), 4);
  c->out += static_cast<char>(10);
  put(c->out, stream, 4);
  c->out += payload;
  c->out += body;
  c->open.emplace(stream, Try{request.id, op, there, false});
  tries_of_[request.id].push_back(op);
  ++tries_;
  rules_.came(there, op, OpTypeId{static_cast<std::uint32_t>(request.kind)}, there / ms * ms,
              there / ms * ms + left, request.mark);
  rules_.assign_stream(op, {ConnectionId{c->id}, StreamId{stream}});
  // A client waits no longer than its limit.
  auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::nanoseconds(left + answer_room));
  timer->async_wait([this, timer, c, stream](asio::error_code error) {
    const auto at = c->open.find(stream);
    if (error || at == c->open.end() || at->second.given_up) return;
    at->second.given_up = true;
    follow(at->second.request, Demand::Answer::none, 0, false);
  });
  flush(c);
}

void Callers::flush(Held c) {
  if (!c->connected || c->writing || c->out.empty() || c->ended) return;
  c->writing = true;
  auto bytes = std::make_shared<std::string>(std::move(c->out));
  c->out.clear();
  asio::async_write(c->socket, asio::buffer(*bytes), [this, c, bytes](asio::error_code error, std::size_t) {
    c->writing = false;
    if (!error) flush(c);
  });
}

asio::awaitable<void> Callers::run(Held c) {
  asio::error_code error;
  co_await c->socket.async_connect(server_, into(error));
  if (!error) {
    c->connected = true;
    c->socket.set_option(asio::ip::tcp::no_delay(true), error);
    flush(c);
    std::string in;
    std::array<char, 16 * 1024> some;
    for (;;) {
      const std::size_t n = co_await c->socket.async_read_some(asio::buffer(some), into(error));
      if (error) break;
      in.append(some.data(), n);
      std::size_t from = 0;
      while (in.size() - from >= 4) {
        const std::size_t size = number_at(in.data() + from, 4) + 4;
        if (in.size() - from < size) break;
        frame(*c, std::string_view(in).substr(from, size));
        from += size;
      }
      in.erase(0, from);
      if (c->closing && c->open.empty()) break;
    }
  }
  end(*c);
}

// What was open on it gets no answer any more; of a connection that was refused, nothing ran.
void Callers::end(Connection& c) {
  if (c.ended) return;
  c.ended = true;
  asio::error_code ignored;
  c.socket.close(ignored);
  if (!c.open.empty()) ++broken_;
  const std::map<std::uint32_t, Try> open = std::move(c.open);
  c.open.clear();
  connections_.erase(c.id);
  for (const auto& [stream, one] : open) {
    rules_.stream_lost({ConnectionId{c.id}, StreamId{stream}});
    if (!one.given_up) follow(one.request, Demand::Answer::none, 0, false);
  }
}

void Callers::frame(Connection& c, std::string_view frame) {
  if (frame.size() < head) return;
  const int type = frame[4];
  const auto stream = static_cast<std::uint32_t>(number_at(frame.data() + 5, 4));
  if (type == 30) {
    c.closing = true;
    return;
  }
  if (type != 11 || frame.size() < head + 2) return;
  const int code = frame[head];
  std::string_view rest = frame.substr(head + 1);
  unsigned fields = static_cast<unsigned char>(rest.front());
  rest.remove_prefix(1);
  Nanos retry_after = 0;
  bool not_elsewhere = false;
  for (; fields > 0 && !rest.empty(); --fields) {
    const std::size_t name_size = static_cast<unsigned char>(rest.front());
    if (rest.size() < 3 + name_size) return;
    const std::string_view name = rest.substr(1, name_size);
    const std::size_t size = number_at(rest.data() + 1 + name_size, 2);
    if (rest.size() < 3 + name_size + size) return;
    const std::string_view value = rest.substr(3 + name_size, size);
    if (name == "later") {
      std::int64_t later = 0;
      std::from_chars(value.data(), value.data() + value.size(), later);
      retry_after = later * ms;
    }
    if (name == "giveup") not_elsewhere = value == "1";
    rest.remove_prefix(3 + name_size + size);
  }
  answered(c, stream,
           code == 0    ? Demand::Answer::served
           : code == 14 ? Demand::Answer::refused
                        : Demand::Answer::failed,
           retry_after, not_elsewhere, rest);
}

void Callers::answered(Connection& c, std::uint32_t stream, Demand::Answer answer, Nanos retry_after,
                       bool not_elsewhere, std::string_view body) {
  const auto at = c.open.find(stream);
  if (at == c.open.end()) return;
  const Try one = at->second;
  c.open.erase(at);
  const Nanos there = unix_now();
  answer_ms_.push_back(static_cast<float>(static_cast<double>(there - one.sent) / ms));
  rules_.answered(there, one.op,
                  answer == Demand::Answer::served    ? Rules::Final::served
                  : answer == Demand::Answer::refused ? Rules::Final::nacked
                                                      : Rules::Final::failed);
  if (answer == Demand::Answer::served) {
    bool made = false;
    for (const OpId tried : tries_of_[one.request])
      made = made || (ran_.contains(tried) && body == "result of " + hex(tried));
    wrong_results_ += !made;
  }
  if (!one.given_up) follow(one.request, answer, retry_after, not_elsewhere);
}

void Callers::follow(RequestId id, Demand::Answer answer, Nanos retry_after, bool not_elsewhere) {
  Request* request = demand_.find(id);
  if (!request || request->over) return;
  const Demand::Next next = demand_.after(*request, answer, now(), retry_after, not_elsewhere);
  if (!next.again) return finish(*request, answer, now());
  auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::nanoseconds(next.after));
  timer->async_wait([this, timer, id](asio::error_code error) {
    if (Request* again = demand_.find(id); !error && again && !again->over) send(*again);
  });
}

void Callers::finish(Request& request, Demand::Answer answer, Nanos now) {
  const Kind& kind = demand_.kinds()[request.kind];
  Tally& tally = tallies_[request.kind];
  const Nanos took = now - request.asked;
  switch (answer) {
  case Demand::Answer::served:
    ++(took <= kind.target ? tally.in_target : tally.late);
    tally.latencies_ms.push_back(static_cast<float>(static_cast<double>(took) / ms));
    break;
  case Demand::Answer::refused:
    ++tally.refused;
    break;
  case Demand::Answer::failed:
    ++tally.failed;
    break;
  case Demand::Answer::none:
    ++tally.unanswered;
    break;
  }
  request.over = true;
  --open_;
}

void Callers::reset_some(double part) {
  std::vector<Held> all;
  for (auto& [id, c] : connections_) all.push_back(c);
  const auto count = static_cast<std::size_t>(part * static_cast<double>(all.size()) + 0.5);
  for (std::size_t i = 0; i < count; ++i) {
    asio::error_code ignored;
    all[i]->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    end(*all[i]);
  }
}

// ---- those who send what can't be read

void Callers::strangers(int count, std::uint64_t seed) {
  for (int i = 0; i < count; ++i) {
    ++strangers_sent_;
    asio::co_spawn(io_, stranger(seed + static_cast<std::uint64_t>(i)), asio::detached);
  }
}

asio::awaitable<void> Callers::stranger(std::uint64_t seed) {
  Pcg chance(seed);
  asio::error_code error;
  asio::ip::tcp::socket socket(io_);
  co_await socket.async_connect(server_, into(error));
  if (error) {
    ++strangers_answered_;
    co_return;
  }
  std::string bytes;
  switch (chance.next() % 5) {
  case 0: // noise
    for (int i = 0; i < 200; ++i) bytes += static_cast<char>(chance.next());
    break;
  case 1: // a length of 4 GB
    put(bytes, 0xffffffffu, 4);
    bytes += static_cast<char>(10);
    put(bytes, 1, 4);
    break;
  case 2: // a length too short
    put(bytes, 2, 4);
    bytes += std::string(8, '\0');
    break;
  case 3: // fields that overrun their frame
    put(bytes, 5 + 3, 4);
    bytes += static_cast<char>(10);
    put(bytes, 1, 4);
    bytes += std::string("\x02\x40v", 3);
    break;
  default: // half a frame, and nothing more
    put(bytes, 400, 4);
    bytes += static_cast<char>(10);
    put(bytes, 1, 4);
  }
  co_await asio::async_write(socket, asio::buffer(bytes), into(error));
  std::array<char, 256> some;
  while (!error) {
    if (co_await socket.async_read_some(asio::buffer(some), into(error)) > 0) break;
  }
  ++strangers_answered_;
}

} // namespace cometshift::load
