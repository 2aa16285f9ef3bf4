// Guards against a drain that never ends: clients that reconnect faster than they are accepted kept the
// server in the loop that empties the backlog as the listener closes, and no op was answered any more.
#include "front_fixture.hpp"
#include "reconnecting_clients.hpp"
#include "server_fixture.hpp"

#include <algorithm>

namespace {

constexpr std::size_t max_connections = 160;
constexpr std::size_t small_table = 24;
// The grace is 1 s, as the fixture configures it; its end is noticed within 20 ms.
constexpr std::chrono::milliseconds just_before_grace_ends{950}, just_after_grace_ended{1030};
constexpr std::chrono::milliseconds time_to_kill{3200};
constexpr int accepts_per_turn = 64;       // docs/on-call.md
constexpr int max_pending = SOMAXCONN + 1; // connections that a backlog holds
constexpr int requests = 100;              // more than are accepted in a turn

// Silent clients fill a small table within the turn in which the listener closes, before a request is
// accepted.
void test_small_table() {
  std::puts("# more silent clients than the table holds are pending before a request as the listener closes");
  FrontFixture b(small_table);
  std::vector<TestConnection> silent;
  for (std::size_t i = 0; i < 2 * small_table; ++i)
    silent.push_back(TestConnection::connect_without_turn(5050));
  std::vector<TestConnection> callers = pending_requests(1);
  b.front.stop_accepting();
  std::printf("  %zu request was read\n", b.handler.streams.size());
  b.refuse_all();
  for (int i = 0; i < 2; ++i) std::printf("  %s\n", callers.front().frame().c_str());
}

bool listener_is_closed() { return TestConnection::connect_without_turn(5050).refused(); }

void test_listener() {
  std::puts("# the listener closes while the backlog is never empty");
  FrontFixture b(max_connections);
  std::vector<TestConnection> callers = pending_requests(requests);
  int most_accepts = 0;
  {
    const ReconnectingClients clients;
    for (bool closed = false; !closed && !clients.exhausted();) {
      const int accepts_before = ReconnectingClients::accepts;
      b.front.stop_accepting();
      b.turn();
      most_accepts = std::max(most_accepts, ReconnectingClients::accepts - accepts_before);
      closed = listener_is_closed();
    }
  }
  std::printf("  closed after no more connections than a backlog holds: %s\n",
              yes_or_no(ReconnectingClients::accepts <= max_pending));
  std::printf("  in each turn at most %d were accepted: %s\n", accepts_per_turn,
              yes_or_no(most_accepts <= accepts_per_turn));
  std::printf("  %zu of %d pending requests were read\n", b.handler.streams.size(), requests);

  b.refuse_all();
  std::size_t answered = 0, resets = 0;
  TestConnection::turn = [&] { b.pass(drain_delay / 4); };
  for (TestConnection& caller : callers) {
    const std::string first = caller.frame(), last = caller.frame();
    answered += first.starts_with("answer on 1: code 14") || last.starts_with("answer on 1: code 14");
    caller.to_end();
    resets += caller.was_reset();
  }
  std::printf("  %zu of them were answered, %zu connections were reset\n", answered, resets);
  callers.clear();
  TestConnection::until("end of the drain", [&] { return b.front.closed(); });
  std::puts("  the drain has ended");
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
