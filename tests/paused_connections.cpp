// Guards against times of connections that were taken before the process was stopped: a connection was
// then closed soon after go_away, and requests that were on their way were dropped unread; a new connection
// had less time for its first request. Guards also against a pause that takes up such times.
#include "server_fixture.hpp"

#include <thread>

namespace {

constexpr auto pause_time = std::chrono::milliseconds(490); // of 190 to 500 ms, as sites have them
constexpr auto drain_grace = std::chrono::milliseconds(1000);
const std::string result_fields = ",\"code\":\"fine\",\"wall_ms\":3,\"content\":\"cmVzdWx0\"";

void say(const char* what) { std::printf("# %s\n", what); }

void serve_for(ServerFixture& server, std::chrono::milliseconds time) {
  for (const auto end = std::chrono::steady_clock::now() + time; std::chrono::steady_clock::now() < end;)
    server.host->poll();
}

// Neither the loop nor its peers do anything.
void stand_still(std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }

// Of a balancer that has been told to send no more, but sent a request before it read that.
void print_crossing_request(ServerFixture& server) {
  std::printf("  it has ended: %s\n", server.balancer.ended() ? "yes" : "no");
  server.balancer.send_without_turn(ServerFixture::request(1, "aaaaaaaaaaaaaaa1"));
  std::printf("  a request that crosses: %s\n", server.balancer.frame().c_str());
}

} // namespace

int main() {
  {
    say("the shutdown delay ends while the process is stopped: connections are told, and have time to end");
    ServerFixture server("4000");
    server.link_up();
    server.host->stop();
    serve_for(server, drain_grace - std::chrono::milliseconds(30));
    stand_still(pause_time +
                std::chrono::milliseconds(60)); // since the last turn, which was up to a tick before
    server.host->poll();
    std::printf("  balancer: %s\n", server.balancer.frame().c_str());
    serve_for(server, std::chrono::milliseconds(250)); // of connection_drain_delay, 500 ms
    print_crossing_request(server);
  }
  {
    say("the process is stopped after connections were told: they have as much time to end while it runs");
    ServerFixture server("4000");
    server.link_up();
    server.host->stop();
    std::printf("  balancer: %s\n", server.balancer.frame().c_str());
    serve_for(server, std::chrono::milliseconds(100));
    stand_still(pause_time);
    serve_for(server, std::chrono::milliseconds(150)); // of connection_drain_delay, 500 ms
    print_crossing_request(server);
  }
  {
    say("the process is stopped within a request that is written slowly: its rest is awaited");
    ServerFixture server("4000");
    server.link_up();
    const std::string request = ServerFixture::request(1, "ddddddddddddddd1");
    server.balancer.say(request.substr(0, 40));
    serve_for(server, std::chrono::milliseconds(900));
    stand_still(pause_time);
    serve_for(server, std::chrono::milliseconds(300)); // 1200 ms of frame_timeout, 1500 ms
    server.balancer.say(request.substr(40));
    std::printf("  link: %s\n", server.command().c_str());
    server.notice(1, "VALUE", "ddddddddddddddd1", result_fields);
    std::printf("  balancer: %s\n", server.balancer.frame().c_str());
  }
  {
    say("a connection made as the process goes on: its first request may take as long as any other");
    ServerFixture server("4000");
    server.link_up();
    const std::string request = ServerFixture::request(1, "bbbbbbbbbbbbbbb1");
    stand_still(pause_time);
    TestConnection late = TestConnection::connect_without_turn(5050);
    late.send_without_turn(request.substr(0, 40));
    server.host->poll();
    serve_for(server, std::chrono::milliseconds(1250)); // of frame_timeout, 1500 ms
    late.say(request.substr(40));
    std::printf("  link: %s\n", server.command().c_str());
    server.notice(1, "VALUE", "bbbbbbbbbbbbbbb1", result_fields);
    std::printf("  balancer: %s\n", late.frame().c_str());
  }
  std::remove(fixture_config_path.c_str());
}
