#include "rules.hpp"

#include "hex.hpp"

#include <cstdio>

namespace cometshift {

namespace {
constexpr Nanos ms = 1'000'000;
constexpr Nanos slack = 150 * ms; // 100 ms tolerance of time limits on sockets, and 50 ms margin
constexpr std::size_t max_examples = 5;
} // namespace

void Rules::break_rule(std::uint64_t& count, const char* what, OpId op) {
  ++count;
  if (examples_.size() >= max_examples) return;
  std::string said(what);
  said += " ";
  put_hex(said, op.raw);
  examples_.push_back(said);
}

// Removes an op that is answered or has no waiting client, unless a run of it is still in progress.
void Rules::forget(OpId id) {
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  const Op& op = at->second;
  if (!(op.answered || op.client_gone) || (op.started && !op.over)) return;
  lines_.erase(op.line);
  ops_.erase(at);
}

void Rules::came(Nanos now, OpId id, OpTypeId type, Nanos received_at, Nanos due, const std::string& mark) {
  check_deadlines(now);
  ++came_;
  if (ops_.contains(id)) return; // the id is in use: the second op is refused, the first continues
  const std::string effect = mark.empty() ? mark : std::to_string(type.raw).append(1, ' ').append(mark);
  ops_.emplace(id, Op{.type = type, .received_at = received_at, .due = due, .mark = effect});
  dues_.emplace(due + slack, id);
}

void Rules::assign_stream(OpId id, StreamRef line) {
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  at->second.line = line;
  lines_[line] = id;
}

void Rules::stream_lost(StreamRef line) {
  const auto at = lines_.find(line);
  if (at == lines_.end()) return;
  const OpId id = at->second;
  lines_.erase(at);
  if (const auto op = ops_.find(id); op != ops_.end()) op->second.client_gone = true;
  forget(id);
}

void Rules::started(Nanos now, OpId id) {
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  Op& op = at->second;
  const bool again = op.started;
  op.started = true;
  op.over = false;
  if (!again && drain_started_at_ >= 0 && op.received_at > drain_started_at_ + figures_.grace + slack)
    break_rule(broken_.started_late, "started after the grace:", id);
  if (again || op.mark.empty()) return;
  const Nanos window = op.type.raw < figures_.key_windows.size() ? figures_.key_windows[op.type.raw] : 0;
  Effect& effect = effects_[op.mark];
  if (effect.may_have_run && effect.ran != id && op.received_at <= effect.received_at + window)
    break_rule(broken_.duplicate_runs, "a second run under one mark:", id);
  effect = {id, op.received_at, true};
  effect_ends_.emplace(now + window + slack, op.mark);
}

void Rules::run_over(OpId id, Outcome outcome) {
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  Op& op = at->second;
  op.over = true;
  if (outcome == Outcome::moot) { // the run did not start
    op.started = false;
    if (const auto effect = effects_.find(op.mark); effect != effects_.end() && effect->second.ran == id)
      effect->second.may_have_run = false;
  }
  forget(id);
}

void Rules::answered(Nanos now, OpId id, Final final) {
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  Op& op = at->second;
  if (op.answered) return break_rule(broken_.duplicate_answers, "answered twice:", id);
  op.answered = true;
  if (!op.lost && now > op.due + slack) break_rule(broken_.late, "answered late:", id);
  if (final == Final::nacked && op.started && !op.mark.empty())
    break_rule(broken_.nacked_after_run, "nacked after its run:", id);
  forget(id);
}

void Rules::drain_started(Nanos now) {
  if (drain_started_at_ < 0) drain_started_at_ = now;
}

void Rules::check_deadlines(Nanos now) {
  for (; !dues_.empty() && dues_.begin()->first < now; dues_.erase(dues_.begin())) {
    const OpId id = dues_.begin()->second;
    const auto at = ops_.find(id);
    if (at == ops_.end()) continue;
    Op& op = at->second;
    if (op.answered || op.client_gone || op.lost || op.due + slack != dues_.begin()->first) continue;
    op.lost = true;
    break_rule(broken_.lost, "no answer by its due time:", id);
  }
  for (; !effect_ends_.empty() && effect_ends_.begin()->first < now;
       effect_ends_.erase(effect_ends_.begin())) {
    const auto at = effects_.find(effect_ends_.begin()->second);
    if (at == effects_.end()) continue;
    const auto op = ops_.find(at->second.ran);
    if (op == ops_.end() || op->second.over) effects_.erase(at);
  }
}

std::string describe(const Rules::Broken& b) {
  char text[256];
  std::snprintf(
      text, sizeof text,
      "lost %llu, late %llu, answered twice %llu, run twice %llu, nacked after a run %llu, started after the "
      "grace %llu",
      static_cast<unsigned long long>(b.lost), static_cast<unsigned long long>(b.late),
      static_cast<unsigned long long>(b.duplicate_answers), static_cast<unsigned long long>(b.duplicate_runs),
      static_cast<unsigned long long>(b.nacked_after_run), static_cast<unsigned long long>(b.started_late));
  return text;
}

Rules::Figures rule_figures(const Settings& settings) {
  Rules::Figures figures;
  figures.grace = span(settings, "drain_grace_ns", 0);
  for (int t = 0; settings.contains("op_type." + std::to_string(t) + ".name"); ++t) {
    const std::string at = "op_type." + std::to_string(t) + ".";
    const std::string repeats = text(settings, at + "repeats", "retryable");
    figures.repeats.push_back(repeats == "keyed"           ? RetryClass::keyed
                              : repeats == "non_retryable" ? RetryClass::non_retryable
                                                           : RetryClass::retryable);
    figures.op_timeouts.push_back(span(settings, at + "op_timeout_ns", 0));
    figures.key_windows.push_back(span(settings, at + "key_window_ns", 0));
  }
  return figures;
}

} // namespace cometshift
