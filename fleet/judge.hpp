// Hears of every act at the one place where they are done, with one clock, and of every fault, and says
// whether two were at once. No I/O. Two kinds of targets: one that refuses a token smaller than the greatest
// it has seen, and one that can't.
#pragma once

#include "leases.hpp"

#include <map>
#include <string>
#include <vector>

namespace cometshift::fleet {

struct Act {
  std::string task;
  unsigned member = 0;
  Token token{0};
  Nanos begun = 0, ended = -1;
  bool refused = false;
};

class ExclusionChecker {
 public:
  struct Settings {
    unsigned members = 0;
    std::vector<unsigned> voters;
    Nanos term = 0;
    Nanos arrival_margin =
        0; // past a term, in which an act of a member that hears no majority may still arrive
  };
  explicit ExclusionChecker(Settings settings)
      : settings_(std::move(settings)), reachability_(settings_.members + 1) {}

  // An act arrived. Returns its number; `refused` says whether the target that can refuse does, and then
  // which token it knows.
  std::size_t begin_act(Nanos now, const std::string& task, bool fences, unsigned member, Token token);
  void end_act(Nanos now, std::size_t act);
  Token greatest_token(const std::string& task) const;

  // Whether each hears each other now, both ways, as far as the rig lets them; a member that is stopped, dead
  // or not yet a voter again hears nobody.
  void set_connectivity(Nanos now, const std::vector<std::vector<bool>>& receives_from);
  void on_voters_changed() { reachability_known_ = false; } // who reaches a majority is not judged any more
  // A member stops for good or a while: how long until another acts is measured.
  void on_member_lost(Nanos now, unsigned member);

  unsigned last_actor(const std::string& task) const; // 0: nobody yet

  const std::vector<Act>& acts() const { return acts_; }
  const std::vector<Nanos>& gaps() const { return gaps_; } // from a member's loss to another's first act
  struct Findings {
    std::uint64_t acts = 0, holdings = 0, refused = 0;
    std::uint64_t concurrent_acts =
        0; // two acts of one task under two tokens, at the target that can't refuse
    std::uint64_t token_regressions = 0; // done under a token that is smaller than one before it
    std::uint64_t shared_tokens = 0;     // one token, two members
    std::uint64_t acts_without_majority =
        0;                             // acts of members that reach no majority, a term after they last did
    std::vector<std::string> examples; // some in words
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
    std::vector<std::size_t> open_acts; // acts under way
    unsigned last = 0;
    Nanos lost_at = -1; // its last actor was, and no other has acted since
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
