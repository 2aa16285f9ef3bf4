// A server's side of control whole, but for its sockets and clocks: its link to the control members that it
// follows (peers.hpp), and what it has from them (control/follower.hpp). Joins these and decides nothing of
// its own. Carried by sockets in a process, and by a simulated network in rigs.
//
// Times: ns, of a clock that never goes back; one with each call. Nothing that is ordered may call back
// within the order; `turn` at the end of each turn does what is due and sends what there is to say.
// Errors: the constructor throws std::invalid_argument with what is senseless.
#pragma once

#include "control_codec.hpp"
#include "follower.hpp"
#include "peers.hpp"

namespace cometshift {

class ControlFollowerOrders {
 public:
  virtual ~ControlFollowerOrders() = default;
  virtual void dial(MemberId to) = 0;
  virtual void hang_up(MemberId to) = 0;
  virtual void send(MemberId to, std::string frame) = 0;
  // As FollowerOrders has them.
  virtual std::string check(const Entry& entry) = 0;
  virtual void refused(const Entry& entry, std::string_view why) = 0;
  virtual void taken(Version version, const std::vector<const Entry*>& changed) = 0;
  virtual void left(MemberId control, LeftWhy why) = 0;
  virtual void doubled(MemberId number) = 0;
};

class ControlFollower final : PeerOrders, FollowerOrders, words::Listener, control_words::FollowerListener {
 public:
  ControlFollower(Nanos now, const words::Speaker& self, const Follower::Place& place,
                  const std::vector<Follower::Control>& controls, std::vector<std::string> scopes,
                  const Given& figures, std::uint64_t seed, ControlFollowerOrders& orders);
  ControlFollower(const ControlFollower&) = delete;
  ControlFollower& operator=(const ControlFollower&) = delete;

  void connected(Nanos now, MemberId to) { peers_.connected(now_ = now, to); }
  void written(Nanos now, MemberId to) { peers_.written(now_ = now, to); }
  void broken(Nanos now, MemberId to) { peers_.broken(now_ = now, to); }
  bool letter(Nanos now, const words::Speaker& speaker, std::string_view payload);

  std::string_view set_scopes(Nanos now, std::vector<std::string> scopes);
  void turn(Nanos now);
  Nanos next_wake() const; // -1: none
  void leave(Nanos now) { peers_.leave(now_ = now); }
  bool all_said() const { return peers_.all_said(); }

  const Follower& follower() const { return follower_; }
  const Peers& peers() const { return peers_; }

 private:
  // The link
  void dial(MemberId to) override { orders_.dial(to); }
  void hang_up(MemberId to) override { orders_.hang_up(to); }
  void send(MemberId to, std::string frame) override { orders_.send(to, std::move(frame)); }
  void news(MemberId of, Hearing before, Hearing now) override;
  void doubled(MemberId number) override { orders_.doubled(number); }
  bool letter(MemberId from, Incarnation of, std::uint64_t number, std::uint64_t heard, Incarnation heard_of,
              bool leaving, const words::Rhythm& rhythm) override;
  void voters(MemberId, Epoch, const VoterList&) override {}
  void asked(MemberId, Incarnation, Epoch, std::string_view, AskNo, Token, Nanos) override {}
  void released(MemberId, Incarnation, std::string_view, AskNo) override {}
  void granted(MemberId, Incarnation, std::string_view, AskNo, bool) override {}
  void refused(MemberId, Incarnation, std::string_view, AskNo, Token, Nanos) override {}
  void done(MemberId, std::string_view, Token, Nanos) override {}
  void control(MemberId from, Incarnation of, std::string_view bytes) override;
  // To control members
  void follow(MemberId to, FollowNo number, bool primary, const Position& at,
              const std::vector<ScopeHeld>& scopes) override;
  void have(MemberId to, FollowNo number, const Position& at) override;
  void compare(MemberId to, FollowNo number, Version at, const std::vector<std::uint64_t>& digests) override;
  void unfollow(MemberId to, FollowNo number) override;
  // To the server
  std::string check(const Entry& entry) override { return orders_.check(entry); }
  void refused(const Entry& entry, std::string_view why) override { orders_.refused(entry, why); }
  void taken(Version version, const std::vector<const Entry*>& changed) override {
    orders_.taken(version, changed);
  }
  void left(MemberId member, LeftWhy why) override { orders_.left(member, why); }
  // From control members
  void delta(Incarnation to, FollowNo number, Version from, Version upto, Version last, Nanos age,
             const std::vector<Entry>& entries) override;
  void renewal(Incarnation to, FollowNo number, Version at, const std::vector<std::uint16_t>& scopes,
               Version from, Version upto, Version last, const std::vector<Entry>& entries) override;
  void beat(Incarnation to, FollowNo number, Version committed, Nanos age) override;
  void rest(Incarnation to, FollowNo number, Nanos rest) override;
  void elsewhere(Incarnation to, FollowNo number) override;
  void again(Incarnation to, FollowNo number) override;

  void say(MemberId to, std::string_view about, std::string word);
  void keep_lines();

  ControlFollowerOrders& orders_;
  std::string zone_;
  Nanos now_;
  MemberId from_{}; // who speaks, while a word is taken
  std::vector<MemberId> lost_;
  std::set<MemberId> kept_;
  Voters voters_; // as Peers wants a list; the lines of this link go by choice
  Follower follower_;
  Peers peers_;
};

} // namespace cometshift
