#include "http_client.hpp"

#include <asio/post.hpp>
#include <asio/write.hpp>

#include <array>
#include <utility>

namespace cometshift {

namespace {
constexpr std::size_t max_reply_body = 64 * 1024;
constexpr std::size_t input_bytes = 4096; // of one read
constexpr int reads_per_event = 20;       // the largest reply fits
} // namespace

HttpClient::HttpClient(asio::io_context& io, std::size_t max_connections)
    : io_(io), max_connections_(max_connections) {}

// Wraps a completion handler so that it does nothing once its call has ended.
template <class Step>
auto HttpClient::if_current(const Connection& c, Step step) {
  return [this, step, id = c.id, generation = c.generation](asio::error_code error, std::size_t n = 0) {
    const auto found = calls_.find(id);
    if (found != calls_.end() && found->second->generation == generation) step(*found->second, error, n);
  };
}

void HttpClient::call(CallId id, asio::ip::tcp::endpoint target, Nanos timeout, std::string head,
                      std::string body, std::string wanted_header, Callback callback, SendCheck may_send) {
  cancel(id);
  if (calls_.size() >= max_connections_) {
    // Bounds the number of file descriptors: the call ends without being sent.
    asio::post(io_, [callback] {
      HttpReply empty_reply;
      callback(Result::not_sent, empty_reply);
    });
    return;
  }
  Connection& c =
      *calls_.emplace(id, std::make_unique<Connection>(io_, id, ++last_generation_)).first->second;
  c.callback = std::move(callback);
  c.may_send = std::move(may_send);
  c.reply = HttpReply(std::move(wanted_header), max_reply_body);
  c.head = std::move(head);
  c.body = std::move(body);
  c.timer.expires_after(std::chrono::nanoseconds(timeout));
  c.timer.async_wait(if_current(c, [this](Connection& expired, asio::error_code stopped, std::size_t) {
    if (!stopped) expire(expired);
  }));
  c.socket.async_connect(target,
                         if_current(c, [this](Connection& connected, asio::error_code error, std::size_t) {
                           // Whatever the error, a connection that was not established has carried no byte
                           // of the call.
                           if (error || (connected.may_send && !connected.may_send()))
                             return finish(connected, Result::not_sent);
                           asio::error_code ignored;
                           connected.socket.non_blocking(true, ignored);
                           connected.connected = true;
                           connected.socket.set_option(asio::ip::tcp::no_delay(true), ignored);
                           write(connected);
                         }));
}

void HttpClient::write(Connection& c) {
  const std::array<asio::const_buffer, 2> buffers{asio::buffer(c.head), asio::buffer(c.body)};
  asio::async_write(c.socket, buffers,
                    if_current(c, [this](Connection& current, asio::error_code error, std::size_t) {
                      if (error) finish(current, Result::connection_lost);
                    }));
  wait_readable(c);
}

void HttpClient::wait_readable(Connection& c) {
  c.socket.async_wait(asio::socket_base::wait_read,
                      if_current(c, [this](Connection& from, asio::error_code error, std::size_t) {
                        if (error) return finish(from, Result::connection_lost); // unknown whether it ran
                        if (!read_reply(from)) wait_readable(from);
                      }));
}

// Reads what has arrived. Returns whether that ended the call.
bool HttpClient::read_reply(Connection& c) {
  std::array<char, input_bytes> input;
  HttpReply::State state = HttpReply::State::reading;
  for (int reads = 0; state == HttpReply::State::reading; ++reads) {
    if (reads == reads_per_event) return false;
    asio::error_code error;
    const std::size_t n = c.socket.read_some(asio::buffer(input), error);
    if (error == asio::error::would_block) return false;
    if (error) {
      finish(c, Result::connection_lost); // unknown whether the call ran
      return true;
    }
    state = c.reply.feed({input.data(), n});
  }
  finish(c, state == HttpReply::State::complete ? Result::complete : Result::malformed);
  return true;
}

// The call's time is over. Its reply may be waiting if it was this process that paused or was busy.
void HttpClient::expire(Connection& c) {
  if (!c.connected || !read_reply(c)) finish(c, Result::timed_out);
}

// The only place where a call ends and its connection is released. The connection is reset: further data is
// of no use, and the port is not held in TIME_WAIT.
void HttpClient::finish(Connection& c, Result result) {
  const Callback callback = std::move(c.callback);
  HttpReply reply = std::move(c.reply);
  asio::error_code ignored;
  c.socket.set_option(asio::socket_base::linger(true, 0), ignored);
  calls_.erase(c.id);
  if (callback) callback(result, reply);
}

void HttpClient::cancel(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  found->second->callback = nullptr;
  finish(*found->second, Result::connection_lost);
}

} // namespace cometshift
