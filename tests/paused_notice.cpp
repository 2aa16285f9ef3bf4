// Guards against a drain notice that came while the process was stopped and is counted from a later moment,
// because another event was handled first: the kill is then expected too late, and ops have no answer by it.
#include "server_fixture.hpp"

#include <csignal>
#include <thread>

namespace {

constexpr auto pause_time = std::chrono::milliseconds(470); // of 190 to 500 ms, as sites have them
constexpr auto stop_time = std::chrono::milliseconds(1500);

void say(const char* what) { std::printf("# %s\n", what); }

// An op runs without end. The process is stopped, the notice comes at once, and the loop goes on with
// `before_notice`. The signal is handled first by a process that goes on, before its event loop.
void drain_after_pause(const std::function<void(ServerFixture&)>& before_notice) {
  ServerFixture server(std::to_string(stop_time.count()));
  server.host->catch_stop_signals();
  server.link_up();
  server.ask(1, "aaaaaaaaaaaaaaa1");
  std::printf("  link: %s\n", server.command().c_str());
  const auto noticed = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(pause_time);
  std::raise(SIGTERM);
  before_notice(server);
  std::printf("  balancer: %s\n", server.balancer.frame().c_str()); // go_away
  std::printf("  balancer: %s\n", server.balancer.frame().c_str());
  const bool in_time = std::chrono::steady_clock::now() - noticed < stop_time;
  std::printf("  answered before the kill: %s\n", in_time ? "yes" : "no");
}

} // namespace

int main() {
  say("nothing is handled between the pause and the notice");
  drain_after_pause([](ServerFixture&) {});
  say("a request is read first, in the turn of the notice");
  drain_after_pause([](ServerFixture& server) {
    server.balancer.send_without_turn(ServerFixture::request(2, "aaaaaaaaaaaaaaa2"));
    server.host->poll();
  });
  std::remove(fixture_config_path.c_str());
}
