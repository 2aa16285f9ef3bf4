// Black-box checker for the four guarantees of docs/architecture.md. From the arrivals, starts, ends of runs
// and answers of ops it determines which guarantees were violated. It is independent of the core: a replay
// checks both the recorded decisions and its own, and the load tool checks what it observed. The tolerance
// for time limits is that of the operator documentation. No I/O.
#pragma once

#include "decision_module.hpp"
#include "interface.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cometshift {

class Rules {
 public:
  struct Figures {                   // configuration of the installation
    std::vector<RetryClass> repeats; // by op type
    std::vector<Nanos> op_timeouts;
    std::vector<Nanos> key_windows;
    Nanos grace = 0;
  };
  explicit Rules(Figures figures) : figures_(std::move(figures)) {}

  // An op was received. `due` is the latest time of its answer; `mark` is its key, empty if it has none.
  void came(Nanos now, OpId op, OpTypeId type, Nanos received_at, Nanos due, const std::string& mark);
  void stream_lost(StreamRef line); // no client waits for answers on this stream
  void assign_stream(OpId op, StreamRef line);
  void started(Nanos now, OpId op);
  void run_over(OpId op, Outcome outcome);
  enum class Final { served, nacked, failed };
  void answered(Nanos now, OpId op, Final final);
  void drain_started(Nanos now);
  void check_deadlines(Nanos now); // counts overdue ops as lost, even if an answer follows later

  struct Broken {
    std::uint64_t lost = 0;              // ops without a final answer by the due time
    std::uint64_t late = 0;              // ops answered after the due time
    std::uint64_t duplicate_answers = 0; // ops with more than one answer
    std::uint64_t duplicate_runs = 0;    // repeated runs under one key
    std::uint64_t nacked_after_run = 0;  // keyed ops that were nacked although they ran
    std::uint64_t started_late = 0;      // ops received after the grace of a drain, but started
    std::uint64_t total() const {
      return lost + late + duplicate_answers + duplicate_runs + nacked_after_run + started_late;
    }
  };
  const Broken& broken() const { return broken_; }
  std::uint64_t ops() const { return came_; }
  std::vector<std::string> examples() const { return examples_; } // descriptions of the first few violations

 private:
  struct Op {
    OpTypeId type;
    Nanos received_at = 0;
    Nanos due = 0;
    StreamRef line{};
    std::string mark;
    bool answered = false;
    bool client_gone = false; // no client waits for the answer
    bool lost = false;
    bool started = false;
    bool over = false;
  };
  struct Effect { // the last run under a key
    OpId ran = no_op_id;
    Nanos received_at = 0; // of the attempt that ran
    bool may_have_run = false;
  };
  void break_rule(std::uint64_t& count, const char* what, OpId op);
  void forget(OpId id);

  Figures figures_;
  std::map<OpId, Op> ops_;
  std::map<StreamRef, OpId> lines_;
  std::multimap<Nanos, OpId> dues_;
  std::map<std::string, Effect> effects_;
  std::multimap<Nanos, std::string> effect_ends_;
  Broken broken_;
  std::vector<std::string> examples_;
  std::uint64_t came_ = 0;
  Nanos drain_started_at_ = -1;
};

std::string describe(const Rules::Broken& broken);
Rules::Figures rule_figures(const Settings& settings);

} // namespace cometshift
