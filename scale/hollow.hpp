// A member of a fleet without its sockets, its ops and its tasks: the real Peers, Leases, Voters and words,
// put together as node/member.cpp does, on a simulated network.
#pragma once

#include "leases.hpp"
#include "network.hpp"
#include "peers.hpp"

#include <deque>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace cometshift::scale {

class Hollow final : public Node, PeerActions, LeaseActions, peer_codec::Listener {
 public:
  struct Part {
    Network& network;
    std::string fleet;
    std::vector<MemberId> others; // as its file lists them
    bool welcomes = false;        // takes who is not listed as one that was learnt, while there is room
    VoterList voters;
    std::vector<std::string> wishes; // leases that it asks for as long as it lives
    Settings figures;                // leases.*, peers.*
    std::uint64_t seed = 0;
  };
  Hollow(Nanos now, MemberId self, std::uint64_t life, const Part& part);

  const Peers& peers() const { return peers_; }
  const Leases& leases() const { return leases_; }
  std::size_t holds() const { return holding_.size(); } // leases

  const peer_codec::Sender& sender() const override { return self_; }
  bool hello(Nanos now, const peer_codec::Sender& from) override;
  bool message(Nanos now, const peer_codec::Sender& from, std::string_view payload) override;
  void connected(Nanos now, MemberId to) override;
  void written(Nanos now, MemberId to) override;
  void broken(Nanos now, MemberId to) override;
  void turn(Nanos now) override;
  Nanos next_wake() const override;

 private:
  // Peers
  void dial(MemberId to) override;
  void disconnect(MemberId to) override;
  void send(MemberId to, std::string frame) override;
  void peer_state_changed(MemberId, PeerState, PeerState) override {}
  void duplicate_member(MemberId) override {}
  // Words of others
  bool message(MemberId from, Incarnation of, std::uint64_t number, std::uint64_t heard,
               Incarnation acked_incarnation, bool leaving,
               const peer_codec::HeartbeatTerms& heartbeat) override;
  void voters(MemberId from, Epoch on_file, const VoterList& list) override;
  void asked(MemberId from, Incarnation of, Epoch epoch, std::string_view lease, AskNo number, Token token,
             Nanos term) override;
  void released(MemberId from, Incarnation of, std::string_view lease, AskNo number) override;
  void granted(MemberId from, Incarnation to, std::string_view lease, AskNo number, bool wanted) override;
  void refused(MemberId from, Incarnation to, std::string_view lease, AskNo number, Token seen,
               Nanos left) override;
  void done(MemberId, std::string_view, Token, Nanos) override {}
  // Leases
  void ask(MemberId voter, Epoch epoch, std::string_view lease, AskNo number, Token token,
           Nanos term) override;
  void release(MemberId voter, std::string_view lease, AskNo number) override;
  void grant(MemberId to, Incarnation of, std::string_view lease, AskNo number, bool wanted) override;
  void refuse(MemberId to, Incarnation of, std::string_view lease, AskNo number, Token seen,
              Nanos left) override;
  void held(std::string_view lease, Token token, Nanos from, Nanos until) override;
  void lost(std::string_view lease, Token token, LossReason why) override;

  Network& network_;
  Nanos now_;
  peer_codec::Sender self_;
  std::deque<std::function<void()>> own_; // what this member says to itself
  std::set<std::string, std::less<>> holding_;
  bool welcomes_;
  Voters voters_;
  Leases leases_;
  Peers peers_;
};

} // namespace cometshift::scale
