// The list of voters on leases, and how it changes while leases are held. A list has an epoch; the next list
// names the one before it as `previous` and reaches each member through its operator file, in any order.
// Protocol logic only: no I/O, no clock; each call passes the current time. docs/leases.md has the argument;
// tests/leases.cpp exercises it.
//
// Why any two majorities in use intersect, in short:
// (1) Under a new list a member first needs a majority of both the previous and the new list (joint
//     majorities).
// (2) A voter refuses asks of an epoch before its own.
// (3) A member uses the new list alone only once a majority of the previous voters have the new list in
//     their operator file, so that they keep refusing old epochs also after a restart, and once the grants
//     that they gave before have expired, a longest term later.
//
// Times: ns, on the slower of the member's clocks (clocks.hpp). Errors: the constructor throws
// std::invalid_argument for an invalid list.
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
using Epoch = Id<struct EpochTag, std::uint64_t>; // of a voter list, from 1

// The voters of an epoch.
struct VoterList {
  Epoch epoch{1};
  std::set<MemberId> voters;
  // Voters of the epoch before. Empty: there was none, or the operator declares them gone.
  std::set<MemberId> previous;
  bool operator==(const VoterList&) const = default;
};

// The voter list as one member knows it.
class Voters {
 public:
  // `on_file`: the list in this member's operator file, which it uses again after a restart. `settle_time`:
  // how long grants given under the previous list may last.
  Voters(Nanos now, MemberId self, VoterList on_file, Nanos settle_time);

  // The operator file was read again. Returns an empty text if its list was applied; otherwise the reason why
  // not, and nothing has changed.
  std::string_view apply_file(Nanos now, VoterList on_file);
  // Reports of another member: the epoch of the list in its operator file, and the list that it uses. The
  // latter is adopted if it is newer, but does not count as on file here.
  void file_epoch_received(Nanos now, MemberId from, Epoch on_file);
  void list_received(Nanos now, const VoterList& list);
  void advance_time(Nanos now); // checks whether the settle time has passed
  Nanos next_wake() const;      // -1: nothing is pending

  Epoch epoch() const { return list_.epoch; }
  Epoch on_file() const { return on_file_; }
  const VoterList& list() const { return list_; }
  bool joint() const { return joint_; } // majorities of both lists are needed
  // A voter of either list while joint, of the current list otherwise.
  bool is_voter(MemberId member) const { return all_.contains(member); }
  const std::set<MemberId>& all() const { return all_; } // the voters to ask
  // A voter of either list at any time: members that still use both lists may ask it.
  bool may_grant(MemberId member) const {
    return list_.voters.contains(member) || list_.previous.contains(member);
  }
  // Whether these grants are a majority of each list in use.
  bool has_quorum(const std::set<MemberId>& granted) const;
  // Whether a quorum can no longer be reached after these refusals.
  bool quorum_impossible(const std::set<MemberId>& refused) const;

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
  std::map<MemberId, Epoch> file_epochs_; // the greatest epoch that each member reported on file
};

} // namespace cometshift
