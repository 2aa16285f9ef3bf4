// Calls to the records service: HTTP/1.1, one call at a time on a connection. Owns the connections; none is
// in a call that has ended, and none stays idle for long.
#pragma once

#include "http.hpp"
#include "ids.hpp"
#include "state.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cometshift {

class Records {
 public:
  using Then = std::function<void(Outcome, std::string reply)>; // what comes next, handed the end of a call

  Records(asio::io_context& io, const std::string& address, std::size_t most_connections);

  // One for each op at a time: another gives up the first. `then` is called once, never within this call.
  void call(OpId id, Nanos time_out, const std::string& body, Then then);
  void give_up(OpId id);                    // without a word; the connection is closed
  void move_to(const std::string& address); // for calls from now on; those in hand end where they are
  void idle_close(Nanos after) { idle_ = after; }
  void sweep(Nanos now);
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection {
    Connection(asio::io_context& io, const asio::ip::tcp::endpoint& a, std::uint64_t i)
        : socket(io), timer(io), to(a), id(i) {}
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    asio::ip::tcp::endpoint to;
    std::uint64_t id;
    OpId op; // no_op: idle
    Then then;
    std::uint64_t turn = 0; // counts calls: a timer of an earlier one does nothing
    Nanos idle_since = 0;
    std::string head, body;
    std::array<char, 4096> in;
    HttpReply reply;
  };

  void write(Connection& c);
  void read(Connection& c);
  void over(Connection& c, Outcome outcome, bool keep);
  Outcome outcome_of(const HttpReply& reply) const;
  template <class Step>
  auto still(const Connection& c, Step step);

  asio::io_context& io_;
  asio::ip::tcp::endpoint address_;
  std::size_t most_connections_;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::map<OpId, std::uint64_t> calls_; // the connection of each
  std::vector<std::uint64_t> idle_ones_;
  std::uint64_t next_ = 1;
  Nanos idle_ = 0;
  Nanos now_ = 0;
};

} // namespace cometshift
