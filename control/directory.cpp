#include "directory.hpp"

#include <xxhash.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace cometshift {

namespace {

constexpr double ms = 1e6;              // ns
constexpr std::size_t most_text = 128;  // bytes of an address or a zone
constexpr std::size_t most_owners = 64; // control members; a fleet sets aside ten
constexpr std::size_t kept_lives = 4;   // of an owner, whose late words are passed over
constexpr std::size_t gone_part = 4;    // of the members that a part may hold, as many may be told as gone
constexpr Nanos double_silences =
    4; // a life that ended is told as well for one of them, and words may be late
constexpr int answer_doublings = 2;         // of the time for an answer
constexpr std::size_t record_overhead = 48; // bytes of a record beside its texts, at the most

std::size_t bytes_of(const MemberRecord& record) {
  return record.address.size() + record.zone.size() + record_overhead;
}
bool sensible(const MemberRecord& record) {
  return record.address.size() <= most_text && record.zone.size() <= most_text &&
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
                     const Settings& figures, DirectoryActions& orders)
    : actions_(orders), self_(self), incarnation_(incarnation) {
  beat_ = static_cast<Nanos>(required_number(figures, "control.beat", ms));
  silent_ = static_cast<Nanos>(required_number(figures, "control.silent", 2 * static_cast<double>(beat_)));
  forget_ = static_cast<Nanos>(required_number(figures, "control.forget", static_cast<double>(silent_)));
  answer_ = static_cast<Nanos>(required_number(figures, "control.answer", ms));
  most_part_ = static_cast<std::size_t>(
      required_number(figures, "control.most_part", 2 * most_text + static_cast<double>(record_overhead)));
  most_members_ = static_cast<std::size_t>(required_number(figures, "control.most_members", 1));
  if (others.size() > most_owners) throw std::invalid_argument("control: too many control members");
  for (const MemberId other : others)
    if (other != self_) others_[other].next_beat = others_[other].last_received_at = now;
}

std::uint64_t Directory::digest_of(const MemberRecord& record) {
  const std::uint64_t figures[] = {record.member.raw, record.incarnation.raw, record.attached.raw,
                                   record.since, static_cast<std::uint64_t>(record.presence)};
  const std::uint64_t texts = XXH3_64bits_withSeed(record.address.data(), record.address.size(),
                                                   XXH3_64bits(record.zone.data(), record.zone.size()));
  return XXH3_64bits_withSeed(figures, sizeof figures, texts);
}

// ---- of those that follow this control member

// Written into the part under the next number. What is gone is told until it is forgotten, oldest first.
void Directory::change(Nanos now, Mine& mine, Presence presence) {
  MemberRecord& record = mine.record;
  if (record.number.raw != 0) changes_.erase(record.number);
  gone_.erase(record.number);
  record.presence = presence;
  record.number = last_ = PartNo{last_.raw + 1};
  changes_[record.number] = record.member;
  const std::uint64_t digest = presence == Presence::gone ? 0 : digest_of(record);
  digest_ += digest - mine.digest;
  mine.digest = digest;
  if (mine.wake >= 0) wakes_.erase({mine.wake, record.member});
  mine.wake = -1;
  if (presence == Presence::gone)
    gone_.insert(record.number);
  else
    plan(record.member, mine, mine.last_received_at + (presence == Presence::alive ? silent_ : forget_));
  for (auto& [id, other] : others_) other.stale = true;
  look(now, record.member);
  while (gone_.size() > std::max<std::size_t>(1, most_members_ / gone_part)) forget_gone();
}

void Directory::forget_gone() {
  const PartNo oldest = *gone_.begin();
  gone_.erase(gone_.begin());
  floor_ = std::max(floor_, oldest);
  mine_.erase(changes_.at(oldest));
  changes_.erase(oldest);
}

void Directory::plan(MemberId id, Mine& mine, Nanos at) {
  if (mine.wake >= 0) wakes_.erase({mine.wake, id});
  mine.wake = at;
  wakes_.emplace(at, id);
}

bool Directory::attached(Nanos now, const MemberRecord& record) {
  if (!sensible(record)) return ++counts_.invalid, false;
  auto at = mine_.find(record.member);
  if (at == mine_.end()) {
    if (mine_.size() >= most_members_ && !gone_.empty()) forget_gone();
    if (mine_.size() >= most_members_ || !room_for(record.member)) return ++counts_.refused, false;
    at = mine_.emplace(record.member, Mine{}).first;
  } else if (at->second.record.presence != Presence::gone) {
    Mine& mine = at->second;
    if (mine.record.incarnation == record.incarnation) {
      if (record.attached < mine.record.attached) return true; // late
    } else if (mine.record.presence == Presence::alive) {
      mine.before = mine.record.incarnation;
      mine.replaced_at = now;
    }
  }
  Mine& mine = at->second;
  const MemberRecord old = std::exchange(mine.record, record);
  mine.record.number = old.number;
  mine.record.presence = Presence::alive;
  mine.last_received_at = now;
  // A line that is made anew says nothing new to others but its number, which tells lives and lines apart.
  change(now, mine, Presence::alive);
  return true;
}

// A life that was replaced and speaks on is another's.
void Directory::heard(Nanos now, MemberId member, Incarnation of) {
  const auto at = mine_.find(member);
  if (at == mine_.end() || at->second.record.presence == Presence::gone) return;
  Mine& mine = at->second;
  if (of != mine.record.incarnation) {
    if (of == mine.before && now - mine.replaced_at > silent_) tell_doubled(member);
    return;
  }
  mine.last_received_at = now;
  if (mine.record.presence != Presence::alive) change(now, mine, Presence::alive);
}

void Directory::detached(Nanos now, MemberId member, Incarnation of) {
  const auto at = mine_.find(member);
  if (at == mine_.end() || at->second.record.incarnation != of) return;
  if (at->second.record.presence != Presence::gone) change(now, at->second, Presence::gone);
}

void Directory::left(Nanos now, MemberId member, Incarnation of) {
  const auto at = mine_.find(member);
  if (at == mine_.end() || at->second.record.incarnation != of) return;
  const Presence is = at->second.record.presence;
  if (is == Presence::alive || is == Presence::unresponsive) change(now, at->second, Presence::left);
}

void Directory::tell_doubled(MemberId member) {
  if (told_doubled_.size() >= most_members_ || !told_doubled_.insert(member).second) return;
  actions_.duplicate_member(member);
}

// ---- of other control members

void Directory::part(Nanos now, MemberId from, Incarnation of, PartNo since, PartNo upto, PartNo last,
                     std::uint64_t digest, const std::vector<MemberRecord>& records) {
  const auto at = others_.find(from);
  if (at == others_.end()) return void(++counts_.invalid);
  Other& other = at->second;
  if (of != other.of) {
    // Against a late word of a life before; unless it was the one that was taken for the newer by such a
    // word.
    const bool before = std::find(other.lives.begin(), other.lives.end(), of) != other.lives.end();
    if (before && now - other.last_received_at < silent_) return;
    if (other.of != Incarnation{}) other.lives.push_back(other.of);
    if (other.lives.size() > kept_lives) other.lives.pop_front();
    other.of = of;
    begin_anew(other);
  }
  hear(now, other);
  if (upto < since || last < upto) return void(++counts_.invalid);
  for (const MemberRecord& record : records)
    if (!sensible(record) || record.number <= since || record.number > upto) return void(++counts_.invalid);
  if (since == PartNo{} && upto != PartNo{}) begin_anew(other); // what was gone may be forgotten there
  PartNo& here = other.comes ? other.coming_upto : other.upto;
  if (since > here) return actions_.have(from, of, here); // what came between isn't here
  if (upto < here) return actions_.have(from, of, here);
  const bool news = upto > here || !records.empty();
  if (news) {
    counts_.records += records.size();
    for (const MemberRecord& record : records) take(now, from, other, record);
    here = upto;
  }
  if (other.comes && here == last) become_whole(now, from, other);
  // Compared where all is here, unless some had no room.
  if (!other.comes && other.upto == last && !other.lacks && other.digest != digest) {
    ++counts_.begun_anew;
    begin_anew(other);
    return actions_.have(from, of, PartNo{});
  }
  if (news || other.comes) actions_.have(from, of, other.comes ? other.coming_upto : other.upto);
}

// What was told before stays until the part is whole again.
void Directory::begin_anew(Other& other) {
  other.comes = true;
  other.lacks = false;
  other.coming.clear();
  other.upto = other.coming_upto = {};
}

void Directory::take(Nanos now, MemberId from, Other& other, const MemberRecord& record) {
  if (other.comes) {
    if (record.presence == Presence::gone)
      other.coming.erase(record.member);
    else if (other.coming.size() < most_members_)
      other.coming[record.member] = record;
    else
      ++counts_.refused, other.lacks = true;
    return;
  }
  const auto at = other.records.find(record.member);
  if (at != other.records.end()) {
    if (at->second.number >= record.number) return; // came before
    other.digest -= digest_of(at->second);
  }
  if (record.presence == Presence::gone) {
    if (at == other.records.end()) return;
    other.records.erase(at);
    forget_teller(record.member, from);
  } else if (at != other.records.end() || room_for(record.member)) {
    other.digest += digest_of(record);
    other.records[record.member] = record;
    told_by_[record.member].insert(from);
  } else {
    ++counts_.refused;
    other.lacks = true;
    return;
  }
  look(now, record.member);
}

// A part that was told from its beginning takes the place of the one before.
void Directory::become_whole(Nanos now, MemberId from, Other& other) {
  other.comes = false;
  other.upto = other.coming_upto;
  const std::map<MemberId, MemberRecord> before = std::exchange(other.records, {});
  const std::map<MemberId, MemberRecord> coming = std::exchange(other.coming, {});
  other.digest = 0;
  for (const auto& [id, record] : before) forget_teller(id, from);
  for (const auto& [id, record] : coming) take(now, from, other, record);
  for (const auto& [id, record] : before)
    if (!other.records.contains(id)) look(now, id);
}

void Directory::forget_teller(MemberId member, MemberId owner) {
  const auto at = told_by_.find(member);
  if (at == told_by_.end()) return;
  at->second.erase(owner);
  if (at->second.empty()) told_by_.erase(at);
}

bool Directory::room_for(MemberId member) const {
  return view_.contains(member) || view_.size() < most_members_;
}

void Directory::have(Nanos now, MemberId from, Incarnation owner, PartNo upto) {
  const auto at = others_.find(from);
  if (at == others_.end()) return void(++counts_.invalid);
  Other& other = at->second;
  hear(now, other);
  if (owner != incarnation_) return;
  if (upto > last_) return void(++counts_.invalid);
  other.has = upto;
  if (!other.under_way || upto >= other.sent || upto == PartNo{}) {
    other.under_way = false;
    other.repeats = 0;
  }
  other.stale = other.stale || upto < last_;
}

void Directory::hear(Nanos now, Other& other) {
  other.last_received_at = now;
  if (!other.silent) return;
  other.silent = false;
  look_at_all_of(now, other);
}

void Directory::look_at_all_of(Nanos now, const Other& other) {
  std::vector<MemberId> ids;
  for (const auto& [id, record] : other.records) ids.push_back(id);
  for (const MemberId id : ids) look(now, id);
}

// ---- time

// One part is under way to each; it goes again when it isn't answered.
void Directory::say(Nanos now, MemberId to, Other& other) {
  if (other.under_way && now - other.sent_at >= answer_ << std::min(other.repeats, answer_doublings)) {
    other.under_way = false;
    other.stale = true;
    ++other.repeats;
    ++counts_.repeats;
  }
  const bool goes = other.stale && !other.under_way && !other.silent;
  if (!goes && now < other.next_beat) return;
  if (other.has < floor_) other.has = {}; // anew
  PartNo from = other.has;
  PartNo upto = from;
  std::vector<const MemberRecord*> records;
  if (goes) {
    upto = last_;
    std::size_t bytes = 0;
    for (auto at = changes_.upper_bound(from); at != changes_.end(); ++at) {
      ++counts_.visited;
      const MemberRecord& record = mine_.at(at->second).record;
      if (from == PartNo{} && record.presence == Presence::gone) continue;
      bytes += bytes_of(record);
      if (bytes > most_part_ && !records.empty()) {
        upto = records.back()->number;
        break;
      }
      records.push_back(&record);
    }
    other.stale = upto < last_;
    if (upto > from) {
      other.under_way = true;
      other.sent = upto;
      other.sent_at = now;
    }
    counts_.bytes += bytes;
    counts_.records += records.size();
  } else {
    from = upto = std::min(other.has, last_);
  }
  other.next_beat = now + beat_;
  ++counts_.parts;
  counts_.bytes += message_overhead;
  actions_.part(to, from, upto, last_, digest_, records);
}

Nanos Directory::next_wake() const {
  Nanos next = wakes_.empty() ? -1 : wakes_.begin()->first;
  const auto also = [&next](Nanos at) { next = next < 0 ? at : std::min(next, at); };
  for (const auto& [id, other] : others_) {
    also(other.next_beat);
    if (other.stale && !other.under_way && !other.silent) also(other.last_received_at);
    if (other.under_way) also(other.sent_at + (answer_ << std::min(other.repeats, answer_doublings)));
    if (!other.silent) also(other.last_received_at + silent_);
    if (!other.records.empty()) also(other.last_received_at + forget_);
  }
  for (const auto& [id, seen] : double_since_) also(seen.since + double_silences * silent_);
  return next;
}

void Directory::due(Nanos now) {
  while (!wakes_.empty() && wakes_.begin()->first <= now) {
    const MemberId id = wakes_.begin()->second;
    wakes_.erase(wakes_.begin());
    Mine& mine = mine_.at(id);
    mine.wake = -1;
    ++counts_.visited;
    const bool well = mine.record.presence == Presence::alive;
    const Nanos at = mine.last_received_at + (well ? silent_ : forget_);
    if (at > now)
      plan(id, mine, at); // it was heard since
    else
      change(now, mine, well ? Presence::unresponsive : Presence::gone);
  }
  for (auto& [id, other] : others_) {
    if (!other.silent && now - other.last_received_at >= silent_) {
      other.silent = true;
      look_at_all_of(now, other);
    }
    if (!other.records.empty() && now - other.last_received_at >= forget_) {
      const std::map<MemberId, MemberRecord> before = std::exchange(other.records, {});
      other.digest = 0;
      begin_anew(other);
      for (const auto& [member, record] : before) forget_teller(member, id);
      for (const auto& [member, record] : before) look(now, member);
    }
    say(now, id, other);
  }
  std::vector<MemberId> doubles;
  for (const auto& [id, seen] : double_since_)
    if (now - seen.since >= double_silences * silent_) doubles.push_back(id);
  for (const MemberId id : doubles) {
    double_since_.erase(id);
    tell_doubled(id);
  }
}

// ---- the view

// Of all that is told of a member: well before the others, then the newest attachment.
void Directory::look(Nanos now, MemberId member) {
  ++counts_.visited;
  const MemberRecord* best = nullptr;
  Presence presence = Presence::gone;
  std::set<Incarnation> well;
  const auto weigh = [&](const MemberRecord& record, bool unheard, bool old) {
    const Presence told =
        unheard && record.presence == Presence::alive ? Presence::unresponsive : record.presence;
    if (told == Presence::alive && !old) well.insert(record.incarnation);
    const auto rank = [](Presence p, const MemberRecord& r) {
      return std::make_pair(p == Presence::alive, r.attached);
    };
    if (best && rank(told, record) <= rank(presence, *best)) return;
    best = &record;
    presence = told;
  };
  if (const auto at = mine_.find(member); at != mine_.end() && at->second.record.presence != Presence::gone)
    weigh(at->second.record, false, false);
  if (const auto tellers = told_by_.find(member); tellers != told_by_.end())
    for (const MemberId owner : tellers->second) {
      const Other& other = others_.at(owner);
      weigh(other.records.at(member), other.silent, other.comes);
    }
  if (well.size() < 2)
    double_since_.erase(member);
  else if (Double& seen = double_since_[member]; seen.lives != well)
    seen = {now, well}; // against a member that starts anew again and again
  const auto at = view_.find(member);
  const Presence before = at == view_.end() ? Presence::gone : at->second.presence;
  if (at != view_.end()) count(at->second, -1);
  if (!best) {
    told_doubled_.erase(member);
    if (at == view_.end()) return;
    MemberRecord last = at->second;
    view_.erase(at);
    last.presence = Presence::gone;
    return actions_.news(last, before);
  }
  MemberRecord& seen = view_[member];
  const Incarnation life = seen.incarnation;
  seen = *best;
  seen.presence = presence;
  count(seen, 1);
  if (before != presence || life != seen.incarnation) actions_.news(seen, before);
}

void Directory::count(const MemberRecord& record, int by) {
  const auto at = zones_.try_emplace(record.zone).first;
  Zone& zone = at->second;
  std::size_t& one = record.presence == Presence::alive  ? zone.well
                     : record.presence == Presence::left ? zone.left
                                                         : zone.silent;
  one += static_cast<std::size_t>(by);
  if (zone == Zone{}) zones_.erase(at);
}

const MemberRecord* Directory::find(MemberId member) const {
  const auto at = view_.find(member);
  return at == view_.end() ? nullptr : &at->second;
}

void Directory::list(MemberId after, const std::function<bool(const MemberRecord&)>& each) const {
  for (auto at = view_.upper_bound(after); at != view_.end(); ++at)
    if (!each(at->second)) return;
}

} // namespace cometshift
