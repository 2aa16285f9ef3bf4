// Reads and validates the configuration file (JSON) and applies defaults.
#pragma once

#include "state.hpp"

namespace cometshift {

// Returns the settings of the decision module (src/settings.hpp) and, beside them: name, listen, vm,
// announce, records (texts), seed_high, seed_low (32 bits each), stop_ns, sockets, memory_mb. Throws
// std::invalid_argument that names the invalid key.
Settings read_configuration(const std::string& path);
Settings parse_configuration(std::string_view json);

} // namespace cometshift
