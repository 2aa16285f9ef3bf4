// Fixture for tests of Front alone: its clock is set by the test, and the ops that it reads are kept.
#pragma once

#include "driver.hpp"
#include "front.hpp"

#include <asio/io_context.hpp>

constexpr Nanos second = 1000 * ms;
constexpr Nanos drain_delay = second / 2;

struct RecordingHandler final : Front::Handler {
  std::vector<StreamRef> streams;
  std::size_t lost = 0;
  void op_received(StreamRef ref, OpId, OpTypeId, TenantId, CallerId, Nanos, Nanos, double, double,
                   std::string_view, std::string_view, std::string_view) override {
    streams.push_back(ref);
  }
  void stream_lost(StreamRef) override { ++lost; }
};

// Listens on port 5050 of the test. While it exists, TestConnection gives it its turns.
struct FrontFixture {
  asio::io_context io;
  RecordingHandler handler;
  Nanos now = second;
  Clock clock{[this] { return now; }};
  Front front;
  bool draining = false; // each turn is one in which the listener is to close

  explicit FrontFixture(std::size_t max_connections)
      : front(io, TestConnection::at(5050), max_connections, 64 * 1024, {{"look"}, {false}, {"acme"}, true},
              clock, handler) {
    front.accept_retry_delay(ms);
    front.set_eviction_order({Eviction::no_frame, Eviction::idle, Eviction::newest}, 8);
    front.connection_drain_delay(drain_delay);
    front.frame_timeout(3 * second / 2);
    front.write_stall_timeout(4 * second);
    TestConnection::turn = [this] { turn(); };
  }
  ~FrontFixture() {
    TestConnection::turn = [] {};
  }
  FrontFixture(const FrontFixture&) = delete;
  FrontFixture& operator=(const FrontFixture&) = delete;

  void turn() {
    io.restart();
    io.poll();
    if (draining) front.stop_accepting();
    front.flush();
  }
  void pass(Nanos time) {
    now += time;
    for (int i = 0; i < 3; ++i) turn();
  }
  void refuse_all() {
    for (const StreamRef ref : handler.streams) front.refused(ref, 0, false);
    turn();
  }
};

inline const char* yes_or_no(bool yes) { return yes ? "yes" : "no"; }

// Connections in the backlog with one request each, which the code under test had no turn to accept.
inline std::vector<TestConnection> pending_requests(int count) {
  std::vector<TestConnection> callers;
  for (int i = 0; i < count; ++i) {
    callers.push_back(TestConnection::connect_without_turn(5050));
    callers.back().send_without_turn(ask(1, "9b1f03aa5c7e2d41"));
  }
  return callers;
}
