// A fleet of real processes of the program on loopback, idle of ops, and what they cost by the system's own
// counts: beside it hollow members of the same number are held (link.cpp). Owns the processes; none outlives
// the call.
#pragma once

#include <cstdint>
#include <string>

namespace cometshift::scale {

struct Real {
  std::string server; // the program
  std::string folder; // of configurations and logs
  unsigned members = 20, voters = 5;
  bool link = true;    // else no fleet is set: what a server costs without
  double settle_s = 8; // until they are counted
  double seconds = 20;
  std::uint64_t seed = 1;
};
struct RealRole {
  double cpu_part = 0;     // processor time a second, the system's part included; the mean of the role
  double system_part = 0;  // of it, the system's
  double memory_bytes = 0; // resident, of its own alone (RssAnon)
};
struct RealCost {
  RealRole voter, ordinary;
  double bytes_s = 0, packets_s = 0; // on loopback, all processes of this machine; headers of a link included
  double ended = 0;                  // processes that were gone at the end
};
// Throws std::runtime_error where it can't be run.
RealCost run_real(const Real& real);

} // namespace cometshift::scale
