// Who votes on leases, and how that is changed while leases are held. A list has an epoch; the next list
// names the one before it as `previous`, and comes to each member by its operator file, in any order. Decides
// only: no I/O, no clock, one time with each call. docs/leases.md has the argument; tests/leases.cpp plays
// it.
//
// Why no two majorities miss each other, in short. (1) Under a new list a member first needs a majority of
// both, the previous and the new. (2) A voter refuses asks of an epoch before its own. (3) A member needs the
// new list alone only once a majority of the previous voters have it on file, so that they refuse for good,
// over starts too, and what they granted before is over: a longest term later.
//
// Times: ns, of the slower clock that the member has (clocks.hpp). Errors: std::invalid_argument from the
// constructor, with what is senseless.
#pragma once

#include "state.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cometshift {

using MemberId = Id<struct MemberTag, std::uint32_t>;
using Epoch = Id<struct EpochTag, std::uint64_t>; // of a list of voters, from 1

struct VoterList {
  Epoch epoch{1};
  std::set<MemberId> voters;
  std::set<MemberId> previous; // of the epoch before; empty: there was none, or the operator says it is gone
  bool operator==(const VoterList&) const = default;
};

class Voters {
 public:
  // `on_file`: as this member will have it again after a start. `settle`: how long grants of before may last.
  Voters(Nanos now, MemberId self, VoterList on_file, Nanos settle_time);

  // The file was read again. Empty: it is taken; else why not, and nothing has changed.
  std::string_view apply_file(Nanos now, VoterList on_file);
  // What another member tells: the epoch of the list that it has on file, and the list that it goes by, which
  // is taken if it is newer, but not as on file.
  void file_epoch_received(Nanos now, MemberId from, Epoch on_file);
  void list_received(Nanos now, const VoterList& list);
  void advance_time(Nanos now); // time goes on: what waits for it is looked at
  Nanos next_wake() const;      // -1: nothing waits

  Epoch epoch() const { return list_.epoch; }
  Epoch on_file() const { return on_file_; }
  const VoterList& list() const { return list_; }
  bool joint() const { return joint_; } // majorities of both are needed
  bool is_voter(MemberId member) const {
    return all_.contains(member);
  }                                                      // may grant: of either list, while joint
  const std::set<MemberId>& all() const { return all_; } // whom to ask
  bool may_grant(MemberId member) const {                // asked by those who are not as far as this one, too
    return list_.voters.contains(member) || list_.previous.contains(member);
  }
  bool has_quorum(const std::set<MemberId>& granted) const;
  bool quorum_impossible(const std::set<MemberId>& refused) const; // enough can't be had any more

 private:
  void adopt(Nanos now, VoterList list);
  void update_joint(Nanos now);

  MemberId self_;
  Nanos settle_time_;
  VoterList list_;
  Epoch on_file_;
  bool joint_ = false;
  Nanos new_list_alone_at_ = -1; // -1: not known yet
  std::set<MemberId> all_;
  std::map<MemberId, Epoch> file_epochs_; // the greatest epoch that each was heard to have on file
};

} // namespace cometshift
