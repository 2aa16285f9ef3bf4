// An experiment: a KDL file that names a fleet, a day, its faults, what varies, the seeds, and the policies
// compared. The one place where such a file is read and checked; docs/lab.md has its names.
#pragma once

#include "fleet.hpp"

#include <string>
#include <vector>

namespace cometshift::lab {

struct Policy {
  std::string name;
  Settings settings;         // of pools
  std::size_t queue = 0;     // a plain queue with this bound in the module's place; 0: none
  std::vector<double> fixed; // with it: parts by op type
};

struct Experiment {
  std::string name;
  emulator::Day day;
  std::uint64_t seeds = 5;
  std::string varies;         // "demand", "resend", "servers", ...; empty: nothing
  std::vector<double> values; // of it
  std::vector<Policy> policies;
};

// Throws kdl::Wrong with file, line and column.
std::vector<Experiment> experiments_in(const std::string& text, const std::string& file);

// One play: the day with the seed, the value and the policy put in.
emulator::Day day_of(const Experiment& experiment, const Policy& policy, double value, std::uint64_t seed);

} // namespace cometshift::lab
