// Guards against a drain notice whose time is taken only when the event loop comes to it: one look at the
// sockets finds 128 that are ready, and a signal that came in a pause was found later, behind more of them.
#include "server_fixture.hpp"

#include <csignal>
#include <thread>

namespace {

constexpr auto pause_time = std::chrono::milliseconds(470); // of 190 to 500 ms, as sites have them
constexpr auto stop_time = std::chrono::milliseconds(1500);
constexpr int clients = 300; // more than two looks find

} // namespace

int main() {
  std::puts("# the notice comes within a pause, in which more clients have written than one look finds");
  ServerFixture server(std::to_string(stop_time.count()));
  server.host->catch_stop_signals();
  server.link_up();
  server.ask(1, "aaaaaaaaaaaaaaa1"); // runs without end
  std::printf("  link: %s\n", server.command().c_str());
  std::vector<TestConnection> flood;
  for (int i = 0; i < clients; ++i) flood.push_back(TestConnection::to(5050));
  for (int i = 0; i < 20; ++i) TestConnection::turn();
  for (TestConnection& client : flood) client.send_without_turn(frame_of(frames::health_check, 1, {}));

  const auto noticed = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(pause_time);
  std::raise(SIGTERM); // handled first by a process that goes on
  for (int i = 0; i < 2; ++i) std::printf("  balancer: %s\n", server.balancer.frame().c_str());
  const bool in_time = std::chrono::steady_clock::now() - noticed < stop_time;
  std::printf("  answered before the kill: %s\n", in_time ? "yes" : "no");
  int checked = 0;
  for (TestConnection& client : flood) checked += client.frame().starts_with("checked on 1");
  std::printf("  %d of %d clients were answered\n", checked, clients);
  std::remove(fixture_config_path.c_str());
}
