// The operator file's part on the fleet: who its members are, who of them votes on leases, which tasks are
// the whole fleet's. For operator.cpp only.
#pragma once

#include "checker.hpp"

namespace cometshift::operator_file {

constexpr double max_member_number = 65'535; // a token's lowest bits hold a member's number (leases/)

// Into "fleet.", with "fleet.member.N.number", ".address", ".voter", ".previous_voter" and
// "fleet.task.N.name", ".call",
// ".every_ns", ".limit_ns", ".fences", ".priority", ".most_an_hour", ".catch_up".
void parse_fleet(Checker& checker, Settings& settings, const Node& node, const std::vector<Key>& own);

} // namespace cometshift::operator_file
