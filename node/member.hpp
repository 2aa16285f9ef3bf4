// This server as a member of a fleet, if the operator file configures one: holds leases, runs the fleet's
// tasks and exchanges messages with its peers. Owns the timer, the links and the calls of tasks; the
// decisions are made by the modules (leases/, peers/). Its time is independent of the server's: it is derived
// from two clocks that nobody sets (leases/clocks.hpp).
#pragma once

#include "clocks.hpp"
#include "frames.hpp"
#include "http_client.hpp"
#include "links.hpp"
#include "peers.hpp"
#include "tasks.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <string>
#include <vector>

namespace cometshift {

// Drives the lease, task and peer modules from the event loop.
class Member final : Links::Handler, PeerActions, LeaseActions, TaskActions, peer_codec::Listener {
 public:
  // `fleet`: the settings below "fleet." of the operator file, see operator.hpp. Throws
  // std::invalid_argument.
  Member(asio::io_context& io, const Settings& fleet);

  // Applies the operator file as read again: a new list of voters takes effect, everything else only at the
  // next start.
  void reload(const Settings& fleet);
  // Handles what is due and sends messages; called at the end of each turn of the event loop.
  void turn();
  // Gives up leases and tasks and notifies the peers.
  void leave();
  // After leave(): no lease is held and all messages are sent, or the time for that has passed.
  bool has_left();
  void log_status();

 private:
  // Links
  void connected(MemberId to) override;
  void written(MemberId to) override;
  void broken(MemberId to) override;
  bool message(const peer_codec::Sender& sender, std::string_view payload) override;
  void log_event(std::string_view event) override;
  // Peers
  void dial(MemberId to) override;
  void disconnect(MemberId to) override;
  void send(MemberId to, std::string frame) override;
  void peer_state_changed(MemberId member, PeerState before, PeerState after) override;
  void duplicate_member(MemberId number) override;
  // Messages of peers
  bool message(MemberId from, Incarnation incarnation, std::uint64_t number, std::uint64_t acked,
               Incarnation acked_incarnation, bool leaving,
               const peer_codec::HeartbeatTerms& heartbeat) override;
  void voters(MemberId from, Epoch on_file, const VoterList& list) override;
  void asked(MemberId from, Incarnation incarnation, Epoch epoch, std::string_view lease, AskNo number,
             Token token, Nanos term) override;
  void released(MemberId from, Incarnation incarnation, std::string_view lease, AskNo number) override;
  void granted(MemberId from, Incarnation to, std::string_view lease, AskNo number, bool contended) override;
  void refused(MemberId from, Incarnation to, std::string_view lease, AskNo number, Token known_token,
               Nanos left) override;
  void done(MemberId from, std::string_view task, Token token, Nanos age) override;
  // Leases
  void ask(MemberId voter, Epoch epoch, std::string_view lease, AskNo number, Token token,
           Nanos term) override;
  void release(MemberId voter, std::string_view lease, AskNo number) override;
  void grant(MemberId to, Incarnation incarnation, std::string_view lease, AskNo number,
             bool contended) override;
  void refuse(MemberId to, Incarnation incarnation, std::string_view lease, AskNo number, Token known_token,
              Nanos left) override;
  void held(std::string_view lease, Token token, Nanos from, Nanos until) override;
  void lost(std::string_view lease, Token token, LossReason reason) override;
  // Tasks
  void begin(TaskId task, Token token, Nanos limit) override;
  void notify_done(TaskId task, Token token) override;
  void released_after_failures(TaskId task, Nanos rest) override;

  // The early reading of the clock, by which a holder must judge its leases.
  Nanos now();
  // The late reading, by which a grantor must judge what it granted.
  Nanos grantor_now();
  // Makes the next turn handle the consequences of an event. Returns now().
  Nanos mark_pending();
  void arm_timer();
  void update_voters();
  std::string encode_voters() const;
  void enqueue_to_self(std::function<void()> action);

  asio::io_context& io_;
  asio::steady_timer timer_;
  Nanos armed_for_ = -1;
  bool work_pending_ = true; // an event since the last turn
  LeaseClock clock_;
  bool clock_divergence_logged_ = false;
  peer_codec::Sender self_;
  std::vector<MemberId> peer_ids_;
  std::vector<Links::Tcp::endpoint> task_targets_; // by TaskId
  // Messages to itself, as both voter and requester.
  std::deque<std::function<void()>> self_messages_;
  std::map<std::string, Token, std::less<>> logged_holdings_; // held leases that have been logged
  Settings fleet_;                                            // as last read
  VoterList file_voters_, announced_voters_; // of the operator file; as last sent to the peers
  Epoch announced_file_epoch_{};
  bool announced_joint_ = false;
  std::string_view logged_rejection_; // last logged reason why the file's list is not applied
  Voters voters_;
  Leases leases_;
  Tasks tasks_;
  Peers peers_;
  Links links_;
  HttpClient task_calls_;
  Nanos leave_deadline_ = -1; // messages that are unsent by then are dropped; -1: not leaving
};

} // namespace cometshift
