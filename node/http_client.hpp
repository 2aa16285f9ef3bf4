// HTTP/1.1 client that opens a connection for each call and closes it when the call ends. Connections are not
// reused for two reasons: a duplicate reply, or bytes behind a reply, could be read as the reply to the next
// call; and when a kept connection that the server has dropped ends, that does not prove whether the call
// ran.
#pragma once

#include "http_reply.hpp"
#include "ids.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cometshift {

using CallId = Id<struct CallIdTag, std::uint64_t>;

// Makes concurrent calls, at most one per id.
class HttpClient {
 public:
  // How a call ended. `not_sent`: no byte of it was sent, so it had no effect. `connection_lost`,
  // `timed_out`, `malformed`: it may have had its effect.
  enum class Result { complete, not_sent, connection_lost, timed_out, malformed };
  using Callback = std::function<void(Result, HttpReply&)>;
  // Called right before the first byte is sent; if it returns false, the call ends as `not_sent`.
  using SendCheck = std::function<bool()>;

  HttpClient(asio::io_context& io, std::size_t max_connections);

  // Starts a call; a call in progress with the same id is cancelled. `head` includes the empty line that ends
  // it. The reply's header `wanted_header` is kept. `callback` is called once, never from within this
  // function, and not at all if the call is cancelled.
  void call(CallId id, asio::ip::tcp::endpoint target, Nanos timeout, std::string head, std::string body,
            std::string wanted_header, Callback callback, SendCheck may_send = {});
  // Closes the connection; the callback is not called.
  void cancel(CallId id);
  std::size_t connections() const { return calls_.size(); }

 private:
  struct Connection {
    Connection(asio::io_context& io, CallId i, std::uint64_t t)
        : socket(io), timer(io), id(i), generation(t) {}
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    CallId id;
    std::uint64_t generation; // unique per call: handlers of an earlier call with the same id do nothing
    Callback callback;
    SendCheck may_send;
    std::string head, body;
    bool connected = false;
    HttpReply reply;
  };

  void write(Connection& c);
  void wait_readable(Connection& c);
  bool read_reply(Connection& c);
  void expire(Connection& c);
  void finish(Connection& c, Result result);
  template <class Step>
  auto if_current(const Connection& c, Step step);

  asio::io_context& io_;
  std::size_t max_connections_;
  std::map<CallId, std::unique_ptr<Connection>> calls_;
  std::uint64_t last_generation_ = 0;
};

} // namespace cometshift
