// Settings that are missing or invalid are reported by name.
#include "driver.hpp"

static void build(std::initializer_list<Settings::value_type> more,
                  std::initializer_list<const char*> without) {
  try {
    Driver s(more, without);
    s.section("accepted");
  } catch (const std::exception& e) {
    std::puts(e.what());
  }
}

int main() {
  build({}, {"cores"});
  build({{"cores", 0.0}}, {});
  build({{"op_type.1.op_timeout_ns", -4e9}}, {});
  build({{"warm_after_ns", -1.0}}, {});
  build({{"memory_kb", std::string("much")}}, {});
  build({}, {"drain_grace_ns"});
  build({}, {"op_type.0.op_timeout_ns", "op_type.1.op_timeout_ns"});
  build({}, {"gauge.0", "callers", "key_kb", "run_factor", "fleet_size", "op_type.1.importance"});
}
