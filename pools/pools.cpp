#include "pools.hpp"

#include "serializer.hpp"

#include <algorithm>
#include <cmath>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr double second = 1e9;

constexpr double protected_worth = 1000;         // exceeds any weight: protected ops are turned away last
constexpr double over_budget_repeat_worth = 0.1; // of a retry over budget, relative to a first try
// Fraction of the capacity: while less than that was recently admitted, retries do no harm.
constexpr double pressure_threshold = 0.85;
// Remaining part of a rate after a second (about 1/e): a time constant of about one second.
constexpr double decay_per_second = 0.37;
// Saved up by an idle pool: covers a burst after an outage of a second.
constexpr double max_retry_budget = 20;
// Admitted even without first tries, so that recovery is noticed.
constexpr double min_retries_per_second = 0.5;
constexpr Nanos min_retry_after = 20 * ms;          // the module's decision interval: nothing changes sooner
constexpr Nanos max_retry_after = 1000 * ms;        // callers give up later than that
constexpr Nanos fingerprint_lifetime = 10'000 * ms; // the longest interval between tries of one op
// 2 MB at most; the oldest are dropped, and their retries count as first tries.
constexpr std::size_t max_fingerprints = 16'384;
// Ops up to this multiple of the smallest base work of any op type count as cheapest.
constexpr double cheapest_factor = 1.25;
// In windows of a tenant's share: an excess up to this has no effect, twice this halves the worth.
constexpr double excess_window_factor = 0.6;

std::vector<std::string> split_lines(const std::string& text) {
  std::vector<std::string> lines;
  for (std::size_t from = 0; from < text.size();) {
    const std::size_t end = std::min(text.find('\n', from), text.size());
    if (end > from) lines.push_back(text.substr(from, end - from));
    from = end + 1;
  }
  return lines;
}
// Marks which names of a list a setting selects; empty: all.
std::vector<bool> select_names(const Settings& settings, const std::string& setting, const char* list) {
  const std::vector<std::string> listed = split_lines(text(settings, setting, ""));
  if (listed.empty()) return {};
  std::vector<std::string> names;
  for (int i = 0; settings.contains(list + std::to_string(i) + ".name"); ++i)
    names.push_back(text(settings, list + std::to_string(i) + ".name", ""));
  std::vector<bool> in(names.size());
  for (const std::string& entry : listed) {
    const auto at = std::find(names.begin(), names.end(), entry);
    if (at == names.end()) throw std::invalid_argument(setting + ": " + entry + " is not known");
    in[static_cast<std::size_t>(at - names.begin())] = true;
  }
  return in;
}
double fraction_setting(const Settings& settings, const std::string& name, double fallback) {
  const double value = number(settings, name, fallback);
  if (!(value >= 0 && value <= 1)) throw std::invalid_argument(name + ": not a fraction from 0 to 1");
  return value;
}
Capacity::Estimator parse_estimator(const std::string& word) {
  if (word == "gradient") return Capacity::Estimator::gradient;
  if (word == "additive") return Capacity::Estimator::additive;
  if (word == "throughput") return Capacity::Estimator::throughput;
  throw std::invalid_argument("pools.estimator: " + word + " is none of throughput, gradient, additive");
}
std::size_t count_named(const Settings& settings, const char* list) {
  std::size_t n = 0;
  while (settings.contains(list + std::to_string(n) + ".name")) ++n;
  return n;
}

} // namespace

Pools::Pools(Nanos now, const Settings& settings)
    : capacity_(now, parse_estimator(text(settings, "pools.estimator", "throughput")),
                count_named(settings, "op_type.")),
      reserve_fraction_(fraction_setting(settings, "pools.reserve", 0)),
      retry_budget_ratio_(number(settings, "pools.repeats", 0.2)),
      window_(span(settings, "pools.window_ns", second)), op_types_(count_named(settings, "op_type.")) {
  if (window_ < 50 * ms) throw std::invalid_argument("pools.window_ns: under 50 ms");
  double sum = 0;
  const std::size_t tenants =
      count_named(settings, "tenant."); // counted once, as this iterates over all of them
  for (std::size_t t = 0; t < tenants; ++t) {
    quota_shares_.push_back(number(settings, "tenant." + std::to_string(t) + ".quota", 0));
    sum += quota_shares_.back();
  }
  for (double& quota : quota_shares_)
    quota = sum > 0 ? quota / sum : 1 / static_cast<double>(quota_shares_.size());
  double floors = reserve_fraction_;
  for (std::size_t n = 0;; ++n) {
    const std::string at = "pool." + std::to_string(n) + ".";
    if (!settings.contains(at + "name")) break;
    Pool pool;
    pool.name = text(settings, at + "name", "");
    pool.op_types = select_names(settings, at + "op_types", "op_type.");
    pool.tenants = select_names(settings, at + "tenants", "tenant.");
    pool.weight = number(settings, at + "weight", 1);
    pool.floor = fraction_setting(settings, at + "floor", 0);
    pool.ceiling = fraction_setting(settings, at + "ceiling", 1);
    if (!(pool.weight > 0 && pool.weight < protected_worth))
      throw std::invalid_argument(at + "weight: out of range");
    if (pool.floor > pool.ceiling) throw std::invalid_argument(at + "floor: over its ceiling");
    floors += pool.floor;
    pools_.push_back(std::move(pool));
  }
  if (floors > 1) throw std::invalid_argument("pools: the floors and the reserve promise more than there is");
  Pool others;
  others.name = "others";
  pools_.push_back(std::move(others));
  for (Pool& pool : pools_) {
    pool.tenant_excess.resize(quota_shares_.size());
    pool.decayed_at = pool.last_repeat_at = pool.floor_bucket.refilled_at = pool.ceiling_bucket.refilled_at =
        now;
  }
  reserve_bucket_.refilled_at = now;
}

// ---- token buckets

void Pools::TokenBucket::refill(Nanos now, double rate, Nanos window) {
  capacity = rate * static_cast<double>(window) / second;
  level = std::min(capacity, level + rate * static_cast<double>(now - refilled_at) / second);
  refilled_at = now;
}
// The level may become negative once, so that an op larger than the bucket is not shut out for ever: over any
// period, at most that period's refill plus one window's and one op's work is taken.
bool Pools::TokenBucket::take(double work) {
  if (level <= 0) return false;
  level -= work;
  return true;
}
void Pools::TokenBucket::refund(double work) { level = std::min(capacity, level + work); }
Nanos Pools::TokenBucket::time_until_available(double rate) const {
  return level > 0 || rate <= 0 ? 0 : static_cast<Nanos>(-level / rate * second);
}

Pools::Pool& Pools::find_pool(OpTypeId type, TenantId tenant, PoolId& id) {
  for (id.raw = 0; id.raw + 1 < pools_.size(); ++id.raw) {
    const Pool& pool = pools_[id.raw];
    const bool of_type =
        pool.op_types.empty() || (type.raw < pool.op_types.size() && pool.op_types[type.raw]);
    const bool of_tenant =
        pool.tenants.empty() || (tenant.raw < pool.tenants.size() && pool.tenants[tenant.raw]);
    if (of_type && of_tenant) break;
  }
  return pools_[id.raw];
}

void Pools::decay(Nanos now, Pool& pool) {
  const double remaining = std::pow(decay_per_second, static_cast<double>(now - pool.decayed_at) / second);
  pool.decayed_at = now;
  pool.work_rate *= remaining;
  pool.protected_work_rate *= remaining;
  pool.first_tries_per_second *= remaining;
  for (double& excess : pool.tenant_excess) excess *= remaining;
}

// Whether a try with this fingerprint was received recently.
bool Pools::is_repeat(Nanos now, Digest fingerprint) {
  while (!fingerprint_expiries_.empty() &&
         (fingerprint_expiries_.front().first <= now || fingerprint_expiries_.size() > max_fingerprints)) {
    const auto at = fingerprints_.find(fingerprint_expiries_.front().second);
    if (at != fingerprints_.end() && at->second <= fingerprint_expiries_.front().first)
      fingerprints_.erase(at);
    fingerprint_expiries_.pop_front();
  }
  if (fingerprint == Digest{}) return false;
  const auto [at, inserted] = fingerprints_.try_emplace(fingerprint, now + fingerprint_lifetime);
  at->second = now + fingerprint_lifetime;
  fingerprint_expiries_.emplace_back(now + fingerprint_lifetime, fingerprint);
  return !inserted;
}

bool Pools::is_cheapest(OpTypeId type) const {
  Nanos least = 0;
  for (std::size_t t = 0; t < op_types_; ++t)
    if (const Nanos base_work = capacity_.base_work(OpTypeId{static_cast<std::uint32_t>(t)}); base_work > 0)
      least = least == 0 ? base_work : std::min(least, base_work);
  const Nanos own = capacity_.base_work(type);
  return own == 0 || static_cast<double>(own) <= cheapest_factor * static_cast<double>(least);
}

// The pool's weight, reduced by how much the tenant has recently exceeded its quota's share.
double Pools::worth_of(const Pool& pool, TenantId tenant) const {
  if (tenant.raw >= quota_shares_.size()) return pool.weight;
  const double tenant_share =
      std::max(1.0, pool.work_rate * quota_shares_[tenant.raw] * static_cast<double>(window_) / second);
  const double excess =
      std::max(0.0, pool.tenant_excess[tenant.raw] / (excess_window_factor * tenant_share) - 1);
  return pool.weight / (1 + excess);
}

// ---- ops

Pools::Admission Pools::op_received(Nanos now, OpId id, OpTypeId type, TenantId tenant, Digest fingerprint,
                                    bool answered_from_earlier) {
  PoolId pool_id;
  Pool& pool = find_pool(type, tenant, pool_id);
  decay(now, pool);
  ++pool.received;
  const bool repeat = is_repeat(now, fingerprint);
  if (repeat) ++pool.repeats;
  if (answered_from_earlier) return {};
  const double rate = capacity_.cores() * second;
  const auto work = static_cast<double>(capacity_.base_work(type));
  double admitted_rate = 0;
  for (Pool& other : pools_) {
    decay(now, other);
    admitted_rate += other.work_rate;
  }
  const bool under_pressure = capacity_.has_estimate() && admitted_rate > pressure_threshold * rate;
  const auto refuse = [&](Reason reason, Nanos retry_after) {
    ++pool.refused;
    return Admission{false, 0, reason, std::clamp(retry_after, min_retry_after, max_retry_after)};
  };
  // A retry over budget counts for little: the module turns it away first, or at once where there is a
  // backlog. If it were refused here, callers that ignore the retry delay would send it again sooner, and it
  // would have to be read again (docs/pools.md).
  bool over_budget = false;
  if (!repeat) {
    pool.first_tries_per_second += 1;
    pool.retry_budget = std::min(max_retry_budget, pool.retry_budget + retry_budget_ratio_);
  } else if (under_pressure) {
    pool.retry_budget = std::min(
        max_retry_budget,
        pool.retry_budget + min_retries_per_second * static_cast<double>(now - pool.last_repeat_at) / second);
    over_budget = pool.retry_budget < 1;
    if (!over_budget) pool.retry_budget -= 1;
  }
  if (repeat) pool.last_repeat_at = now;
  OpenOp op{.pool = pool_id, .type = type, .tenant = tenant};
  if (pool.ceiling < 1) {
    pool.ceiling_bucket.refill(now, pool.ceiling * rate, window_);
    if (!pool.ceiling_bucket.take(work))
      return refuse(Reason::ceiling, pool.ceiling_bucket.time_until_available(pool.ceiling * rate));
    op.work = work;
  }
  bool is_protected = false;
  if (!over_budget && reserve_fraction_ > 0 && is_cheapest(type)) {
    reserve_bucket_.refill(now, reserve_fraction_ * rate, window_);
    is_protected = reserve_bucket_.take(work);
    if (is_protected) op.reserve = work;
  }
  if (!over_budget && !is_protected && pool.floor > 0) {
    pool.floor_bucket.refill(now, pool.floor * rate, window_);
    is_protected = pool.floor_bucket.take(work);
    if (is_protected) op.floor = work;
  }
  open_ops_.emplace(id, op);
  const double worth =
      is_protected ? protected_worth : worth_of(pool, tenant) * (over_budget ? over_budget_repeat_worth : 1);
  return {true, worth, Reason::none, 0};
}

void Pools::pause_core_time(Nanos now, OpenOp& op) {
  if (op.on_core_since < 0) return;
  op.core_time += now - op.on_core_since;
  op.on_core_since = -1;
}

void Pools::started(Nanos now, OpId id) {
  const auto at = open_ops_.find(id);
  if (at == open_ops_.end() || at->second.running) return;
  OpenOp& op = at->second;
  op.running = true;
  op.on_core_since = now;
  capacity_.demand_changed(now, ++running_on_cores_);
  const auto work = static_cast<double>(capacity_.base_work(op.type));
  Pool& pool = pools_[op.pool.raw];
  decay(now, pool);
  pool.work_rate += work;
  if (op.floor > 0 || op.reserve > 0) pool.protected_work_rate += work;
  // Each tenant is entitled to its quota's share of the pool's work; the excess is what it received beyond
  // that.
  for (std::size_t t = 0; t < quota_shares_.size(); ++t)
    pool.tenant_excess[t] += work * ((t == op.tenant.raw ? 1 : 0) - quota_shares_[t]);
}
void Pools::call_started(Nanos now, OpId id) {
  const auto at = open_ops_.find(id);
  if (at == open_ops_.end() || at->second.on_core_since < 0) return;
  pause_core_time(now, at->second);
  capacity_.demand_changed(now, --running_on_cores_);
}
void Pools::resumed(Nanos now, OpId id) {
  const auto at = open_ops_.find(id);
  if (at == open_ops_.end() || !at->second.running || at->second.on_core_since >= 0) return;
  at->second.on_core_since = now;
  capacity_.demand_changed(now, ++running_on_cores_);
}
void Pools::run_finished(Nanos now, OpId id) {
  const auto at = open_ops_.find(id);
  if (at == open_ops_.end() || !at->second.running) return;
  OpenOp& op = at->second;
  const int demand = running_on_cores_;
  if (op.on_core_since >= 0) --running_on_cores_;
  pause_core_time(now, op);
  op.running = false;
  capacity_.run_ended(now, op.type, op.core_time, demand);
  capacity_.demand_changed(now, running_on_cores_);
  erase_if_finished(id);
}

void Pools::answered(Nanos now, OpId id, bool nacked) {
  const auto at = open_ops_.find(id);
  if (at == open_ops_.end() || at->second.answered) return;
  OpenOp& op = at->second;
  op.answered = true;
  Pool& pool = pools_[op.pool.raw];
  if (nacked && op.core_time == 0 && !op.running) { // what it took is returned for other ops
    ++pool.refused;
    pool.ceiling_bucket.refund(op.work);
    pool.floor_bucket.refund(op.floor);
    reserve_bucket_.refund(op.reserve);
  }
  decay(now, pool);
  erase_if_finished(id);
}

void Pools::erase_if_finished(OpId id) {
  const auto at = open_ops_.find(id);
  if (at != open_ops_.end() && at->second.answered && !at->second.running) open_ops_.erase(at);
}

std::vector<Pools::Stats> Pools::stats() const {
  std::vector<Stats> all;
  for (const Pool& pool : pools_)
    all.push_back({pool.name, pool.work_rate / second, pool.protected_work_rate / second, pool.received,
                   pool.refused, pool.repeats});
  return all;
}

template <class Serializer>
void Pools::serialize(Serializer& serializer) {
  const std::size_t pool_count = pools_.size();
  std::size_t stored_count = pool_count;
  serializer(stored_count);
  if (stored_count != pool_count)
    throw std::invalid_argument("snapshot: number of pools differs from the settings");
  for (Pool& pool : pools_) {
    serializer(pool.floor_bucket, pool.ceiling_bucket, pool.retry_budget, pool.first_tries_per_second,
               pool.tenant_excess, pool.work_rate, pool.protected_work_rate, pool.decayed_at,
               pool.last_repeat_at, pool.received, pool.refused, pool.repeats);
    if (pool.tenant_excess.size() != quota_shares_.size())
      throw std::invalid_argument("snapshot: number of tenants differs from the settings");
  }
  serializer(capacity_, reserve_bucket_, running_on_cores_);
  std::size_t open = open_ops_.size();
  serializer(open);
  const auto serialize_op = [&](OpenOp& op) {
    serializer(op.pool, op.type, op.tenant, op.work, op.floor, op.reserve, op.core_time, op.on_core_since,
               op.running, op.answered);
    if (op.pool.raw >= pools_.size()) throw std::invalid_argument("snapshot: op of an unknown pool");
  };
  if constexpr (Serializer::reads) {
    open_ops_.clear();
    for (; open > 0; --open) {
      OpId id{};
      serializer(id);
      serialize_op(open_ops_[id]);
    }
  } else {
    for (auto& [id, op] : open_ops_) {
      OpId copy = id;
      serializer(copy);
      serialize_op(op);
    }
  }
  std::size_t fingerprints = fingerprint_expiries_.size();
  serializer(fingerprints);
  if constexpr (Serializer::reads) {
    fingerprints_.clear(), fingerprint_expiries_.clear();
    for (; fingerprints > 0; --fingerprints) {
      Nanos end = 0;
      Digest fingerprint;
      serializer(end, fingerprint.high, fingerprint.low);
      fingerprint_expiries_.emplace_back(end, fingerprint);
      fingerprints_[fingerprint] = end;
    }
  } else {
    for (auto& [end, fingerprint] : fingerprint_expiries_) serializer(end, fingerprint.high, fingerprint.low);
  }
}

template void Pools::serialize(Writer& serializer);
template void Pools::serialize(Reader& serializer);

} // namespace cometshift
