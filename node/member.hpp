// This server as a member of its fleet, where the operator file names one: holds its leases, does the fleet's
// tasks, and speaks with the others. Owns the timer, the links, and the calls of tasks; decides nothing, the
// modules do (leases/, peers/). Its time is of its own: made of two clocks that nobody sets
// (leases/clocks.hpp).
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

class Member final : Links::Handler, PeerActions, LeaseActions, TaskActions, peer_codec::Listener {
 public:
  // `fleet`: the operator file's part "fleet.", as operator.hpp has it. Throws std::invalid_argument.
  Member(asio::io_context& io, const Settings& fleet);

  // What the operator file says now: another list of voters is taken, all else at the next start.
  void reload(const Settings& fleet);
  void turn(); // what is due, and what there is to say; at the end of each turn of the loop
  void leave();
  bool has_left();   // nothing is held, and all has been said; or the time for it is over
  void log_status(); // into the log

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
  void peer_state_changed(MemberId of, PeerState before, PeerState now) override;
  void duplicate_member(MemberId number) override;
  // Words of others
  bool message(MemberId from, Incarnation of, std::uint64_t number, std::uint64_t acked,
               Incarnation acked_incarnation, bool leaving,
               const peer_codec::HeartbeatTerms& heartbeat) override;
  void voters(MemberId from, Epoch on_file, const VoterList& list) override;
  void asked(MemberId from, Incarnation of, Epoch epoch, std::string_view lease, AskNo number, Token token,
             Nanos term) override;
  void released(MemberId from, Incarnation of, std::string_view lease, AskNo number) override;
  void granted(MemberId from, Incarnation to, std::string_view lease, AskNo number, bool wanted) override;
  void refused(MemberId from, Incarnation to, std::string_view lease, AskNo number, Token known_token,
               Nanos left) override;
  void done(MemberId from, std::string_view task, Token token, Nanos ago) override;
  // Leases
  void ask(MemberId voter, Epoch epoch, std::string_view lease, AskNo number, Token token,
           Nanos term) override;
  void release(MemberId voter, std::string_view lease, AskNo number) override;
  void grant(MemberId to, Incarnation of, std::string_view lease, AskNo number, bool wanted) override;
  void refuse(MemberId to, Incarnation of, std::string_view lease, AskNo number, Token known_token,
              Nanos left) override;
  void held(std::string_view lease, Token token, Nanos from, Nanos until) override;
  void lost(std::string_view lease, Token token, LossReason reason) override;
  // Tasks
  void begin(TaskId task, Token token, Nanos limit) override;
  void notify_done(TaskId task, Token token) override;
  void released_after_failures(TaskId task, Nanos rest) override;

  Nanos now();          // of who holds
  Nanos grantor_now();  // of who granted
  Nanos mark_pending(); // something came: the turn looks at what follows from it; the time of who holds
  void arm();
  void update_voters();
  std::string encode_voters() const;
  void enqueue_to_self(std::function<void()> action);

  asio::io_context& io_;
  asio::steady_timer timer_;
  Nanos armed_for_ = -1;
  bool work_pending_ = true; // since the last turn
  LeaseClock clock_;
  bool clock_divergence_logged_ = false;
  peer_codec::Sender self_;
  std::vector<MemberId> peer_ids_;
  std::vector<Links::Tcp::endpoint> task_targets_; // of the tasks
  std::deque<std::function<void()>>
      self_messages_; // what this member says to itself, as a voter and as one who asks
  std::map<std::string, Token, std::less<>> logged_holdings_; // told in the log already
  Settings fleet_;                                            // as last taken
  VoterList file_voters_, announced_voters_; // as the file has it; as the others were told it
  Epoch announced_file_epoch_{};
  bool announced_joint_ = false;
  std::string_view logged_rejection_; // why, as told in the log
  Voters voters_;
  Leases leases_;
  Tasks tasks_;
  Peers peers_;
  Links links_;
  HttpClient task_calls_;
  Nanos leave_deadline_ = -1; // what is not said by then is not
};

} // namespace cometshift
