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
  enum class By { throughput, gradient, additive };
  Capacity(Nanos now, By by, std::size_t op_types);

  // A run ended with so much time on the cores; `wanted`: of the ops that want a core now, that one among
  // them.
  void run_ended(Nanos now, OpTypeId type, Nanos on_cores, int wanted);
  void on_cores(Nanos now, int wanted); // whenever it changes
  // The gauge of the cores, 0 to 1.
  void busy(double part) { busy_ = part; }

  double cores() const { return estimate_; } // base work a second, in cores; at least a small figure
  Nanos base(OpTypeId type) const;           // work of one op; 0: none seen
  bool known() const { return known_; }

  template <class Serializer>
  void serialize(Serializer& serializer) {
    serializer(busy_, estimate_, known_, window_from_, wanted_, wanted_since_, wanted_area_, full_time_,
               done_, ratio_, last_cut_, last_done_);
    for (Type& type : types_) serializer(type.base, type.recent, type.seen);
  }

 private:
  struct Type {
    Nanos base = 0;
    Histogram recent{24};
    float seen = 0;
  };
  void pass_to(Nanos now);
  void count(Nanos now);

  By by_;
  std::vector<Type> types_;
  double busy_ = 0;
  double estimate_;
  bool known_ = false;
  Nanos window_from_;
  int wanted_ = 0;
  Nanos wanted_since_;
  double wanted_area_ = 0; // cores wanted x time in this window
  Nanos full_time_ = 0;    // of it, in which more were wanted than are there
  double done_ = 0;        // base work in it
  double ratio_ = 1;       // of late, work that runs take over their base
  Nanos last_cut_ = 0;
  Nanos last_done_ = 0;
};

} // namespace cometshift
