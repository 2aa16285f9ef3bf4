#include "announce.hpp"

#include "address.hpp"
#include "log.hpp"

#include <asio/write.hpp>

namespace cometshift {

Announce::Announce(asio::io_context& io, const std::string& address, std::string name)
    : io_(io), address_(endpoint_of(address)), socket_(io), timer_(io), name_(std::move(name)) {}

void Announce::accepting(bool yes) {
  if (told_ && accepting_ == yes) return;
  accepting_ = yes;
  told_ = true;
  // A change does not wait for an answer to the report before it, which may never come.
  if (busy_) cut_off();
  report();
}

void Announce::cut_off() {
  asio::error_code ignored;
  socket_.close(ignored);
  open_ = false;
}

// A list elsewhere knows nothing of this server yet: it is told at once.
void Announce::move_to(const std::string& address) {
  const asio::ip::tcp::endpoint to = endpoint_of(address);
  if (to == address_) return;
  address_ = to;
  cut_off();
  if (told_) report();
}

void Announce::report() {
  const std::uint64_t turn = ++turn_;
  busy_ = true;
  const std::string body = accepting_ ? "{\"accepting\":\"true\"}" : "{\"accepting\":\"false\"}";
  out_ = "PUT /announce/" + name_ +
         " HTTP/1.1\r\nHost: announce\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  reply_ = HttpReply();
  timer_.expires_after(std::chrono::nanoseconds(patience_));
  timer_.async_wait([this, turn](asio::error_code stopped) {
    if (!stopped && turn == turn_) reported(false);
  });
  reused_ = open_;
  if (open_) return write();
  socket_ = asio::ip::tcp::socket(io_);
  socket_.async_connect(address_, [this, turn](asio::error_code error) {
    if (turn != turn_) return;
    if (error) return reported(false);
    open_ = true;
    asio::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    write();
  });
}

void Announce::write() {
  asio::async_write(socket_, asio::buffer(out_), [this, turn = turn_](asio::error_code error, std::size_t) {
    if (turn == turn_ && error) broken();
  });
  read();
}

// Against waiting for the next report where the service had only left the connection since the last one.
void Announce::broken() {
  if (!reused_) return reported(false);
  cut_off();
  report();
}

void Announce::read() {
  socket_.async_read_some(asio::buffer(in_), [this, turn = turn_](asio::error_code error, std::size_t n) {
    if (turn != turn_) return;
    if (error) return broken();
    const HttpReply::State state = reply_.feed({in_.data(), n});
    if (state == HttpReply::State::reading) return read();
    reported(state == HttpReply::State::whole && reply_.status() == 204);
  });
}

void Announce::reported(bool well) {
  ++turn_;
  busy_ = false;
  if (!well && !said_down_) note("announce", "not reported, the service is down or slow");
  if (well && said_down_) note("announce", "reported again");
  said_down_ = !well;
  if (!well || !reply_.keeps_open()) cut_off();
  rest();
}

void Announce::rest() {
  timer_.expires_after(std::chrono::nanoseconds(every_));
  timer_.async_wait([this, turn = turn_](asio::error_code stopped) {
    if (!stopped && turn == turn_) report();
  });
}

} // namespace cometshift
