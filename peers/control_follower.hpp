// A server's side of the control plane without its sockets and clocks: the connections to the control members
// that it follows (peers.hpp), and the state that it has from them (control/follower.hpp). This class
// connects the two and decides nothing itself. In a server sockets carry its messages, in rigs a simulated
// network.
//
// Times: ns of a clock that does not go back; each call passes one time. A ControlFollowerActions call must
// not call back into this class. `turn`, at the end of each turn, does what is due and sends pending
// messages. Errors: the constructor throws std::invalid_argument for an invalid setting.
#pragma once

#include "control_codec.hpp"
#include "follower.hpp"
#include "peers.hpp"

namespace cometshift {

// Effects that ControlFollower asks its owner to carry out, and notifications.
class ControlFollowerActions {
 public:
  virtual ~ControlFollowerActions() = default;
  virtual void dial(MemberId to) = 0;
  virtual void disconnect(MemberId to) = 0;
  virtual void send(MemberId to, std::string frame) = 0;
  // As in FollowerActions.
  virtual std::string check(const Entry& entry) = 0;
  virtual void refused(const Entry& entry, std::string_view reason) = 0;
  virtual void applied(Version version, const std::vector<const Entry*>& changed) = 0;
  virtual void left(MemberId control, LeaveReason reason) = 0;
  virtual void duplicate_member(MemberId number) = 0;
};

// A server's connections to its control members and the state received from them.
class ControlFollower final : PeerActions,
                              FollowerActions,
                              peer_codec::Listener,
                              control_codec::FollowerListener {
 public:
  ControlFollower(Nanos now, const peer_codec::Sender& self, const Follower::Location& location,
                  const std::vector<Follower::Control>& controls, std::vector<std::string> scopes,
                  const Settings& settings, std::uint64_t seed, ControlFollowerActions& actions);
  ControlFollower(const ControlFollower&) = delete;
  ControlFollower& operator=(const ControlFollower&) = delete;

  void connected(Nanos now, MemberId to) { peers_.connected(now_ = now, to); }
  void written(Nanos now, MemberId to) { peers_.written(now_ = now, to); }
  void broken(Nanos now, MemberId to) { peers_.broken(now_ = now, to); }
  bool message(Nanos now, const peer_codec::Sender& sender, std::string_view payload);

  std::string_view set_scopes(Nanos now, std::vector<std::string> scopes);
  void turn(Nanos now);
  Nanos next_wake() const; // -1: none
  void leave(Nanos now) { peers_.leave(now_ = now); }
  bool all_sent() const { return peers_.all_sent(); }

  const Follower& follower() const { return follower_; }
  const Peers& peers() const { return peers_; }

 private:
  // PeerActions and the messages between peers
  void dial(MemberId to) override { actions_.dial(to); }
  void disconnect(MemberId to) override { actions_.disconnect(to); }
  void send(MemberId to, std::string frame) override { actions_.send(to, std::move(frame)); }
  void peer_state_changed(MemberId member, PeerState before, PeerState after) override;
  void duplicate_member(MemberId number) override { actions_.duplicate_member(number); }
  bool message(MemberId from, Incarnation incarnation, std::uint64_t number, std::uint64_t acked,
               Incarnation acked_incarnation, bool leaving,
               const peer_codec::HeartbeatTerms& heartbeat) override;
  void voters(MemberId, Epoch, const VoterList&) override {}
  void asked(MemberId, Incarnation, Epoch, std::string_view, AskNo, Token, Nanos) override {}
  void released(MemberId, Incarnation, std::string_view, AskNo) override {}
  void granted(MemberId, Incarnation, std::string_view, AskNo, bool) override {}
  void refused(MemberId, Incarnation, std::string_view, AskNo, Token, Nanos) override {}
  void done(MemberId, std::string_view, Token, Nanos) override {}
  void control(MemberId from, Incarnation incarnation, std::string_view bytes) override;
  // FollowerActions: messages to control members
  void follow(MemberId to, AttachmentNumber number, bool primary, const Position& at,
              const std::vector<FollowedScope>& scopes) override;
  void have(MemberId to, AttachmentNumber number, const Position& at) override;
  void compare(MemberId to, AttachmentNumber number, Version at,
               const std::vector<std::uint64_t>& digests) override;
  void unfollow(MemberId to, AttachmentNumber number) override;
  // FollowerActions: for the server
  std::string check(const Entry& entry) override { return actions_.check(entry); }
  void refused(const Entry& entry, std::string_view reason) override { actions_.refused(entry, reason); }
  void applied(Version version, const std::vector<const Entry*>& changed) override {
    actions_.applied(version, changed);
  }
  void left(MemberId member, LeaveReason reason) override { actions_.left(member, reason); }
  // Messages of control members
  void delta(Incarnation to, AttachmentNumber number, Version from, Version upto, Version last, Nanos age,
             const std::vector<Entry>& entries) override;
  void renewal(Incarnation to, AttachmentNumber number, Version at, const std::vector<std::uint16_t>& scopes,
               Version from, Version upto, Version last, const std::vector<Entry>& entries) override;
  void beat(Incarnation to, AttachmentNumber number, Version committed, Nanos age) override;
  void rest(Incarnation to, AttachmentNumber number, Nanos delay) override;
  void elsewhere(Incarnation to, AttachmentNumber number) override;
  void again(Incarnation to, AttachmentNumber number) override;

  void enqueue(MemberId to, std::string_view key, std::string message);
  void update_connections();

  ControlFollowerActions& actions_;
  std::string zone_;
  Nanos now_;
  MemberId sender_id_{}; // sender of the message that is being handled
  std::vector<MemberId> disconnected_;
  std::set<MemberId> requested_;
  Voters voters_; // required by Peers; connections are only made on request
  Follower follower_;
  Peers peers_;
};

} // namespace cometshift
