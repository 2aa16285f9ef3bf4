// Guards against an event loop that does little but write snapshots: each segment of a recording begins with
// the whole state, and once that was larger than a segment, each event began a new segment.
#include "recorded_core.hpp"

#include "format.hpp"

namespace {

constexpr double segment_bytes = 8'000;
constexpr int bookings = 300; // their keys take several segments

const char* yes_or_no(bool yes) { return yes ? "yes" : "no"; }

std::uint32_t block_bytes(const std::string& file, std::size_t at) {
  std::uint32_t payload = 0;
  for (std::size_t i = 4; i-- > 0;) payload = payload << 8 | static_cast<unsigned char>(file[at + i]);
  return static_cast<std::uint32_t>(block_header_bytes) + payload;
}
// The bytes of a segment's head and snapshot.
std::size_t snapshot_bytes(const std::string& file) {
  std::size_t end = segment_magic.size();
  for (int block = 0; block < 2; ++block) end += block_bytes(file, end);
  return end;
}

struct BusyCore : RecordedCore {
  BusyCore() {
    given["memory_kb"] = 1e6;
    given["cores"] = 64.0;
    core = std::make_unique<Core>(now, given, recorder);
    recorder.bind(*core);
    calls = 0;
    run_time = 5 * ms;
  }
  void play() {
    link();
    for (std::uint64_t id = 1; id <= bookings; ++id) {
      came(id, 1, "mark " + std::to_string(id));
      pass(10 * ms);
      recorder.wait_written();
    }
  }
};

bool replays(const BusyCore& server) {
  const Replayer::Result result = replayed(server.put_out("snapshots"));
  if (!result.difference.empty()) std::printf("  %s\n", result.difference.c_str());
  return result.difference.empty();
}

void test_size() {
  say("the state grows larger than the size at which a segment ends");
  BusyCore server;
  server.record({{"segment_bytes", segment_bytes}});
  server.play();
  server.recorder.end(server.now);
  std::size_t largest = 0, closed = 0, mostly_entries = 0;
  const auto& files = server.disk->files;
  for (auto at = files.begin(); at != files.end(); ++at) {
    const std::size_t snapshot = snapshot_bytes(at->second);
    largest = std::max(largest, snapshot);
    if (std::next(at) == files.end()) break;
    ++closed;
    mostly_entries += at->second.size() >= 2 * snapshot;
  }
  std::printf("  a snapshot is larger than a segment: %s\n", yes_or_no(largest > segment_bytes));
  std::printf("  several segments end, each at least half of it entries: %s\n",
              yes_or_no(closed > 2 && mostly_entries == closed));
  std::printf("  %llu answers; replay identical: %s\n", static_cast<unsigned long long>(server.answers),
              yes_or_no(replays(server)));
}

void test_age() {
  say("segments end at an age of a second: there is one each second at the most");
  BusyCore server;
  server.record({{"segment_age_ns", static_cast<double>(second)}});
  const Nanos begun = server.now;
  server.play();
  server.recorder.end(server.now);
  const auto seconds = static_cast<std::size_t>((server.now - begun) / second);
  std::printf("  several, and no more: %s\n",
              yes_or_no(server.disk->files.size() > 2 && server.disk->files.size() <= seconds + 1));
  std::printf("  %llu answers; replay identical: %s\n", static_cast<unsigned long long>(server.answers),
              yes_or_no(replays(server)));
}

} // namespace

int main() {
  test_size();
  test_age();
}
