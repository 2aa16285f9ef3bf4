// Reports to the announce service, by which balancers learn of this server. Owns its one connection.
#pragma once

#include "http_reply.hpp"
#include "ids.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <string>

namespace cometshift {

class Announce {
 public:
  Announce(asio::io_context& io, const std::string& address, std::string name);

  void accepting(bool yes); // reported at once, and then again and again
  void move_to(const std::string& address);
  void report_every(Nanos time) { every_ = time; }
  void wait_for_reply(Nanos time) { patience_ = time; }

 private:
  void report();
  void cut_off();
  void write();
  void read();
  void broken();
  void reported(bool well);
  void rest();

  asio::io_context& io_;
  asio::ip::tcp::endpoint address_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::string name_;
  std::string out_;
  std::array<char, 2048> in_;
  HttpReply reply_;
  std::uint64_t turn_ = 0; // counts reports and rests: handlers of earlier ones do nothing
  Nanos every_ = 0;
  Nanos patience_ = 0;
  bool accepting_ = false;
  bool told_ = false; // there is something to report
  bool busy_ = false;
  bool open_ = false;
  bool reused_ = false; // the connection was there before this report
  bool said_down_ = false;
};

} // namespace cometshift
