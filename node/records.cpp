#include "records.hpp"

#include "address.hpp"
#include "log.hpp"

#include <cstdio>
#include <utility>

namespace cometshift {

namespace {

constexpr const char* not_begun = "Op-Not-Begun";

Outcome outcome_of(HttpCalls::End end, const HttpReply& reply) {
  switch (end) {
  case HttpCalls::End::unsent:
    return Outcome::unreachable;
  case HttpCalls::End::timed_out:
    return Outcome::timed_out;
  case HttpCalls::End::unreadable:
    note("records", "a reply that can't be read");
    return Outcome::cut;
  case HttpCalls::End::cut:
    return Outcome::cut;
  case HttpCalls::End::whole:
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

Records::Records(asio::io_context& io, const std::string& address, std::size_t most_connections)
    : address_(endpoint_of(address)), calls_(io, most_connections) {}

void Records::call(OpId id, Nanos time_out, const std::string& body, Then then) {
  char head[256];
  const long long wait_ms = std::max<long long>(1, (time_out + 999'999) / 1'000'000);
  std::snprintf(head, sizeof head,
                "POST /records/op HTTP/1.1\r\nHost: records\r\nOp-Of: %016llx\r\nOp-Wait-Ms: %lld\r\n"
                "Connection: close\r\nContent-Length: %zu\r\n\r\n",
                static_cast<unsigned long long>(id.raw), wait_ms, body.size());
  calls_.call(CallId{id.raw}, address_, time_out, head, body, not_begun,
              [then = std::move(then)](HttpCalls::End end, HttpReply& reply) {
                const Outcome outcome = outcome_of(end, reply);
                then(outcome, outcome == Outcome::done ? std::move(reply.body()) : std::string());
              });
}

void Records::move_to(const std::string& address) { address_ = endpoint_of(address); }

} // namespace cometshift
