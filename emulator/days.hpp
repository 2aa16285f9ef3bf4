// Days that tests and the lab share: a plain one, and one of random size, habits and troubles from its seed.
#pragma once

#include "fleet.hpp"

namespace cometshift::emulator {

Settings usual_pools(); // bookings with a floor, a small reserve, few repeats
Day usual_day(std::uint64_t seed);
// Two troubles, at times overlapping; every second one with pools, at times changed under load.
Day random_day(std::uint64_t seed);

} // namespace cometshift::emulator
