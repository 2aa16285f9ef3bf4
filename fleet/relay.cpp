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
constexpr Nanos poll_interval = 2 * ms; // for the end of a cut
// Forwarded before a reset: less than a frame with a payload.
constexpr std::size_t bytes_before_reset = 11;
auto into(asio::error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }
} // namespace

Relay::Relay(asio::io_context& io, Tcp::endpoint listen, Tcp::endpoint to)
    : io_(io), upstream_(to), listener_(io, listen, [this](Tcp::socket socket) {
        const auto connection = std::make_shared<Connection>(std::move(socket), io_);
        connections_.insert(connection);
        asio::co_spawn(io_, serve(connection), asio::detached);
      }) {}

asio::awaitable<void> Relay::sleep_for(Nanos time) {
  asio::steady_timer timer(io_, std::chrono::nanoseconds(time));
  asio::error_code ignored;
  co_await timer.async_wait(into(ignored));
}

void Relay::close_connection(Connection& connection, bool abortive) {
  if (connection.closed) return;
  connection.closed = true;
  asio::error_code ignored;
  if (abortive) {
    connection.client.set_option(asio::socket_base::linger(true, 0), ignored);
    connection.server.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  connection.client.close(ignored);
  connection.server.close(ignored);
  std::erase_if(connections_, [&](const auto& other) { return other.get() == &connection; });
}

// While the relay is cut nothing of a connection reaches the other side, not even its opening.
asio::awaitable<void> Relay::serve(std::shared_ptr<Connection> connection) {
  while (is_cut() && !connection->closed) co_await sleep_for(poll_interval);
  if (connection->closed) co_return;
  asio::error_code error, ignored;
  co_await connection->server.async_connect(upstream_, into(error));
  if (error) {
    close_connection(*connection, true);
    co_return;
  }
  connection->client.set_option(Tcp::no_delay(true), ignored);
  connection->server.set_option(Tcp::no_delay(true), ignored);
  asio::co_spawn(io_, pump(connection, false), asio::detached);
  co_await pump(connection, true);
}

asio::awaitable<void> Relay::pump(std::shared_ptr<Connection> connection, bool to_server) {
  Tcp::socket& from = to_server ? connection->client : connection->server;
  Tcp::socket& to = to_server ? connection->server : connection->client;
  std::array<char, 16 * 1024> buffer;
  for (;;) {
    asio::error_code error;
    std::size_t n = co_await from.async_read_some(asio::buffer(buffer), into(error));
    if (connection->closed) co_return;
    if (to_server && delay_ > 0) co_await sleep_for(delay_);
    while (is_cut() && !connection->closed) co_await sleep_for(poll_interval);
    if (connection->closed || (connection->discarding && !to_server)) co_return;
    if (error) {
      close_connection(*connection, error != asio::error::eof);
      co_return;
    }
    if (connection->discarding) continue;
    bytes_ += n;
    if (to_server && corrupt_next_) {
      buffer[n / 2] = static_cast<char>(buffer[n / 2] ^ 0x20);
      corrupt_next_ = false;
    }
    if (to_server && connection->reset_soon) n = std::min(n, bytes_before_reset);
    if (to_server && trickle_) {
      for (std::size_t i = 0; i < n && !error && !connection->closed; ++i) {
        co_await asio::async_write(to, asio::buffer(buffer.data() + i, 1), into(error));
        if (trickle_) co_await sleep_for(poll_interval);
      }
    } else {
      co_await asio::async_write(to, asio::buffer(buffer.data(), n), into(error));
    }
    if (connection->closed) co_return;
    if (error || (to_server && connection->reset_soon)) {
      close_connection(*connection, true);
      co_return;
    }
  }
}

void Relay::reset() {
  for (const auto& connection : connections_) connection->reset_soon = true;
}

void Relay::half_open() {
  for (const auto& connection : connections_) {
    connection->discarding = true;
    asio::error_code ignored;
    connection->server.close(ignored);
  }
}

} // namespace cometshift::fleet
