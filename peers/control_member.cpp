#include "control_member.hpp"

#include <algorithm>
#include <utility>

namespace cometshift {

namespace {

constexpr double ms = 1e6; // ns
constexpr const char* writer_lease = "control";
// Accepted servers that follow nothing yet: enough for some ms when a zone returns.
constexpr std::size_t max_unattached = 256;

// The longest time that a granted lease can last, with a clock that is off by the allowed drift.
Nanos longest_grant(const Settings& settings) {
  const double drift = number(settings, "leases.drift", 0);
  return static_cast<Nanos>(number(settings, "leases.longest_term", 0) * (1 + drift) / (1 - drift)) + 1;
}
VoterList voter_list(const std::set<MemberId>& voters) { return {Epoch{1}, voters, {}}; }
std::vector<MemberId> without(const std::vector<MemberId>& all, MemberId removed) {
  std::vector<MemberId> others;
  for (const MemberId member : all)
    if (member != removed) others.push_back(member);
  return others;
}
std::string numbered(const char* kind, std::uint64_t number) { return kind + std::to_string(number); }

} // namespace

// A change takes effect everywhere within 4 s: a heartbeat every half second tells a server on its secondary
// connection that its primary has fallen behind, it waits one second for the primary, and the remaining time
// is margin for the switch.
Settings default_control_settings(bool control) {
  Settings settings{
      {"control.beat", 500 * ms},
      {"control.silent", 2'000 * ms},
      {"control.behind", 1'000 * ms},
      {"control.settle", 10'000 * ms},
      {"control.rest_least", 200 * ms},
      {"control.rest_most", 5'000 * ms},
      {"control.compare", 60'000 * ms},
      {"control.answer", 1'000 * ms},
      {"control.again", 300 * ms},
      {"control.batch", 20 * ms},
      {"control.grace", 2'000 * ms},
      {"control.patience", 5'000 * ms},
      {"control.put_timeout", 10'000 * ms},
      {"control.forget", 3'600'000 * ms},
      {"control.rate", 5'000.0},   // bytes a second to a server; under its limit of 6 KB with heartbeats
      {"control.burst", 24'000.0}, // what it may receive in the 4 s in which a change takes effect
      {"control.total_rate", 20e6},
      {"control.total_burst", 4e6},
      {"control.most_whole", 1'000.0},
      {"control.most_part", 4'600.0}, // bytes in one message
      {"control.most_batch", 4'600.0},
      {"control.record_overhead", 64.0},
      {"control.most_batches", 48.0}, // in flight: some 700 KB a second at a round trip of 0.3 s to a region
      {"control.most_followers", 8'192.0},
      {"control.most_members", 16'384.0},
      {"control.most_entries", 400'000.0}, // routes, tenants and a margin
      {"control.most_bytes", 128e6},
      {"control.most_key", 200.0},
      {"control.most_value", 4'096.0},
      {"control.most_deleted", 20'000.0},
      {"control.most_puts", 1'024.0},
      {"control.most_log", 4'096.0},
      {"control.most_pending", 1'024.0},
      {"leases.term", 2'000 * ms},
      {"leases.longest_term", 2'000 * ms},
      {"leases.answer", 450 * ms}, // more than a round trip between the farthest regions
      {"leases.drift", 0.01},
      {"leases.most_terms", 0.0},
      {"leases.most", 16.0},
      {"leases.longest_act", 0.0},
      {"leases.first_token", 1.0},
      {"peers.beat", 1'000 * ms},
      {"peers.silent", 3'000 * ms},
      {"peers.rest_least", 100 * ms},
      {"peers.rest_most", 1'500 * ms}, // a region that was partitioned is up to date within 4 s of its return
      {"peers.most_words", 256.0},
      {"peers.most_waiting_bytes", 96.0 * 1024},
      {"peers.by_choice", 1.0},
  };
  if (control) {
    settings["peers.most_beats"] =
        20'000.0; // it has its own machine; heartbeats of control are more frequent anyway
    settings["peers.most_members"] = 16'384.0;
    settings["peers.most_words"] = 512.0;
    settings["peers.most_waiting_bytes"] = 512.0 * 1024; // the batches in flight, and a margin
  }
  return settings;
}

ControlMember::ControlMember(const ClockReadings& at, const peer_codec::Sender& self,
                             const std::vector<MemberId>& controls, const std::set<MemberId>& voters,
                             const Settings& settings, std::uint64_t seed, ControlMemberActions& actions)
    : actions_(actions), self_(self), controls_(controls.begin(), controls.end()), at_(at),
      max_lag_(static_cast<Nanos>(required_number(settings, "control.behind", 1 * ms))),
      voters_(at.late, self.from, voter_list(voters), longest_grant(settings)),
      leases_(at.late, self.from, self.incarnation, voters_, settings, seed, *this),
      replica_(at.early, self.from, self.incarnation, controls_, voters, settings, *this),
      feed_(at.early, replica_.entries(), settings, seed + 1, *this),
      directory_(at.early, self.from, self.incarnation, without(controls, self.from), settings, *this),
      peers_(at.early, self, without(controls, self.from), voters_, settings, seed + 2, *this) {
  for (const MemberId control : controls)
    if (control != self.from) peers_.request_connection(at.early, control, true);
  if (voters.contains(self.from)) leases_.acquire(at.early, writer_lease);
}

// ---- connections

void ControlMember::connected(const ClockReadings& at, MemberId to) {
  peers_.connected((at_ = at).early, to);
}
void ControlMember::written(const ClockReadings& at, MemberId to) { peers_.written((at_ = at).early, to); }
void ControlMember::broken(const ClockReadings& at, MemberId to) { peers_.broken((at_ = at).early, to); }

bool ControlMember::accept_unlisted(const ClockReadings& at, const peer_codec::Sender& sender) {
  at_ = at;
  if (sender.from == self_.from || sender.listen.empty()) return false;
  if (is_control(sender.from)) return true;
  // Bounds the servers that connect, send a hello and follow nothing.
  while (unattached_.size() >= max_unattached ||
         (!unattached_.empty() && !peers_.add(at.early, sender.from))) {
    const MemberId first = unattached_.front();
    unattached_.pop_front();
    if (!attached_.contains(first) && first != sender.from) forget_member(first);
  }
  if (!peers_.add(at.early, sender.from)) return false;
  if (!attached_.contains(sender.from)) unattached_.push_back(sender.from);
  std::string& address = addresses_[sender.from];
  if (address != sender.listen) actions_.listed(sender.from, address = sender.listen);
  return true;
}
void ControlMember::forget_member(MemberId member) {
  attached_.erase(member);
  peers_.remove(at_.early, member);
  if (addresses_.erase(member) > 0) actions_.unlisted(member);
}

bool ControlMember::message(const ClockReadings& at, const peer_codec::Sender& sender,
                            std::string_view payload) {
  at_ = at;
  sender_address_ = sender.listen;
  return peer_codec::decode_message(payload, sender, *this);
}

PutNumber ControlMember::put(const ClockReadings& at, std::string key, std::string value, bool deleted,
                             std::optional<Version> expected) {
  at_ = at;
  return replica_.put(at.early, std::move(key), std::move(value), deleted, expected);
}

// ---- a turn

void ControlMember::turn(const ClockReadings& at) {
  at_ = at;
  for (;;) {
    while (!self_queue_.empty()) {
      const auto action = std::move(self_queue_.front());
      self_queue_.pop_front();
      action();
    }
    leases_.raise_token_counter(at.unix_ms);
    leases_.due(at.early);
    activate_lease();
    replica_.due(at.early);
    update_feed();
    feed_.due(at.early);
    directory_.due(at.early);
    peers_.due(at.early);
    if (self_queue_.empty()) break;
  }
  peers_.flush(at.early);
}
void ControlMember::update_feed() {
  if (replica_.ready() == feed_.is_inactive())
    feed_.is_inactive() ? feed_.activate(at_.early) : feed_.deactivate(at_.early);
  if (replica_.is_writer(at_.early)) feed_.confirm_current(at_.early);
}
Nanos ControlMember::next_wake() const {
  Nanos next = pending_lease_.token == Token{} ? -1 : pending_lease_.from;
  for (const Nanos at : {leases_.next_wake(), replica_.next_wake(), feed_.next_wake(), directory_.next_wake(),
                         peers_.next_wake()})
    if (at >= 0 && (next < 0 || at < next)) next = at;
  return next;
}
void ControlMember::leave(const ClockReadings& at) {
  at_ = at;
  leases_.leave(at.early);
  peers_.leave(at.early);
}

// ---- peers

void ControlMember::peer_state_changed(MemberId member, PeerState before, PeerState now) {
  if (is_control(member)) return actions_.peer_state_changed(member, before, now);
  if (now != PeerState::unresponsive && now != PeerState::left) return;
  defer_to_self([this, member] {
    if (attached_.erase(member) > 0) peers_.request_connection(at_.early, member, false);
  });
}
bool ControlMember::message(MemberId from, Incarnation incarnation, std::uint64_t number, std::uint64_t acked,
                            Incarnation acked_incarnation, bool leaving,
                            const peer_codec::HeartbeatTerms& heartbeat) {
  if (!peers_.received(at_.early, from, incarnation, number, acked, acked_incarnation, leaving, heartbeat))
    return false;
  sender_id_ = from;
  sender_incarnation_ = incarnation;
  if (!is_control(from))
    leaving ? directory_.left(at_.early, from, incarnation)
            : directory_.received(at_.early, from, incarnation);
  return true;
}
void ControlMember::control(MemberId from, Incarnation incarnation, std::string_view bytes) {
  sender_id_ = from;
  sender_incarnation_ = incarnation;
  control_codec::read(bytes, *this);
}
void ControlMember::enqueue(MemberId to, std::string_view key, std::string message) {
  peers_.enqueue(to, Peers::MessageClass::control, key, peer_codec::control(message));
}

// ---- leases

void ControlMember::asked(MemberId from, Incarnation incarnation, Epoch epoch, std::string_view lease,
                          AskNo number, Token token, Nanos term) {
  if (is_control(from)) leases_.asked(at_.late, from, incarnation, epoch, lease, number, token, term);
}
void ControlMember::released(MemberId from, Incarnation incarnation, std::string_view lease, AskNo number) {
  if (is_control(from)) leases_.released(at_.late, from, incarnation, lease, number);
}
void ControlMember::granted(MemberId from, Incarnation to, std::string_view lease, AskNo number,
                            bool wanted) {
  leases_.granted(at_.early, from, to, lease, number, wanted);
}
void ControlMember::refused(MemberId from, Incarnation to, std::string_view lease, AskNo number, Token seen,
                            Nanos left) {
  leases_.refused(at_.early, from, to, lease, number, seen, left);
}
void ControlMember::ask(MemberId voter, Epoch epoch, std::string_view lease, AskNo number, Token token,
                        Nanos term) {
  if (voter != self_.from)
    return void(peers_.enqueue(voter, Peers::MessageClass::request, lease,
                               peer_codec::ask(epoch, lease, number, token, term)));
  defer_to_self([this, epoch, lease = std::string(lease), number, token, term] {
    leases_.asked(at_.late, self_.from, self_.incarnation, epoch, lease, number, token, term);
  });
}
void ControlMember::release(MemberId voter, std::string_view lease, AskNo number) {
  if (voter != self_.from)
    return void(
        peers_.enqueue(voter, Peers::MessageClass::request, lease, peer_codec::release(lease, number)));
  defer_to_self([this, lease = std::string(lease), number] {
    leases_.released(at_.late, self_.from, self_.incarnation, lease, number);
  });
}
void ControlMember::grant(MemberId to, Incarnation incarnation, std::string_view lease, AskNo number,
                          bool wanted) {
  if (to != self_.from)
    return void(peers_.enqueue(to, Peers::MessageClass::response, lease,
                               peer_codec::grant(incarnation, lease, number, wanted)));
  defer_to_self([this, incarnation, lease = std::string(lease), number, wanted] {
    leases_.granted(at_.early, self_.from, incarnation, lease, number, wanted);
  });
}
void ControlMember::refuse(MemberId to, Incarnation incarnation, std::string_view lease, AskNo number,
                           Token seen, Nanos left) {
  if (to != self_.from)
    return void(peers_.enqueue(to, Peers::MessageClass::response, lease,
                               peer_codec::refuse(incarnation, lease, number, seen, left)));
  defer_to_self([this, incarnation, lease = std::string(lease), number, seen, left] {
    leases_.refused(at_.early, self_.from, incarnation, lease, number, seen, left);
  });
}
void ControlMember::held(std::string_view, Token token, Nanos from, Nanos until) {
  pending_lease_ = {token, from, until};
  activate_lease();
}
// A lease may begin later than it is reported; writing before then could overlap with the previous holder.
void ControlMember::activate_lease() {
  if (pending_lease_.token == Token{} || pending_lease_.from > at_.early) return;
  const PendingLease begun = std::exchange(pending_lease_, {});
  replica_.lease_held(at_.early, begun.token, begun.until);
}
void ControlMember::lost(std::string_view, Token token, LossReason) {
  if (pending_lease_.token == token) pending_lease_ = {};
  replica_.lease_lost(at_.early, token);
}

// ---- the replicated log

void ControlMember::prepare(MemberId to, Token token, std::uint32_t round) {
  enqueue(to, "prepare", control_codec::prepare(token, round));
}
void ControlMember::promise(MemberId to, Incarnation incarnation, Token token, std::uint32_t round,
                            const LogStatus& status) {
  enqueue(to, "promise", control_codec::promise(incarnation, token, round, status));
}
void ControlMember::refuse(MemberId to, Incarnation incarnation, Token token, Token seen) {
  enqueue(to, "refuse", control_codec::refuse(incarnation, token, seen));
}
void ControlMember::append(MemberId to, const Append& append) {
  enqueue(to, append.records.empty() ? "append" : numbered("append", append.sequence),
          control_codec::append(append));
}
void ControlMember::appended(MemberId to, Incarnation incarnation, Token token, std::uint64_t sequence,
                             Version matched, bool gap) {
  enqueue(to, "appended", control_codec::appended(incarnation, token, sequence, matched, gap));
}
void ControlMember::fetch(MemberId to, Token token, Version base, Version cursor, Token since) {
  enqueue(to, "fetch", control_codec::fetch(token, base, cursor, since));
}
void ControlMember::chunk(MemberId to, Incarnation incarnation, const Chunk& chunk) {
  enqueue(to, numbered("chunk", chunk.from.number), control_codec::chunk(incarnation, chunk));
}
void ControlMember::pass(MemberId to, Incarnation incarnation, Token token, const ForwardedPut& put) {
  enqueue(to, numbered("pass", put.number.raw), control_codec::pass(incarnation, token, put));
}
void ControlMember::answer(MemberId to, Incarnation incarnation, Token token, PutNumber put, PutOutcome end,
                           Version version, std::string_view reason) {
  enqueue(to, numbered("answer", put.raw),
          control_codec::answer(incarnation, token, put, end, version, reason));
}
void ControlMember::committed(const Record& record) {
  feed_.committed(at_.early, record.entry);
  actions_.committed(record);
}
void ControlMember::replaced() {
  if (!feed_.is_inactive()) feed_.deactivate(at_.early); // the state that it distributed is no longer valid
}
void ControlMember::ended(PutNumber put, PutOutcome end, Version version, std::string_view reason) {
  actions_.ended(put, end, version, reason);
}
void ControlMember::superseded(Token, Token seen) {
  defer_to_self([this, seen] { leases_.refused_by_target(at_.early, writer_lease, seen); });
}
void ControlMember::prepared(Token token, std::uint32_t round) {
  if (is_control(sender_id_)) replica_.prepared(at_.early, sender_id_, sender_incarnation_, token, round);
}
void ControlMember::promised(Incarnation to, Token token, std::uint32_t round, const LogStatus& status) {
  if (is_control(sender_id_))
    replica_.promised(at_.early, sender_id_, sender_incarnation_, to, token, round, status);
}
void ControlMember::refused(Incarnation to, Token token, Token seen) {
  if (is_control(sender_id_)) replica_.refused(at_.early, sender_id_, sender_incarnation_, to, token, seen);
}
void ControlMember::appending(const Append& append) {
  if (!is_control(sender_id_)) return;
  replica_.appending(at_.early, sender_id_, sender_incarnation_, append);
  if (replica_.ready() && replica_.status().last_received_at == at_.early &&
      replica_.committed() >= append.committed)
    feed_.confirm_current(at_.early);
}
void ControlMember::appended(Incarnation to, Token token, std::uint64_t sequence, Version matched, bool gap) {
  if (is_control(sender_id_))
    replica_.appended(at_.early, sender_id_, sender_incarnation_, to, token, sequence, matched, gap);
}
void ControlMember::fetched(Token token, Version base, Version cursor, Token since) {
  if (is_control(sender_id_))
    replica_.fetched(at_.early, sender_id_, sender_incarnation_, token, base, cursor, since);
}
void ControlMember::chunked(Incarnation to, const Chunk& chunk) {
  if (is_control(sender_id_)) replica_.chunked(at_.early, sender_id_, sender_incarnation_, to, chunk);
}
void ControlMember::passed(Incarnation to, Token token, const ForwardedPut& put) {
  if (is_control(sender_id_)) replica_.passed(at_.early, sender_id_, sender_incarnation_, to, token, put);
}
void ControlMember::answered(Incarnation to, Token token, PutNumber put, PutOutcome end, Version version,
                             std::string_view reason) {
  if (is_control(sender_id_))
    replica_.answered(at_.early, sender_id_, sender_incarnation_, to, token, put, end, version, reason);
}

// ---- distribution to servers

void ControlMember::delta(MemberId to, Incarnation incarnation, AttachmentNumber number, Version from,
                          Version upto, Version last, Nanos age, const std::vector<const Entry*>& entries) {
  enqueue(to, "part", control_codec::delta(incarnation, number, from, upto, last, age, entries));
}
void ControlMember::renewal(MemberId to, Incarnation incarnation, AttachmentNumber number, Version at,
                            const std::vector<std::uint16_t>& scopes, Version from, Version upto,
                            Version last, const std::vector<const Entry*>& entries) {
  enqueue(to, "part", control_codec::renewal(incarnation, number, at, scopes, from, upto, last, entries));
}
void ControlMember::beat(MemberId to, Incarnation incarnation, AttachmentNumber number, Version committed,
                         Nanos age) {
  enqueue(to, "beat", control_codec::beat(incarnation, number, committed, age));
}
void ControlMember::rest(MemberId to, Incarnation incarnation, AttachmentNumber number, Nanos delay) {
  enqueue(to, "rest", control_codec::rest(incarnation, number, delay));
}
void ControlMember::elsewhere(MemberId to, Incarnation incarnation, AttachmentNumber number) {
  enqueue(to, "elsewhere", control_codec::elsewhere(incarnation, number));
}
void ControlMember::again(MemberId to, Incarnation incarnation, AttachmentNumber number) {
  enqueue(to, "elsewhere", control_codec::again(incarnation, number));
}
void ControlMember::follow(AttachmentNumber number, bool primary, const Position& at,
                           const std::vector<FollowedScope>& scopes, std::string_view zone) {
  if (is_control(sender_id_)) return;
  if (attached_.insert(sender_id_).second) {
    std::erase(unattached_, sender_id_);
    peers_.request_connection(at_.early, sender_id_, true);
  }
  MemberRecord record;
  record.member = sender_id_;
  record.incarnation = sender_incarnation_;
  record.attachment = number;
  record.address = sender_address_;
  record.zone = std::string(zone);
  record.since = at_.unix_ms;
  directory_.attached(at_.early, record);
  feed_.follow(at_.early, sender_id_, sender_incarnation_, number, primary, at, scopes);
}
void ControlMember::have(AttachmentNumber number, const Position& at) {
  if (!is_control(sender_id_)) feed_.have(at_.early, sender_id_, sender_incarnation_, number, at);
}
void ControlMember::compare(AttachmentNumber number, Version at, const std::vector<std::uint64_t>& digests) {
  if (!is_control(sender_id_)) feed_.compare(at_.early, sender_id_, sender_incarnation_, number, at, digests);
}
void ControlMember::unfollow(AttachmentNumber number) {
  if (is_control(sender_id_)) return;
  feed_.unfollow(at_.early, sender_id_, sender_incarnation_, number);
  directory_.detached(at_.early, sender_id_, sender_incarnation_);
  attached_.erase(sender_id_);
  peers_.request_connection(at_.early, sender_id_, false);
}

// ---- the directory of members

void ControlMember::send_part(MemberId to, PartRevision from, PartRevision upto, PartRevision last,
                              std::uint64_t digest, const std::vector<const MemberRecord*>& records) {
  enqueue(to, "members", control_codec::part(from, upto, last, digest, records));
}
void ControlMember::acknowledge_part(MemberId to, Incarnation owner, PartRevision upto) {
  enqueue(to, "members held", control_codec::part_held(owner, upto));
}
void ControlMember::presence_changed(const MemberRecord& member, Presence before) {
  actions_.presence(member, before);
  if (member.presence == Presence::gone)
    defer_to_self([this, gone = member.member] {
      if (!attached_.contains(gone)) forget_member(gone);
    });
}
void ControlMember::part(PartRevision from, PartRevision upto, PartRevision last, std::uint64_t digest,
                         const std::vector<MemberRecord>& records) {
  if (is_control(sender_id_))
    directory_.part_received(at_.early, sender_id_, sender_incarnation_, from, upto, last, digest, records);
}
void ControlMember::part_held(Incarnation owner, PartRevision upto) {
  if (is_control(sender_id_)) directory_.part_acknowledged(at_.early, sender_id_, owner, upto);
}

} // namespace cometshift
