// Reports the inputs of a decision, to explain it.
#include "decision_module.hpp"

namespace cometshift {

namespace {
// Quantile of run times that plans assume, as in decision_module.cpp.
constexpr double planning_quantile = 0.7;
} // namespace

bool DecisionModule::explain(Nanos now, OpId id, DecisionInputs& into) const {
  const auto at = ops_.find(id);
  if (at == ops_.end()) return false;
  const Op& op = at->second;
  double backlog = 0;
  for (const Op* queued : queue_) backlog += static_cast<double>(core_time(*queued));
  into = {.run_time = run_time(op, planning_quantile),
          .core_time = core_time(op),
          .target_deadline = target_deadline(op) - now,
          .due = op.due - now,
          .value_density = value_density(op),
          .queued = queue_.size(),
          .backlog = static_cast<Nanos>(backlog / cap_),
          .on_core = on_core_,
          .running = running_,
          .cap = cap_,
          .cores = cores_,
          .busy = busy_,
          .memory_kb = projected_memory(0),
          .memory_limit_kb = memory_limit_,
          .calls = calls_.count(),
          .call_limit = call_limit_,
          .at_call = parked_.size(),
          .breaker_open = !breaker_allows(now),
          .stalled = stalled_,
          .draining = drain_started_at_ >= 0,
          .nacked_fraction = nacked_fraction_,
          .admission_level = admission_level_};
  return true;
}

} // namespace cometshift
