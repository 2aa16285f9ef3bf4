// How much a server gets done: an estimate from what it is seen to do, never from a figure that was
// configured. Work is counted in what it takes of one core when all is well (base work), so that a slow or
// cold machine shows as one that gets less of it done. No I/O, no clock.
//
// Three ways, compared in docs/pools.md:
//   throughput  base work of the runs that ended over the time that the cores were wanted all along (Little's
//   law from
//               own figures: what is in service leaves at the rate of the server)
//   gradient    cores that are seen busy, times base work over the work that runs take of late
//   additive    raised by a step while runs take what they should, cut by a part when they take twice
#pragma once

#include "histogram.hpp"
#include "ids.hpp"

#include <vector>

namespace cometshift {

class Capacity {
 public:
  enum class Estimator { throughput, gradient, additive };
  Capacity(Nanos now, Estimator estimator, std::size_t op_types);

  // A run ended with so much time on the cores; `wanted`: of the ops that want a core now, that one among
  // them.
  void run_ended(Nanos now, OpTypeId type, Nanos core_time, int demand);
  void demand_changed(Nanos now, int demand); // whenever it changes
  // The gauge of the cores, 0 to 1.
  void set_busy_fraction(double fraction) { busy_fraction_ = fraction; }

  double cores() const { return estimate_; } // base work a second, in cores; at least a small figure
  Nanos base_work(OpTypeId type) const;      // work of one op; 0: none seen
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
  double demand_area_ = 0;    // cores wanted x time in this window
  Nanos saturated_time_ = 0;  // of it, in which more were wanted than are there
  double completed_work_ = 0; // base work in it
  double slowdown_ = 1;       // of late, work that runs take over their base
  Nanos last_decrease_ = 0;
  Nanos last_completion_ = 0;
};

} // namespace cometshift
