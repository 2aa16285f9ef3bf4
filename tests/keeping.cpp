// Unit test of the recording policies: new segments, gaps with retries, and deletion of old files.
#include "driver.hpp"
#include "recording_policy.hpp"

int main() {
  const auto say = [](const char* what) { std::printf("# %s\n", what); };
  constexpr Nanos second = 1000 * ms;
  RecordingPolicy policy({.segment_bytes = 1000, .segment_age = 10 * second});
  Nanos now = 0;
  const auto step = [&] {
    static const char* words[] = {"leave out", "record", "begin a segment"};
    std::printf("%8.1f s  %s\n", static_cast<double>(now) / second,
                words[static_cast<int>(policy.step(now))]);
  };
  say("a segment begins, ends by its size, and by its age");
  step();
  policy.began(now, 300), step();
  policy.took(600), step();
  policy.took(200), step();
  policy.began(now, 300), now += 9 * second, step();
  now += 2 * second, step();
  say("a full queue: a gap, tried again by single segments that lie ever further apart");
  policy.began(now, 300);
  policy.lost(now, 12, "its queue is full");
  for (int i = 0; i < 8; ++i) {
    while (policy.step(now) == RecordingPolicy::Step::skip) now += second / 2;
    std::printf("%8.1f s  tried; lost so far %llu\n", static_cast<double>(now) / second,
                static_cast<unsigned long long>(policy.lost_entries()));
    policy.lost(now, 1, "the disk is full");
  }
  say("one that is taken, and a block after it, end the gap and its rests");
  while (policy.step(now) == RecordingPolicy::Step::skip) now += second / 2;
  policy.began(now, 300);
  policy.took(10);
  step();
  policy.lost(now, 1, "again");
  now += second / 2, step();
  std::printf("gaps %llu, lost in all %llu, %s\n", static_cast<unsigned long long>(policy.gaps()),
              static_cast<unsigned long long>(policy.total_lost()), policy.reason().c_str());

  say("files: the oldest go before a total would be passed; the newest never");
  SegmentRetention retention(1000);
  retention.found("a", 400), retention.found("b", 400);
  retention.opened("c");
  const auto write = [&](std::uint64_t bytes) {
    std::printf("%4llu bytes:", static_cast<unsigned long long>(bytes));
    while (const auto gone = retention.to_remove(bytes)) {
      std::printf(" %s goes,", gone->c_str());
      retention.removed();
    }
    if (retention.fits(bytes)) retention.grew(bytes);
    std::printf(" total %llu in %zu files\n", static_cast<unsigned long long>(retention.total()),
                retention.files());
  };
  write(100), write(200), write(350), write(600);
}
