// The directory of the members of the fleet, which are learned and not listed in the settings. One
// `Directory` belongs to one control member. The module only decides: it does no I/O and reads no clock, each
// call passes one time, and messages go out through `DirectoryActions`. docs/control.md compares the design
// with its alternatives.
//
// Each control member owns one part: the servers that follow it, with a revision that counts the changes.
// Parts are replicated among the control members as deltas between revisions, with a digest of the part. A
// part is accepted only from its owner; its newest incarnation and revision count. Where several parts
// contain a member, alive takes precedence over unresponsive and left, then the newest attachment counts: a
// member has two attachments, and one that it gave up must not hide the other. The members of a part whose
// owner is unresponsive count as unresponsive, and are forgotten later. Servers get only the summary by zone:
// the whole directory would cost each of them more than its budget when half of the fleet is replaced in
// seconds.
//
// Bounds: control.most_members in a part and in total; what exceeds it is refused and counted. Times: ns of
// the caller's clock. `since` is the Unix time in ms that the member's control member read; it is shown to
// operators and decides nothing. A DirectoryActions call must not call back into this module. Errors: the
// constructor throws std::invalid_argument with the name of a missing or invalid setting. Invalid messages
// are counted and have no other effect.
#pragma once

#include "following.hpp"

#include <deque>
#include <set>

namespace cometshift {

// Number of a change of a part, counted from 1 in each incarnation of its owner.
using PartRevision = Id<struct PartRevisionTag, std::uint64_t>;

// State of a member in a part or in the view; gone: removed from it.
enum class Presence : std::uint8_t { alive, unresponsive, left, gone };
std::string_view to_text(Presence presence);

// What the directory knows of one member.
struct MemberRecord {
  MemberId member{};
  Incarnation incarnation{};
  AttachmentNumber attachment{}; // the newest one
  std::string address, zone;
  std::uint64_t since = 0; // Unix ms
  Presence presence = Presence::alive;
  PartRevision revision{}; // of its last change
  bool operator==(const MemberRecord&) const = default;
};

// Effects that Directory asks its owner to carry out.
class DirectoryActions {
 public:
  virtual ~DirectoryActions() = default;
  // Sends changes of this control member's part to another: with these records, a copy that is at revision
  // `from` is at `upto`; a `from` of 0 starts a new copy. `last`, `digest`: newest revision of the part, and
  // its digest there.
  virtual void send_part(MemberId to, PartRevision from, PartRevision upto, PartRevision last,
                         std::uint64_t digest, const std::vector<const MemberRecord*>& records) = 0;
  // Reports to the owner of a part up to which revision it was received.
  virtual void acknowledge_part(MemberId to, Incarnation owner, PartRevision upto) = 0;
  // The view of a member changed; `gone`: it is not in the view.
  virtual void presence_changed(const MemberRecord& member, Presence before) = 0;
  virtual void duplicate_member(MemberId member) = 0; // two running members use one number
};

// The directory of one control member: its own part, the parts of the others, and the view of all of them.
class Directory {
 public:
  // `others`: the other control members. `settings`, durations in ns:
  // - control.beat: heartbeat interval, at which the others learn the revision of this part at the latest
  // - control.silent: a member or an owner from which nothing was received for this long is
  //   unresponsive; at least two heartbeat intervals
  // - control.forget: and is forgotten after this long; at least control.silent
  // - control.answer: unacknowledged changes are sent again after this long
  // - control.most_part: bytes of the records in one message
  // - control.most_members
  Directory(Nanos now, MemberId self, Incarnation incarnation, const std::vector<MemberId>& others,
            const Settings& settings, DirectoryActions& actions);
  Directory(const Directory&) = delete;
  Directory& operator=(const Directory&) = delete;

  // ---- members that follow this control member
  // The member follows, with its newest attachment. False: no room, or an invalid record.
  bool attached(Nanos now, const MemberRecord& record); // its presence and revision are ignored
  void received(Nanos now, MemberId member, Incarnation incarnation);
  void detached(Nanos now, MemberId member, Incarnation incarnation); // it follows another control member
  void left(Nanos now, MemberId member, Incarnation incarnation);     // it announced that it leaves

  // ---- messages of other control members
  void part_received(Nanos now, MemberId from, Incarnation incarnation, PartRevision since, PartRevision upto,
                     PartRevision last, std::uint64_t digest, const std::vector<MemberRecord>& records);
  void part_acknowledged(Nanos now, MemberId from, Incarnation owner, PartRevision upto);

  // ---- time
  Nanos next_wake() const; // -1: none
  void due(Nanos now);     // also sends pending changes; at the end of a turn too

  // ---- the view
  const MemberRecord* find(MemberId member) const; // nullptr: unknown; valid until the next call
  // Number of members in a zone by presence.
  struct Zone {
    std::size_t well = 0, silent = 0, left = 0;
    bool operator==(const Zone&) const = default;
  };
  const std::map<std::string, Zone, std::less<>>& summary() const { return zones_; }
  std::size_t count() const { return view_.size(); }
  // Visits the members with numbers above `after`, in order, until `visit` returns false.
  void list(MemberId after, const std::function<bool(const MemberRecord&)>& visit) const;
  // The digest of a part is the sum of the digests of its records that are not gone.
  static std::uint64_t digest_of(const MemberRecord& record);
  // Totals since the start. `restarts`: new copies of a part after its digest differed; `visited`: records
  // examined.
  struct Counts {
    std::uint64_t parts = 0, retries = 0, records = 0, bytes = 0, restarts = 0, refused = 0, invalid = 0,
                  visited = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct LocalMember {
    MemberRecord record;
    std::uint64_t digest = 0; // 0 if it is gone
    Nanos last_received_at = 0, wake = -1;
    Incarnation previous_incarnation{}; // the one that was alive when it was replaced
    Nanos replaced_at = -1;
  };
  // The part of another control member, and how far that one has received this control member's part.
  struct RemotePart {
    Incarnation incarnation{};
    std::deque<Incarnation> previous_incarnations;
    PartRevision upto{};
    std::uint64_t digest = 0;
    std::map<MemberId, MemberRecord> records;
    bool incomplete = false; // some records had no room
    // A new copy of the part, while it is received from the beginning. `records` stays in use until it is
    // complete.
    bool syncing = true;
    PartRevision sync_upto{};
    std::map<MemberId, MemberRecord> sync_records;
    bool unresponsive = true;
    Nanos last_received_at = 0;
    // Replication of this control member's part to that one.
    PartRevision acked{}, sent_upto{};
    bool out_of_date = false, in_flight = false; // out_of_date: it lacks changes
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
  void refresh(Nanos now, MemberId member); // recomputes the view of a member
  void add_to_zone(const MemberRecord& record, int delta);

  DirectoryActions& actions_;
  MemberId self_;
  Incarnation incarnation_;
  Nanos heartbeat_interval_, unresponsive_timeout_, forget_timeout_, retransmit_timeout_;
  std::size_t max_part_bytes_, max_members_;
  std::map<MemberId, LocalMember> local_members_;
  std::map<PartRevision, MemberId> changes_; // the newest change of each member
  // Removals up to `floor_revision_` are no longer known.
  PartRevision last_revision_{}, floor_revision_{};
  std::set<PartRevision> gone_; // removals that are still known
  std::uint64_t digest_ = 0;
  std::map<MemberId, RemotePart> remotes_;
  std::map<MemberId, std::set<MemberId>> sources_; // the control members whose parts contain a member
  std::map<MemberId, MemberRecord> view_;
  struct DuplicateSighting {
    Nanos since = 0;
    std::set<Incarnation> incarnations;
  };
  std::map<MemberId, DuplicateSighting> duplicate_since_; // members with two incarnations reported as alive
  std::set<MemberId> reported_duplicates_;
  std::map<std::string, Zone, std::less<>> zones_;
  std::set<std::pair<Nanos, MemberId>> wakes_; // of the members in this control member's part
  Counts counts_;
};

} // namespace cometshift
