#include "relay.hpp"

#include <asio/buffer.hpp>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <vector>

namespace cometshift::fleet {

namespace {
constexpr Nanos ms = 1'000'000;
constexpr Nanos look_again = 2 * ms;     // whether it is whole again
constexpr std::size_t within_frame = 11; // bytes that still go before a reset: less than a frame with words
auto into(asio::error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }
} // namespace

Relay::Relay(asio::io_context& io, Tcp::endpoint listen, Tcp::endpoint to)
    : io_(io), to_(to), door_(io, listen, [this](Tcp::socket socket) {
        const auto pair = std::make_shared<Pair>(std::move(socket), io_);
        pairs_.insert(pair);
        asio::co_spawn(io_, serve(pair), asio::detached);
      }) {}

asio::awaitable<void> Relay::rest(Nanos time) {
  asio::steady_timer timer(io_, std::chrono::nanoseconds(time));
  asio::error_code ignored;
  co_await timer.async_wait(into(ignored));
}

void Relay::end(Pair& pair, bool hard) {
  if (pair.over) return;
  pair.over = true;
  asio::error_code ignored;
  if (hard) {
    pair.near.set_option(asio::socket_base::linger(true, 0), ignored);
    pair.far.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  pair.near.close(ignored);
  pair.far.close(ignored);
  std::erase_if(pairs_, [&](const auto& one) { return one.get() == &pair; });
}

// While it is cut nothing of a connection reaches the other side, not even its beginning.
asio::awaitable<void> Relay::serve(std::shared_ptr<Pair> pair) {
  while (is_cut() && !pair->over) co_await rest(look_again);
  if (pair->over) co_return;
  asio::error_code error, ignored;
  co_await pair->far.async_connect(to_, into(error));
  if (error) {
    end(*pair, true);
    co_return;
  }
  pair->near.set_option(Tcp::no_delay(true), ignored);
  pair->far.set_option(Tcp::no_delay(true), ignored);
  asio::co_spawn(io_, pump(pair, false), asio::detached);
  co_await pump(pair, true);
}

asio::awaitable<void> Relay::pump(std::shared_ptr<Pair> pair, bool onward) {
  Tcp::socket& from = onward ? pair->near : pair->far;
  Tcp::socket& to = onward ? pair->far : pair->near;
  std::array<char, 16 * 1024> some;
  for (;;) {
    asio::error_code error;
    std::size_t n = co_await from.async_read_some(asio::buffer(some), into(error));
    if (pair->over) co_return;
    if (onward && delay_ > 0) co_await rest(delay_);
    while (is_cut() && !pair->over) co_await rest(look_again);
    if (pair->over || (pair->deaf && !onward)) co_return;
    if (error) {
      end(*pair, error != asio::error::eof);
      co_return;
    }
    if (pair->deaf) continue; // swallowed
    bytes_ += n;
    if (onward && spoil_) {
      some[n / 2] = static_cast<char>(some[n / 2] ^ 0x20);
      spoil_ = false;
    }
    if (onward && pair->reset_soon) n = std::min(n, within_frame);
    if (onward && trickle_) {
      for (std::size_t i = 0; i < n && !error && !pair->over; ++i) {
        co_await asio::async_write(to, asio::buffer(some.data() + i, 1), into(error));
        if (trickle_) co_await rest(look_again);
      }
    } else {
      co_await asio::async_write(to, asio::buffer(some.data(), n), into(error));
    }
    if (pair->over) co_return;
    if (error || (onward && pair->reset_soon)) {
      end(*pair, true);
      co_return;
    }
  }
}

void Relay::reset() {
  for (const auto& pair : pairs_) pair->reset_soon = true;
}

void Relay::half_open() {
  for (const auto& pair : pairs_) {
    pair->deaf = true;
    asio::error_code ignored;
    pair->far.close(ignored);
  }
}

} // namespace cometshift::fleet
