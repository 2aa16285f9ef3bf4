#include "directory.hpp"

#include <xxhash.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace cometshift {

namespace {

constexpr double ms = 1e6;                      // ns
constexpr std::size_t max_text_bytes = 128;     // of an address or a zone
constexpr std::size_t max_control_members = 64; // a fleet reserves ten
// Previous incarnations of an owner, whose late messages are ignored.
constexpr std::size_t max_previous_incarnations = 4;
// One in this many members of a part may be kept as gone.
constexpr std::size_t gone_fraction = 4;
// In units of control.silent: two incarnations that are both reported as alive for this long are duplicates.
// An incarnation that ended is reported as alive for one such timeout, and messages may be late.
constexpr Nanos duplicate_timeouts = 4;
constexpr int max_backoff_doublings = 2;    // of the retransmit timeout
constexpr std::size_t record_overhead = 48; // upper bound for the bytes of a record without its texts

std::size_t bytes_of(const MemberRecord& record) {
  return record.address.size() + record.zone.size() + record_overhead;
}
bool is_valid(const MemberRecord& record) {
  return record.address.size() <= max_text_bytes && record.zone.size() <= max_text_bytes &&
         record.presence <= Presence::gone;
}

} // namespace

std::string_view to_text(Presence presence) {
  switch (presence) {
  case Presence::alive:
    return "well";
  case Presence::unresponsive:
    return "silent";
  case Presence::left:
    return "left";
  case Presence::gone:
    return "gone";
  }
  return "?";
}

Directory::Directory(Nanos now, MemberId self, Incarnation incarnation, const std::vector<MemberId>& others,
                     const Settings& settings, DirectoryActions& actions)
    : actions_(actions), self_(self), incarnation_(incarnation) {
  heartbeat_interval_ = static_cast<Nanos>(required_number(settings, "control.beat", ms));
  unresponsive_timeout_ = static_cast<Nanos>(
      required_number(settings, "control.silent", 2 * static_cast<double>(heartbeat_interval_)));
  forget_timeout_ = static_cast<Nanos>(
      required_number(settings, "control.forget", static_cast<double>(unresponsive_timeout_)));
  retransmit_timeout_ = static_cast<Nanos>(required_number(settings, "control.answer", ms));
  max_part_bytes_ = static_cast<std::size_t>(required_number(
      settings, "control.most_part", 2 * max_text_bytes + static_cast<double>(record_overhead)));
  max_members_ = static_cast<std::size_t>(required_number(settings, "control.most_members", 1));
  if (others.size() > max_control_members) throw std::invalid_argument("control: too many control members");
  for (const MemberId remote : others)
    if (remote != self_) remotes_[remote].next_heartbeat_at = remotes_[remote].last_received_at = now;
}

std::uint64_t Directory::digest_of(const MemberRecord& record) {
  const std::uint64_t numbers[] = {record.member.raw, record.incarnation.raw, record.attachment.raw,
                                   record.since, static_cast<std::uint64_t>(record.presence)};
  const std::uint64_t text_hash = XXH3_64bits_withSeed(record.address.data(), record.address.size(),
                                                       XXH3_64bits(record.zone.data(), record.zone.size()));
  return XXH3_64bits_withSeed(numbers, sizeof numbers, text_hash);
}

// ---- members that follow this control member

// Enters the change into the part with the next revision. Removals are replicated until they are dropped,
// oldest first.
void Directory::set_presence(Nanos now, LocalMember& local, Presence presence) {
  MemberRecord& record = local.record;
  if (record.revision.raw != 0) changes_.erase(record.revision);
  gone_.erase(record.revision);
  record.presence = presence;
  record.revision = last_revision_ = PartRevision{last_revision_.raw + 1};
  changes_[record.revision] = record.member;
  const std::uint64_t digest = presence == Presence::gone ? 0 : digest_of(record);
  digest_ += digest - local.digest;
  local.digest = digest;
  if (local.wake >= 0) wakes_.erase({local.wake, record.member});
  local.wake = -1;
  if (presence == Presence::gone)
    gone_.insert(record.revision);
  else
    schedule(record.member, local,
             local.last_received_at +
                 (presence == Presence::alive ? unresponsive_timeout_ : forget_timeout_));
  for (auto& [id, remote] : remotes_) remote.out_of_date = true;
  refresh(now, record.member);
  while (gone_.size() > std::max<std::size_t>(1, max_members_ / gone_fraction)) drop_oldest_gone();
}

void Directory::drop_oldest_gone() {
  const PartRevision oldest = *gone_.begin();
  gone_.erase(gone_.begin());
  floor_revision_ = std::max(floor_revision_, oldest);
  local_members_.erase(changes_.at(oldest));
  changes_.erase(oldest);
}

void Directory::schedule(MemberId id, LocalMember& local, Nanos at) {
  if (local.wake >= 0) wakes_.erase({local.wake, id});
  local.wake = at;
  wakes_.emplace(at, id);
}

bool Directory::attached(Nanos now, const MemberRecord& record) {
  if (!is_valid(record)) return ++counts_.invalid, false;
  auto at = local_members_.find(record.member);
  if (at == local_members_.end()) {
    if (local_members_.size() >= max_members_ && !gone_.empty()) drop_oldest_gone();
    if (local_members_.size() >= max_members_ || !has_room_for(record.member))
      return ++counts_.refused, false;
    at = local_members_.emplace(record.member, LocalMember{}).first;
  } else if (at->second.record.presence != Presence::gone) {
    LocalMember& local = at->second;
    if (local.record.incarnation == record.incarnation) {
      if (record.attachment < local.record.attachment) return true; // a late message
    } else if (local.record.presence == Presence::alive) {
      local.previous_incarnation = local.record.incarnation;
      local.replaced_at = now;
    }
  }
  LocalMember& local = at->second;
  const MemberRecord old = std::exchange(local.record, record);
  local.record.revision = old.revision;
  local.record.presence = Presence::alive;
  local.last_received_at = now;
  // Of a reattachment the others learn only the attachment number, which tells incarnations and attachments
  // apart.
  set_presence(now, local, Presence::alive);
  return true;
}

// Messages of an incarnation long after it was replaced come from another member with the same number.
void Directory::received(Nanos now, MemberId member, Incarnation incarnation) {
  const auto at = local_members_.find(member);
  if (at == local_members_.end() || at->second.record.presence == Presence::gone) return;
  LocalMember& local = at->second;
  if (incarnation != local.record.incarnation) {
    if (incarnation == local.previous_incarnation && now - local.replaced_at > unresponsive_timeout_)
      report_duplicate(member);
    return;
  }
  local.last_received_at = now;
  if (local.record.presence != Presence::alive) set_presence(now, local, Presence::alive);
}

void Directory::detached(Nanos now, MemberId member, Incarnation incarnation) {
  const auto at = local_members_.find(member);
  if (at == local_members_.end() || at->second.record.incarnation != incarnation) return;
  if (at->second.record.presence != Presence::gone) set_presence(now, at->second, Presence::gone);
}

void Directory::left(Nanos now, MemberId member, Incarnation incarnation) {
  const auto at = local_members_.find(member);
  if (at == local_members_.end() || at->second.record.incarnation != incarnation) return;
  const Presence presence = at->second.record.presence;
  if (presence == Presence::alive || presence == Presence::unresponsive)
    set_presence(now, at->second, Presence::left);
}

void Directory::report_duplicate(MemberId member) {
  if (reported_duplicates_.size() >= max_members_ || !reported_duplicates_.insert(member).second) return;
  actions_.duplicate_member(member);
}

// ---- messages of other control members

void Directory::part_received(Nanos now, MemberId from, Incarnation incarnation, PartRevision since,
                              PartRevision upto, PartRevision last, std::uint64_t digest,
                              const std::vector<MemberRecord>& records) {
  const auto at = remotes_.find(from);
  if (at == remotes_.end()) return void(++counts_.invalid);
  RemotePart& remote = at->second;
  if (incarnation != remote.incarnation) {
    // Messages of a previous incarnation are late ones and are ignored. If a late message made an old
    // incarnation the current one, that one sends nothing more, and the real one is accepted after the
    // unresponsive timeout.
    const bool superseded =
        std::find(remote.previous_incarnations.begin(), remote.previous_incarnations.end(), incarnation) !=
        remote.previous_incarnations.end();
    if (superseded && now - remote.last_received_at < unresponsive_timeout_) return;
    if (remote.incarnation != Incarnation{}) remote.previous_incarnations.push_back(remote.incarnation);
    if (remote.previous_incarnations.size() > max_previous_incarnations)
      remote.previous_incarnations.pop_front();
    remote.incarnation = incarnation;
    restart_sync(remote);
  }
  mark_received(now, remote);
  if (upto < since || last < upto) return void(++counts_.invalid);
  for (const MemberRecord& record : records)
    if (!is_valid(record) || record.revision <= since || record.revision > upto)
      return void(++counts_.invalid);
  if (since == PartRevision{} && upto != PartRevision{})
    restart_sync(remote); // its owner may have dropped removals
  PartRevision& held_upto = remote.syncing ? remote.sync_upto : remote.upto;
  if (since > held_upto) return actions_.acknowledge_part(from, incarnation, held_upto); // a gap
  if (upto < held_upto) return actions_.acknowledge_part(from, incarnation, held_upto);
  const bool has_changes = upto > held_upto || !records.empty();
  if (has_changes) {
    counts_.records += records.size();
    for (const MemberRecord& record : records) apply(now, from, remote, record);
    held_upto = upto;
  }
  if (remote.syncing && held_upto == last) finish_sync(now, from, remote);
  // The digests are compared when all changes were received, unless some records had no room.
  if (!remote.syncing && remote.upto == last && !remote.incomplete && remote.digest != digest) {
    ++counts_.restarts;
    restart_sync(remote);
    return actions_.acknowledge_part(from, incarnation, PartRevision{});
  }
  if (has_changes || remote.syncing)
    actions_.acknowledge_part(from, incarnation, remote.syncing ? remote.sync_upto : remote.upto);
}

// The previous records stay in use until the new copy is complete.
void Directory::restart_sync(RemotePart& remote) {
  remote.syncing = true;
  remote.incomplete = false;
  remote.sync_records.clear();
  remote.upto = remote.sync_upto = {};
}

void Directory::apply(Nanos now, MemberId from, RemotePart& remote, const MemberRecord& record) {
  if (remote.syncing) {
    if (record.presence == Presence::gone)
      remote.sync_records.erase(record.member);
    else if (remote.sync_records.size() < max_members_)
      remote.sync_records[record.member] = record;
    else
      ++counts_.refused, remote.incomplete = true;
    return;
  }
  const auto at = remote.records.find(record.member);
  if (at != remote.records.end()) {
    if (at->second.revision >= record.revision) return; // already received
    remote.digest -= digest_of(at->second);
  }
  if (record.presence == Presence::gone) {
    if (at == remote.records.end()) return;
    remote.records.erase(at);
    remove_source(record.member, from);
  } else if (at != remote.records.end() || has_room_for(record.member)) {
    remote.digest += digest_of(record);
    remote.records[record.member] = record;
    sources_[record.member].insert(from);
  } else {
    ++counts_.refused;
    remote.incomplete = true;
    return;
  }
  refresh(now, record.member);
}

// The new copy of the part replaces the previous one.
void Directory::finish_sync(Nanos now, MemberId from, RemotePart& remote) {
  remote.syncing = false;
  remote.upto = remote.sync_upto;
  const std::map<MemberId, MemberRecord> before = std::exchange(remote.records, {});
  const std::map<MemberId, MemberRecord> sync_records = std::exchange(remote.sync_records, {});
  remote.digest = 0;
  for (const auto& [id, record] : before) remove_source(id, from);
  for (const auto& [id, record] : sync_records) apply(now, from, remote, record);
  for (const auto& [id, record] : before)
    if (!remote.records.contains(id)) refresh(now, id);
}

void Directory::remove_source(MemberId member, MemberId owner) {
  const auto at = sources_.find(member);
  if (at == sources_.end()) return;
  at->second.erase(owner);
  if (at->second.empty()) sources_.erase(at);
}

bool Directory::has_room_for(MemberId member) const {
  return view_.contains(member) || view_.size() < max_members_;
}

void Directory::part_acknowledged(Nanos now, MemberId from, Incarnation owner, PartRevision upto) {
  const auto at = remotes_.find(from);
  if (at == remotes_.end()) return void(++counts_.invalid);
  RemotePart& remote = at->second;
  mark_received(now, remote);
  if (owner != incarnation_) return;
  if (upto > last_revision_) return void(++counts_.invalid);
  remote.acked = upto;
  if (!remote.in_flight || upto >= remote.sent_upto || upto == PartRevision{}) {
    remote.in_flight = false;
    remote.retries = 0;
  }
  remote.out_of_date = remote.out_of_date || upto < last_revision_;
}

void Directory::mark_received(Nanos now, RemotePart& remote) {
  remote.last_received_at = now;
  if (!remote.unresponsive) return;
  remote.unresponsive = false;
  refresh_all_of(now, remote);
}

void Directory::refresh_all_of(Nanos now, const RemotePart& remote) {
  std::vector<MemberId> ids;
  for (const auto& [id, record] : remote.records) ids.push_back(id);
  for (const MemberId id : ids) refresh(now, id);
}

// ---- time

// One message with changes is in flight to each control member; unacknowledged changes are sent again.
void Directory::send_part(Nanos now, MemberId to, RemotePart& remote) {
  if (remote.in_flight && now - remote.sent_at >= retransmit_timeout_
                                                      << std::min(remote.retries, max_backoff_doublings)) {
    remote.in_flight = false;
    remote.out_of_date = true;
    ++remote.retries;
    ++counts_.retries;
  }
  const bool sends_records = remote.out_of_date && !remote.in_flight && !remote.unresponsive;
  if (!sends_records && now < remote.next_heartbeat_at) return;
  if (remote.acked < floor_revision_) remote.acked = {}; // from the beginning
  PartRevision from = remote.acked;
  PartRevision upto = from;
  std::vector<const MemberRecord*> records;
  if (sends_records) {
    upto = last_revision_;
    std::size_t bytes = 0;
    for (auto at = changes_.upper_bound(from); at != changes_.end(); ++at) {
      ++counts_.visited;
      const MemberRecord& record = local_members_.at(at->second).record;
      if (from == PartRevision{} && record.presence == Presence::gone) continue;
      bytes += bytes_of(record);
      if (bytes > max_part_bytes_ && !records.empty()) {
        upto = records.back()->revision;
        break;
      }
      records.push_back(&record);
    }
    remote.out_of_date = upto < last_revision_;
    if (upto > from) {
      remote.in_flight = true;
      remote.sent_upto = upto;
      remote.sent_at = now;
    }
    counts_.bytes += bytes;
    counts_.records += records.size();
  } else {
    from = upto = std::min(remote.acked, last_revision_);
  }
  remote.next_heartbeat_at = now + heartbeat_interval_;
  ++counts_.parts;
  counts_.bytes += message_overhead;
  actions_.send_part(to, from, upto, last_revision_, digest_, records);
}

Nanos Directory::next_wake() const {
  Nanos next = wakes_.empty() ? -1 : wakes_.begin()->first;
  const auto also = [&next](Nanos at) { next = next < 0 ? at : std::min(next, at); };
  for (const auto& [id, remote] : remotes_) {
    also(remote.next_heartbeat_at);
    if (remote.out_of_date && !remote.in_flight && !remote.unresponsive) also(remote.last_received_at);
    if (remote.in_flight)
      also(remote.sent_at + (retransmit_timeout_ << std::min(remote.retries, max_backoff_doublings)));
    if (!remote.unresponsive) also(remote.last_received_at + unresponsive_timeout_);
    if (!remote.records.empty()) also(remote.last_received_at + forget_timeout_);
  }
  for (const auto& [id, seen] : duplicate_since_)
    also(seen.since + duplicate_timeouts * unresponsive_timeout_);
  return next;
}

void Directory::due(Nanos now) {
  while (!wakes_.empty() && wakes_.begin()->first <= now) {
    const MemberId id = wakes_.begin()->second;
    wakes_.erase(wakes_.begin());
    LocalMember& local = local_members_.at(id);
    local.wake = -1;
    ++counts_.visited;
    const bool alive = local.record.presence == Presence::alive;
    const Nanos at = local.last_received_at + (alive ? unresponsive_timeout_ : forget_timeout_);
    if (at > now)
      schedule(id, local, at); // messages arrived since
    else
      set_presence(now, local, alive ? Presence::unresponsive : Presence::gone);
  }
  for (auto& [id, remote] : remotes_) {
    if (!remote.unresponsive && now - remote.last_received_at >= unresponsive_timeout_) {
      remote.unresponsive = true;
      refresh_all_of(now, remote);
    }
    if (!remote.records.empty() && now - remote.last_received_at >= forget_timeout_) {
      const std::map<MemberId, MemberRecord> before = std::exchange(remote.records, {});
      remote.digest = 0;
      restart_sync(remote);
      for (const auto& [member, record] : before) remove_source(member, id);
      for (const auto& [member, record] : before) refresh(now, member);
    }
    send_part(now, id, remote);
  }
  std::vector<MemberId> duplicates;
  for (const auto& [id, seen] : duplicate_since_)
    if (now - seen.since >= duplicate_timeouts * unresponsive_timeout_) duplicates.push_back(id);
  for (const MemberId id : duplicates) {
    duplicate_since_.erase(id);
    report_duplicate(id);
  }
}

// ---- the view

// Of all records of a member, alive ones take precedence, then the newest attachment.
void Directory::refresh(Nanos now, MemberId member) {
  ++counts_.visited;
  const MemberRecord* best = nullptr;
  Presence presence = Presence::gone;
  std::set<Incarnation> alive;
  const auto consider = [&](const MemberRecord& record, bool owner_unresponsive, bool outdated) {
    const Presence effective =
        owner_unresponsive && record.presence == Presence::alive ? Presence::unresponsive : record.presence;
    if (effective == Presence::alive && !outdated) alive.insert(record.incarnation);
    const auto rank = [](Presence p, const MemberRecord& r) {
      return std::make_pair(p == Presence::alive, r.attachment);
    };
    if (best && rank(effective, record) <= rank(presence, *best)) return;
    best = &record;
    presence = effective;
  };
  if (const auto at = local_members_.find(member);
      at != local_members_.end() && at->second.record.presence != Presence::gone)
    consider(at->second.record, false, false);
  if (const auto sources = sources_.find(member); sources != sources_.end())
    for (const MemberId owner : sources->second) {
      const RemotePart& remote = remotes_.at(owner);
      consider(remote.records.at(member), remote.unresponsive, remote.syncing);
    }
  if (alive.size() < 2)
    duplicate_since_.erase(member);
  else if (DuplicateSighting& seen = duplicate_since_[member]; seen.incarnations != alive)
    seen = {now, alive}; // a member that restarts again and again is not a duplicate
  const auto at = view_.find(member);
  const Presence before = at == view_.end() ? Presence::gone : at->second.presence;
  if (at != view_.end()) add_to_zone(at->second, -1);
  if (!best) {
    reported_duplicates_.erase(member);
    if (at == view_.end()) return;
    MemberRecord last = at->second;
    view_.erase(at);
    last.presence = Presence::gone;
    return actions_.presence_changed(last, before);
  }
  MemberRecord& seen = view_[member];
  const Incarnation incarnation_before = seen.incarnation;
  seen = *best;
  seen.presence = presence;
  add_to_zone(seen, 1);
  if (before != presence || incarnation_before != seen.incarnation) actions_.presence_changed(seen, before);
}

void Directory::add_to_zone(const MemberRecord& record, int delta) {
  const auto at = zones_.try_emplace(record.zone).first;
  Zone& zone = at->second;
  std::size_t& counter = record.presence == Presence::alive  ? zone.well
                         : record.presence == Presence::left ? zone.left
                                                             : zone.silent;
  counter += static_cast<std::size_t>(delta);
  if (zone == Zone{}) zones_.erase(at);
}

const MemberRecord* Directory::find(MemberId member) const {
  const auto at = view_.find(member);
  return at == view_.end() ? nullptr : &at->second;
}

void Directory::list(MemberId after, const std::function<bool(const MemberRecord&)>& visit) const {
  for (auto at = view_.upper_bound(after); at != view_.end(); ++at)
    if (!visit(at->second)) return;
}

} // namespace cometshift
