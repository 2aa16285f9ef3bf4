// The control member's side of configuration distribution: sends committed entries to the servers that follow
// it. A pure state machine: no I/O and no clock; each call carries the time, and messages go out through
// `FeedActions`. docs/control.md compares the designs that were considered.
//
// Each follower has a position in the total order of entries (entries.hpp); no other per-follower queue
// exists. A commit marks the followers of its scope as dirty. What a follower lacks is read from `state` when
// it is served, so changes that come together are sent together, and only the newest entry of each key. One
// part is in flight to a follower at a time; the next one goes out when it is acknowledged, and it is sent
// again after a timeout.
// - A delta from version `from` up to `upto`: whoever has everything up to `from` then has everything of its
//   scopes up to `upto`. A long delta is split into parts, which the follower stages and applies with the
//   last one: entries that were not sent yet may be replaced by newer ones between two parts, so only the end
//   is a state that existed.
// - A renewal is a snapshot that replaces whole scopes. It is sent if tombstones after the follower's version
//   have been dropped, if the follower has nothing of a scope, or if digests differ. Scopes with equal
//   digests are left out. It transfers the scopes as they were at version `at`, and a delta from there
//   follows it. At most `control.most_whole` renewals run at once; other followers wait in a queue and are
//   told for about how long, by their place in the queue and with random jitter.
// - Deltas and renewals go only to followers that attached to this member as their primary. Secondary
//   attachments get heartbeats alone.
// An inactive feed (the control member has no state yet) sends nothing and refers followers to other members.
//
// The methods that stand for messages are named as in peers/control.proto.
//
// Cost: a commit or a wake-up costs time in proportion to the followers concerned; `visited` counts them.
// Heartbeats cost one message per follower and `control.beat`.
// Limits: the number of followers (.most_followers), the scopes of each (following.hpp), the bytes sent to
// each follower and to all over any period (token buckets), and concurrent renewals. Times are in ns of the
// caller's clock. Actions must not call back into the feed. `state` must outlive the feed and hold committed
// entries only.
// Errors: the constructor throws std::invalid_argument with the name of a setting that is missing or invalid.
// Invalid input from other members is counted and changes nothing.
#pragma once

#include "following.hpp"

#include <deque>
#include <set>

namespace cometshift {

// The messages of a feed to its followers. `incarnation` and `number` identify the follower's incarnation and
// attachment; the follower ignores messages to others. `last` is the newest version of the state that was
// read: a delta up to `last` is complete, and what is staged may be applied. Entries are valid until the call
// returns.
class FeedActions {
 public:
  virtual ~FeedActions() = default;
  virtual void delta(MemberId to, Incarnation incarnation, AttachmentNumber number, Version from,
                     Version upto, Version last, Nanos age, const std::vector<const Entry*>& entries) = 0;
  // `scopes` are indexes into the follower's list of scopes. The first part has a `from` of {}, the last an
  // `upto` of `at`. Contains no tombstones.
  virtual void renewal(MemberId to, Incarnation incarnation, AttachmentNumber number, Version at,
                       const std::vector<std::uint16_t>& scopes, Version from, Version upto, Version last,
                       const std::vector<const Entry*>& entries) = 0;
  // Everything committed here is up to `committed`, which was known to be the newest version `age` ago (-1:
  // never).
  virtual void beat(MemberId to, Incarnation incarnation, AttachmentNumber number, Version committed,
                    Nanos age) = 0;
  // The follower has to wait for a renewal, for about `rest`.
  virtual void rest(MemberId to, Incarnation incarnation, AttachmentNumber number, Nanos rest) = 0;
  // This feed is inactive or full: the follower should attach to another control member.
  virtual void elsewhere(MemberId to, Incarnation incarnation, AttachmentNumber number) = 0;
  // The attachment is unknown here (or no longer known): the follower has to attach again.
  virtual void again(MemberId to, Incarnation incarnation, AttachmentNumber number) = 0;
};

// Distributes the entries of one control member to its followers.
class Feed {
 public:
  // Settings; time spans in ns:
  // - control.beat: the longest time between two messages to a follower
  // - control.silent: a follower that has sent nothing for so long is dropped; more than two heartbeats
  // - control.answer: the time-out of a part, after which it is sent again; doubled with each repeat
  // - control.most_part: the entries of one message, in bytes; at least the size of the largest entry
  // - control.rate, control.burst: token bucket of one follower, in bytes per second and bytes; the burst is
  //   at least one part
  // - control.total_rate, control.total_burst: token bucket of all followers together
  // - control.most_followers; control.most_whole: concurrent renewals
  // - control.most_key, control.most_value: see entries.hpp
  Feed(Nanos now, const Entries& state, const Settings& settings, std::uint64_t seed, FeedActions& actions);
  Feed(const Feed&) = delete;
  Feed& operator=(const Feed&) = delete;

  // ---- from the control member itself
  // `state` is complete. A new feed is inactive.
  void activate(Nanos now);
  // `state` is about to be replaced or discarded: refers all followers to other members.
  void deactivate(Nanos now);
  // `entry` has been added to `state`.
  void committed(Nanos now, const Entry& entry);
  // `state` is known to be the newest, from contact with the writer.
  void confirm_current(Nanos now);

  // ---- messages from followers
  void follow(Nanos now, MemberId from, Incarnation incarnation, AttachmentNumber number, bool primary,
              const Position& at, const std::vector<FollowedScope>& scopes);
  // The follower's position: its acknowledgement of a part, and its heartbeat.
  void have(Nanos now, MemberId from, Incarnation incarnation, AttachmentNumber number, const Position& at);
  // Digests of the follower's scopes, in the order of its list, at version `at`.
  void compare(Nanos now, MemberId from, Incarnation incarnation, AttachmentNumber number, Version at,
               const std::vector<std::uint64_t>& digests);
  void unfollow(Nanos now, MemberId from, Incarnation incarnation, AttachmentNumber number);

  // ---- time
  Nanos next_wake() const; // -1: none
  void due(Nanos now);     // sends what is due; also called at the end of each turn of the event loop

  bool is_inactive() const { return inactive_; }
  std::size_t followers() const { return followers_.size(); }
  std::size_t renewals() const { return active_renewals_; }
  std::size_t waiting_for_renewal() const { return renewal_queue_.size(); }
  struct Counts {
    // dropped: unresponsive followers; refused: followers beyond control.most_followers
    std::uint64_t parts = 0, repeats = 0, renewals = 0, beats = 0, bytes = 0, visited = 0, invalid = 0,
                  dropped = 0, refused = 0;
  };
  const Counts& counts() const { return counts_; }
  struct Status { // of one follower
    MemberId member{};
    Incarnation incarnation{};
    bool primary = false, renewing = false;
    Version taken{};
    Nanos last_received_at = 0;
  };
  std::vector<Status> status() const;

 private:
  struct Bucket { // a token bucket of bytes
    double rate = 0, burst = 0, tokens = 0;
    Nanos filled_at = 0;
    void fill(Nanos now);
    Nanos available_at(Nanos now, double bytes) const; // when there will be enough tokens for `bytes`
  };
  struct Follower {
    Incarnation incarnation{};
    AttachmentNumber number{};
    bool primary = false;
    std::vector<FollowedScope> scopes; // as last reported
    Version digests_at{};              // the version of the state that the reported digests belong to
    std::vector<std::string> scope_names;
    Position position;
    Bucket bucket;
    Nanos last_received_at = 0, next_beat = 0, wake_at = -1;
    // A part in flight, and the position that acknowledges it.
    bool in_flight = false;
    Nanos sent_at = 0;
    Position expected;
    int repeats = 0;
    bool dirty = false;          // there may be newer entries in its scopes than it has
    bool final_part_due = false; // it has staged entries to apply, though there may be nothing more to send
    // A renewal: pending from the request to the end; queued while it has a ticket, then in progress
    // (`renewing`).
    bool renewal_pending = false, renewing = false, renewed = false;
    std::uint64_t renewal_ticket = 0;
    Nanos rest_until = 0, renewing_since = 0;
    Version renewal_at{};
    std::uint32_t renewals_before = 0;
    // No part of this renewal is acknowledged: the reported position may be of an earlier renewal, of other
    // scopes.
    bool renewal_unacked = false;
    std::vector<std::uint16_t> renewal_scopes; // the scopes that the renewal replaces
    std::vector<std::string> renewal_scope_names;
    // Credit: when the follower's own bucket has enough; and its ticket in the queue for the total bucket (0:
    // not queued), with the bytes that it waits for.
    Nanos credit_at = -1;
    std::uint64_t credit_ticket = 0;
    std::size_t credit_bytes = 0;
  };

  Follower* find_follower(Nanos now, MemberId from, Incarnation incarnation, AttachmentNumber number);
  void drop(MemberId id, Follower& follower, Nanos now);
  Bucket restore_bucket(Nanos now, MemberId id);
  bool part_acked(const Follower& follower) const;
  bool delta_impossible(const Follower& follower) const;
  void check_digests(Nanos now, MemberId id, Follower& follower, Version at);
  bool request_renewal(Nanos now, MemberId id, Follower& follower);
  void begin_renewal(Nanos now, Follower& follower);
  void end_renewal(Nanos now, Follower& follower, bool done);
  void start_renewals(Nanos now);
  Nanos rest_time(const Follower& follower);
  void schedule(MemberId id, Follower& follower, Nanos at);
  void serve(Nanos now, MemberId id, Follower& follower);
  bool spend_credit(Nanos now, MemberId id, Follower& follower, std::size_t bytes);
  bool spend_beat_credit(Nanos now, Follower& follower);
  void send_renewal(Nanos now, MemberId id, Follower& follower);
  void send_delta(Nanos now, MemberId id, Follower& follower);
  Nanos answer_timeout(const Follower& follower) const;
  Nanos age(Nanos now) const { return confirmed_at_ < 0 ? -1 : now - confirmed_at_; }

  const Entries& state_;
  FeedActions& actions_;
  Pcg random_;
  Nanos beat_interval_, silence_timeout_, answer_timeout_;
  std::size_t max_part_bytes_, max_followers_, max_renewals_;
  double rate_, burst_;
  Nanos refill_time_; // of a follower's empty bucket
  Bucket total_bucket_;
  Nanos credit_wake_at_ = -1; // when the total bucket has enough for the first in credit_queue_
  MemberId serving_{};        // the follower that is served from the head of credit_queue_
  bool inactive_ = true;
  Nanos confirmed_at_ = -1;
  std::map<MemberId, Follower> followers_;
  std::map<std::string, std::set<MemberId>, std::less<>> followers_by_scope_;
  std::set<std::pair<Nanos, MemberId>> wakes_;
  std::map<MemberId, Bucket> departed_; // buckets of former followers, until they would be full
  std::deque<std::pair<Nanos, MemberId>> departed_order_;
  std::map<std::uint64_t, MemberId> renewal_queue_; // by ticket
  std::map<std::uint64_t, MemberId> credit_queue_;  // by ticket; followers that wait for the total bucket
  std::uint64_t last_ticket_ = 0;
  std::size_t active_renewals_ = 0;
  Nanos mean_renewal_time_; // a moving average, used to estimate waiting times
  Counts counts_;
};

} // namespace cometshift
