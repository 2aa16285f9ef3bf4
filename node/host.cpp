#include "host.hpp"

#include "configuration.hpp"
#include "log.hpp"
#include "operator.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;

// Bounds on what the sockets hold, as parts of the limits told. None is met in ordinary service.
constexpr std::size_t mb = 1024 * 1024;
constexpr std::size_t answers_part = 8; // of the memory, for answers not yet taken
constexpr std::size_t link_part = 16;   // of the memory, for commands not yet taken
constexpr std::size_t calls_part = 8;   // of the descriptors, for calls
constexpr std::size_t own_part = 8;     // of the descriptors, for the listener, the links, files and room
constexpr std::size_t own_least =
    24; // of these: standard ones, the loop's, two links, a file, room as much again

constexpr int handlers_a_turn = 128; // some milliseconds at the most, of reads of a connection each

constexpr Nanos most_lead = 5 * ms; // gauges asked for longer before a wake-up would be none of its moment

Front::Names names_in(const Settings& given) {
  Front::Names names;
  for (int t = 0;; ++t) {
    const std::string at = "op_type." + std::to_string(t) + ".";
    if (!given.contains(at + "name")) break;
    names.op_types.push_back(text(given, at + "name", ""));
    names.marked.push_back(text(given, at + "repeats", "") == "keyed");
  }
  for (int t = 0; given.contains("tenant." + std::to_string(t) + ".name"); ++t)
    names.tenants.push_back(text(given, "tenant." + std::to_string(t) + ".name", ""));
  names.tells_patience = number(given, "tells_patience", 0) != 0;
  return names;
}
// From before the listener opens: where a path is told, a hang-up does not end the program.
std::string catching(asio::signal_set& hang_ups, std::string path) {
  if (!path.empty()) hang_ups.add(SIGHUP);
  return path;
}
std::size_t part_of(const Settings& given, const char* name, std::size_t unit, std::size_t divisor) {
  return static_cast<std::size_t>(number(given, name, 0)) * unit / divisor;
}
// Balancers' connections: what calls and the server's own leave. Those that end take a few beside them.
std::size_t most_connections(const Settings& given) {
  const std::size_t calls = part_of(given, "sockets", 1, calls_part);
  const std::size_t own = std::max(own_least, part_of(given, "sockets", 1, own_part));
  const auto all = static_cast<std::size_t>(number(given, "sockets", 0));
  return all - std::min(all - 1, calls + own);
}
Settings pools_in(const Settings& operators) {
  Settings pools;
  for (const auto& entry : operators)
    if (Pools::is_setting(entry.first)) pools.insert(entry);
  return pools;
}
Nanos unix_time() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

Host::Host(const Settings& given, std::string path, const Settings& operators, std::string operator_path)
    : signals_(io_), hang_ups_(io_), questions_(io_), path_(catching(hang_ups_, std::move(path))),
      operator_path_(std::move(operator_path)), timer_(io_), names_(names_in(given)),
      front_(io_, text(given, "listen", ""), most_connections(given),
             part_of(given, "memory_mb", mb, answers_part), names_, *this),
      interpreter_(io_, text(given, "vm", ""), part_of(given, "memory_mb", mb, link_part), *this),
      records_(io_, text(given, "records", ""), part_of(given, "sockets", 1, calls_part)),
      announce_(io_, text(given, "announce", ""), text(given, "name", "")), tape_(*this) {
  core_.reset(new Core(now(), given, tape_));
  tape_.bind(*core_);
  take(operators);
  if (number(operators, "fleet.on", 0) != 0) {
    member_ = std::make_unique<Member>(io_, part_of(operators, "fleet."));
    questions_.add(SIGUSR1);
    await_question();
  }
  if (!path_.empty()) await_hang_up();
}

// ---- the loop

Nanos Host::now() { return clock_.now(unix_time); }

// What is ready is handed to the core first; then what it wants done is written, a connection at a time.
void Host::serve() {
  std::signal(SIGPIPE, SIG_IGN);
  signals_.add(SIGTERM);
  signals_.add(SIGINT);
  signals_.async_wait([this](asio::error_code error, int) {
    if (!error) stop(); // a second signal changes nothing
  });
  turn();
  while (!over()) {
    clock_.next_turn();
    io_.run_one();
    take_ready();
    turn();
  }
  tape_.end(now());
}

// Not all that is ready: against peers that send without end, for which due times would wait.
void Host::take_ready() {
  for (int n = 0; n < handlers_a_turn && io_.poll_one() > 0;) ++n;
}

void Host::await_hang_up() {
  hang_ups_.async_wait([this](asio::error_code error, int) {
    if (error) return;
    try {
      const Settings operators = operator_path_.empty() ? operators_ : read_operator(operator_path_);
      reload(read_configuration(path_), operators);
    } catch (const std::exception& e) { // a file that can't be taken changes nothing
      cometshift::note("reload", "left as it was: %s", e.what());
    }
    await_hang_up();
  });
}

void Host::await_question() {
  questions_.async_wait([this](asio::error_code error, int) {
    if (error) return;
    member_->tell_standing();
    await_question();
  });
}

// What operators set can be taken at any time, but for the fleet; what is the same already goes on
// undisturbed.
void Host::take(const Settings& operators) {
  set_log(text(operators, "log.format", "text") == "json", text(operators, "log.level", "info"));
  if (pools_in(operators) != pools_in(operators_)) tape_.set_pools(now(), pools_in(operators));
  const Settings wanted = part_of(operators, "recording.");
  if (wanted != part_of(operators_, "recording.")) {
    tape_.end(now());
    if (number(wanted, "on", 0) != 0) tape_.begin(now(), wanted, files_in(text(wanted, "folder", "")));
  }
  if (member_) {
    if (number(operators, "fleet.on", 0) != 0) member_->reload(part_of(operators, "fleet."));
  } else if (core_ && !operators_.empty() && operators.contains("fleet.on")) {
    cometshift::note("reload", "a fleet is entered at the next start");
  }
  operators_ = operators;
}

void Host::reload(const Settings& given, const Settings& operators) {
  take(operators); // first: where it can't be taken, nothing is
  cometshift::note("reload", "vm %s, records %s, announce %s", text(given, "vm", "").c_str(),
                   text(given, "records", "").c_str(), text(given, "announce", "").c_str());
  interpreter_.move_to(text(given, "vm", ""));
  records_.move_to(text(given, "records", ""));
  announce_.move_to(text(given, "announce", ""));
  if (tape_.recording()) tape_.reloaded(now(), "addresses, and what operators set");
}

bool Host::poll() {
  clock_.next_turn();
  io_.restart();
  take_ready();
  turn();
  return !over();
}

bool Host::over() const {
  return core_->draining() && stopped_accepting_ && front_.closed() && core_->all_answered() &&
         (!member_ || member_->gone());
}

void Host::turn() {
  if (core_->anything_due(now())) tape_.due(now());
  ask_gauges();
  if (stopped_accepting_)
    front_.stop_accepting(); // not within the module's order: what still comes in is handed to it
  do {                       // a line that is found lost may free others, and what they want
    if (core_->has_repeats_to_answer()) tape_.answer_repeats(now());
    front_.flush(now());
  } while (core_->has_repeats_to_answer());
  interpreter_.flush();
  if (member_) member_->turn();
  clock_.next_turn();
  arm();
}

// The gauges come with the wake-up if they are asked for a round trip before it; it does not wait for them.
void Host::ask_gauges() {
  const Nanos wake = core_->next_wake();
  if (wake < 0 || !interpreter_.up() || asked_for_ == wake || wake - now() > lead_) return;
  asked_for_ = wake;
  if (interpreter_.ask_gauges()) asked_at_ = now();
}

void Host::arm() {
  Nanos next = core_->next_wake();
  if (next < 0) return;
  if (asked_for_ != next && interpreter_.up()) next -= lead_;
  if (next == armed_) return;
  armed_ = next;
  timer_.expires_after(std::chrono::nanoseconds(std::max<Nanos>(0, next - now())));
  clock_.next_turn();
  timer_.async_wait([this](asio::error_code stopped) {
    if (!stopped) armed_ = 0;
  });
}

void Host::stop() {
  if (member_) member_->leave(); // what the fleet has of it goes on elsewhere at once
  tape_.drain(now());
}

// ---- what the sockets bring

void Host::op_received(StreamRef line, OpId id, OpTypeId type, TenantId tenant, CallerId caller,
                       Nanos received_at, Nanos limit, double held_kb, double rank, std::string_view mark,
                       std::string_view subject, std::string_view body) {
  Digest digest;
  if (names_.marked[type.raw] || core_->pools()) std::tie(digest.high, digest.low) = digest_(body);
  tape_.op_received(now(), line, id, type, tenant, caller, clock_.from_system(received_at), limit, held_kb,
                    rank, mark, subject, Content(std::string(body)), digest);
}
void Host::stream_lost(StreamRef line) { tape_.stream_lost(now(), line); }
void Host::machine_up(Nanos since) { tape_.machine_up(now(), since); }
void Host::link_down() { tape_.link_down(now()); }

// The answer to a question proves that all that was sent before it was read.
void Host::proven(std::uint64_t question) {
  for (; !sent_.empty() && sent_.front().first <= question; sent_.pop_front()) known_ = sent_.front().second;
}
void Host::caught_up(std::uint64_t heard) {
  proven(heard);
  tape_.link_up(now(), known_);
}
void Host::run_over(OpId id, Outcome outcome, Nanos lag, std::string result) {
  tape_.run_finished(now(), id, outcome, lag, Content(std::move(result)));
}
void Host::call_wanted(OpId id, std::string body) { tape_.call_wanted(now(), id, Content(std::move(body))); }
void Host::gauges(std::span<const double> values) {
  if (asked_at_ > 0) lead_ = std::min(2 * (now() - asked_at_) + ms, most_lead);
  if (interpreter_.up()) proven(interpreter_.answered_question()); // else of a link that is not caught up
  tape_.gauges(now(), values);
}
void Host::command_rejected(OpId id, std::string_view command) {
  cometshift::note("interpreter", "not carried out: %.*s",
                   static_cast<int>(std::min<std::size_t>(command.size(), 40)), command.data());
  if (command == "APPLY") tape_.start_refused(now(), id);
}

// ---- what the core orders

void Host::served(StreamRef line, OpId, Content result) { front_.served(line, std::move(result.bytes)); }
void Host::refused(StreamRef line, OpId, Reason, Nanos retry_after, bool no_retry) {
  front_.refused(line, retry_after, no_retry);
}
void Host::failed(StreamRef line, OpId, Reason) { front_.failed(line); }
void Host::penalize(StreamRef line) { front_.penalize(line); }

void Host::start(OpId id, OpTypeId type, const Content& body, StartNo number) {
  const std::uint64_t question = interpreter_.next_question();
  if (!sent_.empty() && sent_.back().first == question)
    sent_.back().second = number;
  else
    sent_.emplace_back(question, number);
  interpreter_.run(id, names_.op_types[type.raw], body.bytes);
}
void Host::resume(OpId id, const Content& reply) { interpreter_.resume(id, reply.bytes); }

void Host::call(OpId id, Nanos time_out, const Content& body) {
  records_.call(id, time_out, body.bytes, [this, id](Outcome outcome, std::string reply) {
    tape_.call_finished(now(), id, outcome, Content(std::move(reply)));
  });
}
void Host::cancel_call(OpId id) { records_.give_up(id); }

void Host::health(bool good) {
  front_.health(good);
  announce_.accepting(good);
}
void Host::notify_callers(double value) { front_.feedback(value); }
void Host::set_idle_timeout(Nanos after) { front_.set_idle_timeout(after); }
void Host::note(const char* kind, std::string_view words) {
  cometshift::note(kind, "%.*s", static_cast<int>(words.size()), words.data());
}

void Host::set_timing(Timing what, Nanos time) {
  switch (what) {
  case Timing::report_interval:
    return announce_.report_every(time);
  case Timing::report_timeout:
    return announce_.wait_for_reply(time);
  case Timing::link_reconnect_delay:
    return interpreter_.link_reconnect_delay(time);
  case Timing::link_silence_timeout:
    return interpreter_.silent_for(time);
  case Timing::link_handover_timeout:
    return interpreter_.leave_within(time);
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
    return; // the core's own
  }
}

void Host::set_eviction_order(std::span<const Eviction> order, int max_invalid_ops) {
  front_.set_eviction_order({order.begin(), order.end()}, max_invalid_ops);
}

void Host::stop_accepting() { stopped_accepting_ = true; }

} // namespace cometshift
