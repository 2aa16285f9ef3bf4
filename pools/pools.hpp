// Pools by class with a reserve: before the admission of the module (src/decision_module.hpp), which goes on
// deciding what is let in, in which order, and what is turned away. A pool says which ops stand under what
// protection:
//
//   - under its floor, a part of the capacity as observed, its ops are protected: the module turns others
//   away first;
//   - over its ceiling they are nacked at once, with the time to come back;
//   - between the two they count with the pool's weight: room that others leave is lent by itself, and comes
//   back as soon
//     as its owner's ops come, at the latest when a run that took it ends;
//   - the reserve, a part of the capacity for the cheapest ops of any pool, protects those;
//   - repeats, as far as they can be told from first tries, are let in up to a part of the first tries of
//   late.
//
// Within a pool, tenants that have had more than their quota's part of it of late count for less, the more
// the longer. Without pools nothing is changed. No I/O, no clock. Settings (operator file, docs/pools.md):
// "pools.reserve", "pools.window_ns", "pools.estimator", "pools.repeats"; "pool.N.name", ".op_types" and
// ".tenants" (names, one to a line; empty: all), ".weight", ".floor", ".ceiling". Throws
// std::invalid_argument naming a setting that is senseless.
#pragma once

#include "capacity.hpp"
#include "interface.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cometshift {

using PoolId =
    Id<struct PoolIdTag, std::uint32_t>; // index into the pools; the last one is that of all others

class Pools {
 public:
  // `given`: the settings, with the pools' among them.
  Pools(Nanos now, const Settings& settings);
  static bool enabled(const Settings& settings) { return number(settings, "pools.on", 0) != 0; }
  static bool is_setting(std::string_view name) {
    return name.starts_with("pools.") || name.starts_with("pool.");
  }
  // What another object, of other pools at the same server, found of its capacity.
  void adopt_estimate(Nanos now, const Pools& other) {
    capacity_ = other.capacity_;
    capacity_.demand_changed(now, 0);
  }

  struct Admission {
    bool admitted = true;
    double worth = 1; // how much the op counts with the module, as a factor
    Reason reason = Reason::none;
    Nanos retry_after = 0;
  };
  // An op came; `trace` is the same for tries of one op as far as can be told, `answerable`: its first try
  // runs or has run here, so that it costs nothing.
  Admission op_received(Nanos now, OpId id, OpTypeId type, TenantId tenant, Digest fingerprint,
                        bool answered_from_earlier);
  void started(Nanos now, OpId id);
  void call_started(Nanos now, OpId id); // off the cores, and back
  void resumed(Nanos now, OpId id);
  void run_finished(Nanos now, OpId id);
  void answered(Nanos now, OpId id, bool nacked);
  void gauges(double busy_fraction) { capacity_.set_busy_fraction(busy_fraction); }

  double capacity() const { return capacity_.cores(); }
  struct Stats { // of a pool, of late
    std::string name;
    double work = 0; // a second, let in, in cores
    double protected_work = 0;
    std::uint64_t received = 0, refused = 0, repeats = 0;
  };
  std::vector<Stats> stats() const;

  template <class Serializer>
  void serialize(Serializer& serializer);

 private:
  // Work that may be given, refilled by time.
  struct TokenBucket {
    double level = 0, capacity = 0; // ns of base work
    Nanos at = 0;
    void refill(Nanos now, double rate, Nanos window);
    bool take(double work);
    void refund(double work);
    Nanos time_until_available(double rate) const; // something can be taken
    template <class Serializer>
    void serialize(Serializer& serializer) {
      serializer(level, capacity, at);
    }
  };
  struct Pool {
    std::string name;
    std::vector<bool> op_types, tenants; // empty: all
    double weight = 1, floor = 0, ceiling = 1;
    TokenBucket floor_bucket, ceiling_bucket;
    double retry_budget = 0; // tries that may be let in
    double first_tries_per_second = 0;
    Nanos last_repeat_at = 0; // the last repeat
    std::vector<double>
        tenant_excess; // work of late beyond the quota's part of the pool's, in seconds of the pool's work
    double work_rate = 0, protected_work_rate = 0;
    Nanos at = 0;
    std::uint64_t received = 0, refused = 0, repeats = 0;
  };
  struct OpenOp {
    PoolId pool;
    OpTypeId type;
    TenantId tenant;
    double work = 0;    // taken from the ceiling
    double floor = 0;   // of it, from the floor
    double reserve = 0; // of it, from the reserve
    Nanos core_time = 0;
    Nanos on_core_since = -1; // on the cores; -1: not
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
  std::vector<double> quota_shares_; // parts of all, by tenant
  Capacity capacity_;
  double reserve_fraction_;
  double retry_budget_ratio_;
  Nanos window_;
  std::size_t op_types_;
  TokenBucket reserve_bucket_;
  std::map<OpId, OpenOp> open_ops_;
  int running_on_cores_ = 0;
  std::map<Digest, Nanos> fingerprints_; // traces of late, with their ends
  std::deque<std::pair<Nanos, Digest>> fingerprint_expiries_;
};

} // namespace cometshift
