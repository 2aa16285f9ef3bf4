#include "core.hpp"

#include "serializer.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos second = 1000 * ms;

// Limits on retained state, relative to the configured memory. Ordinary service does not reach them.
constexpr std::size_t mb = 1024 * 1024;
constexpr std::size_t results_memory_divisor = 8; // an eighth of the memory for results kept for retries
constexpr std::size_t max_ops_per_mb = 48;        // at 2 KB an op plus bookkeeping: a sixth of the memory
constexpr std::size_t max_keys_per_mb = 128;      // entries without their results: a twentieth of the memory
constexpr std::size_t shared_reads_divisor = 2;   // this part of the keys; the rest is for keyed ops

// The protocol's time limits are 50 ms longer and its times are rounded to ms.
constexpr Nanos key_window_slack = 100 * ms;
// A longer delay between receipt and reading indicates a wrong clock.
constexpr Nanos max_read_delay = 3600 * second;

std::size_t memory_share(const Settings& settings, std::size_t per_mb, std::size_t divisor) {
  return static_cast<std::size_t>(number(settings, "memory_mb", 0)) * per_mb / divisor;
}

} // namespace

Core::Core(Nanos now, const Settings& settings, Actions& actions)
    : actions_(actions), settings_(settings), result_freshness_(span(settings, "fresh_for_ns", 0)),
      shutdown_timeout_(span(settings, "stop_ns", 0)),
      max_result_bytes_(memory_share(settings, mb, results_memory_divisor)),
      max_ops_(memory_share(settings, max_ops_per_mb, 1)),
      max_keys_(memory_share(settings, max_keys_per_mb, 1)), now_(now) {
  for (int t = 0;; ++t) {
    const std::string at = "op_type." + std::to_string(t) + ".";
    if (!settings.contains(at + "name")) break;
    const std::string retry_class = text(settings, at + "repeats", "");
    retry_classes_.push_back(retry_class == "keyed"       ? RetryClass::keyed
                             : retry_class == "retryable" ? RetryClass::retryable
                                                          : RetryClass::non_retryable);
    op_timeouts_.push_back(span(settings, at + "op_timeout_ns"));
    max_op_timeout_ = std::max(max_op_timeout_, op_timeouts_.back());
  }
  for (std::size_t g = 0; settings.contains("gauge." + std::to_string(g)); ++g) {
    if (text(settings, "gauge." + std::to_string(g), "") == "cores_busy") busy_gauge_ = g;
    gauges_.push_back(0);
  }
  if (Pools::enabled(settings)) pools_ = std::make_unique<Pools>(now, settings);
  const auto seed_half = [&](const char* name) {
    return static_cast<std::uint64_t>(number(settings, name, 0));
  };
  module_.reset(
      new DecisionModule(now, seed_half("seed_high") << 32 | seed_half("seed_low"), settings, *this));
}

// ---- turns

bool Core::anything_due(Nanos now) const {
  return (!wakes_.empty() && wakes_.top().first <= now) ||
         (!key_expiries_.empty() && key_expiries_.begin()->first <= now) ||
         (!ended_id_expiries_.empty() && ended_id_expiries_.begin()->first <= now) ||
         (link_up_ && now - orphans_checked_at_ >= orphan_query_delay_);
}

void Core::due(Nanos now) {
  now_ = now;
  while (!wakes_.empty() && wakes_.top().first <= now) {
    const WakeId name = wakes_.top().second;
    wakes_.pop();
    module_->woken(now, name, gauges_);
  }
  expire_entries();
  query_orphans();
}

void Core::drain(Nanos now, Nanos not_before) {
  now_ = now;
  if (draining_) return;
  draining_ = true;
  actions_.note("drain", "draining, " + std::to_string(shutdown_timeout_ / ms) + " ms until shutdown");
  module_->drain(now, not_before, shutdown_timeout_);
}

// The capacity estimate carries over; ops that are already open no longer count in any pool.
void Core::set_pools(Nanos now, const Settings& pools) {
  now_ = now;
  Settings settings = settings_;
  std::erase_if(settings, [](const auto& entry) { return Pools::is_setting(entry.first); });
  for (const auto& entry : pools)
    if (Pools::is_setting(entry.first)) settings.insert(entry);
  std::unique_ptr<Pools> made;
  if (Pools::enabled(settings)) made = std::make_unique<Pools>(now, settings);
  if (made && pools_) made->adopt_estimate(now, *pools_);
  pools_ = std::move(made);
  settings_ = std::move(settings);
}

bool Core::all_answered() const {
  return std::all_of(ops_.begin(), ops_.end(), [](const auto& entry) { return entry.second.answered; });
}

// ---- ops

Core::Op* Core::find_unanswered(OpId id) {
  const auto at = ops_.find(id);
  return at == ops_.end() || at->second.answered ? nullptr : &at->second;
}

void Core::mark_answered(OpId id, Op& op) {
  op.answered = true;
  op.answered_at = now_;
  if (pools_)
    pools_->answered(now_, id, false); // a nack has been reported before and this call then changes nothing
  if (const auto at = open_streams_.find(op.stream_ref.connection); at != open_streams_.end()) {
    at->second.erase(op.stream_ref.stream);
    if (at->second.empty()) open_streams_.erase(at);
  }
  if (op.reusing) {
    op.reusing = false;
    if (const auto at = keys_.find(*op.key); at != keys_.end()) std::erase(at->second.waiting, id);
  }
  erase_if_finished(id);
}

void Core::erase_if_finished(OpId id) {
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  const Op& op = at->second;
  if (op.answered && op.run != Op::Run::pending && op.run != Op::Run::sent) ops_.erase(at);
}

std::optional<Core::Key> Core::key_of(OpTypeId type, std::string_view mark, std::string_view subject,
                                      Digest body_digest) const {
  switch (retry_classes_[type.raw]) {
  case RetryClass::keyed:
    return Key{type, std::string(mark), body_digest};
  case RetryClass::retryable:
    if (result_freshness_ > 0 && !subject.empty()) return Key{type, std::string(subject), {}};
    return std::nullopt;
  case RetryClass::non_retryable:
    return std::nullopt;
  }
  return std::nullopt;
}

// An id in use can't be taken by another op. That includes ids of ended ops: kept results refer to them by
// id, so another op with the same id would be taken for that one; and a non-retryable op must not run again.
// A nack would state that the id was never run, so an op that was started is failed.
void Core::reject_duplicate_id(StreamRef stream_ref, OpId id) {
  actions_.note("request", "refused: its txn is already in use");
  const auto at = ops_.find(id);
  if (ended_ids_.contains(id) || (at != ops_.end() && at->second.run != Op::Run::none))
    actions_.failed(stream_ref, id, Reason::known);
  else
    actions_.refused(stream_ref, id, Reason::known, 0, false);
  actions_.penalize(stream_ref);
}

// The bound that another op would exceed; none if there is room. An op whose key is in the table needs no new
// entry.
Reason Core::exceeded_bound(const std::optional<Key>& key, bool keyed) const {
  if (keyed && keys_.size() >= max_keys_ && !keys_.contains(*key)) return Reason::too_many_keys;
  return ops_.size() >= max_ops_ ? Reason::too_many_ops : Reason::none;
}

// Answers an op for which there is no room. A retry gets the kept result of its original. While there is
// none, a keyed retry is failed: a nack would state that it was never run.
void Core::reject_for_room(StreamRef stream_ref, OpId id, const KeyEntry* original, bool keyed,
                           Reason reason) {
  actions_.note("request", "refused: too many open ops or kept keys");
  if (original && original->state == KeyEntry::State::done)
    actions_.served(stream_ref, id, original->result);
  else if (original && keyed)
    actions_.failed(stream_ref, id, reason);
  else
    actions_.refused(stream_ref, id, reason, 0, false);
}

void Core::op_received(Nanos now, StreamRef stream_ref, OpId id, OpTypeId type, TenantId tenant,
                       CallerId caller, Nanos received_at, Nanos limit, double held_kb, double rank,
                       std::string_view mark, std::string_view subject, Content body, Digest body_digest) {
  now_ = now;
  const bool keyed = retry_classes_[type.raw] == RetryClass::keyed;
  std::optional<Key> key = key_of(type, mark, subject, body_digest);
  // A resend under the same id after the op has ended: it has run and is answered from the kept result.
  if (const auto at = key ? keys_.find(*key) : keys_.end();
      at != keys_.end() && at->second.holder == id && !ops_.contains(id)) {
    if (at->second.state == KeyEntry::State::done) return actions_.served(stream_ref, id, at->second.result);
    if (at->second.state == KeyEntry::State::failed)
      return actions_.failed(stream_ref, id, Reason::first_failed);
  }
  if (ops_.contains(id) || holders_.contains(id) || ended_ids_.contains(id))
    return reject_duplicate_id(stream_ref, id);
  if (keyed && conflicts_with_confirmed(*key)) {
    actions_.note("request", "refused: its mark belongs to another op");
    actions_.refused(stream_ref, id, Reason::other_mark, 0, true);
    return actions_.penalize(stream_ref);
  }
  const OpId earlier = key ? find_earlier_try(*key, keyed, received_at) : no_op_id;
  if (const Reason reason = exceeded_bound(key, keyed); reason != Reason::none)
    return reject_for_room(stream_ref, id, earlier != no_op_id ? &keys_.at(*key) : nullptr, keyed, reason);
  double worth = 1;
  if (pools_) {
    // Tries of one op have the same body and rank; different ops rarely share both.
    const Digest fingerprint{body_digest.high ^ type.raw,
                             body_digest.low ^ std::bit_cast<std::uint64_t>(rank)};
    const Pools::Admission admission =
        pools_->op_received(now, id, type, tenant, fingerprint, earlier != no_op_id);
    if (!admission.admitted)
      return actions_.refused(stream_ref, id, admission.reason, admission.retry_after, false);
    worth = admission.worth;
  }
  received_at = std::min(received_at, now);
  Nanos waited = std::min(now - received_at, max_read_delay);
  if (limit > 0) waited = std::min(waited, limit - 1); // the module receives a positive remaining time
  Op& op = ops_[id];
  op.stream_ref = stream_ref;
  op.type = type;
  op.body = std::move(body);
  op.received_at = received_at;
  op.key = std::move(key);
  open_streams_[stream_ref.connection][stream_ref.stream] = id;
  const KeyId read_key =
      subject.empty() ? no_key_id : KeyId{0}; // the module only tests whether there is a key
  module_->op_read(now, id, type, tenant, read_key, caller, limit > 0 ? limit - waited : 0, waited, 0,
                   held_kb, rank, false, earlier, worth);
}

void Core::stream_lost(Nanos now, StreamRef stream_ref) {
  now_ = now;
  const auto at = open_streams_.find(stream_ref.connection);
  if (at == open_streams_.end()) return;
  const auto op_at = at->second.find(stream_ref.stream);
  if (op_at == at->second.end()) return;
  const OpId id = op_at->second;
  module_->op_cancelled(now, id); // first: actions that the module requests for this op must still find it
  if (Op* op = find_unanswered(id)) mark_answered(id, *op);
}

void Core::nack(OpId id, Reason reason, bool no_retry, Nanos retry_after) {
  Op* op = find_unanswered(id);
  if (!op) return;
  actions_.refused(op->stream_ref, id, reason, retry_after, no_retry);
  if (pools_) pools_->answered(now_, id, true);
  mark_answered(id, *op);
}

void Core::fail(OpId id, Reason reason) {
  Op* op = find_unanswered(id);
  if (!op) return;
  actions_.failed(op->stream_ref, id, reason);
  mark_answered(id, *op);
}

// ---- runs

void Core::run(OpId id) {
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  Op& op = at->second;
  op.run = Op::Run::pending;
  op.run_observed = op.at_call = false;
  op.reply.reset();
  if (KeyEntry* entry = find_entry(id); entry && entry->holder == id) {
    entry->executed = id;
    entry->state = KeyEntry::State::running;
  }
  if (pools_) pools_->started(now_, id);
  if (link_up_) send_run(id, op);
}

void Core::send_run(OpId id, Op& op) {
  ++op.starts;
  op.run = Op::Run::sent;
  op.last_start = StartNo{++starts_sent_};
  actions_.start(id, op.type, op.body, op.last_start);
}

void Core::halt(OpId) { actions_.note("module", "this link has no command to stop a run"); }
void Core::answer_without_call(OpId) {
  actions_.note("module", "this link has no command to continue a run without its call");
}

void Core::machine_up(Nanos now, Nanos since) {
  now_ = now;
  if (machine_seen_up_) return;
  machine_seen_up_ = true;
  module_->machine_up(now, since);
}

void Core::link_down(Nanos now) {
  now_ = now;
  link_up_ = false;
}

// The link is new, and the end of every run that ended before is known. Starts that were never sent are sent
// now. Of those that were sent but may not have been read, only ops that may safely run twice are sent again,
// because the first run may be ending at this moment.
void Core::link_up(Nanos now, StartNo last_read) {
  now_ = now;
  link_up_ = true;
  std::vector<OpId> never_sent;
  for (auto& [id, op] : ops_) {
    if (op.run == Op::Run::pending && op.answered)
      never_sent.push_back(id); // was never started and will not be
    else if (op.run == Op::Run::pending ||
             (op.run == Op::Run::sent && !op.run_observed && op.last_start > last_read &&
              retry_classes_[op.type.raw] == RetryClass::retryable))
      send_run(id, op);
    if (op.run == Op::Run::sent && op.reply) {
      actions_.resume(id, *op.reply);
      if (pools_) pools_->resumed(now, id);
      op.reply.reset();
      op.at_call = false;
    }
  }
  for (const OpId id : never_sent) run_finished(now, id, Outcome::moot, 0, {});
}

bool Core::orphan_query_due() const { return link_up_ && now_ - orphans_checked_at_ >= orphan_query_delay_; }

// Prevents a run from being counted for ever because its start or its end notice was lost. Some time after
// the op was answered, the start is sent again. This does not start a run, since the op is over, but makes
// the interpreter report the run's state if that is over too.
void Core::query_orphans() {
  if (!orphan_query_due()) return;
  orphans_checked_at_ = now_;
  for (auto& [id, op] : ops_)
    if (op.run == Op::Run::sent && op.answered && now_ - op.answered_at >= orphan_query_delay_)
      send_run(id, op);
}

void Core::run_finished(Nanos now, OpId id, Outcome outcome, Nanos lag, Content result) {
  now_ = now;
  const auto at = ops_.find(id);
  if (at == ops_.end() || (at->second.run != Op::Run::sent && at->second.run != Op::Run::pending))
    return actions_.note("notice", "ignored: end of an unknown run");
  Op& op = at->second;
  op.run = Op::Run::finished;
  op.at_call = false;
  if (std::exchange(op.call_in_flight, false)) actions_.cancel_call(id);
  if (pools_) pools_->run_finished(now, id);
  // Only with at most one start sent is it certain that nothing was started; otherwise the first may have
  // been read.
  const bool original_not_started = outcome == Outcome::moot && !op.run_observed && op.starts <= 1;
  if (KeyEntry* entry = find_entry(id); entry && entry->executed == id) {
    const bool done = outcome == Outcome::done;
    entry->confirmed = entry->confirmed || done;
    if (original_not_started)
      drop_unstarted(*entry);
    else
      finish_entry(*entry, done ? KeyEntry::State::done : KeyEntry::State::failed, done ? result : Content());
  }
  if (retry_classes_[op.type.raw] == RetryClass::non_retryable && !original_not_started) remember_ended(id);
  if (!op.answered && outcome != Outcome::halted) {
    if (outcome == Outcome::done)
      actions_.served(op.stream_ref, id, std::move(result));
    else
      actions_.failed(op.stream_ref, id, outcome == Outcome::moot ? Reason::never_begun : Reason::run_failed);
    mark_answered(id, op);
  }
  module_->run_ended(now, id, outcome, lag);
  erase_if_finished(id);
}

void Core::start_refused(Nanos now, OpId id) {
  now_ = now;
  // The start was refused: nothing was started, and no other event follows for it.
  if (const auto at = ops_.find(id);
      at != ops_.end() && !at->second.run_observed && at->second.run == Op::Run::sent) {
    actions_.penalize(at->second.stream_ref);
    run_finished(now, id, Outcome::moot, 0, {});
  }
}

void Core::gauges(Nanos now, std::span<const double> values) {
  now_ = now;
  if (values.size() != gauges_.size()) return;
  std::copy(values.begin(), values.end(), gauges_.begin());
  if (pools_ && busy_gauge_ < gauges_.size()) pools_->gauges(gauges_[busy_gauge_]);
}

// ---- calls

void Core::call_wanted(Nanos now, OpId id, Content body) {
  now_ = now;
  const auto at = ops_.find(id);
  if (at == ops_.end() || at->second.run != Op::Run::sent || at->second.at_call)
    return actions_.note("notice", "ignored: call of an unknown run");
  at->second.run_observed = at->second.at_call = true;
  if (KeyEntry* entry = find_entry(id); entry && entry->executed == id) entry->confirmed = true;
  at->second.call_body = std::move(body);
  if (pools_) pools_->call_started(now, id);
  module_->call_wanted(now, id);
}

void Core::call(OpId id, Nanos timeout) {
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  at->second.called_at = now_;
  at->second.call_in_flight = true;
  actions_.call(id, timeout > 0 ? timeout : op_timeouts_[at->second.type.raw], at->second.call_body);
}

void Core::call_finished(Nanos now, OpId id, Outcome outcome, Content reply) {
  now_ = now;
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  Op& op = at->second;
  op.call_in_flight = false;
  if (outcome == Outcome::done) {
    if (link_up_) {
      op.at_call = false;
      actions_.resume(id, reply);
      if (pools_) pools_->resumed(now_, id);
    } else {
      op.reply = std::move(reply);
    }
  }
  module_->call_ended(now, id, outcome, now - op.called_at);
}

// ---- keys, retries and results

Core::KeyEntry* Core::find_entry(OpId id) {
  const auto op = ops_.find(id);
  if (op == ops_.end() || !op->second.key) return nullptr;
  const auto at = keys_.find(*op->second.key);
  return at == keys_.end() ? nullptr : &at->second;
}

// Protects an op's mark against another caller's op with the same mark: once the interpreter has confirmed
// one of them, no other body is accepted under the mark. Until then both are kept, each under its own body
// digest, and the interpreter decides which one it knows. If it has confirmed both, retries of both are
// accepted, as both have run.
bool Core::conflicts_with_confirmed(const Key& key) const {
  const Key first{key.type, key.value, {}};
  bool conflict = false;
  for (auto at = keys_.lower_bound(first);
       at != keys_.end() && at->first.type == key.type && at->first.value == key.value; ++at) {
    if (at->second.confirmed && at->first == key) return false;
    conflict = conflict || at->second.confirmed;
  }
  return conflict;
}

OpId Core::find_earlier_try(const Key& key, bool keyed, Nanos received_at) const {
  const auto at = keys_.find(key);
  if (at == keys_.end()) return no_op_id;
  const KeyEntry& entry = at->second;
  // If the holder is gone without having run, there is no result to repeat.
  if (entry.state == KeyEntry::State::held && !ops_.contains(entry.holder)) return no_op_id;
  if (keyed) return received_at <= entry.repeats_until + key_window_slack ? entry.holder : no_op_id;
  if (now_ > entry.repeats_until || entry.state == KeyEntry::State::failed) return no_op_id;
  return entry.state == KeyEntry::State::done && now_ - entry.ended_at > result_freshness_ ? no_op_id
                                                                                           : entry.holder;
}

void Core::keep_key(OpId id, Nanos lifetime) {
  const auto op = ops_.find(id);
  if (op == ops_.end() || !op->second.key) return;
  // Bounds memory: a read without an entry is not shared.
  if (retry_classes_[op->second.type.raw] == RetryClass::retryable &&
      keys_.size() >= max_keys_ / shared_reads_divisor && !keys_.contains(*op->second.key))
    return;
  const auto [at, inserted] = keys_.try_emplace(*op->second.key);
  KeyEntry& entry = at->second;
  if (!inserted) key_expiries_.erase(entry.end);
  if (entry.state == KeyEntry::State::done || entry.state == KeyEntry::State::failed) {
    // The entry has expired: the previous run's result is discarded.
    finish_entry(entry, KeyEntry::State::held, {});
    entry.executed = no_op_id;
  }
  holders_.erase(entry.holder);
  holders_.insert(id);
  entry.holder = id;
  entry.repeats_until = now_ + lifetime;
  entry.end = key_expiries_.emplace(entry.repeats_until + key_window_slack + max_op_timeout_, at->first);
}

void Core::forget_key(OpId id) {
  KeyEntry* entry = find_entry(id);
  if (!entry || entry->holder != id) return;
  drop_unstarted(*entry);
}

// The run never happened: retries that wait for it are treated as new ops instead of failing.
void Core::drop_unstarted(KeyEntry& entry) {
  for (const OpId id : entry.waiting)
    if (Op* op = find_unanswered(id)) op->original_not_started = true;
  const Key key = entry.end->second;
  finish_entry(entry, KeyEntry::State::failed, {});
  erase(key);
}

// The only place that removes an entry and releases its result.
void Core::erase(const Key& key) {
  const auto at = keys_.find(key);
  result_bytes_ -= at->second.result.size;
  holders_.erase(at->second.holder);
  key_expiries_.erase(at->second.end);
  keys_.erase(at);
}

// Bounds memory: the oldest id is forgotten first.
void Core::remember_ended(OpId id) {
  if (!ended_ids_.insert(id).second) return;
  ended_id_expiries_.emplace(now_ + max_op_timeout_, id);
  if (ended_ids_.size() > max_keys_) forget_oldest_ended();
}

void Core::forget_oldest_ended() {
  ended_ids_.erase(ended_id_expiries_.begin()->second);
  ended_id_expiries_.erase(ended_id_expiries_.begin());
}

void Core::finish_entry(KeyEntry& entry, KeyEntry::State state, Content result) {
  result_bytes_ -= entry.result.size;
  // Bounds memory: a result that does not fit is answered as failed, and the op is not run again.
  if (result_bytes_ + result.size > max_result_bytes_) {
    actions_.note("results", "no room to keep the result of a run");
    state = KeyEntry::State::failed;
    result = {};
  }
  entry.state = state;
  entry.ended_at = now_;
  entry.result = std::move(result);
  result_bytes_ += entry.result.size;
  for (const OpId id : entry.waiting) repeats_to_answer_.push_back(id);
  entry.waiting.clear();
}

void Core::reuse(OpId id) {
  Op* op = find_unanswered(id);
  if (!op) return;
  op->reusing = true;
  const auto at = keys_.find(*op->key);
  if (at != keys_.end() &&
      (at->second.state == KeyEntry::State::held || at->second.state == KeyEntry::State::running))
    at->second.waiting.push_back(id);
  else
    repeats_to_answer_.push_back(id);
}

void Core::answer_repeats(Nanos now) {
  now_ = now;
  while (!repeats_to_answer_.empty()) {
    const std::vector<OpId> batch = std::move(repeats_to_answer_);
    repeats_to_answer_.clear();
    for (const OpId id : batch) {
      Op* op = find_unanswered(id);
      if (!op || !op->reusing) continue;
      op->reusing = false;
      if (std::exchange(op->original_not_started, false)) {
        const bool keyed = retry_classes_[op->type.raw] == RetryClass::keyed;
        module_->reuse_failed(now, id, find_earlier_try(*op->key, keyed, op->received_at));
        continue;
      }
      const auto at = keys_.find(*op->key);
      const bool done = at != keys_.end() && at->second.state == KeyEntry::State::done;
      if (done)
        actions_.served(op->stream_ref, id, at->second.result);
      else
        actions_.failed(op->stream_ref, id, Reason::first_failed);
      mark_answered(id, *op);
      module_->run_ended(now, id, done ? Outcome::done : Outcome::failed, 0);
    }
  }
}

void Core::expire_entries() {
  while (!key_expiries_.empty() && key_expiries_.begin()->first <= now_) {
    const Key key = key_expiries_.begin()->second;
    KeyEntry& entry = keys_.at(key);
    if (entry.state != KeyEntry::State::running && entry.waiting.empty()) {
      erase(key);
      continue;
    }
    key_expiries_.erase(entry.end); // the run outlasts the entry's lifetime: check again later
    entry.end = key_expiries_.emplace(now_ + max_op_timeout_, key);
  }
  while (!ended_id_expiries_.empty() && ended_id_expiries_.begin()->first <= now_) forget_oldest_ended();
}

// ---- other actions of the decision module

void Core::health(bool good, bool) { actions_.health(good); }
void Core::notify_callers(double value) { actions_.notify_callers(value); }
void Core::set_idle_timeout(Nanos after) { actions_.set_idle_timeout(after); }
void Core::wake_at(Nanos at, WakeId name) { wakes_.emplace(at, name); }
void Core::log(std::string_view words) { actions_.note("module", words); }
void Core::set_timing(Timing what, Nanos time) {
  if (what == Timing::orphan_query_delay)
    orphan_query_delay_ = time;
  else
    actions_.set_timing(what, time);
}
void Core::set_eviction_order(std::span<const Eviction> order, int max_invalid_ops) {
  actions_.set_eviction_order(order, max_invalid_ops);
}
void Core::stop_accepting() { actions_.stop_accepting(); }

// ---- serialization

template <class Serializer>
void Core::serialize_op(Serializer& serializer, Op& op) {
  serializer(op.stream_ref.connection, op.stream_ref.stream, op.type, op.body, op.key, op.received_at,
             op.answered, op.reusing, op.run, op.last_start, op.original_not_started, op.starts,
             op.run_observed, op.at_call, op.call_in_flight, op.call_body, op.reply, op.called_at,
             op.answered_at);
  if (Serializer::reads &&
      (op.type.raw >= retry_classes_.size() || op.run > Op::Run::finished || (op.reusing && !op.key)))
    throw std::invalid_argument("snapshot: invalid op");
}

template <class Serializer>
void Core::serialize_entry(Serializer& serializer, KeyEntry& entry) {
  serializer(entry.holder, entry.executed, entry.repeats_until, entry.ended_at, entry.state, entry.confirmed,
             entry.result, entry.waiting);
  if (Serializer::reads && entry.state > KeyEntry::State::failed)
    throw std::invalid_argument("snapshot: invalid key entry");
}

// The end of a snapshot, left out if there is nothing in it, as in snapshots of layout 2.
template <class Serializer>
void Core::serialize_ended_ids(Serializer& serializer) {
  if constexpr (Serializer::reads) {
    ended_id_expiries_.clear(), ended_ids_.clear();
    if (serializer.at_end()) return;
    serializer(ended_id_expiries_);
    for (const auto& [end, id] : ended_id_expiries_) ended_ids_.insert(id);
  } else if (!ended_id_expiries_.empty()) {
    serializer(ended_id_expiries_);
  }
}

template <class Serializer>
void Core::serialize(Serializer& serializer) {
  std::size_t ops = ops_.size(), keys = key_expiries_.size();
  serializer(now_, ops, keys);
  if constexpr (Serializer::reads) {
    ops_.clear(), open_streams_.clear(), keys_.clear(), key_expiries_.clear(), holders_.clear();
    result_bytes_ = 0;
    for (; ops > 0; --ops) {
      OpId id{};
      serializer(id);
      Op& op = ops_[id];
      serialize_op(serializer, op);
      if (!op.answered) open_streams_[op.stream_ref.connection][op.stream_ref.stream] = id;
    }
    for (; keys > 0; --keys) { // in order of expiry; entries with equal times keep their order
      Nanos end = 0;
      Key key;
      serializer(end, key);
      const auto [at, inserted] = keys_.try_emplace(key);
      if (!inserted) throw std::invalid_argument("snapshot: duplicate key");
      serialize_entry(serializer, at->second);
      holders_.insert(at->second.holder);
      result_bytes_ += at->second.result.size;
      at->second.end = key_expiries_.emplace(end, at->first);
    }
  } else {
    for (auto& [id, op] : ops_) {
      OpId copy = id;
      serializer(copy);
      serialize_op(serializer, op);
    }
    for (auto& [end, key] : key_expiries_) {
      Nanos copy = end;
      serializer(copy, key);
      serialize_entry(serializer, keys_.at(key));
    }
  }
  std::vector<Wake> wakes;
  for (auto remaining = wakes_; !remaining.empty(); remaining.pop()) wakes.push_back(remaining.top());
  serializer(repeats_to_answer_, wakes, starts_sent_, orphan_query_delay_, orphans_checked_at_, link_up_,
             machine_seen_up_, draining_);
  if constexpr (Serializer::reads) {
    wakes_ = {};
    for (const Wake& wake : wakes) wakes_.push(wake);
  }
  const std::size_t gauge_count = gauges_.size();
  serializer(gauges_, *module_);
  if (pools_) serializer(*pools_);
  if (Serializer::reads && gauges_.size() != gauge_count)
    throw std::invalid_argument("snapshot: number of gauges differs from the settings");
  serialize_ended_ids(serializer);
}

template void Core::serialize(Writer& serializer);
template void Core::serialize(Reader& serializer);

} // namespace cometshift
