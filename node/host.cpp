#include "host.hpp"

#include "configuration.hpp"
#include "log.hpp"
#include "operator.hpp"

#include <asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <utility>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;

// Bounds on buffers and descriptors, as fractions of the configured limits. They are not reached in normal
// operation.
constexpr std::size_t mb = 1024 * 1024;
constexpr std::size_t answers_memory_divisor = 8; // of the memory, for responses not yet written
constexpr std::size_t link_memory_divisor = 16;   // of the memory, for commands not yet written
constexpr std::size_t calls_socket_divisor = 8;   // of the descriptors, for calls
// Of the descriptors, for the listener, the links, files and a margin.
constexpr std::size_t own_socket_divisor = 8;
// The standard streams, the descriptors of the event loop, two links and a file, and as many again as a
// margin.
constexpr std::size_t min_own_sockets = 24;

// Several times the interval of the core's wake-ups: a longer gap between two turns is a pause.
constexpr Nanos longest_turn = 100 * ms;

constexpr int handlers_per_turn = 128; // take a few milliseconds at most if each reads from a connection

constexpr Nanos max_gauges_lead = 5 * ms; // gauges requested earlier would be stale at the wake-up

Front::Names names_from(const Settings& settings) {
  Front::Names names;
  for (int t = 0;; ++t) {
    const std::string at = "op_type." + std::to_string(t) + ".";
    if (!settings.contains(at + "name")) break;
    names.op_types.push_back(text(settings, at + "name", ""));
    names.keyed.push_back(text(settings, at + "repeats", "") == "keyed");
  }
  for (int t = 0; settings.contains("tenant." + std::to_string(t) + ".name"); ++t)
    names.tenants.push_back(text(settings, "tenant." + std::to_string(t) + ".name", ""));
  names.limit_required = number(settings, "tells_patience", 0) != 0;
  return names;
}
// Catches SIGHUP if there is a file to reload, and returns the path. Called before the listener opens, so
// that SIGHUP can't end a server that is already reachable.
std::string catch_sighup(asio::signal_set& sighup, std::string config_path) {
  if (!config_path.empty()) sighup.add(SIGHUP);
  return config_path;
}
// The setting `name`, in `unit`, divided by `divisor`.
std::size_t scaled_limit(const Settings& settings, const char* name, std::size_t unit, std::size_t divisor) {
  return static_cast<std::size_t>(number(settings, name, 0)) * unit / divisor;
}
// The limit on connections of balancers: the descriptors that remain after those for calls and the server's
// own. Lingering connections take a few in addition.
std::size_t max_connections(const Settings& settings) {
  const std::size_t calls = scaled_limit(settings, "sockets", 1, calls_socket_divisor);
  const std::size_t own = std::max(min_own_sockets, scaled_limit(settings, "sockets", 1, own_socket_divisor));
  const auto all = static_cast<std::size_t>(number(settings, "sockets", 0));
  return all - std::min(all - 1, calls + own);
}
Settings pool_settings(const Settings& operator_settings) {
  Settings pools;
  for (const auto& entry : operator_settings)
    if (Pools::is_setting(entry.first)) pools.insert(entry);
  return pools;
}
Nanos unix_time() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

Host::Host(const Settings& settings, std::string config_path, const Settings& operator_settings,
           std::string operator_path)
    : sighup_(io_), sigusr1_(io_), config_path_(catch_sighup(sighup_, std::move(config_path))),
      operator_path_(std::move(operator_path)), timer_(io_), names_(names_from(settings)), clock_(unix_time),
      running_time_(clock_, longest_turn),
      front_(io_, text(settings, "listen", ""), max_connections(settings),
             scaled_limit(settings, "memory_mb", mb, answers_memory_divisor), names_, connection_clock_,
             *this),
      interpreter_(io_, text(settings, "vm", ""),
                   scaled_limit(settings, "memory_mb", mb, link_memory_divisor), *this),
      records_(io_, text(settings, "records", ""),
               scaled_limit(settings, "sockets", 1, calls_socket_divisor)),
      announce_(io_, text(settings, "announce", ""), text(settings, "name", "")), recorder_(*this) {
  core_.reset(new Core(now(), settings, recorder_));
  recorder_.bind(*core_);
  apply_operator_settings(operator_settings);
  if (number(operator_settings, "fleet.on", 0) != 0) {
    member_ = std::make_unique<Member>(io_, part_of(operator_settings, "fleet."));
    sigusr1_.add(SIGUSR1);
    wait_for_sigusr1();
  }
  if (!config_path_.empty()) wait_for_sighup();
}

// ---- event loop

Nanos Host::now() { return clock_.now(); }

// In each turn, all ready events are passed to the core first; then the resulting output is written,
// connection by connection.
void Host::serve() {
  std::signal(SIGPIPE, SIG_IGN);
  catch_stop_signals();
  finish_turn();
  while (!finished()) {
    io_.run_one();
    run_ready_handlers();
    check_stop_signal();
    finish_turn();
  }
  recorder_.end(now());
  log_info("loop", "ended, the latest wake-up came %lld ms late",
           static_cast<long long>(latest_wake_up_ / ms));
}

// Runs the batch of handlers that are ready now. What a handler waits for again is in a later batch, however
// soon it is ready, so each socket is handled once: peers that send or connect without end can't delay the
// rest of the turn. The number of handlers is bounded as well; a larger batch is continued in the next turn.
void Host::run_ready_handlers() {
  if (!std::exchange(in_batch_, true))
    asio::post(io_, [this] { in_batch_ = false; }); // handlers run in the order in which they became ready
  for (int n = 0; n < handlers_per_turn && in_batch_ && io_.poll_one() > 0;) ++n;
}

void Host::wait_for_sighup() {
  sighup_.async_wait([this](asio::error_code error, int) {
    if (error) return;
    try {
      const Settings operator_settings =
          operator_path_.empty() ? operator_settings_ : read_operator_file(operator_path_);
      reload(read_configuration(config_path_), operator_settings);
    } catch (const std::exception& e) { // an invalid file changes nothing
      log_info("reload", "rejected, nothing changed: %s", e.what());
    }
    wait_for_sighup();
  });
}

void Host::wait_for_sigusr1() {
  sigusr1_.async_wait([this](asio::error_code error, int) {
    if (error) return;
    member_->log_status();
    wait_for_sigusr1();
  });
}

// Operator settings can change at any time, except that joining a fleet needs a restart. Pools and a
// recording whose settings are unchanged are not started anew.
void Host::apply_operator_settings(const Settings& operator_settings) {
  configure_log(text(operator_settings, "log.format", "text") == "json",
                text(operator_settings, "log.level", "info"));
  if (pool_settings(operator_settings) != pool_settings(operator_settings_))
    recorder_.set_pools(now(), pool_settings(operator_settings));
  const Settings recording = part_of(operator_settings, "recording.");
  if (recording != part_of(operator_settings_, "recording.")) {
    recorder_.end(now());
    if (number(recording, "on", 0) != 0)
      recorder_.begin(now(), recording, folder_storage(text(recording, "folder", "")));
  }
  if (member_) {
    if (number(operator_settings, "fleet.on", 0) != 0) member_->reload(part_of(operator_settings, "fleet."));
  } else if (core_ && !operator_settings_.empty() && operator_settings.contains("fleet.on")) {
    log_info("reload", "joining a fleet takes effect at the next start");
  }
  operator_settings_ = operator_settings;
}

void Host::reload(const Settings& settings, const Settings& operator_settings) {
  apply_operator_settings(operator_settings); // first: if it throws, the addresses stay as they are
  log_info("reload", "vm %s, records %s, announce %s", text(settings, "vm", "").c_str(),
           text(settings, "records", "").c_str(), text(settings, "announce", "").c_str());
  interpreter_.set_address(text(settings, "vm", ""));
  records_.set_address(text(settings, "records", ""));
  announce_.set_address(text(settings, "announce", ""));
  if (recorder_.recording()) recorder_.reloaded(now(), "addresses, and what operators set");
}

bool Host::poll() {
  io_.restart();
  io_.poll_one(); // finds what is ready
  run_ready_handlers();
  check_stop_signal();
  finish_turn();
  return !finished();
}

bool Host::finished() const {
  return core_->draining() && stopped_accepting_ && front_.closed() && core_->all_answered() &&
         (!member_ || member_->has_left());
}

void Host::finish_turn() {
  if (core_->anything_due(now())) wake_core();
  request_gauges();
  if (stopped_accepting_)
    front_.stop_accepting(); // not within the core's action: it can pass further ops to the core
  do {                       // a stream lost while writing can make the core answer or start other ops
    if (core_->has_repeats_to_answer()) recorder_.answer_repeats(now());
    front_.flush();
  } while (core_->has_repeats_to_answer());
  interpreter_.flush();
  if (member_) member_->turn();
  arm_timer();
}

// Late after a long turn of the event loop, or after a pause of the process.
void Host::wake_core() {
  const Nanos at = now(), wake = core_->next_wake();
  if (wake >= 0) latest_wake_up_ = std::max(latest_wake_up_, at - wake);
  if (wake >= 0 && at - wake >= longest_turn)
    log_info("loop", "a wake-up came %lld ms late", static_cast<long long>((at - wake) / ms));
  recorder_.due(at);
}

// Requests the gauges `gauges_lead_` before the wake-up that uses them, so that they normally arrive in time.
// The wake-up does not wait for them.
void Host::request_gauges() {
  const Nanos wake = core_->next_wake();
  if (wake < 0 || !interpreter_.up() || gauges_requested_for_ == wake || wake - now() > gauges_lead_) return;
  gauges_requested_for_ = wake;
  if (interpreter_.request_gauges()) gauges_requested_at_ = now();
}

void Host::arm_timer() {
  Nanos next = core_->next_wake();
  if (next < 0) return;
  if (gauges_requested_for_ != next && interpreter_.up()) next -= gauges_lead_;
  if (next == armed_for_) return;
  armed_for_ = next;
  timer_.expires_after(std::chrono::nanoseconds(std::max<Nanos>(0, next - now())));
  timer_.async_wait([this](asio::error_code stopped) {
    if (!stopped) armed_for_ = 0;
  });
}

void Host::catch_stop_signals() { stop_signal_.emplace(io_, clock_); }

// Once: a second signal has no effect.
void Host::check_stop_signal() {
  if (!stop_signal_ || core_->draining()) return;
  if (const std::optional<Nanos> not_before = stop_signal_->not_before()) begin_drain(*not_before);
}

void Host::stop() { begin_drain(clock_.last_reading()); }

void Host::begin_drain(Nanos not_before) {
  if (member_) member_->leave(); // other members can take over its leases at once
  recorder_.drain(now(), not_before);
}

// ---- events from the sockets

void Host::op_received(StreamRef ref, OpId id, OpTypeId type, TenantId tenant, CallerId caller,
                       Nanos received_at, Nanos limit, double held_kb, double rank, std::string_view mark,
                       std::string_view subject, std::string_view body) {
  Digest digest;
  if (names_.keyed[type.raw] || core_->pools()) std::tie(digest.high, digest.low) = digest_(body);
  const Nanos read_at = now();
  recorder_.op_received(read_at, ref, id, type, tenant, caller, clock_.from_system(received_at), limit,
                        held_kb, rank, mark, subject, Content(std::string(body)), digest);
}
void Host::stream_lost(StreamRef ref) { recorder_.stream_lost(now(), ref); }
void Host::machine_up(Nanos uptime) { recorder_.machine_up(now(), uptime); }
void Host::link_down() { recorder_.link_down(now()); }

// The answer to a query proves that the interpreter has read everything sent before the query.
void Host::confirm_read(std::uint64_t query) {
  for (; !unconfirmed_starts_.empty() && unconfirmed_starts_.front().first <= query;
       unconfirmed_starts_.pop_front())
    last_confirmed_start_ = unconfirmed_starts_.front().second;
}
void Host::caught_up(std::uint64_t answered_query) {
  confirm_read(answered_query);
  recorder_.link_up(now(), last_confirmed_start_);
}
void Host::run_over(OpId id, Outcome outcome, Nanos lag, std::string result) {
  recorder_.run_finished(now(), id, outcome, lag, Content(std::move(result)));
}
void Host::call_wanted(OpId id, std::string body) {
  recorder_.call_wanted(now(), id, Content(std::move(body)));
}
void Host::gauges(std::span<const double> values) {
  if (gauges_requested_at_ > 0)
    gauges_lead_ = std::min(2 * (now() - gauges_requested_at_) + ms, max_gauges_lead);
  if (interpreter_.up())
    confirm_read(interpreter_.answered_query_number()); // until the link is up, caught_up() does this
  recorder_.gauges(now(), values);
}
void Host::command_rejected(OpId id, std::string_view command) {
  log_info("interpreter", "command rejected: %.*s",
           static_cast<int>(std::min<std::size_t>(command.size(), 40)), command.data());
  if (command == "APPLY") recorder_.start_refused(now(), id);
}

// ---- actions of the core

void Host::served(StreamRef ref, OpId, Content result) { front_.served(ref, std::move(result.bytes)); }
void Host::refused(StreamRef ref, OpId, Reason, Nanos retry_after, bool no_retry) {
  front_.refused(ref, retry_after, no_retry);
}
void Host::failed(StreamRef ref, OpId, Reason) { front_.failed(ref); }
void Host::penalize(StreamRef ref) { front_.penalize(ref); }

void Host::start(OpId id, OpTypeId type, const Content& body, StartNo number) {
  const std::uint64_t query = interpreter_.next_query_number();
  if (!unconfirmed_starts_.empty() && unconfirmed_starts_.back().first == query)
    unconfirmed_starts_.back().second = number;
  else
    unconfirmed_starts_.emplace_back(query, number);
  interpreter_.run(id, names_.op_types[type.raw], body.bytes);
}
void Host::resume(OpId id, const Content& reply) { interpreter_.resume(id, reply.bytes); }

void Host::call(OpId id, Nanos timeout, const Content& body) {
  records_.call(id, timeout, body.bytes, [this, id](Outcome outcome, std::string reply) {
    recorder_.call_finished(now(), id, outcome, Content(std::move(reply)));
  });
}
void Host::cancel_call(OpId id) { records_.cancel(id); }

void Host::health(bool good) {
  front_.health(good);
  announce_.set_accepting(good);
}
void Host::notify_callers(double value) { front_.feedback(value); }
void Host::set_idle_timeout(Nanos after) { front_.set_idle_timeout(after); }
void Host::note(const char* kind, std::string_view words) {
  log_info(kind, "%.*s", static_cast<int>(words.size()), words.data());
}

void Host::set_timing(Timing timing, Nanos time) {
  switch (timing) {
  case Timing::report_interval:
    return announce_.set_report_interval(time);
  case Timing::report_timeout:
    return announce_.set_report_timeout(time);
  case Timing::link_reconnect_delay:
    return interpreter_.link_reconnect_delay(time);
  case Timing::link_silence_timeout:
    return interpreter_.link_silence_timeout(time);
  case Timing::link_handover_timeout:
    return interpreter_.link_handover_timeout(time);
  case Timing::connection_drain_delay:
    return front_.connection_drain_delay(time);
  case Timing::silent_connection_timeout:
    return front_.silent_connection_timeout(time);
  case Timing::frame_timeout:
    return front_.frame_timeout(time);
  case Timing::write_stall_timeout:
    return front_.write_stall_timeout(time);
  case Timing::accept_retry_delay:
    return front_.accept_retry_delay(time);
  case Timing::orphan_query_delay:
    return; // handled by the core itself
  }
}

void Host::set_eviction_order(std::span<const Eviction> order, int max_invalid_ops) {
  front_.set_eviction_order({order.begin(), order.end()}, max_invalid_ops);
}

void Host::stop_accepting() { stopped_accepting_ = true; }

} // namespace cometshift
