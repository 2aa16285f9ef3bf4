// Guards against a drain that never ends: clients that reconnect faster than they are accepted kept the
// server in the loop that empties the backlog as the listener closes, and no op was answered any more.
#include "reconnecting_clients.hpp"
#include "server_fixture.hpp"

#include <algorithm>
#include <asio/io_context.hpp>

namespace {

constexpr Nanos second = 1000 * ms;
constexpr std::size_t max_connections = 160;
constexpr std::size_t small_table = 24;
// The grace is 1 s, as the fixture configures it; its end is noticed within 20 ms.
constexpr std::chrono::milliseconds just_before_grace_ends{950}, just_after_grace_ended{1030};
constexpr std::chrono::milliseconds time_to_kill{3200};
constexpr int accepts_per_turn = 64;       // docs/on-call.md
constexpr int max_pending = SOMAXCONN + 1; // connections that a backlog holds
constexpr int pending_requests = 100;      // more than are accepted in a turn

const char* yes_or_no(bool yes) { return yes ? "yes" : "no"; }

struct CountingHandler final : Front::Handler {
  std::vector<StreamRef> streams;
  void op_received(StreamRef ref, OpId, OpTypeId, TenantId, CallerId, Nanos, Nanos, double, double,
                   std::string_view, std::string_view, std::string_view) override {
    streams.push_back(ref);
  }
  void stream_lost(StreamRef) override {}
};

// Silent clients fill a small table within the turn in which the listener closes, before a request is
// accepted.
void test_small_table() {
  std::puts("# more silent clients than the table holds are pending before a request as the listener closes");
  asio::io_context io;
  CountingHandler handler;
  Clock clock{[] { return second; }};
  Front front{
      io,     TestConnection::at(5050), small_table, 64 * 1024, {{"look"}, {false}, {"acme"}, true}, clock,
      handler};
  front.set_eviction_order({Eviction::no_frame, Eviction::idle, Eviction::newest}, 8);
  front.connection_drain_delay(second / 2);
  std::vector<TestConnection> silent;
  for (std::size_t i = 0; i < 2 * small_table; ++i)
    silent.push_back(TestConnection::connect_without_turn(5050));
  TestConnection caller = TestConnection::connect_without_turn(5050);
  caller.send_without_turn(ask(1, "9b1f03aa5c7e2d41"));
  front.stop_accepting();
  std::printf("  %zu request was read\n", handler.streams.size());
  for (const StreamRef ref : handler.streams) front.refused(ref, 0, false);
  front.flush();
  for (int i = 0; i < 2; ++i) std::printf("  %s\n", caller.frame().c_str());
}

bool listener_is_closed() { return TestConnection::connect_without_turn(5050).refused(); }

void test_listener() {
  std::puts("# the listener closes while the backlog is never empty");
  asio::io_context io;
  CountingHandler handler;
  Nanos now = second;
  Clock clock{[&] { return now; }};
  Front front{io,
              TestConnection::at(5050),
              max_connections,
              64 * 1024,
              {{"look"}, {false}, {"acme"}, true},
              clock,
              handler};
  front.accept_retry_delay(ms);
  front.set_eviction_order({Eviction::no_frame, Eviction::idle, Eviction::newest}, 8);
  front.connection_drain_delay(second / 2);

  std::vector<TestConnection> callers;
  for (int i = 0; i < pending_requests; ++i) {
    callers.push_back(TestConnection::connect_without_turn(5050));
    callers.back().send_without_turn(ask(1, "9b1f03aa5c7e2d41"));
  }
  int turns = 0, most_accepts = 0;
  {
    const ReconnectingClients clients;
    for (bool closed = false; !closed && !clients.exhausted(); ++turns) {
      const int accepts_before = ReconnectingClients::accepts;
      front.stop_accepting();
      io.restart();
      io.poll();
      front.flush();
      most_accepts = std::max(most_accepts, ReconnectingClients::accepts - accepts_before);
      closed = listener_is_closed();
    }
  }
  std::printf("  closed after no more connections than a backlog holds: %s\n",
              yes_or_no(ReconnectingClients::accepts <= max_pending + turns)); // one of the test in each turn
  std::printf("  in each turn at most %d were accepted: %s\n", accepts_per_turn,
              yes_or_no(most_accepts <= accepts_per_turn));
  std::printf("  %zu of %d pending requests were read\n", handler.streams.size(), pending_requests);

  for (const StreamRef ref : handler.streams) front.refused(ref, 0, false);
  std::size_t answered = 0, resets = 0;
  TestConnection::turn = [&] {
    now += second / 8;
    io.restart();
    io.poll();
    front.flush();
  };
  for (TestConnection& caller : callers) {
    const std::string first = caller.frame(), last = caller.frame();
    answered += first.starts_with("answer on 1: code 14") || last.starts_with("answer on 1: code 14");
    caller.to_end();
    resets += caller.was_reset();
  }
  std::printf("  %zu of them were answered, %zu connections were reset\n", answered, resets);
  callers.clear();
  TestConnection::until("end of the drain", [&] { return front.closed(); });
  std::puts("  the drain has ended");
  TestConnection::turn = [] {};
}

void test_server() {
  std::puts(
      "# a server drains meanwhile, and a reload moves its addresses: a run that was under way is answered");
  ServerFixture b("3200");
  TestConnection interpreters = TestConnection::listening(7301),
                 announce_services = TestConnection::listening(2380),
                 records_services = TestConnection::listening(5433);
  b.link_up();
  b.ask(1, "9b1f03aa5c7e2d41");
  const std::string started = b.command();
  std::printf("  started: %s\n", yes_or_no(started.find("APPLY") != std::string::npos));
  const auto noticed = std::chrono::steady_clock::now();
  const auto since_notice = [noticed] { return std::chrono::steady_clock::now() - noticed; };
  b.host->stop();
  while (since_notice() < just_before_grace_ends) TestConnection::turn();
  {
    const ReconnectingClients clients;
    for (bool reloaded = false; !listener_is_closed() && !clients.exhausted();) {
      TestConnection::turn();
      if (reloaded || since_notice() < just_after_grace_ended) continue;
      reloaded = true;
      std::printf("  the listener closes as the reload comes: %s\n", yes_or_no(!listener_is_closed()));
      ServerFixture::reload_with(ServerFixture::json("3200", 1));
    }
    std::printf("  the listener closed by itself: %s\n", yes_or_no(!clients.exhausted()));
  }
  b.interpreter = interpreters.next();
  std::printf("  link there: %s\n", b.command().c_str());
  b.last_query.clear();
  b.link_up();
  b.notice(1, "VALUE", "9b1f03aa5c7e2d41", ",\"code\":\"fine\",\"wall_ms\":900,\"content\":\"cmVzdWx0\"");
  for (int i = 0; i < 2; ++i) std::printf("  %s\n", b.balancer.frame().c_str());
  TestConnection::until("end of the drain", [&] { return b.finished; });
  std::printf("  the server ended before the kill: %s\n", yes_or_no(since_notice() < time_to_kill));
}

} // namespace

int main() {
  test_listener();
  test_small_table();
  test_server();
}
