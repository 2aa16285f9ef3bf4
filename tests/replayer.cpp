// Minimal replay program that CMakeLists.txt builds in several variants: without optimisation, and with
// changed sources.
#include "format.hpp"
#include "report.hpp"

#include <string_view>

int main(int argc, char** argv) {
  try {
    if (argc > 2 && std::string_view(argv[1]) == "--compare")
      return cometshift::compare_report({argv + 2, argv + argc}, stdout);
    return cometshift::replay_report({argv + 1, argv + argc}, 1, stdout);
  } catch (const cometshift::Unreadable& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 2;
  }
}
