// Translates the settings of the configuration file, or of the simulator's first message, to the flat map
// that the decision module reads. The outer names of settings are used only here.
#pragma once

#include "state.hpp"

#include <simdjson.h>

namespace cometshift {

// Reads the settings in `source`. `path` is empty or ends in a dot, and precedes the key in error messages.
// Absent keys are left out and unknown keys are ignored. Throws std::invalid_argument naming the key whose
// value is of the wrong type or out of range.
Settings parse_settings(const simdjson::dom::object& source, const std::string& path = {});

} // namespace cometshift
