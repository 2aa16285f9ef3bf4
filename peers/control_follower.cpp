#include "control_follower.hpp"

#include <algorithm>
#include <utility>

namespace cometshift {

namespace {

std::vector<MemberId> numbers_of(const std::vector<Follower::Control>& controls) {
  std::vector<MemberId> numbers;
  for (const Follower::Control& one : controls) numbers.push_back(one.member);
  return numbers;
}

} // namespace

ControlFollower::ControlFollower(Nanos now, const peer_codec::Sender& self, const Follower::Location& place,
                                 const std::vector<Follower::Control>& controls,
                                 std::vector<std::string> scopes, const Settings& figures, std::uint64_t seed,
                                 ControlFollowerActions& orders)
    : actions_(orders), zone_(place.zone), now_(now),
      voters_(now, self.from, {Epoch{1}, {controls.front().member}, {}}, 1),
      follower_(now, self.incarnation, place, controls, std::move(scopes), figures, seed, *this),
      peers_(now, self, numbers_of(controls), voters_, figures, seed + 1, *this) {}

bool ControlFollower::message(Nanos now, const peer_codec::Sender& sender, std::string_view payload) {
  now_ = now;
  return peer_codec::decode_message(payload, sender, *this);
}
std::string_view ControlFollower::set_scopes(Nanos now, std::vector<std::string> scopes) {
  return follower_.set_scopes(now_ = now, std::move(scopes));
}

void ControlFollower::turn(Nanos now) {
  now_ = now;
  do {
    for (const MemberId control : std::exchange(lost_, {})) follower_.disconnected(now, control);
    follower_.due(now);
    keep_lines();
    peers_.due(now);
  } while (!lost_.empty());
  peers_.flush(now);
}
Nanos ControlFollower::next_wake() const {
  const Nanos link = peers_.next_wake(), state = follower_.next_wake();
  return link < 0 ? state : state < 0 ? link : std::min(link, state);
}

// Lines are kept to those that are followed, and hung up behind the last word to others.
void ControlFollower::keep_lines() {
  std::set<MemberId> wanted;
  for (const Follower::Attachment& line : follower_.attachments()) wanted.insert(line.member);
  if (wanted == kept_) return;
  for (const MemberId control : kept_)
    if (!wanted.contains(control)) peers_.keep(now_, control, false);
  for (const MemberId control : wanted)
    if (!kept_.contains(control)) peers_.keep(now_, control, true);
  kept_ = std::move(wanted);
}

// ---- the link

void ControlFollower::peer_state_changed(MemberId of, PeerState, PeerState now) {
  if (now == PeerState::unresponsive || now == PeerState::one_way || now == PeerState::left)
    lost_.push_back(of);
}
bool ControlFollower::message(MemberId from, Incarnation of, std::uint64_t number, std::uint64_t heard,
                              Incarnation acked_incarnation, bool leaving,
                              const peer_codec::HeartbeatTerms& heartbeat) {
  return peers_.received(now_, from, of, number, heard, acked_incarnation, leaving, heartbeat);
}
void ControlFollower::control(MemberId from, Incarnation, std::string_view bytes) {
  from_ = from;
  control_codec::read(bytes, *this);
}
void ControlFollower::say(MemberId to, std::string_view about, std::string word) {
  peers_.keep(now_, to, true); // against a word to one that is followed only from the end of this turn on
  kept_.insert(to);
  peers_.enqueue(to, Peers::MessageClass::control, about, peer_codec::control(word));
}

// ---- to control members

void ControlFollower::follow(MemberId to, AttachmentNumber number, bool primary, const Position& at,
                             const std::vector<FollowedScope>& scopes) {
  say(to, "follow", control_codec::follow(number, primary, at, scopes, zone_));
}
void ControlFollower::have(MemberId to, AttachmentNumber number, const Position& at) {
  say(to, "have", control_codec::have(number, at));
}
void ControlFollower::compare(MemberId to, AttachmentNumber number, Version at,
                              const std::vector<std::uint64_t>& digests) {
  say(to, "compare", control_codec::compare(number, at, digests));
}
void ControlFollower::unfollow(MemberId to, AttachmentNumber number) {
  if (peers_.up(to)) say(to, "unfollow", control_codec::unfollow(number));
}

// ---- from control members

void ControlFollower::delta(Incarnation to, AttachmentNumber number, Version from, Version upto, Version last,
                            Nanos age, const std::vector<Entry>& entries) {
  follower_.delta(now_, from_, to, number, from, upto, last, age, entries);
}
void ControlFollower::renewal(Incarnation to, AttachmentNumber number, Version at,
                              const std::vector<std::uint16_t>& scopes, Version from, Version upto,
                              Version last, const std::vector<Entry>& entries) {
  follower_.renewal(now_, from_, to, number, at, scopes, from, upto, last, entries);
}
void ControlFollower::beat(Incarnation to, AttachmentNumber number, Version committed, Nanos age) {
  follower_.beat(now_, from_, to, number, committed, age);
}
void ControlFollower::rest(Incarnation to, AttachmentNumber number, Nanos rest) {
  follower_.rest(now_, from_, to, number, rest);
}
void ControlFollower::elsewhere(Incarnation to, AttachmentNumber number) {
  follower_.elsewhere(now_, from_, to, number);
}
void ControlFollower::again(Incarnation to, AttachmentNumber number) {
  follower_.again(now_, from_, to, number);
}

} // namespace cometshift
