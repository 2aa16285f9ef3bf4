#include "http_client.hpp"

#include <asio/post.hpp>
#include <asio/write.hpp>

#include <utility>

namespace cometshift {

namespace {
constexpr std::size_t most_reply = 64 * 1024;
} // namespace

HttpCalls::HttpCalls(asio::io_context& io, std::size_t most_connections)
    : io_(io), most_connections_(most_connections) {}

// A handler that does nothing once its connection, or its call, is over.
template <class Step>
auto HttpCalls::still(const Connection& c, Step step) {
  return [this, step, id = c.id, turn = c.turn](asio::error_code error, std::size_t n = 0) {
    const auto at = calls_.find(id);
    if (at != calls_.end() && at->second->turn == turn) step(*at->second, error, n);
  };
}

void HttpCalls::call(CallId id, asio::ip::tcp::endpoint to, Nanos time_out, std::string head,
                     std::string body, std::string header_wanted, Then then, Go go) {
  give_up(id);
  if (calls_.size() >= most_connections_) {
    // Against using up the descriptors: this call never leaves.
    asio::post(io_, [then] {
      HttpReply none;
      then(End::unsent, none);
    });
    return;
  }
  Connection& c = *calls_.emplace(id, std::make_unique<Connection>(io_, id, ++turns_)).first->second;
  c.then = std::move(then);
  c.go = std::move(go);
  c.reply = HttpReply(std::move(header_wanted), most_reply);
  c.head = std::move(head);
  c.body = std::move(body);
  c.timer.expires_after(std::chrono::nanoseconds(time_out));
  c.timer.async_wait(still(c, [this](Connection& late, asio::error_code stopped, std::size_t) {
    if (!stopped) over(late, End::timed_out);
  }));
  c.socket.async_connect(to, still(c, [this](Connection& made, asio::error_code error, std::size_t) {
                           // Only a refused connection proves that nothing ran; another that can't be made
                           // has carried no byte of the call either.
                           if (error || (made.go && !made.go())) return over(made, End::unsent);
                           asio::error_code ignored;
                           made.socket.set_option(asio::ip::tcp::no_delay(true), ignored);
                           write(made);
                         }));
}

void HttpCalls::write(Connection& c) {
  const std::array<asio::const_buffer, 2> whole{asio::buffer(c.head), asio::buffer(c.body)};
  asio::async_write(c.socket, whole, still(c, [this](Connection& to, asio::error_code error, std::size_t) {
                      if (error) over(to, End::cut);
                    }));
  read(c);
}

void HttpCalls::read(Connection& c) {
  c.socket.async_read_some(asio::buffer(c.in),
                           still(c, [this](Connection& from, asio::error_code error, std::size_t n) {
                             if (error) return over(from, End::cut); // how far the call got can't be told
                             switch (from.reply.feed({from.in.data(), n})) {
                             case HttpReply::State::reading:
                               return read(from);
                             case HttpReply::State::unreadable:
                               return over(from, End::unreadable);
                             case HttpReply::State::whole:
                               return over(from, End::whole);
                             }
                           }));
}

// The one place where a call ends and its connection is given back. It is reset: what it may still bring is
// of no use, and ports don't wait for it.
void HttpCalls::over(Connection& c, End end) {
  const Then then = std::move(c.then);
  HttpReply reply = std::move(c.reply);
  asio::error_code ignored;
  c.socket.set_option(asio::socket_base::linger(true, 0), ignored);
  calls_.erase(c.id);
  if (then) then(end, reply);
}

void HttpCalls::give_up(CallId id) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) return;
  at->second->then = nullptr;
  over(*at->second, End::cut);
}

} // namespace cometshift
