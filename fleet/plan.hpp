// Faults of a fleet by time: read from a text, or drawn from a seed, two or three at a time. No I/O. A line
// each, "SECONDS WHAT [MEMBER [MEMBER]] [FIGURE]", in the order of their times; `#` begins a comment. FIGURE:
// how long it lasts, in seconds, or what the fault says. A member of 0 is whoever did the last act.
//
// - kill M F: killed, started again F seconds later; drain M F: told to leave, started again so long after it
// went
// - stop M F: stopped and continued; stop-in-act M F: between its next check and what it does
// - restart-voters F: all of them killed at once, started again after F
// - cut A B F: what A says to B is held; cut-out M F, cut-in M F, cut-off M F: to all, from all, both
// - cut-voters M F, cut-contenders M F: between M and the voters, or all others, both ways; split F: the
// fleet in two, odd and even
// - delay A B F: what A says to B takes F seconds longer, for two seconds; trickle A B F: byte by byte
// - half-open A B F: connections from A to B end on B's side only
// - reset A B, spoil A B: connections reset within a frame, one byte changed
// - act-late M F: what M sends to the referee that can refuse is held
// - clock-rate M F, clock-jump M F: of its clock from then on; F seconds further
// - clock-both M F: the rate of both clocks that it has; beyond what is assumed, so that the judge is seen to
// see
// - voters M F: from now on M and the next ones vote, as many as did; the files come within F seconds. Passed
// over
//   while the list before it is not settled
// - twin M F: a second process under M's number
#pragma once

#include "leases.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace cometshift::fleet {

struct Fault {
  Nanos at = 0; // from the beginning
  std::string kind;
  unsigned a = 0, b = 0;
  double value = 0;
};

// Throws std::invalid_argument: "FILE:LINE: what".
std::vector<Fault> parse_plan(std::string_view text, const std::string& file, unsigned members);
std::string format_plan(const std::vector<Fault>& plan);

struct RandomPlanOptions {
  std::uint64_t seed = 1;
  unsigned members = 5, voters = 3;
  Nanos length = 0, term = 0;
  double faults_per_minute = 60; // faults
  double drift = 0.01;           // clocks stay within it
  bool kills_only = false;       // of the holder, with time to recover between
};
std::vector<Fault> random_plan(const RandomPlanOptions& options);

} // namespace cometshift::fleet
