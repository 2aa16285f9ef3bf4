// Who is there: the members of the fleet, learnt and not listed. One `Directory` is one control member's; it
// decides only: no I/O, no clock, one time with each call, and what is to be said goes out by
// `DirectoryActions`. docs/control.md has the ways weighed.
//
// Each control member writes one part, of the servers that follow it, and counts its changes; the parts are
// told among control members, as deltas by that count, with a digest of the part. A part is taken as its
// owner tells it, newest life and count. Where several tell of one member, well goes before silent and left,
// then the newest attachment counts: a member has two lines, and one that it gave up must not hide the other.
// A part whose owner is not heard counts as silent, and is forgotten.
// Servers get the summary by zone only: the whole would cost each more than it may spend when half of the
// fleet is replaced in seconds.
//
// Bounds: control.most_members in a part and in all; what is over is refused and counted. Times: ns of the
// caller's clock. `since` is what the member's control member showed as Unix ms, for people; it decides
// nothing. Nothing that is ordered may call back within the order.
// Errors: the constructor throws std::invalid_argument with the name of a figure that is missing or
// senseless. What comes from others and makes no sense is counted and changes nothing.
#pragma once

#include "following.hpp"

#include <deque>
#include <set>

namespace cometshift {

using PartRevision =
    Id<struct PartRevisionTag, std::uint64_t>; // of a change of a part, from 1 in its owner's life

enum class Presence : std::uint8_t { alive, unresponsive, left, gone }; // gone: no more in this part
std::string_view to_text(Presence presence);

struct MemberRecord {
  MemberId member{};
  Incarnation incarnation{};
  AttachmentNumber attachment{}; // the newest
  std::string address, zone;
  std::uint64_t since = 0; // Unix ms
  Presence presence = Presence::alive;
  PartRevision revision{}; // of the change that it comes from
  bool operator==(const MemberRecord&) const = default;
};

class DirectoryActions {
 public:
  virtual ~DirectoryActions() = default;
  // To a control member, of this one's part: with these, who has it up to `from` has it up to `upto`; a
  // `from` of 0 begins it anew. `last`, `digest`: the whole part's newest change, and its digest there.
  virtual void send_part(MemberId to, PartRevision from, PartRevision upto, PartRevision last,
                         std::uint64_t digest, const std::vector<const MemberRecord*>& records) = 0;
  // To the owner of a part: it is here so far.
  virtual void acknowledge_part(MemberId to, Incarnation owner, PartRevision upto) = 0;
  // What this control member's view of a member is now, and was; `gone`: none.
  virtual void presence_changed(const MemberRecord& member, Presence before) = 0;
  virtual void duplicate_member(MemberId member) = 0; // two members live under one number
};

class Directory {
 public:
  // `others`: the other control members. `figures`, spans in ns:
  // - control.beat: others are told at least so often how far the part is
  // - control.silent: without a word of it for so long a member, or an owner, is silent; over two beats
  // - control.forget: and is forgotten after so long; at least control.silent
  // - control.answer: a part that is not answered so long is sent again
  // - control.most_part: bytes in one word
  // - control.most_members
  Directory(Nanos now, MemberId self, Incarnation incarnation, const std::vector<MemberId>& others,
            const Settings& settings, DirectoryActions& actions);
  Directory(const Directory&) = delete;
  Directory& operator=(const Directory&) = delete;

  // ---- of those that follow this control member
  // It follows, with its newest attachment. False: no room.
  bool attached(Nanos now, const MemberRecord& record); // its presence and number don't count
  void received(Nanos now, MemberId member, Incarnation incarnation);
  void detached(Nanos now, MemberId member, Incarnation incarnation); // it follows another
  void left(Nanos now, MemberId member, Incarnation incarnation);     // it has said that it goes

  // ---- of other control members
  void part_received(Nanos now, MemberId from, Incarnation incarnation, PartRevision since, PartRevision upto,
                     PartRevision last, std::uint64_t digest, const std::vector<MemberRecord>& records);
  void part_acknowledged(Nanos now, MemberId from, Incarnation owner, PartRevision upto);

  // ---- time
  Nanos next_wake() const; // -1: none
  void due(Nanos now);     // says what there is to say; also at the end of a turn

  // ---- the view
  const MemberRecord* find(MemberId member) const; // nullptr: not known; held until the next call
  struct Zone {
    std::size_t well = 0, silent = 0, left = 0;
    bool operator==(const Zone&) const = default;
  };
  const std::map<std::string, Zone, std::less<>>& summary() const { return zones_; }
  std::size_t count() const { return view_.size(); }
  // By number, those over `after`. Stops where `each` returns false.
  void list(MemberId after, const std::function<bool(const MemberRecord&)>& visit) const;
  // A part's digest is the sum of these, of those that aren't gone.
  static std::uint64_t digest_of(const MemberRecord& record);
  struct Counts {
    std::uint64_t parts = 0, retries = 0, records = 0, bytes = 0, restarts = 0, refused = 0, invalid = 0,
                  visited = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct LocalMember {
    MemberRecord record;
    std::uint64_t digest = 0; // 0 where it is gone
    Nanos last_received_at = 0, wake = -1;
    Incarnation previous_incarnation{}; // that this one replaced while it was well
    Nanos replaced_at = -1;
  };
  struct RemotePart { // a control member, and its part
    Incarnation incarnation{};
    std::deque<Incarnation> previous_incarnations; // before this one
    PartRevision upto{};
    std::uint64_t digest = 0;
    std::map<MemberId, MemberRecord> records;
    bool incomplete = false; // some had no room
    // The part as it is told from its beginning, until it is whole.
    bool syncing = true;
    PartRevision sync_upto{};
    std::map<MemberId, MemberRecord> sync_records;
    bool unresponsive = true;
    Nanos last_received_at = 0;
    // What it has of this one's part.
    PartRevision acked{}, sent_upto{};
    bool out_of_date = false, in_flight = false; // it lacks something
    Nanos sent_at = 0, next_heartbeat_at = 0;
    int retries = 0;
  };

  void set_presence(Nanos now, LocalMember& local, Presence presence);
  void drop_oldest_gone();
  void schedule(MemberId id, LocalMember& local, Nanos at);
  void report_duplicate(MemberId member);
  void restart_sync(RemotePart& remote);
  void apply(Nanos now, MemberId from, RemotePart& remote, const MemberRecord& record);
  void finish_sync(Nanos now, MemberId from, RemotePart& remote);
  void remove_source(MemberId member, MemberId owner);
  bool has_room_for(MemberId member) const;
  void mark_received(Nanos now, RemotePart& remote);
  void refresh_all_of(Nanos now, const RemotePart& remote);
  void send_part(Nanos now, MemberId to, RemotePart& remote);
  void refresh(Nanos now, MemberId member); // its view anew
  void add_to_zone(const MemberRecord& record, int delta);

  DirectoryActions& actions_;
  MemberId self_;
  Incarnation incarnation_;
  Nanos heartbeat_interval_, unresponsive_timeout_, forget_timeout_, retransmit_timeout_;
  std::size_t max_part_bytes_, max_members_;
  std::map<MemberId, LocalMember> local_members_;
  std::map<PartRevision, MemberId> changes_; // newest of each
  PartRevision last_revision_{},
      floor_revision_{}; // of changes; those that are gone are forgotten up to `floor_`
  std::set<PartRevision> gone_;
  std::uint64_t digest_ = 0;
  std::map<MemberId, RemotePart> remotes_;
  std::map<MemberId, std::set<MemberId>> sources_; // by which others
  std::map<MemberId, MemberRecord> view_;
  struct DuplicateSighting {
    Nanos since = 0;
    std::set<Incarnation> incarnations;
  };
  std::map<MemberId, DuplicateSighting> duplicate_since_; // two lives are told as well
  std::set<MemberId> reported_duplicates_;
  std::map<std::string, Zone, std::less<>> zones_;
  std::set<std::pair<Nanos, MemberId>> wakes_; // of those in this one's part
  Counts counts_;
};

} // namespace cometshift
