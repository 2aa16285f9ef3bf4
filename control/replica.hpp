// One control member's part in the one order of writes: replication in memory, without a disk. The lease
// "control" (leases.hpp) says who writes, its fencing token is the term. Decides only: no I/O, no clock, one
// time with each call; what is to be said goes out by `ReplicaActions`. docs/control-order.md has the
// argument in full, tests/control_replica.cpp plays it.
//
// Why there are never two orders, in short. (1) A version (token, number) is written once, by the holder of
// that token, behind one predecessor: two logs that share a version are the same up to it. (2) A member that
// promised a token takes nothing of smaller ones. (3) A write is committed when a majority of the voters hold
// it, and one of the writer's own token. (4) A writer begins with the log of the greatest last version among
// answers that have promises of a majority. Any two majorities share a voter, so that log has all that was
// committed. (5) As voters forget at a start, a vote is that of one life, (member, incarnation), and which
// lives count is itself written in that order, as the roster: a life counts where every roster that may be in
// force names it. A new life gets there by a committed roster only, so by a majority of the others, when it
// holds all up to it. A promise or an ack of a life that is over so never stands in for one that forgot.
// None of this takes a clock; `until` of the lease only stops a writer that would come to nothing.
//
// The way out where a majority of the voters were blank at once: all voters of the list have answered, twice
// in the same lives, so that all that they still hold is seen at one moment; the writer begins with the most
// that any control member that answered has, and a new roster. What only lost lives held is gone; `began`
// tells it. That a writer from before does not go on beside it rests on the lease, so on clocks. A fleet's
// first start is the same.
//
// Not supported: another list of voters while running. All control members have to be stopped and started
// with the new list; then what they held is gone. (Two lists need joint majorities, as voters.hpp has them.)
//
// Bounds: figures below. Times and spans: ns, of one clock that never goes back. Ownership: a view or a
// reference holds until the call returns. Nothing that is ordered may call back within the order.
// Errors: the constructor throws std::invalid_argument with what is senseless; what comes from others and
// makes no sense is counted and changes nothing. All control members need the same bounds of entries.
//
// Sources: Oki and Liskov 1988, Liskov and Cowling 2012 (Viewstamped Replication, Revisited), Lamport 1998
// (Paxos), Ongaro and Ousterhout 2014 (Raft: log matching, commit by the own term only), Michael et al. 2017
// (recovery without a disk, crash vectors), Burrows 2006 (Chubby's sequencers).
#pragma once

#include "entries.hpp"
#include "leases.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cometshift {

using PutNumber = Id<struct PutNumberTag, std::uint64_t>; // of a put, rising in one incarnation; 0: none

// Of the scope that operators can't write to: the roster is an entry too, so that all members get it.
constexpr std::string_view control_scope = "control", roster_key = "control/roster";

// Which lives of the voters count.
struct Roster {
  std::map<MemberId, Incarnation> incarnations;
  Token since{}; // the order was begun anew under this token, after a first start or a loss
  bool operator==(const Roster&) const = default;
};
std::string format_roster(const Roster& roster);
std::optional<Roster> parse_roster(std::string_view text); // nothing: not a roster

// An entry on its way through the log, and whose put it was.
struct Record {
  Entry entry;
  Incarnation writer_incarnation{}; // of entry.writer
  PutNumber put{};                  // 0: the writer's own
  bool operator==(const Record&) const = default;
};

// What a member says of its log when it promises.
struct LogStatus {
  Version last{}, committed{};
  // The newest committed roster, if there is one, and those behind it in the log.
  std::vector<std::pair<Version, Roster>> rosters;
};

struct Append {
  Token token{};
  std::uint64_t sequence = 0; // echoed by the answer; rising for each member
  Version log_from{};         // what is older than that the writer can only tell by chunks
  Version previous{};         // what stands before the first of the records
  Version committed{};
  std::vector<Record> records;
};

// A piece of a member's state and then of its log, in the order of versions. Of what is committed only the
// newest of each key is told.
struct Chunk {
  Token token{};
  Version base{}; // what the receiver has: told from there; {}: from nothing
  Version from{}; // entries after that
  Version to{};   // up to there
  Version floor{}, committed{};
  bool last = false;        // `to` is the end of the log
  bool unavailable = false; // from that base it can't be told
  std::vector<Record> records;
};

enum class PutOutcome {
  done,    // at a version, for good
  refused, // and never done
  unknown  // it may be done, or come to be
};
std::string_view to_text(PutOutcome end);

// A put on its way from the member where it came to the writer.
struct ForwardedPut {
  PutNumber number{};
  PutNumber oldest{}; // smaller ones are ended there
  std::string key, value;
  bool deleted = false;
  // Only if the newest entry of the key has this version; {}: only if there is none, or a deletion.
  std::optional<Version> expected;
};

class ReplicaActions {
 public:
  virtual ~ReplicaActions() = default;
  // ---- to be said to another control member. `of`: to this incarnation of it only.
  virtual void prepare(MemberId to, Token token, std::uint32_t round) = 0;
  virtual void promise(MemberId to, Incarnation incarnation, Token token, std::uint32_t round,
                       const LogStatus& status) = 0;
  virtual void refuse(MemberId to, Incarnation incarnation, Token token,
                      Token seen) = 0; // a greater one is promised
  virtual void append(MemberId to, const Append& append) = 0;
  // `matched`: all up to there is as the writer has it; with `gap`: go back to there.
  virtual void appended(MemberId to, Incarnation incarnation, Token token, std::uint64_t sequence,
                        Version matched, bool gap) = 0;
  // Tell me your state and log after `cursor`, of which I have `base`, in the order begun under `since`.
  virtual void fetch(MemberId to, Token token, Version base, Version cursor, Token since) = 0;
  virtual void chunk(MemberId to, Incarnation incarnation, const Chunk& chunk) = 0;
  virtual void pass(MemberId to, Incarnation incarnation, Token token, const ForwardedPut& put) = 0;
  virtual void answer(MemberId to, Incarnation incarnation, Token token, PutNumber put, PutOutcome end,
                      Version version, std::string_view reason) = 0;

  // ---- to this member's own parts
  // Why the caller can't take such an entry; empty: it can. Asked of the writer before it writes.
  virtual std::string rejection_reason(const Entry& entry) = 0;
  // `entries()` has it now; in the order of versions.
  virtual void committed(const Record& record) = 0;
  virtual void replaced() = 0; // `entries()` is another, of a later version, by a transfer
  virtual void ended(PutNumber put, PutOutcome end, Version version, std::string_view reason) = 0;
  // This member is the writer in office. `after_loss`: begun anew by the word of all voters; what only lost
  // lives held is gone.
  virtual void began(Token token, bool after_loss) = 0;
  virtual void stepped_down(Token token) = 0; // after `began` only
  // There is a greater token than this holder's: for Leases::refused_by_target.
  virtual void superseded(Token token, Token seen) = 0;
};

class Replica {
 public:
  // `members`: all control members; `voters`: an odd number of these, the same list everywhere. Figures,
  // besides those of Entries; spans in ns:
  // - control.beat: the writer says something to each member at least so often
  // - control.again: what is not answered is said again after that
  // - control.batch: writes wait so long for others to go with them; 0 is allowed
  // - control.grace: members that don't vote are waited for so long where voters were lost
  // - control.patience: a member whose state is fetched and that says nothing for so long is given up
  // - control.put_timeout: a put that is not ended by then is unknown, or refused if it never left
  // - control.most_puts: of this member, under way
  // - control.most_log: records kept to level others with; control.most_pending: of these not committed
  // - control.most_batch: bytes of keys and values in one append or chunk (one record goes whole)
  // - control.record_overhead: that a record costs there beside key and value; 0 unless told
  // - control.most_batches: under way to one member
  Replica(Nanos now, MemberId self, Incarnation incarnation, std::set<MemberId> members,
          std::set<MemberId> voters, const Settings& settings, ReplicaActions& actions);
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  // ---- what this member's Leases order of the lease "control"
  void lease_held(Nanos now, Token token, Nanos until);
  void lease_lost(Nanos now, Token token);

  // ---- what is put at this member. Ends by `ended`, perhaps within the call; 0: no room, nothing follows.
  PutNumber put(Nanos now, std::string key, std::string value, bool deleted, std::optional<Version> expected);

  // ---- what other control members say, each with its number and incarnation; `to`: to which of this one's
  void prepared(Nanos now, MemberId from, Incarnation incarnation, Token token, std::uint32_t round);
  void promised(Nanos now, MemberId from, Incarnation incarnation, Incarnation to_incarnation, Token token,
                std::uint32_t round, const LogStatus& status);
  void refused(Nanos now, MemberId from, Incarnation incarnation, Incarnation to_incarnation, Token token,
               Token seen);
  void appending(Nanos now, MemberId from, Incarnation incarnation, const Append& append);
  void appended(Nanos now, MemberId from, Incarnation incarnation, Incarnation to_incarnation, Token token,
                std::uint64_t sequence, Version matched, bool gap);
  void fetched(Nanos now, MemberId from, Incarnation incarnation, Token token, Version base, Version cursor,
               Token since);
  void chunked(Nanos now, MemberId from, Incarnation incarnation, Incarnation to_incarnation,
               const Chunk& chunk);
  void passed(Nanos now, MemberId from, Incarnation incarnation, Incarnation to_incarnation, Token token,
              const ForwardedPut& put);
  void answered(Nanos now, MemberId from, Incarnation incarnation, Incarnation to_incarnation, Token token,
                PutNumber put, PutOutcome end, Version version, std::string_view reason);

  // ---- time
  Nanos next_wake() const; // -1: none
  void due(Nanos now);

  // ---- what it knows
  const Entries& entries() const { return entries_; } // committed; give it out only if `ready`
  Version committed() const { return committed_; }
  // Not blank: a voter whose life counts in the newest roster that it knows as committed, or another member
  // that holds a state.
  bool ready() const;
  bool is_writer(Nanos now) const { return phase_ == Phase::writing && now < lease_until_; }

  struct Status {
    bool ready = false, writing = false, establishing = false, fetching = false;
    MemberId writer{}; // 0: none is known
    Token token{};     // of that writer
    Nanos last_received_at = -1;
    Version last{}, committed{};
    Roster roster;
    std::size_t puts = 0, pending = 0; // under way; in the log and not committed
    std::uint64_t total_puts = 0;
    std::map<MemberId, Version> matched; // in office: how far each other is
  };
  Status status() const;
  std::uint64_t invalid() const { return invalid_; }
  // Committed entries that this member had no room for: its bounds are smaller than the writer's.
  std::uint64_t entries_without_room() const { return entries_without_room_; }

 private:
  enum class Phase { none, preparing, fetching, writing };
  struct Writer { // whose token was promised last
    MemberId member{};
    Incarnation incarnation{};
    Nanos last_received_at = -1; // in office
  };
  struct Answer { // to a prepare
    Incarnation incarnation{};
    LogStatus status;
  };
  struct Peer { // another member, to a writer in office
    Incarnation incarnation{};
    bool incarnation_known = false;                      // `of` has been heard
    std::uint64_t first_known_sequence = 0;              // the first mark that was sent after that
    bool confirmed = false;                              // that life has answered one from there on
    bool lagging = false;                                // it cannot be levelled by the log: it has to fetch
    Version matched{}, sent{}, base{}, sent_committed{}; // base: it went back to there; told: as committed
    std::uint64_t last_sequence = 0, acked_sequence = 0,
                  rewind_sequence = 0; // back_at: marks up to it were sent before `sent` went back
    std::uint64_t window = 0;          // batches that may be under way
    int consecutive_gaps = 0;          // in a row
    Nanos next_beat = 0, resend_at = -1;
  };
  struct Session { // of one life of a member that passes puts on
    PutNumber oldest{};
    struct Result {
      bool ended = false;
      PutOutcome end = PutOutcome::unknown;
      Version version{};
      std::string reason;
    };
    std::map<PutNumber, Result> results;
    Nanos last_received_at = 0;
  };
  struct Put { // of this member
    ForwardedPut put;
    Token token{};               // passed on under it; 0: it is known that no writer has written it
    bool outcome_hidden = false; // a transfer may have hidden its end
    Nanos retry_at = 0, deadline = 0;
  };
  struct Fetch {
    bool under_way = false;
    MemberId from{};
    Incarnation incarnation{};
    bool incarnation_known = false; // `of` is
    Version base{}, cursor{}, floor{}, committed{};
    bool first = true;
    std::map<Version, Chunk> out_of_order;              // by where they begin
    std::map<Version, Record> records;                  // taken so far
    std::map<std::string, Version, std::less<>> newest; // of each key among these
    std::size_t bytes = 0, chunks_received = 0;         // taken: chunks since they were asked for
    Nanos retry_at = 0, deadline = 0;
  };

  // The log
  Version last() const { return log_.empty() ? log_from_ : log_.back().entry.version; }
  std::size_t index_after(Version version) const; // index of the first record after it
  bool in_log(Version version) const;
  void append_record(Record record);
  void commit(Nanos now, Version to);
  void update_roster();
  void trim();
  using Rosters = std::vector<std::pair<Version, Roster>>;
  Rosters rosters() const; // the newest committed one and all behind it
  LogStatus log_status() const;
  const Entry* newest_entry(std::string_view key) const; // pending ones too

  // The writer
  void start_round(Nanos now);
  void evaluate_promises(Nanos now);
  void begin_term(Nanos now);
  void step_down();
  void supersede(Token seen);
  Version write(Nanos now, Record record);
  std::string put_rejection_reason(const Entry& entry, const std::optional<Version>& expected);
  void write_roster(Nanos now, Roster roster);
  void admit_voters(Nanos now);
  void advance_commit(Nanos now);
  void send(Nanos now, MemberId to, Peer& peer, bool beat);
  void accept_put(Nanos now, MemberId from, Incarnation incarnation, const ForwardedPut& put);

  // The others
  void begin_fetch(Nanos now, MemberId from, Version base);
  void request_chunks(Nanos now);
  bool stage_chunk(const Chunk& chunk); // false: all from the beginning again
  void apply_fetch(Nanos now, Version committed);
  bool accept_token(Nanos now, MemberId from, Incarnation incarnation,
                    Token token); // false: a greater token is promised
  void forward_put(Nanos now, PutNumber number);
  void finish_put(PutNumber number, PutOutcome end, Version version, std::string_view reason);
  PutNumber oldest_put() const;

  ReplicaActions& actions_;
  MemberId self_;
  Incarnation incarnation_;
  std::set<MemberId> members_, voters_;
  Nanos beat_interval_, retry_interval_, batch_delay_, nonvoter_grace_, fetch_timeout_, put_timeout_;
  std::size_t max_puts_, max_log_records_, max_pending_records_, max_batch_bytes_, record_overhead_,
      max_batches_, max_entries_, max_bytes_;

  Entries entries_;
  Version committed_{};
  Roster roster_;          // the newest that is committed
  bool caught_up_ = false; // a writer in office has told all that it had committed, in this life
  std::deque<Record> log_; // committed ones first, then pending ones
  Version log_from_{};     // what stands before the first
  std::size_t pending_bytes_ = 0;
  Token promised_{};
  Writer writer_;

  Phase phase_ = Phase::none;
  Token token_{};
  Nanos lease_until_ = 0;
  std::uint32_t round_ = 0;
  Nanos preparing_since_ = 0, prepare_again_at_ = 0;
  std::map<MemberId, Answer> answers_;
  std::map<MemberId, Incarnation> previous_round_incarnations_; // of the round before
  bool by_all_voters_ = false;
  MemberId source_{};
  LogStatus chosen_log_;
  Version known_committed_{};
  std::map<MemberId, Peer> peers_;
  std::map<std::pair<MemberId, Incarnation>, Session> sessions_;
  Nanos send_at_ = -1;

  Fetch fetch_;
  std::map<PutNumber, Put> puts_;
  std::uint64_t put_count_ = 0;
  std::uint64_t invalid_ = 0, entries_without_room_ = 0;
};

} // namespace cometshift
