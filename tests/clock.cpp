// The server's clock while the system clock is set back and forward, and a recording during that.
#include "clock.hpp"
#include "recorded_core.hpp"

int main() {
  say("each reading is of its moment; set back, the clock stops and continues from there");
  Nanos system = 1000 * second;
  Clock clock([&] { return system; });
  const auto turn = [&](const char* what) {
    const Nanos at = clock.now();
    system += ms;
    const Nanos again = clock.now();
    std::printf("  %-28s %lld ms, read again %lld ms; an op's arrival at the system's time %lld ms\n", what,
                static_cast<long long>(at / ms), static_cast<long long>(again / ms),
                static_cast<long long>(clock.from_system(system) / ms));
  };
  turn("at first");
  system += 9 * ms, turn("ten later");
  system -= 5 * second, turn("set back by five seconds");
  system += 9 * ms, turn("ten later");
  system += 60 * second, turn("set forward by a minute");
  system -= 60 * second, turn("and back again");

  say("time in which the process ran, read each 20 ms: of a pause of 490 ms, 100 ms count");
  RunningTime running(clock, 100 * ms);
  const Nanos begin = running.now();
  const auto step = [&](Nanos time) {
    system += time;
    std::printf("  %lld ms later: %lld ms\n", static_cast<long long>(time / ms),
                static_cast<long long>((running.now() - begin) / ms));
  };
  step(20 * ms), step(490 * ms), step(20 * ms), step(100 * ms);

  say("a recording while the clock is set back: its times never decrease, and it replays");
  RecordedCore s;
  s.record();
  s.link();
  Nanos there = s.now;
  Clock of_server([&] { return there; });
  for (std::uint64_t id = 1; id <= 40; ++id) {
    there += 20 * ms;
    if (id == 20) there -= 10 * second;
    const Nanos now = of_server.now();
    s.pass(std::max<Nanos>(0, now - s.now));
    s.came(id, 1, "m" + std::to_string(id / 2), "body", 2 * second,
           s.now - of_server.from_system(there - 5 * ms));
  }
  s.pass(second);
  std::printf("  answers %llu\n", static_cast<unsigned long long>(s.answers));
  say_replay(replayed(s.files("clock")));
}
