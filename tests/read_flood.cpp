// Guards against turns of the event loop that last as long as a peer sends: a connection was read four times
// with each of a turn's events instead of four times in all.
#include "server_fixture.hpp"

#include <algorithm>

namespace {

constexpr std::size_t max_read_in_turn =
    std::size_t{4} * 8 * 1024; // docs/endings.md: four reads, of 8 KB each
constexpr std::size_t sent_bytes = 2 * max_read_in_turn;
constexpr int turns = 20;

} // namespace

int main() {
  std::puts("# more bytes lie unread than a turn may read of one connection");
  ServerFixture b("3200");
  b.link_up();
  std::string checks;
  std::size_t sent = 0;
  for (std::uint32_t stream = 1; checks.size() < sent_bytes; ++stream, ++sent)
    checks += frame_of(frames::health_check, stream, {});
  const std::size_t check_size = checks.size() / sent;
  b.balancer.send_without_turn(checks);

  std::size_t most = 0, answered = 0;
  for (int i = 0; i < turns; ++i) {
    TestConnection::turn();
    std::size_t now_answered = 0;
    for (; b.balancer.has(4); ++now_answered) b.balancer.take(frames::read_le(b.balancer.take(4).data(), 4));
    most = std::max(most, now_answered);
    answered += now_answered;
  }
  std::printf("  a turn reads at most four times from it: %s\n",
              most * check_size <= max_read_in_turn ? "yes" : "no");
  std::printf("  all are answered: %s\n", answered == sent ? "yes" : "no");
}
