// Checks mutual exclusion. Every act (one execution of a leased task) and every fault is reported to it by
// the process in which the acts are carried out, with timestamps of a single clock. It reports whether two
// acts overlapped. No I/O. There are two kinds of targets: one that refuses a token smaller than the greatest
// it has seen, and one that can't refuse.
#pragma once

#include "leases.hpp"

#include <map>
#include <string>
#include <vector>

namespace cometshift::fleet {

// One execution of a task, as seen at the target. `ended` is -1 while it is under way.
struct Act {
  std::string task;
  unsigned member = 0;
  Token token{0};
  Nanos begun = 0, ended = -1;
  bool refused = false;
};

// Records acts and connectivity, and counts violations of mutual exclusion.
class ExclusionChecker {
 public:
  struct Settings {
    unsigned members = 0;
    std::vector<unsigned> voters;
    Nanos term = 0;
    // Time beyond a term within which an act of a member that reaches no majority may still arrive.
    Nanos arrival_margin = 0;
  };
  explicit ExclusionChecker(Settings settings)
      : settings_(std::move(settings)), reachability_(settings_.members + 1) {}

  // Records the arrival of an act and returns its index in acts(). Act::refused says whether a target that
  // can refuse has refused it; greatest_token() is then the token that the target knows.
  std::size_t begin_act(Nanos now, const std::string& task, bool fences, unsigned member, Token token);
  void end_act(Nanos now, std::size_t act);
  // Greatest token under which the task has been carried out; 0 if none.
  Token greatest_token(const std::string& task) const;

  // Sets which member can receive from which, as far as the rig's faults allow: `receives_from[a][b]`. A
  // member that is stopped, dead or not yet a voter again receives from nobody, itself included.
  void set_connectivity(Nanos now, const std::vector<std::vector<bool>>& receives_from);
  // From then on it isn't checked whether members reach a majority.
  void on_voters_changed() { reachability_known_ = false; }
  // A member stops, for good or for a while. Measures how long it takes until another member acts.
  void on_member_lost(Nanos now, unsigned member);

  unsigned last_actor(const std::string& task) const; // 0: none yet

  const std::vector<Act>& acts() const { return acts_; }
  // From the loss of a member to the first act of another.
  const std::vector<Nanos>& gaps() const { return gaps_; }
  struct Findings {
    std::uint64_t acts = 0, holdings = 0, refused = 0;
    // Overlapping acts of one task under two tokens, at the target that can't refuse.
    std::uint64_t concurrent_acts = 0;
    std::uint64_t token_regressions = 0; // acts under a token smaller than an earlier one
    std::uint64_t shared_tokens = 0;     // acts under a token that another member has used
    // Acts of members that have reached no majority for more than a term and the margin.
    std::uint64_t acts_without_majority = 0;
    std::vector<std::string> examples; // descriptions of the first violations
    std::uint64_t violations() const {
      return concurrent_acts + token_regressions + shared_tokens + acts_without_majority;
    }
  };
  const Findings& findings() const { return findings_; }

 private:
  void record_violation(std::uint64_t& count, Nanos now, const std::string& description);

  Settings settings_;
  std::vector<Act> acts_;
  struct Task {
    Token greatest{0};
    std::map<Token, unsigned> holders;
    std::vector<std::size_t> open_acts; // indices of the acts under way
    unsigned last = 0;
    Nanos lost_at = -1; // when its last actor was lost; -1 if none was, or another has acted since
  };
  std::map<std::string, Task> tasks_;
  struct Reachability {
    bool majority = true;
    Nanos since = 0;
  };
  std::vector<Reachability> reachability_;
  bool reachability_known_ = true;
  std::vector<Nanos> gaps_;
  Findings findings_;
};

} // namespace cometshift::fleet
