// What decides for a recording, alone: segments, gaps and trials, files that go.
#include "keeping.hpp"
#include "driver.hpp"

int main() {
  const auto say = [](const char* what) { std::printf("# %s\n", what); };
  constexpr Nanos second = 1000 * ms;
  Taping taping({.segment_bytes = 1000, .segment_age = 10 * second});
  Nanos now = 0;
  const auto step = [&] {
    static const char* words[] = {"leave out", "record", "begin a segment"};
    std::printf("%8.1f s  %s\n", static_cast<double>(now) / second,
                words[static_cast<int>(taping.step(now))]);
  };
  say("a segment begins, ends by its size, and by its age");
  step();
  taping.began(now, 300), step();
  taping.took(600), step();
  taping.took(200), step();
  taping.began(now, 300), now += 9 * second, step();
  now += 2 * second, step();
  say("a full queue: a gap, tried again by single segments that lie ever further apart");
  taping.began(now, 300);
  taping.lost(now, 12, "its queue is full");
  for (int i = 0; i < 8; ++i) {
    while (taping.step(now) == Taping::Step::leave_out) now += second / 2;
    std::printf("%8.1f s  tried; lost so far %llu\n", static_cast<double>(now) / second,
                static_cast<unsigned long long>(taping.lost_entries()));
    taping.lost(now, 1, "the disk is full");
  }
  say("one that is taken, and a block after it, end the gap and its rests");
  while (taping.step(now) == Taping::Step::leave_out) now += second / 2;
  taping.began(now, 300);
  taping.took(10);
  step();
  taping.lost(now, 1, "again");
  now += second / 2, step();
  std::printf("gaps %llu, lost in all %llu, %s\n", static_cast<unsigned long long>(taping.gaps()),
              static_cast<unsigned long long>(taping.lost_in_all()), taping.why().c_str());

  say("files: the oldest go before a total would be passed; the newest never");
  Shelf shelf(1000);
  shelf.found("a", 400), shelf.found("b", 400);
  shelf.opened("c");
  const auto write = [&](std::uint64_t bytes) {
    std::printf("%4llu bytes:", static_cast<unsigned long long>(bytes));
    while (const auto gone = shelf.to_remove(bytes)) {
      std::printf(" %s goes,", gone->c_str());
      shelf.removed();
    }
    if (shelf.fits(bytes)) shelf.grew(bytes);
    std::printf(" total %llu in %zu files\n", static_cast<unsigned long long>(shelf.total()), shelf.files());
  };
  write(100), write(200), write(350), write(600);
}
