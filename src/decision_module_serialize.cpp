// Serialization of the complete state of a DecisionModule, member by member. A member that is added to the
// class is added here, and the layout number of snapshots (capture/format.hpp) is incremented.
#include "decision_module.hpp"
#include "serializer.hpp"

namespace cometshift {

template <class Serializer>
void DecisionModule::serialize(Serializer& serializer) {
  const auto serialize_refs = [&](std::vector<Op*>& ops) {
    std::vector<OpId> ids;
    for (const Op* op : ops) ids.push_back(op->id);
    serializer(ids);
    if constexpr (Serializer::reads) {
      ops.clear();
      for (const OpId id : ids) {
        const auto at = ops_.find(id);
        if (at == ops_.end()) throw std::invalid_argument("snapshot: a queue refers to an unknown op");
        ops.push_back(&at->second);
      }
    }
  };
  const auto check_count = [&](std::size_t expected, const char* what) {
    std::size_t stored = expected;
    serializer(stored);
    if (stored != expected)
      throw std::invalid_argument(std::string("snapshot: number of ") + what + " differs from the settings");
  };
  serializer(random_, now_, started_at_);
  check_count(types_.size(), "op types");
  for (OpType& type : types_) // the other members are settings
    serializer(type.run_time, type.core_time, type.recent_core_time, type.caller_timeouts,
               type.base_core_time);
  check_count(tenants_.size(), "tenants");
  for (Tenant& tenant : tenants_) serializer(tenant.quota, tenant.rate);
  serializer(estimate_slope_);
  std::size_t ops = ops_.size();
  serializer(ops);
  const auto serialize_op = [&](Op& op) {
    serializer(op.id, op.type, op.tenant, op.original, op.key, op.received_at, op.first_try_at, op.due,
               op.latest_start_at, op.on_core_since, op.core_time_used, op.next_call_at, op.called_at,
               op.work_estimate, op.work_factor, op.held_kb, op.rank, op.weight, op.is_retry, op.key_kept,
               op.ran, op.answered, op.pause_requested, op.paused, op.hung, op.call_may_have_run, op.stage);
  };
  if constexpr (Serializer::reads) {
    ops_.clear();
    for (; ops > 0; --ops) {
      Op op;
      serialize_op(op);
      if (op.type.raw >= types_.size() || op.stage > Stage::reusing || ops_.contains(op.id))
        throw std::invalid_argument("snapshot: invalid op");
      set_continuations(ops_.emplace(op.id, std::move(op)).first->second);
    }
  } else {
    for (auto& [id, op] : ops_) serialize_op(op);
  }
  serialize_refs(queue_);
  serialize_refs(parked_);
  serializer(cap_, cold_start_, running_, on_core_, queued_since_, cap_cut_at_, last_progress_at_, stalled_,
             cap_grown_at_, busy_, runnable_, memory_kb_, keys_);
  serializer(calls_, lingering_calls_, call_times_, recent_call_times_, base_call_time_, call_limit_,
             call_limit_cut_at_, newest_completed_call_at_, next_call_at_, lost_call_fraction_,
             consecutive_failures_, breaker_open_until_, breaker_delay_, trial_call_in_flight_);
  std::size_t callers = by_caller_.size();
  serializer(callers);
  if constexpr (Serializer::reads) {
    by_caller_.clear();
    for (; callers > 0; --callers) {
      CallerId id{};
      Caller caller;
      serializer(id, caller.ops, caller.last);
      by_caller_.emplace(id, caller);
    }
  } else {
    for (auto& [id, caller] : by_caller_) {
      CallerId copy = id;
      serializer(copy, caller.ops, caller.last);
    }
  }
  serializer(caller_gaps_, idle_timeout_, admission_level_, last_feedback_, ops_read_, recent_read_,
             recent_nacked_, recent_unread_, reading_fraction_, nacked_fraction_, retry_fraction_,
             mean_nacked_rank_, counting_since_, drain_started_at_, serve_until_, answer_by_,
             stopped_accepting_);
}

template void DecisionModule::serialize(Writer& serializer);
template void DecisionModule::serialize(Reader& serializer);

} // namespace cometshift
