// Estimates how much work a server completes, from what it is observed to complete and never from a
// configured figure. Work is measured in the core time that it takes without contention (base work), so a
// slow or cold machine shows as one that completes less of it. No I/O, no clock.
//
// Three estimators, compared in docs/pools.md:
//   throughput  base work of the runs that ended, over the time in which the cores were saturated
//               (Little's law on the server's own figures: saturated, it completes work at its capacity)
//   gradient    mean demand for cores, divided by the recent ratio of core time to base work
//   additive    raised by a step while runs take their base work, cut by a factor when they take twice
//               as long
#pragma once

#include "histogram.hpp"
#include "ids.hpp"

#include <vector>

namespace cometshift {

// Estimate of the server's capacity; one object per server.
class Capacity {
 public:
  enum class Estimator { throughput, gradient, additive };
  Capacity(Nanos now, Estimator estimator, std::size_t op_types);

  // A run ended after `core_time` on the cores. `demand`: the number of ops that want a core, including this
  // one.
  void run_ended(Nanos now, OpTypeId type, Nanos core_time, int demand);
  void demand_changed(Nanos now, int demand); // call whenever the demand changes
  // Fraction of the cores that is busy, 0 to 1.
  void set_busy_fraction(double fraction) { busy_fraction_ = fraction; }

  double cores() const { return estimate_; } // base work per second, in cores; never below a small minimum
  Nanos base_work(OpTypeId type) const;      // base work of one op; 0: not known yet
  // Whether anything was observed, so that `cores` is more than the initial value.
  bool has_estimate() const { return has_estimate_; }

  template <class Serializer>
  void serialize(Serializer& serializer) {
    serializer(busy_fraction_, estimate_, has_estimate_, window_started_at_, demand_, demand_since_,
               demand_area_, saturated_time_, completed_work_, slowdown_, last_decrease_, last_completion_);
    for (Type& type : types_) serializer(type.base_work, type.recent, type.runs_seen);
  }

 private:
  struct Type {
    Nanos base_work = 0;
    Histogram recent{24};
    float runs_seen = 0;
  };
  void advance_to(Nanos now);
  void close_window(Nanos now);

  Estimator estimator_;
  std::vector<Type> types_;
  double busy_fraction_ = 0;
  double estimate_;
  bool has_estimate_ = false;
  Nanos window_started_at_;
  int demand_ = 0;
  Nanos demand_since_;
  double demand_area_ = 0;    // integral of demand over time in this window
  Nanos saturated_time_ = 0;  // part of the window in which the cores were saturated
  double completed_work_ = 0; // base work completed in this window
  double slowdown_ = 1;       // recent ratio of a run's core time to its base work
  Nanos last_decrease_ = 0;
  Nanos last_completion_ = 0;
};

} // namespace cometshift
