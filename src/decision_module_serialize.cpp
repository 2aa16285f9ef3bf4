// All that a DecisionModule remembers, member by member. A member that is added to it is added here, and the
// layout number of snapshots (capture/format.hpp) goes up.
#include "decision_module.hpp"
#include "serializer.hpp"

namespace cometshift {

template <class Serializer>
void DecisionModule::serialize(Serializer& serializer) {
  const auto listed = [&](std::vector<Op*>& ops) {
    std::vector<OpId> ids;
    for (const Op* op : ops) ids.push_back(op->id);
    serializer(ids);
    if constexpr (Serializer::reads) {
      ops.clear();
      for (const OpId id : ids) {
        const auto at = ops_.find(id);
        if (at == ops_.end()) throw std::invalid_argument("snapshot: a line with an op that is not there");
        ops.push_back(&at->second);
      }
    }
  };
  const auto same_count = [&](std::size_t here, const char* what) {
    std::size_t there = here;
    serializer(there);
    if (there != here)
      throw std::invalid_argument(std::string("snapshot: other ") + what + " than the settings'");
  };
  serializer(chance_, now_, born_);
  same_count(types_.size(), "op types");
  for (OpType& type : types_) // the rest of them are settings
    serializer(type.run_time, type.core_time, type.recent, type.patience, type.base);
  same_count(tenants_.size(), "tenants");
  for (Tenant& tenant : tenants_) serializer(tenant.quota, tenant.seen);
  serializer(guess_slope_);
  std::size_t ops = ops_.size();
  serializer(ops);
  const auto each = [&](Op& op) {
    serializer(op.id, op.type, op.tenant, op.earlier, op.key, op.arrived, op.first_seen, op.due,
               op.latest_start, op.on_core_since, op.on_core, op.call_from, op.called_at, op.guess, op.hint,
               op.held_kb, op.rank, op.worth, op.again, op.kept, op.ran, op.answered, op.pausing, op.paused,
               op.hung, op.call_may_have_run, op.stage);
  };
  if constexpr (Serializer::reads) {
    ops_.clear();
    for (; ops > 0; --ops) {
      Op op;
      each(op);
      if (op.type.raw >= types_.size() || op.stage > Stage::reusing || ops_.contains(op.id))
        throw std::invalid_argument("snapshot: an op that can't be");
      leave_next(ops_.emplace(op.id, std::move(op)).first->second);
    }
  } else {
    for (auto& [id, op] : ops_) each(op);
  }
  listed(held_);
  listed(at_call_);
  serializer(cap_, born_cold_, running_, on_core_, held_since_, cut_at_, progress_at_, stalled_, grown_at_,
             busy_, wanting_core_, memory_kb_, keys_);
  serializer(calls_, lingering_, call_time_, recent_calls_, call_base_, call_limit_, call_cut_at_,
             call_done_from_, call_from_, lost_calls_, failures_in_row_, open_until_, open_for_, trial_out_);
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
  serializer(silences_, idle_told_, openness_, told_, read_, read_lately_, nacked_lately_, unread_lately_,
             reading_, nacked_part_, again_part_, nacked_rank_, counted_from_, drained_at_, serve_until_,
             answer_by_, stopped_accepting_);
}

template void DecisionModule::serialize(Writer& serializer);
template void DecisionModule::serialize(Reader& serializer);

} // namespace cometshift
