// The listening socket. Owns the acceptor and the delay after a failed accept; accepted sockets pass to the
// handler. Each event accepts a bounded number of connections, however many are pending.
#pragma once

#include "ids.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <string>

namespace cometshift {

// Accepts connections until it is closed.
class Listener {
 public:
  // Receives the accepted connections.
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void accepted(asio::ip::tcp::socket socket) = 0;
    // An accept failed, most likely as no descriptor is free: frees one if that is possible at once.
    virtual void free_descriptor() = 0;
    // Whether a descriptor may become free, so that pending connections can still be accepted.
    virtual bool may_free_descriptor() const = 0;
  };

  // Listens on `address`; throws std::invalid_argument if that fails.
  Listener(asio::io_context& io, const std::string& address, Handler& handler);

  // Delay after a failed accept.
  void set_retry_delay(Nanos delay) { retry_delay_ = delay; }
  // Accepts the connections that are pending at the first call, some with each call, and then closes the
  // socket. Called once in each turn from the first call on.
  void close_after_pending();

  bool closing() const { return state_ != State::open; }
  bool closed() const { return state_ == State::closed; }

 private:
  enum class State { open, closing, closed };

  void wait();
  int accept_pending(int most, asio::error_code& error);
  void retry_after_delay(asio::error_code error);
  void close();

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  Handler& handler_;
  Nanos retry_delay_ = 0;
  State state_ = State::open;
  bool retry_pending_ = false;   // the delay after a failed accept is not over
  int accepts_before_close_ = 0; // while closing: how many connections are still to be accepted
};

} // namespace cometshift
