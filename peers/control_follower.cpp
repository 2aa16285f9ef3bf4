#include "control_follower.hpp"

#include <algorithm>
#include <utility>

namespace cometshift {

namespace {

std::vector<MemberId> member_ids(const std::vector<Follower::Control>& controls) {
  std::vector<MemberId> ids;
  for (const Follower::Control& control : controls) ids.push_back(control.member);
  return ids;
}

} // namespace

ControlFollower::ControlFollower(Nanos now, const peer_codec::Sender& self,
                                 const Follower::Location& location,
                                 const std::vector<Follower::Control>& controls,
                                 std::vector<std::string> scopes, const Settings& settings,
                                 std::uint64_t seed, ControlFollowerActions& actions)
    : actions_(actions), zone_(location.zone), now_(now),
      // The settle time of 1 ns is never used: this list has no previous one and is never replaced.
      voters_(now, self.from, {Epoch{1}, {controls.front().member}, {}}, 1),
      follower_(now, self.incarnation, location, controls, std::move(scopes), settings, seed, *this),
      peers_(now, self, member_ids(controls), voters_, settings, seed + 1, *this) {}

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
    for (const MemberId control : std::exchange(disconnected_, {})) follower_.disconnected(now, control);
    follower_.due(now);
    update_connections();
    peers_.due(now);
  } while (!disconnected_.empty());
  peers_.flush(now);
}
Nanos ControlFollower::next_wake() const {
  const Nanos peers_wake = peers_.next_wake(), follower_wake = follower_.next_wake();
  return peers_wake < 0      ? follower_wake
         : follower_wake < 0 ? peers_wake
                             : std::min(peers_wake, follower_wake);
}

// Requests connections to the followed control members only; those to others are closed by `Peers::due`.
void ControlFollower::update_connections() {
  std::set<MemberId> wanted;
  for (const Follower::Attachment& attachment : follower_.attachments()) wanted.insert(attachment.member);
  if (wanted == requested_) return;
  for (const MemberId control : requested_)
    if (!wanted.contains(control)) peers_.request_connection(now_, control, false);
  for (const MemberId control : wanted)
    if (!requested_.contains(control)) peers_.request_connection(now_, control, true);
  requested_ = std::move(wanted);
}

// ---- peers

void ControlFollower::peer_state_changed(MemberId member, PeerState, PeerState after) {
  if (after == PeerState::unresponsive || after == PeerState::one_way || after == PeerState::left)
    disconnected_.push_back(member);
}
bool ControlFollower::message(MemberId from, Incarnation incarnation, std::uint64_t number,
                              std::uint64_t acked, Incarnation acked_incarnation, bool leaving,
                              const peer_codec::HeartbeatTerms& heartbeat) {
  return peers_.received(now_, from, incarnation, number, acked, acked_incarnation, leaving, heartbeat);
}
void ControlFollower::control(MemberId from, Incarnation, std::string_view bytes) {
  sender_id_ = from;
  control_codec::read(bytes, *this);
}
void ControlFollower::enqueue(MemberId to, std::string_view key, std::string message) {
  // The follower may have chosen this recipient after the last `update_connections`.
  peers_.request_connection(now_, to, true);
  requested_.insert(to);
  peers_.enqueue(to, Peers::MessageClass::control, key, peer_codec::control(message));
}

// ---- messages to control members

void ControlFollower::follow(MemberId to, AttachmentNumber number, bool primary, const Position& at,
                             const std::vector<FollowedScope>& scopes) {
  enqueue(to, "follow", control_codec::follow(number, primary, at, scopes, zone_));
}
void ControlFollower::have(MemberId to, AttachmentNumber number, const Position& at) {
  enqueue(to, "have", control_codec::have(number, at));
}
void ControlFollower::compare(MemberId to, AttachmentNumber number, Version at,
                              const std::vector<std::uint64_t>& digests) {
  enqueue(to, "compare", control_codec::compare(number, at, digests));
}
void ControlFollower::unfollow(MemberId to, AttachmentNumber number) {
  if (peers_.is_connected(to)) enqueue(to, "unfollow", control_codec::unfollow(number));
}

// ---- messages of control members

void ControlFollower::delta(Incarnation to, AttachmentNumber number, Version from, Version upto, Version last,
                            Nanos age, const std::vector<Entry>& entries) {
  follower_.delta(now_, sender_id_, to, number, from, upto, last, age, entries);
}
void ControlFollower::renewal(Incarnation to, AttachmentNumber number, Version at,
                              const std::vector<std::uint16_t>& scopes, Version from, Version upto,
                              Version last, const std::vector<Entry>& entries) {
  follower_.renewal(now_, sender_id_, to, number, at, scopes, from, upto, last, entries);
}
void ControlFollower::beat(Incarnation to, AttachmentNumber number, Version committed, Nanos age) {
  follower_.beat(now_, sender_id_, to, number, committed, age);
}
void ControlFollower::rest(Incarnation to, AttachmentNumber number, Nanos delay) {
  follower_.rest(now_, sender_id_, to, number, delay);
}
void ControlFollower::elsewhere(Incarnation to, AttachmentNumber number) {
  follower_.elsewhere(now_, sender_id_, to, number);
}
void ControlFollower::again(Incarnation to, AttachmentNumber number) {
  follower_.again(now_, sender_id_, to, number);
}

} // namespace cometshift
