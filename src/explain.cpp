#include "decision_module.hpp"

namespace cometshift {

namespace {
constexpr double planned_for = 0.7; // part of runs that take no longer than told here, as plans have it
}

bool DecisionModule::explain(Nanos now, OpId id, DecisionInputs& into) const {
  const auto at = ops_.find(id);
  if (at == ops_.end()) return false;
  const Op& op = at->second;
  double line = 0;
  for (const Op* held : held_) line += static_cast<double>(core_time(*held));
  into = {.run_time = run_time(op, planned_for),
          .core_time = core_time(op),
          .target_deadline = target_deadline(op) - now,
          .due = op.due - now,
          .value_density = value_density(op),
          .queued = held_.size(),
          .backlog = static_cast<Nanos>(line / cap_),
          .on_core = on_core_,
          .running = running_,
          .cap = cap_,
          .cores = cores_,
          .busy = busy_,
          .memory_kb = memory_with(0),
          .memory_limit_kb = memory_limit_,
          .calls = calls_.count(),
          .call_limit = call_limit_,
          .at_call = at_call_.size(),
          .breaker_open = !breaker_lets(now),
          .stalled = stalled_,
          .leaving = drained_at_ >= 0,
          .nacked_part = nacked_part_,
          .admission_level = openness_};
  return true;
}

} // namespace cometshift
