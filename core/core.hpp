// The state machine of a server: the ops that are open, the kept keys and results, repeats that wait,
// wake-ups, starts that may not have been read. It stands between the decisions (src/decision_module.hpp),
// whose orders it carries on, and whoever drives it. No I/O, no clock, no chance but the module's: the same
// events with the same times give the same orders, in the same order, on every machine and at every level of
// optimisation. What that rests on: every walk is over an ordered container whose order is that of ids, names
// or times (never of addresses), nothing is hashed here, and fractions are added in one order.
//
// Errors: throws std::invalid_argument, at the start and from `set_pools` only, with the name of a setting
// that is missing or senseless.
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
  void drain(Nanos now) override;
  void set_pools(Nanos now, const Settings& pools) override;

  bool anything_due(Nanos now) const; // else `due` changes nothing
  bool has_repeats_to_answer() const { return !repeats_to_answer_.empty(); }
  Nanos next_wake() const { return wakes_.empty() ? -1 : wakes_.top().first; } // -1: none
  bool draining() const { return draining_; }
  bool all_answered() const;

  bool explain(Nanos now, OpId id, DecisionInputs& into) const { return module_->explain(now, id, into); }
  const Pools* pools() const { return pools_.get(); }    // null: none are set
  const Settings& settings() const { return settings_; } // the settings, with the pools as they are now
  // As DecisionModule::serialize, with all that the core remembers beside it.
  template <class Serializer>
  void serialize(Serializer& serializer);

 private:
  // Under what repeats are known: the op type, the mark or the subject, and of a mark the body's digest, as
  // others may bring the same mark with another body. Those of one mark stand together.
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
  // What is remembered under a key: which try holds it, which ran, and what came of that.
  struct KeyEntry {
    OpId holder;
    OpId executed = no_op_id;
    Nanos repeats_until = 0; // of arrival of repeats
    Nanos ended_at = 0;      // of the run
    enum class State { held, running, done, failed } state = State::held;
    bool confirmed = false; // the interpreter knows it: its run was heard of
    Content result;
    std::vector<OpId> waiting;                    // ops to be answered with the result
    std::multimap<Nanos, Key>::iterator end = {}; // when to look whether this is over
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
    StartNo last_start{};              // the last that was sent for it
    bool original_not_started = false; // of an op that waits: what it repeats was not
    int starts = 0;                    // sent
    bool run_observed = false;         // the run has been heard of
    bool at_call = false;
    bool call_in_flight = false;  // its call is in hand
    Content call_body;            // what the run wants to ask below
    std::optional<Content> reply; // to its call, kept while the link is down
    Nanos called_at = 0;
    Nanos answered_at = 0;
  };

  // The module's orders.
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

  void send_run(OpId id, Op& op);
  Op* find_unanswered(OpId id); // null if it is answered already
  void mark_answered(OpId id, Op& op);
  void erase_if_finished(OpId id); // forgets an op of which nothing is left to do
  KeyEntry* find_entry(OpId id);   // under its key, whoever holds it; null if there is none
  bool conflicts_with_confirmed(const Key& key) const;
  OpId find_earlier_try(const Key& key, bool keyed, Nanos received_at) const;
  void finish_entry(KeyEntry& entry, KeyEntry::State state, Content result);
  void drop_unstarted(KeyEntry& entry);
  void erase(const Key& key);
  void expire_entries();
  void query_orphans();
  bool orphan_query_due() const;
  template <class Serializer>
  void serialize_op(Serializer& serializer, Op& op);
  template <class Serializer>
  void serialize_entry(Serializer& serializer, KeyEntry& entry);

  Actions& actions_;
  Settings settings_;
  std::vector<RetryClass> retry_classes_;
  std::vector<Nanos> op_timeouts_;
  Nanos result_freshness_;
  Nanos max_op_timeout_ = 0; // op timeout
  Nanos shutdown_timeout_;
  std::size_t max_result_bytes_; // bytes
  std::size_t max_ops_;
  std::size_t max_keys_;

  Nanos now_;
  std::map<OpId, Op> ops_;
  std::map<ConnectionId, std::map<StreamId, OpId>> open_streams_; // of the ops not answered, by connection
  std::map<Key, KeyEntry> keys_;
  std::multimap<Nanos, Key> key_expiries_; // one for each of them
  std::set<OpId> holders_;                 // of them
  std::size_t result_bytes_ = 0;
  std::vector<OpId> repeats_to_answer_; // to be answered after the module has returned
  using Wake = std::pair<Nanos, WakeId>;
  std::priority_queue<Wake, std::vector<Wake>, std::greater<>> wakes_;
  std::vector<double> gauges_;
  std::size_t busy_gauge_ = ~std::size_t{0}; // of the cores, if it is told
  std::uint64_t starts_sent_ = 0;            // sent, in all
  Nanos orphan_query_delay_ = 0;
  Nanos orphans_checked_at_ = 0; // for starts that came to nothing
  bool link_up_ = false;
  bool machine_seen_up_ = false;
  bool draining_ = false;
  std::unique_ptr<Pools> pools_; // null: none, and nothing is asked of them
  std::unique_ptr<DecisionModule> module_;
};

} // namespace cometshift
