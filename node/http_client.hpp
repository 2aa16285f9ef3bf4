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

class HttpClient {
 public:
  // How a call ended: `unsent`: no byte of it left; `cut`, `timed_out`, `unreadable`: it may have had its
  // effect.
  enum class Result { complete, not_sent, connection_lost, timed_out, malformed };
  using Callback = std::function<void(Result, HttpReply&)>; // what comes next, handed the end of a call
  using SendCheck = std::function<bool()>; // asked in the instant before the first byte goes out

  HttpClient(asio::io_context& io, std::size_t max_connections);

  // One for each id at a time: another gives up the first. `head` ends with an empty line. `then` is called
  // once, never within this call.
  void call(CallId id, asio::ip::tcp::endpoint target, Nanos timeout, std::string head, std::string body,
            std::string wanted_header, Callback callback, SendCheck may_send = {});
  void cancel(CallId id); // without a word; the connection is closed
  std::size_t connections() const { return calls_.size(); }

 private:
  struct Connection {
    Connection(asio::io_context& io, CallId i, std::uint64_t t)
        : socket(io), timer(io), id(i), generation(t) {}
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    CallId id;
    std::uint64_t generation; // counts calls: handlers of an earlier one do nothing
    Callback callback;
    SendCheck may_send;
    std::string head, body;
    std::array<char, 4096> in;
    HttpReply reply;
  };

  void write(Connection& c);
  void read(Connection& c);
  void finish(Connection& c, Result result);
  template <class Step>
  auto if_current(const Connection& c, Step step);

  asio::io_context& io_;
  std::size_t max_connections_;
  std::map<CallId, std::unique_ptr<Connection>> calls_;
  std::uint64_t last_generation_ = 0;
};

} // namespace cometshift
