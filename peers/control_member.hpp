// A control member without its sockets and clocks: its connections (peers.hpp), its vote and its lease
// (leases/), its replica of the log, the state that it distributes to servers and the directory of members
// (control/). This class connects these modules and decides nothing itself. In a process sockets carry its
// messages, in rigs a simulated network.
//
// Servers are not listed in the settings. One that connects and sends an address where it can be dialled is
// accepted while there is room, is dialled back once it follows, and is forgotten when the directory forgets
// it.
//
// Times: readings of clocks.hpp; each call passes one set of them. A ControlMemberActions call must not call
// back into this class. `turn`, at the end of each turn, does what is due and sends pending messages. Errors:
// the constructor throws std::invalid_argument for an invalid setting.
#pragma once

#include "control_codec.hpp"
#include "feed.hpp"
#include "peers.hpp"

#include <functional>

namespace cometshift {

// One reading of each clock (leases/clocks.hpp).
struct ClockReadings {
  Nanos early;           // for a lease holder: never ahead of true time by more than the drift
  Nanos late;            // for a voter that granted a lease
  std::uint64_t unix_ms; // wall clock, shown to operators, and used so that tokens increase across restarts
};

// Default settings of the control plane and its connections, without those of the operator file. `control`:
// for a control member, otherwise for a server.
Settings default_control_settings(bool control);

// Effects that ControlMember asks its owner to carry out, and notifications.
class ControlMemberActions {
 public:
  virtual ~ControlMemberActions() = default;
  virtual void dial(MemberId to) = 0;
  virtual void disconnect(MemberId to) = 0;
  virtual void send(MemberId to, std::string frame) = 0;
  // A server became known with this address; it was forgotten.
  virtual void listed(MemberId member, std::string_view address) = 0;
  virtual void unlisted(MemberId member) = 0;
  // Why this entry can't be written; empty: it can.
  virtual std::string rejection_reason(const Entry& entry) = 0;
  virtual void ended(PutNumber put, PutOutcome end, Version version, std::string_view reason) = 0;
  virtual void committed(const Record& record) = 0;
  virtual void began(Token token, bool after_loss) = 0;
  virtual void stepped_down(Token token) = 0;
  virtual void peer_state_changed(MemberId member, PeerState before, PeerState now) = 0; // of control members
  virtual void presence(const MemberRecord& member, Presence before) = 0;
  virtual void duplicate_member(MemberId number) = 0;
};

// One control member.
class ControlMember final : PeerActions,
                            LeaseActions,
                            ReplicaActions,
                            FeedActions,
                            DirectoryActions,
                            peer_codec::Listener,
                            control_codec::ControlListener {
 public:
  ControlMember(const ClockReadings& at, const peer_codec::Sender& self,
                const std::vector<MemberId>& controls, const std::set<MemberId>& voters,
                const Settings& settings, std::uint64_t seed, ControlMemberActions& actions);
  ControlMember(const ControlMember&) = delete;
  ControlMember& operator=(const ControlMember&) = delete;

  // ---- connections
  void connected(const ClockReadings& at, MemberId to);
  void written(const ClockReadings& at, MemberId to);
  void broken(const ClockReadings& at, MemberId to);
  // False: no room, or it sent no address.
  bool accept_unlisted(const ClockReadings& at, const peer_codec::Sender& sender);
  bool message(const ClockReadings& at, const peer_codec::Sender& sender, std::string_view payload);

  // ---- writes of the operator; as Replica::put
  PutNumber put(const ClockReadings& at, std::string key, std::string value, bool deleted,
                std::optional<Version> expected);

  void turn(const ClockReadings& at);
  Nanos next_wake() const; // by the early clock; -1: none
  void leave(const ClockReadings& at);

  const Leases& leases() const { return leases_; }
  const Replica& replica() const { return replica_; }
  const Feed& feed() const { return feed_; }
  const Directory& directory() const { return directory_; }
  const Peers& peers() const { return peers_; }

 private:
  // PeerActions
  void dial(MemberId to) override { actions_.dial(to); }
  void disconnect(MemberId to) override { actions_.disconnect(to); }
  void send(MemberId to, std::string frame) override { actions_.send(to, std::move(frame)); }
  void peer_state_changed(MemberId member, PeerState before, PeerState now) override;
  void duplicate_member(MemberId number) override { actions_.duplicate_member(number); }
  // Messages between peers, and those of leases
  bool message(MemberId from, Incarnation incarnation, std::uint64_t number, std::uint64_t acked,
               Incarnation acked_incarnation, bool leaving,
               const peer_codec::HeartbeatTerms& heartbeat) override;
  void voters(MemberId, Epoch, const VoterList&) override {} // they are those in the settings files
  void asked(MemberId from, Incarnation incarnation, Epoch epoch, std::string_view lease, AskNo number,
             Token token, Nanos term) override;
  void released(MemberId from, Incarnation incarnation, std::string_view lease, AskNo number) override;
  void granted(MemberId from, Incarnation to, std::string_view lease, AskNo number, bool wanted) override;
  void refused(MemberId from, Incarnation to, std::string_view lease, AskNo number, Token seen,
               Nanos left) override;
  void done(MemberId, std::string_view, Token, Nanos) override {}
  void control(MemberId from, Incarnation incarnation, std::string_view bytes) override;
  // LeaseActions
  void ask(MemberId voter, Epoch epoch, std::string_view lease, AskNo number, Token token,
           Nanos term) override;
  void release(MemberId voter, std::string_view lease, AskNo number) override;
  void grant(MemberId to, Incarnation incarnation, std::string_view lease, AskNo number,
             bool wanted) override;
  void refuse(MemberId to, Incarnation incarnation, std::string_view lease, AskNo number, Token seen,
              Nanos left) override;
  void held(std::string_view lease, Token token, Nanos from, Nanos until) override;
  void lost(std::string_view lease, Token token, LossReason reason) override;
  // ReplicaActions: messages to other control members
  void prepare(MemberId to, Token token, std::uint32_t round) override;
  void promise(MemberId to, Incarnation incarnation, Token token, std::uint32_t round,
               const LogStatus& status) override;
  void refuse(MemberId to, Incarnation incarnation, Token token, Token seen) override;
  void append(MemberId to, const Append& append) override;
  void appended(MemberId to, Incarnation incarnation, Token token, std::uint64_t sequence, Version matched,
                bool gap) override;
  void fetch(MemberId to, Token token, Version base, Version cursor, Token since) override;
  void chunk(MemberId to, Incarnation incarnation, const Chunk& chunk) override;
  void pass(MemberId to, Incarnation incarnation, Token token, const ForwardedPut& put) override;
  void answer(MemberId to, Incarnation incarnation, Token token, PutNumber put, PutOutcome end,
              Version version, std::string_view reason) override;
  // ReplicaActions: for this control member
  std::string rejection_reason(const Entry& entry) override { return actions_.rejection_reason(entry); }
  void committed(const Record& record) override;
  void replaced() override;
  void ended(PutNumber put, PutOutcome end, Version version, std::string_view reason) override;
  void began(Token token, bool after_loss) override { actions_.began(token, after_loss); }
  void stepped_down(Token token) override { actions_.stepped_down(token); }
  void superseded(Token token, Token seen) override;
  // FeedActions: messages to servers
  void delta(MemberId to, Incarnation incarnation, AttachmentNumber number, Version from, Version upto,
             Version last, Nanos age, const std::vector<const Entry*>& entries) override;
  void renewal(MemberId to, Incarnation incarnation, AttachmentNumber number, Version at,
               const std::vector<std::uint16_t>& scopes, Version from, Version upto, Version last,
               const std::vector<const Entry*>& entries) override;
  void beat(MemberId to, Incarnation incarnation, AttachmentNumber number, Version committed,
            Nanos age) override;
  void rest(MemberId to, Incarnation incarnation, AttachmentNumber number, Nanos delay) override;
  void elsewhere(MemberId to, Incarnation incarnation, AttachmentNumber number) override;
  void again(MemberId to, Incarnation incarnation, AttachmentNumber number) override;
  // DirectoryActions
  void send_part(MemberId to, PartRevision from, PartRevision upto, PartRevision last, std::uint64_t digest,
                 const std::vector<const MemberRecord*>& records) override;
  void acknowledge_part(MemberId to, Incarnation owner, PartRevision upto) override;
  void presence_changed(const MemberRecord& member, Presence before) override;
  // Messages of control members and of servers
  void prepared(Token token, std::uint32_t round) override;
  void promised(Incarnation to, Token token, std::uint32_t round, const LogStatus& status) override;
  void refused(Incarnation to, Token token, Token seen) override;
  void appending(const Append& append) override;
  void appended(Incarnation to, Token token, std::uint64_t sequence, Version matched, bool gap) override;
  void fetched(Token token, Version base, Version cursor, Token since) override;
  void chunked(Incarnation to, const Chunk& chunk) override;
  void passed(Incarnation to, Token token, const ForwardedPut& put) override;
  void answered(Incarnation to, Token token, PutNumber put, PutOutcome end, Version version,
                std::string_view reason) override;
  void part(PartRevision from, PartRevision upto, PartRevision last, std::uint64_t digest,
            const std::vector<MemberRecord>& records) override;
  void part_held(Incarnation owner, PartRevision upto) override;
  void follow(AttachmentNumber number, bool primary, const Position& at,
              const std::vector<FollowedScope>& scopes, std::string_view zone) override;
  void have(AttachmentNumber number, const Position& at) override;
  void compare(AttachmentNumber number, Version at, const std::vector<std::uint64_t>& digests) override;
  void unfollow(AttachmentNumber number) override;

  bool is_control(MemberId member) const { return controls_.contains(member); }
  void enqueue(MemberId to, std::string_view key, std::string message);
  void defer_to_self(std::function<void()> action) { self_queue_.push_back(std::move(action)); }
  void update_feed();
  void activate_lease();
  void forget_member(MemberId member);

  ControlMemberActions& actions_;
  peer_codec::Sender self_;
  std::set<MemberId> controls_;
  ClockReadings at_;
  Nanos max_lag_;           // it distributes nothing after being behind for longer
  Nanos behind_since_ = -1; // since when the writer has committed more; -1: up to date
  MemberId sender_id_{};    // sender of the message that is being handled
  Incarnation sender_incarnation_{};
  std::string sender_address_; // the address that it sent
  std::deque<std::function<void()>> self_queue_;
  std::deque<MemberId> unattached_; // accepted servers that follow nothing yet; the oldest make room
  std::set<MemberId> attached_;     // servers to which a connection is kept
  std::map<MemberId, std::string> addresses_;
  struct PendingLease {
    Token token{};
    Nanos from = 0, until = 0;
  };
  PendingLease pending_lease_; // the lease, granted for a later start; token 0: none
  Voters voters_;
  Leases leases_;
  Replica replica_;
  Feed feed_;
  Directory directory_;
  Peers peers_;
};

} // namespace cometshift
