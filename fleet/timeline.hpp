// A run as a picture: a row for each member with what it held and did, and the faults on it. SVG.
#pragma once

#include "judge.hpp"
#include "plan.hpp"

namespace cometshift::fleet {

std::string timeline(const ExclusionChecker& checker, const std::vector<Fault>& faults, unsigned members,
                     Nanos length);

} // namespace cometshift::fleet
