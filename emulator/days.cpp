#include "days.hpp"

namespace cometshift::emulator {

namespace {
constexpr Nanos ms = 1'000'000;
constexpr Nanos second = 1000 * ms;
} // namespace

Settings usual_pools() {
  return {{"pools.on", 1.0},        {"pools.reserve", 0.05},     {"pools.repeats", 0.05},
          {"pools.window_ns", 1e9}, {"pool.0.name", "bookings"}, {"pool.0.op_types", "booking\n"},
          {"pool.0.floor", 0.8}};
}

Day usual_day(std::uint64_t seed) {
  Day day;
  day.seed = seed;
  day.servers = 4;
  day.length = 12 * second;
  day.kinds = {{.name = "bay-check",
                .part = 0.62,
                .work_us = 60'000,
                .calls = 1,
                .importance = 1,
                .target = 700 * ms,
                .limit = 1800 * ms,
                .keyed = false},
               {.name = "booking",
                .part = 0.38,
                .work_us = 100'000,
                .calls = 2,
                .importance = 2,
                .target = 1200 * ms,
                .limit = 3000 * ms,
                .keyed = true}};
  return day;
}

Day random_day(std::uint64_t seed) {
  Day day = usual_day(seed);
  Pcg chance(seed * 31 + 7);
  day.servers = 2 + chance.next() % 5;
  day.balancers = 2 + chance.next() % 8;
  day.demand = 0.5 + 1.6 * chance.unit();
  day.resend = chance.unit() < 0.4 ? chance.unit() : 0;
  day.walks = chance.next() % 3;
  day.heeds = chance.unit();
  day.speeds = {0.6 + 0.8 * chance.unit(), 0.6 + 0.8 * chance.unit()};
  static const char* const kinds[] = {"crash",           "stall",     "slow",  "dependency-slow",
                                      "dependency-away", "late-list", "drain", "pools"};
  for (int i = 0; i < 2; ++i) {
    Fault fault;
    fault.what = kinds[chance.next() % 8];
    fault.at = static_cast<Nanos>((1 + 6 * chance.unit()) * second);
    fault.until = fault.at + static_cast<Nanos>((0.5 + 3 * chance.unit()) * second);
    fault.part = 0.25 + 0.5 * chance.unit();
    fault.figure = fault.what == "late-list"         ? 5e9
                   : fault.what == "dependency-slow" ? 2 + 20 * chance.unit()
                                                     : 0.1 + 0.4 * chance.unit();
    if (fault.what == "drain") fault.until = 0;
    day.faults.push_back(fault);
  }
  if (seed % 2 == 0) day.more = usual_pools();
  return day;
}

} // namespace cometshift::emulator
