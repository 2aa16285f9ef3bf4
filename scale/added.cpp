#include "commands.hpp"

namespace cometshift::scale {

void add_added(CLI::App&, int&) {}

} // namespace cometshift::scale
