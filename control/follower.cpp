#include "follower.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <tuple>
#include <utility>

namespace cometshift {

namespace {

constexpr double ms = 1e6;                      // ns
constexpr std::size_t max_control_members = 64; // listed in the operator file; a fleet has ten
constexpr int max_backoff_doublings = 16;
// Digests are first sent at a random time after the attachment, up to this many heartbeats after the first
// one.
constexpr double first_compare_beats = 4;
constexpr Nanos max_rest_honored = 60'000'000'000; // ns; limits a longer wait that a control member announces

std::string_view invalid_scopes_reason(const std::vector<std::string>& scopes) {
  std::size_t bytes = 0;
  std::set<std::string_view> seen;
  for (const std::string& one : scopes) {
    bytes += one.size();
    if (one.empty()) return "a scope has no name";
    if (!seen.insert(one).second) return "a scope is listed twice";
  }
  if (scopes.empty()) return "no scope is listed";
  if (scopes.size() > max_scopes || bytes > max_scope_bytes)
    return "too many scopes, or their names are too long together";
  return {};
}

} // namespace

std::string_view to_text(LeaveReason reason) {
  switch (reason) {
  case LeaveReason::unresponsive:
    return "silent";
  case LeaveReason::no_state:
    return "has no state";
  case LeaveReason::stale:
    return "sends nothing while another member is ahead";
  case LeaveReason::disconnected:
    return "connection lost";
  case LeaveReason::closer_member:
    return "a closer member is available";
  case LeaveReason::invalid:
    return "its data is invalid or exceeds the limits";
  }
  return "?";
}

Follower::Follower(Nanos now, Incarnation self, const Location& place, const std::vector<Control>& controls,
                   std::vector<std::string> scopes, const Settings& settings, std::uint64_t seed,
                   FollowerActions& actions)
    : actions_(actions), self_(self), random_(seed), settings_(settings), scopes_(std::move(scopes)),
      state_(std::make_unique<Entries>(settings)), progress_at_(now), now_(now) {
  beat_interval_ = static_cast<Nanos>(required_number(settings, "control.beat", ms));
  silence_timeout_ = static_cast<Nanos>(
      required_number(settings, "control.silent", 2 * static_cast<double>(beat_interval_)));
  stale_timeout_ =
      static_cast<Nanos>(required_number(settings, "control.behind", static_cast<double>(beat_interval_)));
  settle_time_ =
      static_cast<Nanos>(required_number(settings, "control.settle", static_cast<double>(beat_interval_)));
  min_backoff_ = static_cast<Nanos>(required_number(settings, "control.rest_least", ms));
  max_backoff_ =
      static_cast<Nanos>(required_number(settings, "control.rest_most", static_cast<double>(min_backoff_)));
  compare_interval_ =
      static_cast<Nanos>(required_number(settings, "control.compare", static_cast<double>(beat_interval_)));
  max_entries_ = static_cast<std::size_t>(required_number(settings, "control.most_entries", 1));
  max_bytes_ = static_cast<std::size_t>(required_number(settings, "control.most_bytes", 1));
  last_number_ = static_cast<std::uint64_t>(number(settings, "control.first_number", 0));
  if (const std::string_view reason = invalid_scopes_reason(scopes_); !reason.empty())
    throw std::invalid_argument("control: " + std::string(reason));
  if (controls.empty() || controls.size() > max_control_members)
    throw std::invalid_argument("control: the list of control members is empty or has more than 64 members");
  std::set<MemberId> seen;
  for (const Control& one : controls) {
    if (!seen.insert(one.member).second)
      throw std::invalid_argument("control: member " + std::to_string(one.member.raw) + " is listed twice");
    Member member;
    member.id = one.member;
    member.distance = one.region != place.region ? 2 : one.zone != place.zone ? 1 : 0;
    member.tie_break = random_.next();
    members_.push_back(member);
  }
  std::sort(members_.begin(), members_.end(), [](const Member& a, const Member& b) {
    return std::tie(a.distance, a.tie_break, a.id) < std::tie(b.distance, b.tie_break, b.id);
  });
}

// ---- attachments

Follower::Member* Follower::primary() {
  const auto at = std::find_if(members_.begin(), members_.end(),
                               [](const Member& one) { return one.attached && one.primary; });
  return at == members_.end() ? nullptr : &*at;
}
Follower::Member* Follower::secondary() {
  const auto at = std::find_if(members_.begin(), members_.end(),
                               [](const Member& one) { return one.attached && !one.primary; });
  return at == members_.end() ? nullptr : &*at;
}

void Follower::attach(Nanos now, Member& member, bool as_primary) {
  if (!member.attached) {
    member.responded = false;
    member.attached_at = member.last_received_at = now;
    member.settle_time = static_cast<Nanos>(static_cast<double>(settle_time_) * (1 + random_.unit()));
    member.ahead_since = -1;
    member.committed = {};
  }
  member.attached = true;
  member.primary = as_primary;
  member.number = AttachmentNumber{++last_number_};
  member.next_have_at = now + beat_interval_;
  if (as_primary) {
    discard_stage();
    progress_at_ = now;
    next_compare_at_ = now + static_cast<Nanos>(static_cast<double>(beat_interval_) *
                                                (1 + first_compare_beats * random_.unit()));
  }
  actions_.follow(member.id, member.number, as_primary, position_, followed_scopes());
}

// The backoff grows until the member has been healthy for control.settle (see `due`), which prevents
// flapping.
void Follower::detach(Nanos now, Member& member, LeaveReason reason) {
  actions_.unfollow(member.id, member.number);
  member.attached = member.primary = false;
  const double rest = std::min(static_cast<double>(min_backoff_) * std::exp2(member.failures),
                               static_cast<double>(max_backoff_));
  member.retry_at = now + static_cast<Nanos>(rest * (0.5 + random_.unit()));
  member.failures = std::min(member.failures + 1, max_backoff_doublings);
  ++counts_.moves;
  actions_.left(member.id, reason);
}

// The first in order of preference that is neither attached nor in backoff.
Follower::Member* Follower::best_candidate(Nanos now) {
  const auto at = std::find_if(members_.begin(), members_.end(),
                               [now](const Member& one) { return !one.attached && one.retry_at <= now; });
  return at == members_.end() ? nullptr : &*at;
}

void Follower::choose_members(Nanos now) {
  if (!primary()) {
    if (Member* const other = secondary())
      attach(now, *other, true);
    else if (Member* const best = best_candidate(now))
      attach(now, *best, true);
  }
  if (!secondary()) {
    if (Member* const best = best_candidate(now)) attach(now, *best, false);
    return;
  }
  Member* const first = primary();
  Member* second = secondary();
  // A closer member may be retried: it is attached as the secondary while the primary keeps sending.
  if (Member* const best = best_candidate(now);
      best && first->responded && second->responded && best->distance < second->distance) {
    actions_.unfollow(second->id, second->number);
    second->attached = false;
    second = best;
    attach(now, *second, false);
  }
  if (second->distance < first->distance && second->responded &&
      now - second->healthy_since >= second->settle_time && second->committed >= position_.taken) {
    actions_.left(first->id, LeaveReason::closer_member);
    ++counts_.moves;
    attach(now, *first, false);
    attach(now, *second, true);
  }
}

Follower::Member* Follower::match_attachment(Nanos now, MemberId from, Incarnation to_incarnation,
                                             AttachmentNumber number) {
  const auto at =
      std::find_if(members_.begin(), members_.end(), [from](const Member& one) { return one.id == from; });
  if (at == members_.end() || to_incarnation != self_ || !at->attached || at->number != number)
    return ++counts_.misaddressed, nullptr;
  at->last_received_at = now;
  if (!at->responded) {
    at->responded = true;
    at->healthy_since = now;
  }
  return &*at;
}

// Notes the version that a control member reports. A member that is behind this server cannot confirm that
// the state here is current.
void Follower::record_committed(Nanos now, Member& member, Version committed, Nanos age) {
  member.committed = committed;
  if (committed > position_.taken) {
    if (member.ahead_since < 0) member.ahead_since = now;
    return;
  }
  member.ahead_since = -1;
  const bool all = position_.staged == position_.taken &&
                   (complete_scopes_.size() == scopes_.size() || position_.taken == Version{});
  if (committed == position_.taken && age >= 0 && all) confirmed_at_ = std::max(confirmed_at_, now - age);
}

void Follower::send_have(Nanos now, Member& member) {
  member.next_have_at = now + beat_interval_;
  actions_.have(member.id, member.number, position_);
}

void Follower::beat(Nanos now, MemberId from, Incarnation to_incarnation, AttachmentNumber number,
                    Version committed, Nanos age) {
  if (Member* const member = match_attachment(now, from, to_incarnation, number))
    record_committed(now, *member, committed, age);
}

void Follower::rest(Nanos now, MemberId from, Incarnation to_incarnation, AttachmentNumber number,
                    Nanos rest) {
  Member* const member = match_attachment(now, from, to_incarnation, number);
  if (!member || !member->primary) return;
  if (rest < 0) return void(++counts_.invalid);
  // The renewal is only delayed, so the primary does not count as stale, up to a limit.
  progress_at_ = std::max(progress_at_, now + std::min(rest, max_rest_honored));
}

void Follower::elsewhere(Nanos now, MemberId from, Incarnation to_incarnation, AttachmentNumber number) {
  if (Member* const member = match_attachment(now, from, to_incarnation, number)) {
    detach(now, *member, LeaveReason::no_state);
    choose_members(now);
  }
}

void Follower::again(Nanos now, MemberId from, Incarnation to_incarnation, AttachmentNumber number) {
  if (Member* const member = match_attachment(now, from, to_incarnation, number))
    attach(now, *member, member->primary);
}

void Follower::disconnected(Nanos now, MemberId control) {
  const auto at = std::find_if(members_.begin(), members_.end(),
                               [control](const Member& one) { return one.id == control && one.attached; });
  if (at == members_.end()) return;
  detach(now, *at, LeaveReason::disconnected);
  choose_members(now);
}

// ---- received entries

bool Follower::stage(const std::vector<Entry>& entries, Version since, Version upto, bool renewed) {
  for (const Entry& entry : entries) {
    const std::string_view scope = scope_of(entry.key);
    const bool follows = renewed ? !entry.deleted && stage_.replaced.contains(scope)
                                 : std::find(scopes_.begin(), scopes_.end(), scope) != scopes_.end();
    if (!follows || entry.version <= since || entry.version > upto) return false;
  }
  for (const Entry& entry : entries) {
    const auto at = stage_.entries.find(entry.key);
    if (at == stage_.entries.end()) {
      stage_.bytes += max_encoded_size(entry);
      stage_.entries.emplace(entry.key, entry);
    } else if (at->second.version < entry.version) {
      stage_.bytes += max_encoded_size(entry);
      stage_.bytes -= max_encoded_size(at->second);
      at->second = entry;
    }
  }
  // Tombstones are staged too, so the staging area may hold twice the limits of the state.
  if (stage_.entries.size() <= 2 * max_entries_ && stage_.bytes <= 2 * max_bytes_) return true;
  discard_stage();
  return false;
}

void Follower::discard_stage() {
  stage_ = {};
  position_.staged = position_.taken;
  position_.renewing = position_.renewed = {};
}

void Follower::delta(Nanos now, MemberId from, Incarnation to_incarnation, AttachmentNumber number,
                     Version since, Version upto, Version last, Nanos age,
                     const std::vector<Entry>& entries) {
  Member* const member = match_attachment(now, from, to_incarnation, number);
  if (!member) return;
  if (!member->primary) return void(++counts_.misaddressed);
  if (since > position_.staged) {
    ++counts_.gaps; // entries in between are missing
    return send_have(now, *member);
  }
  // Also rejects a part from an older state than earlier parts were read from: entries of that state may be
  // missing from the stage.
  if (upto < position_.staged || last < stage_.read_at) {
    ++counts_.outdated;
    return send_have(now, *member);
  }
  if (position_.renewing != Version{}) discard_stage(); // the delta continues from `taken`
  const Position before = position_;
  const bool has_update = !entries.empty() || position_.staged != position_.taken || !stage_.replaced.empty();
  const bool covers = std::all_of(scopes_.begin(), scopes_.end(), [this](const std::string& scope) {
    return complete_scopes_.contains(scope) || stage_.replaced.contains(scope);
  });
  if (!covers || upto > last || !stage(entries, since, upto, false)) {
    ++counts_.invalid;
    detach(now, *member, LeaveReason::invalid);
    return choose_members(now);
  }
  position_.staged = upto;
  stage_.read_at = last;
  ++counts_.parts;
  if (upto == last) {
    if (position_.staged > position_.taken || !stage_.replaced.empty()) apply_stage();
    record_committed(now, *member, upto, age);
  }
  if (position_ != before) progress_at_ = std::max(progress_at_, now);
  if (has_update) send_have(now, *member);
}

void Follower::renewal(Nanos now, MemberId from, Incarnation to_incarnation, AttachmentNumber number,
                       Version at, const std::vector<std::uint16_t>& scopes, Version since, Version upto,
                       Version last, const std::vector<Entry>& entries) {
  Member* const member = match_attachment(now, from, to_incarnation, number);
  if (!member) return;
  if (!member->primary) return void(++counts_.misaddressed);
  if (at < position_.taken) {
    ++counts_.outdated;
    return send_have(now, *member);
  }
  std::set<std::string, std::less<>> replaced;
  for (const std::uint16_t place : scopes)
    if (place < scopes_.size()) replaced.insert(scopes_[place]);
  const bool covers = std::all_of(scopes_.begin(), scopes_.end(), [&](const std::string& scope) {
    return complete_scopes_.contains(scope) || replaced.contains(scope);
  });
  if (replaced.size() != scopes.size() || !covers || upto > at || at > last || since > upto ||
      at == Version{}) {
    ++counts_.invalid;
    detach(now, *member, LeaveReason::invalid);
    return choose_members(now);
  }
  const bool same = position_.renewing == at && stage_.replaced == replaced;
  if (since == Version{} && !same) {
    discard_stage();
    position_.renewing = at;
    stage_.replaced = replaced;
  } else if (!same || since > position_.renewed || last < stage_.read_at) {
    ++counts_.gaps;
    return send_have(now, *member);
  }
  if (!stage(entries, since, upto, true)) {
    ++counts_.invalid;
    detach(now, *member, LeaveReason::invalid);
    return choose_members(now);
  }
  stage_.read_at = last;
  ++counts_.parts;
  if (upto > position_.renewed || upto == at) progress_at_ = std::max(progress_at_, now);
  position_.renewed = std::max(position_.renewed, upto);
  if (position_.renewed == at) { // complete; applied with the next complete delta
    position_.staged = at;
    position_.renewing = position_.renewed = {};
    ++position_.renewals;
    ++counts_.renewals;
  }
  send_have(now, *member);
}

// Applies everything that is staged in one step. Refused entries are stored as received, so that digests
// agree with the control member's, and the previous entry of their key stays in force.
void Follower::apply_stage() {
  const Version upto = position_.staged;
  std::vector<std::string> removed_keys; // by a renewal
  std::vector<Entry> removed;            // their entries that were in force
  std::map<std::string, std::optional<Entry>, std::less<>> previous;
  if (!stage_.replaced.empty()) {
    auto new_state = std::make_unique<Entries>(settings_);
    for (const std::string& scope : scopes_) {
      const bool replaced = stage_.replaced.contains(scope);
      state_->for_each_in(scope, [&](const Entry& entry) {
        if (!replaced) {
          new_state->apply(entry);
        } else if (const auto at = stage_.entries.find(entry.key); at == stage_.entries.end()) {
          removed_keys.push_back(entry.key);
          if (const Entry* const in_force = find(entry.key)) removed.push_back(*in_force);
        } else if (at->second.version == entry.version) {
          new_state->apply(entry); // unchanged, whether in force or refused
        }
        return true;
      });
    }
    // The entries in force before the replacement; looked up below.
    for (const std::string& scope : stage_.replaced)
      for_each_in(scope, [&](const Entry& entry) {
        previous.emplace(entry.key, entry);
        return true;
      });
    state_ = std::move(new_state);
  }
  std::vector<const Entry*> order;
  for (const auto& [key, entry] : stage_.entries) order.push_back(&entry);
  // Tombstones first, because they make room.
  std::sort(order.begin(), order.end(), [](const Entry* a, const Entry* b) {
    return std::make_pair(!a->deleted, a->version) < std::make_pair(!b->deleted, b->version);
  });
  std::vector<std::string_view> keys; // whose value in force has changed
  for (const Entry* const entry : order) {
    const Entry* const stored = state_->find(entry->key);
    if (stored && stored->version >= entry->version) continue;
    std::optional<Entry> before;
    if (const auto at = previous.find(entry->key); at != previous.end())
      before = at->second;
    else if (const Entry* const current = find(entry->key))
      before = *current;
    std::string reason(state_->rejection_reason(*entry));
    const bool fits = reason.empty();
    if (fits && !entry->deleted) reason = actions_.check(*entry);
    if (fits) state_->apply(*entry);
    if (!reason.empty()) {
      ++counts_.refused;
      if (fits) retained_.insert_or_assign(entry->key, before);
      actions_.refused(*entry, reason);
      continue;
    }
    retained_.erase(entry->key);
    const bool had_value = before.has_value();
    if (entry->deleted ? had_value : !had_value || before->value != entry->value) keys.push_back(entry->key);
  }
  for (const std::string& key : removed_keys) retained_.erase(key);
  for (Entry& entry : removed) {
    entry.deleted = true;
    entry.version = upto;
    entry.value.clear();
  }
  state_->advance_to(upto);
  position_.taken = upto;
  const bool renewed = !stage_.replaced.empty();
  complete_scopes_.insert(stage_.replaced.begin(), stage_.replaced.end());
  ++counts_.deltas;
  std::vector<const Entry*> changed;
  for (const std::string_view key : keys) changed.push_back(&stage_.entries.find(key)->second);
  for (const Entry& entry : removed) changed.push_back(&entry);
  const Stage applied_stage = std::exchange(stage_, {}); // kept until the action returns
  if (renewed || !changed.empty()) actions_.applied(upto, changed);
}

std::vector<FollowedScope> Follower::followed_scopes() const {
  std::vector<FollowedScope> all;
  for (const std::string& scope : scopes_)
    all.push_back({scope, state_->digest(scope), complete_scopes_.contains(scope)});
  return all;
}

std::string_view Follower::set_scopes(Nanos now, std::vector<std::string> scopes) {
  if (const std::string_view reason = invalid_scopes_reason(scopes); !reason.empty()) return reason;
  if (scopes == scopes_) return {};
  discard_stage();
  scopes_ = std::move(scopes);
  std::set<std::string, std::less<>> kept_scopes;
  auto new_state = std::make_unique<Entries>(settings_);
  for (const std::string& scope : scopes_) {
    if (!complete_scopes_.contains(scope)) continue;
    kept_scopes.insert(scope);
    state_->for_each_in(scope, [&](const Entry& entry) { return new_state->apply(entry), true; });
  }
  new_state->advance_to(position_.taken);
  state_ = std::move(new_state);
  complete_scopes_ = std::move(kept_scopes);
  std::erase_if(retained_, [&](const auto& one) { return !complete_scopes_.contains(scope_of(one.first)); });
  for (Member& member : members_)
    if (member.attached) attach(now, member, member.primary);
  return {};
}

// ---- the state

const Entry* Follower::find(std::string_view key) const {
  if (const auto at = retained_.find(key); at != retained_.end()) return at->second ? &*at->second : nullptr;
  const Entry* const entry = state_->find(key);
  return entry && !entry->deleted ? entry : nullptr;
}

void Follower::for_each_in(std::string_view scope, const std::function<bool(const Entry&)>& each) const {
  bool more = true;
  state_->for_each_in(scope, [&](const Entry& entry) {
    const Entry* const in_force = find(entry.key);
    return more = !in_force || each(*in_force);
  });
}

// ---- time

void Follower::due(Nanos now) {
  now_ = now;
  for (Member& member : members_) {
    if (!member.attached) continue;
    if (now - member.last_received_at >= silence_timeout_) {
      detach(now, member, LeaveReason::unresponsive);
      continue;
    }
    if (member.responded && now - member.healthy_since >= settle_time_) member.failures = 0;
  }
  // The primary sends nothing while the secondary has more.
  if (Member* const first = primary()) {
    Member* const second = secondary();
    if (second && stale_at(*second) >= 0 && now >= stale_at(*second)) detach(now, *first, LeaveReason::stale);
  }
  choose_members(now);
  for (Member& member : members_) {
    if (!member.attached) continue;
    if (now >= member.next_have_at) send_have(now, member);
    const bool up_to_date = member.primary && member.responded && position_.staged == position_.taken &&
                            member.committed == position_.taken && position_.taken != Version{} &&
                            complete_scopes_.size() == scopes_.size();
    if (!up_to_date || now < next_compare_at_) continue;
    std::vector<std::uint64_t> digests;
    for (const std::string& scope : scopes_) digests.push_back(state_->digest(scope));
    next_compare_at_ =
        now + static_cast<Nanos>(static_cast<double>(compare_interval_) * (0.5 + random_.unit()));
    actions_.compare(member.id, member.number, position_.taken, digests);
  }
}

// When the primary counts as stale because the secondary has been ahead for control.behind; -1 if it is not
// ahead.
Nanos Follower::stale_at(const Member& second) const {
  if (!second.responded || second.ahead_since < 0) return -1;
  return std::max(second.ahead_since, progress_at_) + stale_timeout_;
}

Nanos Follower::next_wake() const {
  Nanos next = -1;
  const auto consider = [&next](Nanos at) { next = next < 0 ? at : std::min(next, at); };
  const Member* first = nullptr;
  const Member* second = nullptr;
  for (const Member& member : members_) {
    if (!member.attached) continue;
    (member.primary ? first : second) = &member;
    consider(member.last_received_at + silence_timeout_);
    consider(member.next_have_at);
  }
  if (first && second) {
    if (const Nanos at = stale_at(*second); at >= 0) consider(at);
    if (second->distance < first->distance && second->responded &&
        second->healthy_since + second->settle_time > now_)
      consider(second->healthy_since + second->settle_time);
  }
  for (const Member& member : members_)
    if (!member.attached && (!first || !second || member.distance < second->distance) &&
        (member.retry_at > now_ || !first))
      consider(member.retry_at);
  return next;
}

std::vector<Follower::Attachment> Follower::attachments() const {
  std::vector<Attachment> all;
  for (const Member& member : members_)
    if (member.attached)
      all.push_back({member.id, member.primary, member.responded, member.attached_at, member.last_received_at,
                     member.committed});
  std::stable_sort(all.begin(), all.end(),
                   [](const Attachment& a, const Attachment& b) { return a.primary > b.primary; });
  return all;
}

} // namespace cometshift
