// The real server: one core behind sockets. Owns the timers and the loop, hands the core what happens, one
// time a turn, and carries out what it orders; decides nothing. A tape stands between the two, and records if
// it is told to.
#pragma once

#include "announce.hpp"
#include "clock.hpp"
#include "core.hpp"
#include "digest.hpp"
#include "front.hpp"
#include "interpreter.hpp"
#include "member.hpp"
#include "records.hpp"
#include "tape.hpp"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <deque>
#include <memory>
#include <string>

namespace cometshift {

class Host final : Actions, Front::Handler, InterpreterLink::Handler {
 public:
  // As read by configuration.hpp and operator.hpp. With the paths that they were read from, a hang-up signal
  // reads both again, and takes both or neither.
  explicit Host(const Settings& settings, std::string config_path = {},
                const Settings& operator_settings = {}, std::string operator_path = {});
  void serve(); // returns once a drain is over; SIGTERM and SIGINT begin one
  bool poll();  // what is ready, without waiting, for a loop of another's; false once a drain is over
  void stop();  // drain now, as at the signal
  // Go over to the addresses of the one, and to what the other says of log and recording; all else stays as
  // it is.
  void reload(const Settings& settings, const Settings& operator_settings = {});

 private:
  // The core's orders.
  void served(StreamRef ref, OpId op, Content result) override;
  void refused(StreamRef ref, OpId op, Reason reason, Nanos retry_after, bool no_retry) override;
  void failed(StreamRef ref, OpId op, Reason reason) override;
  void penalize(StreamRef ref) override;
  void start(OpId op, OpTypeId type, const Content& body, StartNo number) override;
  void resume(OpId op, const Content& reply) override;
  void call(OpId op, Nanos timeout, const Content& body) override;
  void cancel_call(OpId op) override;
  void health(bool good) override;
  void notify_callers(double value) override;
  void set_idle_timeout(Nanos after) override;
  void set_timing(Timing what, Nanos time) override;
  void set_eviction_order(std::span<const Eviction> order, int max_invalid_ops) override;
  void stop_accepting() override;
  void note(const char* kind, std::string_view words) override;

  // What the sockets bring.
  void op_received(StreamRef ref, OpId id, OpTypeId type, TenantId tenant, CallerId caller, Nanos received_at,
                   Nanos limit, double held_kb, double rank, std::string_view mark, std::string_view subject,
                   std::string_view body) override;
  void stream_lost(StreamRef ref) override;
  void machine_up(Nanos since) override;
  void caught_up(std::uint64_t answered_query) override;
  void link_down() override;
  void run_over(OpId id, Outcome outcome, Nanos lag, std::string result) override;
  void call_wanted(OpId id, std::string body) override;
  void gauges(std::span<const double> values) override;
  void command_rejected(OpId id, std::string_view command) override;

  Nanos now();
  void run_ready_handlers();
  void finish_turn();
  void request_gauges();
  void arm_timer();
  void confirm_read(std::uint64_t query);
  bool finished() const;
  void wait_for_sighup();
  void wait_for_sigusr1();
  void apply_operator_settings(const Settings& operator_settings);

  asio::io_context io_;
  asio::signal_set stop_signals_;
  asio::signal_set sighup_;
  asio::signal_set sigusr1_; // SIGUSR1, where there is a fleet: what stands is told in the log
  std::string config_path_;  // of the configuration; empty: not told
  std::string operator_path_;
  Settings operator_settings_; // as last taken
  asio::steady_timer timer_;
  Front::Names names_;
  Hasher digest_;

  // Starts that went out before a question was asked: an answer to it proves that they were read. The last
  // start before each question that may still be answered; as only one is out at a time, a few.
  std::deque<std::pair<std::uint64_t, StartNo>> unconfirmed_starts_;
  StartNo last_confirmed_start_{}; // the last start that is proven to be read

  Nanos armed_for_ = 0;
  Nanos gauges_requested_at_ = 0;
  Nanos gauges_requested_for_ = 0; // the wake-up that the gauges were asked for
  Nanos gauges_lead_ = 1'000'000;  // of that question before the wake-up: a round trip and room
  Clock clock_;
  bool stopped_accepting_ = false;

  Front front_;
  InterpreterLink interpreter_;
  RecordsClient records_;
  AnnounceClient announce_;
  Tape tape_; // hands on to the core what happens, and to this what the core orders
  std::unique_ptr<Core> core_;
  std::unique_ptr<Member> member_; // null: the operator file names no fleet, and nothing of it is opened
};

} // namespace cometshift
