// Reports to the announce service, by which balancers learn of this server. Owns its one connection.
#pragma once

#include "http_reply.hpp"
#include "ids.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <string>

namespace cometshift {

class AnnounceClient {
 public:
  AnnounceClient(asio::io_context& io, const std::string& address, std::string name);

  void set_accepting(bool yes); // reported at once, and then again and again
  void set_address(const std::string& address);
  void set_report_interval(Nanos time) { report_interval_ = time; }
  void set_report_timeout(Nanos time) { report_timeout_ = time; }

 private:
  void report();
  void close_connection();
  void write();
  void read();
  void connection_failed();
  void report_finished(bool ok);
  void schedule_next_report();

  asio::io_context& io_;
  asio::ip::tcp::endpoint address_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::string name_;
  std::string output_;
  std::array<char, 2048> input_;
  HttpReply reply_;
  std::uint64_t generation_ = 0; // counts reports and rests: handlers of earlier ones do nothing
  Nanos report_interval_ = 0;
  Nanos report_timeout_ = 0;
  bool accepting_ = false;
  bool has_status_ = false; // there is something to report
  bool report_in_flight_ = false;
  bool connected_ = false;
  bool connection_reused_ = false; // the connection was there before this report
  bool failure_logged_ = false;
};

} // namespace cometshift
