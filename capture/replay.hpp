// Plays a recording to a core again and holds what it decides against what was decided. One core, one time,
// no I/O but the reading of segments; its memory does not grow with the length of a recording.
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

// Segments in the order of their recording and number, whatever the order of the names. Of several, those
// that end before their first entry are left out.
std::vector<std::string> sort_segments(const std::vector<std::string>& paths);

// One entry, in one line; times from the beginning of what is replayed.
std::string words_of(const wire::Entry& entry, const std::vector<std::string>& op_types,
                     const std::vector<std::string>& tenants);
std::vector<Decision> recorded_decisions(const wire::Entry& entry);
std::vector<std::string> configured_names(const Settings& settings,
                                          const char* list); // "op_type.", "tenant."

// Plays segments, one entry at a time.
class Replayer : DecisionSink {
 public:
  struct Step {
    Nanos now = 0;
    const wire::Entry* entry = nullptr;
    const std::vector<Decision>* recorded = nullptr;
    const std::vector<Decision>* replayed = nullptr;
    bool same = true;
  };
  // What became of a replay. `difference` names the first, with the entries before it.
  struct Result {
    std::uint64_t entries = 0, orders = 0, segments = 0, gaps = 0, lost = 0, ops = 0;
    std::uint64_t snapshots_checked = 0; // at the seams of segments: the state, byte for byte
    std::uint64_t digest = 0;            // of all that was decided
    Nanos span = 0;                      // of the recording
    std::uint64_t passed_over = 0;       // events that no longer have an op
    std::uint64_t lent = 0;              // ends of runs that the recording does not know (play_on)
    bool torn = false;                   // ends in a block that is not whole
    bool clean_end = false;              // the last segment was closed
    std::string difference;              // empty: none
    std::string valid_up_to;             // where it stops holding, if before the end
  };

  explicit Replayer(const std::vector<std::string>& paths);
  ~Replayer() override;

  // Stops at the first difference if `strict`. `each` is handed every entry with what came of it.
  Result play(bool strict, const std::function<void(const Step&)>& each = {});
  // Goes on whatever differs. Runs that only this build starts are lent an end, after the median of their
  // type in the recording; for that it is read twice, and the ops that ran are remembered.
  Result replay_with_simulated_runs(const std::function<void(const Step&)>& each);
  // Before an entry is given to the core.
  std::function<void(Nanos now, const wire::Entry& entry)> before_entry;
  // Asked while a step's orders come: what is believed of an op that is being answered.
  std::function<void(Nanos now, const Decision& one, const DecisionInputs* figures)> on_final_decision;

  // For cuts: at this time of the recording, what is remembered, with what was told before; used within
  // `each`.
  std::string snapshot(const std::function<std::string(std::string_view)>& conceal = {});
  const wire::Head& head() const;
  const std::vector<std::string>& op_types() const { return op_types_; }
  const std::vector<std::string>& tenants() const { return tenants_; }

 private:
  void take(const Decision& one) override;
  void note(const char* kind, std::string_view words) override;
  Digest digest(const Content& content) override;
  void give(const wire::Entry& entry);
  void restore(const wire::Entry& entry);
  std::string where() const; // in the files, of the entry at hand
  std::string differs(const wire::Entry& entry) const;
  void remember(wire::Entry& entry);

  std::vector<std::string> paths_;
  std::unique_ptr<SegmentReader> reader_;
  Settings settings_;
  std::unique_ptr<Core> core_;
  std::vector<Decision> replayed_, recorded_;
  std::vector<std::string> op_types_, tenants_;
  std::deque<std::pair<Nanos, std::unique_ptr<wire::Entry>>> before_; // the last entries with their times
  Nanos now_ = 0, first_ = 0;
  std::uint64_t at_entry_ = 0;
  struct SimulatedRuns {                              // ends of runs to come that the recording does not know
    std::map<OpId, Nanos> known;                      // lags of those it does
    std::vector<Nanos> usual;                         // by op type
    std::multimap<Nanos, std::pair<OpId, Nanos>> due; // with the lag
  };
  std::unique_ptr<SimulatedRuns> simulated_;
  void simulate_runs(const std::function<void(const Step&)>& each, Result& result, Nanos until);
  std::uint64_t passed_over_ = 0;
  bool initializing_ = false; // what a core orders when it is made is no decision
};

} // namespace cometshift
