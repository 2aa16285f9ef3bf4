// Where the configuration is read, checked and given defaults.
#pragma once

#include "state.hpp"

namespace cometshift {

// What the module is given (src/settings.hpp) and beside it: name, listen, vm, announce, records (texts),
// seed_high, seed_low (32 bits each), stop_ns, sockets, memory_mb. Throws std::invalid_argument naming the
// faulty key.
Settings read_configuration(const std::string& path);
Settings parse_configuration(std::string_view json);

} // namespace cometshift
