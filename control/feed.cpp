#include "feed.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace cometshift {

namespace {

constexpr double second = 1e9; // ns
constexpr double ms = 1e6;     // ns
// The time-out of a part doubles with each repeat, up to this many times, so that a slow follower is not
// flooded with copies of the same part.
constexpr int max_timeout_doublings = 4;
// Repeats of a part of a renewal before the renewal is interrupted and its place given to another follower.
constexpr int max_repeats = 3;
constexpr double renewal_time_weight = 0.2;  // of the latest renewal in the moving average of their durations
constexpr double min_beats_per_interval = 4; // heartbeats that the rate of a follower must allow per interval

bool is_valid(const std::vector<FollowedScope>& scopes) {
  std::size_t bytes = 0;
  std::set<std::string_view> seen;
  for (const FollowedScope& one : scopes) {
    bytes += one.scope.size();
    if (one.scope.empty() || !seen.insert(one.scope).second) return false;
  }
  return !scopes.empty() && scopes.size() <= max_scopes && bytes <= max_scope_bytes;
}
bool is_valid(const Position& at) { return at.staged >= at.taken && at.renewed <= at.renewing; }

} // namespace

// ---- credit

void Feed::Bucket::fill(Nanos now) {
  if (now <= filled_at) return;
  tokens = std::min(burst, tokens + rate * static_cast<double>(now - filled_at) / second);
  filled_at = now;
}
Nanos Feed::Bucket::available_at(Nanos now, double bytes) const {
  return tokens >= bytes ? now : now + 1 + static_cast<Nanos>(std::ceil((bytes - tokens) / rate * second));
}

// Bytes already sent to a follower count against its token bucket even after it has left and come back.
Feed::Bucket Feed::restore_bucket(Nanos now, MemberId id) {
  while (!departed_order_.empty() && departed_order_.front().first <= now) {
    const auto at = departed_.find(departed_order_.front().second);
    if (at != departed_.end() && at->second.filled_at + refill_time_ <= now) departed_.erase(at);
    departed_order_.pop_front();
  }
  Bucket bucket{rate_, burst_, burst_, now};
  if (const auto at = departed_.find(id); at != departed_.end()) {
    bucket = at->second;
    departed_.erase(at);
    bucket.fill(now);
  }
  return bucket;
}

Feed::Feed(Nanos now, const Entries& state, const Settings& settings, std::uint64_t seed,
           FeedActions& actions)
    : state_(state), actions_(actions), random_(seed) {
  beat_interval_ = static_cast<Nanos>(required_number(settings, "control.beat", ms));
  silence_timeout_ = static_cast<Nanos>(
      required_number(settings, "control.silent", 2 * static_cast<double>(beat_interval_)));
  answer_timeout_ = static_cast<Nanos>(required_number(settings, "control.answer", ms));
  const double largest =
      required_number(settings, "control.most_key", 1) + required_number(settings, "control.most_value", 0);
  const double part =
      required_number(settings, "control.most_part", largest + static_cast<double>(entry_overhead));
  max_part_bytes_ = static_cast<std::size_t>(part);
  const double min_rate =
      min_beats_per_interval * static_cast<double>(beat_bytes) * second / static_cast<double>(beat_interval_);
  rate_ = required_number(settings, "control.rate", min_rate);
  burst_ = required_number(settings, "control.burst", part + static_cast<double>(message_overhead));
  refill_time_ = static_cast<Nanos>(burst_ / rate_ * second) + 1;
  const double total_rate = required_number(settings, "control.total_rate", rate_);
  const double total_burst = required_number(settings, "control.total_burst", burst_);
  total_bucket_ = {total_rate, total_burst, total_burst, now};
  max_followers_ = static_cast<std::size_t>(required_number(settings, "control.most_followers", 1));
  max_renewals_ = static_cast<std::size_t>(required_number(settings, "control.most_whole", 1));
  mean_renewal_time_ = answer_timeout_;
}

// ---- the control member's own

void Feed::activate(Nanos now) {
  inactive_ = false;
  confirm_current(now);
}

void Feed::deactivate(Nanos now) {
  inactive_ = true;
  confirmed_at_ = -1;
  for (const auto& [id, follower] : followers_) actions_.elsewhere(id, follower.incarnation, follower.number);
  while (!followers_.empty()) drop(followers_.begin()->first, followers_.begin()->second, now);
}

void Feed::committed(Nanos now, const Entry& entry) {
  const auto scope = followers_by_scope_.find(scope_of(entry.key));
  if (scope == followers_by_scope_.end()) return;
  for (const MemberId id : scope->second) {
    ++counts_.visited;
    Follower& follower = followers_.at(id);
    follower.dirty = true;
    // Otherwise it is served when its acknowledgement arrives or its credit is available.
    if (!follower.in_flight && follower.credit_ticket == 0 && follower.renewal_ticket == 0)
      schedule(id, follower, now);
  }
}

void Feed::confirm_current(Nanos now) { confirmed_at_ = now; }

// ---- what followers say

Feed::Follower* Feed::find_follower(Nanos now, MemberId from, Incarnation incarnation,
                                    AttachmentNumber number) {
  if (inactive_) return actions_.elsewhere(from, incarnation, number), nullptr;
  const auto at = followers_.find(from);
  if (at != followers_.end() && at->second.incarnation == incarnation) {
    if (number < at->second.number) return nullptr; // a late message of an earlier attachment
    if (number == at->second.number) {
      at->second.last_received_at = now;
      return &at->second;
    }
  }
  actions_.again(from, incarnation, number);
  return nullptr;
}

void Feed::follow(Nanos now, MemberId from, Incarnation incarnation, AttachmentNumber number, bool primary,
                  const Position& at, const std::vector<FollowedScope>& scopes) {
  if (number.raw == 0 || !is_valid(scopes) || !is_valid(at)) return void(++counts_.invalid);
  if (inactive_) return actions_.elsewhere(from, incarnation, number);
  if (const auto old = followers_.find(from); old != followers_.end()) {
    if (old->second.incarnation == incarnation && number <= old->second.number) return; // late or duplicate
    drop(from, old->second, now);
  }
  if (followers_.size() >= max_followers_) {
    ++counts_.refused;
    return actions_.elsewhere(from, incarnation, number);
  }
  Follower& follower = followers_[from];
  follower.incarnation = incarnation;
  follower.number = number;
  follower.primary = primary;
  follower.scopes = scopes;
  follower.digests_at = at.taken;
  for (const FollowedScope& one : scopes) follower.scope_names.push_back(one.scope);
  follower.position = at;
  follower.bucket = restore_bucket(now, from);
  follower.last_received_at = now;
  follower.next_beat = now;
  follower.dirty = primary;
  if (primary)
    for (const std::string& name : follower.scope_names) followers_by_scope_[name].insert(from);
  if (primary && at.staged == at.taken) check_digests(now, from, follower, at.taken);
  schedule(from, follower, now);
}

void Feed::have(Nanos now, MemberId from, Incarnation incarnation, AttachmentNumber number,
                const Position& at) {
  if (!is_valid(at)) return void(++counts_.invalid);
  Follower* const follower = find_follower(now, from, incarnation, number);
  if (!follower || !follower->primary) return;
  // A lower position than the last reported one means that entries have to be sent again. Staged entries
  // still need the final part that applies them.
  if (at.staged < follower->position.staged || at.staged > at.taken) follower->dirty = true;
  follower->position = at;
  if (follower->in_flight && part_acked(*follower)) {
    follower->in_flight = false;
    follower->repeats = 0;
    if (!follower->renewing) {
      if (at.taken == at.staged) follower->final_part_due = false;
    } else if (at.renewals != follower->renewals_before && at.staged >= follower->renewal_at) {
      end_renewal(now, *follower, true);
      follower->dirty = follower->final_part_due = follower->renewed = true;
    } else {
      follower->renewals_before = at.renewals;
      follower->renewal_unacked = false;
    }
    schedule(from, *follower, now);
  } else if (follower->dirty && !follower->in_flight && follower->credit_ticket == 0 &&
             follower->renewal_ticket == 0) {
    schedule(from, *follower, now);
  }
}

// Whether the reported position acknowledges the part in flight.
bool Feed::part_acked(const Follower& follower) const {
  const Position& at = follower.position;
  if (!follower.renewing) return at.staged >= follower.expected.staged && at.taken >= follower.expected.taken;
  if (at.renewals != follower.renewals_before) return true;
  return follower.expected.renewed != follower.renewal_at && at.renewing == follower.renewal_at &&
         at.renewed >= follower.expected.renewed;
}

// Requests a renewal if the follower's digests at `at` differ from the digests here. They are comparable only
// if no entry of its scopes is newer than `at`.
void Feed::check_digests(Nanos now, MemberId id, Follower& follower, Version at) {
  if (follower.renewal_pending || at > state_.last() || at < state_.floor()) return;
  bool newer = false;
  ++counts_.visited;
  state_.for_each_since(at, state_.last(), follower.scope_names,
                        [&newer](const Entry&) { return !(newer = true); });
  if (newer) return;
  for (const FollowedScope& one : follower.scopes)
    if (one.held && one.digest != state_.digest(one.scope)) {
      request_renewal(now, id, follower);
      return;
    }
}

void Feed::compare(Nanos now, MemberId from, Incarnation incarnation, AttachmentNumber number, Version at,
                   const std::vector<std::uint64_t>& digests) {
  Follower* const follower = find_follower(now, from, incarnation, number);
  if (!follower) return;
  if (digests.size() != follower->scopes.size()) return void(++counts_.invalid);
  if (!follower->primary || follower->renewal_pending) return;
  for (std::size_t i = 0; i < digests.size(); ++i)
    follower->scopes[i] = {follower->scope_names[i], digests[i], true};
  follower->digests_at = at;
  check_digests(now, from, *follower, at);
}

void Feed::unfollow(Nanos now, MemberId from, Incarnation incarnation, AttachmentNumber number) {
  const auto at = followers_.find(from);
  // Also ends an older attachment: the follow message of `number` itself may never have arrived here.
  if (at != followers_.end() && at->second.incarnation == incarnation && at->second.number <= number)
    drop(from, at->second, now);
}

void Feed::drop(MemberId id, Follower& follower, Nanos now) {
  if (follower.primary)
    for (const std::string& name : follower.scope_names) {
      const auto at = followers_by_scope_.find(name);
      if (at == followers_by_scope_.end()) continue;
      at->second.erase(id);
      if (at->second.empty()) followers_by_scope_.erase(at);
    }
  if (follower.wake_at >= 0) wakes_.erase({follower.wake_at, id});
  if (follower.credit_ticket != 0) credit_queue_.erase(follower.credit_ticket);
  end_renewal(now, follower, false);
  follower.bucket.fill(now);
  // If there is no room, the bucket is not kept, and a follower that comes back starts with a full one.
  if (departed_.size() < max_followers_ && departed_order_.size() < 2 * max_followers_) {
    departed_[id] = follower.bucket;
    departed_order_.emplace_back(now + refill_time_, id);
  }
  followers_.erase(id);
}

// ---- renewals

// Returns false if the follower was dropped and has to attach again.
bool Feed::request_renewal(Nanos now, MemberId id, Follower& follower) {
  if (follower.renewal_pending) return true;
  if (follower.digests_at != follower.position.taken) {
    // The reported digests are of an older state than the one that the follower has now. An entry that was
    // added and deleted in between leaves no trace in a digest, so equal digests of an older state prove
    // nothing.
    actions_.again(id, follower.incarnation, follower.number);
    drop(id, follower, now);
    return false;
  }
  follower.renewal_pending = true;
  follower.in_flight = false;
  follower.repeats = 0;
  follower.renewal_ticket = ++last_ticket_;
  follower.rest_until = now;
  renewal_queue_.emplace(follower.renewal_ticket, id);
  schedule(id, follower, now);
  return true;
}

void Feed::end_renewal(Nanos now, Follower& follower, bool done) {
  if (follower.renewal_ticket != 0) renewal_queue_.erase(follower.renewal_ticket);
  if (follower.renewing) --active_renewals_;
  if (follower.renewing && done) {
    ++counts_.renewals;
    const double took = static_cast<double>(now - follower.renewing_since);
    mean_renewal_time_ = static_cast<Nanos>(
        (1 - renewal_time_weight) * static_cast<double>(mean_renewal_time_) + renewal_time_weight * took);
  }
  follower.renewal_ticket = 0;
  follower.renewal_pending = follower.renewing = false;
}

// Selects the scopes that the follower lacks or whose digest differs.
void Feed::begin_renewal(Nanos now, Follower& follower) {
  follower.renewing_since = now;
  follower.renewal_at = state_.last();
  follower.renewals_before = follower.position.renewals;
  follower.renewal_unacked = true;
  follower.renewal_scopes.clear();
  follower.renewal_scope_names.clear();
  for (std::size_t i = 0; i < follower.scopes.size(); ++i) {
    const FollowedScope& one = follower.scopes[i];
    const bool digest_known = one.held && follower.digests_at == follower.position.taken;
    if (digest_known && one.digest == state_.digest(one.scope)) continue;
    follower.renewal_scopes.push_back(static_cast<std::uint16_t>(i));
    follower.renewal_scope_names.push_back(one.scope);
  }
}

void Feed::start_renewals(Nanos now) {
  while (active_renewals_ < max_renewals_ && !renewal_queue_.empty()) {
    const MemberId id = renewal_queue_.begin()->second;
    renewal_queue_.erase(renewal_queue_.begin());
    Follower& follower = followers_.at(id);
    follower.renewal_ticket = 0;
    follower.renewing = true;
    ++active_renewals_;
    begin_renewal(now, follower);
    serve(now, id, follower);
  }
}

// The estimated waiting time: from the follower's place in the queue and the mean duration of renewals, with
// jitter so that followers do not come back at the same moment.
Nanos Feed::rest_time(const Follower& follower) {
  const std::uint64_t before =
      renewal_queue_.empty() ? 0 : follower.renewal_ticket - renewal_queue_.begin()->first;
  const double turns = 1 + static_cast<double>(before) / static_cast<double>(max_renewals_);
  return static_cast<Nanos>(turns * static_cast<double>(mean_renewal_time_) * (0.5 + random_.unit()));
}

// ---- time

void Feed::schedule(MemberId id, Follower& follower, Nanos at) {
  if (follower.wake_at == at) return;
  if (follower.wake_at >= 0) wakes_.erase({follower.wake_at, id});
  follower.wake_at = at;
  wakes_.emplace(at, id);
}

Nanos Feed::answer_timeout(const Follower& follower) const {
  return answer_timeout_ << std::min(follower.repeats, max_timeout_doublings);
}

// Charges a part to both token buckets. Returns false if the credit does not suffice; the follower is served
// again when it does.
bool Feed::spend_credit(Nanos now, MemberId id, Follower& follower, std::size_t bytes) {
  const double cost = static_cast<double>(bytes);
  follower.bucket.fill(now);
  if (follower.bucket.tokens < cost) {
    follower.credit_at = follower.bucket.available_at(now, cost);
    return false;
  }
  total_bucket_.fill(now);
  const bool others_waiting = !credit_queue_.empty() && serving_ != id;
  if (others_waiting || total_bucket_.tokens < cost) {
    follower.credit_ticket = ++last_ticket_;
    follower.credit_bytes = bytes;
    credit_queue_.emplace(follower.credit_ticket, id);
    return false;
  }
  follower.bucket.tokens -= cost;
  total_bucket_.tokens -= cost;
  counts_.bytes += bytes;
  ++counts_.parts;
  follower.next_beat = now + beat_interval_;
  follower.in_flight = true;
  follower.sent_at = now;
  return true;
}

// Heartbeats are charged to the total bucket but do not wait for it: otherwise a control member that
// distributes a lot would appear unresponsive.
bool Feed::spend_beat_credit(Nanos now, Follower& follower) {
  follower.bucket.fill(now);
  if (follower.bucket.tokens < static_cast<double>(beat_bytes)) {
    follower.next_beat = follower.bucket.available_at(now, static_cast<double>(beat_bytes));
    return false;
  }
  follower.bucket.tokens -= static_cast<double>(beat_bytes);
  total_bucket_.fill(now);
  total_bucket_.tokens -= static_cast<double>(beat_bytes);
  counts_.bytes += beat_bytes;
  ++counts_.beats;
  follower.next_beat = now + beat_interval_;
  return true;
}

void Feed::send_renewal(Nanos now, MemberId id, Follower& follower) {
  // Restarts the renewal if tombstones since its version have been dropped, because the delta that follows it
  // needs them, or if the follower is already past its version.
  if (state_.floor() > follower.renewal_at || follower.position.taken > follower.renewal_at)
    begin_renewal(now, follower);
  const Version at = follower.renewal_at;
  const Version from =
      follower.position.renewing == at && !follower.renewal_unacked ? follower.position.renewed : Version{};
  Version upto = at;
  std::size_t bytes = 0;
  std::vector<const Entry*> entries;
  if (!follower.renewal_scope_names.empty())
    state_.for_each_since(from, at, follower.renewal_scope_names, [&](const Entry& entry) {
      ++counts_.visited;
      if (entry.deleted) return true;
      const std::size_t more = max_encoded_size(entry);
      if (bytes + more > max_part_bytes_) {
        upto = entries.back()->version;
        return false;
      }
      bytes += more;
      entries.push_back(&entry);
      return true;
    });
  if (!spend_credit(now, id, follower, bytes + message_overhead)) return;
  follower.expected = {};
  follower.expected.renewing = at;
  follower.expected.renewed = upto;
  actions_.renewal(id, follower.incarnation, follower.number, at, follower.renewal_scopes, from, upto,
                   state_.last(), entries);
}

void Feed::send_delta(Nanos now, MemberId id, Follower& follower) {
  const Version from = follower.position.staged;
  Version upto = state_.last();
  bool complete = true;
  std::size_t bytes = 0;
  std::vector<const Entry*> entries;
  state_.for_each_since(from, upto, follower.scope_names, [&](const Entry& entry) {
    ++counts_.visited;
    const std::size_t more = max_encoded_size(entry);
    if (bytes + more > max_part_bytes_) {
      upto = entries.back()->version;
      complete = false;
      return false;
    }
    bytes += more;
    entries.push_back(&entry);
    return true;
  });
  if (entries.empty() && from == follower.position.taken && !follower.final_part_due)
    return void(follower.dirty = false); // up to date: a heartbeat confirms it
  if (!spend_credit(now, id, follower, bytes + message_overhead)) return;
  follower.dirty = !complete;
  follower.expected = {};
  follower.expected.staged = upto;
  if (complete) follower.expected.taken = upto;
  actions_.delta(id, follower.incarnation, follower.number, from, upto, state_.last(), age(now), entries);
}

// A delta is not enough: tombstones that the follower needs have been dropped, or it has nothing of a scope.
bool Feed::delta_impossible(const Follower& follower) const {
  if (follower.position.staged < state_.floor()) return true;
  return !follower.renewed && std::any_of(follower.scopes.begin(), follower.scopes.end(),
                                          [](const FollowedScope& one) { return !one.held; });
}

// Sends what is due to one follower and schedules its next turn.
void Feed::serve(Nanos now, MemberId id, Follower& follower) {
  ++counts_.visited;
  if (now - follower.last_received_at >= silence_timeout_) {
    ++counts_.dropped;
    return drop(id, follower, now);
  }
  if (follower.in_flight && now - follower.sent_at >= answer_timeout(follower)) {
    follower.in_flight = false;
    follower.dirty = true;
    ++follower.repeats;
    ++counts_.repeats;
    if (follower.renewing && follower.repeats >= max_repeats) {
      end_renewal(now, follower, false);
      if (!request_renewal(now, id, follower)) return;
    }
  }
  follower.credit_at = -1;
  // There is nothing to send to a follower that is ahead of this state, or before the first entry.
  const bool nothing_to_send = state_.last() == Version{} || follower.position.staged > state_.last();
  if (follower.primary && !nothing_to_send && !follower.in_flight && follower.credit_ticket == 0) {
    if (!follower.renewal_pending && follower.dirty && delta_impossible(follower) &&
        !request_renewal(now, id, follower))
      return;
    if (follower.renewing)
      send_renewal(now, id, follower);
    else if (!follower.renewal_pending && follower.dirty)
      send_delta(now, id, follower);
  }
  // If a renewal slot is free, the renewal starts at the end of this turn instead (start_renewals).
  if (follower.renewal_ticket != 0 && now >= follower.rest_until && active_renewals_ >= max_renewals_) {
    const Nanos rest = rest_time(follower);
    if (spend_beat_credit(now, follower)) actions_.rest(id, follower.incarnation, follower.number, rest);
    follower.rest_until = std::max(now + rest, follower.next_beat);
  }
  if (now >= follower.next_beat && spend_beat_credit(now, follower)) {
    const bool up_to_date = follower.primary && !nothing_to_send && !follower.renewal_pending &&
                            !follower.dirty && !follower.in_flight &&
                            follower.position.staged == follower.position.taken;
    if (up_to_date)
      actions_.delta(id, follower.incarnation, follower.number, follower.position.taken, state_.last(),
                     state_.last(), age(now), {});
    else
      actions_.beat(id, follower.incarnation, follower.number, state_.last(), age(now));
  }
  Nanos next = std::min(follower.last_received_at + silence_timeout_, follower.next_beat);
  if (follower.in_flight) next = std::min(next, follower.sent_at + answer_timeout(follower));
  if (follower.credit_at >= 0) next = std::min(next, follower.credit_at);
  if (follower.renewal_ticket != 0) next = std::min(next, follower.rest_until);
  schedule(id, follower, std::max(next, now + 1));
}

Nanos Feed::next_wake() const {
  if (active_renewals_ < max_renewals_ && !renewal_queue_.empty()) return 0;
  Nanos next = wakes_.empty() ? -1 : wakes_.begin()->first;
  if (!credit_queue_.empty() && (next < 0 || credit_wake_at_ < next)) next = credit_wake_at_;
  return next;
}

void Feed::due(Nanos now) {
  while (!wakes_.empty() && wakes_.begin()->first <= now) {
    const MemberId id = wakes_.begin()->second;
    Follower& follower = followers_.at(id);
    wakes_.erase(wakes_.begin());
    follower.wake_at = -1;
    serve(now, id, follower);
  }
  start_renewals(now);
  while (!credit_queue_.empty()) {
    const auto [ticket, id] = *credit_queue_.begin();
    Follower& follower = followers_.at(id);
    total_bucket_.fill(now);
    credit_wake_at_ = total_bucket_.available_at(now, static_cast<double>(follower.credit_bytes));
    if (credit_wake_at_ > now) break;
    credit_queue_.erase(ticket);
    follower.credit_ticket = 0;
    serving_ = id;
    serve(now, id, follower);
    serving_ = {};
  }
}

std::vector<Feed::Status> Feed::status() const {
  std::vector<Status> all;
  for (const auto& [id, follower] : followers_)
    all.push_back({id, follower.incarnation, follower.primary, follower.renewing, follower.position.taken,
                   follower.last_received_at});
  return all;
}

} // namespace cometshift
