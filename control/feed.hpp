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
  virtual void delta(MemberId to, Incarnation of, AttachmentNumber number, Version from, Version upto,
                     Version last, Nanos age, const std::vector<const Entry*>& entries) = 0;
  // `scopes`: places in the list that the follower gave. Begins with a `from` of none, ends with `upto` at
  // `at`. No deletions are in it.
  virtual void renewal(MemberId to, Incarnation of, AttachmentNumber number, Version at,
                       const std::vector<std::uint16_t>& scopes, Version from, Version upto, Version last,
                       const std::vector<const Entry*>& entries) = 0;
  // All that is committed here is `committed`, which was known to be the newest `age` ago.
  virtual void beat(MemberId to, Incarnation of, AttachmentNumber number, Version committed, Nanos age) = 0;
  // A renewal has to wait about so long.
  virtual void rest(MemberId to, Incarnation of, AttachmentNumber number, Nanos rest) = 0;
  // Nothing is to be had here: blank, or no room.
  virtual void elsewhere(MemberId to, Incarnation of, AttachmentNumber number) = 0;
  // That attachment is not known here (any more): follow again.
  virtual void again(MemberId to, Incarnation of, AttachmentNumber number) = 0;
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
  Feed(Nanos now, const Entries& state, const Settings& figures, std::uint64_t seed, FeedActions& orders);
  Feed(const Feed&) = delete;
  Feed& operator=(const Feed&) = delete;

  // ---- the control member's own
  void activate(Nanos now);   // it was brought up: no longer blank, as it is at first
  void deactivate(Nanos now); // `state` is about to be replaced or given up: all followers are sent elsewhere
  void committed(Nanos now, const Entry& entry); // `state` has it now
  void confirm_current(Nanos now);               // `state` is known to be the newest: the writer was heard

  // ---- what followers say
  void follow(Nanos now, MemberId from, Incarnation of, AttachmentNumber number, bool primary,
              const Position& at, const std::vector<FollowedScope>& scopes);
  // How far it is: the answer to each part, and its beat.
  void have(Nanos now, MemberId from, Incarnation of, AttachmentNumber number, const Position& at);
  // Digests of its scopes, in their order, at version `at`.
  void compare(Nanos now, MemberId from, Incarnation of, AttachmentNumber number, Version at,
               const std::vector<std::uint64_t>& digests);
  void unfollow(Nanos now, MemberId from, Incarnation of, AttachmentNumber number);

  // ---- time
  Nanos next_wake() const; // -1: none
  void due(Nanos now);     // says what there is to say; also at the end of a turn

  bool is_inactive() const { return blank_; }
  std::size_t followers() const { return followers_.size(); }
  std::size_t renewals() const { return renewing_; }
  std::size_t waiting_for_renewal() const { return line_.size(); } // for a renewal
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
    Nanos at = 0;
    void fill(Nanos now);
    Nanos when(Nanos now, double bytes) const; // enough will be there
  };
  struct Follower {
    Incarnation of{};
    AttachmentNumber number{};
    bool primary = false;
    std::vector<FollowedScope> scopes; // as it last told
    Version digests_at{};              // of the state that they are of
    std::vector<std::string> names;    // of them
    Position at;
    Bucket bucket;
    Nanos last_received_at = 0, next_beat = 0, wake = -1;
    // A part under way: what is to be there when it is answered.
    bool under_way = false;
    Nanos sent_at = 0;
    Position expects;
    int repeats = 0;
    bool dirty = false;      // something of its scopes may be newer than what it has
    bool owes_whole = false; // what it has staged is to be taken, though nothing may follow
    // A renewal: with a `ticket` in line for it, or under way.
    bool renews = false, renewing = false, renewed = false;
    std::uint64_t ticket = 0;
    Nanos rested_until = 0, renewing_since = 0;
    Version renewal_at{};
    std::uint32_t renewals_before = 0;
    bool anew = false;                  // no part of it was answered: one of before may be of other scopes
    std::vector<std::uint16_t> renewal; // scopes that it replaces
    std::vector<std::string> renewal_names;
    // Credit: its own comes then; of all, its ticket in line, and for how much. 0: it is not in line.
    Nanos credit_at = -1;
    std::uint64_t waits = 0;
    std::size_t wants = 0;
  };

  Follower* known(Nanos now, MemberId from, Incarnation of, AttachmentNumber number);
  void drop(MemberId id, Follower& follower, Nanos now);
  Bucket bucket_of(Nanos now, MemberId id);
  bool reached(const Follower& follower) const;
  bool lacks(const Follower& follower) const;
  void look_at_digests(Nanos now, MemberId id, Follower& follower, Version at);
  bool needs_renewal(Nanos now, MemberId id, Follower& follower);
  void begin_renewal(Nanos now, Follower& follower);
  void end_renewal(Nanos now, Follower& follower, bool done);
  void admit(Nanos now);
  Nanos rest_of(const Follower& follower);
  void plan(MemberId id, Follower& follower, Nanos at);
  void turn(Nanos now, MemberId id, Follower& follower);
  bool pay(Nanos now, MemberId id, Follower& follower, std::size_t bytes);
  bool pay_beat(Nanos now, Follower& follower);
  void send_renewal(Nanos now, MemberId id, Follower& follower);
  void send_delta(Nanos now, MemberId id, Follower& follower);
  Nanos answer_time(const Follower& follower) const;
  Nanos age(Nanos now) const { return current_at_ < 0 ? -1 : now - current_at_; }

  const Entries& state_;
  FeedActions& actions_;
  Pcg chance_;
  Nanos beat_, silent_, answer_;
  std::size_t most_part_, most_followers_, most_whole_;
  double rate_, burst_;
  Nanos full_after_; // a follower's credit, from none
  Bucket total_;
  Nanos credit_wake_ = -1; // there is enough of it for the first in line
  MemberId serving_{};     // it was first
  bool blank_ = true;
  Nanos current_at_ = -1;
  std::map<MemberId, Follower> followers_;
  std::map<std::string, std::set<MemberId>, std::less<>> by_scope_;
  std::set<std::pair<Nanos, MemberId>> wakes_;
  std::map<MemberId, Bucket> past_; // of those that went, until they would be full
  std::deque<std::pair<Nanos, MemberId>> past_order_;
  std::map<std::uint64_t, MemberId> line_;        // for a renewal
  std::map<std::uint64_t, MemberId> credit_line_; // for credit of all
  std::uint64_t tickets_ = 0;                     // in the order of their numbers
  std::size_t renewing_ = 0;
  Nanos renewal_time_; // a mean of those before, for what is told to those in line
  Counts counts_;
};

} // namespace cometshift
