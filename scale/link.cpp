#include "commands.hpp"

namespace cometshift::scale {

void add_link(CLI::App&, int&) {}

} // namespace cometshift::scale
