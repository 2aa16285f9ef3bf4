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
  void cut(bool yes) { cuts_ += yes ? 1 : -1; } // as often whole again as cut
  bool is_cut() const { return cuts_ > 0; }
  void delay(Nanos by) { delay_ = by; }
  void trickle(bool yes) { trickle_ = yes; }
  void spoil() { spoil_ = true; } // the next bytes: one of them
  void reset();                   // all connections, after a few bytes more
  void half_open();               // the far side is closed, the near side hears nothing of it

  std::uint64_t bytes() const { return bytes_; }

 private:
  struct Pair {
    explicit Pair(Tcp::socket n, asio::io_context& io) : near(std::move(n)), far(io) {}
    Tcp::socket near, far;
    bool reset_soon = false, deaf = false, over = false;
  };
  asio::awaitable<void> serve(std::shared_ptr<Pair> pair);
  asio::awaitable<void> pump(std::shared_ptr<Pair> pair, bool onward);
  asio::awaitable<void> rest(Nanos time);
  void end(Pair& pair, bool hard);

  asio::io_context& io_;
  Tcp::endpoint to_;
  int cuts_ = 0;
  Nanos delay_ = 0;
  bool trickle_ = false, spoil_ = false;
  std::set<std::shared_ptr<Pair>> pairs_;
  std::uint64_t bytes_ = 0;
  standin::Door door_;
};

} // namespace cometshift::fleet
