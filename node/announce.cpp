#include "announce.hpp"

#include "address.hpp"
#include "log.hpp"

#include <asio/write.hpp>

namespace cometshift {

AnnounceClient::AnnounceClient(asio::io_context& io, const std::string& address, std::string name)
    : io_(io), address_(require_endpoint(address)), socket_(io), timer_(io), name_(std::move(name)) {}

void AnnounceClient::set_accepting(bool yes) {
  if (has_status_ && accepting_ == yes) return;
  accepting_ = yes;
  has_status_ = true;
  // A change does not wait for the reply to the previous report, which may never arrive.
  if (report_in_flight_) close_connection();
  report();
}

void AnnounceClient::close_connection() {
  asio::error_code ignored;
  socket_.close(ignored);
  connected_ = false;
}

// The service at the new address does not know this server yet, so it is notified at once.
void AnnounceClient::set_address(const std::string& address) {
  const asio::ip::tcp::endpoint to = require_endpoint(address);
  if (to == address_) return;
  address_ = to;
  close_connection();
  if (has_status_) report();
}

void AnnounceClient::report() {
  const std::uint64_t generation = ++generation_;
  report_in_flight_ = true;
  const std::string body = accepting_ ? "{\"accepting\":\"true\"}" : "{\"accepting\":\"false\"}";
  output_ = "PUT /announce/" + name_ +
            " HTTP/1.1\r\nHost: announce\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
            body;
  reply_ = HttpReply();
  timer_.expires_after(std::chrono::nanoseconds(report_timeout_));
  timer_.async_wait([this, generation](asio::error_code stopped) {
    if (!stopped && generation == generation_) report_finished(false);
  });
  connection_reused_ = connected_;
  if (connected_) return write();
  socket_ = asio::ip::tcp::socket(io_);
  socket_.async_connect(address_, [this, generation](asio::error_code error) {
    if (generation != generation_) return;
    if (error) return report_finished(false);
    connected_ = true;
    asio::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    write();
  });
}

void AnnounceClient::write() {
  asio::async_write(socket_, asio::buffer(output_),
                    [this, generation = generation_](asio::error_code error, std::size_t) {
                      if (generation == generation_ && error) connection_failed();
                    });
  read();
}

// If the service closed an idle connection since the last report, the report is retried at once on a new
// connection instead of being postponed by a whole report interval.
void AnnounceClient::connection_failed() {
  if (!connection_reused_) return report_finished(false);
  close_connection();
  report();
}

void AnnounceClient::read() {
  socket_.async_read_some(asio::buffer(input_),
                          [this, generation = generation_](asio::error_code error, std::size_t n) {
                            if (generation != generation_) return;
                            if (error) return connection_failed();
                            const HttpReply::State state = reply_.feed({input_.data(), n});
                            if (state == HttpReply::State::reading) return read();
                            report_finished(state == HttpReply::State::complete && reply_.status() == 204);
                          });
}

void AnnounceClient::report_finished(bool succeeded) {
  ++generation_;
  report_in_flight_ = false;
  if (!succeeded && !failure_logged_)
    log_info("announce",
             "report failed: the announce service is unreachable, slow or did not reply with 204");
  if (succeeded && failure_logged_) log_info("announce", "reported again");
  failure_logged_ = !succeeded;
  if (!succeeded || !reply_.keep_alive()) close_connection();
  schedule_next_report();
}

void AnnounceClient::schedule_next_report() {
  timer_.expires_after(std::chrono::nanoseconds(report_interval_));
  timer_.async_wait([this, generation = generation_](asio::error_code stopped) {
    if (!stopped && generation == generation_) report();
  });
}

} // namespace cometshift
