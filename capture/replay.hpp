// Replays a recording into a core and compares its decisions with the recorded ones. Uses one core and the
// recorded times; the only I/O is reading segments. Memory use does not depend on the length of the
// recording.
#pragma once

#include "core.hpp"
#include "decision.hpp"
#include "format.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cometshift {

// Sorts segments by recording and segment number, regardless of file names. If several paths are given,
// segments that end before their first entry are left out.
std::vector<std::string> sort_segments(const std::vector<std::string>& paths);

// One-line description of an entry.
std::string describe(const wire::Entry& entry, const std::vector<std::string>& op_types,
                     const std::vector<std::string>& tenants);
std::vector<Decision> recorded_decisions(const wire::Entry& entry);
std::vector<std::string> configured_names(const Settings& settings,
                                          const char* list); // "op_type.", "tenant."

// Replays segments entry by entry.
class Replayer : DecisionSink {
 public:
  struct Step {
    Nanos now = 0;
    const wire::Entry* entry = nullptr;
    const std::vector<Decision>* recorded = nullptr;
    const std::vector<Decision>* replayed = nullptr;
    bool same = true;
  };
  // Outcome of a replay. `difference` describes the first difference and the entries before it.
  struct Result {
    std::uint64_t entries = 0, orders = 0, segments = 0, gaps = 0, lost = 0, ops = 0;
    std::uint64_t snapshots_checked = 0; // states compared byte for byte between consecutive segments
    std::uint64_t digest = 0;            // of all decisions of the replay
    Nanos span = 0;                      // duration of the recording
    std::uint64_t ignored_events = 0;    // events ignored because their op does not exist in the replay
    std::uint64_t simulated_ends = 0;    // simulated ends of runs (replay_with_simulated_runs)
    bool torn = false;                   // the last block is incomplete
    bool clean_end = false;              // the last segment was closed
    std::string difference;              // empty: none
    std::string valid_up_to;             // position of an incomplete block; empty: none
  };

  explicit Replayer(const std::vector<std::string>& paths);
  ~Replayer() override;

  // Stops at the first difference if `strict`. Calls `each` for every entry, with the decisions on it.
  Result play(bool strict, const std::function<void(const Step&)>& each = {});
  // Continues after differences. For runs that only this build starts, an end is simulated after the median
  // run time of the op type in the recording. This reads the recording twice and keeps all ops that ran in
  // memory.
  Result replay_with_simulated_runs(const std::function<void(const Step&)>& each);
  // Called before an entry is passed to the core.
  std::function<void(Nanos now, const wire::Entry& entry)> before_entry;
  // Called for each final answer during a step, with the inputs of the decision (null if the op is unknown).
  std::function<void(Nanos now, const Decision& decision, const DecisionInputs* figures)> on_final_decision;

  // The serialized state of the core at the current entry, from which a cut-out segment can start. To be
  // called from `each` or `before_entry`.
  std::string snapshot(const std::function<std::string(std::string_view)>& conceal = {});
  const wire::Head& head() const;
  const std::vector<std::string>& op_types() const { return op_types_; }
  const std::vector<std::string>& tenants() const { return tenants_; }

 private:
  void take(const Decision& decision) override;
  void note(const char* kind, std::string_view words) override;
  Digest digest(const Content& content) override;
  void give(const wire::Entry& entry);
  void restore(const wire::Entry& entry);
  std::string where() const; // file and offset of the current entry
  std::string differs(const wire::Entry& entry) const;
  void remember(wire::Entry& entry);

  std::vector<std::string> paths_;
  std::unique_ptr<SegmentReader> reader_;
  Settings settings_;
  std::unique_ptr<Core> core_;
  std::vector<Decision> replayed_, recorded_;
  std::vector<std::string> op_types_, tenants_;
  std::deque<std::pair<Nanos, std::unique_ptr<wire::Entry>>>
      history_; // the most recent entries with their times
  Nanos now_ = 0, start_time_ = 0;
  std::uint64_t entry_index_ = 0;
  struct SimulatedRuns {                              // runs that the recording does not contain
    std::map<OpId, Nanos> recorded_lags;              // lags of the recorded runs
    std::vector<Nanos> median_lags;                   // median lag by op type
    std::multimap<Nanos, std::pair<OpId, Nanos>> due; // by end time, with the lag
  };
  std::unique_ptr<SimulatedRuns> simulated_;
  void simulate_runs(const std::function<void(const Step&)>& each, Result& result, Nanos until);
  std::uint64_t ignored_events_ = 0;
  bool initializing_ = false; // actions of the core during construction are not decisions
};

} // namespace cometshift
