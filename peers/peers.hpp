// What one member of a fleet keeps of each other: what is still to be said to it, when a connection to it is
// worth another try, and what its silence means. Decides only: no I/O, no clock, one time with each call.
// Sockets (peers/links.hpp) carry out, peer_codec.hpp has the bytes.
//
// A connection goes one way: each member dials those to whom it speaks, and listens on those that others
// dial. So each way between two members fails by itself, and is known to: what a member says has the number
// of the last message that it heard, by which the other knows whether it is heard.
//
// Bounds: one message at a time is under way to a member; what waits stands in slots, where the newest word
// about a matter replaces the one before, at most `peers.most_words` of them and `peers.most_waiting_bytes`;
// a mute, slow or half-closed member costs that and no more. Members known: `peers.most_members`. Beats sent
// in a second, to all together: `peers.most_beats`; with more lines each gets fewer, and is told so. A wake
// looks at those members that it concerns, never at all.
//
// Times: of the caller's own clock, ns, never going back. Nothing that is ordered may call back within the
// order. Errors: the constructor throws std::invalid_argument with the name of a setting that is senseless.
#pragma once

#include "pcg.hpp"
#include "peer_codec.hpp"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cometshift {

// What this member thinks of another.
enum class PeerState {
  unknown,      // nothing was heard yet
  reachable,    // both hear each other, as far as is known
  one_way,      // it is heard, and does not hear this member
  unresponsive, // not heard for too long: stopped, slow, dead or cut off, which can't be told from here
  left          // it said that it goes
};
std::string_view to_text(PeerState peer_state);

class PeerActions {
 public:
  virtual ~PeerActions() = default;
  virtual void dial(MemberId to) = 0;       // ends by `connected` or `broken`
  virtual void disconnect(MemberId to) = 0; // nothing of that connection follows
  // One frame; ends by `written` or `broken`.
  virtual void send(MemberId to, std::string frame) = 0;
  virtual void peer_state_changed(MemberId member, PeerState before, PeerState now) = 0;
  virtual void duplicate_member(MemberId number) = 0; // two members live under one number
};

class Peers {
 public:
  // What a word is about; one of a slot and a matter waits, the newest. Words of `control` may be larger, and
  // never keep those of the other slots waiting for more than a message. Of `update` and `control`, none
  // outlives its line.
  enum class MessageClass : std::uint8_t { request, response, update, control };

  // `figures`, spans in ns:
  // - peers.beat: a message goes out at least so often
  // - peers.silent: after so long without a word a member counts as silent, or as deaf without an answer;
  //   over two beats
  // - peers.rest_least, peers.rest_most: between tries to connect, doubled with each that comes to nothing
  // - peers.most_words: that wait for a member
  // and these, which may be left out:
  // - peers.most_waiting_bytes: of the words that wait for a member, matters included; else as many as
  //   `most_words` of the leases' have at the most
  // - peers.most_beats: a second, to all together; else what 20 members get at `peers.beat`
  // - peers.most_members: others that are known; else as many as are handed in here
  // - peers.by_choice: 1: connections are kept to those alone that `keep` names; else also to the voters,
  //   by a voter to all it hears, and, where no voter is heard, to a few others at a time, by turns
  Peers(Nanos now, peer_codec::Sender self, std::vector<MemberId> others, const Voters& voters,
        const Settings& settings, std::uint64_t seed, PeerActions& actions);

  // Who else there is, while this member lives. False: it is this member itself, or there is no room.
  bool add(Nanos now, MemberId member);    // true and nothing else where it is known already
  void remove(Nanos now, MemberId member); // hangs up; what waits is dropped, what was heard is forgotten
  bool knows(MemberId member) const { return peers_.contains(member); }
  std::size_t known() const { return peers_.size(); }

  // Whether a line to it is wanted by the caller, beside what the voters' rule wants; dialled again until it
  // isn't. Without either the line is hung up, and what waits is dropped. False: nobody of that number.
  bool request_connection(Nanos now, MemberId member, bool wanted);
  const std::set<MemberId>& wanted() const { return wanted_; } // as the last turn found
  bool is_connected(MemberId to) const;                        // a line to it stands

  // To be said with the next message. False: no room, too long, or nobody of that number.
  bool enqueue(MemberId to, MessageClass message_class, std::string_view key, std::string item);
  void enqueue_all(MessageClass message_class, std::string_view key,
                   const std::string& item); // to all to whom a line is wanted
  std::size_t free_bytes(MemberId to) const; // bytes that `say` still takes, a word's matter included
  void leave(Nanos now);                     // says so; what waits is still said
  bool all_sent() const;                     // to all that can be reached

  void connected(Nanos now, MemberId to);
  void written(Nanos now, MemberId to);
  void broken(Nanos now, MemberId to);
  // A message came: true if what it says is to be taken, false if it came before.
  bool received(Nanos now, MemberId from, Incarnation incarnation, std::uint64_t number, std::uint64_t acked,
                Incarnation acked_incarnation, bool leaving,
                const peer_codec::HeartbeatTerms& heartbeat = {});

  Nanos next_wake() const; // -1: none
  void due(Nanos now);
  void flush(Nanos now); // sends what there is to say; at the end of a turn

  struct Status {
    MemberId member;
    PeerState peer_state = PeerState::unknown;
    Incarnation incarnation;
    Nanos last_received_at = -1;
    std::size_t waiting = 0; // words
    std::uint64_t messages = 0, dropped = 0, dials = 0;
    Nanos unresponsive_timeout = 0; // unheard for so long it counts as silent
    bool wanted = false;
  };
  std::vector<Status> status() const; // of all: for people
  PeerState peer_state(MemberId member) const;

  // What this member has cost since it began: members looked at (by a call or a wake), messages and their
  // bytes as frames, tries to connect.
  struct Costs {
    std::uint64_t peers_examined = 0, messages = 0, bytes = 0, dials = 0;
  };
  const Costs& costs() const { return costs_; }
  std::size_t connections() const { return connections_; } // that stand
  Nanos min_unresponsive_timeout() const {
    return min_unresponsive_timeout_;
  }                                 // by the figures: the least patience
  Nanos heartbeat_interval() const; // as it is now, to those who ask for no rarer one

 private:
  enum class ConnectionState { none, connecting, idle, writing };
  struct Peer {
    ConnectionState connection = ConnectionState::none;
    Nanos connection_since = 0; // the line is as it is
    Nanos retry_at = 0;         // no dial before then
    bool awaiting_ack = false;  // it was found deaf, and has answered nothing since
    bool requested = false;     // the caller wants a line
    int failed_attempts = 0;    // that came to nothing, in a row
    using ItemKey = std::pair<MessageClass, std::string>;
    std::map<ItemKey, std::string> pending;
    std::size_t pending_bytes = 0; // of the words, matters included
    ItemKey last_sent_key{},
        last_control_key{MessageClass::control, {}}; // went out last: the next message goes on behind them
    Nanos next_heartbeat_at = 0;
    std::uint64_t last_sent = 0; // of the last message
    // Letters that were sent and not answered, by number; of many only the first and the last count.
    std::deque<std::pair<std::uint64_t, Nanos>> unacked;
    Nanos request_sent_at =
        -1; // a word that wants an answer went out on this line, and nothing was heard since
    bool ack_overdue = false; // it wrote without having heard what went out on this line long before
    Nanos unacked_since = -1; // that went out, and it has answered nothing since, on no line
    PeerState peer_state = PeerState::unknown;
    Nanos last_received_at = -1;
    peer_codec::HeartbeatTerms heartbeat{}; // as it said last
    Nanos connect_back_until = -1;          // it hears no voter, and asked for a line back
    Incarnation newest_incarnation{};
    Nanos newest_incarnation_at = 0;
    std::map<Incarnation, std::uint64_t> last_received; // messages, by who wrote them
    bool duplicate_reported = false;
    std::uint64_t messages = 0, dropped = 0, dials = 0;
    // As it is filed below.
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
  double max_heartbeats_;
  bool only_requested_;
  const Voters& voters_;
  std::set<MemberId> last_voters_; // as the lines are kept to them
  bool last_may_grant_;
  bool leaving_ = false;
  Nanos now_;
  Nanos isolated_at_; // unless a voter is heard before
  bool isolated_ = false;
  std::set<MemberId> contacted_; // while lonely
  Nanos contact_at_ = -1;        // others
  std::map<MemberId, Peer> peers_;
  std::vector<MemberId> members_; // of the fellows, in order: to draw from
  // The fellows by what they wait for; each is filed anew with each change of it.
  Wakes wakes_;
  std::set<MemberId> dirty_; // to be looked at in this turn
  std::set<MemberId> ready_; // a line stands and is free, and words wait
  std::set<MemberId> wanted_, connect_back_;
  std::size_t connections_ = 0, writing_ = 0, receiving_from_ = 0;
  Costs costs_;
};

} // namespace cometshift
