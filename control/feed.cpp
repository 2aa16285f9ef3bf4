#include "feed.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace cometshift {

namespace {

constexpr double second = 1e9; // ns
constexpr double ms = 1e6;     // ns
constexpr int answer_doublings =
    4;                          // of the time for an answer: a slow follower isn't sent the same ever again
constexpr int most_repeats = 3; // of a part of a renewal, before another gets its place
constexpr double renewal_share = 0.2;     // of the last renewal in the mean time that those in line are told
constexpr double least_rate_of_beats = 4; // so many beats fit into the credit of one beat's time

bool sensible(const std::vector<FollowedScope>& scopes) {
  std::size_t bytes = 0;
  std::set<std::string_view> seen;
  for (const FollowedScope& one : scopes) {
    bytes += one.scope.size();
    if (one.scope.empty() || !seen.insert(one.scope).second) return false;
  }
  return !scopes.empty() && scopes.size() <= max_scopes && bytes <= most_scope_bytes;
}
bool sensible(const Position& at) { return at.staged >= at.taken && at.renewed <= at.renewing; }

} // namespace

// ---- credit

void Feed::Bucket::fill(Nanos now) {
  if (now <= at) return;
  tokens = std::min(burst, tokens + rate * static_cast<double>(now - at) / second);
  at = now;
}
Nanos Feed::Bucket::when(Nanos now, double bytes) const {
  return tokens >= bytes ? now : now + 1 + static_cast<Nanos>(std::ceil((bytes - tokens) / rate * second));
}

// What a follower was given counts against its credit also after it went and came again.
Feed::Bucket Feed::bucket_of(Nanos now, MemberId id) {
  while (!past_order_.empty() && past_order_.front().first <= now) {
    const auto at = past_.find(past_order_.front().second);
    if (at != past_.end() && at->second.at + full_after_ <= now) past_.erase(at);
    past_order_.pop_front();
  }
  Bucket bucket{rate_, burst_, burst_, now};
  if (const auto at = past_.find(id); at != past_.end()) {
    bucket = at->second;
    past_.erase(at);
    bucket.fill(now);
  }
  return bucket;
}

Feed::Feed(Nanos now, const Entries& state, const Settings& figures, std::uint64_t seed, FeedActions& orders)
    : state_(state), actions_(orders), chance_(seed) {
  beat_ = static_cast<Nanos>(required_number(figures, "control.beat", ms));
  silent_ = static_cast<Nanos>(required_number(figures, "control.silent", 2 * static_cast<double>(beat_)));
  answer_ = static_cast<Nanos>(required_number(figures, "control.answer", ms));
  const double largest =
      required_number(figures, "control.most_key", 1) + required_number(figures, "control.most_value", 0);
  const double part =
      required_number(figures, "control.most_part", largest + static_cast<double>(entry_overhead));
  most_part_ = static_cast<std::size_t>(part);
  const double least_rate =
      least_rate_of_beats * static_cast<double>(beat_bytes) * second / static_cast<double>(beat_);
  rate_ = required_number(figures, "control.rate", least_rate);
  burst_ = required_number(figures, "control.burst", part + static_cast<double>(message_overhead));
  full_after_ = static_cast<Nanos>(burst_ / rate_ * second) + 1;
  const double total_rate = required_number(figures, "control.total_rate", rate_);
  const double total_burst = required_number(figures, "control.total_burst", burst_);
  total_ = {total_rate, total_burst, total_burst, now};
  most_followers_ = static_cast<std::size_t>(required_number(figures, "control.most_followers", 1));
  most_whole_ = static_cast<std::size_t>(required_number(figures, "control.most_whole", 1));
  renewal_time_ = answer_;
}

// ---- the control member's own

void Feed::activate(Nanos now) {
  blank_ = false;
  confirm_current(now);
}

void Feed::deactivate(Nanos now) {
  blank_ = true;
  current_at_ = -1;
  for (const auto& [id, follower] : followers_) actions_.elsewhere(id, follower.of, follower.number);
  while (!followers_.empty()) drop(followers_.begin()->first, followers_.begin()->second, now);
}

void Feed::committed(Nanos now, const Entry& entry) {
  const auto scope = by_scope_.find(scope_of(entry.key));
  if (scope == by_scope_.end()) return;
  for (const MemberId id : scope->second) {
    ++counts_.visited;
    Follower& follower = followers_.at(id);
    follower.dirty = true;
    // Else it is looked at when its answer or its credit comes.
    if (!follower.under_way && follower.waits == 0 && follower.ticket == 0) plan(id, follower, now);
  }
}

void Feed::confirm_current(Nanos now) { current_at_ = now; }

// ---- what followers say

Feed::Follower* Feed::known(Nanos now, MemberId from, Incarnation of, AttachmentNumber number) {
  if (blank_) return actions_.elsewhere(from, of, number), nullptr;
  const auto at = followers_.find(from);
  if (at != followers_.end() && at->second.of == of) {
    if (number < at->second.number) return nullptr; // late: of an attachment before
    if (number == at->second.number) {
      at->second.last_received_at = now;
      return &at->second;
    }
  }
  actions_.again(from, of, number);
  return nullptr;
}

void Feed::follow(Nanos now, MemberId from, Incarnation of, AttachmentNumber number, bool primary,
                  const Position& at, const std::vector<FollowedScope>& scopes) {
  if (number.raw == 0 || !sensible(scopes) || !sensible(at)) return void(++counts_.invalid);
  if (blank_) return actions_.elsewhere(from, of, number);
  if (const auto old = followers_.find(from); old != followers_.end()) {
    if (old->second.of == of && number <= old->second.number) return; // late, or twice
    drop(from, old->second, now);
  }
  if (followers_.size() >= most_followers_) {
    ++counts_.refused;
    return actions_.elsewhere(from, of, number);
  }
  Follower& follower = followers_[from];
  follower.of = of;
  follower.number = number;
  follower.primary = primary;
  follower.scopes = scopes;
  follower.digests_at = at.taken;
  for (const FollowedScope& one : scopes) follower.names.push_back(one.scope);
  follower.at = at;
  follower.bucket = bucket_of(now, from);
  follower.last_received_at = now;
  follower.next_beat = now;
  follower.dirty = primary;
  if (primary)
    for (const std::string& name : follower.names) by_scope_[name].insert(from);
  if (primary && at.staged == at.taken) look_at_digests(now, from, follower, at.taken);
  plan(from, follower, now);
}

void Feed::have(Nanos now, MemberId from, Incarnation of, AttachmentNumber number, const Position& at) {
  if (!sensible(at)) return void(++counts_.invalid);
  Follower* const follower = known(now, from, of, number);
  if (!follower || !follower->primary) return;
  // Against what an older word said; and what is staged is still to be taken.
  if (at.staged < follower->at.staged || at.staged > at.taken) follower->dirty = true;
  follower->at = at;
  if (follower->under_way && reached(*follower)) {
    follower->under_way = false;
    follower->repeats = 0;
    if (!follower->renewing) {
      if (at.taken == at.staged) follower->owes_whole = false;
    } else if (at.renewals != follower->renewals_before && at.staged >= follower->renewal_at) {
      end_renewal(now, *follower, true);
      follower->dirty = follower->owes_whole = follower->renewed = true;
    } else {
      follower->renewals_before = at.renewals;
      follower->anew = false;
    }
    plan(from, *follower, now);
  } else if (follower->dirty && !follower->under_way && follower->waits == 0 && follower->ticket == 0) {
    plan(from, *follower, now);
  }
}

// Has it what the part under way was to bring?
bool Feed::reached(const Follower& follower) const {
  const Position& at = follower.at;
  if (!follower.renewing) return at.staged >= follower.expects.staged && at.taken >= follower.expects.taken;
  if (at.renewals != follower.renewals_before) return true;
  return follower.expects.renewed != follower.renewal_at && at.renewing == follower.renewal_at &&
         at.renewed >= follower.expects.renewed;
}

// What one holds at `at` and what is here agree, where nothing of its scopes came after.
void Feed::look_at_digests(Nanos now, MemberId id, Follower& follower, Version at) {
  if (follower.renews || at > state_.last() || at < state_.floor()) return;
  bool newer = false;
  ++counts_.visited;
  state_.since(at, state_.last(), follower.names, [&newer](const Entry&) { return !(newer = true); });
  if (newer) return;
  for (const FollowedScope& one : follower.scopes)
    if (one.held && one.digest != state_.digest(one.scope)) {
      needs_renewal(now, id, follower);
      return;
    }
}

void Feed::compare(Nanos now, MemberId from, Incarnation of, AttachmentNumber number, Version at,
                   const std::vector<std::uint64_t>& digests) {
  Follower* const follower = known(now, from, of, number);
  if (!follower) return;
  if (digests.size() != follower->scopes.size()) return void(++counts_.invalid);
  if (!follower->primary || follower->renews) return;
  for (std::size_t i = 0; i < digests.size(); ++i)
    follower->scopes[i] = {follower->names[i], digests[i], true};
  follower->digests_at = at;
  look_at_digests(now, from, *follower, at);
}

void Feed::unfollow(Nanos now, MemberId from, Incarnation of, AttachmentNumber number) {
  const auto at = followers_.find(from);
  // Also of an attachment whose word never came here.
  if (at != followers_.end() && at->second.of == of && at->second.number <= number)
    drop(from, at->second, now);
}

void Feed::drop(MemberId id, Follower& follower, Nanos now) {
  if (follower.primary)
    for (const std::string& name : follower.names) {
      const auto at = by_scope_.find(name);
      if (at == by_scope_.end()) continue;
      at->second.erase(id);
      if (at->second.empty()) by_scope_.erase(at);
    }
  if (follower.wake >= 0) wakes_.erase({follower.wake, id});
  if (follower.waits != 0) credit_line_.erase(follower.waits);
  end_renewal(now, follower, false);
  follower.bucket.fill(now);
  // Without room for it, nothing is remembered: who comes again has its whole burst.
  if (past_.size() < most_followers_ && past_order_.size() < 2 * most_followers_) {
    past_[id] = follower.bucket;
    past_order_.emplace_back(now + full_after_, id);
  }
  followers_.erase(id);
}

// ---- renewals

// False: it has to follow anew.
bool Feed::needs_renewal(Nanos now, MemberId id, Follower& follower) {
  if (follower.renews) return true;
  if (follower.digests_at != follower.at.taken) {
    // What it told of is not what it holds now. An entry that came and was deleted since leaves no trace in a
    // digest, so older ones prove nothing.
    actions_.again(id, follower.of, follower.number);
    drop(id, follower, now);
    return false;
  }
  follower.renews = true;
  follower.under_way = false;
  follower.repeats = 0;
  follower.ticket = ++tickets_;
  follower.rested_until = now;
  line_.emplace(follower.ticket, id);
  plan(id, follower, now);
  return true;
}

void Feed::end_renewal(Nanos now, Follower& follower, bool done) {
  if (follower.ticket != 0) line_.erase(follower.ticket);
  if (follower.renewing) --renewing_;
  if (follower.renewing && done) {
    ++counts_.renewals;
    const double took = static_cast<double>(now - follower.renewing_since);
    renewal_time_ =
        static_cast<Nanos>((1 - renewal_share) * static_cast<double>(renewal_time_) + renewal_share * took);
  }
  follower.ticket = 0;
  follower.renews = follower.renewing = false;
}

// The scopes of which it holds nothing or something else.
void Feed::begin_renewal(Nanos now, Follower& follower) {
  follower.renewing_since = now;
  follower.renewal_at = state_.last();
  follower.renewals_before = follower.at.renewals;
  follower.anew = true;
  follower.renewal.clear();
  follower.renewal_names.clear();
  for (std::size_t i = 0; i < follower.scopes.size(); ++i) {
    const FollowedScope& one = follower.scopes[i];
    const bool told = one.held && follower.digests_at == follower.at.taken;
    if (told && one.digest == state_.digest(one.scope)) continue;
    follower.renewal.push_back(static_cast<std::uint16_t>(i));
    follower.renewal_names.push_back(one.scope);
  }
}

void Feed::admit(Nanos now) {
  while (renewing_ < most_whole_ && !line_.empty()) {
    const MemberId id = line_.begin()->second;
    line_.erase(line_.begin());
    Follower& follower = followers_.at(id);
    follower.ticket = 0;
    follower.renewing = true;
    ++renewing_;
    begin_renewal(now, follower);
    turn(now, id, follower);
  }
}

// By its place, if those before it take as long as others did; by chance, so that not all ask at once.
Nanos Feed::rest_of(const Follower& follower) {
  const std::uint64_t before = line_.empty() ? 0 : follower.ticket - line_.begin()->first;
  const double turns = 1 + static_cast<double>(before) / static_cast<double>(most_whole_);
  return static_cast<Nanos>(turns * static_cast<double>(renewal_time_) * (0.5 + chance_.unit()));
}

// ---- time

void Feed::plan(MemberId id, Follower& follower, Nanos at) {
  if (follower.wake == at) return;
  if (follower.wake >= 0) wakes_.erase({follower.wake, id});
  follower.wake = at;
  wakes_.emplace(at, id);
}

Nanos Feed::answer_time(const Follower& follower) const {
  return answer_ << std::min(follower.repeats, answer_doublings);
}

// False: not now; it is looked at again when there is credit.
bool Feed::pay(Nanos now, MemberId id, Follower& follower, std::size_t bytes) {
  const double cost = static_cast<double>(bytes);
  follower.bucket.fill(now);
  if (follower.bucket.tokens < cost) {
    follower.credit_at = follower.bucket.when(now, cost);
    return false;
  }
  total_.fill(now);
  const bool before_it = !credit_line_.empty() && serving_ != id;
  if (before_it || total_.tokens < cost) {
    follower.waits = ++tickets_;
    follower.wants = bytes;
    credit_line_.emplace(follower.waits, id);
    return false;
  }
  follower.bucket.tokens -= cost;
  total_.tokens -= cost;
  counts_.bytes += bytes;
  ++counts_.parts;
  follower.next_beat = now + beat_;
  follower.under_way = true;
  follower.sent_at = now;
  return true;
}

// Beats don't wait for the credit of all, only count: against a control member that seems silent while it
// gives out much.
bool Feed::pay_beat(Nanos now, Follower& follower) {
  follower.bucket.fill(now);
  if (follower.bucket.tokens < static_cast<double>(beat_bytes)) {
    follower.next_beat = follower.bucket.when(now, static_cast<double>(beat_bytes));
    return false;
  }
  follower.bucket.tokens -= static_cast<double>(beat_bytes);
  total_.fill(now);
  total_.tokens -= static_cast<double>(beat_bytes);
  counts_.bytes += beat_bytes;
  ++counts_.beats;
  follower.next_beat = now + beat_;
  return true;
}

void Feed::send_renewal(Nanos now, MemberId id, Follower& follower) {
  // Deletions since its begin are needed behind it; and it must not go back.
  if (state_.floor() > follower.renewal_at || follower.at.taken > follower.renewal_at)
    begin_renewal(now, follower);
  const Version at = follower.renewal_at;
  const Version from = follower.at.renewing == at && !follower.anew ? follower.at.renewed : Version{};
  Version upto = at;
  std::size_t bytes = 0;
  std::vector<const Entry*> entries;
  if (!follower.renewal_names.empty())
    state_.since(from, at, follower.renewal_names, [&](const Entry& entry) {
      ++counts_.visited;
      if (entry.deleted) return true;
      const std::size_t more = bytes_of(entry);
      if (bytes + more > most_part_) {
        upto = entries.back()->version;
        return false;
      }
      bytes += more;
      entries.push_back(&entry);
      return true;
    });
  if (!pay(now, id, follower, bytes + message_overhead)) return;
  follower.expects = {};
  follower.expects.renewing = at;
  follower.expects.renewed = upto;
  actions_.renewal(id, follower.of, follower.number, at, follower.renewal, from, upto, state_.last(),
                   entries);
}

void Feed::send_delta(Nanos now, MemberId id, Follower& follower) {
  const Version from = follower.at.staged;
  Version upto = state_.last();
  bool whole = true;
  std::size_t bytes = 0;
  std::vector<const Entry*> entries;
  state_.since(from, upto, follower.names, [&](const Entry& entry) {
    ++counts_.visited;
    const std::size_t more = bytes_of(entry);
    if (bytes + more > most_part_) {
      upto = entries.back()->version;
      whole = false;
      return false;
    }
    bytes += more;
    entries.push_back(&entry);
    return true;
  });
  if (entries.empty() && from == follower.at.taken && !follower.owes_whole)
    return void(follower.dirty = false); // it has all: beats tell it so
  if (!pay(now, id, follower, bytes + message_overhead)) return;
  follower.dirty = !whole;
  follower.expects = {};
  follower.expects.staged = upto;
  if (whole) follower.expects.taken = upto;
  actions_.delta(id, follower.of, follower.number, from, upto, state_.last(), age(now), entries);
}

// It can't go on by a delta: deletions are forgotten, or there is a scope of which it holds nothing.
bool Feed::lacks(const Follower& follower) const {
  if (follower.at.staged < state_.floor()) return true;
  return !follower.renewed && std::any_of(follower.scopes.begin(), follower.scopes.end(),
                                          [](const FollowedScope& one) { return !one.held; });
}

// Whatever is due for one follower, and when it is to be looked at again.
void Feed::turn(Nanos now, MemberId id, Follower& follower) {
  ++counts_.visited;
  if (now - follower.last_received_at >= silent_) {
    ++counts_.dropped;
    return drop(id, follower, now);
  }
  if (follower.under_way && now - follower.sent_at >= answer_time(follower)) {
    follower.under_way = false;
    follower.dirty = true;
    ++follower.repeats;
    ++counts_.repeats;
    if (follower.renewing && follower.repeats >= most_repeats) {
      end_renewal(now, follower, false);
      if (!needs_renewal(now, id, follower)) return;
    }
  }
  follower.credit_at = -1;
  // Who is ahead gets nothing; nor is there anything before the first entry.
  const bool behind_it = state_.last() == Version{} || follower.at.staged > state_.last();
  if (follower.primary && !behind_it && !follower.under_way && follower.waits == 0) {
    if (!follower.renews && follower.dirty && lacks(follower) && !needs_renewal(now, id, follower)) return;
    if (follower.renewing)
      send_renewal(now, id, follower);
    else if (!follower.renews && follower.dirty)
      send_delta(now, id, follower);
  }
  // With a place free it is admitted at the end of this turn.
  if (follower.ticket != 0 && now >= follower.rested_until && renewing_ >= most_whole_) {
    const Nanos rest = rest_of(follower);
    if (pay_beat(now, follower)) actions_.rest(id, follower.of, follower.number, rest);
    follower.rested_until = std::max(now + rest, follower.next_beat);
  }
  if (now >= follower.next_beat && pay_beat(now, follower)) {
    const bool has_all = follower.primary && !behind_it && !follower.renews && !follower.dirty &&
                         !follower.under_way && follower.at.staged == follower.at.taken;
    if (has_all)
      actions_.delta(id, follower.of, follower.number, follower.at.taken, state_.last(), state_.last(),
                     age(now), {});
    else
      actions_.beat(id, follower.of, follower.number, state_.last(), age(now));
  }
  Nanos next = std::min(follower.last_received_at + silent_, follower.next_beat);
  if (follower.under_way) next = std::min(next, follower.sent_at + answer_time(follower));
  if (follower.credit_at >= 0) next = std::min(next, follower.credit_at);
  if (follower.ticket != 0) next = std::min(next, follower.rested_until);
  plan(id, follower, std::max(next, now + 1));
}

Nanos Feed::next_wake() const {
  if (renewing_ < most_whole_ && !line_.empty()) return 0;
  Nanos next = wakes_.empty() ? -1 : wakes_.begin()->first;
  if (!credit_line_.empty() && (next < 0 || credit_wake_ < next)) next = credit_wake_;
  return next;
}

void Feed::due(Nanos now) {
  while (!wakes_.empty() && wakes_.begin()->first <= now) {
    const MemberId id = wakes_.begin()->second;
    Follower& follower = followers_.at(id);
    wakes_.erase(wakes_.begin());
    follower.wake = -1;
    turn(now, id, follower);
  }
  admit(now);
  while (!credit_line_.empty()) {
    const auto [ticket, id] = *credit_line_.begin();
    Follower& follower = followers_.at(id);
    total_.fill(now);
    credit_wake_ = total_.when(now, static_cast<double>(follower.wants));
    if (credit_wake_ > now) break;
    credit_line_.erase(ticket);
    follower.waits = 0;
    serving_ = id;
    turn(now, id, follower);
    serving_ = {};
  }
}

std::vector<Feed::Status> Feed::status() const {
  std::vector<Status> all;
  for (const auto& [id, follower] : followers_)
    all.push_back(
        {id, follower.of, follower.primary, follower.renewing, follower.at.taken, follower.last_received_at});
  return all;
}

} // namespace cometshift
