// Balancers that speak the server's frames, on one loop: connections as needed, up to 32 open ops on each,
// answers in any order. Sends what a Demand says and checks every answer against the rules, from outside.
#pragma once

#include "demand.hpp"
#include "rules.hpp"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <set>

namespace cometshift::load {

struct Tally { // of one op type, requests by how they ended for their client
  std::uint64_t asked = 0, in_target = 0, late = 0, refused = 0, failed = 0, unanswered = 0;
  std::vector<float> latencies_ms; // of those served, from the first try
};

class Callers {
 public:
  Callers(asio::io_context& io, asio::ip::tcp::endpoint server, Demand& demand, Rules& rules,
          std::vector<std::string> tenants);

  void begin(Nanos length); // asks for so long, then no more
  void stop();              // asks for nothing more and ends what is open, as where the server is killed
  bool idle() const { return open_ == 0 && done_asking_; }
  void reset_some(double part);
  void strangers(int count, std::uint64_t seed);

  // The interpreter's word on what ran.
  void ran(OpId op) { ran_.insert(op); }

  const std::vector<Tally>& tallies() const { return tallies_; }
  std::uint64_t tries() const { return tries_; }
  std::uint64_t wrong_results() const {
    return wrong_results_;
  } // served with what no run of the request made
  std::uint64_t connections() const { return connections_made_; }
  std::uint64_t broken_connections() const { return broken_; }
  std::uint64_t strangers_answered() const { return strangers_answered_; } // refused, an error or a close
  std::uint64_t strangers_sent() const { return strangers_sent_; }
  std::vector<float>& answer_ms() { return answer_ms_; } // of every try, from its sending

 private:
  struct Try {
    RequestId request;
    OpId op;
    Nanos sent = 0;
    bool given_up = false; // its client waits no more; the answer is still due
  };
  struct Connection {
    explicit Connection(asio::io_context& io) : socket(io) {}
    asio::ip::tcp::socket socket;
    std::uint32_t caller = 0;
    std::uint64_t id = 0;
    std::uint32_t next_stream = 1;
    std::map<std::uint32_t, Try> open;
    std::string out;
    bool connected = false, writing = false, closing = false, ended = false;
  };
  using Held = std::shared_ptr<Connection>;

  asio::awaitable<void> ask();
  asio::awaitable<void> run(Held c);
  asio::awaitable<void> stranger(std::uint64_t seed);
  void send(Request& request);
  void flush(Held c);
  void frame(Connection& c, std::string_view frame);
  void answered(Connection& c, std::uint32_t stream, Demand::Answer answer, Nanos retry_after,
                bool not_elsewhere, std::string_view body);
  void end(Connection& c);
  void finish(Request& request, Demand::Answer answer, Nanos now);
  void follow(RequestId id, Demand::Answer answer, Nanos retry_after, bool not_elsewhere);
  Nanos now() const;

  asio::io_context& io_;
  asio::ip::tcp::endpoint server_;
  Demand& demand_;
  Rules& rules_;
  std::vector<std::string> tenants_;
  std::map<std::uint64_t, Held> connections_;
  std::map<RequestId, std::vector<OpId>> tries_of_;
  std::set<OpId> ran_;
  std::vector<Tally> tallies_;
  std::vector<float> answer_ms_;
  std::uint64_t next_connection_ = 1;
  std::uint64_t open_ = 0; // requests not over
  std::uint64_t tries_ = 0, wrong_results_ = 0, connections_made_ = 0, broken_ = 0;
  std::uint64_t strangers_sent_ = 0, strangers_answered_ = 0;
  Nanos begun_ = 0;
  Nanos length_ = 0;
  bool done_asking_ = false;
  bool stopped_ = false;
};

} // namespace cometshift::load
