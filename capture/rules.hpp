// The four rules, checked from outside: told what came, what was started, what ended and what was answered,
// it says which were broken. It knows no core and no module; a replay holds a recording and its own decisions
// against it, and the load tool what it saw. No I/O. Source: docs/architecture.md; slack as the operators'
// pages have it.
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
  struct Figures {                   // of a site
    std::vector<RetryClass> repeats; // by op type
    std::vector<Nanos> op_timeouts;
    std::vector<Nanos> key_windows;
    Nanos grace = 0;
  };
  explicit Rules(Figures figures) : figures_(std::move(figures)) {}

  // `due`: latest time of its answer. An op without a mark has an empty one.
  void came(Nanos now, OpId op, OpTypeId type, Nanos received_at, Nanos due, const std::string& mark);
  void stream_lost(StreamRef line); // nobody waits for the answers on it
  void assign_stream(OpId op, StreamRef line);
  void started(Nanos now, OpId op);
  void run_over(OpId op, Outcome outcome);
  enum class Final { served, nacked, failed };
  void answered(Nanos now, OpId op, Final final);
  void drain_started(Nanos now);
  void check_deadlines(Nanos now); // what is overdue by now is lost, whatever comes later

  struct Broken {
    std::uint64_t lost = 0;              // no final answer by the due time
    std::uint64_t late = 0;              // one, but after it
    std::uint64_t duplicate_answers = 0; // more than one
    std::uint64_t duplicate_runs = 0;    // a keyed effect
    std::uint64_t nacked_after_run = 0;  // a keyed op told that it never ran, though it did
    std::uint64_t started_late = 0; // came later than the grace after the notice to leave, and was started
    std::uint64_t total() const {
      return lost + late + duplicate_answers + duplicate_runs + nacked_after_run + started_late;
    }
  };
  const Broken& broken() const { return broken_; }
  std::uint64_t ops() const { return came_; }
  std::vector<std::string> examples() const { return examples_; } // the first few, in words

 private:
  struct Op {
    OpTypeId type;
    Nanos received_at = 0;
    Nanos due = 0;
    StreamRef line{};
    std::string mark;
    bool answered = false;
    bool client_gone = false; // nobody waits any more
    bool lost = false;
    bool started = false;
    bool over = false;
  };
  struct Effect { // of a mark
    OpId ran = no_op_id;
    Nanos received_at = 0; // of the try that ran
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

std::string words_of(const Rules::Broken& broken);
Rules::Figures rule_figures(const Settings& settings);

} // namespace cometshift
