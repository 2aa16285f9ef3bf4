// TCP relay for one direction between two processes, with faults on request: accepts connections at one
// address and forwards what arrives on them to another. Owns both sockets of each connection. Loopback only.
#pragma once

#include "party.hpp"

#include <memory>
#include <set>

namespace cometshift::fleet {

// Forwards connections and injects the faults that its methods ask for.
class Relay {
 public:
  using Tcp = asio::ip::tcp;
  Relay(asio::io_context& io, Tcp::endpoint listen, Tcp::endpoint to);

  // Faults. What is held back during a cut is forwarded at once when the cut ends.
  void cut(bool enabled) { cuts_ += enabled ? 1 : -1; } // cuts nest: each needs its own end
  bool is_cut() const { return cuts_ > 0; }
  void delay(Nanos duration) { delay_ = duration; }
  void trickle(bool enabled) { trickle_ = enabled; }
  void corrupt_next() { corrupt_next_ = true; } // one byte of the next read
  void reset();                                 // all connections, after a few more bytes
  void half_open();                             // closes the server side; the client side isn't told

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
