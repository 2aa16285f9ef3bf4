// Connections of balancers: valid, invalid and unparsable requests, limits, eviction, timeouts and drain.
// Guards against a connection that affects others, and against ops that are lost or read twice.
#include "front.hpp"
#include "driver.hpp"

#include <asio/io_context.hpp>
#include <sys/resource.h>

constexpr Nanos second = 1000 * ms;

struct RecordingHandler final : Front::Handler {
  std::vector<StreamRef> streams;
  std::vector<StreamRef> lost;
  bool quiet = false;

  void op_received(StreamRef ref, OpId id, OpTypeId type, TenantId tenant, CallerId caller, Nanos received_at,
                   Nanos limit, double held_kb, double rank, std::string_view mark, std::string_view subject,
                   std::string_view body) override {
    streams.push_back(ref);
    if (quiet) return;
    std::printf("  op %llx type %u tenant %u caller %llu door %lld limit %lld kb %.1f rank %.3f",
                static_cast<unsigned long long>(id.raw), type.raw, tenant.raw,
                static_cast<unsigned long long>(caller.raw), static_cast<long long>(received_at / ms),
                static_cast<long long>(limit / ms), held_kb, rank);
    std::printf(" mark %s subject %s body of %zu\n", std::string(mark).c_str(), std::string(subject).c_str(),
                body.size());
  }
  void stream_lost(StreamRef ref) override { lost.push_back(ref); }
};

struct Fixture {
  asio::io_context io;
  RecordingHandler handler;
  Nanos now = second;
  Clock clock{[this] { return now; }};
  Front front{io,
              TestConnection::at(5050),
              4,
              64 * 1024,
              {{"look", "book"}, {false, true}, {"acme", "other"}, true},
              clock,
              handler};
  Fixture() {
    front.accept_retry_delay(ms);
    front.set_eviction_order({Eviction::no_frame, Eviction::idle, Eviction::newest}, 4000);
    front.connection_drain_delay(second);
    TestConnection::turn = [this] {
      io.restart();
      io.poll();
      front.flush();
    };
  }
  StreamRef send_request(TestConnection& peer, const std::string& bytes) {
    const std::size_t before = handler.streams.size();
    peer.say(bytes);
    return last(before + 1);
  }
  StreamRef last(std::size_t count) {
    TestConnection::until("op", [&] { return handler.streams.size() >= count; });
    return handler.streams.back();
  }
};

void say(const char* what) { std::printf("# %s\n", what); }
void print_frame(TestConnection& peer) { std::printf("  %s\n", peer.frame().c_str()); }

int main() {
  const std::string txn = "9b1f03aa5c7e2d41";
  Fixture b;
  TestConnection good = TestConnection::to(5050);
  say("an op and its response; health checks; feedback once it is set; the connection stays usable");
  good.say(ask(1, txn, {{"item", "7f3a"}}));
  b.front.served(b.last(1), "result");
  print_frame(good);
  good.say(frame_of(frames::health_check, 9, {{"x", "y"}}));
  print_frame(good);
  b.front.feedback(0.25);
  b.front.health(false);
  good.say(frame_of(frames::health_check, 10, {}));
  print_frame(good);

  say("well-formed but invalid requests: one refusal each, not passed on");
  std::uint32_t stream = 1;
  const std::vector<Fields> wrong{{{"verb", "unknown"}},
                                  {{"verb", ""}},
                                  {{"team", "nobody"}},
                                  {{"team", ""}},
                                  {{"txn", "xyz"}},
                                  {{"txn", ""}},
                                  {{"txn", "0000000000000000"}},
                                  {{"door", ""}},
                                  {{"door", "-1"}},
                                  {{"door", "99999999999999999999"}},
                                  {{"lb", "x"}},
                                  {{"limit", "0"}},
                                  {{"limit", ""}},
                                  {{"ram", "2000"}},
                                  {{"ram", "0"}},
                                  {{"ram", "nan"}},
                                  {{"standing", "1"}},
                                  {{"standing", ""}},
                                  {{"verb", "book"}},
                                  {{"item", std::string(65, 'x')}}};
  for (const Fields& fields : wrong) good.say(ask(++stream, txn, fields)), print_frame(good);
  good.say(ask(++stream, txn, {}, std::string(2049, 'x')));
  print_frame(good);
  good.say(frame_of(frames::request, ++stream, {{"verb", "look"}, {"verb", "look"}}));
  print_frame(good);
  good.say(ask(++stream, txn, {}, std::string(200'000, 'x')));
  print_frame(good);
  good.say(ask(++stream, txn, {{"verb", "book"}, {"unique", "5c0f"}, {"more", "z"}}, std::string(2048, 'x')));
  b.front.refused(b.last(2), 120 * ms, true);
  print_frame(good);

  say("the 33rd open stream of a connection is refused, the others are answered in any order");
  b.handler.quiet = true;
  for (int i = 0; i < 33; ++i) good.say(ask(++stream, txn));
  print_frame(good);
  while (b.handler.streams.size() > 2) b.front.failed(b.handler.streams.back()), b.handler.streams.pop_back();
  print_frame(good);
  for (int i = 0; i < 30; ++i) good.frame();
  print_frame(good);

  const std::string head("\x09\0\0\0\x0a\0\0\0\0\1\5ab\0", 13);
  const std::pair<const char*, std::string> unreadable[] = {
      {"a length below the minimum", std::string("\4\0\0\0", 4)},
      {"a length above the maximum", std::string("\1\0\4\0", 4)},
      {"an unknown frame type", frame_of(12, 3, {})},
      {"a frame type that only servers send", frame_of(frames::response, 3, {})},
      {"fields that overrun the payload", head},
      {"stream 0", ask(0, txn)},
      {"a stream number used twice", ask(1, txn)}};
  for (const auto& [what, bytes] : unreadable) {
    say(what);
    TestConnection bad = TestConnection::to(5050);
    bad.say(ask(1, txn));
    const StreamRef open = b.last(3);
    bad.say(bytes + ask(2, txn));
    print_frame(bad), print_frame(bad);
    b.front.served(open, "settled first");
    print_frame(bad);
    b.now += second;
    bad.to_end();
    if (b.handler.streams.size() != 3) std::puts("  more was read");
    b.handler.streams.pop_back();
  }
  good.say(ask(++stream, txn));
  b.front.served(b.last(3), "still here");
  print_frame(good);

  say("half a frame, then a reset: its open op is reported lost, once");
  {
    TestConnection half = TestConnection::to(5050);
    half.say(ask(5, txn) + ask(6, txn).substr(0, 30));
    b.last(4);
    half.reset();
    TestConnection::until("loss", [&] { return !b.handler.lost.empty(); });
    std::printf("  lost: %zu, stream %u, read %zu, connections %zu\n", b.handler.lost.size(),
                b.handler.lost[0].stream.raw, b.handler.streams.size(), b.front.connections());
    b.front.served(b.handler.lost[0], "nobody hears it");
  }

  say("a peer that has shut down its sending side still gets its response");
  {
    TestConnection done = TestConnection::to(5050);
    done.say(ask(5, txn));
    const StreamRef ref = b.last(5);
    done.stop_sending();
    b.front.served(ref, "late");
    print_frame(done);
    done.to_end();
  }

  say("a peer that never reads is dropped before its output fills the memory");
  {
    TestConnection slow_reader = TestConnection::to(5050);
    std::uint32_t requests = 0;
    TestConnection::until("drop", [&] {
      const std::size_t before = b.handler.streams.size();
      if (b.front.connections() == 2) {
        slow_reader.say(ask(++requests, txn));
        if (b.handler.streams.size() > before)
          b.front.served(b.handler.streams.back(), std::string(4096, 'x'));
      }
      return b.front.connections() == 1 && requests > 0;
    });
    std::printf("  dropped: %s\n", requests > 16 ? "after more than 64 KB" : "too early");
  }

  say("table full: the connection without a frame is evicted, then the longest idle one; if all have open "
      "ops, the newest is closed");
  {
    const auto asking = [&](TestConnection& peer) { return b.send_request(peer, ask(++stream, txn)); };
    TestConnection idle = TestConnection::to(5050), mute = TestConnection::to(5050),
                   busy = TestConnection::to(5050);
    std::vector<StreamRef> open{asking(busy)};
    idle.say(frame_of(frames::health_check, 1, {}));
    print_frame(idle);
    b.now += second;
    TestConnection::turn();
    good.say(frame_of(frames::health_check, 1, {}));
    print_frame(good);
    TestConnection fifth = TestConnection::to(5050);
    print_frame(mute), mute.to_end();
    open.push_back(asking(fifth));
    TestConnection sixth = TestConnection::to(5050);
    print_frame(idle), idle.to_end();
    open.push_back(asking(sixth));
    open.push_back(asking(good));
    TestConnection seventh = TestConnection::to(5050);
    seventh.to_end();
    std::printf("  %zu connections\n", b.front.connections());
    for (const StreamRef ref : open) b.front.served(ref, "still here");
    print_frame(busy), print_frame(fifth), print_frame(sixth), print_frame(good);
  }
  TestConnection::until("ends", [&] { return b.front.connections() == 1; });

  say("no descriptor is free: existing connections are served, and new ones accepted once one is free");
  {
    const int next = dup(0);
    close(next);
    rlimit limit{}, most{};
    getrlimit(RLIMIT_NOFILE, &most);
    limit = {static_cast<rlim_t>(next) + 1, most.rlim_max};
    setrlimit(RLIMIT_NOFILE, &limit);
    TestConnection outside = TestConnection::to(5050); // takes the last descriptor
    outside.say(frame_of(frames::health_check, 1, {}));
    good.say(frame_of(frames::health_check, 11, {}));
    print_frame(good);
    std::printf("  %zu connections\n", b.front.connections());
    setrlimit(RLIMIT_NOFILE, &most);
    print_frame(outside);
  }
  TestConnection::until("ends", [&] { return b.front.connections() == 1; });

  say("idle for too long: go_away, then closed; not with an op open");
  {
    b.front.silent_connection_timeout(30 * second);
    TestConnection silent = TestConnection::to(5050);
    silent.say(frame_of(frames::health_check, 1, {}));
    print_frame(silent);
    const StreamRef ref = b.send_request(good, ask(++stream, txn));
    b.now += 31 * second;
    print_frame(silent);
    b.now += second;
    silent.to_end();
    b.front.served(ref, "was open");
    print_frame(good);
  }

  say("sends nothing, or never completes a frame: go_away, then closed; a connection that is idle between "
      "frames stays");
  {
    b.front.frame_timeout(2 * second);
    TestConnection mute = TestConnection::to(5050), half = TestConnection::to(5050);
    half.say(frame_of(frames::health_check, 1, {}));
    print_frame(half);
    for (const char byte : ask(5, txn).substr(0, 4)) {
      half.say(std::string(1, byte));
      b.now += second / 2;
      TestConnection::turn();
    }
    print_frame(mute), print_frame(half), print_frame(half);
    b.now += second;
    mute.to_end(), half.to_end();
    std::printf("  %zu connections\n", b.front.connections());
  }

  say("sends after go_away, or sends only invalid ops: its input is rejected");
  {
    const StreamRef kept = b.send_request(good, ask(++stream, txn));
    TestConnection late = TestConnection::to(5050);
    late.say(frame_of(frames::health_check, 1, {}));
    print_frame(late);
    b.front.set_idle_timeout(second);
    b.now += second;
    print_frame(late);
    const StreamRef crossing = b.send_request(late, ask(2, txn));
    b.now += second;
    TestConnection::turn();
    b.front.set_eviction_order({Eviction::newest}, 3);
    std::vector<StreamRef> past; // three that may have been in transit are answered, a fourth is not read
    for (std::uint32_t i = 3; i < 6; ++i) past.push_back(b.send_request(late, ask(i, txn)));
    const std::size_t read = b.handler.streams.size();
    late.say(ask(6, txn));
    if (b.handler.streams.size() != read) std::puts("  more was read");
    b.front.served(crossing, "settled");
    for (const StreamRef ref : past) b.front.refused(ref, 0, false);
    for (int i = 0; i < 5; ++i) print_frame(late);
    TestConnection again = TestConnection::to(5050);
    for (std::uint32_t i = 1; i < 9; ++i) again.say(ask(i, "no id"));
    for (int i = 0; i < 5; ++i) print_frame(again);
    b.now += second;
    late.to_end(), again.to_end();
    b.front.set_idle_timeout(0);
    b.front.served(kept, "still here");
    print_frame(good);
  }

  say("listener closed: existing connections get go_away, are still served, then closed; new ones are "
      "refused");
  const StreamRef ref = b.send_request(good, ask(++stream, txn));
  const auto turn = std::exchange(TestConnection::turn, [] {});
  TestConnection waiting = TestConnection::to(5050); // connected, but not accepted yet
  b.front.stop_accepting();
  TestConnection::turn = turn;
  print_frame(waiting), print_frame(good);
  std::printf("  closed: %d\n", b.front.closed());
  b.front.refused(b.send_request(good, ask(++stream, txn)), 0, false);
  print_frame(good);
  b.front.served(ref, "the last");
  print_frame(good);
  b.now += second;
  good.to_end(), waiting.to_end();
  std::printf("  closed: %d\n", b.front.closed()); // not while connections linger
  b.now += second;
  TestConnection::turn();
  std::printf("  closed: %d\n", b.front.closed());
  TestConnection late = TestConnection::to(5050);
  std::printf("  after it: %s\n", late.refused() ? "refused" : "taken");
}
