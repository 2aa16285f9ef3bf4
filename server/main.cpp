// cometshift: one real server, as the configuration that RELAY_CONFIG names has it.
#include "configuration.hpp"
#include "host.hpp"

#include <cstdio>
#include <cstdlib>

int main() {
  try {
    const char* path = std::getenv("RELAY_CONFIG");
    if (!path || !*path) throw std::invalid_argument("RELAY_CONFIG: missing");
    cometshift::Host(cometshift::read_configuration(path), path).serve();
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "cometshift: %s\n", e.what());
    return 1;
  }
}
