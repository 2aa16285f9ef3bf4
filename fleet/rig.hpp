// Test rig: several servers as processes on loopback with stand-ins for all other services, a relay for each
// direction between two servers and from each to the task target, faults at planned times, and bounded load
// of ops with the rules checked from outside. Owns the processes, the relays and the stand-ins; stops by
// itself.
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

// Parameters of a run.
struct RunOptions {
  std::string server = "build/cometshift", clock = "build/libodd_clock.so";
  std::string folder; // for configurations and logs
  unsigned members = 5, voters = 3, tasks = 2;
  double every_s = 0.1;                                    // the tasks' period
  double seconds = 20, term_s = 1, drift = 0.01, rate = 0; // rate: ops a second at each server; 0: none
  std::uint64_t seed = 1;
  bool leases = true; // false: no fleet is configured, to measure the cost of ops without it
  bool quiet = false;
};

// What a run has shown.
struct RunResult {
  ExclusionChecker::Findings findings;
  std::vector<Nanos> gaps;
  std::size_t faults = 0;
  std::uint64_t incarnations = 0, unexpected_exits = 0;
  std::uint64_t rules_broken = 0, wrong_results = 0, ops = 0;
  std::vector<std::string> examples; // of broken rules and unexpected exits
  bool recovered = true;             // every task was carried out in the fault-free time at the end
  double cpu_seconds = 0, member_seconds = 0;
  long peak_kb = 0;
  std::uint64_t bytes = 0;         // between members
  std::uint64_t voter_changes = 0; // voter lists after the first
  std::vector<float> answer_ms;
  std::uint64_t violations() const {
    return findings.violations() + unexpected_exits + rules_broken + wrong_results + (recovered ? 0 : 1);
  }
};

// Carries out one run.
class Rig {
 public:
  Rig(asio::io_context& io, const RunOptions& options, std::vector<Fault> plan);
  ~Rig();
  RunResult run();
  const ExclusionChecker& checker() const { return checker_; }
  // The injected faults, with actual times and members.
  const std::vector<Fault>& injected() const { return injected_; }

 private:
  struct ClockPage;    // shared with standin/odd_clock.c
  struct Incarnation { // the load on one incarnation of a server, and its rules
    std::unique_ptr<Rules> rules;
    std::unique_ptr<load::Demand> demand;
    std::unique_ptr<load::Callers> callers;
    std::unique_ptr<standin::Machine> machine;
    bool undisturbed = true; // neither killed nor stopped: all rules hold
    Nanos begun = 0;
  };
  struct ServerSlot {
    unsigned number = 0;
    std::unique_ptr<load::Child> child;
    ClockPage* page = nullptr;
    std::string page_path;
    bool up = false, stopped = false, draining = false;
    int stop_pending = 0; // 1 while a requested stop in an act is outstanding
    Nanos stop_for = 0;   // length of that stop
    Nanos down_for = 0;   // from its exit to its restart
    std::vector<std::unique_ptr<Incarnation>> incarnations;
    std::string log; // path, of the current incarnation
    Incarnation* incarnation = nullptr;
  };
  using RelayList = std::vector<Relay*>;

  asio::ip::tcp::endpoint at(unsigned port) const;
  std::string address(unsigned port) const { return load::words(at(port)); }
  Nanos now() const { return standin::steady_now() - started_at_; }
  void after(Nanos time, std::function<void()> action);
  void start_server(ServerSlot& slot);
  void on_server_ended(ServerSlot& slot, const load::Child::Cost& cost, bool killed_by_rig);
  void kill(ServerSlot& slot, Nanos down);
  void stop(ServerSlot& slot, Nanos length);
  void resume(ServerSlot& slot);
  void cut(const RelayList& relays, Nanos length);
  void inject(Fault fault);
  void distort_clock(ServerSlot& slot, double rate, double jump, bool both);
  void poll_servers();
  void record_peak_memory(ServerSlot& slot);
  void update_connectivity();
  void change_voters(unsigned first, Nanos spread);
  bool settled() const;
  void write_operator(const ServerSlot& slot) const;
  std::string operator_text(unsigned member, unsigned listen_port) const;
  ServerSlot& slot(unsigned number);
  RelayList relays_matching(const std::function<bool(unsigned, unsigned)>& matches) const;

  asio::io_context& io_;
  RunOptions options_;
  std::vector<Fault> plan_, injected_;
  unsigned host_;
  Nanos started_at_ = 0, term_;
  ExclusionChecker checker_;
  std::vector<ServerSlot> slots_;
  std::vector<std::unique_ptr<load::Child>> twins_;
  std::map<std::pair<unsigned, unsigned>, std::unique_ptr<Relay>> relays_;
  std::map<unsigned, std::unique_ptr<Relay>> target_relays_;
  std::unique_ptr<TaskTarget> target_;
  std::unique_ptr<standin::RecordsService> records_;
  std::unique_ptr<standin::AnnounceService> announce_;
  RunResult outcome_;
  VoterList voters_; // as last written to the operator files
  bool over_ = false;
};

} // namespace cometshift::fleet
