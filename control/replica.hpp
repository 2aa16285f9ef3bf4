// A control member's part in the replicated log of configuration writes, which is kept in memory, without a
// disk. The holder of the lease "control" (leases.hpp) is the writer; the fencing token of the lease is the
// term. A pure state machine: no I/O and no clock; each call carries the time, and messages go out through
// `ReplicaActions`. docs/control-order.md has the safety argument in full, and tests/control_replica.cpp
// tests it.
//
// Safety: why there is only one order of writes, in short. (1) A version (token, number) is written once, by
// the holder of that token, after exactly one predecessor: two logs that share a version are equal up to it
// (log matching). (2) A member that has promised a token accepts nothing under smaller ones. (3) A write is
// committed when a majority of the voters hold it together with a record under the writer's own token. (4) A
// writer starts from the log with the greatest last version among promises from a majority. Any two
// majorities share a voter, so that log contains everything that was committed. (5) Voters lose their state
// when they restart, so a vote belongs to one incarnation (member, incarnation), and the incarnations that
// count are themselves written to the log, as the roster: an incarnation counts only if every roster that may
// be in force names it. A new incarnation is added only by a committed roster, so by a majority of the
// others, and only when it holds everything up to that roster. A promise or an acknowledgement of an earlier
// incarnation therefore never stands in for one that has lost its state. None of this depends on clocks;
// the expiry of the lease (`until`) only stops a writer that could no longer commit anything.
//
// Recovery: if a majority of the voters has lost its state at once, the writer waits until all listed voters
// have answered twice in the same incarnations, so that all of them were running, bound by their promises, at
// one moment. It then starts from the log with the greatest last version of any control member that has
// answered, with a new roster. What only lost incarnations held is gone, which `began` reports. That no
// earlier writer continues beside it depends on the lease, and so on clocks. The first start of a fleet works
// in the same way.
//
// Not supported: changing the list of voters at run time. All control members have to be stopped and started
// with the new list, and what they held is lost. (A change between two lists needs joint majorities, as in
// voters.hpp.)
//
// Limits: see the settings below. Times and time spans are in ns of one monotonic clock. A view or a
// reference that is passed is valid until the call returns. Actions must not call back into the replica.
// Errors: the constructor throws std::invalid_argument with what is invalid. Invalid input from other members
// is counted and changes nothing. All control members need the same limits on entries.
//
// Sources: Oki and Liskov 1988, Liskov and Cowling 2012 (Viewstamped Replication, Revisited), Lamport 1998
// (Paxos), Ongaro and Ousterhout 2014 (Raft: log matching; only records of the own term are committed by
// counting), Michael et al. 2017 (recovery without a disk, crash vectors), Burrows 2006 (Chubby's
// sequencers).
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

// Identifies a put; rises within an incarnation of the member that received it. 0: none.
using PutNumber = Id<struct PutNumberTag, std::uint64_t>;

// The scope that is reserved for the control members. The roster is an entry in it, so that it is replicated.
constexpr std::string_view control_scope = "control", roster_key = "control/roster";

// The incarnations of the voters whose votes count.
struct Roster {
  std::map<MemberId, Incarnation> incarnations;
  Token since{}; // the token under which the history began: at the first start, or after a loss
  bool operator==(const Roster&) const = default;
};
std::string format_roster(const Roster& roster);
std::optional<Roster> parse_roster(std::string_view text); // nullopt if it is not a roster

// A log record: an entry, and the put that wrote it.
struct Record {
  Entry entry;
  Incarnation writer_incarnation{}; // of entry.writer
  PutNumber put{};                  // 0: written by the writer itself
  bool operator==(const Record&) const = default;
};

// The log of a member, as reported with its promise.
struct LogStatus {
  Version last{}, committed{};
  // The newest committed roster, if there is one, and those after it in the log.
  std::vector<std::pair<Version, Roster>> rosters;
};

// Records for the log of another member.
struct Append {
  Token token{};
  std::uint64_t sequence = 0; // rises per receiver; echoed in the answer
  Version log_from{};         // where the writer's log starts; anything older is available by chunks only
  Version previous{};         // the version before the first of the records
  Version committed{};
  std::vector<Record> records;
};

// A piece of a state transfer: of a member's committed state (the newest entry of each key) and then of its
// log, in order of version.
struct Chunk {
  Token token{};
  Version base{}; // the version that the receiver has and the transfer starts from; {}: nothing
  Version from{}; // contains entries after this version
  Version to{};   // up to this one
  Version floor{}, committed{};
  bool last = false;        // `to` is the end of the log
  bool unavailable = false; // no transfer is possible from that base
  std::vector<Record> records;
};

// The outcome of a put.
enum class PutOutcome {
  done,    // committed at a version
  refused, // not written, now or later
  unknown  // may have been committed, or may still be
};
std::string_view to_text(PutOutcome end);

// A put that is forwarded to the writer by the member that received it.
struct ForwardedPut {
  PutNumber number{};
  PutNumber oldest{}; // the sender has the outcome of all smaller ones
  std::string key, value;
  bool deleted = false;
  // Write only if the newest entry of the key has this version; {}: only if there is none, or a tombstone.
  std::optional<Version> expected;
};

// The messages of a replica to other control members, and its calls to this member.
class ReplicaActions {
 public:
  virtual ~ReplicaActions() = default;
  // ---- messages to another control member, named as in peers/control.proto. `incarnation`: of the receiver;
  // other incarnations ignore the message.
  virtual void prepare(MemberId to, Token token, std::uint32_t round) = 0;
  virtual void promise(MemberId to, Incarnation incarnation, Token token, std::uint32_t round,
                       const LogStatus& status) = 0;
  // A token `seen`, greater than `token`, is promised already.
  virtual void refuse(MemberId to, Incarnation incarnation, Token token, Token seen) = 0;
  virtual void append(MemberId to, const Append& append) = 0;
  // `matched`: the log is equal to the writer's up to there. With `gap`: the append did not connect, and the
  // writer has to go back to there.
  virtual void appended(MemberId to, Incarnation incarnation, Token token, std::uint64_t sequence,
                        Version matched, bool gap) = 0;
  // Requests the receiver's state and log after `cursor`, as a transfer on top of `base`, in the history that
  // began under `since`.
  virtual void fetch(MemberId to, Token token, Version base, Version cursor, Token since) = 0;
  virtual void chunk(MemberId to, Incarnation incarnation, const Chunk& chunk) = 0;
  // Forwards a put of this member to the writer.
  virtual void pass(MemberId to, Incarnation incarnation, Token token, const ForwardedPut& put) = 0;
  // The outcome of a put that the receiver forwarded.
  virtual void answer(MemberId to, Incarnation incarnation, Token token, PutNumber put, PutOutcome end,
                      Version version, std::string_view reason) = 0;

  // ---- to this member itself
  // Returns why the entry cannot be written, or an empty text if it can. Called at the writer before it
  // writes.
  virtual std::string rejection_reason(const Entry& entry) = 0;
  // The record has been committed and is in `entries()`. Called in order of version.
  virtual void committed(const Record& record) = 0;
  virtual void replaced() = 0; // a state transfer has replaced `entries()` by a later version
  // The outcome of a put of this member.
  virtual void ended(PutNumber put, PutOutcome end, Version version, std::string_view reason) = 0;
  // This member has become the writer. `after_loss`: it starts a new history after all voters have answered;
  // what only lost incarnations held is gone.
  virtual void began(Token token, bool after_loss) = 0;
  virtual void stepped_down(Token token) = 0; // only after `began`
  // Another member has promised a token greater than `token`, which this member holds. The caller has to pass
  // `seen` to Leases::refused_by_target.
  virtual void superseded(Token token, Token seen) = 0;
};

// The replicated log at one control member.
class Replica {
 public:
  // `members`: all control members; `voters`: an odd number of them, the same list at all members. Settings,
  // besides those of Entries; time spans in ns:
  // - control.beat: the longest time between two messages of the writer to a member
  // - control.again: retransmission timeout
  // - control.batch: how long a write waits to be batched with others; may be 0
  // - control.grace: how long the recovery after a loss of voters waits for members that do not vote
  // - control.patience: a state transfer is abandoned if its source has sent nothing for this long
  // - control.put_timeout: a put without an outcome ends after this time: as refused if no writer can have
  //   written it, otherwise as unknown
  // - control.most_puts: concurrent puts of this member
  // - control.most_log: records kept for members that lag behind
  // - control.most_pending: uncommitted records
  // - control.most_batch: bytes of keys and values in one append or chunk (a single larger record is sent
  //   whole)
  // - control.record_overhead: encoded bytes of a record beyond key and value; 0 by default
  // - control.most_batches: batches in flight to one member
  Replica(Nanos now, MemberId self, Incarnation incarnation, std::set<MemberId> members,
          std::set<MemberId> voters, const Settings& settings, ReplicaActions& actions);
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  // ---- from this member's Leases, for the lease "control"
  void lease_held(Nanos now, Token token, Nanos until);
  void lease_lost(Nanos now, Token token);

  // ---- puts at this member. The outcome is reported by `ended`, possibly within the call. Returns 0 if
  // there are too many puts in progress; no outcome follows then.
  PutNumber put(Nanos now, std::string key, std::string value, bool deleted, std::optional<Version> expected);

  // ---- messages from other control members. `from`, `incarnation`: the sender; `to_incarnation`: the
  // incarnation of this member that the message is meant for
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

  // ---- state
  const Entries& entries() const { return entries_; } // committed entries; to be distributed only if `ready`
  Version committed() const { return committed_; }
  // This member holds a valid state: it is a voter whose incarnation counts in the newest roster that it
  // knows as committed, or a member that does not vote and has caught up with a writer.
  bool ready() const;
  bool is_writer(Nanos now) const { return phase_ == Phase::writing && now < lease_until_; }

  struct Status {
    bool ready = false, writing = false, establishing = false, fetching = false;
    MemberId writer{}; // 0: unknown
    Token token{};     // of the writer
    Nanos last_received_at = -1;
    Version last{}, committed{};
    Roster roster;
    std::size_t puts = 0, pending = 0; // puts in progress; log records not committed
    std::uint64_t total_puts = 0;
    std::map<MemberId, Version> matched; // at the writer: how far each other member is
  };
  Status status() const;
  // Invalid messages received.
  std::uint64_t invalid() const { return invalid_; }
  // Committed entries that exceeded the limits of this member, because its limits are smaller than the
  // writer's.
  std::uint64_t entries_without_room() const { return entries_without_room_; }

 private:
  enum class Phase { none, preparing, fetching, writing };
  struct Writer { // the member whose token was promised last
    MemberId member{};
    Incarnation incarnation{};
    Nanos last_received_at = -1; // in its term as the writer; -1: the term has not begun
  };
  struct Answer { // to a prepare
    Incarnation incarnation{};
    LogStatus status;
  };
  struct Peer { // another member, as seen by the writer
    Incarnation incarnation{};
    bool incarnation_known = false;         // a message of `incarnation` has been received
    std::uint64_t first_known_sequence = 0; // the first append that was sent after that
    bool confirmed = false;                 // this incarnation has answered one of those
    bool lagging = false; // the writer's log no longer reaches back to its version: it has to fetch
    Version matched{}, sent{}, base{}, sent_committed{}; // base: the target of the last rewind
    // rewind_sequence: appends up to it were sent before `sent` was rewound
    std::uint64_t last_sequence = 0, acked_sequence = 0, rewind_sequence = 0;
    std::uint64_t window = 0; // batches that may be in flight
    int consecutive_gaps = 0;
    Nanos next_beat = 0, resend_at = -1;
  };
  struct Session { // an incarnation of a member that forwards puts
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
    Token token{};               // forwarded under it; 0: no writer can have written the put
    bool outcome_hidden = false; // a state transfer may have skipped the record that shows its outcome
    Nanos retry_at = 0, deadline = 0;
  };
  struct Fetch {
    bool in_progress = false;
    MemberId from{};
    Incarnation incarnation{};
    bool incarnation_known = false;
    Version base{}, cursor{}, floor{}, committed{};
    bool first = true;                                  // no chunk has been staged yet
    std::map<Version, Chunk> out_of_order;              // by `from`
    std::map<Version, Record> records;                  // received so far
    std::map<std::string, Version, std::less<>> newest; // of each key in `records`
    std::size_t bytes = 0, chunks_received = 0;         // of `records`; since the last request
    Nanos retry_at = 0, deadline = 0;
  };

  // ---- the log
  Version last() const { return log_.empty() ? log_from_ : log_.back().entry.version; }
  std::size_t index_after(Version version) const; // index of the first record after it
  bool in_log(Version version) const;
  void append_record(Record record);
  void commit(Nanos now, Version to);
  void update_roster();
  void trim();
  using Rosters = std::vector<std::pair<Version, Roster>>;
  Rosters rosters() const; // the newest committed one and all after it in the log
  LogStatus log_status() const;
  const Entry* newest_entry(std::string_view key) const; // pending entries included

  // ---- the writer
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

  // ---- the other members
  void begin_fetch(Nanos now, MemberId from, Version base);
  void request_chunks(Nanos now);
  bool stage_chunk(const Chunk& chunk); // false: the transfer has to start again
  void apply_fetch(Nanos now, Version committed);
  // False if a greater token is promised.
  bool accept_token(Nanos now, MemberId from, Incarnation incarnation, Token token);
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
  Roster roster_;          // the newest committed one
  bool caught_up_ = false; // has received everything that a writer had committed, in this incarnation
  std::deque<Record> log_; // committed records first, then pending ones
  Version log_from_{};     // the version before the first record
  std::size_t pending_bytes_ = 0;
  Token promised_{};
  Writer writer_;

  Phase phase_ = Phase::none;
  Token token_{};
  Nanos lease_until_ = 0;
  std::uint32_t round_ = 0;
  Nanos preparing_since_ = 0, prepare_again_at_ = 0;
  std::map<MemberId, Answer> answers_;
  std::map<MemberId, Incarnation> previous_round_incarnations_;
  bool by_all_voters_ = false; // the term starts a new history, after answers from all voters
  MemberId source_{};
  LogStatus chosen_log_;
  Version known_committed_{}; // the greatest among the promises
  std::map<MemberId, Peer> peers_;
  std::map<std::pair<MemberId, Incarnation>, Session> sessions_;
  Nanos send_at_ = -1; // when the waiting batch is sent; -1: none

  Fetch fetch_;
  std::map<PutNumber, Put> puts_;
  std::uint64_t put_count_ = 0;
  std::uint64_t invalid_ = 0, entries_without_room_ = 0;
};

} // namespace cometshift
