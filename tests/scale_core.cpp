// Counts of the core by sizes, held to their exponents. Built with a core and a module that tell their steps
// (tests/CMakeLists.txt).
#include "core_counts.hpp"

int main() { return cometshift::scale::count_core(stdout, stderr); }
