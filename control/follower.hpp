// A server's side of control: which two control members it follows, and the state that it has from them.
// Decides only: no I/O, no clock, one time with each call; what is to be said goes out by `FollowerActions`.
// feed.hpp has what the other side gives, docs/control.md the ways weighed.
//
// Never an older state after a newer one, whoever gives it: a delta is taken only if it goes on from what is
// here, a renewal only if it is not of before it, and both only as a whole. Who is behind gives nothing that
// is taken. Words of another life or attachment are passed over, so late and doubled ones do no harm. What is
// staged ends with its attachment, as another control member may be behind the state that it was read from.
//
// Two lines: the primary gives, the secondary tells its version only. Nearest first: same zone, same region,
// the others; among equals by chance from the seed, so that all followers spread evenly. A control member
// that is silent, blank, or has told nothing while the other is ahead is left, and rests, longer each time.
// A nearer one that may be asked again is tried as the secondary, and is the primary once it was well for
// `control.settle`.
//
// An entry that `check` refuses is told, counted, and leaves what was in force for its key; the version goes
// on. (After a start there is nothing that was in force: such a key is absent until it is written anew.)
// With no control member heard, the last state stays, and `age` says how old it is.
//
// Bounds: what is staged and what is held each as entries.hpp, scopes as following.hpp. Times: ns of the
// caller's clock. Nothing that is ordered may call back within the order.
// Errors: the constructor throws std::invalid_argument with the name of a figure that is missing or
// senseless, or where scopes or control members are. What comes from others and makes no sense is counted and
// changes nothing.
#pragma once

#include "following.hpp"

#include <memory>
#include <optional>
#include <set>

namespace cometshift {

// Why a control member is no longer followed, or no longer as the primary.
enum class LeaveReason { unresponsive, no_state, stale, disconnected, closer_member, invalid };
std::string_view to_text(LeaveReason reason);

class FollowerActions {
 public:
  virtual ~FollowerActions() = default;
  // To a control member; feed.hpp takes these.
  virtual void follow(MemberId to, AttachmentNumber number, bool primary, const Position& at,
                      const std::vector<FollowedScope>& scopes) = 0;
  virtual void have(MemberId to, AttachmentNumber number, const Position& at) = 0;
  virtual void compare(MemberId to, AttachmentNumber number, Version at,
                       const std::vector<std::uint64_t>& digests) = 0;
  virtual void unfollow(MemberId to, AttachmentNumber number) = 0;
  // To the server itself. Why it can't take that entry; empty: it can.
  virtual std::string check(const Entry& entry) = 0;
  virtual void refused(const Entry& entry, std::string_view reason) = 0;
  // The state is of that version now. `changed`: what is in force otherwise than before, by key; deleted
  // ones say so. Told where something changed, and after each renewal. Scopes that are followed no more don't
  // count as changed.
  virtual void applied(Version version, const std::vector<const Entry*>& changed) = 0;
  // A line was left, or a nearer one made the primary; for the log.
  virtual void left(MemberId control, LeaveReason reason) = 0;
};

class Follower {
 public:
  struct Control { // a control member, as the operator file names it
    MemberId member{};
    std::string region, zone;
  };
  struct Location {
    std::string region, zone;
  };

  // `figures`, spans in ns:
  // - control.beat: each control member followed is told at least so often how far this is
  // - control.silent: a control member that is not heard so long is left; over two beats
  // - control.behind: and one that gave nothing so long while the other was ahead
  // - control.settle: a nearer one is well so long before it is the primary
  // - control.rest_least, control.rest_most: until one that was left is tried again, doubled each time
  // - control.compare: digests are told so often
  // - control.first_number: where attachments begin to count, as Unix time in ms, so that of two lives the
  //   later has the greater numbers. A hint, for the directory
  // - and those of entries.hpp
  Follower(Nanos now, Incarnation self, const Location& place, const std::vector<Control>& controls,
           std::vector<std::string> scopes, const Settings& settings, std::uint64_t seed,
           FollowerActions& actions);
  Follower(const Follower&) = delete;
  Follower& operator=(const Follower&) = delete;

  // Others from now on. Empty: done; else why not, and nothing has changed.
  std::string_view set_scopes(Nanos now, std::vector<std::string> scopes);

  // ---- what control members say, as FeedActions; `to`: this life
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
  void disconnected(Nanos now,
                    MemberId control); // the link knows that it is gone; sooner than by its silence

  // ---- the state
  // What is in force of a key; nullptr: nothing.
  const Entry* find(std::string_view key) const;
  void for_each_in(std::string_view scope, const std::function<bool(const Entry&)>& each) const;
  Version version() const { return position_.taken; }
  // Since a control member last said that this state is the newest; -1: never, in this life.
  Nanos age(Nanos now) const { return confirmed_at_ < 0 ? -1 : now - confirmed_at_; }
  const Position& position() const { return position_; }

  // ---- time
  Nanos next_wake() const; // -1: none
  void due(Nanos now);

  struct Attachment {
    MemberId member{};
    bool primary = false, responded = false;
    Nanos since = 0, last_received_at = 0;
    Version committed{}; // as it last told
  };
  std::vector<Attachment> attachments() const; // the primary first
  struct Counts {
    std::uint64_t deltas = 0, parts = 0, renewals = 0, refused = 0, gaps = 0, outdated = 0, invalid = 0,
                  misaddressed = 0, moves = 0; // misaddressed: words of another life or attachment
  };
  const Counts& counts() const { return counts_; }
  std::size_t keys_refused() const { return retained_.size(); } // whose newest entry is not in force

 private:
  struct Member {
    MemberId id{};
    int distance = 0;            // 0: same zone, 1: same region, 2: another
    std::uint32_t tie_break = 0; // among equals, by chance
    Nanos retry_at = 0;
    int failures = 0; // that came to nothing, in a row
    // As a line:
    bool attached = false, primary = false, responded = false;
    AttachmentNumber number{};
    Nanos attached_at = 0, healthy_since = 0, last_received_at = 0, next_have_at = 0, settle_time = 0;
    Nanos ahead_since = -1; // it has told a version that is not here
    Version committed{};
  };
  struct Stage {
    std::map<std::string, Entry, std::less<>> entries;
    std::set<std::string, std::less<>> replaced; // scopes
    Version read_at{}; // the newest state that parts were read from: entries that it had no more are not here
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
  std::vector<Member> members_; // nearest first
  std::vector<std::string> scopes_;
  std::set<std::string, std::less<>> complete_scopes_; // scopes of which the state has all up to `taken`
  std::unique_ptr<Entries> state_;                     // as given, those that were refused too
  std::map<std::string, std::optional<Entry>, std::less<>> retained_; // of keys whose newest was refused
  Position position_;
  Stage stage_;
  std::uint64_t last_number_ = 0;
  Nanos confirmed_at_ = -1, progress_at_, next_compare_at_ = 0, now_;
  Counts counts_;
};

} // namespace cometshift
