// One server as a real process between a balancer's side and an interpreter that are both played here, on one
// loop with one clock (CLOCK_MONOTONIC), so that what the server adds to an op is seen from outside:
//
//   meant     the op was to be sent, as drawn before the run (open loop: nothing waits for an answer)
//   sent      just before the write of its frame
//   started   just after the read that brought its start on the interpreter's link
//   ended     just before the write of its end there
//   answered  just after the read that brought its answer
//
// added = (started - sent) + (answered - ended): an upper bound, as it contains four ways over loopback and
// two wake-ups of this loop; `meant` in place of `sent` counts what this loop was late with, too. Beside it
// an echo goes the same ways through a process that only passes bytes on: from one connection to the other,
// and after as long a rest back; it is what the machine and this loop add by themselves, at that time.
//
// Nothing is taken off silently. Samples are kept one by one and sorted: Debian has no HDR histogram library
// for C++, and some tens of thousands need none.
#pragma once

#include "ids.hpp"
#include "party.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace cometshift::scale {

using Tcp = asio::ip::tcp;

// What is drawn of one op before the run.
struct Arrival {
  Nanos at = 0;             // from the beginning
  Nanos run = 0;            // in the interpreter; of an echo: the rest between its two ways
  std::uint32_t tenant = 0; // by number
  bool keyed = false;
};
std::vector<Arrival> arrivals(std::uint64_t seed, double rate, Nanos length, std::size_t tenants,
                              Nanos mean_run);

struct Sample {
  enum class End { none, acked, nacked, failed };
  Nanos meant = 0, sent = 0, started = 0, ended = 0, answered = 0; // from the beginning
  End end = End::none;
  Nanos added() const { return started - sent + answered - ended; }
  Nanos added_as_meant() const { return started - meant + answered - ended; }
};

// Exact quantiles by nearest rank; 0 where there is none.
struct Spread {
  explicit Spread(std::vector<Nanos> all);
  Nanos at(double part) const;
  std::size_t size() const { return sorted_.size(); }

 private:
  std::vector<Nanos> sorted_;
};

// The balancers, the interpreter and the echo's two ends. What is sent and when is given at the start; one
// loop, one thread.
class AddedRig {
 public:
  struct Ports {
    Tcp::endpoint server, interpreter, echo; // echo: where its process listens
  };
  struct Figures {
    std::size_t callers;     // balancers; each has a connection, and more where 32 ops are open on one
    std::size_t connections; // at most, of all; ops beyond wait here, and count from when they were meant
    std::size_t body_bytes, result_bytes;
    double cores;                 // what the gauges are a part of
    std::string retryable, keyed; // op types
    Nanos op_timeout;
  };
  AddedRig(asio::io_context& io, Ports at, Figures figures, std::vector<Arrival> ops,
           std::vector<Arrival> echoes, std::uint64_t seed);

  bool connect_echo(); // false: its process does not listen yet
  void connect();      // the balancers' first connections; the server must be listed
  // Runs to the last answer, or until `most` has passed after the last arrival. `acts`: what else is done at
  // which time from the beginning.
  void run(std::vector<std::pair<Nanos, std::function<void()>>> acts, Nanos most);

  const std::vector<Sample>& ops() const { return ops_; }
  const std::vector<Sample>& echoes() const { return echoes_; }
  std::uint64_t broken_connections() const { return broken_; }

 private:
  struct Connection {
    explicit Connection(asio::io_context& io) : socket(io) {}
    Tcp::socket socket;
    std::uint32_t caller = 0;
    std::uint32_t next_stream = 1;
    std::map<std::uint32_t, std::size_t> open; // streams to ops
    std::string in;
    bool closing = false, ended = false; // takes no new op; is gone
  };
  using Held = std::shared_ptr<Connection>;
  enum class What { op, echo, run_over, echo_back, act };
  struct Due {
    Nanos at;
    What what;
    std::size_t which;
    bool operator>(const Due& other) const { return at > other.at; }
  };

  Nanos now() const { return standin::steady_now() - begun_; }
  void arm();
  void due();
  void send(std::size_t op);
  Held connection_for(std::uint32_t caller);
  Held open(std::uint32_t caller);
  void await_answers(Held c);
  bool answers(Connection& c, Nanos at); // false: its bytes are no frames
  void lost(Connection& c);
  void linked(Tcp::socket socket);
  void await_commands(std::uint64_t link);
  void command(std::string_view line, Nanos at);
  void run_over(std::size_t op);
  void say(const std::string& line);
  void flush();
  void send_echo(std::size_t echo, bool back);
  void await_echo(bool back);
  bool over() const { return to_send_ == 0 && open_ == 0 && echoes_open_ == 0; }

  asio::io_context& io_;
  Ports at_;
  Figures figures_;
  std::vector<Arrival> op_plan_, echo_plan_;
  std::vector<Sample> ops_, echoes_;
  std::uint64_t ids_;         // of ops, counted up from it
  std::string body_, result_; // the result in base64
  std::vector<std::pair<Nanos, std::function<void()>>> acts_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> dues_;
  asio::steady_timer timer_, last_;
  Nanos armed_ = -1;
  Nanos begun_ = 0;
  std::size_t to_send_ = 0, open_ = 0, echoes_open_ = 0;
  std::vector<Held> connections_;
  std::deque<std::size_t> waiting_; // ops that no connection has room for
  std::uint64_t broken_ = 0;
  standin::Door door_;
  std::unique_ptr<Tcp::socket> link_;
  std::uint64_t links_ = 0;
  std::string link_in_, link_out_;
  bool link_full_ = false;
  std::uint64_t notices_ = 0; // said
  std::size_t running_ = 0;
  Tcp::socket there_, back_; // the echo's two connections
  std::string there_in_, back_in_;
};

// The echo's process: takes two connections at a time and passes on what comes on each to the other; ends by
// a signal.
int pass_on(const Tcp::endpoint& at);

} // namespace cometshift::scale
