// Renders a run as SVG: a row for each member with its acts and holdings, and the faults that affected it.
#pragma once

#include "judge.hpp"
#include "plan.hpp"

namespace cometshift::fleet {

std::string timeline(const ExclusionChecker& checker, const std::vector<Fault>& faults, unsigned members,
                     Nanos length);

} // namespace cometshift::fleet
