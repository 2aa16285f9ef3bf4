// One way between two processes, with faults by order: takes connections at one address and hands what comes
// on them to another. Owns both sides of each. On loopback only.
#pragma once

#include "party.hpp"

#include <memory>
#include <set>

namespace cometshift::fleet {

class Relay {
 public:
  using Tcp = asio::ip::tcp;
  Relay(asio::io_context& io, Tcp::endpoint listen, Tcp::endpoint to);

  // Faults. What is held while it is cut goes on at once when it is whole again.
  void cut(bool enabled) { cuts_ += enabled ? 1 : -1; } // as often whole again as cut
  bool is_cut() const { return cuts_ > 0; }
  void delay(Nanos duration) { delay_ = duration; }
  void trickle(bool enabled) { trickle_ = enabled; }
  void corrupt_next() { corrupt_next_ = true; } // the next bytes: one of them
  void reset();                                 // all connections, after a few bytes more
  void half_open();                             // the far side is closed, the near side hears nothing of it

  std::uint64_t bytes() const { return bytes_; }

 private:
  struct Connection {
    explicit Connection(Tcp::socket n, asio::io_context& io) : client(std::move(n)), server(io) {}
    Tcp::socket client, server;
    bool reset_soon = false, discarding = false, closed = false;
  };
  asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
  asio::awaitable<void> pump(std::shared_ptr<Connection> connection, bool to_server);
  asio::awaitable<void> sleep_for(Nanos time);
  void close_connection(Connection& connection, bool abortive);

  asio::io_context& io_;
  Tcp::endpoint upstream_;
  int cuts_ = 0;
  Nanos delay_ = 0;
  bool trickle_ = false, corrupt_next_ = false;
  std::set<std::shared_ptr<Connection>> connections_;
  std::uint64_t bytes_ = 0;
  standin::Door listener_;
};

} // namespace cometshift::fleet
