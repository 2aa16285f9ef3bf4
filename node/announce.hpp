// Client of the announce service, from which balancers learn that this server exists and whether it accepts
// ops. Owns one connection, which is reused between reports.
#pragma once

#include "http_reply.hpp"
#include "ids.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <string>

namespace cometshift {

// Reports the status at once when it changes, and repeats it at the report interval.
class AnnounceClient {
 public:
  AnnounceClient(asio::io_context& io, const std::string& address, std::string name);

  // Nothing is reported before the first call.
  void set_accepting(bool yes);
  // Reports to another service from now on, beginning at once.
  void set_address(const std::string& address);
  void set_report_interval(Nanos time) { report_interval_ = time; }
  void set_report_timeout(Nanos time) { report_timeout_ = time; }

 private:
  void report();
  void close_connection();
  void write();
  void read();
  void connection_failed();
  void report_finished(bool succeeded);
  void schedule_next_report();

  asio::io_context& io_;
  asio::ip::tcp::endpoint address_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::string name_;
  std::string output_;
  std::array<char, 2048> input_;
  HttpReply reply_;
  // Incremented with each report and each wait for the next one; handlers of earlier generations do nothing.
  std::uint64_t generation_ = 0;
  Nanos report_interval_ = 0;
  Nanos report_timeout_ = 0;
  bool accepting_ = false;
  bool has_status_ = false; // set_accepting() has been called
  bool report_in_flight_ = false;
  bool connected_ = false;
  bool connection_reused_ = false; // the current report did not open the connection
  bool failure_logged_ = false;
};

} // namespace cometshift
