// HTTP/1.1 calls, each on a connection of its own. Owns the connections; none outlives its call. Guards
// against replies that are no answer to the call they would be read for (a second copy, noise behind one),
// and against connections forgotten on the other side, whose end proves nothing.
#pragma once

#include "http_reply.hpp"
#include "ids.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cometshift {

using CallId = Id<struct CallIdTag, std::uint64_t>;

class HttpCalls {
 public:
  // How a call ended: `unsent`: no byte of it left; `cut`, `timed_out`, `unreadable`: it may have had its
  // effect.
  enum class End { whole, unsent, cut, timed_out, unreadable };
  using Then = std::function<void(End, HttpReply&)>; // what comes next, handed the end of a call
  using Go = std::function<bool()>;                  // asked in the instant before the first byte goes out

  HttpCalls(asio::io_context& io, std::size_t most_connections);

  // One for each id at a time: another gives up the first. `head` ends with an empty line. `then` is called
  // once, never within this call.
  void call(CallId id, asio::ip::tcp::endpoint to, Nanos time_out, std::string head, std::string body,
            std::string header_wanted, Then then, Go go = {});
  void give_up(CallId id); // without a word; the connection is closed
  std::size_t connections() const { return calls_.size(); }

 private:
  struct Connection {
    Connection(asio::io_context& io, CallId i, std::uint64_t t) : socket(io), timer(io), id(i), turn(t) {}
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    CallId id;
    std::uint64_t turn; // counts calls: handlers of an earlier one do nothing
    Then then;
    Go go;
    std::string head, body;
    std::array<char, 4096> in;
    HttpReply reply;
  };

  void write(Connection& c);
  void read(Connection& c);
  void over(Connection& c, End end);
  template <class Step>
  auto still(const Connection& c, Step step);

  asio::io_context& io_;
  std::size_t most_connections_;
  std::map<CallId, std::unique_ptr<Connection>> calls_;
  std::uint64_t turns_ = 0;
};

} // namespace cometshift
