// What a control member gives out to the servers that follow it. Decides only: no I/O, no clock, one time
// with each call; what is to be said goes out by `FeedActions`. docs/control.md has the ways weighed.
//
// Each follower has a position in the one order of entries (entries.hpp), and nothing is queued for it but
// that. A commit marks the followers of its scope; what they lack is read from `state` when their turn comes,
// so changes that come together go out together, and of a key only the newest. One part is under way to a
// follower at a time; the next goes when that is answered, the same again when it is not.
// - A delta says: who has all up to `from` has with this all of its scopes up to `upto`. A long one goes in
//   parts, which are staged and taken with the last: between, newer entries may have replaced some that were
//   not sent yet, so only the end is a state that was.
// - A renewal replaces scopes: where deletions after the follower's version are forgotten, where it holds
//   nothing of a scope, or where digests differ. Scopes whose digests agree are left out. It gives the scopes
//   as they were at version `at`; a delta from there goes behind it. At most `control.most_whole` at once;
//   the others wait in line and are told for how long, by their place and with some chance.
// - A follower's first line is its primary; to a secondary only beats go.
// A blank control member gives nothing, and says that others should be asked.
//
// Cost: of a commit and of a wake that of the followers concerned; `visited` counts them. Beats cost each
// follower one word in `control.beat`.
// Bounds: followers (.most_followers), scopes of each (following.hpp), bytes to each and to all over any
// span (token buckets), renewals at once. Times: ns of the caller's clock. Nothing that is ordered may call
// back within the order. `state` outlives the feed, and holds what is committed and no more.
// Errors: the constructor throws std::invalid_argument with the name of a figure that is missing or
// senseless. What comes from others and makes no sense is counted and changes nothing.
#pragma once

#include "following.hpp"

#include <deque>
#include <set>

namespace cometshift {

// `of`, `number`: of the follower's life and attachment that is meant; it passes over words of others.
// `last`: of the state that it was read from. A delta up to there is the end: what is staged may be taken.
// Entries are held until the call returns.
class FeedActions {
 public:
  virtual ~FeedActions() = default;
  virtual void delta(MemberId to, Incarnation incarnation, AttachmentNumber number, Version from,
                     Version upto, Version last, Nanos age, const std::vector<const Entry*>& entries) = 0;
  // `scopes`: places in the list that the follower gave. Begins with a `from` of none, ends with `upto` at
  // `at`. No deletions are in it.
  virtual void renewal(MemberId to, Incarnation incarnation, AttachmentNumber number, Version at,
                       const std::vector<std::uint16_t>& scopes, Version from, Version upto, Version last,
                       const std::vector<const Entry*>& entries) = 0;
  // All that is committed here is `committed`, which was known to be the newest `age` ago.
  virtual void beat(MemberId to, Incarnation incarnation, AttachmentNumber number, Version committed,
                    Nanos age) = 0;
  // A renewal has to wait about so long.
  virtual void rest(MemberId to, Incarnation incarnation, AttachmentNumber number, Nanos rest) = 0;
  // Nothing is to be had here: blank, or no room.
  virtual void elsewhere(MemberId to, Incarnation incarnation, AttachmentNumber number) = 0;
  // That attachment is not known here (any more): follow again.
  virtual void again(MemberId to, Incarnation incarnation, AttachmentNumber number) = 0;
};

class Feed {
 public:
  // `figures`, spans in ns:
  // - control.beat: a follower hears at least so often; control.silent: without a word of it for so long it
  //   is dropped; over two beats
  // - control.answer: a part that is not answered so long is sent again, later each time
  // - control.most_part: bytes of entries in one word; at least the largest entry
  // - control.rate, control.burst: bytes a second to one follower, and at once; the burst is at least a part
  // - control.total_rate, control.total_burst: the same, to all
  // - control.most_followers; control.most_whole: renewals at once
  // - control.most_key, control.most_value: as entries.hpp
  Feed(Nanos now, const Entries& state, const Settings& settings, std::uint64_t seed, FeedActions& actions);
  Feed(const Feed&) = delete;
  Feed& operator=(const Feed&) = delete;

  // ---- the control member's own
  void activate(Nanos now);   // it was brought up: no longer blank, as it is at first
  void deactivate(Nanos now); // `state` is about to be replaced or given up: all followers are sent elsewhere
  void committed(Nanos now, const Entry& entry); // `state` has it now
  void confirm_current(Nanos now);               // `state` is known to be the newest: the writer was heard

  // ---- what followers say
  void follow(Nanos now, MemberId from, Incarnation incarnation, AttachmentNumber number, bool primary,
              const Position& at, const std::vector<FollowedScope>& scopes);
  // How far it is: the answer to each part, and its beat.
  void have(Nanos now, MemberId from, Incarnation incarnation, AttachmentNumber number, const Position& at);
  // Digests of its scopes, in their order, at version `at`.
  void compare(Nanos now, MemberId from, Incarnation incarnation, AttachmentNumber number, Version at,
               const std::vector<std::uint64_t>& digests);
  void unfollow(Nanos now, MemberId from, Incarnation incarnation, AttachmentNumber number);

  // ---- time
  Nanos next_wake() const; // -1: none
  void due(Nanos now);     // says what there is to say; also at the end of a turn

  bool is_inactive() const { return inactive_; }
  std::size_t followers() const { return followers_.size(); }
  std::size_t renewals() const { return active_renewals_; }
  std::size_t waiting_for_renewal() const { return renewal_queue_.size(); } // for a renewal
  struct Counts {
    std::uint64_t parts = 0, repeats = 0, renewals = 0, beats = 0, bytes = 0, visited = 0, invalid = 0,
                  dropped = 0, refused = 0; // dropped: silent; refused: no room
  };
  const Counts& counts() const { return counts_; }
  struct Status {
    MemberId member{};
    Incarnation incarnation{};
    bool primary = false, renewing = false;
    Version taken{};
    Nanos last_received_at = 0;
  };
  std::vector<Status> status() const;

 private:
  struct Bucket {
    double rate = 0, burst = 0, tokens = 0;
    Nanos filled_at = 0;
    void fill(Nanos now);
    Nanos available_at(Nanos now, double bytes) const; // enough will be there
  };
  struct Follower {
    Incarnation incarnation{};
    AttachmentNumber number{};
    bool primary = false;
    std::vector<FollowedScope> scopes;    // as it last told
    Version digests_at{};                 // of the state that they are of
    std::vector<std::string> scope_names; // of them
    Position position;
    Bucket bucket;
    Nanos last_received_at = 0, next_beat = 0, wake_at = -1;
    // A part under way: what is to be there when it is answered.
    bool in_flight = false;
    Nanos sent_at = 0;
    Position expected;
    int repeats = 0;
    bool dirty = false;          // something of its scopes may be newer than what it has
    bool final_part_due = false; // what it has staged is to be taken, though nothing may follow
    // A renewal: with a `ticket` in line for it, or under way.
    bool renewal_pending = false, renewing = false, renewed = false;
    std::uint64_t renewal_ticket = 0;
    Nanos rest_until = 0, renewing_since = 0;
    Version renewal_at{};
    std::uint32_t renewals_before = 0;
    bool renewal_unacked = false; // no part of it was answered: one of before may be of other scopes
    std::vector<std::uint16_t> renewal_scopes; // scopes that it replaces
    std::vector<std::string> renewal_scope_names;
    // Credit: its own comes then; of all, its ticket in line, and for how much. 0: it is not in line.
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
  Nanos refill_time_; // a follower's credit, from none
  Bucket total_bucket_;
  Nanos credit_wake_at_ = -1; // there is enough of it for the first in line
  MemberId serving_{};        // it was first
  bool inactive_ = true;
  Nanos confirmed_at_ = -1;
  std::map<MemberId, Follower> followers_;
  std::map<std::string, std::set<MemberId>, std::less<>> followers_by_scope_;
  std::set<std::pair<Nanos, MemberId>> wakes_;
  std::map<MemberId, Bucket> departed_; // of those that went, until they would be full
  std::deque<std::pair<Nanos, MemberId>> departed_order_;
  std::map<std::uint64_t, MemberId> renewal_queue_; // for a renewal
  std::map<std::uint64_t, MemberId> credit_queue_;  // for credit of all
  std::uint64_t last_ticket_ = 0;                   // in the order of their numbers
  std::size_t active_renewals_ = 0;
  Nanos mean_renewal_time_; // a mean of those before, for what is told to those in line
  Counts counts_;
};

} // namespace cometshift
