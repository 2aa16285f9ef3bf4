// The commands of cometshift-scale, a file each. Each adds its subcommand with its options; what it returns
// when run is the program's exit code, kept in `code`: 0 done, 1 a bound that was asked for does not hold, 2
// a file can't be read or written.
#pragma once

#include <CLI/CLI.hpp>

namespace cometshift::scale {

void add_link(CLI::App& app, int& code);    // the link between servers and leases, hollow members
void add_core(CLI::App& app, int& code);    // core and module by tenants, callers, op types, connections
void add_added(CLI::App& app, int& code);   // time that a server adds to an op
void add_control(CLI::App& app, int& code); // control members, hollow, with faults
void add_page(CLI::App& app, int& code);    // docs/CAPACITY.md from kept rows

} // namespace cometshift::scale
