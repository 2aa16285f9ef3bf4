// Guards against turns of the event loop that last as long as clients connect: a turn accepted 64 connections
// with each of its events instead of 64 in all, and answers and timers waited for its end.
#include "reconnecting_clients.hpp"
#include "server_fixture.hpp"

#include <algorithm>

namespace {

constexpr int accepts_per_turn = 64; // docs/on-call.md
constexpr int turns = 20;

} // namespace

int main() {
  std::puts("# a server in ordinary service, its backlog is never empty");
  ServerFixture b("3200");
  b.link_up();
  int most = 0, least = accepts_per_turn;
  const ReconnectingClients clients;
  const TestConnection first = TestConnection::to(5050); // from its accept on there is always another
  for (int i = 0; i < turns && !clients.exhausted(); ++i) {
    const int accepts_before = ReconnectingClients::accepts;
    TestConnection::turn();
    most = std::max(most, ReconnectingClients::accepts - accepts_before);
    least = std::min(least, ReconnectingClients::accepts - accepts_before);
  }
  std::printf("  a turn accepts at most %d connections: %s\n", accepts_per_turn,
              most <= accepts_per_turn ? "yes" : "no");
  std::printf("  and no turn passes without: %s\n", least > 0 ? "yes" : "no");
  if (most > accepts_per_turn) std::fprintf(stderr, "most: %d\n", most);
  b.ask(1, "9b1f03aa5c7e2d41");
  std::printf("  a request meanwhile: %s\n",
              b.command().find("APPLY") != std::string::npos ? "started" : "not started");
}
