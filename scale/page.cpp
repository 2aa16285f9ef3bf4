#include "commands.hpp"

namespace cometshift::scale {

void add_page(CLI::App&, int&) {}

} // namespace cometshift::scale
