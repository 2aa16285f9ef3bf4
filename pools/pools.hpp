// Pools of capacity by op type and tenant, with a reserve. They act before the admission of the decision
// module (src/decision_module.hpp), which still decides what is admitted, in which order, and what is turned
// away. A pool determines how its ops are protected:
//
//   - below its floor, a fraction of the observed capacity, its ops are protected: the module turns
//     others away first;
//   - above its ceiling they are nacked at once, with a time to retry after;
//   - between the two they count with the pool's weight: capacity that other pools leave unused is lent
//     automatically and returns as soon as its owner's ops arrive, at the latest when a run that took
//     it ends;
//   - the reserve, a fraction of the capacity for the cheapest ops of any pool, protects those;
//   - retries, as far as they can be told from first tries, are admitted up to a fraction of the recent
//     first tries.
//
// Within a pool, tenants that have recently received more than their quota's share of it count for less, the
// more the longer. Without pools nothing changes. No I/O, no clock. Settings (operator file, docs/pools.md):
// "pools.reserve", "pools.window_ns", "pools.estimator", "pools.repeats"; "pool.N.name", ".op_types" and
// ".tenants" (names, one to a line; empty: all), ".weight", ".floor", ".ceiling". Throws
// std::invalid_argument naming an invalid setting.
#pragma once

#include "capacity.hpp"
#include "interface.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cometshift {

using PoolId = Id<struct PoolIdTag, std::uint32_t>; // index into the pools; the last pool takes all other ops

// The pools of one server.
class Pools {
 public:
  // `settings`: all settings, including those of the pools.
  Pools(Nanos now, const Settings& settings);
  static bool enabled(const Settings& settings) { return number(settings, "pools.on", 0) != 0; }
  static bool is_setting(std::string_view name) {
    return name.starts_with("pools.") || name.starts_with("pool.");
  }
  // Takes over the capacity estimate of an object with other pools on the same server.
  void adopt_estimate(Nanos now, const Pools& other) {
    capacity_ = other.capacity_;
    capacity_.demand_changed(now, 0);
  }

  // Whether an op may pass on to the decision module.
  struct Admission {
    bool admitted = true;
    double worth = 1; // factor on the op's value in the decision module
    Reason reason = Reason::none;
    Nanos retry_after = 0;
  };
  // An op was received. `fingerprint` is the same for tries of one op, as far as they can be recognised.
  // `answered_from_earlier`: an earlier try is running or has run here, so this one costs nothing.
  Admission op_received(Nanos now, OpId id, OpTypeId type, TenantId tenant, Digest fingerprint,
                        bool answered_from_earlier);
  void started(Nanos now, OpId id);
  void call_started(Nanos now, OpId id); // the run leaves the cores for a call, and `resumed` returns
  void resumed(Nanos now, OpId id);
  void run_finished(Nanos now, OpId id);
  void answered(Nanos now, OpId id, bool nacked);
  void gauges(double busy_fraction) { capacity_.set_busy_fraction(busy_fraction); }

  double capacity() const { return capacity_.cores(); }
  struct Stats { // recent figures of a pool
    std::string name;
    double work = 0; // work admitted per second, in cores
    double protected_work = 0;
    std::uint64_t received = 0, refused = 0, repeats = 0;
  };
  std::vector<Stats> stats() const;

  template <class Serializer>
  void serialize(Serializer& serializer);

 private:
  // A token bucket of work, refilled with time.
  struct TokenBucket {
    double level = 0, capacity = 0; // ns of base work
    Nanos refilled_at = 0;
    void refill(Nanos now, double rate, Nanos window);
    bool take(double work);
    void refund(double work);
    Nanos time_until_available(double rate) const; // time until something can be taken
    template <class Serializer>
    void serialize(Serializer& serializer) {
      serializer(level, capacity, refilled_at);
    }
  };
  struct Pool {
    std::string name;
    std::vector<bool> op_types, tenants; // empty: all
    double weight = 1, floor = 0, ceiling = 1;
    TokenBucket floor_bucket, ceiling_bucket;
    double retry_budget = 0; // retries that may be admitted
    double first_tries_per_second = 0;
    Nanos last_repeat_at = 0;
    std::vector<double> tenant_excess; // recent work beyond the quota's share of the pool, in ns of base work
    double work_rate = 0, protected_work_rate = 0;
    Nanos decayed_at = 0; // when the decaying rates were last updated
    std::uint64_t received = 0, refused = 0, repeats = 0;
  };
  struct OpenOp {
    PoolId pool;
    OpTypeId type;
    TenantId tenant;
    double work = 0;    // taken from the ceiling's bucket
    double floor = 0;   // taken from the floor's bucket
    double reserve = 0; // taken from the reserve's bucket
    Nanos core_time = 0;
    Nanos on_core_since = -1; // -1: not on the cores
    bool running = false, answered = false;
  };
  Pool& find_pool(OpTypeId type, TenantId tenant, PoolId& id);
  bool is_repeat(Nanos now, Digest fingerprint);
  void decay(Nanos now, Pool& pool);
  double worth_of(const Pool& pool, TenantId tenant) const;
  bool is_cheapest(OpTypeId type) const;
  void erase_if_finished(OpId id);
  void pause_core_time(Nanos now, OpenOp& op);

  std::vector<Pool> pools_;
  std::vector<double> quota_shares_; // fractions of the sum, by tenant
  Capacity capacity_;
  double reserve_fraction_;
  double retry_budget_ratio_;
  Nanos window_;
  std::size_t op_types_;
  TokenBucket reserve_bucket_;
  std::map<OpId, OpenOp> open_ops_;
  int running_on_cores_ = 0;
  std::map<Digest, Nanos> fingerprints_; // recent fingerprints and when they expire
  std::deque<std::pair<Nanos, Digest>> fingerprint_expiries_;
};

} // namespace cometshift
