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
constexpr Nanos clocks_apart = 20 * ms;    // in a second: more than any bound on their rates allows
constexpr Nanos time_to_leave = 300 * ms;  // in which words that still wait are said, beyond a task's limit
constexpr std::size_t calls_of_tasks = 16; // connections: more than are done at once
constexpr const char* greater_token = "Greater-Token"; // of a target that refuses, the one that it knows

Nanos reading(clockid_t clock) {
  timespec at{};
  clock_gettime(clock, &at);
  return static_cast<Nanos>(at.tv_sec) * 1000 * ms + at.tv_nsec;
}
// One that goes on while the machine sleeps, and one that is never slewed; nobody sets either.
LeaseClock started() { return {reading(CLOCK_BOOTTIME), reading(CLOCK_MONOTONIC_RAW)}; }
double unix_ms() {
  return static_cast<double>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count());
}
// Another with each start, whatever the clocks say.
std::uint64_t by_chance() {
  if (sodium_init() < 0) throw std::runtime_error("no chance is to be had from the system");
  std::uint64_t drawn = 0;
  while (drawn == 0) randombytes_buf(&drawn, sizeof drawn);
  return drawn;
}

struct Listed {
  std::map<MemberId, Links::Tcp::endpoint> addresses; // of the others
  std::vector<MemberId> others;
  VoterList voters;
};
Listed listed_in(const Settings& fleet) {
  Listed listed;
  const MemberId self{static_cast<std::uint32_t>(number(fleet, "self", 0))};
  listed.voters.epoch = Epoch{static_cast<std::uint64_t>(number(fleet, "epoch", 1))};
  for (int m = 0; fleet.contains("member." + std::to_string(m) + ".number"); ++m) {
    const std::string at = "member." + std::to_string(m) + ".";
    const MemberId member{static_cast<std::uint32_t>(number(fleet, at + "number", 0))};
    if (number(fleet, at + "voter", 0) != 0) listed.voters.voters.insert(member);
    if (number(fleet, at + "previous_voter", 0) != 0) listed.voters.previous.insert(member);
    if (member == self) continue;
    listed.addresses[member] = endpoint_of(text(fleet, at + "address", ""));
    listed.others.push_back(member);
  }
  return listed;
}
// All but who votes, which may be changed under a member that serves.
Settings without_voters(Settings fleet) {
  std::erase_if(fleet, [](const auto& entry) {
    return entry.first == "epoch" || entry.first.ends_with(".voter") ||
           entry.first.ends_with(".previous_voter");
  });
  return fleet;
}
// For how long what was granted under a list before may last, by a clock that may be as wrong as is allowed.
Nanos settle_time(const Settings& fleet) {
  const double drift = number(fleet, "drift", 0);
  return static_cast<Nanos>(number(fleet, "longest_term_ns", 0) * (1 + drift) / (1 - drift)) + 1;
}
// For the modules, by their names.
Settings figures_in(const Settings& fleet) {
  Settings figures{{"leases.term", number(fleet, "term_ns", 0)},
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
  // The next holder waits out what a target that can't refuse may still be doing for the one before.
  double longest_act = 0;
  for (int t = 0; fleet.contains("task." + std::to_string(t) + ".name"); ++t) {
    const std::string from = "task." + std::to_string(t) + ".";
    for (const auto& [ours, theirs] : {std::pair{"name", "name"},
                                       {"every", "every_ns"},
                                       {"limit", "limit_ns"},
                                       {"priority", "priority"},
                                       {"most_an_hour", "most_an_hour"},
                                       {"catch_up", "catch_up"}})
      if (const auto at = fleet.find(from + theirs); at != fleet.end()) figures[from + ours] = at->second;
    if (number(fleet, from + "fences", 0) == 0)
      longest_act = std::max(longest_act, number(fleet, from + "limit_ns", 0));
  }
  figures["leases.longest_act"] = longest_act;
  return figures;
}
std::vector<Links::Tcp::endpoint> targets_in(const Settings& fleet) {
  std::vector<Links::Tcp::endpoint> targets;
  for (int t = 0; fleet.contains("task." + std::to_string(t) + ".name"); ++t)
    targets.push_back(endpoint_of(text(fleet, "task." + std::to_string(t) + ".call", "")));
  return targets;
}
int cut(std::string_view words) { return static_cast<int>(std::min<std::size_t>(words.size(), 128)); }

} // namespace

Member::Member(asio::io_context& io, const Settings& fleet)
    : io_(io), timer_(io),
      clock_(started()), self_{text(fleet, "name", ""),
                               MemberId{static_cast<std::uint32_t>(number(fleet, "self", 0))}, MemberId{},
                               Incarnation{by_chance()}},
      others_(listed_in(fleet).others), targets_(targets_in(fleet)), fleet_(fleet),
      on_file_(listed_in(fleet).voters), voters_(granted_now(), self_.from, on_file_, settle_time(fleet)),
      leases_(granted_now(), self_.from, self_.incarnation, voters_, figures_in(fleet), by_chance(), *this),
      tasks_(now(), figures_in(fleet), leases_, *this),
      peers_(now(), self_, others_, voters_, figures_in(fleet), by_chance(), *this),
      links_(io, endpoint_of(text(fleet, "listen", "")), self_, listed_in(fleet).addresses, *this),
      calls_(io, calls_of_tasks) {
  note("fleet", "member %u of %s, incarnation %016llx, %zu others, %zu voters", self_.from.raw,
       self_.fleet.c_str(), static_cast<unsigned long long>(self_.incarnation.raw), others_.size(),
       on_file_.voters.size());
}

// ---- time

Nanos Member::now() {
  clock_.take(reading(CLOCK_BOOTTIME), reading(CLOCK_MONOTONIC_RAW));
  if (const bool apart = clock_.divergence() > clocks_apart; apart != said_apart_) {
    said_apart_ = apart;
    apart ? warn("fleet",
                 "this machine's clocks differ by %lld ms in a second: it slept, or one of them is wrong",
                 static_cast<long long>(clock_.divergence() / ms))
          : note("fleet", "this machine's clocks agree again");
  }
  return clock_.early();
}
Nanos Member::touched() {
  touched_ = true;
  return now();
}
Nanos Member::granted_now() {
  now();
  return clock_.late();
}

// ---- a turn

// Most turns are of ops and bring nothing here.
void Member::turn() {
  if (!touched_) return;
  touched_ = false;
  for (;;) {
    while (!own_.empty()) {
      const auto what = std::move(own_.front());
      own_.pop_front();
      what();
    }
    look_at_voters();
    const Nanos at = now();
    leases_.raise_token_counter(static_cast<std::uint64_t>(unix_ms()));
    leases_.due(at);
    tasks_.due(at);
    peers_.due(at);
    if (own_.empty()) break;
  }
  peers_.flush(now());
  arm();
}

// ---- who votes

void Member::reload(const Settings& fleet) {
  if (fleet == fleet_) return;
  if (without_voters(fleet) != without_voters(fleet_))
    note("reload", "what the operator file says of the fleet beside its voters is taken at the next start");
  fleet_ = fleet;
  on_file_ = listed_in(fleet).voters;
  touched();
  look_at_voters();
}

// A list on file that can't be taken yet is tried again; what has changed is told to all.
void Member::look_at_voters() {
  voters_.advance_time(granted_now());
  if (on_file_.epoch > voters_.on_file()) {
    const std::string_view why = voters_.apply_file(granted_now(), on_file_);
    if (why.empty()) {
      note("voters", "epoch %llu is on file and taken, %zu voters%s",
           static_cast<unsigned long long>(on_file_.epoch.raw), on_file_.voters.size(),
           voters_.joint() ? ", with those before until they are settled" : "");
    } else if (why != not_taken_) {
      note("voters", "epoch %llu is not taken yet: %.*s", static_cast<unsigned long long>(on_file_.epoch.raw),
           cut(why), why.data());
    }
    not_taken_ = why;
  }
  if (voters_.list() == told_ && voters_.on_file() == told_on_file_ && voters_.joint() == told_joint_) return;
  if (told_joint_ && !voters_.joint())
    note("voters", "epoch %llu is settled: those before it are needed no more",
         static_cast<unsigned long long>(voters_.epoch().raw));
  else if (told_.epoch.raw > 0 && voters_.epoch() > told_.epoch && voters_.on_file() < voters_.epoch())
    note("voters", "epoch %llu was learnt from others; the file has %llu",
         static_cast<unsigned long long>(voters_.epoch().raw),
         static_cast<unsigned long long>(voters_.on_file().raw));
  told_ = voters_.list();
  told_on_file_ = voters_.on_file();
  told_joint_ = voters_.joint();
  peers_.enqueue_all(Peers::MessageClass::update, "", voters_word());
}
std::string Member::voters_word() const { return peer_codec::voters(voters_.on_file(), voters_.list()); }
void Member::voters(MemberId from, Epoch on_file, const VoterList& list) {
  voters_.file_epoch_received(granted_now(), from, on_file);
  voters_.list_received(granted_now(), list);
}

void Member::arm() {
  Nanos next = gone() ? -1 : leave_by_; // that the time to leave is over is to be seen too
  for (const Nanos at : {leases_.next_wake(), tasks_.next_wake(), peers_.next_wake(), voters_.next_wake()})
    if (at >= 0 && (next < 0 || at < next)) next = at;
  if (next < 0 || next == armed_) return;
  armed_ = next;
  timer_.expires_after(std::chrono::nanoseconds(std::max<Nanos>(0, next - now())));
  timer_.async_wait([this](asio::error_code stopped) {
    if (!stopped) armed_ = -1, touched_ = true; // the turn does what is due
  });
}

// Once the caller's own event has returned: nothing may call back within an order.
void Member::to_self(std::function<void()> what) { own_.push_back(std::move(what)); }

void Member::leave() {
  if (leave_by_ >= 0) return;
  const Nanos at = touched();
  Nanos longest = 0;
  for (const Tasks::Status& task : tasks_.status())
    if (task.running) longest = std::max(longest, task.limit);
  leave_by_ = at + longest + time_to_leave;
  tasks_.leave(at);
  leases_.leave(at);
  peers_.leave(at);
}

bool Member::gone() {
  if (leave_by_ < 0) return false;
  return now() >= leave_by_ || (own_.empty() && leases_.status().empty() && peers_.all_sent());
}

// ---- the links

void Member::connected(MemberId to) {
  peers_.connected(touched(), to);
  peers_.enqueue(to, Peers::MessageClass::update, "", voters_word());
}
void Member::written(MemberId to) { peers_.written(touched(), to); }
void Member::broken(MemberId to) { peers_.broken(touched(), to); }
bool Member::message(const peer_codec::Sender& sender, std::string_view payload) {
  touched();
  return peer_codec::decode_message(payload, sender, *this);
}
void Member::log_event(std::string_view words) { note("peers", "%.*s", cut(words), words.data()); }

void Member::dial(MemberId to) { links_.dial(to); }
void Member::disconnect(MemberId to) { links_.disconnect(to); }
void Member::send(MemberId to, std::string frame) { links_.send(to, std::move(frame)); }
void Member::peer_state_changed(MemberId of, PeerState before, PeerState now) {
  const std::string_view was = to_text(before), is = to_text(now);
  note("peers", "member %u: %.*s (%.*s before)", of.raw, cut(is), is.data(), cut(was), was.data());
}
void Member::duplicate_member(MemberId number) {
  warn("peers", "two members live under the number %u: give one of them another", number.raw);
}

// ---- what others say

bool Member::message(MemberId from, Incarnation of, std::uint64_t number, std::uint64_t heard,
                     Incarnation acked_incarnation, bool leaving,
                     const peer_codec::HeartbeatTerms& heartbeat) {
  return peers_.received(now(), from, of, number, heard, acked_incarnation, leaving, heartbeat);
}
void Member::asked(MemberId from, Incarnation of, Epoch epoch, std::string_view lease, AskNo number,
                   Token token, Nanos term) {
  leases_.asked(granted_now(), from, of, epoch, lease, number, token, term);
}
void Member::released(MemberId from, Incarnation of, std::string_view lease, AskNo number) {
  leases_.released(granted_now(), from, of, lease, number);
}
void Member::granted(MemberId from, Incarnation to, std::string_view lease, AskNo number, bool wanted) {
  leases_.granted(now(), from, to, lease, number, wanted);
}
void Member::refused(MemberId from, Incarnation to, std::string_view lease, AskNo number, Token seen,
                     Nanos left) {
  leases_.refused(now(), from, to, lease, number, seen, left);
}
void Member::done(MemberId, std::string_view task, Token token, Nanos ago) {
  tasks_.completed_elsewhere(now(), task, token, ago);
}

// ---- what the leases order

void Member::ask(MemberId voter, Epoch epoch, std::string_view lease, AskNo number, Token token, Nanos term) {
  if (voter != self_.from)
    return void(peers_.enqueue(voter, Peers::MessageClass::request, lease,
                               peer_codec::ask(epoch, lease, number, token, term)));
  to_self([this, epoch, lease = std::string(lease), number, token, term] {
    leases_.asked(granted_now(), self_.from, self_.incarnation, epoch, lease, number, token, term);
  });
}
void Member::release(MemberId voter, std::string_view lease, AskNo number) {
  if (voter != self_.from)
    return void(
        peers_.enqueue(voter, Peers::MessageClass::request, lease, peer_codec::release(lease, number)));
  to_self([this, lease = std::string(lease), number] {
    leases_.released(granted_now(), self_.from, self_.incarnation, lease, number);
  });
}
void Member::grant(MemberId to, Incarnation of, std::string_view lease, AskNo number, bool wanted) {
  if (to != self_.from)
    return void(peers_.enqueue(to, Peers::MessageClass::response, lease,
                               peer_codec::grant(of, lease, number, wanted)));
  to_self([this, of, lease = std::string(lease), number, wanted] {
    leases_.granted(now(), self_.from, of, lease, number, wanted);
  });
}
void Member::refuse(MemberId to, Incarnation of, std::string_view lease, AskNo number, Token seen,
                    Nanos left) {
  if (to != self_.from)
    return void(peers_.enqueue(to, Peers::MessageClass::response, lease,
                               peer_codec::refuse(of, lease, number, seen, left)));
  to_self([this, of, lease = std::string(lease), number, seen, left] {
    leases_.refused(now(), self_.from, of, lease, number, seen, left);
  });
}
void Member::held(std::string_view lease, Token token, Nanos from, Nanos until) {
  tasks_.held(lease, from);
  Token& told = holding_[std::string(lease)];
  if (told == token) return; // a renewal
  told = token;
  const Nanos at = now();
  note("lease", "%.*s held, token %llx, from %lld ms on, for %lld ms", cut(lease), lease.data(),
       static_cast<unsigned long long>(token.raw), static_cast<long long>((from - at) / ms),
       static_cast<long long>((until - at) / ms));
}
void Member::lost(std::string_view lease, Token token, LossReason why) {
  tasks_.lost(lease);
  holding_.erase(std::string(lease));
  const std::string_view because = to_text(why);
  note("lease", "%.*s no longer held, token %llx: %.*s", cut(lease), lease.data(),
       static_cast<unsigned long long>(token.raw), cut(because), because.data());
}

// ---- what the tasks order

void Member::begin(TaskId task, Token token, Nanos limit) {
  const std::string& name = tasks_.name(task);
  const std::string head =
      "POST /task/" + name + " HTTP/1.1\r\nHost: task\r\nFencing-Token: " + std::to_string(token.raw) +
      "\r\nMember: " + std::to_string(self_.from.raw) + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  calls_.call(
      CallId{task.raw}, targets_[task.raw], limit, head, {}, greater_token,
      [this, task, token](HttpCalls::End end, HttpReply& reply) {
        TaskOutcome as = end == HttpCalls::End::unsent ? TaskOutcome::failed : TaskOutcome::unknown;
        std::int64_t seen = 0;
        if (end == HttpCalls::End::whole) {
          as = reply.status() / 100 == 2 ? TaskOutcome::done : TaskOutcome::failed;
          if (reply.status() == 409 && frames::read_whole(reply.header(), seen) && seen > 0)
            as = TaskOutcome::refused;
        }
        if (as != TaskOutcome::done) {
          const std::string_view how = to_text(as);
          note("task", "%s: %.*s, token %llx", tasks_.name(task).c_str(), cut(how), how.data(),
               static_cast<unsigned long long>(token.raw));
        }
        tasks_.ended(touched(), task, token, as, Token{static_cast<std::uint64_t>(seen)});
      },
      // Against a stop since it was begun: what is not held any more is not done.
      [this, task, token] { return leases_.may_act(now(), tasks_.name(task), 0) == token; });
}
void Member::notify_done(TaskId task, Token token) {
  peers_.enqueue_all(Peers::MessageClass::update, tasks_.name(task),
                     peer_codec::done(tasks_.name(task), token, 0));
}
void Member::released_after_failures(TaskId task, Nanos rest) {
  warn("task", "%s: fails here, another member may try for %lld ms", tasks_.name(task).c_str(),
       static_cast<long long>(rest / ms));
}

// ---- what people ask for

void Member::tell_standing() {
  const Nanos at = now();
  note("status", "member %u of %s, incarnation %016llx%s", self_.from.raw, self_.fleet.c_str(),
       static_cast<unsigned long long>(self_.incarnation.raw),
       leases_.silent(clock_.late()) ? ", silent as a voter that just started" : "");
  note("status", "voters of epoch %llu%s, on file %llu", static_cast<unsigned long long>(voters_.epoch().raw),
       voters_.joint() ? ", with those before it" : ", settled",
       static_cast<unsigned long long>(voters_.on_file().raw));
  for (const Leases::Status& lease : leases_.status()) {
    if (lease.token.raw != 0)
      note("status of leases", "%s: held for %lld ms, %lld ms left, token %llx", lease.lease.c_str(),
           static_cast<long long>((at - lease.since) / ms), static_cast<long long>((lease.until - at) / ms),
           static_cast<unsigned long long>(lease.token.raw));
    else
      note("status of leases", "%s: not held here, %d rounds of asking", lease.lease.c_str(), lease.rounds);
  }
  for (const Peers::Status& peer : peers_.status()) {
    const std::string_view peer_state = to_text(peer.peer_state);
    std::string stretched; // only where it is not as the operator file has it
    if (peer.unresponsive_timeout != peers_.min_unresponsive_timeout())
      stretched = ", silent after " + std::to_string(peer.unresponsive_timeout / ms) + " ms";
    note("status of peers", "member %u: %.*s, heard %lld ms ago%s, %zu words wait, %llu letters, %llu dials",
         peer.member.raw, cut(peer_state), peer_state.data(),
         peer.last_received_at < 0 ? -1 : static_cast<long long>((at - peer.last_received_at) / ms),
         stretched.c_str(), peer.waiting, static_cast<unsigned long long>(peer.messages),
         static_cast<unsigned long long>(peer.dials));
  }
  for (const Tasks::Status& task : tasks_.status())
    note("status of tasks",
         "%s: %s, done last %lld ms ago, here %llu begun, %llu done, %llu failed, %llu refused",
         task.name.c_str(), task.running ? "under way" : "at rest",
         task.last < 0 ? -1 : static_cast<long long>((at - task.last) / ms),
         static_cast<unsigned long long>(task.begun), static_cast<unsigned long long>(task.done),
         static_cast<unsigned long long>(task.failed), static_cast<unsigned long long>(task.refused));
}

} // namespace cometshift
