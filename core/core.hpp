// The state machine of a server. It tracks open ops, idempotency keys and kept results, retries that wait for
// their original, timers, and start commands that the interpreter may not have read. It carries out the
// decisions of the decision module (src/decision_module.hpp) and is driven through `Events`.
//
// It does no I/O, reads no clock and has no randomness except the module's seeded generator: the same events
// with the same times produce the same actions in the same order on every machine and at every optimisation
// level. This holds because every iteration is over a container ordered by ids, names or times (never by
// addresses), no hash container is used, and floating-point sums are formed in a fixed order.
//
// Errors: the constructor and `set_pools` throw std::invalid_argument naming a setting that is missing or
// invalid; `serialize` throws it for an invalid snapshot. Events throw nothing else.
#pragma once

#include "interface.hpp"
#include "pools.hpp"

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace cometshift {

// The state machine of one server.
class Core final : public Events, Server {
 public:
  Core(Nanos now, const Settings& settings, Actions& actions);

  void op_received(Nanos now, StreamRef stream_ref, OpId id, OpTypeId type, TenantId tenant, CallerId caller,
                   Nanos received_at, Nanos limit, double held_kb, double rank, std::string_view mark,
                   std::string_view subject, Content body, Digest body_digest) override;
  void stream_lost(Nanos now, StreamRef stream_ref) override;
  void machine_up(Nanos now, Nanos since) override;
  void link_up(Nanos now, StartNo last_read) override;
  void link_down(Nanos now) override;
  void run_finished(Nanos now, OpId id, Outcome outcome, Nanos lag, Content result) override;
  void call_wanted(Nanos now, OpId id, Content body) override;
  void start_refused(Nanos now, OpId id) override;
  void gauges(Nanos now, std::span<const double> values) override;
  void call_finished(Nanos now, OpId id, Outcome outcome, Content reply) override;
  void due(Nanos now) override;
  void answer_repeats(Nanos now) override;
  void drain(Nanos now, Nanos not_before) override;
  void set_pools(Nanos now, const Settings& pools) override;

  bool anything_due(Nanos now) const; // if false, `due` changes nothing
  bool has_repeats_to_answer() const { return !repeats_to_answer_.empty(); }
  Nanos next_wake() const { return wakes_.empty() ? -1 : wakes_.top().first; } // -1: none
  bool draining() const { return draining_; }
  bool all_answered() const; // no op waits for its answer

  bool explain(Nanos now, OpId id, DecisionInputs& into) const { return module_->explain(now, id, into); }
  const Pools* pools() const { return pools_.get(); }    // null: pools are off
  const Settings& settings() const { return settings_; } // with the current pool settings
  // As DecisionModule::serialize, together with the state of the core itself.
  template <class Serializer>
  void serialize(Serializer& serializer);

 private:
  // Identifies retries of the same op: the op type and the mark (keyed ops) or the subject (retryable ops).
  // For a mark the digest of the body belongs to the key, because another caller may send the same mark with
  // another body. Keys with the same mark are adjacent in the order.
  struct Key {
    OpTypeId type;
    std::string value;
    Digest body;
    auto operator<=>(const Key&) const = default;
    template <class Serializer>
    void serialize(Serializer& serializer) {
      serializer(type);
      serializer.word(value);
      serializer(body.high, body.low);
    }
  };
  // The state kept under a key: the try that holds it, the try that was executed, and the outcome.
  struct KeyEntry {
    OpId holder;
    OpId executed = no_op_id;
    Nanos repeats_until = 0; // retries received until then are answered from this entry
    Nanos ended_at = 0;      // end of the run
    enum class State { held, running, done, failed } state = State::held;
    bool confirmed = false; // the interpreter has reported something about its run
    Content result;
    std::vector<OpId> waiting;                    // retries to be answered with the result
    std::multimap<Nanos, Key>::iterator end = {}; // when the entry expires
  };
  struct Op {
    StreamRef stream_ref;
    OpTypeId type;
    Content body;
    std::optional<Key> key;
    Nanos received_at = 0;
    bool answered = false;
    bool reusing = false;
    enum class Run { none, pending, sent, finished } run = Run::none;
    StartNo last_start{};              // the last start sent for this op
    bool original_not_started = false; // of a waiting retry: the op that it repeats was never started
    int starts = 0;                    // start commands sent
    bool run_observed = false;         // the interpreter has reported something about the run
    bool at_call = false;
    bool call_in_flight = false;  // its outgoing call has not ended
    Content call_body;            // request body of the run's call to the service below
    std::optional<Content> reply; // reply to the call, kept while the link is down
    Nanos called_at = 0;
    Nanos answered_at = 0;
  };

  // Actions requested by the decision module (`Server`).
  void run(OpId op) override;
  void nack(OpId op, Reason reason, bool no_retry, Nanos retry_after) override;
  void fail(OpId op, Reason reason) override;
  void call(OpId op, Nanos timeout) override;
  void answer_without_call(OpId op) override;
  void keep_key(OpId op, Nanos lifetime) override;
  void forget_key(OpId op) override;
  void reuse(OpId op) override;
  void halt(OpId op) override;
  void health(bool good, bool from_store) override;
  void notify_callers(double value) override;
  void set_idle_timeout(Nanos after) override;
  void wake_at(Nanos at, WakeId name) override;
  void log(std::string_view words) override;
  void set_timing(Timing what, Nanos time) override;
  void set_eviction_order(std::span<const Eviction> order, int max_invalid_ops) override;
  void stop_accepting() override;

  // The key under which retries of such an op are recognized; nothing if they are not.
  std::optional<Key> key_of(OpTypeId type, std::string_view mark, std::string_view subject,
                            Digest body_digest) const;
  Reason exceeded_bound(const std::optional<Key>& key, bool keyed) const;
  void reject_duplicate_id(StreamRef stream_ref, OpId id);
  // `original`: the entry of the op that it repeats, or null.
  void reject_for_room(StreamRef stream_ref, OpId id, const KeyEntry* original, bool keyed, Reason reason);
  void send_run(OpId id, Op& op);
  Op* find_unanswered(OpId id); // null if unknown or already answered
  void mark_answered(OpId id, Op& op);
  void erase_if_finished(OpId id); // forgets an op that is answered and has no run pending
  KeyEntry* find_entry(OpId id);   // the entry under the op's key, whichever try holds it; or null
  bool conflicts_with_confirmed(const Key& key) const;
  OpId find_earlier_try(const Key& key, bool keyed, Nanos received_at) const;
  void finish_entry(KeyEntry& entry, KeyEntry::State state, Content result);
  void drop_unstarted(KeyEntry& entry);
  void remember_ended(OpId id);
  void forget_oldest_ended();
  void erase(const Key& key);
  void expire_entries();
  void query_orphans();
  bool orphan_query_due() const;
  template <class Serializer>
  void serialize_op(Serializer& serializer, Op& op);
  template <class Serializer>
  void serialize_entry(Serializer& serializer, KeyEntry& entry);
  template <class Serializer>
  void serialize_ended_ids(Serializer& serializer);

  Actions& actions_;
  Settings settings_;
  std::vector<RetryClass> retry_classes_;
  std::vector<Nanos> op_timeouts_;
  Nanos result_freshness_;
  Nanos max_op_timeout_ = 0; // the longest of op_timeouts_
  Nanos shutdown_timeout_;
  std::size_t max_result_bytes_;
  std::size_t max_ops_;
  std::size_t max_keys_;

  Nanos now_;
  std::map<OpId, Op> ops_;
  std::map<ConnectionId, std::map<StreamId, OpId>> open_streams_; // ops not answered, by connection
  std::map<Key, KeyEntry> keys_;
  std::multimap<Nanos, Key> key_expiries_; // one for each entry of keys_
  std::set<OpId> holders_;                 // of the entries of keys_
  // Ids of non-retryable ops that have run, each until no caller can wait for it any more, in order of
  // expiry.
  std::set<std::pair<Nanos, OpId>> ended_id_expiries_;
  std::set<OpId> ended_ids_; // of ended_id_expiries_
  std::size_t result_bytes_ = 0;
  std::vector<OpId> repeats_to_answer_; // answered by `answer_repeats`, after the module has returned
  using Wake = std::pair<Nanos, WakeId>;
  std::priority_queue<Wake, std::vector<Wake>, std::greater<>> wakes_;
  std::vector<double> gauges_;
  std::size_t busy_gauge_ = ~std::size_t{0}; // index of the gauge of busy cores, if there is one
  std::uint64_t starts_sent_ = 0;            // start commands sent in total
  Nanos orphan_query_delay_ = 0;
  Nanos orphans_checked_at_ = 0; // last query for runs of answered ops
  bool link_up_ = false;
  bool machine_seen_up_ = false;
  bool draining_ = false;
  std::unique_ptr<Pools> pools_; // null: pools are off
  std::unique_ptr<DecisionModule> module_;
};

} // namespace cometshift
