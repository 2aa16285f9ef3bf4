// Guards against an event loop that does little but write snapshots: each segment of a recording begins with
// the whole state, and once that was larger than a segment, each event began a new segment.
#include "recorded_core.hpp"

#include "format.hpp"

#include <string_view>

namespace {

constexpr double segment_bytes = 8'000;
constexpr int bookings = 300; // their keys take several segments

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

void test_limit(const char* limit, const Settings& wanted) {
  std::printf("# the state grows larger than a segment, which ends by its %s\n", limit);
  BusyCore server;
  server.record(wanted);
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
  std::printf("  a snapshot is larger than a segment: %s\n", largest > segment_bytes ? "yes" : "no");
  std::printf("  several segments end, each at least half of it entries: %s\n",
              closed > 2 && mostly_entries == closed ? "yes" : "no");
  std::printf("  %llu answers\n", static_cast<unsigned long long>(server.answers));
  const Replayer::Result result = replayed(server.put_out("snapshots"));
  std::printf("  replay: %s\n", result.difference.empty() ? "identical" : result.difference.c_str());
}

} // namespace

int main() {
  test_limit("size", {{"segment_bytes", segment_bytes}});
  test_limit("age", {{"segment_age_ns", 10e6}});
}
