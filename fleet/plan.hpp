// Fault plans: the faults of a run by time, read from a text or drawn from a seed, often two or three at a
// time. No I/O. One fault per line, "SECONDS FAULT [MEMBER [MEMBER]] [VALUE]", in ascending order of time;
// `#` begins a comment. VALUE (F below) is a duration in seconds unless stated otherwise. Member 0 is the one
// that did the last act.
//
// - kill M F: M is killed, and restarted F seconds later
// - drain M F: M is told to drain, and restarted F seconds after it has exited
// - stop M F: M is stopped (SIGSTOP) and continued F seconds later
// - stop-in-act M F: the same, between M's next check of its lease and the act
// - stop-in-plain-act M F: the same, in an act at the target that can't refuse
// - restart-voters F: all voters are killed at once, and restarted after F
// - cut A B F: what A sends to B is held back
// - cut-out M F, cut-in M F, cut-off M F: what M sends to all, receives from all, or both
// - cut-voters M F, cut-contenders M F: both ways between M and the voters, or M and all non-voters
// - split F: the fleet is partitioned in two, odd and even members
// - delay A B F: what A sends to B takes F seconds longer, for two seconds
// - trickle A B F: what A sends to B arrives byte by byte
// - half-open A B: connections from A to B are closed on B's side only
// - reset A B: connections from A to B are reset within a frame
// - spoil A B: one byte of what A sends to B is changed
// - act-late M F: what M sends to the target that can refuse is held back
// - clock-rate M F: M's clock runs at rate F from then on
// - clock-jump M F: M's clock jumps by F seconds
// - clock-both M F: both clocks of M run at rate F. This exceeds what leases assume: the checker has to find
//   the violations
// - voters M F: from then on M and the members after it vote, as many as before; the operator files are
//   rewritten within F seconds. Skipped while the previous voter list is not settled
// - twin M F: a second process is started under M's number, and killed F seconds and two terms later
#pragma once

#include "leases.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace cometshift::fleet {

// One fault; `a` and `b` are the members of its line.
struct Fault {
  Nanos at = 0; // since the start of the run
  std::string kind;
  unsigned a = 0, b = 0;
  double value = 0;
};

// Throws std::invalid_argument with the message "FILE:LINE: REASON".
std::vector<Fault> parse_plan(std::string_view text, const std::string& file, unsigned members);
// The inverse of parse_plan().
std::string format_plan(const std::vector<Fault>& plan);

// Parameters of a random plan.
struct RandomPlanOptions {
  std::uint64_t seed = 1;
  unsigned members = 5, voters = 3;
  Nanos length = 0, term = 0;
  double faults_per_minute = 60;
  double drift = 0.01;     // bound of the clock rates that are drawn
  bool kills_only = false; // kills of the holder only, with time to recover in between
};
// The same options give the same plan.
std::vector<Fault> random_plan(const RandomPlanOptions& options);

} // namespace cometshift::fleet
