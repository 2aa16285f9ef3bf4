#include "pools.hpp"

#include "serializer.hpp"

#include <algorithm>
#include <cmath>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr double second = 1e9;

constexpr double protected_worth = 1000; // of any weight: what is protected is turned away last
constexpr double repeat_worth = 0.1;     // of a repeat over its budget, beside a first try
constexpr double pressed_from = 0.85;    // of the capacity let in of late: under it repeats do no harm
constexpr double keep_a_second = 0.37;   // of a rate, each second: about a second's memory (1/e)
constexpr double most_repeats = 20;      // saved up by a quiet pool: a burst after a break of a second
constexpr double least_repeats_a_second =
    0.5;                                   // let in though there are no first tries: somebody has to find out
constexpr Nanos least_come_back = 20 * ms; // a look of the module: sooner nothing has changed
constexpr Nanos most_come_back = 1000 * ms; // later, callers give up
constexpr Nanos trace_life = 10'000 * ms;   // of a trace: the longest that tries of one op follow each other
constexpr std::size_t most_traces =
    16'384;                          // bounded: 2 MB; the oldest go, and their repeats count as first tries
constexpr double cheap_reach = 1.25; // times the least work of any op type: what counts as cheapest
constexpr double over_reach = 0.6;   // windows of a tenant's part, by which being over halves its worth

std::vector<std::string> lines_of(const std::string& text) {
  std::vector<std::string> lines;
  for (std::size_t from = 0; from < text.size();) {
    const std::size_t end = std::min(text.find('\n', from), text.size());
    if (end > from) lines.push_back(text.substr(from, end - from));
    from = end + 1;
  }
  return lines;
}
// Which of the names a setting lists; empty: all.
std::vector<bool> chosen(const Settings& given, const std::string& setting, const char* list) {
  const std::vector<std::string> wanted = lines_of(text(given, setting, ""));
  if (wanted.empty()) return {};
  std::vector<std::string> names;
  for (int i = 0; given.contains(list + std::to_string(i) + ".name"); ++i)
    names.push_back(text(given, list + std::to_string(i) + ".name", ""));
  std::vector<bool> in(names.size());
  for (const std::string& one : wanted) {
    const auto at = std::find(names.begin(), names.end(), one);
    if (at == names.end()) throw std::invalid_argument(setting + ": " + one + " is not known");
    in[static_cast<std::size_t>(at - names.begin())] = true;
  }
  return in;
}
double part(const Settings& given, const std::string& name, double otherwise) {
  const double value = number(given, name, otherwise);
  if (!(value >= 0 && value <= 1)) throw std::invalid_argument(name + ": not a part from 0 to 1");
  return value;
}
Capacity::By by_word(const std::string& word) {
  if (word == "gradient") return Capacity::By::gradient;
  if (word == "additive") return Capacity::By::additive;
  if (word == "throughput") return Capacity::By::throughput;
  throw std::invalid_argument("pools.estimator: " + word + " is none of throughput, gradient, additive");
}
std::size_t count_of(const Settings& given, const char* list) {
  std::size_t n = 0;
  while (given.contains(list + std::to_string(n) + ".name")) ++n;
  return n;
}

} // namespace

Pools::Pools(Nanos now, const Settings& given)
    : capacity_(now, by_word(text(given, "pools.estimator", "throughput")), count_of(given, "op_type.")),
      reserve_part_(part(given, "pools.reserve", 0)), repeats_part_(number(given, "pools.repeats", 0.2)),
      window_(span(given, "pools.window_ns", second)), op_types_(count_of(given, "op_type.")) {
  if (window_ < 50 * ms) throw std::invalid_argument("pools.window_ns: under 50 ms");
  double sum = 0;
  const std::size_t tenants = count_of(given, "tenant."); // once: it walks them
  for (std::size_t t = 0; t < tenants; ++t) {
    quotas_.push_back(number(given, "tenant." + std::to_string(t) + ".quota", 0));
    sum += quotas_.back();
  }
  for (double& quota : quotas_) quota = sum > 0 ? quota / sum : 1 / static_cast<double>(quotas_.size());
  double floors = reserve_part_;
  for (std::size_t n = 0;; ++n) {
    const std::string at = "pool." + std::to_string(n) + ".";
    if (!given.contains(at + "name")) break;
    Pool pool;
    pool.name = text(given, at + "name", "");
    pool.op_types = chosen(given, at + "op_types", "op_type.");
    pool.tenants = chosen(given, at + "tenants", "tenant.");
    pool.weight = number(given, at + "weight", 1);
    pool.floor = part(given, at + "floor", 0);
    pool.ceiling = part(given, at + "ceiling", 1);
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
    pool.tenant_over.resize(quotas_.size());
    pool.at = pool.repeat_at = pool.floor_room.at = pool.ceiling_room.at = now;
  }
  reserve_.at = now;
}

// ---- rooms

void Pools::Bucket::fill(Nanos now, double a_second, Nanos window) {
  capacity = a_second * static_cast<double>(window) / second;
  level = std::min(capacity, level + a_second * static_cast<double>(now - at) / second);
  at = now;
}
// What is not there yet may be taken once, so that an op larger than the room is not shut out for ever: over
// any time no more is given than its part of that time, a window's and one op.
bool Pools::Bucket::take(double work) {
  if (level <= 0) return false;
  level -= work;
  return true;
}
void Pools::Bucket::give_back(double work) { level = std::min(capacity, level + work); }
Nanos Pools::Bucket::until(double a_second) const {
  return level > 0 || a_second <= 0 ? 0 : static_cast<Nanos>(-level / a_second * second);
}

Pools::Pool& Pools::pool_of(OpTypeId type, TenantId tenant, PoolId& id) {
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
  const double keep = std::pow(keep_a_second, static_cast<double>(now - pool.at) / second);
  pool.at = now;
  pool.work_a_second *= keep;
  pool.protected_a_second *= keep;
  pool.first_a_second *= keep;
  for (double& over : pool.tenant_over) over *= keep;
}

// Whether a try with this trace came before, of late.
bool Pools::repeats(Nanos now, Digest trace) {
  while (!seen_order_.empty() && (seen_order_.front().first <= now || seen_order_.size() > most_traces)) {
    const auto at = seen_.find(seen_order_.front().second);
    if (at != seen_.end() && at->second <= seen_order_.front().first) seen_.erase(at);
    seen_order_.pop_front();
  }
  if (trace == Digest{}) return false;
  const auto [at, fresh] = seen_.try_emplace(trace, now + trace_life);
  at->second = now + trace_life;
  seen_order_.emplace_back(now + trace_life, trace);
  return !fresh;
}

bool Pools::cheapest(OpTypeId type) const {
  Nanos least = 0;
  for (std::size_t t = 0; t < op_types_; ++t)
    if (const Nanos base = capacity_.base(OpTypeId{static_cast<std::uint32_t>(t)}); base > 0)
      least = least == 0 ? base : std::min(least, base);
  const Nanos own = capacity_.base(type);
  return own == 0 || static_cast<double>(own) <= cheap_reach * static_cast<double>(least);
}

// By the pool's weight, and less the more its tenant has had beyond its quota's part of late.
double Pools::worth_of(const Pool& pool, TenantId tenant) const {
  if (tenant.raw >= quotas_.size()) return pool.weight;
  const double own =
      std::max(1.0, pool.work_a_second * quotas_[tenant.raw] * static_cast<double>(window_) / second);
  const double over = std::max(0.0, pool.tenant_over[tenant.raw] / (over_reach * own) - 1);
  return pool.weight / (1 + over);
}

// ---- ops

Pools::Verdict Pools::came(Nanos now, OpId id, OpTypeId type, TenantId tenant, Digest trace,
                           bool answerable) {
  PoolId pool_id;
  Pool& pool = pool_of(type, tenant, pool_id);
  decay(now, pool);
  ++pool.came;
  const bool again = repeats(now, trace);
  if (again) ++pool.repeats;
  if (answerable) return {};
  const double a_second = capacity_.cores() * second;
  const auto work = static_cast<double>(capacity_.base(type));
  double let_in = 0;
  for (Pool& one : pools_) {
    decay(now, one);
    let_in += one.work_a_second;
  }
  const bool pressed = capacity_.known() && let_in > pressed_from * a_second;
  const auto refuse = [&](Reason why, Nanos come_back) {
    ++pool.refused;
    return Verdict{false, 0, why, std::clamp(come_back, least_come_back, most_come_back)};
  };
  // Over its budget a repeat counts for little: the module turns it away first, at once where there is a
  // line. Refused here it would come back sooner from those who heed nothing, and be read again
  // (docs/pools.md).
  bool over_budget = false;
  if (!again) {
    pool.first_a_second += 1;
    pool.repeats_left = std::min(most_repeats, pool.repeats_left + repeats_part_);
  } else if (pressed) {
    pool.repeats_left =
        std::min(most_repeats, pool.repeats_left + least_repeats_a_second *
                                                       static_cast<double>(now - pool.repeat_at) / second);
    over_budget = pool.repeats_left < 1;
    if (!over_budget) pool.repeats_left -= 1;
  }
  if (again) pool.repeat_at = now;
  Open op{.pool = pool_id, .type = type, .tenant = tenant};
  if (pool.ceiling < 1) {
    pool.ceiling_room.fill(now, pool.ceiling * a_second, window_);
    if (!pool.ceiling_room.take(work))
      return refuse(Reason::ceiling, pool.ceiling_room.until(pool.ceiling * a_second));
    op.work = work;
  }
  bool safe = false;
  if (!over_budget && reserve_part_ > 0 && cheapest(type)) {
    reserve_.fill(now, reserve_part_ * a_second, window_);
    safe = reserve_.take(work);
    if (safe) op.reserve = work;
  }
  if (!over_budget && !safe && pool.floor > 0) {
    pool.floor_room.fill(now, pool.floor * a_second, window_);
    safe = pool.floor_room.take(work);
    if (safe) op.floor = work;
  }
  open_.emplace(id, op);
  const double worth = safe ? protected_worth : worth_of(pool, tenant) * (over_budget ? repeat_worth : 1);
  return {true, worth, Reason::none, 0};
}

void Pools::off_cores(Nanos now, Open& op) {
  if (op.since < 0) return;
  op.on_cores += now - op.since;
  op.since = -1;
}

void Pools::started(Nanos now, OpId id) {
  const auto at = open_.find(id);
  if (at == open_.end() || at->second.running) return;
  Open& op = at->second;
  op.running = true;
  op.since = now;
  capacity_.on_cores(now, ++on_cores_);
  const auto work = static_cast<double>(capacity_.base(op.type));
  Pool& pool = pools_[op.pool.raw];
  decay(now, pool);
  pool.work_a_second += work;
  if (op.floor > 0 || op.reserve > 0) pool.protected_a_second += work;
  // Each tenant is owed its quota's part of what the pool gets; who has had more is over.
  for (std::size_t t = 0; t < quotas_.size(); ++t)
    pool.tenant_over[t] += work * ((t == op.tenant.raw ? 1 : 0) - quotas_[t]);
}
void Pools::at_call(Nanos now, OpId id) {
  const auto at = open_.find(id);
  if (at == open_.end() || at->second.since < 0) return;
  off_cores(now, at->second);
  capacity_.on_cores(now, --on_cores_);
}
void Pools::resumed(Nanos now, OpId id) {
  const auto at = open_.find(id);
  if (at == open_.end() || !at->second.running || at->second.since >= 0) return;
  at->second.since = now;
  capacity_.on_cores(now, ++on_cores_);
}
void Pools::run_over(Nanos now, OpId id) {
  const auto at = open_.find(id);
  if (at == open_.end() || !at->second.running) return;
  Open& op = at->second;
  const int wanted = on_cores_;
  if (op.since >= 0) --on_cores_;
  off_cores(now, op);
  op.running = false;
  capacity_.run_ended(now, op.type, op.on_cores, wanted);
  capacity_.on_cores(now, on_cores_);
  release(id);
}

void Pools::answered(Nanos now, OpId id, bool nacked) {
  const auto at = open_.find(id);
  if (at == open_.end() || at->second.answered) return;
  Open& op = at->second;
  op.answered = true;
  Pool& pool = pools_[op.pool.raw];
  if (nacked && op.on_cores == 0 && !op.running) { // what it took is there for others
    ++pool.refused;
    pool.ceiling_room.give_back(op.work);
    pool.floor_room.give_back(op.floor);
    reserve_.give_back(op.reserve);
  }
  decay(now, pool);
  release(id);
}

void Pools::release(OpId id) {
  const auto at = open_.find(id);
  if (at != open_.end() && at->second.answered && !at->second.running) open_.erase(at);
}

std::vector<Pools::Stats> Pools::stats() const {
  std::vector<Stats> all;
  for (const Pool& pool : pools_)
    all.push_back({pool.name, pool.work_a_second / second, pool.protected_a_second / second, pool.came,
                   pool.refused, pool.repeats});
  return all;
}

template <class Serializer>
void Pools::serialize(Serializer& serializer) {
  const std::size_t here = pools_.size();
  std::size_t there = here;
  serializer(there);
  if (there != here) throw std::invalid_argument("snapshot: other pools than the settings'");
  for (Pool& pool : pools_) {
    serializer(pool.floor_room, pool.ceiling_room, pool.repeats_left, pool.first_a_second, pool.tenant_over,
               pool.work_a_second, pool.protected_a_second, pool.at, pool.repeat_at, pool.came, pool.refused,
               pool.repeats);
    if (pool.tenant_over.size() != quotas_.size())
      throw std::invalid_argument("snapshot: other tenants than the settings'");
  }
  serializer(capacity_, reserve_, on_cores_);
  std::size_t open = open_.size();
  serializer(open);
  const auto each = [&](Open& op) {
    serializer(op.pool, op.type, op.tenant, op.work, op.floor, op.reserve, op.on_cores, op.since, op.running,
               op.answered);
    if (op.pool.raw >= pools_.size()) throw std::invalid_argument("snapshot: an op of no pool");
  };
  if constexpr (Serializer::reads) {
    open_.clear();
    for (; open > 0; --open) {
      OpId id{};
      serializer(id);
      each(open_[id]);
    }
  } else {
    for (auto& [id, op] : open_) {
      OpId copy = id;
      serializer(copy);
      each(op);
    }
  }
  std::size_t traces = seen_order_.size();
  serializer(traces);
  if constexpr (Serializer::reads) {
    seen_.clear(), seen_order_.clear();
    for (; traces > 0; --traces) {
      Nanos end = 0;
      Digest trace;
      serializer(end, trace.high, trace.low);
      seen_order_.emplace_back(end, trace);
      seen_[trace] = end;
    }
  } else {
    for (auto& [end, trace] : seen_order_) serializer(end, trace.high, trace.low);
  }
}

template void Pools::serialize(Writer& serializer);
template void Pools::serialize(Reader& serializer);

} // namespace cometshift
