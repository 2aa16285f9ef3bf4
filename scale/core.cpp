#include "commands.hpp"

namespace cometshift::scale {

void add_core(CLI::App&, int&) {}

} // namespace cometshift::scale
