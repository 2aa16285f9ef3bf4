#include "peers.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;
// Bytes of the items in one message. Half of the largest frame, so that several can be read in one turn.
constexpr std::size_t max_payload = peer_codec::max_message_bytes / 2;
// Remembered for each member number. A member that restarts has two; more mean that it restarts again and
// again.
constexpr std::size_t max_incarnations = 4;
// Unacknowledged messages remembered. Only the age of the first one matters, and whether an acknowledgement
// covers a later one.
constexpr std::size_t max_unacked = 64;
// In units of `peers.silent`: a voter stops dialling a member from which it received nothing for this long.
// The member is gone for good, or its messages will be received again.
constexpr Nanos forget_timeouts = 40;
// In units of `peers.silent`: a member that received nothing from any voter for this long contacts other
// members.
constexpr Nanos isolation_timeouts = 4;
constexpr int max_backoff_doublings = 16;
// Peers that get heartbeats at the full rate. At an interval of 500 ms these are 40 messages a second in all,
// under 4 KB with the 40 bytes of TCP/IP headers. With more peers each gets fewer.
constexpr double full_rate_members = 20;
// The longest interval that a message may promise or request. With an unintended larger value, the end of the
// member would go unnoticed.
constexpr Nanos max_interval = 600'000 * ms;
// Members that an isolated member contacts in one round: after each round, four times as many know the list.
constexpr std::size_t contacts_per_round = 3;
// Duration of a round in units of `peers.silent`: some round trips and a connection back.
constexpr Nanos contact_round_timeouts = 2;
// Isolated peers that are connected to at their request, at a time.
constexpr std::size_t max_connect_back = 8;
const std::pair first_control_key{Peers::MessageClass::control, std::string()};

Nanos round_up_to_ms(Nanos duration) { return (duration + ms - 1) / ms * ms; }

} // namespace

std::string_view to_text(PeerState peer_state) {
  switch (peer_state) {
  case PeerState::unknown:
    return "not heard yet";
  case PeerState::reachable:
    return "well";
  case PeerState::one_way:
    return "does not hear us";
  case PeerState::unresponsive:
    return "silent";
  case PeerState::left:
    return "left";
  }
  return "?";
}

Peers::Peers(Nanos now, peer_codec::Sender self, std::vector<MemberId> others, const Voters& voters,
             const Settings& settings, std::uint64_t seed, PeerActions& actions)
    : actions_(actions), self_(std::move(self)), random_(seed), voters_(voters), last_voters_(voters.all()),
      last_may_grant_(voters.may_grant(self_.from)), now_(now) {
  heartbeat_interval_ = static_cast<Nanos>(required_number(settings, "peers.beat", static_cast<double>(ms)));
  min_unresponsive_timeout_ = static_cast<Nanos>(
      required_number(settings, "peers.silent", 2 * static_cast<double>(heartbeat_interval_)));
  min_backoff_ = static_cast<Nanos>(required_number(settings, "peers.rest_least", static_cast<double>(ms)));
  max_backoff_ =
      static_cast<Nanos>(required_number(settings, "peers.rest_most", static_cast<double>(min_backoff_)));
  max_pending_ = static_cast<std::size_t>(required_number(settings, "peers.most_words", 1));
  const auto or_else = [&](const char* name, double least, double otherwise) {
    return settings.contains(name) ? required_number(settings, name, least) : otherwise;
  };
  max_pending_bytes_ = static_cast<std::size_t>(or_else(
      "peers.most_waiting_bytes", 1, static_cast<double>(max_pending_ * 2 * peer_codec::max_item_bytes)));
  max_heartbeats_ =
      or_else("peers.most_beats", 0.1, full_rate_members * 1e9 / static_cast<double>(heartbeat_interval_));
  only_requested_ = or_else("peers.by_choice", 0, 0) != 0;
  std::erase(others, self_.from);
  max_members_ = static_cast<std::size_t>(
      or_else("peers.most_members", static_cast<double>(others.size()), static_cast<double>(others.size())));
  isolated_at_ = now + isolation_timeouts * min_unresponsive_timeout_;
  for (const MemberId other : others) add(now, other);
}

// ---- membership and wanted connections

bool Peers::add(Nanos now, MemberId member) {
  now_ = now;
  if (peers_.contains(member)) return true;
  if (member == self_.from || peers_.size() >= max_members_) return false;
  Peer& peer = peers_[member];
  peer.next_heartbeat_at = peer.connection_since = now;
  members_.insert(std::lower_bound(members_.begin(), members_.end(), member), member);
  if (isolated_ && contact_at_ < 0) contact_at_ = now;
  reindex(member, peer);
  return true;
}

void Peers::remove(Nanos now, MemberId member) {
  now_ = now;
  const auto at = peers_.find(member);
  if (at == peers_.end()) return;
  Peer& peer = at->second;
  if (peer.connection != ConnectionState::none) actions_.disconnect(member);
  connections_ -= peer.is_connected;
  writing_ -= peer.is_writing;
  receiving_from_ -= peer.is_receiving;
  if (peer.wake >= 0) wakes_.erase({peer.wake, member});
  for (std::set<MemberId>* index : {&dirty_, &ready_, &wanted_, &connect_back_, &contacted_})
    index->erase(member);
  members_.erase(std::lower_bound(members_.begin(), members_.end(), member));
  peers_.erase(at);
}

bool Peers::request_connection(Nanos now, MemberId member, bool wanted) {
  now_ = now;
  const auto at = peers_.find(member);
  if (at == peers_.end()) return false;
  at->second.requested = wanted;
  reindex(member, at->second);
  return true;
}

bool Peers::is_connected(MemberId to) const {
  const auto at = peers_.find(to);
  return at != peers_.end() && at->second.is_connected;
}

// All voters of this member's list may be gone; other members may know a newer list.
bool Peers::is_isolated(Nanos now) const {
  return !only_requested_ && !voters_.may_grant(self_.from) && now >= isolated_at_;
}

bool Peers::wants_connection(Nanos now, MemberId member, const Peer& peer) const {
  if (peer.requested) return true;
  if (only_requested_) return false;
  if (voters_.is_voter(member) || contacted_.contains(member) || now < peer.connect_back_until) return true;
  return voters_.may_grant(self_.from) && peer.last_received_at >= 0 && peer.peer_state != PeerState::left &&
         now - peer.last_received_at <
             std::max(forget_timeouts * min_unresponsive_timeout_, unresponsive_timeout(peer));
}

// Draws a few members at random, different ones in each round; all of them if there are no more than that.
void Peers::contact_others(Nanos now) {
  std::set<MemberId> before;
  before.swap(contacted_);
  dirty_.insert(before.begin(), before.end());
  std::size_t others = members_.size();
  for (const MemberId voter : voters_.all()) others -= peers_.contains(voter);
  contact_at_ = -1;
  if (others <= contacts_per_round) {
    for (const MemberId member : members_)
      if (!voters_.is_voter(member)) contacted_.insert(member);
  } else {
    const bool avoid_previous = others >= 2 * contacts_per_round;
    while (contacted_.size() < contacts_per_round) {
      const MemberId drawn = members_[random_.next() % members_.size()];
      if (!voters_.is_voter(drawn) && !(avoid_previous && before.contains(drawn))) contacted_.insert(drawn);
    }
    // Jitter, so that the members of a fleet do not all ask at the same time.
    contact_at_ =
        now + static_cast<Nanos>(static_cast<double>(contact_round_timeouts * min_unresponsive_timeout_) *
                                 (0.75 + random_.unit() / 2));
  }
  dirty_.insert(contacted_.begin(), contacted_.end());
}

// The list of voters belongs to the caller and can change between calls.
void Peers::update_voters() {
  const bool may_grant = voters_.may_grant(self_.from);
  if (may_grant != last_may_grant_)
    dirty_.insert(members_.begin(), members_.end());
  else if (voters_.all() != last_voters_)
    for (const std::set<MemberId>* voters :
         std::initializer_list<const std::set<MemberId>*>{&last_voters_, &voters_.all()})
      for (const MemberId voter : *voters)
        if (peers_.contains(voter)) dirty_.insert(voter);
  if (voters_.all() != last_voters_) last_voters_ = voters_.all();
  last_may_grant_ = may_grant;
}

// ---- pending items

bool Peers::enqueue(MemberId to, MessageClass message_class, std::string_view key, std::string item) {
  const auto at = peers_.find(to);
  if (at == peers_.end()) return false;
  if (item.size() > (message_class == MessageClass::control
                         ? peer_codec::max_control_bytes + peer_codec::control_item_overhead
                         : peer_codec::max_item_bytes))
    return false;
  Peer& peer = at->second;
  const auto [found, inserted] = peer.pending.try_emplace(Peer::ItemKey{message_class, std::string(key)});
  const std::size_t bytes =
      peer.pending_bytes - found->second.size() + item.size() + (inserted ? key.size() : std::size_t{0});
  if ((inserted && peer.pending.size() > max_pending_) ||
      (bytes > max_pending_bytes_ && bytes > peer.pending_bytes)) {
    if (inserted) peer.pending.erase(found); // an older item with the same key stays pending
    return ++peer.dropped, false;
  }
  peer.pending_bytes = bytes;
  found->second = std::move(item);
  reindex(to, peer);
  return true;
}

void Peers::enqueue_all(MessageClass message_class, std::string_view key, const std::string& item) {
  for (const MemberId member : wanted_) enqueue(member, message_class, key, item);
}

std::size_t Peers::free_bytes(MemberId to) const {
  const auto at = peers_.find(to);
  if (at == peers_.end() || at->second.pending.size() >= max_pending_) return 0;
  return max_pending_bytes_ - std::min(max_pending_bytes_, at->second.pending_bytes);
}

void Peers::drop_pending(Peer& peer, bool stale_only) {
  std::erase_if(peer.pending, [&](const auto& entry) {
    const MessageClass message_class = entry.first.first;
    if (stale_only && message_class != MessageClass::update && message_class != MessageClass::control)
      return false;
    peer.pending_bytes -= entry.first.second.size() + entry.second.size();
    return true;
  });
}

void Peers::leave(Nanos now) {
  now_ = now;
  leaving_ = true;
  for (auto& [member, peer] : peers_) {
    peer.next_heartbeat_at = now;
    reindex(member, peer);
  }
}

bool Peers::all_sent() const { return writing_ == 0 && ready_.empty(); }

// ---- connections

// Reports about a connection that was closed in the meantime are ignored.
void Peers::connected(Nanos now, MemberId to) {
  now_ = now;
  const auto at = peers_.find(to);
  if (at == peers_.end() || at->second.connection != ConnectionState::connecting) return;
  Peer& peer = at->second;
  peer.connection = ConnectionState::idle;
  peer.connection_since = now;
  peer.next_heartbeat_at = now;
  reindex(to, peer);
}

void Peers::written(Nanos now, MemberId to) {
  now_ = now;
  const auto at = peers_.find(to);
  if (at == peers_.end() || at->second.connection != ConnectionState::writing) return;
  at->second.connection = ConnectionState::idle;
  at->second.connection_since = now;
  reindex(to, at->second);
}

void Peers::broken(Nanos now, MemberId to) {
  now_ = now;
  const auto at = peers_.find(to);
  if (at == peers_.end() || at->second.connection == ConnectionState::none) return;
  on_disconnected(now, at->second);
  reindex(to, at->second);
}

// The backoff grows until the other side acknowledged something that was sent on a new connection, because it
// may accept connections and read nothing. While many connections are down the backoff grows further, so that
// the rate of attempts has the same bound as the rate of heartbeats.
void Peers::on_disconnected(Nanos now, Peer& peer) {
  peer.connection = ConnectionState::none;
  peer.connection_since = now;
  peer.unacked.clear(); // these may be lost with the connection
  peer.request_sent_at = -1;
  peer.ack_overdue = false;
  const double missing = static_cast<double>(wanted_.size() - std::min(wanted_.size(), connections_));
  const double limit = std::max(static_cast<double>(max_backoff_), missing * 1e9 / max_heartbeats_);
  const double backoff = std::min(static_cast<double>(min_backoff_) * std::exp2(peer.failed_attempts), limit);
  peer.retry_at = now + static_cast<Nanos>(backoff * (0.5 + random_.unit()));
  peer.failed_attempts = std::min(peer.failed_attempts + 1, max_backoff_doublings);
  drop_pending(peer, true); // its updates and control items would be sent late, as if they were current
}

void Peers::close(Nanos now, MemberId member, Peer& peer) {
  if (peer.connection == ConnectionState::none) return;
  actions_.disconnect(member);
  on_disconnected(now, peer);
}

// ---- received messages

bool Peers::received(Nanos now, MemberId from, Incarnation incarnation, std::uint64_t number,
                     std::uint64_t acked, Incarnation acked_incarnation, bool leaving,
                     const peer_codec::HeartbeatTerms& heartbeat) {
  now_ = now;
  const auto at = peers_.find(from);
  if (at == peers_.end()) return false;
  Peer& peer = at->second;
  const auto [last, inserted] = peer.last_received.emplace(incarnation, 0);
  if (inserted) {
    peer.newest_incarnation = incarnation;
    peer.newest_incarnation_at = now;
    while (peer.last_received.size() > max_incarnations)
      for (auto old = peer.last_received.begin(); old != peer.last_received.end(); ++old)
        if (old->first != incarnation) {
          peer.last_received.erase(old);
          break;
        }
  } else if (incarnation != peer.newest_incarnation &&
             now - peer.newest_incarnation_at > min_unresponsive_timeout_ && !peer.duplicate_reported) {
    peer.duplicate_reported = true; // messages of an earlier incarnation do not arrive that late
    actions_.duplicate_member(from);
  }
  std::uint64_t& known = peer.last_received.find(incarnation)->second;
  if (number <= known) return false; // duplicate or out of order
  known = number;
  if (incarnation != peer.newest_incarnation)
    return true; // its items are valid, but its header is about the connections of another incarnation
  peer.last_received_at = now;
  peer.request_sent_at = -1;
  peer.heartbeat = {std::min(heartbeat.next_within, max_interval),
                    std::min(heartbeat.requested_interval, max_interval), heartbeat.isolated};
  if (voters_.is_voter(from))
    isolated_at_ = std::max(isolated_at_, now + std::max(isolation_timeouts * min_unresponsive_timeout_,
                                                         unresponsive_timeout(peer)));
  if (heartbeat.isolated && (connect_back_.size() < max_connect_back || connect_back_.contains(from))) {
    connect_back_.insert(from);
    peer.connect_back_until = now + unresponsive_timeout(peer);
  } else {
    connect_back_.erase(from);
    peer.connect_back_until = -1;
  }
  if (acked_incarnation == self_.incarnation && acked <= peer.last_sent) {
    bool any_acked = false;
    for (; !peer.unacked.empty() && peer.unacked.front().first <= acked; any_acked = true)
      peer.unacked.pop_front();
    if (any_acked) peer.failed_attempts = 0, peer.awaiting_ack = false, peer.unacked_since = -1;
  }
  // It sends, but does not acknowledge what was sent to it long ago: that is stalled on the way, and a
  // response would be stalled behind it.
  if (!peer.unacked.empty() && now - peer.unacked.front().second >= min_unresponsive_timeout_) {
    peer.ack_overdue = true;
    if (peer.unacked_since < 0) peer.unacked_since = peer.unacked.front().second;
    dirty_.insert(from);
  }
  if (leaving && peer.peer_state != PeerState::left) {
    actions_.peer_state_changed(from, peer.peer_state, PeerState::left);
    peer.peer_state = PeerState::left;
  } else if (!leaving) {
    if (peer.peer_state == PeerState::left || peer.peer_state == PeerState::unknown ||
        peer.peer_state == PeerState::unresponsive) {
      actions_.peer_state_changed(from, peer.peer_state, PeerState::reachable);
      peer.peer_state = PeerState::reachable;
      peer.unacked_since = -1;
      peer.awaiting_ack = false; // it dates from before the peer left
      if (peer.connection == ConnectionState::none)
        peer.retry_at = now; // the peer is back: no backoff is needed
    }
    update_state(now, from, peer);
  }
  reindex(from, peer);
  return true;
}

// Scales with the interval that the peer promised, by the ratio of `peers.silent` to `peers.beat`.
Nanos Peers::unresponsive_timeout(const Peer& peer) const {
  if (peer.heartbeat.next_within <= heartbeat_interval_) return min_unresponsive_timeout_;
  const double intervals =
      static_cast<double>(min_unresponsive_timeout_) / static_cast<double>(heartbeat_interval_);
  return static_cast<Nanos>(static_cast<double>(peer.heartbeat.next_within) * intervals);
}

// One-way unreachable: messages of the peer arrive, and the first one that it has not acknowledged is too
// old. Unresponsive takes precedence: acknowledgements of a peer that is not received from can't arrive.
void Peers::update_state(Nanos now, MemberId member, Peer& peer) {
  if (peer.peer_state == PeerState::unknown || peer.peer_state == PeerState::left) return;
  PeerState next = PeerState::reachable;
  const Nanos timeout = unresponsive_timeout(peer);
  const bool unacked = (!peer.unacked.empty() && now - peer.unacked.front().second >= timeout) ||
                       (peer.unacked_since >= 0 && now - peer.unacked_since >= timeout);
  const bool unreached = peer.is_wanted && peer.connection == ConnectionState::none &&
                         now - peer.connection_since >= min_unresponsive_timeout_;
  if (now - peer.last_received_at >= timeout)
    next = PeerState::unresponsive;
  else if (wants_connection(now, member, peer) && (unacked || unreached || peer.awaiting_ack))
    next = PeerState::one_way;
  peer.awaiting_ack = next == PeerState::one_way; // until it acknowledges something
  if (next == peer.peer_state) return;
  actions_.peer_state_changed(member, peer.peer_state, next);
  peer.peer_state = next;
}

PeerState Peers::peer_state(MemberId member) const {
  const auto at = peers_.find(member);
  return at == peers_.end() ? PeerState::unknown : at->second.peer_state;
}

// ---- time

Nanos Peers::heartbeat_interval() const {
  return std::max(heartbeat_interval_,
                  static_cast<Nanos>(static_cast<double>(std::max(connections_, receiving_from_)) * 1e9 /
                                     max_heartbeats_));
}

Nanos Peers::wake_time(MemberId member, const Peer& peer) const {
  Nanos next = -1;
  const auto also = [&next](Nanos at) { next = next < 0 ? at : std::min(next, at); };
  const Nanos timeout = unresponsive_timeout(peer);
  const bool wanted = wants_connection(now_, member, peer);
  const bool may_be_one_way = wanted && peer.peer_state == PeerState::reachable;
  if (may_be_one_way && peer.unacked_since >= 0) also(peer.unacked_since + timeout);
  if (peer.peer_state == PeerState::reachable || peer.peer_state == PeerState::one_way)
    also(peer.last_received_at + timeout);
  if (now_ < peer.connect_back_until) also(peer.connect_back_until);
  if (peer.request_sent_at >= 0) also(peer.request_sent_at + min_unresponsive_timeout_);
  switch (peer.connection) {
  case ConnectionState::none:
    if (wanted && !leaving_) also(peer.retry_at);
    if (may_be_one_way) also(peer.connection_since + min_unresponsive_timeout_);
    break;
  case ConnectionState::idle:
    also(peer.next_heartbeat_at);
    if (!peer.unacked.empty()) also(peer.unacked.front().second + timeout);
    break;
  case ConnectionState::connecting:
  case ConnectionState::writing:
    also(peer.connection_since + min_unresponsive_timeout_);
    if (may_be_one_way && !peer.unacked.empty()) also(peer.unacked.front().second + timeout);
    break;
  }
  return next;
}

// Updates the indexes after any change of a peer, without examining the others.
void Peers::reindex(MemberId member, Peer& peer) {
  ++costs_.peers_examined;
  const auto count = [](std::size_t& all, bool& counted, bool now) {
    all += now;
    all -= counted;
    counted = now;
  };
  count(connections_, peer.is_connected,
        peer.connection == ConnectionState::idle || peer.connection == ConnectionState::writing);
  count(writing_, peer.is_writing, peer.connection == ConnectionState::writing);
  count(receiving_from_, peer.is_receiving,
        peer.peer_state == PeerState::reachable || peer.peer_state == PeerState::one_way);
  if (const bool ready = peer.connection == ConnectionState::idle && !peer.pending.empty();
      ready != peer.is_ready) {
    if (ready)
      ready_.insert(member);
    else
      ready_.erase(member);
    peer.is_ready = ready;
  }
  if (wants_connection(now_, member, peer) != peer.is_wanted || (!peer.is_wanted && !peer.pending.empty()))
    dirty_.insert(member);
  const Nanos wake = wake_time(member, peer);
  if (wake == peer.wake) return;
  auto node = peer.wake >= 0 ? wakes_.extract({peer.wake, member}) : Wakes::node_type{};
  peer.wake = wake;
  if (wake < 0) return;
  if (node) {
    node.value().first = wake;
    wakes_.insert(std::move(node));
  } else {
    wakes_.emplace(wake, member);
  }
}

Nanos Peers::next_wake() const {
  Nanos next = wakes_.empty() ? -1 : wakes_.begin()->first;
  if (!only_requested_ && !voters_.may_grant(self_.from))
    if (const Nanos at = isolated_ ? contact_at_ : isolated_at_; at >= 0 && (next < 0 || at < next))
      next = at;
  return next;
}

void Peers::due(Nanos now) {
  now_ = now;
  if (!only_requested_) update_voters();
  if (const bool before = std::exchange(isolated_, is_isolated(now)); isolated_) {
    if (!before || (contact_at_ >= 0 && now >= contact_at_)) contact_others(now);
  } else if (before) {
    dirty_.insert(contacted_.begin(), contacted_.end());
    contacted_.clear();
  }
  std::set<MemberId> concerned;
  concerned.swap(dirty_);
  for (auto at = wakes_.begin(); at != wakes_.end() && at->first <= now; ++at) concerned.insert(at->second);
  for (const MemberId member : concerned) process(now, member, peers_.at(member));
}

void Peers::process(Nanos now, MemberId member, Peer& peer) {
  if (!peer.is_wanted && peer.connection == ConnectionState::none)
    peer.connection_since = now; // there was no attempt to connect before
  update_state(now, member, peer);
  if (now >= peer.connect_back_until) connect_back_.erase(member);
  const bool stuck =
      (peer.connection == ConnectionState::connecting || peer.connection == ConnectionState::writing) &&
      now - peer.connection_since >= min_unresponsive_timeout_;
  const bool unacked = peer.connection == ConnectionState::idle && !peer.unacked.empty() &&
                       now - peer.unacked.front().second >= unresponsive_timeout(peer);
  // TCP may still retransmit on this connection, with delays of minutes. If the peer promised only rare
  // messages, neither the unresponsive nor the one-way state would show it soon.
  const bool stalled =
      (peer.connection == ConnectionState::idle || peer.connection == ConnectionState::writing) &&
      (peer.ack_overdue ||
       (peer.request_sent_at >= 0 && now - peer.request_sent_at >= min_unresponsive_timeout_));
  if (stuck || unacked || stalled) close(now, member, peer);
  peer.is_wanted = wants_connection(now, member, peer);
  if (!peer.is_wanted) {
    wanted_.erase(member);
    close(now, member, peer);
    drop_pending(peer, false);
  } else {
    wanted_.insert(member);
    if (peer.connection == ConnectionState::none && now >= peer.retry_at && !leaving_) {
      peer.connection = ConnectionState::connecting;
      peer.connection_since = now;
      ++peer.dials;
      ++costs_.dials;
      actions_.dial(member);
    }
  }
  reindex(member, peer);
}

void Peers::flush(Nanos now) {
  now_ = now;
  std::vector<MemberId> concerned(ready_.begin(), ready_.end());
  for (auto at = wakes_.begin(); at != wakes_.end() && at->first <= now; ++at)
    if (const Peer& peer = peers_.at(at->second);
        peer.connection == ConnectionState::idle && now >= peer.next_heartbeat_at)
      concerned.push_back(at->second);
  std::sort(concerned.begin(), concerned.end());
  concerned.erase(std::unique(concerned.begin(), concerned.end()), concerned.end());
  for (const MemberId member : concerned) send(now, member, peers_.at(member));
}

// Round robin behind the key that was sent last, so that no key starves behind those before it. The other
// classes go before `control`, and leave it half of a message.
std::string Peers::take_items(Peer& peer, bool& has_request) {
  std::string items;
  const auto append = [&](bool control, Peer::ItemKey& last_key, std::size_t limit) {
    auto next = peer.pending.upper_bound(last_key);
    for (;;) {
      const auto first_control = peer.pending.lower_bound(first_control_key);
      const auto first = control ? first_control : peer.pending.begin();
      const auto last = control ? peer.pending.end() : first_control;
      if (first == last) return;
      if (next == last) next = first;
      if (items.size() + next->second.size() > limit) return;
      const MessageClass message_class = next->first.first;
      const bool expects_response =
          (message_class == MessageClass::request || message_class == MessageClass::control) &&
          peer_codec::expects_response(next->second);
      items += next->second;
      last_key = next->first;
      has_request = has_request || expects_response;
      peer.pending_bytes -= next->first.second.size() + next->second.size();
      next = peer.pending.erase(next);
    }
  };
  const bool has_control =
      !peer.pending.empty() && peer.pending.rbegin()->first.first == MessageClass::control;
  append(false, peer.last_sent_key, has_control ? max_payload / 2 : max_payload);
  if (has_control) append(true, peer.last_control_key, max_payload);
  return items;
}

void Peers::send(Nanos now, MemberId to, Peer& peer) {
  bool has_request = false;
  const std::string items = take_items(peer, has_request);
  if (has_request && peer.request_sent_at < 0) peer.request_sent_at = now;
  const Incarnation incarnation = peer.newest_incarnation;
  const auto last = peer.last_received.find(incarnation);
  ++peer.last_sent;
  ++peer.messages;
  if (peer.unacked.size() >= max_unacked) peer.unacked.pop_back();
  peer.unacked.emplace_back(peer.last_sent, now);
  // A peer that promises no interval is of a build that knows none, and would take a longer interval for
  // unresponsiveness.
  const Nanos own = heartbeat_interval(), next = peer.heartbeat.next_within > 0
                                                     ? std::max(own, peer.heartbeat.requested_interval)
                                                     : heartbeat_interval_;
  const peer_codec::HeartbeatTerms heartbeat{round_up_to_ms(next),
                                             own > heartbeat_interval_ ? round_up_to_ms(own) : 0, isolated_};
  peer.next_heartbeat_at = now + next;
  peer.connection = ConnectionState::writing;
  peer.connection_since = now;
  reindex(to, peer);
  peer_codec::Sender sender = self_;
  sender.to = to;
  std::string frame =
      peer_codec::message(sender, peer.last_sent, last == peer.last_received.end() ? 0 : last->second,
                          incarnation, leaving_, items, heartbeat);
  ++costs_.messages;
  costs_.bytes += frame.size();
  actions_.send(to, std::move(frame));
}

std::vector<Peers::Status> Peers::status() const {
  std::vector<Status> all;
  for (const auto& [member, peer] : peers_)
    all.push_back({member, peer.peer_state, peer.newest_incarnation, peer.last_received_at,
                   peer.pending.size(), peer.messages, peer.dropped, peer.dials, unresponsive_timeout(peer),
                   peer.is_wanted});
  return all;
}

} // namespace cometshift
