// State that one member of a fleet keeps about each of the others: the items that wait to be sent, when to
// retry a connection, and what missing heartbeats mean. The module only decides: it does no I/O and reads no
// clock, and each call passes one time. Sockets are in peers/links.hpp, the encoding is in peer_codec.hpp.
//
// A connection carries messages one way: each member dials those that it sends to, and accepts connections
// from those that send to it. The two directions between two members therefore fail independently, and a
// member can tell: each message acknowledges the last one received from its recipient.
//
// Bounds: one message at a time is in flight to a peer. Pending items are keyed by class and key, and a newer
// item replaces a pending one with the same key; there are at most `peers.most_words` of them, with at most
// `peers.most_waiting_bytes`. An unresponsive, slow or half-closed peer costs no more than that. Members
// known: at most `peers.most_members`. Heartbeats sent in a second, to all peers together: at most
// `peers.most_beats`; with more connections each peer gets fewer, and is told the longer interval. A wake-up
// examines only the peers that it concerns, never all of them.
//
// Times: ns of the caller's clock, which must not go back. A PeerActions call must not call back into this
// module. Errors: the constructor throws std::invalid_argument with the name of an invalid setting.
#pragma once

#include "pcg.hpp"
#include "peer_codec.hpp"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cometshift {

// What this member knows of another one.
enum class PeerState {
  unknown,      // nothing was received yet
  reachable,    // messages arrive in both directions, as far as is known
  one_way,      // its messages arrive here, but this member's do not reach it
  unresponsive, // nothing was received for too long: it may be stopped, slow, dead or partitioned
  left          // it announced that it leaves
};
std::string_view to_text(PeerState peer_state);

// Effects that Peers asks its owner to carry out.
class PeerActions {
 public:
  virtual ~PeerActions() = default;
  virtual void dial(MemberId to) = 0;       // the outcome is reported by `connected` or `broken`
  virtual void disconnect(MemberId to) = 0; // nothing about that connection may be reported afterwards
  // Writes one frame; the outcome is reported by `written` or `broken`.
  virtual void send(MemberId to, std::string frame) = 0;
  virtual void peer_state_changed(MemberId member, PeerState before, PeerState now) = 0;
  virtual void duplicate_member(MemberId number) = 0; // two running members use the same number
};

// The other members known to one member, and what is pending for each.
class Peers {
 public:
  // Class of an item. Of one class and key only the newest item is pending. Items of `control` may be larger,
  // and delay those of the other classes by at most one message. Items of `update` and `control` are dropped
  // when their connection ends.
  enum class MessageClass : std::uint8_t { request, response, update, control };

  // `settings`, durations in ns:
  // - peers.beat: heartbeat interval, the longest time between two messages to a peer
  // - peers.silent: a peer that sent nothing for this long is unresponsive, and one that acknowledged
  //   nothing for this long is one-way unreachable; at least two heartbeat intervals
  // - peers.rest_least, peers.rest_most: backoff between connection attempts, doubled after each failed one
  // - peers.most_words: pending items for each peer
  // and these, which are optional:
  // - peers.most_waiting_bytes: bytes of the pending items for each peer, keys included; the default holds
  //   `peers.most_words` items of the largest size that leases use
  // - peers.most_beats: heartbeats in a second to all peers together; default: what 20 peers get at the
  //   interval `peers.beat`
  // - peers.most_members: other members that can be known; default: as many as are passed here
  // - peers.by_choice: 1: connections are kept only to the peers named by `request_connection`; otherwise
  //   also to the voters, by a voter to all from which it receives, and, while no voter is received from,
  //   to a few others at a time, in rounds
  Peers(Nanos now, peer_codec::Sender self, std::vector<MemberId> others, const Voters& voters,
        const Settings& settings, std::uint64_t seed, PeerActions& actions);

  // Adds a known member. False: it is this member itself, or there is no room. True without an effect where
  // it is known already.
  bool add(Nanos now, MemberId member);
  void remove(Nanos now, MemberId member); // disconnects, drops its pending items and forgets its state
  bool knows(MemberId member) const { return peers_.contains(member); }
  std::size_t known() const { return peers_.size(); }

  // Whether the caller wants a connection, in addition to those that the rule for voters wants. A wanted
  // connection is dialled again until it is no longer wanted. An unwanted one is closed and its pending items
  // are dropped. False: the member is not known.
  bool request_connection(Nanos now, MemberId member, bool wanted);
  const std::set<MemberId>& wanted() const { return wanted_; } // as of the last turn
  bool is_connected(MemberId to) const;

  // Queues an item for the next message. False: no room, too long, or the member is not known.
  bool enqueue(MemberId to, MessageClass message_class, std::string_view key, std::string item);
  // To all peers to which a connection is wanted.
  void enqueue_all(MessageClass message_class, std::string_view key, const std::string& item);
  std::size_t free_bytes(MemberId to) const; // that `enqueue` still accepts, the key included
  void leave(Nanos now); // announces that this member leaves; pending items are still sent
  bool all_sent() const; // to all peers that are connected

  void connected(Nanos now, MemberId to);
  void written(Nanos now, MemberId to);
  void broken(Nanos now, MemberId to);
  // Handles the header of a message. True: its items are to be handled. False: it is a duplicate or out of
  // order.
  bool received(Nanos now, MemberId from, Incarnation incarnation, std::uint64_t number, std::uint64_t acked,
                Incarnation acked_incarnation, bool leaving,
                const peer_codec::HeartbeatTerms& heartbeat = {});

  Nanos next_wake() const; // -1: none
  void due(Nanos now);
  void flush(Nanos now); // sends pending items and heartbeats; at the end of a turn

  struct Status {
    MemberId member;
    PeerState peer_state = PeerState::unknown;
    Incarnation incarnation;
    Nanos last_received_at = -1;
    std::size_t waiting = 0; // pending items
    std::uint64_t messages = 0, dropped = 0, dials = 0;
    Nanos unresponsive_timeout = 0; // it is unresponsive once nothing was received for this long
    bool wanted = false;
  };
  std::vector<Status> status() const; // of all peers, for operators
  PeerState peer_state(MemberId member) const;

  // Totals since this member started: peers examined (by a call or a wake-up), messages and the bytes of
  // their frames, and connection attempts.
  struct Costs {
    std::uint64_t peers_examined = 0, messages = 0, bytes = 0, dials = 0;
  };
  const Costs& costs() const { return costs_; }
  std::size_t connections() const { return connections_; }                     // established ones
  Nanos min_unresponsive_timeout() const { return min_unresponsive_timeout_; } // from the settings
  Nanos heartbeat_interval() const; // the current one, to peers that did not ask for a longer one

 private:
  enum class ConnectionState { none, connecting, idle, writing };
  struct Peer {
    ConnectionState connection = ConnectionState::none;
    Nanos connection_since = 0; // when `connection` was entered
    Nanos retry_at = 0;         // no attempt to connect before then
    bool awaiting_ack = false;  // it was found one-way unreachable, and has acknowledged nothing since
    bool requested = false;     // the caller wants a connection
    int failed_attempts = 0;    // in a row
    using ItemKey = std::pair<MessageClass, std::string>;
    std::map<ItemKey, std::string> pending;
    std::size_t pending_bytes = 0; // keys included
    // The keys sent last: the next message continues behind them.
    ItemKey last_sent_key{}, last_control_key{MessageClass::control, {}};
    Nanos next_heartbeat_at = 0;
    std::uint64_t last_sent = 0; // number of the last message
    // Messages that were sent and are not acknowledged, by number; when there are many, only the first ones
    // and the last one are kept.
    std::deque<std::pair<std::uint64_t, Nanos>> unacked;
    // When an item that expects a response was sent on this connection, if nothing was received since.
    Nanos request_sent_at = -1;
    // It sent a message without acknowledging what was sent on this connection long before.
    bool ack_overdue = false;
    Nanos unacked_since = -1; // since when it has acknowledged nothing, across connections
    PeerState peer_state = PeerState::unknown;
    Nanos last_received_at = -1;
    peer_codec::HeartbeatTerms heartbeat{}; // from its last message
    Nanos connect_back_until = -1;          // it receives from no voter, and asked for a connection back
    Incarnation newest_incarnation{};
    Nanos newest_incarnation_at = 0;
    std::map<Incarnation, std::uint64_t> last_received; // message numbers
    bool duplicate_reported = false;
    std::uint64_t messages = 0, dropped = 0, dials = 0;
    // How the peer is entered in the indexes below.
    Nanos wake = -1;
    bool is_connected = false, is_writing = false, is_ready = false, is_receiving = false, is_wanted = false;
  };
  using Wakes = std::set<std::pair<Nanos, MemberId>>;

  bool wants_connection(Nanos now, MemberId member, const Peer& peer) const;
  bool is_isolated(Nanos now) const;
  void contact_others(Nanos now);
  void update_voters();
  void update_state(Nanos now, MemberId member, Peer& peer);
  void process(Nanos now, MemberId member, Peer& peer);
  void send(Nanos now, MemberId to, Peer& peer);
  void on_disconnected(Nanos now, Peer& peer);
  void close(Nanos now, MemberId member, Peer& peer);
  void drop_pending(Peer& peer, bool stale_only);
  std::string take_items(Peer& peer, bool& has_request);
  Nanos unresponsive_timeout(const Peer& peer) const;
  Nanos wake_time(MemberId member, const Peer& peer) const;
  void reindex(MemberId member, Peer& peer);

  PeerActions& actions_;
  peer_codec::Sender self_;
  Pcg random_;
  Nanos heartbeat_interval_, min_unresponsive_timeout_, min_backoff_, max_backoff_;
  std::size_t max_pending_, max_pending_bytes_, max_members_;
  double max_heartbeats_; // in a second
  bool only_requested_;
  const Voters& voters_;
  std::set<MemberId> last_voters_; // the voters that connections were last adapted to
  bool last_may_grant_;
  bool leaving_ = false;
  Nanos now_;
  Nanos isolated_at_; // unless a message of a voter arrives before
  bool isolated_ = false;
  std::set<MemberId> contacted_; // the members of the current round while isolated
  Nanos contact_at_ = -1;        // the next round
  std::map<MemberId, Peer> peers_;
  std::vector<MemberId> members_; // the keys of `peers_`, in order, to draw from
  // Indexes of the peers by what they wait for; each change of a peer updates its entries.
  Wakes wakes_;
  std::set<MemberId> dirty_; // to be processed in this turn
  std::set<MemberId> ready_; // connected, not writing, and with pending items
  std::set<MemberId> wanted_, connect_back_;
  std::size_t connections_ = 0, writing_ = 0, receiving_from_ = 0;
  Costs costs_;
};

} // namespace cometshift
