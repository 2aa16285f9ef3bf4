// The server's side of configuration distribution: chooses the two control members that the server attaches
// to, and keeps the state that it receives from them. A pure state machine: no I/O and no clock; each call
// carries the time, and messages go out through `FollowerActions`. feed.hpp describes what the other side
// sends, docs/control.md compares the designs that were considered.
//
// The state never goes back to an older version, whichever member sends it. A delta is accepted only if it
// continues from the position here, a renewal only if it is not older than the state here, and both are
// applied only when they are complete. Updates from a member that is behind this server are therefore never
// accepted. Messages to another incarnation or attachment are ignored, so late and duplicate messages do no
// harm. The staging area is discarded when the attachment ends, because another control member may be behind
// the state that the staged parts were read from.
//
// There are two attachments: the primary sends updates, the secondary only reports its version. Members are
// chosen by distance (same zone, same region, others), and at equal distance in random order from the seed,
// so that the followers spread evenly. A control member that is unresponsive, has no state, or sends nothing
// while the other one is ahead is detached, and is retried after a backoff that doubles each time. When a
// closer member may be retried, it is attached as the secondary first, and becomes the primary after it has
// been healthy for the time that `control.settle` sets.
//
// An entry that `check` refuses is reported and counted. The previous value of its key stays in force, and
// the version advances. (After a restart there is no previous value: the key is absent until it is written
// again.) If no control member responds, the last state stays in use, and `age` tells how old it is.
//
// Limits: what is staged and what is stored are each limited as in entries.hpp, scopes as in following.hpp.
// Times are in ns of the caller's clock. Actions must not call back into the follower.
// Errors: the constructor throws std::invalid_argument with the name of a setting that is missing or invalid,
// or if the scopes or control members are invalid. Invalid input from other members is counted and changes
// nothing.
#pragma once

#include "following.hpp"

#include <memory>
#include <optional>
#include <set>

namespace cometshift {

// Why an attachment was ended, or why its member is no longer the primary.
enum class LeaveReason { unresponsive, no_state, stale, disconnected, closer_member, invalid };
std::string_view to_text(LeaveReason reason); // for the log

// The messages of a follower to control members, and its calls to the server.
class FollowerActions {
 public:
  virtual ~FollowerActions() = default;
  // ---- messages to a control member; received by the Feed (feed.hpp)
  virtual void follow(MemberId to, AttachmentNumber number, bool primary, const Position& at,
                      const std::vector<FollowedScope>& scopes) = 0;
  virtual void have(MemberId to, AttachmentNumber number, const Position& at) = 0;
  virtual void compare(MemberId to, AttachmentNumber number, Version at,
                       const std::vector<std::uint64_t>& digests) = 0;
  virtual void unfollow(MemberId to, AttachmentNumber number) = 0;
  // ---- to the server itself
  // Returns why the server cannot use the entry, or an empty text if it can.
  virtual std::string check(const Entry& entry) = 0;
  // `check` has refused the entry, for `reason`.
  virtual void refused(const Entry& entry, std::string_view reason) = 0;
  // The state is at `version` now. `changed` has the keys whose value in force has changed, removed ones
  // marked as deleted. Called if anything changed, and after each renewal. Dropping a scope from the followed
  // ones is not reported as a change.
  virtual void applied(Version version, const std::vector<const Entry*>& changed) = 0;
  // An attachment was ended, or a closer member became the primary; for the log.
  virtual void left(MemberId control, LeaveReason reason) = 0;
};

// Follows two control members and keeps the state received from them.
class Follower {
 public:
  struct Control { // a control member, as listed in the operator file
    MemberId member{};
    std::string region, zone;
  };
  struct Location {
    std::string region, zone;
  };

  // Settings; time spans in ns:
  // - control.beat: the interval at which the position is sent to each attached control member
  // - control.silent: a control member that has sent nothing for this long is detached; at least two
  //   heartbeat intervals
  // - control.behind: a primary that has brought no progress for this long while the secondary is ahead is
  //   detached
  // - control.settle: how long a closer member has to be healthy before it becomes the primary; each
  //   attachment draws a random time from once to twice this setting
  // - control.rest_least, control.rest_most: the shortest and the longest backoff before a detached member is
  //   retried, doubled each time and varied at random by up to half
  // - control.compare: the average interval at which digests of the state are sent; at least control.beat
  // - control.first_number: attachment numbers begin after this one; by default 0. With the Unix time in
  //   ms, a later incarnation usually has greater numbers; only the directory uses this, as a hint
  // - and those of entries.hpp
  Follower(Nanos now, Incarnation self, const Location& place, const std::vector<Control>& controls,
           std::vector<std::string> scopes, const Settings& settings, std::uint64_t seed,
           FollowerActions& actions);
  Follower(const Follower&) = delete;
  Follower& operator=(const Follower&) = delete;

  // Replaces the followed scopes. Returns an empty text, or why the scopes are invalid; nothing changes then.
  std::string_view set_scopes(Nanos now, std::vector<std::string> scopes);

  // ---- messages from control members, see FeedActions; `to_incarnation`: the incarnation of this server
  // that the message is meant for
  void delta(Nanos now, MemberId from, Incarnation to_incarnation, AttachmentNumber number, Version since,
             Version upto, Version last, Nanos age, const std::vector<Entry>& entries);
  void renewal(Nanos now, MemberId from, Incarnation to_incarnation, AttachmentNumber number, Version at,
               const std::vector<std::uint16_t>& scopes, Version since, Version upto, Version last,
               const std::vector<Entry>& entries);
  void beat(Nanos now, MemberId from, Incarnation to_incarnation, AttachmentNumber number, Version committed,
            Nanos age);
  void rest(Nanos now, MemberId from, Incarnation to_incarnation, AttachmentNumber number, Nanos rest);
  void elsewhere(Nanos now, MemberId from, Incarnation to_incarnation, AttachmentNumber number);
  void again(Nanos now, MemberId from, Incarnation to_incarnation, AttachmentNumber number);
  // The connection to a control member is lost: it is detached without waiting for control.silent.
  void disconnected(Nanos now, MemberId control);

  // ---- the state
  // The entry that is in force for a key; nullptr if there is none.
  const Entry* find(std::string_view key) const;
  // Visits the entries of one scope that are in force, in order of key. Stops when `each` returns false.
  void for_each_in(std::string_view scope, const std::function<bool(const Entry&)>& each) const;
  Version version() const { return position_.taken; }
  // The time since this state was last known to be the newest; -1 if never in this incarnation.
  Nanos age(Nanos now) const { return confirmed_at_ < 0 ? -1 : now - confirmed_at_; }
  const Position& position() const { return position_; }

  // ---- time
  Nanos next_wake() const; // -1: none
  void due(Nanos now);

  struct Attachment { // as seen from the server
    MemberId member{};
    bool primary = false, responded = false;
    Nanos since = 0, last_received_at = 0;
    Version committed{}; // as last reported by the member
  };
  std::vector<Attachment> attachments() const; // the primary first
  struct Counts {
    // gaps: parts that do not continue from the position here; outdated: parts from an older state;
    // misaddressed: messages to another incarnation or attachment, or updates from a secondary;
    // moves: attachments that ended, and changes of the primary to a closer member
    std::uint64_t deltas = 0, parts = 0, renewals = 0, refused = 0, gaps = 0, outdated = 0, invalid = 0,
                  misaddressed = 0, moves = 0;
  };
  const Counts& counts() const { return counts_; }
  std::size_t keys_refused() const { return retained_.size(); } // keys whose newest entry was refused

 private:
  struct Member {
    MemberId id{};
    int distance = 0;            // 0: same zone, 1: same region, 2: another
    std::uint32_t tie_break = 0; // random order at equal distance
    Nanos retry_at = 0;
    // Consecutive attachments that failed; 0 again after one has been healthy for control.settle.
    int failures = 0;
    // While attached:
    bool attached = false, primary = false, responded = false;
    AttachmentNumber number{};
    Nanos attached_at = 0, healthy_since = 0, last_received_at = 0, next_have_at = 0, settle_time = 0;
    Nanos ahead_since = -1; // when it first reported a version newer than the state here; -1: not ahead
    Version committed{};
  };
  struct Stage {
    std::map<std::string, Entry, std::less<>> entries;
    std::set<std::string, std::less<>> replaced; // scopes that the renewal replaces
    // The newest state that any part was read from. Entries overwritten before it may be missing here.
    Version read_at{};
    std::size_t bytes = 0;
  };

  Member* match_attachment(Nanos now, MemberId from, Incarnation to_incarnation, AttachmentNumber number);
  Member* primary();
  Member* secondary();
  Member* best_candidate(Nanos now);
  void choose_members(Nanos now);
  void attach(Nanos now, Member& member, bool as_primary);
  void detach(Nanos now, Member& member, LeaveReason reason);
  Nanos stale_at(const Member& second) const;
  void send_have(Nanos now, Member& member);
  void record_committed(Nanos now, Member& member, Version committed, Nanos age);
  bool stage(const std::vector<Entry>& entries, Version since, Version upto, bool renewed);
  void apply_stage();
  void discard_stage();
  std::vector<FollowedScope> followed_scopes() const;

  FollowerActions& actions_;
  Incarnation self_;
  Pcg random_;
  Settings settings_;
  Nanos beat_interval_, silence_timeout_, stale_timeout_, settle_time_, min_backoff_, max_backoff_,
      compare_interval_;
  std::size_t max_entries_, max_bytes_;
  std::vector<Member> members_; // closest first
  std::vector<std::string> scopes_;
  std::set<std::string, std::less<>> complete_scopes_; // scopes whose state is complete up to `taken`
  std::unique_ptr<Entries> state_;                     // as received, including refused entries
  // The entry in force (or none) for keys whose newest entry was refused.
  std::map<std::string, std::optional<Entry>, std::less<>> retained_;
  Position position_;
  Stage stage_;
  std::uint64_t last_number_ = 0;
  Nanos confirmed_at_ = -1, progress_at_, next_compare_at_ = 0, now_;
  Counts counts_;
};

} // namespace cometshift
