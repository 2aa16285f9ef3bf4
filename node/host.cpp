#include "host.hpp"

#include "configuration.hpp"
#include "log.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos second = 1000 * ms;

// Bounds on what is kept, as parts of the limits told. None is met in ordinary service.
constexpr std::size_t mb = 1024 * 1024;
constexpr std::size_t results_part = 8;  // of the memory, for results kept for repeats
constexpr std::size_t answers_part = 8;  // of the memory, for answers not yet taken
constexpr std::size_t link_part = 16;    // of the memory, for commands not yet taken
constexpr std::size_t ops_for_mb = 48;   // of 2 KB and their records: a sixth of the memory
constexpr std::size_t keys_for_mb = 128; // entries without their results: a twentieth
constexpr std::size_t calls_part = 8;    // of the descriptors, for calls
constexpr std::size_t own_part = 8;      // of the descriptors, for the listener, the links, files and room

constexpr Nanos key_slack = 100 * ms; // the protocol's time limits are 50 ms longer, and its times whole ms
constexpr Nanos most_lead = 5 * ms;   // gauges asked for longer before a wake-up would be none of its moment
constexpr Nanos longest_wait = 3600 * second; // of an op before it was read: older is a wrong clock

Front::Names names_in(const Given& given) {
  Front::Names names;
  for (int t = 0;; ++t) {
    const std::string at = "op_type." + std::to_string(t) + ".";
    if (!given.contains(at + "name")) break;
    names.op_types.push_back(text(given, at + "name", ""));
    names.marked.push_back(text(given, at + "repeats", "") == "keyed");
  }
  for (int t = 0; given.contains("tenant." + std::to_string(t) + ".name"); ++t)
    names.tenants.push_back(text(given, "tenant." + std::to_string(t) + ".name", ""));
  names.tells_patience = number(given, "tells_patience", 0) != 0;
  return names;
}
// From before the listener opens: where a path is told, a hang-up does not end the program.
std::string catching(asio::signal_set& hang_ups, std::string path) {
  if (!path.empty()) hang_ups.add(SIGHUP);
  return path;
}
std::size_t part_of(const Given& given, const char* name, std::size_t unit, std::size_t divisor) {
  return static_cast<std::size_t>(number(given, name, 0)) * unit / divisor;
}
// The part of an entry's key that a mark or a subject makes: of none other's is it the beginning.
std::string key_of(OpTypeId type, std::string_view word) {
  return std::to_string(type.raw)
      .append(1, ' ')
      .append(std::to_string(word.size()))
      .append(1, ' ')
      .append(word);
}
Nanos unix_time() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

Host::Host(const Given& given, std::string path)
    : signals_(io_), hang_ups_(io_), path_(catching(hang_ups_, std::move(path))), timer_(io_),
      names_(names_in(given)), fresh_for_(span(given, "fresh_for_ns", 0)),
      until_kill_(span(given, "stop_ns", 0)), most_results_(part_of(given, "memory_mb", mb, results_part)),
      most_ops_(part_of(given, "memory_mb", ops_for_mb, 1)),
      most_keys_(part_of(given, "memory_mb", keys_for_mb, 1)),
      front_(io_, text(given, "listen", ""), part_of(given, "sockets", own_part - 2, own_part),
             part_of(given, "memory_mb", mb, answers_part), names_, *this),
      interpreter_(io_, text(given, "vm", ""), part_of(given, "memory_mb", mb, link_part), *this),
      records_(io_, text(given, "records", ""), part_of(given, "sockets", 1, calls_part)),
      announce_(io_, text(given, "announce", ""), text(given, "name", "")) {
  for (std::size_t t = 0; t < names_.op_types.size(); ++t) {
    const std::string at = "op_type." + std::to_string(t) + ".";
    repeats_.push_back(names_.marked[t]                                 ? Repeats::keyed
                       : text(given, at + "repeats", "") == "retryable" ? Repeats::retryable
                                                                        : Repeats::non_retryable);
    op_timeouts_.push_back(span(given, at + "op_timeout_ns"));
    longest_ = std::max(longest_, op_timeouts_.back());
  }
  for (int g = 0; given.contains("gauge." + std::to_string(g)); ++g) gauges_.push_back(0);
  const auto half = [&](const char* name) { return static_cast<std::uint64_t>(number(given, name, 0)); };
  choice_.reset(new Choice(now(), half("seed_high") << 32 | half("seed_low"), given, *this));
  if (!path_.empty()) await_hang_up();
}

// ---- the loop

Nanos Host::now() {
  if (now_known_) return now_;
  const Nanos there = unix_time();
  if (there + shift_ < now_) shift_ = now_ - there; // against a system clock that is set back
  now_ = there + shift_;
  now_known_ = true;
  return now_;
}

// What is ready is handed to the module first; then what it wants done is written, a connection at a time.
void Host::serve() {
  std::signal(SIGPIPE, SIG_IGN);
  signals_.add(SIGTERM);
  signals_.add(SIGINT);
  signals_.async_wait([this](asio::error_code error, int) {
    if (!error) stop(); // a second signal changes nothing
  });
  turn();
  while (!over()) {
    now_known_ = false;
    io_.run_one();
    io_.poll();
    turn();
  }
}

void Host::await_hang_up() {
  hang_ups_.async_wait([this](asio::error_code error, int) {
    if (error) return;
    try {
      reload(read_configuration(path_));
    } catch (const std::exception& e) { // a file that can't be taken changes nothing
      note("reload", "left as it was: %s", e.what());
    }
    await_hang_up();
  });
}

void Host::reload(const Given& given) {
  note("reload", "vm %s, records %s, announce %s", text(given, "vm", "").c_str(),
       text(given, "records", "").c_str(), text(given, "announce", "").c_str());
  interpreter_.move_to(text(given, "vm", ""));
  records_.move_to(text(given, "records", ""));
  announce_.move_to(text(given, "announce", ""));
}

bool Host::poll() {
  now_known_ = false;
  io_.restart();
  io_.poll();
  turn();
  return !over();
}

bool Host::over() const {
  return draining_ && doors_closed_ && front_.closed() &&
         std::all_of(ops_.begin(), ops_.end(), [](const auto& entry) { return entry.second.answered; });
}

void Host::turn() {
  due();
  if (doors_closed_)
    front_.close_doors(); // not within the module's order: what still comes in is handed to it
  do {                    // a line that is found lost may free others, and what they want
    finish_reused();
    front_.flush(now());
  } while (!reused_.empty());
  interpreter_.flush();
  now_known_ = false;
  arm();
}

void Host::due() {
  while (!wakes_.empty() && wakes_.top().first <= now()) {
    const WakeId name{wakes_.top().second};
    wakes_.pop();
    choice_->woken(now(), name, gauges_);
  }
  // The gauges come with the wake-up if they are asked for a round trip before it; it does not wait for them.
  if (!wakes_.empty() && interpreter_.up() && asked_for_ != wakes_.top().first &&
      wakes_.top().first - now() <= lead_) {
    asked_for_ = wakes_.top().first;
    if (interpreter_.ask_gauges()) asked_at_ = now();
  }
  forget_old();
  settle_strays();
}

void Host::arm() {
  if (wakes_.empty()) return;
  Nanos next = wakes_.top().first;
  if (asked_for_ != next && interpreter_.up()) next -= lead_;
  if (next == armed_) return;
  armed_ = next;
  timer_.expires_after(std::chrono::nanoseconds(std::max<Nanos>(0, next - now())));
  now_known_ = false;
  timer_.async_wait([this](asio::error_code stopped) {
    if (!stopped) armed_ = 0;
  });
}

void Host::stop() {
  if (draining_) return;
  draining_ = true;
  note("drain", "told to leave, %lld ms to go", static_cast<long long>(until_kill_ / ms));
  choice_->drain(now(), until_kill_);
}

// ---- ops

Host::Op* Host::open(OpId id) {
  const auto at = ops_.find(id);
  return at == ops_.end() || at->second.answered ? nullptr : &at->second;
}

void Host::answered(OpId id, Op& op) {
  op.answered = true;
  op.answered_at = now();
  if (const auto at = lines_.find(op.line.connection); at != lines_.end()) {
    at->second.erase(op.line.stream);
    if (at->second.empty()) lines_.erase(at);
  }
  if (op.reusing) {
    op.reusing = false;
    if (const auto at = keys_.find(op.key); at != keys_.end()) std::erase(at->second.waiting, id);
  }
  release(id);
}

void Host::release(OpId id) {
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  const Op& op = at->second;
  if (op.answered && op.run != Op::Run::wanted && op.run != Op::Run::sent) ops_.erase(at);
}

void Host::op_came(Line line, OpId id, OpTypeId type, TenantId tenant, CallerId caller, Nanos door,
                   Nanos limit, double held_kb, double rank, std::string_view mark, std::string_view subject,
                   std::string_view body) {
  const Repeats repeats = repeats_[type.raw];
  const bool keyed = repeats == Repeats::keyed;
  const bool shared = repeats == Repeats::retryable && fresh_for_ > 0 && !subject.empty();
  std::string at_key; // of a mark: with its body, as others may bring the same mark with another
  if (keyed)
    at_key = key_of(type, mark) + std::to_string(std::hash<std::string_view>{}(body));
  else if (shared)
    at_key = key_of(type, subject);
  // Against filling the memory, and against a try that comes twice.
  if (ops_.size() >= most_ops_ || ops_.contains(id) || (keyed && keys_.size() >= most_keys_)) {
    const bool known = ops_.contains(id);
    note("request", "refused, %s", known ? "its txn is known" : "too many");
    front_.refused(line, 0, false);
    return known ? front_.strike(line) : void();
  }
  if (keyed && contested(at_key)) {
    note("request", "refused, the mark of another op");
    front_.refused(line, 0, true);
    return front_.strike(line);
  }
  door = std::min(door + shift_, now());
  Nanos waited = std::min(now() - door, longest_wait);
  if (limit > 0) waited = std::min(waited, limit - 1); // patience is told as at least something
  Op& op = ops_[id];
  op.line = line;
  op.type = type;
  op.body = body;
  op.door = door;
  op.key = std::move(at_key);
  const OpId earlier = op.key.empty() ? no_op : earlier_of(op.key, keyed, door);
  lines_[line.connection][line.stream] = id;
  const KeyId key = subject.empty()
                        ? no_key
                        : KeyId{static_cast<std::int64_t>(std::hash<std::string_view>{}(subject) >> 11)};
  choice_->op_read(now(), id, type, tenant, key, caller, limit > 0 ? limit - waited : 0, waited, 0, held_kb,
                   rank, false, earlier);
}

void Host::line_lost(Line line) {
  const auto at = lines_.find(line.connection);
  if (at == lines_.end()) return;
  const auto op_at = at->second.find(line.stream);
  if (op_at == at->second.end()) return;
  const OpId id = op_at->second;
  choice_->op_gone(now(), id); // first: what it orders for this op still finds it
  if (Op* op = open(id)) answered(id, *op);
}

void Host::nack(OpId id, bool no_retry, Nanos stay_away) {
  Op* op = open(id);
  if (!op) return;
  front_.refused(op->line, stay_away, no_retry);
  answered(id, *op);
}

void Host::fail(OpId id) {
  Op* op = open(id);
  if (!op) return;
  front_.failed(op->line);
  answered(id, *op);
}

// ---- runs

void Host::run(OpId id) {
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
  if (interpreter_.up()) send_run(id, op);
}

void Host::send_run(OpId id, Op& op) {
  ++op.starts;
  op.run = Op::Run::sent;
  op.run_known = interpreter_.next_question();
  interpreter_.run(id, names_.op_types[op.type.raw], op.body);
}

void Host::halt(OpId) { note("module", "this link has no command to stop a run"); }
void Host::answer_without(OpId) { note("module", "this link has no command to go on without a call"); }

void Host::machine_up(Nanos since) {
  if (up_before_) return;
  up_before_ = true;
  choice_->machine_up(now(), since);
}

// The link is new, and all that ended before is known. What was never sent goes now. Of what was sent and may
// not have been read, only what may run twice is sent again: a run may end at this moment.
void Host::caught_up(std::uint64_t heard) {
  std::vector<OpId> moot;
  for (auto& [id, op] : ops_) {
    if (op.run == Op::Run::wanted && op.answered)
      moot.push_back(id); // was never begun, and never will be
    else if (op.run == Op::Run::wanted || (op.run == Op::Run::sent && !op.heard && op.run_known > heard &&
                                           repeats_[op.type.raw] == Repeats::retryable))
      send_run(id, op);
    if (op.run == Op::Run::sent && op.reply) {
      interpreter_.resume(id, *op.reply);
      op.reply.reset();
      op.at_call = false;
    }
  }
  for (const OpId id : moot) run_over(id, Outcome::moot, 0, {});
}

// Against a run counted for ever because its start or its end got lost: once its op was answered a while ago,
// it is started again. That begins nothing, the op being over, but tells how the run stands if it is over
// too.
void Host::settle_strays() {
  if (!interpreter_.up() || now() - looked_at_ < stray_rest_) return;
  looked_at_ = now();
  for (auto& [id, op] : ops_)
    if (op.run == Op::Run::sent && op.answered && now() - op.answered_at >= stray_rest_) send_run(id, op);
}

void Host::run_over(OpId id, Outcome outcome, Nanos lag, std::string result) {
  const auto at = ops_.find(id);
  if (at == ops_.end() || (at->second.run != Op::Run::sent && at->second.run != Op::Run::wanted))
    return note("notice", "passed over, the end of a run that is not known");
  Op& op = at->second;
  op.run = Op::Run::over;
  op.at_call = false;
  records_.give_up(id);
  // That nothing was started is sure only of what was sent once at the most, or the first may have been read.
  const bool never_begun = outcome == Outcome::moot && !op.heard && op.starts <= 1;
  if (Kept* entry = entry_of(id); entry && entry->ran == id) {
    const bool done = outcome == Outcome::done;
    entry->proven = entry->proven || done;
    if (never_begun)
      unbegun(*entry);
    else
      settle(*entry, done ? Kept::State::done : Kept::State::failed, done ? result : std::string());
  }
  if (!op.answered && outcome != Outcome::halted) {
    if (outcome == Outcome::done)
      front_.served(op.line, std::move(result));
    else
      front_.failed(op.line);
    answered(id, op);
  }
  choice_->run_ended(now(), id, outcome, lag);
  release(id);
}

void Host::not_carried_out(OpId id, std::string_view command) {
  note("interpreter", "not carried out: %.*s", static_cast<int>(std::min<std::size_t>(command.size(), 40)),
       command.data());
  // A start that was none: nothing was begun, and nothing else will be heard of it.
  if (const auto at = ops_.find(id);
      command == "APPLY" && at != ops_.end() && !at->second.heard && at->second.run == Op::Run::sent) {
    front_.strike(at->second.line);
    run_over(id, Outcome::moot, 0, {});
  }
}

void Host::gauges(std::span<const double> values) {
  if (values.size() == gauges_.size()) std::copy(values.begin(), values.end(), gauges_.begin());
  if (asked_at_ > 0) lead_ = std::min(2 * (now() - asked_at_) + ms, most_lead);
}

// ---- calls

void Host::call_wanted(OpId id, std::string body) {
  const auto at = ops_.find(id);
  if (at == ops_.end() || at->second.run != Op::Run::sent || at->second.at_call)
    return note("notice", "passed over, a call of a run that is not known");
  at->second.heard = at->second.at_call = true;
  if (Kept* entry = entry_of(id); entry && entry->ran == id) entry->proven = true;
  at->second.call = std::move(body);
  choice_->call_wanted(now(), id);
}

void Host::call(OpId id, Nanos time_out) {
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  records_.call(id, time_out > 0 ? time_out : op_timeouts_[at->second.type.raw], at->second.call,
                [this, id, begun = now()](Outcome outcome, std::string reply) {
                  call_over(id, begun, outcome, std::move(reply));
                });
}

void Host::call_over(OpId id, Nanos begun, Outcome outcome, std::string reply) {
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  Op& op = at->second;
  if (outcome == Outcome::done) {
    if (interpreter_.up()) {
      op.at_call = false;
      interpreter_.resume(id, reply);
    } else {
      op.reply = std::move(reply);
    }
  }
  choice_->call_ended(now(), id, outcome, now() - begun);
}

// ---- keys, repeats and results

Host::Kept* Host::entry_of(OpId id) {
  const auto op = ops_.find(id);
  if (op == ops_.end() || op->second.key.empty()) return nullptr;
  const auto at = keys_.find(op->second.key);
  return at == keys_.end() ? nullptr : &at->second;
}

// Against a stranger's op with the mark of a good one: what a run has proven good keeps its mark to itself.
// While nothing is proven both stand, each with its own body, and the interpreter tells which it knows.
bool Host::contested(const std::string& key) const {
  const std::size_t word = key.find(' ') + 1;
  const std::size_t mark_end = key.find(' ', word) + 1 + std::stoul(key.substr(word));
  const std::string_view mark = std::string_view(key).substr(0, mark_end);
  for (auto at = keys_.lower_bound(std::string(mark)); at != keys_.end() && at->first.starts_with(mark); ++at)
    if (at->second.proven && at->first != key) return true;
  return false;
}

OpId Host::earlier_of(const std::string& key, bool keyed, Nanos door) {
  const auto at = keys_.find(key);
  if (at == keys_.end()) return no_op;
  const Kept& entry = at->second;
  // A holder that is gone without a run leaves nothing to repeat.
  if (entry.state == Kept::State::held && !ops_.contains(entry.holder)) return no_op;
  if (keyed) return door <= entry.until + key_slack ? entry.holder : no_op;
  if (now() > entry.until || entry.state == Kept::State::failed) return no_op;
  return entry.state == Kept::State::done && now() - entry.ended_at > fresh_for_ ? no_op : entry.holder;
}

void Host::keep_key(OpId id, Nanos lifetime) {
  const auto op = ops_.find(id);
  if (op == ops_.end() || op->second.key.empty()) return;
  const auto [at, fresh] = keys_.try_emplace(op->second.key);
  Kept& entry = at->second;
  if (!fresh) key_ends_.erase(entry.end);
  if (entry.state == Kept::State::done || entry.state == Kept::State::failed) {
    settle(entry, Kept::State::held, {}); // its time is over: nothing of the run before is left
    entry.ran = no_op;
  }
  entry.holder = id;
  entry.until = now() + lifetime;
  entry.end = key_ends_.emplace(entry.until + key_slack + longest_, at->first);
}

void Host::forget_key(OpId id) {
  Kept* entry = entry_of(id);
  if (!entry || entry->holder != id) return;
  unbegun(*entry);
}

// Against failing those that wait for a run that never was: they are taken as new.
void Host::unbegun(Kept& entry) {
  for (const OpId id : entry.waiting)
    if (Op* op = open(id)) op->never_begun = true;
  const std::string key = entry.end->second;
  settle(entry, Kept::State::failed, {});
  erase(key);
}

// The one place where an entry is given back, with its result.
void Host::erase(const std::string& key) {
  const auto at = keys_.find(key);
  result_bytes_ -= at->second.result.size();
  key_ends_.erase(at->second.end);
  keys_.erase(at);
}

void Host::settle(Kept& entry, Kept::State state, std::string result) {
  result_bytes_ -= entry.result.size();
  // Against filling the memory: what has no room is answered as failed, and not run again.
  if (result_bytes_ + result.size() > most_results_) {
    note("results", "no room to keep one");
    state = Kept::State::failed;
    result.clear();
  }
  entry.state = state;
  entry.ended_at = now();
  entry.result = std::move(result);
  result_bytes_ += entry.result.size();
  for (const OpId id : entry.waiting) reused_.push_back(id);
  entry.waiting.clear();
}

void Host::reuse(OpId id) {
  Op* op = open(id);
  if (!op) return;
  op->reusing = true;
  const auto at = keys_.find(op->key);
  if (at != keys_.end() &&
      (at->second.state == Kept::State::held || at->second.state == Kept::State::running))
    at->second.waiting.push_back(id);
  else
    reused_.push_back(id);
}

void Host::finish_reused() {
  while (!reused_.empty()) {
    const std::vector<OpId> now_due = std::move(reused_);
    reused_.clear();
    for (const OpId id : now_due) {
      Op* op = open(id);
      if (!op || !op->reusing) continue;
      op->reusing = false;
      if (std::exchange(op->never_begun, false)) {
        const bool keyed = repeats_[op->type.raw] == Repeats::keyed;
        choice_->unbegun(now(), id, earlier_of(op->key, keyed, op->door));
        continue;
      }
      const auto at = keys_.find(op->key);
      const bool done = at != keys_.end() && at->second.state == Kept::State::done;
      if (done)
        front_.served(op->line, at->second.result);
      else
        front_.failed(op->line);
      answered(id, *op);
      choice_->run_ended(now(), id, done ? Outcome::done : Outcome::failed, 0);
    }
  }
}

void Host::forget_old() {
  while (!key_ends_.empty() && key_ends_.begin()->first <= now()) {
    const std::string key = key_ends_.begin()->second;
    Kept& entry = keys_.at(key);
    if (entry.state != Kept::State::running && entry.waiting.empty()) {
      erase(key);
      continue;
    }
    key_ends_.erase(entry.end); // its run goes on beyond its time: it is looked at again
    entry.end = key_ends_.emplace(now() + longest_, key);
  }
}

// ---- the rest of what the module orders

void Host::health(bool good, bool) {
  front_.health(good);
  announce_.accepting(good);
}
void Host::tell_callers(double value) { front_.feedback(value); }
void Host::idle_close(Nanos after) { front_.idle_close(after); }
void Host::wake_at(Nanos at, WakeId name) { wakes_.emplace(at, name.raw); }
void Host::log(std::string_view words) {
  note("module", "%.*s", static_cast<int>(words.size()), words.data());
}

void Host::pace(Pace what, Nanos time) {
  switch (what) {
  case Pace::report:
    return announce_.report_every(time);
  case Pace::report_wait:
    return announce_.wait_for_reply(time);
  case Pace::link_again:
    return interpreter_.link_again(time);
  case Pace::link_leave:
    return interpreter_.leave_within(time);
  case Pace::leave_to_end:
    return front_.leave_to_end(time);
  case Pace::silent_close:
    return front_.silent_close(time);
  case Pace::first_word:
    return front_.first_word(time);
  case Pace::accept_again:
    return front_.accept_again(time);
  case Pace::settle_stray:
    stray_rest_ = time;
    return;
  }
}

void Host::when_full(std::span<const Way> order, int strikes) {
  front_.when_full({order.begin(), order.end()}, strikes);
}

void Host::close_doors() { doors_closed_ = true; }

} // namespace cometshift
