// The server process: one core behind sockets. Owns the event loop and the timers, passes events to the core,
// each with the time at which it is handled, and carries out the core's actions; it makes no decisions. A
// recorder between the two records both if a recording is on.
#pragma once

#include "announce.hpp"
#include "clock.hpp"
#include "core.hpp"
#include "digest.hpp"
#include "front.hpp"
#include "interpreter.hpp"
#include "member.hpp"
#include "recorder.hpp"
#include "records.hpp"
#include "stop_signal.hpp"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace cometshift {

// Runs one server, in its own event loop or in that of the caller.
class Host final : Actions, Front::Handler, InterpreterLink::Handler {
 public:
  // Takes the settings as read by configuration.hpp and operator.hpp. If the paths of the files are given,
  // SIGHUP reads both files again and applies both or neither.
  explicit Host(const Settings& settings, std::string config_path = {},
                const Settings& operator_settings = {}, std::string operator_path = {});
  // Serves until a drain has completed; SIGTERM and SIGINT begin one.
  void serve();
  // For use in the caller's loop: handles ready events without waiting. Returns false when a drain has
  // completed.
  bool poll();
  // From now on SIGTERM and SIGINT begin a drain in the caller's loop too.
  void catch_stop_signals();
  // Begins a drain, whose notice comes at this moment.
  void stop();
  // Applies the addresses of `settings`, and the log, recording, pool and voter settings of
  // `operator_settings`. Everything else stays as it is.
  void reload(const Settings& settings, const Settings& operator_settings = {});

 private:
  // Actions of the core
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
  void set_timing(Timing timing, Nanos time) override;
  void set_eviction_order(std::span<const Eviction> order, int max_invalid_ops) override;
  void stop_accepting() override;
  void note(const char* kind, std::string_view words) override;

  // Events from the sockets
  void op_received(StreamRef ref, OpId id, OpTypeId type, TenantId tenant, CallerId caller, Nanos received_at,
                   Nanos limit, double held_kb, double rank, std::string_view mark, std::string_view subject,
                   std::string_view body) override;
  void stream_lost(StreamRef ref) override;
  void machine_up(Nanos uptime) override;
  void caught_up(std::uint64_t answered_query) override;
  void link_down() override;
  void run_over(OpId id, Outcome outcome, Nanos lag, std::string result) override;
  void call_wanted(OpId id, std::string body) override;
  void gauges(std::span<const double> values) override;
  void command_rejected(OpId id, std::string_view command) override;

  // Read anew for each event, after its input was read.
  Nanos now();
  void run_ready_handlers();
  void check_stop_signal();
  void begin_drain(Nanos not_before);
  void finish_turn();
  void wake_core();
  void request_gauges();
  void arm_timer();
  void confirm_read(std::uint64_t query);
  bool finished() const;
  void wait_for_sighup();
  void wait_for_sigusr1();
  void apply_operator_settings(const Settings& operator_settings);

  asio::io_context io_;
  asio::signal_set sighup_;
  asio::signal_set sigusr1_; // logs the fleet status; only as a member of a fleet
  std::string config_path_;  // empty: no reload
  std::string operator_path_;
  Settings operator_settings_; // as last applied
  asio::steady_timer timer_;
  Front::Names names_;
  Hasher digest_;

  // For each unanswered query, the last start sent before it. The answer to the query proves that the
  // interpreter has read these starts. Only one query is outstanding at a time, so there are few entries.
  std::deque<std::pair<std::uint64_t, StartNo>> unconfirmed_starts_;
  StartNo last_confirmed_start_{}; // the last start that the interpreter is known to have read

  Nanos armed_for_ = 0;
  Nanos latest_wake_up_ = 0; // how late the latest of all wake-ups came
  Nanos gauges_requested_at_ = 0;
  Nanos gauges_requested_for_ = 0; // the wake-up that the gauges were requested for
  Nanos gauges_lead_ = 1'000'000;  // how long before the wake-up: a round trip and a margin
  Clock clock_;
  RunningTime running_time_;
  Clock connection_clock_{[this] { return running_time_.now(); }};
  std::optional<StopSignal> stop_signal_;
  bool in_batch_ = false; // some of the handlers of a batch have not run yet
  bool stopped_accepting_ = false;

  Front front_;
  InterpreterLink interpreter_;
  RecordsClient records_;
  AnnounceClient announce_;
  Recorder recorder_; // passes events on to the core, and the core's actions to this
  std::unique_ptr<Core> core_;
  // Null if the operator file configures no fleet; no fleet socket is open then.
  std::unique_ptr<Member> member_;
};

} // namespace cometshift
