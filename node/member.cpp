#include "member.hpp"

#include "address.hpp"
#include "log.hpp"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <sodium.h>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos max_clock_divergence = 20 * ms; // within a second: more than their allowed drift explains
constexpr Nanos leave_grace = 300 * ms;         // to send queued messages, after the last task's time limit
constexpr std::size_t max_task_calls = 16;      // more than run concurrently
// Response header in which a target that refuses a fencing token states the greater one that it has seen.
constexpr const char* greater_token_header = "Greater-Token";

Nanos read_clock(clockid_t clock) {
  timespec at{};
  clock_gettime(clock, &at);
  return static_cast<Nanos>(at.tv_sec) * 1000 * ms + at.tv_nsec;
}
// One clock goes on while the machine is suspended, the other is never slewed; neither can be set.
LeaseClock start_lease_clock() { return {read_clock(CLOCK_BOOTTIME), read_clock(CLOCK_MONOTONIC_RAW)}; }
double unix_ms() {
  return static_cast<double>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count());
}
// Differs between starts, whatever the clocks say.
std::uint64_t random_nonzero() {
  if (sodium_init() < 0) throw std::runtime_error("no random numbers available from the system");
  std::uint64_t value = 0;
  while (value == 0) randombytes_buf(&value, sizeof value);
  return value;
}

struct FleetMembers {
  std::map<MemberId, Links::Tcp::endpoint> addresses; // of the peers
  std::vector<MemberId> peers;
  VoterList voters;
};
FleetMembers members_from(const Settings& fleet) {
  FleetMembers members;
  const MemberId self{static_cast<std::uint32_t>(number(fleet, "self", 0))};
  members.voters.epoch = Epoch{static_cast<std::uint64_t>(number(fleet, "epoch", 1))};
  for (int m = 0; fleet.contains("member." + std::to_string(m) + ".number"); ++m) {
    const std::string at = "member." + std::to_string(m) + ".";
    const MemberId member{static_cast<std::uint32_t>(number(fleet, at + "number", 0))};
    if (number(fleet, at + "voter", 0) != 0) members.voters.voters.insert(member);
    if (number(fleet, at + "previous_voter", 0) != 0) members.voters.previous.insert(member);
    if (member == self) continue;
    members.addresses[member] = require_endpoint(text(fleet, at + "address", ""));
    members.peers.push_back(member);
  }
  return members;
}
// The settings that can't change while the member runs: all but the voters.
Settings without_voters(Settings fleet) {
  std::erase_if(fleet, [](const auto& entry) {
    return entry.first == "epoch" || entry.first.ends_with(".voter") ||
           entry.first.ends_with(".previous_voter");
  });
  return fleet;
}
// An upper bound on how long a lease granted under an earlier list can last, by a clock whose rate is wrong
// by as much as is allowed.
Nanos settle_time(const Settings& fleet) {
  const double drift = number(fleet, "drift", 0);
  return static_cast<Nanos>(number(fleet, "longest_term_ns", 0) * (1 + drift) / (1 - drift)) + 1;
}
// The settings of the lease, task and peer modules, under their names for them.
Settings module_settings(const Settings& fleet) {
  Settings settings{{"leases.term", number(fleet, "term_ns", 0)},
                    {"leases.longest_term", number(fleet, "longest_term_ns", 0)},
                    {"leases.drift", number(fleet, "drift", 0)},
                    {"leases.most_terms", number(fleet, "most_terms", 0)},
                    {"leases.most", number(fleet, "most_leases", 0)},
                    {"leases.first_token", unix_ms()},
                    {"peers.beat", number(fleet, "beat_ns", 0)},
                    {"peers.silent", number(fleet, "silent_ns", 0)},
                    {"peers.rest_least", number(fleet, "rest_least_ns", 0)},
                    {"peers.rest_most", number(fleet, "rest_most_ns", 0)},
                    {"peers.most_words", 4 * number(fleet, "most_leases", 0)}};
  // A target that doesn't check fencing tokens may still be working for the previous holder; the next holder
  // waits for the longest time limit of such tasks.
  double longest_unfenced_limit = 0;
  for (int t = 0; fleet.contains("task." + std::to_string(t) + ".name"); ++t) {
    const std::string from = "task." + std::to_string(t) + ".";
    for (const auto& [module_key, fleet_key] : {std::pair{"name", "name"},
                                                {"every", "every_ns"},
                                                {"limit", "limit_ns"},
                                                {"priority", "priority"},
                                                {"most_an_hour", "most_an_hour"},
                                                {"catch_up", "catch_up"}})
      if (const auto at = fleet.find(from + fleet_key); at != fleet.end())
        settings[from + module_key] = at->second;
    if (number(fleet, from + "fences", 0) == 0)
      longest_unfenced_limit = std::max(longest_unfenced_limit, number(fleet, from + "limit_ns", 0));
  }
  settings["leases.longest_act"] = longest_unfenced_limit;
  return settings;
}
std::vector<Links::Tcp::endpoint> task_targets_from(const Settings& fleet) {
  std::vector<Links::Tcp::endpoint> endpoints;
  for (int t = 0; fleet.contains("task." + std::to_string(t) + ".name"); ++t)
    endpoints.push_back(require_endpoint(text(fleet, "task." + std::to_string(t) + ".call", "")));
  return endpoints;
}
int log_length(std::string_view text) { return static_cast<int>(std::min<std::size_t>(text.size(), 128)); }

} // namespace

Member::Member(asio::io_context& io, const Settings& fleet)
    : io_(io), timer_(io),
      clock_(start_lease_clock()), self_{text(fleet, "name", ""),
                                         MemberId{static_cast<std::uint32_t>(number(fleet, "self", 0))},
                                         MemberId{}, Incarnation{random_nonzero()}},
      peer_ids_(members_from(fleet).peers), task_targets_(task_targets_from(fleet)), fleet_(fleet),
      file_voters_(members_from(fleet).voters),
      voters_(grantor_now(), self_.from, file_voters_, settle_time(fleet)),
      leases_(grantor_now(), self_.from, self_.incarnation, voters_, module_settings(fleet), random_nonzero(),
              *this),
      tasks_(now(), module_settings(fleet), leases_, *this),
      peers_(now(), self_, peer_ids_, voters_, module_settings(fleet), random_nonzero(), *this),
      links_(io, require_endpoint(text(fleet, "listen", "")), self_, members_from(fleet).addresses, *this),
      task_calls_(io, max_task_calls) {
  log_info("fleet", "member %u of %s, incarnation %016llx, %zu others, %zu voters", self_.from.raw,
           self_.fleet.c_str(), static_cast<unsigned long long>(self_.incarnation.raw), peer_ids_.size(),
           file_voters_.voters.size());
}

// ---- time

Nanos Member::now() {
  clock_.take(read_clock(CLOCK_BOOTTIME), read_clock(CLOCK_MONOTONIC_RAW));
  if (const bool diverged = clock_.divergence() > max_clock_divergence;
      diverged != clock_divergence_logged_) {
    clock_divergence_logged_ = diverged;
    diverged ? log_warning("fleet",
                           "this machine's clocks diverged by %lld ms within a second: it was suspended, or "
                           "one of them is wrong",
                           static_cast<long long>(clock_.divergence() / ms))
             : log_info("fleet", "this machine's clocks agree again");
  }
  return clock_.early();
}
Nanos Member::mark_pending() {
  work_pending_ = true;
  return now();
}
Nanos Member::grantor_now() {
  now();
  return clock_.late();
}

// ---- turns of the event loop

// Most turns only handle ops and have nothing to do here.
void Member::turn() {
  if (!work_pending_) return;
  work_pending_ = false;
  for (;;) {
    while (!self_messages_.empty()) {
      const auto action = std::move(self_messages_.front());
      self_messages_.pop_front();
      action();
    }
    update_voters();
    const Nanos at = now();
    leases_.raise_token_counter(static_cast<std::uint64_t>(unix_ms()));
    leases_.due(at);
    tasks_.due(at);
    peers_.due(at);
    if (self_messages_.empty()) break;
  }
  peers_.flush(now());
  arm_timer();
}

// ---- voters

void Member::reload(const Settings& fleet) {
  if (fleet == fleet_) return;
  if (without_voters(fleet) != without_voters(fleet_))
    log_info("reload", "fleet settings other than voters take effect at the next start");
  fleet_ = fleet;
  file_voters_ = members_from(fleet).voters;
  mark_pending();
  update_voters();
}

// Retries a list from the operator file that can't be applied yet, and sends changes to all peers.
void Member::update_voters() {
  voters_.advance_time(grantor_now());
  if (file_voters_.epoch > voters_.on_file()) {
    const std::string_view reason = voters_.apply_file(grantor_now(), file_voters_);
    if (reason.empty()) {
      log_info("voters", "epoch %llu of the operator file is applied, %zu voters%s",
               static_cast<unsigned long long>(file_voters_.epoch.raw), file_voters_.voters.size(),
               voters_.joint() ? ", jointly with the previous voters until settled" : "");
    } else if (reason != logged_rejection_) {
      log_info("voters", "epoch %llu of the operator file is not applied yet: %.*s",
               static_cast<unsigned long long>(file_voters_.epoch.raw), log_length(reason), reason.data());
    }
    logged_rejection_ = reason;
  }
  if (voters_.list() == announced_voters_ && voters_.on_file() == announced_file_epoch_ &&
      voters_.joint() == announced_joint_)
    return;
  if (announced_joint_ && !voters_.joint())
    log_info("voters", "epoch %llu is settled: the previous voters are no longer needed",
             static_cast<unsigned long long>(voters_.epoch().raw));
  else if (announced_voters_.epoch.raw > 0 && voters_.epoch() > announced_voters_.epoch &&
           voters_.on_file() < voters_.epoch())
    log_info("voters", "epoch %llu was received from peers; the operator file has %llu",
             static_cast<unsigned long long>(voters_.epoch().raw),
             static_cast<unsigned long long>(voters_.on_file().raw));
  announced_voters_ = voters_.list();
  announced_file_epoch_ = voters_.on_file();
  announced_joint_ = voters_.joint();
  peers_.enqueue_all(Peers::MessageClass::update, "", encode_voters());
}
std::string Member::encode_voters() const { return peer_codec::voters(voters_.on_file(), voters_.list()); }
void Member::voters(MemberId from, Epoch on_file, const VoterList& list) {
  voters_.file_epoch_received(grantor_now(), from, on_file);
  voters_.list_received(grantor_now(), list);
}

void Member::arm_timer() {
  Nanos next = has_left() ? -1 : leave_deadline_; // wake at the deadline to notice that it has passed
  for (const Nanos at : {leases_.next_wake(), tasks_.next_wake(), peers_.next_wake(), voters_.next_wake()})
    if (at >= 0 && (next < 0 || at < next)) next = at;
  if (next < 0 || next == armed_for_) return;
  armed_for_ = next;
  timer_.expires_after(std::chrono::nanoseconds(std::max<Nanos>(0, next - now())));
  timer_.async_wait([this](asio::error_code stopped) {
    if (!stopped) armed_for_ = -1, work_pending_ = true; // the next turn handles what is due
  });
}

// Runs the action after the current event has returned, because actions must not call back into the modules.
void Member::enqueue_to_self(std::function<void()> action) { self_messages_.push_back(std::move(action)); }

void Member::leave() {
  if (leave_deadline_ >= 0) return;
  const Nanos at = mark_pending();
  Nanos longest_limit = 0;
  for (const Tasks::Status& task : tasks_.status())
    if (task.running) longest_limit = std::max(longest_limit, task.limit);
  leave_deadline_ = at + longest_limit + leave_grace;
  tasks_.leave(at);
  leases_.leave(at);
  peers_.leave(at);
}

bool Member::has_left() {
  if (leave_deadline_ < 0) return false;
  return now() >= leave_deadline_ ||
         (self_messages_.empty() && leases_.status().empty() && peers_.all_sent());
}

// ---- links

void Member::connected(MemberId to) {
  peers_.connected(mark_pending(), to);
  peers_.enqueue(to, Peers::MessageClass::update, "", encode_voters());
}
void Member::written(MemberId to) { peers_.written(mark_pending(), to); }
void Member::broken(MemberId to) { peers_.broken(mark_pending(), to); }
bool Member::message(const peer_codec::Sender& sender, std::string_view payload) {
  mark_pending();
  return peer_codec::decode_message(payload, sender, *this);
}
void Member::log_event(std::string_view event) { log_info("peers", "%.*s", log_length(event), event.data()); }

void Member::dial(MemberId to) { links_.dial(to); }
void Member::disconnect(MemberId to) { links_.disconnect(to); }
void Member::send(MemberId to, std::string frame) { links_.send(to, std::move(frame)); }
void Member::peer_state_changed(MemberId member, PeerState before, PeerState after) {
  const std::string_view before_text = to_text(before), after_text = to_text(after);
  log_info("peers", "member %u: %.*s (%.*s before)", member.raw, log_length(after_text), after_text.data(),
           log_length(before_text), before_text.data());
}
void Member::duplicate_member(MemberId number) {
  log_warning("peers", "two members use the number %u: give one of them another number", number.raw);
}

// ---- messages of peers

bool Member::message(MemberId from, Incarnation incarnation, std::uint64_t number, std::uint64_t acked,
                     Incarnation acked_incarnation, bool leaving,
                     const peer_codec::HeartbeatTerms& heartbeat) {
  return peers_.received(now(), from, incarnation, number, acked, acked_incarnation, leaving, heartbeat);
}
void Member::asked(MemberId from, Incarnation incarnation, Epoch epoch, std::string_view lease, AskNo number,
                   Token token, Nanos term) {
  leases_.asked(grantor_now(), from, incarnation, epoch, lease, number, token, term);
}
void Member::released(MemberId from, Incarnation incarnation, std::string_view lease, AskNo number) {
  leases_.released(grantor_now(), from, incarnation, lease, number);
}
void Member::granted(MemberId from, Incarnation to, std::string_view lease, AskNo number, bool contended) {
  leases_.granted(now(), from, to, lease, number, contended);
}
void Member::refused(MemberId from, Incarnation to, std::string_view lease, AskNo number, Token known_token,
                     Nanos left) {
  leases_.refused(now(), from, to, lease, number, known_token, left);
}
void Member::done(MemberId, std::string_view task, Token token, Nanos age) {
  tasks_.completed_elsewhere(now(), task, token, age);
}

// ---- actions of the lease module

void Member::ask(MemberId voter, Epoch epoch, std::string_view lease, AskNo number, Token token, Nanos term) {
  if (voter != self_.from)
    return void(peers_.enqueue(voter, Peers::MessageClass::request, lease,
                               peer_codec::ask(epoch, lease, number, token, term)));
  enqueue_to_self([this, epoch, lease = std::string(lease), number, token, term] {
    leases_.asked(grantor_now(), self_.from, self_.incarnation, epoch, lease, number, token, term);
  });
}
void Member::release(MemberId voter, std::string_view lease, AskNo number) {
  if (voter != self_.from)
    return void(
        peers_.enqueue(voter, Peers::MessageClass::request, lease, peer_codec::release(lease, number)));
  enqueue_to_self([this, lease = std::string(lease), number] {
    leases_.released(grantor_now(), self_.from, self_.incarnation, lease, number);
  });
}
void Member::grant(MemberId to, Incarnation incarnation, std::string_view lease, AskNo number,
                   bool contended) {
  if (to != self_.from)
    return void(peers_.enqueue(to, Peers::MessageClass::response, lease,
                               peer_codec::grant(incarnation, lease, number, contended)));
  enqueue_to_self([this, incarnation, lease = std::string(lease), number, contended] {
    leases_.granted(now(), self_.from, incarnation, lease, number, contended);
  });
}
void Member::refuse(MemberId to, Incarnation incarnation, std::string_view lease, AskNo number,
                    Token known_token, Nanos left) {
  if (to != self_.from)
    return void(peers_.enqueue(to, Peers::MessageClass::response, lease,
                               peer_codec::refuse(incarnation, lease, number, known_token, left)));
  enqueue_to_self([this, incarnation, lease = std::string(lease), number, known_token, left] {
    leases_.refused(now(), self_.from, incarnation, lease, number, known_token, left);
  });
}
void Member::held(std::string_view lease, Token token, Nanos from, Nanos until) {
  tasks_.held(lease, from);
  Token& logged = logged_holdings_[std::string(lease)];
  if (logged == token) return; // a renewal
  logged = token;
  const Nanos at = now();
  log_info("lease", "%.*s held, token %llx, usable in %lld ms, expires in %lld ms", log_length(lease),
           lease.data(), static_cast<unsigned long long>(token.raw), static_cast<long long>((from - at) / ms),
           static_cast<long long>((until - at) / ms));
}
void Member::lost(std::string_view lease, Token token, LossReason reason) {
  tasks_.lost(lease);
  logged_holdings_.erase(std::string(lease));
  const std::string_view reason_text = to_text(reason);
  log_info("lease", "%.*s no longer held, token %llx: %.*s", log_length(lease), lease.data(),
           static_cast<unsigned long long>(token.raw), log_length(reason_text), reason_text.data());
}

// ---- actions of the task module

void Member::begin(TaskId task, Token token, Nanos limit) {
  const std::string& name = tasks_.name(task);
  const std::string head =
      "POST /task/" + name + " HTTP/1.1\r\nHost: task\r\nFencing-Token: " + std::to_string(token.raw) +
      "\r\nMember: " + std::to_string(self_.from.raw) + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  task_calls_.call(
      CallId{task.raw}, task_targets_[task.raw], limit, head, {}, greater_token_header,
      [this, task, token](HttpClient::Result result, HttpReply& reply) {
        TaskOutcome outcome =
            result == HttpClient::Result::not_sent ? TaskOutcome::failed : TaskOutcome::unknown;
        std::int64_t known_token = 0;
        if (result == HttpClient::Result::complete) {
          outcome = reply.status() / 100 == 2 ? TaskOutcome::done : TaskOutcome::failed;
          if (reply.status() == 409 && frames::parse_integer(reply.header(), known_token) && known_token > 0)
            outcome = TaskOutcome::refused;
        }
        if (outcome != TaskOutcome::done) {
          const std::string_view outcome_text = to_text(outcome);
          log_info("task", "%s: %.*s, token %llx", tasks_.name(task).c_str(), log_length(outcome_text),
                   outcome_text.data(), static_cast<unsigned long long>(token.raw));
        }
        tasks_.ended(mark_pending(), task, token, outcome, Token{static_cast<std::uint64_t>(known_token)});
      },
      // The process may have been stopped since the task began: send the call only if the lease is still
      // held.
      [this, task, token] { return leases_.may_act(now(), tasks_.name(task), 0) == token; });
}
void Member::notify_done(TaskId task, Token token) {
  peers_.enqueue_all(Peers::MessageClass::update, tasks_.name(task),
                     peer_codec::done(tasks_.name(task), token, 0));
}
void Member::released_after_failures(TaskId task, Nanos rest) {
  log_warning("task", "%s: fails here; its lease is left to other members for %lld ms",
              tasks_.name(task).c_str(), static_cast<long long>(rest / ms));
}

// ---- status

void Member::log_status() {
  const Nanos at = now();
  log_info("status", "member %u of %s, incarnation %016llx%s", self_.from.raw, self_.fleet.c_str(),
           static_cast<unsigned long long>(self_.incarnation.raw),
           leases_.silent(clock_.late()) ? ", grants no leases yet after its start" : "");
  log_info("status", "voters of epoch %llu%s, operator file has epoch %llu",
           static_cast<unsigned long long>(voters_.epoch().raw),
           voters_.joint() ? ", jointly with the previous voters" : ", settled",
           static_cast<unsigned long long>(voters_.on_file().raw));
  for (const Leases::Status& lease : leases_.status()) {
    if (lease.token.raw != 0)
      log_info("status of leases", "%s: held for %lld ms, %lld ms left, token %llx", lease.lease.c_str(),
               static_cast<long long>((at - lease.since) / ms),
               static_cast<long long>((lease.until - at) / ms),
               static_cast<unsigned long long>(lease.token.raw));
    else
      log_info("status of leases", "%s: not held here, %d rounds of requests", lease.lease.c_str(),
               lease.rounds);
  }
  for (const Peers::Status& peer : peers_.status()) {
    const std::string_view peer_state = to_text(peer.peer_state);
    std::string timeout_note; // only if it differs from the operator file
    if (peer.unresponsive_timeout != peers_.min_unresponsive_timeout())
      timeout_note = ", unresponsive after " + std::to_string(peer.unresponsive_timeout / ms) + " ms";
    log_info("status of peers",
             "member %u: %.*s, last message %lld ms ago%s, %zu messages queued, %llu sent, %llu dials",
             peer.member.raw, log_length(peer_state), peer_state.data(),
             peer.last_received_at < 0 ? -1 : static_cast<long long>((at - peer.last_received_at) / ms),
             timeout_note.c_str(), peer.waiting, static_cast<unsigned long long>(peer.messages),
             static_cast<unsigned long long>(peer.dials));
  }
  for (const Tasks::Status& task : tasks_.status())
    log_info("status of tasks",
             "%s: %s, last done %lld ms ago, here %llu begun, %llu done, %llu failed, %llu refused",
             task.name.c_str(), task.running ? "running" : "idle",
             task.last < 0 ? -1 : static_cast<long long>((at - task.last) / ms),
             static_cast<unsigned long long>(task.begun), static_cast<unsigned long long>(task.done),
             static_cast<unsigned long long>(task.failed), static_cast<unsigned long long>(task.refused));
}

} // namespace cometshift
