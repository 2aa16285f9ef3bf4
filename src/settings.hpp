// From the settings of the simulator's first message, which a real server gets in its configuration, to the
// plain map that the module reads. The wire's names of settings end here.
#pragma once

#include "state.hpp"

#include <simdjson.h>

namespace cometshift {

// Throws std::invalid_argument naming a key whose value is of the wrong kind or senseless, with `path`, which
// ends in a dot or is empty, before it. Absent keys stay out, unknown ones are ignored.
Settings parse_settings(const simdjson::dom::object& settings, const std::string& path = {});

} // namespace cometshift
