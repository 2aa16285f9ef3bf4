// Calls to the records service: HTTP/1.1, each on a connection of its own. Owns the connections; none
// outlives its call. Guards against replies that are no answer to the call they would be read for (a second
// copy, noise behind one), and against connections forgotten on the other side, whose end proves nothing.
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

namespace cometshift {

class Records {
 public:
  using Then = std::function<void(Outcome, std::string reply)>; // what comes next, handed the end of a call

  Records(asio::io_context& io, const std::string& address, std::size_t most_connections);

  // One for each op at a time: another gives up the first. `then` is called once, never within this call.
  void call(OpId id, Nanos time_out, const std::string& body, Then then);
  void give_up(OpId id);                    // without a word; the connection is closed
  void move_to(const std::string& address); // for calls from now on; those in hand end where they are
  std::size_t connections() const { return calls_.size(); }

 private:
  struct Connection {
    Connection(asio::io_context& io, OpId o, std::uint64_t t) : socket(io), timer(io), op(o), turn(t) {}
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    OpId op;
    std::uint64_t turn; // counts calls: handlers of an earlier one do nothing
    Then then;
    std::string head, body;
    std::array<char, 4096> in;
    HttpReply reply;
  };

  void write(Connection& c);
  void read(Connection& c);
  void over(Connection& c, Outcome outcome);
  Outcome outcome_of(const HttpReply& reply) const;
  template <class Step>
  auto still(const Connection& c, Step step);

  asio::io_context& io_;
  asio::ip::tcp::endpoint address_;
  std::size_t most_connections_;
  std::map<OpId, std::unique_ptr<Connection>> calls_;
  std::uint64_t turns_ = 0;
};

} // namespace cometshift
