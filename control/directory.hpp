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

using PartNo = Id<struct PartNoTag, std::uint64_t>; // of a change of a part, from 1 in its owner's life

enum class Presence : std::uint8_t { alive, unresponsive, left, gone }; // gone: no more in this part
std::string_view to_text(Presence presence);

struct MemberRecord {
  MemberId member{};
  Incarnation incarnation{};
  AttachmentNumber attached{}; // the newest
  std::string address, zone;
  std::uint64_t since = 0; // Unix ms
  Presence presence = Presence::alive;
  PartNo number{}; // of the change that it comes from
  bool operator==(const MemberRecord&) const = default;
};

class DirectoryActions {
 public:
  virtual ~DirectoryActions() = default;
  // To a control member, of this one's part: with these, who has it up to `from` has it up to `upto`; a
  // `from` of 0 begins it anew. `last`, `digest`: the whole part's newest change, and its digest there.
  virtual void part(MemberId to, PartNo from, PartNo upto, PartNo last, std::uint64_t digest,
                    const std::vector<const MemberRecord*>& records) = 0;
  // To the owner of a part: it is here so far.
  virtual void have(MemberId to, Incarnation owner, PartNo upto) = 0;
  // What this control member's view of a member is now, and was; `gone`: none.
  virtual void news(const MemberRecord& member, Presence before) = 0;
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
            const Settings& figures, DirectoryActions& orders);
  Directory(const Directory&) = delete;
  Directory& operator=(const Directory&) = delete;

  // ---- of those that follow this control member
  // It follows, with its newest attachment. False: no room.
  bool attached(Nanos now, const MemberRecord& record); // its presence and number don't count
  void heard(Nanos now, MemberId member, Incarnation of);
  void detached(Nanos now, MemberId member, Incarnation of); // it follows another
  void left(Nanos now, MemberId member, Incarnation of);     // it has said that it goes

  // ---- of other control members
  void part(Nanos now, MemberId from, Incarnation of, PartNo since, PartNo upto, PartNo last,
            std::uint64_t digest, const std::vector<MemberRecord>& records);
  void have(Nanos now, MemberId from, Incarnation owner, PartNo upto);

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
  void list(MemberId after, const std::function<bool(const MemberRecord&)>& each) const;
  // A part's digest is the sum of these, of those that aren't gone.
  static std::uint64_t digest_of(const MemberRecord& record);
  struct Counts {
    std::uint64_t parts = 0, repeats = 0, records = 0, bytes = 0, begun_anew = 0, refused = 0, invalid = 0,
                  visited = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Mine {
    MemberRecord record;
    std::uint64_t digest = 0; // 0 where it is gone
    Nanos last_received_at = 0, wake = -1;
    Incarnation before{}; // that this one replaced while it was well
    Nanos replaced_at = -1;
  };
  struct Other { // a control member, and its part
    Incarnation of{};
    std::deque<Incarnation> lives; // before this one
    PartNo upto{};
    std::uint64_t digest = 0;
    std::map<MemberId, MemberRecord> records;
    bool lacks = false; // some had no room
    // The part as it is told from its beginning, until it is whole.
    bool comes = true;
    PartNo coming_upto{};
    std::map<MemberId, MemberRecord> coming;
    bool silent = true;
    Nanos last_received_at = 0;
    // What it has of this one's part.
    PartNo has{}, sent{};
    bool stale = false, under_way = false; // it lacks something
    Nanos sent_at = 0, next_beat = 0;
    int repeats = 0;
  };

  void change(Nanos now, Mine& mine, Presence presence);
  void forget_gone();
  void plan(MemberId id, Mine& mine, Nanos at);
  void tell_doubled(MemberId member);
  void begin_anew(Other& other);
  void take(Nanos now, MemberId from, Other& other, const MemberRecord& record);
  void become_whole(Nanos now, MemberId from, Other& other);
  void forget_teller(MemberId member, MemberId owner);
  bool room_for(MemberId member) const;
  void hear(Nanos now, Other& other);
  void look_at_all_of(Nanos now, const Other& other);
  void say(Nanos now, MemberId to, Other& other);
  void look(Nanos now, MemberId member); // its view anew
  void count(const MemberRecord& record, int by);

  DirectoryActions& actions_;
  MemberId self_;
  Incarnation incarnation_;
  Nanos beat_, silent_, forget_, answer_;
  std::size_t most_part_, most_members_;
  std::map<MemberId, Mine> mine_;
  std::map<PartNo, MemberId> changes_; // newest of each
  PartNo last_{}, floor_{};            // of changes; those that are gone are forgotten up to `floor_`
  std::set<PartNo> gone_;
  std::uint64_t digest_ = 0;
  std::map<MemberId, Other> others_;
  std::map<MemberId, std::set<MemberId>> told_by_; // by which others
  std::map<MemberId, MemberRecord> view_;
  struct Double {
    Nanos since = 0;
    std::set<Incarnation> lives;
  };
  std::map<MemberId, Double> double_since_; // two lives are told as well
  std::set<MemberId> told_doubled_;
  std::map<std::string, Zone, std::less<>> zones_;
  std::set<std::pair<Nanos, MemberId>> wakes_; // of those in this one's part
  Counts counts_;
};

} // namespace cometshift
