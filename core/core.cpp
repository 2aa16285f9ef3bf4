#include "core.hpp"

#include "serializer.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos second = 1000 * ms;

// Bounds on what is kept, as parts of the memory told. None is met in ordinary service.
constexpr std::size_t mb = 1024 * 1024;
constexpr std::size_t results_part = 8;  // of the memory, for results kept for repeats
constexpr std::size_t ops_for_mb = 48;   // of 2 KB and their records: a sixth of the memory
constexpr std::size_t keys_for_mb = 128; // entries without their results: a twentieth

constexpr Nanos key_slack = 100 * ms; // the protocol's time limits are 50 ms longer, and its times whole ms
constexpr Nanos longest_wait = 3600 * second; // of an op before it was read: older is a wrong clock

std::size_t of_memory(const Settings& given, std::size_t for_mb, std::size_t divisor) {
  return static_cast<std::size_t>(number(given, "memory_mb", 0)) * for_mb / divisor;
}

} // namespace

Core::Core(Nanos now, const Settings& given, Actions& orders)
    : actions_(orders), given_(given), fresh_for_(span(given, "fresh_for_ns", 0)),
      until_kill_(span(given, "stop_ns", 0)), most_results_(of_memory(given, mb, results_part)),
      most_ops_(of_memory(given, ops_for_mb, 1)), most_keys_(of_memory(given, keys_for_mb, 1)), now_(now) {
  for (int t = 0;; ++t) {
    const std::string at = "op_type." + std::to_string(t) + ".";
    if (!given.contains(at + "name")) break;
    const std::string repeats = text(given, at + "repeats", "");
    repeats_.push_back(repeats == "keyed"       ? RetryClass::keyed
                       : repeats == "retryable" ? RetryClass::retryable
                                                : RetryClass::non_retryable);
    op_timeouts_.push_back(span(given, at + "op_timeout_ns"));
    longest_ = std::max(longest_, op_timeouts_.back());
  }
  for (std::size_t g = 0; given.contains("gauge." + std::to_string(g)); ++g) {
    if (text(given, "gauge." + std::to_string(g), "") == "cores_busy") busy_gauge_ = g;
    gauges_.push_back(0);
  }
  if (Pools::wanted(given)) pools_ = std::make_unique<Pools>(now, given);
  const auto half = [&](const char* name) { return static_cast<std::uint64_t>(number(given, name, 0)); };
  module_.reset(new DecisionModule(now, half("seed_high") << 32 | half("seed_low"), given, *this));
}

// ---- the end and the middle of a turn

bool Core::anything_due(Nanos now) const {
  return (!wakes_.empty() && wakes_.top().first <= now) ||
         (!key_ends_.empty() && key_ends_.begin()->first <= now) ||
         (link_up_ && now - looked_at_ >= stray_rest_);
}

void Core::due(Nanos now) {
  now_ = now;
  while (!wakes_.empty() && wakes_.top().first <= now) {
    const WakeId name = wakes_.top().second;
    wakes_.pop();
    module_->woken(now, name, gauges_);
  }
  forget_old();
  settle_strays();
}

void Core::drain(Nanos now) {
  now_ = now;
  if (leaving_) return;
  leaving_ = true;
  actions_.note("drain", "told to leave, " + std::to_string(until_kill_ / ms) + " ms to go");
  module_->drain(now, until_kill_);
}

// What was learnt of the capacity is kept; ops that stand here count in no pool any more.
void Core::set_pools(Nanos now, const Settings& pools) {
  now_ = now;
  Settings given = given_;
  std::erase_if(given, [](const auto& entry) { return Pools::is_setting(entry.first); });
  for (const auto& entry : pools)
    if (Pools::is_setting(entry.first)) given.insert(entry);
  std::unique_ptr<Pools> made;
  if (Pools::wanted(given)) made = std::make_unique<Pools>(now, given);
  if (made && pools_) made->learn_from(now, *pools_);
  pools_ = std::move(made);
  given_ = std::move(given);
}

bool Core::all_answered() const {
  return std::all_of(ops_.begin(), ops_.end(), [](const auto& entry) { return entry.second.answered; });
}

// ---- ops

Core::Op* Core::open(OpId id) {
  const auto at = ops_.find(id);
  return at == ops_.end() || at->second.answered ? nullptr : &at->second;
}

void Core::answered(OpId id, Op& op) {
  op.answered = true;
  op.answered_at = now_;
  if (pools_) pools_->answered(now_, id, false); // a nack was told before
  if (const auto at = lines_.find(op.line.connection); at != lines_.end()) {
    at->second.erase(op.line.stream);
    if (at->second.empty()) lines_.erase(at);
  }
  if (op.reusing) {
    op.reusing = false;
    if (const auto at = keys_.find(*op.key); at != keys_.end()) std::erase(at->second.waiting, id);
  }
  release(id);
}

void Core::release(OpId id) {
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  const Op& op = at->second;
  if (op.answered && op.run != Op::Run::wanted && op.run != Op::Run::sent) ops_.erase(at);
}

void Core::op_received(Nanos now, StreamRef line, OpId id, OpTypeId type, TenantId tenant, CallerId caller,
                       Nanos received_at, Nanos limit, double held_kb, double rank, std::string_view mark,
                       std::string_view subject, Content body, Digest body_digest) {
  now_ = now;
  const RetryClass repeats = repeats_[type.raw];
  const bool keyed = repeats == RetryClass::keyed;
  const bool shared = repeats == RetryClass::retryable && fresh_for_ > 0 && !subject.empty();
  std::optional<Key> at_key;
  if (keyed)
    at_key = Key{type, std::string(mark), body_digest};
  else if (shared)
    at_key = Key{type, std::string(subject), {}};
  // Sent again under its own number after it has ended: it has run, and is answered from what is kept.
  if (const auto at = at_key ? keys_.find(*at_key) : keys_.end();
      at != keys_.end() && at->second.holder == id && !ops_.contains(id)) {
    if (at->second.state == Kept::State::done) return actions_.served(line, id, at->second.result);
    if (at->second.state == Kept::State::failed) return actions_.failed(line, id, Reason::first_failed);
  }
  // Against filling the memory, and against a number that comes twice: also after its op has ended, as what
  // is kept of that is known by its number, and whoever came under it would be taken for it.
  const bool known = ops_.contains(id) || holders_.contains(id);
  const bool no_key_room = keyed && keys_.size() >= most_keys_;
  if (known || ops_.size() >= most_ops_ || no_key_room) {
    const Reason why = known ? Reason::known : no_key_room ? Reason::too_many_keys : Reason::too_many_ops;
    actions_.note("request", known ? "refused, its txn is known" : "refused, too many");
    actions_.refused(line, id, why, 0, false);
    return known ? actions_.penalize(line) : void();
  }
  if (keyed && contested(*at_key)) {
    actions_.note("request", "refused, the mark of another op");
    actions_.refused(line, id, Reason::other_mark, 0, true);
    return actions_.penalize(line);
  }
  const OpId earlier = at_key ? earlier_of(*at_key, keyed, received_at) : no_op_id;
  double worth = 1;
  if (pools_) {
    // Tries of one op have the same body and rank; other ops hardly ever have both.
    const Digest trace{body_digest.high ^ type.raw, body_digest.low ^ std::bit_cast<std::uint64_t>(rank)};
    const Pools::Verdict verdict = pools_->came(now, id, type, tenant, trace, earlier != no_op_id);
    if (!verdict.pass) return actions_.refused(line, id, verdict.why, verdict.come_back, false);
    worth = verdict.worth;
  }
  received_at = std::min(received_at, now);
  Nanos waited = std::min(now - received_at, longest_wait);
  if (limit > 0) waited = std::min(waited, limit - 1); // patience is told as at least something
  Op& op = ops_[id];
  op.line = line;
  op.type = type;
  op.body = std::move(body);
  op.received_at = received_at;
  op.key = std::move(at_key);
  lines_[line.connection][line.stream] = id;
  const KeyId reads = subject.empty() ? no_key_id : KeyId{0}; // the module asks only whether there is one
  module_->op_read(now, id, type, tenant, reads, caller, limit > 0 ? limit - waited : 0, waited, 0, held_kb,
                   rank, false, earlier, worth);
}

void Core::stream_lost(Nanos now, StreamRef line) {
  now_ = now;
  const auto at = lines_.find(line.connection);
  if (at == lines_.end()) return;
  const auto op_at = at->second.find(line.stream);
  if (op_at == at->second.end()) return;
  const OpId id = op_at->second;
  module_->op_cancelled(now, id); // first: what it orders for this op still finds it
  if (Op* op = open(id)) answered(id, *op);
}

void Core::nack(OpId id, Reason why, bool no_retry, Nanos retry_after) {
  Op* op = open(id);
  if (!op) return;
  actions_.refused(op->line, id, why, retry_after, no_retry);
  if (pools_) pools_->answered(now_, id, true);
  answered(id, *op);
}

void Core::fail(OpId id, Reason why) {
  Op* op = open(id);
  if (!op) return;
  actions_.failed(op->line, id, why);
  answered(id, *op);
}

// ---- runs

void Core::run(OpId id) {
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  Op& op = at->second;
  op.run = Op::Run::wanted;
  op.heard = op.at_call = false;
  op.reply.reset();
  if (Kept* entry = entry_of(id); entry && entry->holder == id) {
    entry->ran = id;
    entry->state = Kept::State::running;
  }
  if (pools_) pools_->started(now_, id);
  if (link_up_) send_run(id, op);
}

void Core::send_run(OpId id, Op& op) {
  ++op.starts;
  op.run = Op::Run::sent;
  op.last_start = StartNo{++starts_};
  actions_.start(id, op.type, op.body, op.last_start);
}

void Core::halt(OpId) { actions_.note("module", "this link has no command to stop a run"); }
void Core::answer_without_call(OpId) {
  actions_.note("module", "this link has no command to go on without a call");
}

void Core::machine_up(Nanos now, Nanos since) {
  now_ = now;
  if (up_before_) return;
  up_before_ = true;
  module_->machine_up(now, since);
}

void Core::link_down(Nanos now) {
  now_ = now;
  link_up_ = false;
}

// The link is new, and all that ended before is known. What was never sent goes now. Of what was sent and may
// not have been read, only what may run twice is sent again: a run may end at this moment.
void Core::link_up(Nanos now, StartNo known) {
  now_ = now;
  link_up_ = true;
  std::vector<OpId> moot;
  for (auto& [id, op] : ops_) {
    if (op.run == Op::Run::wanted && op.answered)
      moot.push_back(id); // was never begun, and never will be
    else if (op.run == Op::Run::wanted || (op.run == Op::Run::sent && !op.heard && op.last_start > known &&
                                           repeats_[op.type.raw] == RetryClass::retryable))
      send_run(id, op);
    if (op.run == Op::Run::sent && op.reply) {
      actions_.resume(id, *op.reply);
      if (pools_) pools_->resumed(now, id);
      op.reply.reset();
      op.at_call = false;
    }
  }
  for (const OpId id : moot) run_finished(now, id, Outcome::moot, 0, {});
}

bool Core::strays_due() const { return link_up_ && now_ - looked_at_ >= stray_rest_; }

// Against a run counted for ever because its start or its end got lost: once its op was answered a while ago,
// it is started again. That begins nothing, the op being over, but tells how the run stands if it is over
// too.
void Core::settle_strays() {
  if (!strays_due()) return;
  looked_at_ = now_;
  for (auto& [id, op] : ops_)
    if (op.run == Op::Run::sent && op.answered && now_ - op.answered_at >= stray_rest_) send_run(id, op);
}

void Core::run_finished(Nanos now, OpId id, Outcome outcome, Nanos lag, Content result) {
  now_ = now;
  const auto at = ops_.find(id);
  if (at == ops_.end() || (at->second.run != Op::Run::sent && at->second.run != Op::Run::wanted))
    return actions_.note("notice", "passed over, the end of a run that is not known");
  Op& op = at->second;
  op.run = Op::Run::over;
  op.at_call = false;
  if (std::exchange(op.calling, false)) actions_.cancel_call(id);
  if (pools_) pools_->run_over(now, id);
  // That nothing was started is sure only of what was sent once at the most, or the first may have been read.
  const bool never_begun = outcome == Outcome::moot && !op.heard && op.starts <= 1;
  if (Kept* entry = entry_of(id); entry && entry->ran == id) {
    const bool done = outcome == Outcome::done;
    entry->proven = entry->proven || done;
    if (never_begun)
      unbegun(*entry);
    else
      end_entry(*entry, done ? Kept::State::done : Kept::State::failed, done ? result : Content());
  }
  if (!op.answered && outcome != Outcome::halted) {
    if (outcome == Outcome::done)
      actions_.served(op.line, id, std::move(result));
    else
      actions_.failed(op.line, id, outcome == Outcome::moot ? Reason::never_begun : Reason::run_failed);
    answered(id, op);
  }
  module_->run_ended(now, id, outcome, lag);
  release(id);
}

void Core::start_refused(Nanos now, OpId id) {
  now_ = now;
  // A start that was none: nothing was begun, and nothing else will be heard of it.
  if (const auto at = ops_.find(id);
      at != ops_.end() && !at->second.heard && at->second.run == Op::Run::sent) {
    actions_.penalize(at->second.line);
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
    return actions_.note("notice", "passed over, a call of a run that is not known");
  at->second.heard = at->second.at_call = true;
  if (Kept* entry = entry_of(id); entry && entry->ran == id) entry->proven = true;
  at->second.call = std::move(body);
  if (pools_) pools_->at_call(now, id);
  module_->call_wanted(now, id);
}

void Core::call(OpId id, Nanos time_out) {
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  at->second.called_at = now_;
  at->second.calling = true;
  actions_.call(id, time_out > 0 ? time_out : op_timeouts_[at->second.type.raw], at->second.call);
}

void Core::call_finished(Nanos now, OpId id, Outcome outcome, Content reply) {
  now_ = now;
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  Op& op = at->second;
  op.calling = false;
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

// ---- keys, repeats and results

Core::Kept* Core::entry_of(OpId id) {
  const auto op = ops_.find(id);
  if (op == ops_.end() || !op->second.key) return nullptr;
  const auto at = keys_.find(*op->second.key);
  return at == keys_.end() ? nullptr : &at->second;
}

// Against a stranger's op with the mark of a good one: what a run has proven good keeps its mark to itself.
// While nothing is proven both stand, each with its own body, and the interpreter tells which it knows.
bool Core::contested(const Key& key) const {
  const Key first{key.type, key.word, {}};
  for (auto at = keys_.lower_bound(first);
       at != keys_.end() && at->first.type == key.type && at->first.word == key.word; ++at)
    if (at->second.proven && at->first != key) return true;
  return false;
}

OpId Core::earlier_of(const Key& key, bool keyed, Nanos received_at) const {
  const auto at = keys_.find(key);
  if (at == keys_.end()) return no_op_id;
  const Kept& entry = at->second;
  // A holder that is gone without a run leaves nothing to repeat.
  if (entry.state == Kept::State::held && !ops_.contains(entry.holder)) return no_op_id;
  if (keyed) return received_at <= entry.until + key_slack ? entry.holder : no_op_id;
  if (now_ > entry.until || entry.state == Kept::State::failed) return no_op_id;
  return entry.state == Kept::State::done && now_ - entry.ended_at > fresh_for_ ? no_op_id : entry.holder;
}

void Core::keep_key(OpId id, Nanos lifetime) {
  const auto op = ops_.find(id);
  if (op == ops_.end() || !op->second.key) return;
  const auto [at, fresh] = keys_.try_emplace(*op->second.key);
  Kept& entry = at->second;
  if (!fresh) key_ends_.erase(entry.end);
  if (entry.state == Kept::State::done || entry.state == Kept::State::failed) {
    end_entry(entry, Kept::State::held, {}); // its time is over: nothing of the run before is left
    entry.ran = no_op_id;
  }
  holders_.erase(entry.holder);
  holders_.insert(id);
  entry.holder = id;
  entry.until = now_ + lifetime;
  entry.end = key_ends_.emplace(entry.until + key_slack + longest_, at->first);
}

void Core::forget_key(OpId id) {
  Kept* entry = entry_of(id);
  if (!entry || entry->holder != id) return;
  unbegun(*entry);
}

// Against failing those that wait for a run that never was: they are taken as new.
void Core::unbegun(Kept& entry) {
  for (const OpId id : entry.waiting)
    if (Op* op = open(id)) op->never_begun = true;
  const Key key = entry.end->second;
  end_entry(entry, Kept::State::failed, {});
  erase(key);
}

// The one place where an entry is given back, with its result.
void Core::erase(const Key& key) {
  const auto at = keys_.find(key);
  result_bytes_ -= at->second.result.size;
  holders_.erase(at->second.holder);
  key_ends_.erase(at->second.end);
  keys_.erase(at);
}

void Core::end_entry(Kept& entry, Kept::State state, Content result) {
  result_bytes_ -= entry.result.size;
  // Against filling the memory: what has no room is answered as failed, and not run again.
  if (result_bytes_ + result.size > most_results_) {
    actions_.note("results", "no room to keep one");
    state = Kept::State::failed;
    result = {};
  }
  entry.state = state;
  entry.ended_at = now_;
  entry.result = std::move(result);
  result_bytes_ += entry.result.size;
  for (const OpId id : entry.waiting) reused_.push_back(id);
  entry.waiting.clear();
}

void Core::reuse(OpId id) {
  Op* op = open(id);
  if (!op) return;
  op->reusing = true;
  const auto at = keys_.find(*op->key);
  if (at != keys_.end() &&
      (at->second.state == Kept::State::held || at->second.state == Kept::State::running))
    at->second.waiting.push_back(id);
  else
    reused_.push_back(id);
}

void Core::answer_repeats(Nanos now) {
  now_ = now;
  while (!reused_.empty()) {
    const std::vector<OpId> now_due = std::move(reused_);
    reused_.clear();
    for (const OpId id : now_due) {
      Op* op = open(id);
      if (!op || !op->reusing) continue;
      op->reusing = false;
      if (std::exchange(op->never_begun, false)) {
        const bool keyed = repeats_[op->type.raw] == RetryClass::keyed;
        module_->reuse_failed(now, id, earlier_of(*op->key, keyed, op->received_at));
        continue;
      }
      const auto at = keys_.find(*op->key);
      const bool done = at != keys_.end() && at->second.state == Kept::State::done;
      if (done)
        actions_.served(op->line, id, at->second.result);
      else
        actions_.failed(op->line, id, Reason::first_failed);
      answered(id, *op);
      module_->run_ended(now, id, done ? Outcome::done : Outcome::failed, 0);
    }
  }
}

void Core::forget_old() {
  while (!key_ends_.empty() && key_ends_.begin()->first <= now_) {
    const Key key = key_ends_.begin()->second;
    Kept& entry = keys_.at(key);
    if (entry.state != Kept::State::running && entry.waiting.empty()) {
      erase(key);
      continue;
    }
    key_ends_.erase(entry.end); // its run goes on beyond its time: it is looked at again
    entry.end = key_ends_.emplace(now_ + longest_, key);
  }
}

// ---- the rest of what the module orders

void Core::health(bool good, bool) { actions_.health(good); }
void Core::notify_callers(double value) { actions_.notify_callers(value); }
void Core::set_idle_timeout(Nanos after) { actions_.set_idle_timeout(after); }
void Core::wake_at(Nanos at, WakeId name) { wakes_.emplace(at, name); }
void Core::log(std::string_view words) { actions_.note("module", words); }
void Core::set_timing(Timing what, Nanos time) {
  if (what == Timing::orphan_query_delay)
    stray_rest_ = time;
  else
    actions_.set_timing(what, time);
}
void Core::set_eviction_order(std::span<const Eviction> order, int max_invalid_ops) {
  actions_.set_eviction_order(order, max_invalid_ops);
}
void Core::stop_accepting() { actions_.stop_accepting(); }

// ---- what is remembered

template <class Serializer>
void Core::serialize_op(Serializer& serializer, Op& op) {
  serializer(op.line.connection, op.line.stream, op.type, op.body, op.key, op.received_at, op.answered,
             op.reusing, op.run, op.last_start, op.never_begun, op.starts, op.heard, op.at_call, op.calling,
             op.call, op.reply, op.called_at, op.answered_at);
  if (Serializer::reads &&
      (op.type.raw >= repeats_.size() || op.run > Op::Run::over || (op.reusing && !op.key)))
    throw std::invalid_argument("snapshot: an op that can't be");
}

template <class Serializer>
void Core::serialize_kept(Serializer& serializer, Kept& entry) {
  serializer(entry.holder, entry.ran, entry.until, entry.ended_at, entry.state, entry.proven, entry.result,
             entry.waiting);
  if (Serializer::reads && entry.state > Kept::State::failed)
    throw std::invalid_argument("snapshot: an entry that can't be");
}

template <class Serializer>
void Core::serialize(Serializer& serializer) {
  std::size_t ops = ops_.size(), keys = key_ends_.size();
  serializer(now_, ops, keys);
  if constexpr (Serializer::reads) {
    ops_.clear(), lines_.clear(), keys_.clear(), key_ends_.clear(), holders_.clear();
    result_bytes_ = 0;
    for (; ops > 0; --ops) {
      OpId id{};
      serializer(id);
      Op& op = ops_[id];
      serialize_op(serializer, op);
      if (!op.answered) lines_[op.line.connection][op.line.stream] = id;
    }
    for (; keys > 0; --keys) { // in the order of their ends: those of one time keep their order
      Nanos end = 0;
      Key key;
      serializer(end, key);
      const auto [at, fresh] = keys_.try_emplace(key);
      if (!fresh) throw std::invalid_argument("snapshot: a key twice");
      serialize_kept(serializer, at->second);
      holders_.insert(at->second.holder);
      result_bytes_ += at->second.result.size;
      at->second.end = key_ends_.emplace(end, at->first);
    }
  } else {
    for (auto& [id, op] : ops_) {
      OpId copy = id;
      serializer(copy);
      serialize_op(serializer, op);
    }
    for (auto& [end, key] : key_ends_) {
      Nanos copy = end;
      serializer(copy, key);
      serialize_kept(serializer, keys_.at(key));
    }
  }
  std::vector<Wake> wakes;
  for (auto left = wakes_; !left.empty(); left.pop()) wakes.push_back(left.top());
  serializer(reused_, wakes, starts_, stray_rest_, looked_at_, link_up_, up_before_, leaving_);
  if constexpr (Serializer::reads) {
    wakes_ = {};
    for (const Wake& wake : wakes) wakes_.push(wake);
  }
  const std::size_t told = gauges_.size();
  serializer(gauges_, *module_);
  if (pools_) serializer(*pools_);
  if (Serializer::reads && gauges_.size() != told)
    throw std::invalid_argument("snapshot: other gauges than the settings'");
}

template void Core::serialize(Writer& serializer);
template void Core::serialize(Reader& serializer);

} // namespace cometshift
