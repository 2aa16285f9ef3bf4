#include "plain.hpp"

#include <algorithm>
#include <cmath>

namespace cometshift::emulator {

namespace {
constexpr Nanos early = 40'000'000; // before its due time an op is given up: two looks of the module's
}

Plain::Plain(Figures figures, Actions& orders) : figures_(std::move(figures)), actions_(orders) {
  const std::size_t queues = std::max<std::size_t>(1, figures_.parts.size());
  for (std::size_t q = 0; q < queues; ++q) {
    const double part = figures_.parts.empty() ? 1 : figures_.parts[q];
    Queue queue;
    queue.slots = std::max<std::size_t>(
        1, static_cast<std::size_t>(std::lround(part * static_cast<double>(figures_.slots))));
    queue.bound = std::max<std::size_t>(
        1, static_cast<std::size_t>(std::lround(part * static_cast<double>(figures_.bound))));
    queues_.push_back(std::move(queue));
  }
}

void Plain::op_received(Nanos now, StreamRef line, OpId id, OpTypeId type, TenantId, CallerId,
                        Nanos received_at, Nanos limit, double, double, std::string_view mark,
                        std::string_view, Content body, Digest) {
  Queue& queue = queue_of(type);
  const bool keyed = figures_.keyed[type.raw];
  Effect* effect = keyed ? &effects_[std::string(mark)] : nullptr;
  if (effect && effect->first != no_op_id) {
    if (effect->over)
      return effect->done ? actions_.served(line, id, Content("result"))
                          : actions_.failed(line, id, Reason::first_failed);
    if (ops_.contains(effect->first)) {
      ops_.emplace(id, Op{.line = line,
                          .type = type,
                          .due = received_at + limit,
                          .body = {},
                          .call = {},
                          .mark = std::string(mark)});
      effect->waiting.push_back(id);
      dues_.emplace(received_at + limit - early, id);
      return;
    }
  }
  if (leaving_ || queue.waiting.size() >= queue.bound)
    return actions_.refused(line, id, Reason::line, 0, false);
  if (effect) effect->first = id;
  ops_.emplace(id, Op{.line = line,
                      .type = type,
                      .due = received_at + limit,
                      .body = std::move(body),
                      .call = {},
                      .mark = std::string(mark)});
  dues_.emplace(received_at + limit - early, id);
  queue.waiting.push_back(id);
  begin(now, queue);
}

void Plain::begin(Nanos, Queue& queue) {
  while (queue.running < queue.slots && !queue.waiting.empty()) {
    const OpId id = queue.waiting.front();
    queue.waiting.pop_front();
    Op& op = ops_.at(id);
    op.running = true;
    ++queue.running;
    actions_.start(id, op.type, op.body, StartNo{++starts_});
  }
}

void Plain::fail(OpId id, Reason why) {
  Op& op = ops_.at(id);
  if (op.answered) return;
  op.answered = true;
  actions_.failed(op.line, id, why);
}

void Plain::stream_lost(Nanos, StreamRef line) {
  for (auto& [id, op] : ops_)
    if (op.line == line) op.answered = true;
}

void Plain::run_finished(Nanos now, OpId id, Outcome outcome, Nanos, Content result) {
  const auto at = ops_.find(id);
  if (at == ops_.end() || !at->second.running) return;
  Op& op = at->second;
  Queue& queue = queue_of(op.type);
  --queue.running;
  const bool done = outcome == Outcome::done;
  if (!op.answered)
    done ? actions_.served(op.line, id, result) : actions_.failed(op.line, id, Reason::run_failed);
  if (figures_.keyed[op.type.raw]) {
    Effect& effect = effects_[op.mark];
    effect.over = true;
    effect.done = done;
    for (const OpId waiting : effect.waiting) {
      const auto other = ops_.find(waiting);
      if (other == ops_.end()) continue;
      if (!other->second.answered)
        done ? actions_.served(other->second.line, waiting, result)
             : actions_.failed(other->second.line, waiting, Reason::first_failed);
      ops_.erase(other);
    }
    effect.waiting.clear();
  }
  ops_.erase(at);
  begin(now, queue);
}

void Plain::call_wanted(Nanos now, OpId id, Content body) {
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  at->second.call = std::move(body);
  actions_.call(id, std::max<Nanos>(early, at->second.due - now), at->second.call);
}

// Called again until it goes well, or its time is over: then the run stands at its call for good, and its
// slot is free.
void Plain::call_finished(Nanos now, OpId id, Outcome outcome, Content reply) {
  const auto at = ops_.find(id);
  if (at == ops_.end()) return;
  if (outcome == Outcome::done) return actions_.resume(id, reply);
  if (now + early < at->second.due && proves_not_run(outcome))
    return actions_.call(id, at->second.due - now, at->second.call);
  fail(id, Reason::call_lost);
  Queue& queue = queue_of(at->second.type);
  --queue.running;
  if (figures_.keyed[at->second.type.raw]) effects_[at->second.mark].over = true;
  ops_.erase(at);
  begin(now, queue);
}

void Plain::due(Nanos now) {
  for (; !dues_.empty() && dues_.begin()->first <= now; dues_.erase(dues_.begin())) {
    const OpId id = dues_.begin()->second;
    const auto at = ops_.find(id);
    if (at == ops_.end() || at->second.due - early != dues_.begin()->first) continue;
    Op& op = at->second;
    if (op.running) {
      fail(id, Reason::due);
      continue;
    }
    auto& waiting = queue_of(op.type).waiting;
    const auto held = std::find(waiting.begin(), waiting.end(), id);
    if (held == waiting.end()) {
      fail(id, Reason::due); // a repeat that waits for its first
    } else {
      waiting.erase(held);
      if (!op.answered) actions_.refused(op.line, id, Reason::due, 0, false);
      if (figures_.keyed[op.type.raw]) effects_.erase(op.mark);
    }
    ops_.erase(at);
  }
}

} // namespace cometshift::emulator
