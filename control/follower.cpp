#include "follower.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <tuple>
#include <utility>

namespace cometshift {

namespace {

constexpr double ms = 1e6;                // ns
constexpr std::size_t most_controls = 64; // named in a file; a fleet sets aside ten
constexpr int most_doublings = 16;        // of a rest
constexpr double first_compare = 4;       // beats after an attachment, by chance, until digests are told
constexpr Nanos most_rest_heeded = 60'000'000'000; // ns: who tells of more at once is looked at again by then

std::string_view senseless_scopes(const std::vector<std::string>& scopes) {
  std::size_t bytes = 0;
  std::set<std::string_view> seen;
  for (const std::string& one : scopes) {
    bytes += one.size();
    if (one.empty()) return "a scope without a name";
    if (!seen.insert(one).second) return "a scope that is named twice";
  }
  if (scopes.empty()) return "no scope";
  if (scopes.size() > max_scopes || bytes > most_scope_bytes) return "too many scopes";
  return {};
}

} // namespace

std::string_view to_text(LeaveReason why) {
  switch (why) {
  case LeaveReason::silent:
    return "silent";
  case LeaveReason::blank:
    return "has nothing to give";
  case LeaveReason::behind:
    return "gives nothing while another is ahead";
  case LeaveReason::lost:
    return "not reached";
  case LeaveReason::nearer:
    return "a nearer one is well";
  case LeaveReason::invalid:
    return "what it gives makes no sense, or has no room";
  }
  return "?";
}

Follower::Follower(Nanos now, Incarnation self, const Location& place, const std::vector<Control>& controls,
                   std::vector<std::string> scopes, const Settings& figures, std::uint64_t seed,
                   FollowerActions& orders)
    : actions_(orders), self_(self), chance_(seed), figures_(figures), scopes_(std::move(scopes)),
      state_(std::make_unique<Entries>(figures)), progress_at_(now), now_(now) {
  beat_ = static_cast<Nanos>(required_number(figures, "control.beat", ms));
  silent_ = static_cast<Nanos>(required_number(figures, "control.silent", 2 * static_cast<double>(beat_)));
  behind_ = static_cast<Nanos>(required_number(figures, "control.behind", static_cast<double>(beat_)));
  settle_ = static_cast<Nanos>(required_number(figures, "control.settle", static_cast<double>(beat_)));
  rest_least_ = static_cast<Nanos>(required_number(figures, "control.rest_least", ms));
  rest_most_ =
      static_cast<Nanos>(required_number(figures, "control.rest_most", static_cast<double>(rest_least_)));
  compare_ = static_cast<Nanos>(required_number(figures, "control.compare", static_cast<double>(beat_)));
  most_entries_ = static_cast<std::size_t>(required_number(figures, "control.most_entries", 1));
  most_bytes_ = static_cast<std::size_t>(required_number(figures, "control.most_bytes", 1));
  numbers_ = static_cast<std::uint64_t>(number(figures, "control.first_number", 0));
  if (const std::string_view why = senseless_scopes(scopes_); !why.empty())
    throw std::invalid_argument("control: " + std::string(why));
  if (controls.empty() || controls.size() > most_controls)
    throw std::invalid_argument("control: none or too many control members");
  std::set<MemberId> seen;
  for (const Control& one : controls) {
    if (!seen.insert(one.member).second)
      throw std::invalid_argument("control: member " + std::to_string(one.member.raw) + " is named twice");
    Member member;
    member.id = one.member;
    member.nearness = one.region != place.region ? 2 : one.zone != place.zone ? 1 : 0;
    member.order = chance_.next();
    members_.push_back(member);
  }
  std::sort(members_.begin(), members_.end(), [](const Member& a, const Member& b) {
    return std::tie(a.nearness, a.order, a.id) < std::tie(b.nearness, b.order, b.id);
  });
}

// ---- lines

Follower::Member* Follower::primary() {
  const auto at = std::find_if(members_.begin(), members_.end(),
                               [](const Member& one) { return one.line && one.primary; });
  return at == members_.end() ? nullptr : &*at;
}
Follower::Member* Follower::secondary() {
  const auto at = std::find_if(members_.begin(), members_.end(),
                               [](const Member& one) { return one.line && !one.primary; });
  return at == members_.end() ? nullptr : &*at;
}

void Follower::attach(Nanos now, Member& member, bool as_primary) {
  if (!member.line) {
    member.heard = false;
    member.since = member.last_received_at = now;
    member.settle = static_cast<Nanos>(static_cast<double>(settle_) * (1 + chance_.unit()));
    member.ahead_since = -1;
    member.committed = {};
  }
  member.line = true;
  member.primary = as_primary;
  member.number = AttachmentNumber{++numbers_};
  member.next_have = now + beat_;
  if (as_primary) {
    drop_stage();
    progress_at_ = now;
    next_compare_ =
        now + static_cast<Nanos>(static_cast<double>(beat_) * (1 + first_compare * chance_.unit()));
  }
  actions_.follow(member.id, member.number, as_primary, at_, held());
}

// Rests grow until it was well for a while (`due`): against going back and forth.
void Follower::leave(Nanos now, Member& member, LeaveReason why) {
  actions_.unfollow(member.id, member.number);
  member.line = member.primary = false;
  const double rest =
      std::min(static_cast<double>(rest_least_) * std::exp2(member.tries), static_cast<double>(rest_most_));
  member.rests_until = now + static_cast<Nanos>(rest * (0.5 + chance_.unit()));
  member.tries = std::min(member.tries + 1, most_doublings);
  ++counts_.moves;
  actions_.left(member.id, why);
}

// The best that isn't a line and doesn't rest.
Follower::Member* Follower::next_best(Nanos now) {
  const auto at = std::find_if(members_.begin(), members_.end(),
                               [now](const Member& one) { return !one.line && one.rests_until <= now; });
  return at == members_.end() ? nullptr : &*at;
}

void Follower::choose(Nanos now) {
  if (!primary()) {
    if (Member* const other = secondary())
      attach(now, *other, true);
    else if (Member* const best = next_best(now))
      attach(now, *best, true);
  }
  if (!secondary()) {
    if (Member* const best = next_best(now)) attach(now, *best, false);
    return;
  }
  Member* const first = primary();
  Member* second = secondary();
  // A nearer one may be asked again: it is tried, while the primary gives.
  if (Member* const best = next_best(now);
      best && first->heard && second->heard && best->nearness < second->nearness) {
    actions_.unfollow(second->id, second->number);
    second->line = false;
    second = best;
    attach(now, *second, false);
  }
  if (second->nearness < first->nearness && second->heard && now - second->well_since >= second->settle &&
      second->committed >= at_.taken) {
    actions_.left(first->id, LeaveReason::nearer);
    ++counts_.moves;
    attach(now, *first, false);
    attach(now, *second, true);
  }
}

Follower::Member* Follower::heard(Nanos now, MemberId from, Incarnation to, AttachmentNumber number) {
  const auto at =
      std::find_if(members_.begin(), members_.end(), [from](const Member& one) { return one.id == from; });
  if (at == members_.end() || to != self_ || !at->line || at->number != number)
    return ++counts_.misaddressed, nullptr;
  at->last_received_at = now;
  if (!at->heard) {
    at->heard = true;
    at->well_since = now;
  }
  return &*at;
}

// What a control member says that it has. One that is behind says nothing of how new this state is.
void Follower::told(Nanos now, Member& member, Version committed, Nanos age) {
  member.committed = committed;
  if (committed > at_.taken) {
    if (member.ahead_since < 0) member.ahead_since = now;
    return;
  }
  member.ahead_since = -1;
  const bool all = at_.staged == at_.taken && (held_.size() == scopes_.size() || at_.taken == Version{});
  if (committed == at_.taken && age >= 0 && all) current_at_ = std::max(current_at_, now - age);
}

void Follower::answer(Nanos now, Member& member) {
  member.next_have = now + beat_;
  actions_.have(member.id, member.number, at_);
}

void Follower::beat(Nanos now, MemberId from, Incarnation to, AttachmentNumber number, Version committed,
                    Nanos age) {
  if (Member* const member = heard(now, from, to, number)) told(now, *member, committed, age);
}

void Follower::rest(Nanos now, MemberId from, Incarnation to, AttachmentNumber number, Nanos rest) {
  Member* const member = heard(now, from, to, number);
  if (!member || !member->primary) return;
  if (rest < 0) return void(++counts_.invalid);
  // It will be its turn: no reason to leave, up to a bound.
  progress_at_ = std::max(progress_at_, now + std::min(rest, most_rest_heeded));
}

void Follower::elsewhere(Nanos now, MemberId from, Incarnation to, AttachmentNumber number) {
  if (Member* const member = heard(now, from, to, number)) {
    leave(now, *member, LeaveReason::blank);
    choose(now);
  }
}

void Follower::again(Nanos now, MemberId from, Incarnation to, AttachmentNumber number) {
  if (Member* const member = heard(now, from, to, number)) attach(now, *member, member->primary);
}

void Follower::disconnected(Nanos now, MemberId control) {
  const auto at = std::find_if(members_.begin(), members_.end(),
                               [control](const Member& one) { return one.id == control && one.line; });
  if (at == members_.end()) return;
  leave(now, *at, LeaveReason::lost);
  choose(now);
}

// ---- what is given

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
      stage_.bytes += bytes_of(entry);
      stage_.entries.emplace(entry.key, entry);
    } else if (at->second.version < entry.version) {
      stage_.bytes += bytes_of(entry);
      stage_.bytes -= bytes_of(at->second);
      at->second = entry;
    }
  }
  // Deletions that are staged count too: room for as many again.
  if (stage_.entries.size() <= 2 * most_entries_ && stage_.bytes <= 2 * most_bytes_) return true;
  drop_stage();
  return false;
}

void Follower::drop_stage() {
  stage_ = {};
  at_.staged = at_.taken;
  at_.renewing = at_.renewed = {};
}

void Follower::delta(Nanos now, MemberId from, Incarnation to, AttachmentNumber number, Version since,
                     Version upto, Version last, Nanos age, const std::vector<Entry>& entries) {
  Member* const member = heard(now, from, to, number);
  if (!member) return;
  if (!member->primary) return void(++counts_.misaddressed);
  if (since > at_.staged) {
    ++counts_.gaps; // what came between is not here
    return answer(now, *member);
  }
  // Or of a state before one that a part here was read from: then some that it held are not staged.
  if (upto < at_.staged || last < stage_.read_at) {
    ++counts_.older;
    return answer(now, *member);
  }
  if (at_.renewing != Version{}) drop_stage(); // it goes on from what is taken
  const Position before = at_;
  const bool news = !entries.empty() || at_.staged != at_.taken || !stage_.replaced.empty();
  const bool covers = std::all_of(scopes_.begin(), scopes_.end(), [this](const std::string& scope) {
    return held_.contains(scope) || stage_.replaced.contains(scope);
  });
  if (!covers || upto > last || !stage(entries, since, upto, false)) {
    ++counts_.invalid;
    leave(now, *member, LeaveReason::invalid);
    return choose(now);
  }
  at_.staged = upto;
  stage_.read_at = last;
  ++counts_.parts;
  if (upto == last) {
    if (at_.staged > at_.taken || !stage_.replaced.empty()) take_stage();
    told(now, *member, upto, age);
  }
  if (at_ != before) progress_at_ = std::max(progress_at_, now);
  if (news) answer(now, *member);
}

void Follower::renewal(Nanos now, MemberId from, Incarnation to, AttachmentNumber number, Version at,
                       const std::vector<std::uint16_t>& scopes, Version since, Version upto, Version last,
                       const std::vector<Entry>& entries) {
  Member* const member = heard(now, from, to, number);
  if (!member) return;
  if (!member->primary) return void(++counts_.misaddressed);
  if (at < at_.taken) {
    ++counts_.older;
    return answer(now, *member);
  }
  std::set<std::string, std::less<>> replaced;
  for (const std::uint16_t place : scopes)
    if (place < scopes_.size()) replaced.insert(scopes_[place]);
  const bool covers = std::all_of(scopes_.begin(), scopes_.end(), [&](const std::string& scope) {
    return held_.contains(scope) || replaced.contains(scope);
  });
  if (replaced.size() != scopes.size() || !covers || upto > at || at > last || since > upto ||
      at == Version{}) {
    ++counts_.invalid;
    leave(now, *member, LeaveReason::invalid);
    return choose(now);
  }
  const bool same = at_.renewing == at && stage_.replaced == replaced;
  if (since == Version{} && !same) {
    drop_stage();
    at_.renewing = at;
    stage_.replaced = replaced;
  } else if (!same || since > at_.renewed || last < stage_.read_at) {
    ++counts_.gaps;
    return answer(now, *member);
  }
  if (!stage(entries, since, upto, true)) {
    ++counts_.invalid;
    leave(now, *member, LeaveReason::invalid);
    return choose(now);
  }
  stage_.read_at = last;
  ++counts_.parts;
  if (upto > at_.renewed || upto == at) progress_at_ = std::max(progress_at_, now);
  at_.renewed = std::max(at_.renewed, upto);
  if (at_.renewed == at) { // from here on by deltas; taken with the next that is whole
    at_.staged = at;
    at_.renewing = at_.renewed = {};
    ++at_.renewals;
    ++counts_.renewals;
  }
  answer(now, *member);
}

// All of it, at once. Entries that are refused are held as given, so that digests agree; what was in force
// for their keys stays so.
void Follower::take_stage() {
  const Version upto = at_.staged;
  std::vector<std::string> left_out; // by a renewal
  std::vector<Entry> gone;           // what was in force of those
  std::map<std::string, std::optional<Entry>, std::less<>> in_force_before;
  if (!stage_.replaced.empty()) {
    auto made = std::make_unique<Entries>(figures_);
    for (const std::string& scope : scopes_) {
      const bool replaced = stage_.replaced.contains(scope);
      state_->for_each_in(scope, [&](const Entry& entry) {
        if (!replaced) {
          made->take(entry);
        } else if (const auto at = stage_.entries.find(entry.key); at == stage_.entries.end()) {
          left_out.push_back(entry.key);
          if (const Entry* const in_force = find(entry.key)) gone.push_back(*in_force);
        } else if (at->second.version == entry.version) {
          made->take(entry); // as it was, in force or refused
        }
        return true;
      });
    }
    // Of keys that are replaced, what is in force now is looked for below.
    for (const std::string& scope : stage_.replaced)
      for_each_in(scope, [&](const Entry& entry) {
        in_force_before.emplace(entry.key, entry);
        return true;
      });
    state_ = std::move(made);
  }
  std::vector<const Entry*> order;
  for (const auto& [key, entry] : stage_.entries) order.push_back(&entry);
  // Deletions first: they make room.
  std::sort(order.begin(), order.end(), [](const Entry* a, const Entry* b) {
    return std::make_pair(!a->deleted, a->version) < std::make_pair(!b->deleted, b->version);
  });
  std::vector<std::string_view> keys; // changed
  for (const Entry* const entry : order) {
    const Entry* const given = state_->find(entry->key);
    if (given && given->version >= entry->version) continue;
    std::optional<Entry> before;
    if (const auto at = in_force_before.find(entry->key); at != in_force_before.end())
      before = at->second;
    else if (const Entry* const now_in_force = find(entry->key))
      before = *now_in_force;
    std::string why(state_->rejection_reason(*entry));
    const bool room = why.empty();
    if (room && !entry->deleted) why = actions_.check(*entry);
    if (room) state_->take(*entry);
    if (!why.empty()) {
      ++counts_.refused;
      if (room) in_force_.insert_or_assign(entry->key, before);
      actions_.refused(*entry, why);
      continue;
    }
    in_force_.erase(entry->key);
    const bool was = before.has_value();
    if (entry->deleted ? was : !was || before->value != entry->value) keys.push_back(entry->key);
  }
  for (const std::string& key : left_out) in_force_.erase(key);
  for (Entry& entry : gone) {
    entry.deleted = true;
    entry.version = upto;
    entry.value.clear();
  }
  state_->reached(upto);
  at_.taken = upto;
  const bool renewed = !stage_.replaced.empty();
  held_.insert(stage_.replaced.begin(), stage_.replaced.end());
  ++counts_.deltas;
  std::vector<const Entry*> changed;
  for (const std::string_view key : keys) changed.push_back(&stage_.entries.find(key)->second);
  for (const Entry& entry : gone) changed.push_back(&entry);
  const Stage held_on = std::exchange(stage_, {}); // until the order returns
  if (renewed || !changed.empty()) actions_.applied(upto, changed);
}

std::vector<FollowedScope> Follower::held() const {
  std::vector<FollowedScope> all;
  for (const std::string& scope : scopes_)
    all.push_back({scope, state_->digest(scope), held_.contains(scope)});
  return all;
}

std::string_view Follower::set_scopes(Nanos now, std::vector<std::string> scopes) {
  if (const std::string_view why = senseless_scopes(scopes); !why.empty()) return why;
  if (scopes == scopes_) return {};
  drop_stage();
  scopes_ = std::move(scopes);
  std::set<std::string, std::less<>> still;
  auto made = std::make_unique<Entries>(figures_);
  for (const std::string& scope : scopes_) {
    if (!held_.contains(scope)) continue;
    still.insert(scope);
    state_->for_each_in(scope, [&](const Entry& entry) { return made->take(entry), true; });
  }
  made->reached(at_.taken);
  state_ = std::move(made);
  held_ = std::move(still);
  std::erase_if(in_force_, [&](const auto& one) { return !held_.contains(scope_of(one.first)); });
  for (Member& member : members_)
    if (member.line) attach(now, member, member.primary);
  return {};
}

// ---- the state

const Entry* Follower::find(std::string_view key) const {
  if (const auto at = in_force_.find(key); at != in_force_.end()) return at->second ? &*at->second : nullptr;
  const Entry* const entry = state_->find(key);
  return entry && !entry->deleted ? entry : nullptr;
}

void Follower::for_each_in(std::string_view scope, const std::function<bool(const Entry&)>& each) const {
  bool go_on = true;
  state_->for_each_in(scope, [&](const Entry& entry) {
    const Entry* const in_force = find(entry.key);
    return go_on = !in_force || each(*in_force);
  });
}

// ---- time

void Follower::due(Nanos now) {
  now_ = now;
  for (Member& member : members_) {
    if (!member.line) continue;
    if (now - member.last_received_at >= silent_) {
      leave(now, member, LeaveReason::silent);
      continue;
    }
    if (member.heard && now - member.well_since >= settle_) member.tries = 0;
  }
  // The primary gives nothing, and the other has more.
  if (Member* const first = primary()) {
    Member* const second = secondary();
    if (second && behind_at(*second) >= 0 && now >= behind_at(*second))
      leave(now, *first, LeaveReason::behind);
  }
  choose(now);
  for (Member& member : members_) {
    if (!member.line) continue;
    if (now >= member.next_have) answer(now, member);
    const bool level = member.primary && member.heard && at_.staged == at_.taken &&
                       member.committed == at_.taken && at_.taken != Version{} &&
                       held_.size() == scopes_.size();
    if (!level || now < next_compare_) continue;
    std::vector<std::uint64_t> digests;
    for (const std::string& scope : scopes_) digests.push_back(state_->digest(scope));
    next_compare_ = now + static_cast<Nanos>(static_cast<double>(compare_) * (0.5 + chance_.unit()));
    actions_.compare(member.id, member.number, at_.taken, digests);
  }
}

// When a secondary that is ahead is the better one; -1: it isn't ahead.
Nanos Follower::behind_at(const Member& second) const {
  if (!second.heard || second.ahead_since < 0) return -1;
  return std::max(second.ahead_since, progress_at_) + behind_;
}

Nanos Follower::next_wake() const {
  Nanos next = -1;
  const auto also = [&next](Nanos at) { next = next < 0 ? at : std::min(next, at); };
  const Member* first = nullptr;
  const Member* second = nullptr;
  for (const Member& member : members_) {
    if (!member.line) continue;
    (member.primary ? first : second) = &member;
    also(member.last_received_at + silent_);
    also(member.next_have);
  }
  if (first && second) {
    if (const Nanos at = behind_at(*second); at >= 0) also(at);
    if (second->nearness < first->nearness && second->heard && second->well_since + second->settle > now_)
      also(second->well_since + second->settle);
  }
  for (const Member& member : members_)
    if (!member.line && (!first || !second || member.nearness < second->nearness) &&
        (member.rests_until > now_ || !first))
      also(member.rests_until);
  return next;
}

std::vector<Follower::Attachment> Follower::attachments() const {
  std::vector<Attachment> all;
  for (const Member& member : members_)
    if (member.line)
      all.push_back(
          {member.id, member.primary, member.heard, member.since, member.last_received_at, member.committed});
  std::stable_sort(all.begin(), all.end(),
                   [](const Attachment& a, const Attachment& b) { return a.primary > b.primary; });
  return all;
}

} // namespace cometshift
