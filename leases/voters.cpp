#include "voters.hpp"

#include <algorithm>
#include <stdexcept>

namespace cometshift {

namespace {

constexpr std::size_t most_voters = 7;   // more only cost messages: three may be lost of seven
constexpr std::size_t most_known = 4096; // members whose files are remembered

bool majority(const std::set<MemberId>& some, const std::set<MemberId>& of) {
  const auto count = std::count_if(of.begin(), of.end(), [&](MemberId one) { return some.contains(one); });
  return 2 * static_cast<std::size_t>(count) > of.size();
}
bool sensible(const VoterList& list) {
  return list.epoch.raw > 0 && !list.voters.empty() && list.voters.size() <= most_voters &&
         list.previous.size() <= most_voters;
}

} // namespace

Voters::Voters(Nanos now, MemberId self, VoterList on_file, Nanos settle) : self_(self), settle_(settle) {
  if (!sensible(on_file)) throw std::invalid_argument("setting leases.voters is senseless");
  on_file_ = on_file.epoch;
  go_by(now, std::move(on_file));
}

void Voters::go_by(Nanos now, VoterList list) {
  list_ = std::move(list);
  joint_ = !list_.previous.empty();
  alone_at_ = -1;
  all_ = list_.voters;
  if (joint_) all_.insert(list_.previous.begin(), list_.previous.end());
  look(now);
}

// Against a list that leaves out a step: between this one and it no majorities need meet.
std::string_view Voters::apply_file(Nanos now, VoterList on_file) {
  if (!sensible(on_file)) return "senseless";
  if (on_file.epoch < list_.epoch) return "its epoch is past";
  if (on_file.epoch == list_.epoch) {
    if (on_file != list_) return "its epoch is that of another list";
    on_file_ = on_file.epoch;
    look(now);
    return {};
  }
  if (on_file.epoch.raw > list_.epoch.raw + 1) return "its epoch leaves one out";
  if (joint_) return "the list before it is not settled yet";
  if (!on_file.previous.empty() && on_file.previous != list_.voters)
    return "its previous voters are not those of the list before it";
  on_file_ = on_file.epoch;
  go_by(now, std::move(on_file));
  return {};
}

void Voters::file_epoch_received(Nanos now, MemberId from, Epoch on_file) {
  if (files_.size() >= most_known && !files_.contains(from)) return;
  Epoch& known = files_[from];
  known = std::max(known, on_file);
  look(now);
}

// A newer list is what others go by: asks under an older one come to nothing more and more. Whatever epochs
// lie between, those who made it have seen them settled.
void Voters::list_received(Nanos now, const VoterList& list) {
  if (sensible(list) && list.epoch > list_.epoch) go_by(now, list);
}

void Voters::look(Nanos now) {
  if (!joint_) return;
  std::set<MemberId> refuse;
  for (const MemberId one : list_.previous) {
    const auto at = files_.find(one);
    if (one == self_ ? on_file_ >= list_.epoch : at != files_.end() && at->second >= list_.epoch)
      refuse.insert(one);
  }
  if (alone_at_ < 0 && majority(refuse, list_.previous)) alone_at_ = now + settle_;
  if (alone_at_ < 0 || now < alone_at_) return;
  joint_ = false;
  all_ = list_.voters;
}

void Voters::advance_time(Nanos now) {
  if (alone_at_ >= 0) look(now);
}

Nanos Voters::next_wake() const { return joint_ ? alone_at_ : -1; }

bool Voters::enough(const std::set<MemberId>& granted) const {
  return majority(granted, list_.voters) && (!joint_ || majority(granted, list_.previous));
}

bool Voters::lost(const std::set<MemberId>& refused) const {
  const auto of = [&](const std::set<MemberId>& voters) {
    std::set<MemberId> left = voters;
    for (const MemberId one : refused) left.erase(one);
    return !majority(left, voters);
  };
  return of(list_.voters) || (joint_ && of(list_.previous));
}

} // namespace cometshift
