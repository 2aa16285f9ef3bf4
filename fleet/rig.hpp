// Several servers of the program as processes on loopback, with all other parties, a relay on each way
// between two of them and to the referee, faults at their times, and bounded load on the ops with the rules
// checked from outside. Owns the processes, the relays and the stand-ins; stops by itself.
#pragma once

#include "callers.hpp"
#include "child.hpp"
#include "judge.hpp"
#include "plan.hpp"
#include "referee.hpp"
#include "relay.hpp"
#include "site.hpp"

#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cometshift::fleet {

struct Wanted {
  std::string server = "build/cometshift", clock = "build/libodd_clock.so";
  std::string folder; // of configurations and logs
  unsigned members = 5, voters = 3, tasks = 2;
  double every_s = 0.1;                                    // the tasks' period
  double seconds = 20, term_s = 1, drift = 0.01, rate = 0; // rate: ops a second at each server; 0: none
  std::uint64_t seed = 1;
  bool leases = true; // else no fleet is set: what ops cost without
  bool quiet = false;
};

struct Ending {
  Judge::Verdict verdict;
  std::vector<Nanos> gaps;
  std::size_t faults = 0;
  std::uint64_t lives = 0, ended_badly = 0; // servers that ended otherwise than told
  std::uint64_t rules_broken = 0, wrong_results = 0, ops = 0;
  std::vector<std::string> examples; // of rules
  bool came_back = true;             // every task was done in the time without faults at the end
  double cpu_seconds = 0, member_seconds = 0;
  long peak_kb = 0;
  std::uint64_t bytes = 0; // between members
  std::uint64_t lists = 0; // of voters that came after the first
  std::vector<float> answer_ms;
  std::uint64_t wrong() const {
    return verdict.wrong() + ended_badly + rules_broken + wrong_results + (came_back ? 0 : 1);
  }
};

class Rig {
 public:
  Rig(asio::io_context& io, const Wanted& wanted, std::vector<Fault> plan);
  ~Rig();
  Ending run();
  const Judge& judge() const { return judge_; }
  const std::vector<Fault>& met() const { return met_; } // the faults as they were, with who they met

 private:
  struct Page;  // what standin/odd_clock.c reads
  struct Life { // the load on one life of a server, with its rules
    std::unique_ptr<Rules> rules;
    std::unique_ptr<load::Demand> demand;
    std::unique_ptr<load::Callers> callers;
    std::unique_ptr<standin::Machine> machine;
    bool whole = true; // it was neither killed nor stopped: all rules hold
    Nanos begun = 0;
  };
  struct Seat {
    unsigned number = 0;
    std::unique_ptr<load::Child> child;
    Page* page = nullptr;
    std::string page_path;
    bool up = false, stopped = false, leaving = false;
    int awaits_stop = 0; // which order to stop in an act is out
    Nanos stop_for = 0;  // then
    Nanos down_for = 0;  // once it has left
    std::vector<std::unique_ptr<Life>> lives;
    std::string log; // of this life
    Life* life = nullptr;
  };
  using Ways = std::vector<Relay*>;

  asio::ip::tcp::endpoint at(unsigned port) const;
  std::string address(unsigned port) const { return load::words(at(port)); }
  Nanos now() const { return standin::steady_now() - begun_; }
  void after(Nanos time, std::function<void()> what);
  void begin(Seat& seat);
  void ended(Seat& seat, const load::Child::Cost& cost, bool by_us);
  void kill(Seat& seat, Nanos down);
  void stop(Seat& seat, Nanos length);
  void go_on(Seat& seat);
  void cut(const Ways& ways, Nanos length);
  void meet(Fault fault);
  void odd(Seat& seat, double rate, double jump, bool both);
  void look();
  void look_at_memory(Seat& seat);
  void told_reach();
  void change_voters(unsigned first, Nanos spread);
  bool settled() const;
  void write_operator(const Seat& seat) const;
  std::string operator_text(unsigned member, unsigned listen_port) const;
  Seat& seat(unsigned number);
  Ways ways(const std::function<bool(unsigned, unsigned)>& of) const;

  asio::io_context& io_;
  Wanted wanted_;
  std::vector<Fault> plan_, met_;
  unsigned host_;
  Nanos begun_ = 0, term_;
  Judge judge_;
  std::vector<Seat> seats_;
  std::vector<std::unique_ptr<load::Child>> twins_;
  std::map<std::pair<unsigned, unsigned>, std::unique_ptr<Relay>> relays_;
  std::map<unsigned, std::unique_ptr<Relay>> to_referee_;
  std::unique_ptr<Referee> referee_;
  std::unique_ptr<standin::RecordsService> records_;
  std::unique_ptr<standin::AnnounceService> announce_;
  Ending outcome_;
  VoterList voters_; // as the operator has made them last
  bool over_ = false;
};

} // namespace cometshift::fleet
