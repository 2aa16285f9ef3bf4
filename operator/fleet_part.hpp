// The fleet section of the operator file: its members, which of them vote on leases, and the tasks of the
// fleet. Internal to operator/.
#pragma once

#include "checker.hpp"

namespace cometshift::operator_file {

constexpr double max_member_number =
    65'535; // the lowest bits of a fencing token hold a member number (leases/)

// Stores the settings under "fleet.": keys of `own`, "fleet.member.N.number", ".address", ".voter" and
// ".previous_voter", and "fleet.task.N.name", ".call", ".every_ns", ".limit_ns", ".fences", ".priority",
// ".most_an_hour" and ".catch_up".
void parse_fleet(Checker& checker, Settings& settings, const Node& node, const std::vector<Key>& own);

} // namespace cometshift::operator_file
