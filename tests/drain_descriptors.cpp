// Guards against requests that are lost as the listener closes while no descriptor is free: the connections
// that waited in the backlog were reset with what their callers had written.
#include "driver.hpp"
#include "front.hpp"

#include <asio/io_context.hpp>

namespace {

constexpr Nanos second = 1000 * ms;
constexpr Nanos drain_delay = second / 2;

struct CountingHandler final : Front::Handler {
  std::vector<StreamRef> streams;
  void op_received(StreamRef ref, OpId, OpTypeId, TenantId, CallerId, Nanos, Nanos, double, double,
                   std::string_view, std::string_view, std::string_view) override {
    streams.push_back(ref);
  }
  void stream_lost(StreamRef) override {}
};

struct Fixture {
  asio::io_context io;
  CountingHandler handler;
  Nanos now = second;
  Clock clock{[this] { return now; }};
  Front front{io,     TestConnection::at(5050), 24, 64 * 1024, {{"look"}, {false}, {"acme"}, true}, clock,
              handler};
  bool draining = false;

  Fixture() {
    front.accept_retry_delay(ms);
    front.set_eviction_order({Eviction::no_frame, Eviction::idle, Eviction::newest}, 8);
    front.connection_drain_delay(drain_delay);
    TestConnection::turn = [this] { turn(); };
  }
  ~Fixture() {
    TestConnection::turn = [] {};
  }
  void turn() {
    io.restart();
    io.poll();
    if (draining) front.stop_accepting();
    front.flush();
  }
  // Turns for longer than the delay of a retry.
  void pass(Nanos time) {
    now += time;
    for (int i = 0; i < 3; ++i) {
      usleep(2000);
      turn();
    }
  }
};

const char* yes_or_no(bool yes) { return yes ? "yes" : "no"; }

std::vector<TestConnection> pending_requests(int count) {
  std::vector<TestConnection> callers;
  for (int i = 0; i < count; ++i) {
    callers.push_back(TestConnection::connect_without_turn(5050));
    callers.back().send_without_turn(ask(1, "9b1f03aa5c7e2d41"));
  }
  return callers;
}

void test_descriptors_become_free() {
  std::puts(
      "# no descriptor is free as the listener closes: what is pending is read once connections have ended");
  Fixture b;
  std::vector<TestConnection> resting;
  for (int i = 0; i < 3; ++i) resting.push_back(TestConnection::to(5050));
  std::vector<TestConnection> callers = pending_requests(3);
  {
    const NoFreeDescriptors none;
    b.draining = true;
    b.pass(0);
    std::printf("  %zu read at first, %zu connections\n", b.handler.streams.size(), b.front.connections());
    b.pass(drain_delay);
    b.pass(0);
    std::printf("  %zu read after the drain delay\n", b.handler.streams.size());
  }
  for (const StreamRef ref : b.handler.streams) b.front.refused(ref, 0, false);
  b.turn();
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
  Fixture b;
  std::vector<TestConnection> callers = pending_requests(1);
  const NoFreeDescriptors none;
  b.draining = true;
  b.pass(0);
  std::printf("  the drain has ended: %s\n", yes_or_no(b.front.closed()));
  b.pass(drain_delay);
  std::printf("  after the drain delay: %s\n", yes_or_no(b.front.closed()));
}

} // namespace

int main() {
  test_descriptors_become_free();
  test_descriptors_stay_used();
}
