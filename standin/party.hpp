// Every other party of one server on loopback, played by one loop: the interpreter with its cores, the
// records service, the announce service. Written from the protocol that the server speaks; it shares none of
// its code but types. Faults come by orders, at once; standin/script.hpp gives them at times. One loop, one
// thread.
//
// What is to be run is said by the body of an op: "w=US;c=N;..." asks for US microseconds of one core and N
// calls on the way. Cores are shared evenly by all that runs.
#pragma once

#include "ids.hpp"
#include "pcg.hpp"
#include "state.hpp"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cometshift::standin {

using Tcp = asio::ip::tcp;

Nanos steady_now();

// What the interpreter tells those who check the rules.
struct Watcher {
  std::function<void(OpId)> started;
  std::function<void(OpId, Outcome)> ended;
};

// Where a party listens. It can be shut and opened again, also at another address; what it has accepted goes
// on.
class Door {
 public:
  Door(asio::io_context& io, Tcp::endpoint at, std::function<void(Tcp::socket)> taken);
  void shut();
  void open(Tcp::endpoint at);
  Tcp::endpoint address() const { return at_; } // that it has, or had last

 private:
  asio::awaitable<void> accept(std::shared_ptr<Tcp::acceptor> mine);

  asio::io_context& io_;
  Tcp::endpoint at_;
  std::function<void(Tcp::socket)> taken_;
  std::shared_ptr<Tcp::acceptor> acceptor_;
};

class Machine {
 public:
  Machine(asio::io_context& io, Tcp::endpoint at, double cores, std::uint64_t seed, Watcher watcher);

  // Faults.
  void break_link(bool within_a_notice);           // commands of the last instant go with it
  void twice(double part) { twice_ = part; }       // notices that come twice under one number
  void remarks(double part) { remarks_ = part; }   // remarks between them
  void speed(double of_usual);                     // of each core; 0: they stand still
  void fail_runs(double part) { failing_ = part; } // runs that end in `fault`
  void move_to(Tcp::endpoint at) { door_.open(at); }

  std::uint64_t runs() const { return runs_; }
  std::uint64_t turned_down() const { return turned_down_; } // commands that it could not carry out
  bool linked() const { return link_ != nullptr; }
  Tcp::endpoint address() const { return door_.address(); }

 private:
  struct Run {
    double left_ns = 0; // of this part
    double part_ns = 0; // of core time between two calls
    int calls = 0;      // to come
    bool calling = false;
    Nanos begun = 0;
  };
  asio::awaitable<void> read(std::uint64_t link);
  void line(std::string_view text);
  void notice(OpId id, const std::string& what);
  void say(const std::string& text);
  void flush();
  void advance();
  void arm();
  void next_part(OpId id, Run& run);
  void end(OpId id, const char* code, Outcome outcome, const std::string& result);

  asio::io_context& io_;
  Door door_;
  std::unique_ptr<Tcp::socket> link_;
  std::uint64_t links_ = 0;
  asio::steady_timer timer_;
  double cores_;
  double speed_ = 1;
  Pcg chance_;
  Watcher watcher_;
  std::map<OpId, Run> running_;
  std::set<OpId> over_;
  std::deque<OpId> over_order_;                               // bounds what is remembered
  std::deque<std::pair<std::uint64_t, std::string>> notices_; // the last, with their numbers
  std::uint64_t last_ = 0;
  std::string out_;
  bool writing_ = false;
  Nanos at_ = 0;
  Nanos up_at_;
  double busy_area_ = 0; // core time used of late, decaying
  Nanos busy_at_ = 0;
  double busy_ = 0;
  double twice_ = 0, remarks_ = 0, failing_ = 0;
  std::uint64_t runs_ = 0, turned_down_ = 0;
};

class RecordsService {
 public:
  RecordsService(asio::io_context& io, Tcp::endpoint at, std::uint64_t seed);

  void latency(Nanos usual) { usual_ = usual; }
  void crowding(int from) { crowded_from_ = from; } // calls in hand beyond which each slows all
  void silent(double part) { silent_ = part; }      // replies that never come
  void spoilt(double part) { spoilt_ = part; }      // replies that can't be read
  void turned_away(double part) { away_ = part; }   // 503, never run
  void resets(double part) { resets_ = part; }
  void down(bool yes) { yes ? door_.shut() : door_.open(door_.address()); } // refuses connections
  void move_to(Tcp::endpoint at) { door_.open(at); }

  std::uint64_t calls() const { return calls_; }
  int in_hand() const { return in_hand_; }
  Tcp::endpoint address() const { return door_.address(); }

 private:
  asio::awaitable<void> serve(Tcp::socket socket);

  asio::io_context& io_;
  Door door_;
  Pcg chance_;
  Nanos usual_ = 12'000'000;
  int crowded_from_ = 8;
  int in_hand_ = 0;
  double silent_ = 0, spoilt_ = 0, away_ = 0, resets_ = 0;
  std::uint64_t calls_ = 0;
};

class AnnounceService {
 public:
  AnnounceService(asio::io_context& io, Tcp::endpoint at, std::uint64_t seed);
  void silent(double part) { silent_ = part; }
  std::uint64_t reports() const { return reports_; }
  void down(bool yes) { yes ? door_.shut() : door_.open(door_.address()); }
  void move_to(Tcp::endpoint at) { door_.open(at); }
  bool listed() const { return listed_; } // as last reported
  Tcp::endpoint address() const { return door_.address(); }

 private:
  asio::awaitable<void> serve(Tcp::socket socket);

  asio::io_context& io_;
  Door door_;
  Pcg chance_;
  double silent_ = 0;
  std::uint64_t reports_ = 0;
  bool listed_ = false;
};

} // namespace cometshift::standin
