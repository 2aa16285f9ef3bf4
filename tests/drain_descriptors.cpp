// Guards against requests that are lost as the listener closes while no descriptor is free: the connections
// that waited in the backlog were reset with what their callers had written.
#include "front_fixture.hpp"

namespace {

constexpr std::size_t max_connections = 24;

// Turns for longer than the delay of a retry.
void pass(FrontFixture& b, Nanos time) {
  b.now += time;
  for (int i = 0; i < 3; ++i) {
    usleep(2000);
    b.turn();
  }
}

void test_descriptors_become_free() {
  std::puts(
      "# no descriptor is free as the listener closes: what is pending is read once connections have ended");
  FrontFixture b(max_connections);
  std::vector<TestConnection> resting;
  for (int i = 0; i < 3; ++i) resting.push_back(TestConnection::to(5050));
  std::vector<TestConnection> callers = pending_requests(3);
  {
    const NoFreeDescriptors none;
    b.draining = true;
    pass(b, 0);
    std::printf("  %zu read at first, %zu connections\n", b.handler.streams.size(), b.front.connections());
    pass(b, drain_delay);
    pass(b, 0);
    std::printf("  %zu read after the drain delay\n", b.handler.streams.size());
  }
  b.refuse_all();
  for (TestConnection& caller : callers) {
    if (caller.was_reset()) {
      std::puts("  reset");
      continue;
    }
    for (int i = 0; i < 2; ++i) std::printf("  %s\n", caller.frame().c_str());
  }
  callers.clear(), resting.clear();
  TestConnection::until("end of the drain", [&] { return b.front.closed(); });
  std::puts("  the drain has ended");
}

void test_descriptors_stay_used() {
  std::puts(
      "# no descriptor is ever free: once no connection is left that could free one, the listener closes");
  FrontFixture b(max_connections);
  std::vector<TestConnection> callers = pending_requests(1);
  const NoFreeDescriptors none;
  b.draining = true;
  pass(b, 0);
  std::printf("  the drain has ended: %s\n", yes_or_no(b.front.closed()));
  pass(b, drain_delay);
  std::printf("  after the drain delay: %s\n", yes_or_no(b.front.closed()));
}

} // namespace

int main() {
  test_descriptors_become_free();
  test_descriptors_stay_used();
}
