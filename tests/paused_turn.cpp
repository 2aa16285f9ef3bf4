// Guards against requests that are read in a turn of the event loop in which the process was stopped, and are
// taken for received before the stop: their key window or their time limit then ended too early, and a keyed
// op was run again.
#include "server_fixture.hpp"

#include <sys/syscall.h>
#include <thread>

namespace {

constexpr auto pause_time = std::chrono::milliseconds(400); // of 190 to 500 ms, as sites have them
constexpr Nanos key_window = 1000 * ms;
const std::string result_fields = ",\"code\":\"fine\",\"wall_ms\":3,\"content\":\"cmVzdWx0\"";

// While set, it is called before the server's second read of a turn that finds bytes.
std::function<void()> stop_within_turn;
int reads_of_turn = 0;

Nanos unix_now() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void say(const char* what) { std::printf("# %s\n", what); }

// One turn of the event loop that reads from two connections. The process is stopped between the two reads,
// and `request`, with the time after that as its time of receipt, is written to the second connection as the
// process goes on. Returns that time.
Nanos read_after_pause(ServerFixture& server, TestConnection& second,
                       const std::function<std::string()>& request) {
  Nanos received_at = 0;
  server.balancer.send_without_turn(frame_of(frames::health_check, 100, {}));
  server.balancer.send_without_turn(ServerFixture::request(101, "eeeeeeeeeeeeeee1"));
  second.send_without_turn(frame_of(frames::health_check, 102, {}));
  reads_of_turn = 0;
  stop_within_turn = [&] {
    std::this_thread::sleep_for(pause_time);
    received_at = unix_now();
    second.send_without_turn(request());
  };
  server.host->poll();
  const bool stopped = !stop_within_turn;
  stop_within_turn = nullptr;
  if (!stopped) std::printf("the turn did not read from both connections\n"), std::exit(1);
  return received_at;
}

} // namespace

// Replaces the system's recv().
extern "C" ssize_t recv(int fd, void* into, std::size_t size, int flags) {
  if (stop_within_turn && reads_of_turn > 0) std::exchange(stop_within_turn, nullptr)();
  const ssize_t n = syscall(SYS_recvfrom, fd, into, size, flags, nullptr, nullptr);
  reads_of_turn += n > 0;
  return n;
}

int main() {
  {
    say("a keyed op is read after the stop, runs, and comes again 950 ms later, in its window of 1000 ms");
    ServerFixture server("3000", std::to_string(key_window));
    TestConnection second = TestConnection::to(5050);
    server.link_up();
    const Fields booking{{"verb", "book"}, {"unique", "m1"}};
    const Nanos received_at = read_after_pause(
        server, second, [&] { return ServerFixture::request(1, "aaaaaaaaaaaaaaa1", booking); });
    std::printf("  link: %s\n", server.command().c_str());
    std::printf("  link: %s\n", server.command().c_str());
    server.notice(1, "VALUE", "eeeeeeeeeeeeeee1", result_fields);
    server.notice(2, "VALUE", "aaaaaaaaaaaaaaa1", result_fields);
    std::printf("  balancer: %s\n", second.frame().c_str());
    std::printf("  balancer: %s\n", second.frame().c_str());
    TestConnection::until("time in its window", [&] { return unix_now() >= received_at + 950 * ms; });
    const Nanos ago = unix_now() - received_at - 950 * ms;
    second.say(ServerFixture::request(2, "aaaaaaaaaaaaaaa2", booking, "body", ago));
    std::printf("  balancer: %s\n", second.frame().c_str());
  }
  {
    say("an op is read after the stop, with a time limit of 1500 ms: it has all of it");
    ServerFixture server("3000");
    TestConnection second = TestConnection::to(5050);
    server.link_up();
    const Nanos received_at = read_after_pause(server, second, [&] {
      return ServerFixture::request(1, "bbbbbbbbbbbbbbb1", {{"limit", "1500"}});
    });
    std::printf("  link: %s\n", server.command().c_str());
    std::printf("  link: %s\n", server.command().c_str());
    std::printf("  balancer: %s\n", second.frame().c_str());
    std::printf("  balancer: %s\n", second.frame().c_str());
    const Nanos after = unix_now() - received_at;
    std::printf("  failed 1250 ms after its receipt or later: %s\n", after >= 1250 * ms ? "yes" : "no");
  }
  std::remove(fixture_config_path.c_str());
}
