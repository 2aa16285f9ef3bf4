#include "records.hpp"

#include "address.hpp"
#include "log.hpp"

#include <asio/post.hpp>
#include <asio/write.hpp>

#include <cstdio>
#include <utility>

namespace cometshift {

namespace {
constexpr std::size_t most_reply = 64 * 1024;
constexpr const char* not_begun = "Op-Not-Begun";
} // namespace

Records::Records(asio::io_context& io, const std::string& address, std::size_t most_connections)
    : io_(io), address_(endpoint_of(address)), most_connections_(most_connections) {}

// A handler that does nothing once its connection, or its call, is over.
template <class Step>
auto Records::still(const Connection& c, Step step) {
  return [this, step, op = c.op, turn = c.turn](asio::error_code error, std::size_t n = 0) {
    const auto at = calls_.find(op);
    if (at != calls_.end() && at->second->turn == turn) step(*at->second, error, n);
  };
}

void Records::call(OpId id, Nanos time_out, const std::string& body, Then then) {
  give_up(id);
  if (calls_.size() >= most_connections_) {
    // Against using up the descriptors: this call never leaves.
    asio::post(io_, [then] { then(Outcome::unreachable, {}); });
    return;
  }
  Connection& c = *calls_.emplace(id, std::make_unique<Connection>(io_, id, ++turns_)).first->second;
  c.then = std::move(then);
  c.reply = HttpReply(not_begun, most_reply);
  c.body = body;
  char head[256];
  const long long wait_ms = std::max<long long>(1, (time_out + 999'999) / 1'000'000);
  std::snprintf(head, sizeof head,
                "POST /records/op HTTP/1.1\r\nHost: records\r\nOp-Of: %016llx\r\nOp-Wait-Ms: %lld\r\n"
                "Connection: close\r\nContent-Length: %zu\r\n\r\n",
                static_cast<unsigned long long>(id.raw), wait_ms, body.size());
  c.head = head;
  c.timer.expires_after(std::chrono::nanoseconds(time_out));
  c.timer.async_wait(still(c, [this](Connection& late, asio::error_code stopped, std::size_t) {
    if (!stopped) over(late, Outcome::timed_out);
  }));
  c.socket.async_connect(address_, still(c, [this](Connection& made, asio::error_code error, std::size_t) {
                           // Only a refused connection proves that nothing ran; another that can't be made
                           // has carried no byte of the call either.
                           if (error) return over(made, Outcome::unreachable);
                           asio::error_code ignored;
                           made.socket.set_option(asio::ip::tcp::no_delay(true), ignored);
                           write(made);
                         }));
}

void Records::write(Connection& c) {
  const std::array<asio::const_buffer, 2> whole{asio::buffer(c.head), asio::buffer(c.body)};
  asio::async_write(c.socket, whole, still(c, [this](Connection& to, asio::error_code error, std::size_t) {
                      if (error) over(to, Outcome::cut);
                    }));
  read(c);
}

void Records::read(Connection& c) {
  c.socket.async_read_some(asio::buffer(c.in),
                           still(c, [this](Connection& from, asio::error_code error, std::size_t n) {
                             if (error) return over(from, Outcome::cut); // how far the call got can't be told
                             switch (from.reply.feed({from.in.data(), n})) {
                             case HttpReply::State::reading:
                               return read(from);
                             case HttpReply::State::unreadable:
                               note("records", "a reply that can't be read");
                               return over(from, Outcome::cut);
                             case HttpReply::State::whole:
                               return over(from, outcome_of(from.reply));
                             }
                           }));
}

Outcome Records::outcome_of(const HttpReply& reply) const {
  const bool not_run = reply.header() == "1";
  switch (reply.status()) {
  case 200:
    return Outcome::done;
  case 503:
    return not_run ? Outcome::shed : Outcome::failed;
  case 409:
    return not_run ? Outcome::moot : Outcome::failed;
  case 504:
    return Outcome::timed_out;
  default:
    return Outcome::failed;
  }
}

// The one place where a call ends and its connection is given back. It is reset: what it may still bring is
// of no use, and ports don't wait for it.
void Records::over(Connection& c, Outcome outcome) {
  const Then then = std::move(c.then);
  std::string reply = outcome == Outcome::done ? std::move(c.reply.body()) : std::string();
  asio::error_code ignored;
  c.socket.set_option(asio::socket_base::linger(true, 0), ignored);
  calls_.erase(c.op);
  if (then) then(outcome, std::move(reply));
}

void Records::move_to(const std::string& address) { address_ = endpoint_of(address); }

void Records::give_up(OpId id) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) return;
  at->second->then = nullptr;
  over(*at->second, Outcome::cut);
}

} // namespace cometshift
