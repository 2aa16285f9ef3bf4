#include "records.hpp"

#include "address.hpp"
#include "log.hpp"

#include <cstdio>
#include <utility>

namespace cometshift {

namespace {

// Response header by which the service states that the call was not begun.
constexpr const char* not_begun_header = "Op-Not-Begun";

Outcome to_outcome(HttpClient::Result result, const HttpReply& reply) {
  switch (result) {
  case HttpClient::Result::not_sent:
    return Outcome::unreachable;
  case HttpClient::Result::timed_out:
    return Outcome::timed_out;
  case HttpClient::Result::malformed:
    log_info("records", "malformed reply");
    return Outcome::cut;
  case HttpClient::Result::connection_lost:
    return Outcome::cut;
  case HttpClient::Result::complete:
    break;
  }
  const bool not_run = reply.header() == "1";
  switch (reply.status()) {
  case 200:
    return Outcome::done;
  case 503:
    return not_run ? Outcome::shed : Outcome::failed;
  case 409:
    return not_run ? Outcome::moot : Outcome::failed;
  case 504:
    return Outcome::timed_out;
  default:
    return Outcome::failed;
  }
}

} // namespace

RecordsClient::RecordsClient(asio::io_context& io, const std::string& address, std::size_t max_connections)
    : address_(require_endpoint(address)), client_(io, max_connections) {}

void RecordsClient::call(OpId id, Nanos timeout, const std::string& body, Callback callback) {
  char head[256];
  const long long wait_ms = std::max<long long>(1, (timeout + 999'999) / 1'000'000);
  std::snprintf(head, sizeof head,
                "POST /records/op HTTP/1.1\r\nHost: records\r\nOp-Of: %016llx\r\nOp-Wait-Ms: %lld\r\n"
                "Connection: close\r\nContent-Length: %zu\r\n\r\n",
                static_cast<unsigned long long>(id.raw), wait_ms, body.size());
  client_.call(CallId{id.raw}, address_, timeout, head, body, not_begun_header,
               [callback = std::move(callback)](HttpClient::Result result, HttpReply& reply) {
                 const Outcome outcome = to_outcome(result, reply);
                 callback(outcome, outcome == Outcome::done ? std::move(reply.body()) : std::string());
               });
}

void RecordsClient::set_address(const std::string& address) { address_ = require_endpoint(address); }

} // namespace cometshift
