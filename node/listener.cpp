#include "listener.hpp"

#include "address.hpp"
#include "log.hpp"

#include <asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace cometshift {

namespace {

// Connections that the kernel has completed and accept() has not returned yet. The kernel keeps one more.
constexpr int backlog = asio::socket_base::max_listen_connections;
constexpr int accepts_per_event = 64; // a flood of new connections must not starve the existing ones

} // namespace

Listener::Listener(asio::io_context& io, const std::string& address, Handler& handler)
    : io_(io), acceptor_(io), retry_timer_(io), handler_(handler) {
  try {
    const asio::ip::tcp::endpoint at = require_endpoint(address);
    acceptor_.open(at.protocol());
    // Connections of an earlier process may still be in TIME_WAIT.
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(at);
    acceptor_.listen(backlog);
    acceptor_.non_blocking(true);
    // An accept whose connection was aborted meanwhile returns that error instead of blocking for the next
    // one.
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  } catch (const asio::system_error& e) {
    throw std::invalid_argument("listen: " + address + ": " + e.code().message());
  }
  wait();
}

void Listener::wait() {
  acceptor_.async_wait(asio::socket_base::wait_read, [this](asio::error_code error) {
    if (state_ != State::open) return;
    if (!error) accept_pending(accepts_per_event, error);
    if (!error || error == asio::error::would_block || error == asio::error::connection_aborted)
      return wait();
    retry_after_delay(error);
  });
}

// Accepts up to `most` pending connections. Returns how many are no longer pending, and the error that ended
// the loop, if one did.
int Listener::accept_pending(int most, asio::error_code& error) {
  int count = 0;
  for (; count < most; ++count) {
    asio::ip::tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (error == asio::error::connection_aborted) { // others may still be pending
      error = {};
      continue;
    }
    if (error) break;
    handler_.accepted(std::move(socket));
  }
  return count;
}

// Without the delay the loop would spin while no descriptor is free.
void Listener::retry_after_delay(asio::error_code error) {
  log_info("accept", "%s", error.message().c_str());
  handler_.free_descriptor();
  retry_pending_ = true;
  retry_timer_.expires_after(std::chrono::nanoseconds(retry_delay_));
  retry_timer_.async_wait([this](asio::error_code stopped) {
    if (stopped) return;
    retry_pending_ = false;
    if (state_ == State::open) wait();
  });
}

// Closing the socket resets connections that are not accepted yet, and callers may have written to them.
// Pending connections are accepted in the order in which they came, so those that were pending at the first
// call are accepted once as many are as the backlog holds. Waiting for an empty backlog instead would never
// end while clients connect faster than they are accepted.
void Listener::close_after_pending() {
  if (state_ == State::closed) return;
  if (state_ == State::open) {
    log_info("drain", "the listener closes, after the connections that are pending");
    state_ = State::closing;
    accepts_before_close_ = backlog + 1;
    retry_timer_.cancel();
    retry_pending_ = false;
  }
  if (retry_pending_) return;
  asio::error_code error;
  accepts_before_close_ -= accept_pending(std::min(accepts_per_event, accepts_before_close_), error);
  if (error == asio::error::would_block || accepts_before_close_ == 0) return close();
  if (error) return handler_.may_free_descriptor() ? retry_after_delay(error) : close();
  asio::post(io_, [] {}); // the next turn follows at once
}

void Listener::close() {
  state_ = State::closed;
  asio::error_code ignored;
  acceptor_.close(ignored);
  log_info("drain", "the listener is closed, %d connections were accepted first",
           backlog + 1 - accepts_before_close_);
}

} // namespace cometshift
