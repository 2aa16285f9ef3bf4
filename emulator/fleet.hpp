// A fleet in simulated time, from one seed, in one thread: servers that are the real `Core` with the real
// module, round each a machine whose cores are shared, slow when crowded and start cold; one dependency that
// slows when crowded; balancers of several habits; clients that try again. It decides nothing and models no
// decision. The four rules are checked from outside at every server. The same seed gives the same bytes on
// any machine.
//
// Times are simulated ns from the beginning of the day.
#pragma once

#include "core.hpp"
#include "demand.hpp"
#include "rules.hpp"

#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace cometshift::emulator {

struct Fault {
  Nanos at = 0, until = 0;
  // crash (a part of the servers, cold when back), stall (cores stand still, the process goes on), slow
  // (speed times `figure`), dependency-slow (times `figure`), dependency-away (part of the calls turned
  // away), late-list (ns more), drain (a part leaves)
  std::string what;
  double part = 1;   // of the servers
  double figure = 0; // what it is
};

struct Day {
  std::uint64_t seed = 1;
  std::size_t servers = 4;
  std::size_t balancers = 4;
  double cores = 2;
  std::vector<double> speeds{1}; // of machines, in turn
  double demand = 1;             // of what the cores can do, in the mean
  Nanos length = 30'000'000'000;
  Nanos list_lag = 1'500'000'000; // until balancers hear of a change
  double resend = 0;              // part of the balancers that resend without limit
  double walks = 1;               // servers more that a balancer tries after a nack
  double heeds = 0.6;             // part of the balancers that heed advice
  int client_tries = 2;
  double read_part = 0.04; // of the mean work, that reading takes
  double warm_ns = 10e9, cold_from = 0.25;
  double dependency_slots = 1.5; // of what the fleet needs at full load
  std::vector<load::Kind> kinds;
  std::vector<double> tenants{0.5, 0.3, 0.2};
  std::vector<double> quotas{0.4, 0.4, 0.2};
  std::vector<Fault> faults;
  Settings more;             // settings beside: pools
  std::size_t queue = 0;     // not 0: a plain queue with this bound in the module's place (plain.hpp)
  std::vector<double> fixed; // with it: parts of slots and bound by op type
};

struct Row {                   // what came of a day
  double service = 0;          // importance in time over importance asked for
  double bound = 0;            // an upper bound of it, that knows all work and what the machines could do
  std::vector<double> in_time; // by op type, part of the requests
  std::vector<std::uint64_t> asked;
  double tries = 0;         // a request
  double least_reserve = 1; // of the cheapest op type, the least part answered in time over any two seconds
  Rules::Broken broken;
  std::vector<std::string> examples;
  std::uint64_t events = 0;
  std::map<std::string, std::uint64_t> reasons;
  // With pools: the capacity that the first server believed, each half second, in cores; and the most work
  // that was protected by the reserve in any two seconds, as a part of that capacity.
  std::vector<double> believed;
};

Row play(const Day& day);

// What the machines could do at the most, in cores, over the day.
double capacity_of(const Day& day);

} // namespace cometshift::emulator
