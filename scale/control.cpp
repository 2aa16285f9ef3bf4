#include "commands.hpp"

namespace cometshift::scale {

void add_control(CLI::App&, int&) {}

} // namespace cometshift::scale
