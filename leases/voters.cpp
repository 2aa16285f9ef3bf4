#include "voters.hpp"

#include <algorithm>
#include <stdexcept>

namespace cometshift {

namespace {

constexpr std::size_t max_voters = 7;           // with seven, three may fail; more voters only cost messages
constexpr std::size_t max_known_members = 4096; // members whose reported epochs are kept

// Whether more than half of `voters` are in `subset`.
bool majority(const std::set<MemberId>& subset, const std::set<MemberId>& voters) {
  const auto count =
      std::count_if(voters.begin(), voters.end(), [&](MemberId member) { return subset.contains(member); });
  return 2 * static_cast<std::size_t>(count) > voters.size();
}
bool is_valid(const VoterList& list) {
  return list.epoch.raw > 0 && !list.voters.empty() && list.voters.size() <= max_voters &&
         list.previous.size() <= max_voters;
}

} // namespace

Voters::Voters(Nanos now, MemberId self, VoterList on_file, Nanos settle_time)
    : self_(self), settle_time_(settle_time) {
  if (!is_valid(on_file)) throw std::invalid_argument("setting leases.voters is senseless");
  on_file_ = on_file.epoch;
  adopt(now, std::move(on_file));
}

void Voters::adopt(Nanos now, VoterList list) {
  list_ = std::move(list);
  joint_ = !list_.previous.empty();
  new_list_alone_at_ = -1;
  all_ = list_.voters;
  if (joint_) all_.insert(list_.previous.begin(), list_.previous.end());
  update_joint(now);
}

// A list that skips an epoch is rejected: its majorities need not intersect those of the current list.
std::string_view Voters::apply_file(Nanos now, VoterList on_file) {
  if (!is_valid(on_file)) return "senseless";
  if (on_file.epoch < list_.epoch) return "its epoch is older than that of the current list";
  if (on_file.epoch == list_.epoch) {
    if (on_file != list_) return "its epoch is already that of another list";
    on_file_ = on_file.epoch;
    update_joint(now);
    return {};
  }
  if (on_file.epoch.raw > list_.epoch.raw + 1) return "its epoch leaves one out";
  if (joint_) return "the list before it is not settled yet";
  if (!on_file.previous.empty() && on_file.previous != list_.voters)
    return "its previous voters are not those of the list before it";
  on_file_ = on_file.epoch;
  adopt(now, std::move(on_file));
  return {};
}

void Voters::file_epoch_received(Nanos now, MemberId from, Epoch on_file) {
  if (file_epochs_.size() >= max_known_members && !file_epochs_.contains(from)) return;
  Epoch& file_epoch = file_epochs_[from];
  file_epoch = std::max(file_epoch, on_file);
  update_joint(now);
}

// Voters that use a newer list refuse asks under an older one, so the newer list is adopted. It may skip
// epochs, unlike one on file: members apply a list from their files only once the epochs before are settled.
void Voters::list_received(Nanos now, const VoterList& list) {
  if (is_valid(list) && list.epoch > list_.epoch) adopt(now, list);
}

void Voters::update_joint(Nanos now) {
  if (!joint_) return;
  // The previous voters that refuse asks of the previous epoch, also after a restart.
  std::set<MemberId> refusing;
  for (const MemberId member : list_.previous) {
    const auto at = file_epochs_.find(member);
    if (member == self_ ? on_file_ >= list_.epoch : at != file_epochs_.end() && at->second >= list_.epoch)
      refusing.insert(member);
  }
  if (new_list_alone_at_ < 0 && majority(refusing, list_.previous)) new_list_alone_at_ = now + settle_time_;
  if (new_list_alone_at_ < 0 || now < new_list_alone_at_) return;
  joint_ = false;
  all_ = list_.voters;
}

void Voters::advance_time(Nanos now) {
  if (new_list_alone_at_ >= 0) update_joint(now);
}

Nanos Voters::next_wake() const { return joint_ ? new_list_alone_at_ : -1; }

bool Voters::has_quorum(const std::set<MemberId>& granted) const {
  return majority(granted, list_.voters) && (!joint_ || majority(granted, list_.previous));
}

bool Voters::quorum_impossible(const std::set<MemberId>& refused) const {
  const auto majority_lost = [&](const std::set<MemberId>& voters) {
    std::set<MemberId> remaining = voters;
    for (const MemberId member : refused) remaining.erase(member);
    return !majority(remaining, voters);
  };
  return majority_lost(list_.voters) || (joint_ && majority_lost(list_.previous));
}

} // namespace cometshift
