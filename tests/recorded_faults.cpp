// Tests recordings with disk faults and damaged files: decisions must not change, lost entries must be
// reported as a gap, and unreadable data must be reported as an error.
#include "recorded_core.hpp"

#include "format.hpp"
#include "report.hpp"

#include <algorithm>
#include <sstream>

namespace {

// Runs a fixed workload; returns the number of answers.
std::uint64_t play(RecordedCore& s, std::uint64_t ops = 300) {
  for (std::uint64_t id = 1; id <= ops; ++id)
    s.came(id, id % 3, "m" + std::to_string(id / 2)), s.pass(12 * ms),
        s.disk->stuck ? void() : s.recorder.wait_written();
  s.pass(3 * second);
  return s.answers;
}

std::string words(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}
void put(const std::string& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}
// The result of replaying these bytes: identical to the end, identical up to a position, or an error message.
std::string outcome_of(const std::string& bytes) {
  put("damaged.capture", bytes);
  std::string said;
  try {
    const Replayer::Result r = Replayer({"damaged.capture"}).play(true);
    said = !r.difference.empty() ? "DIFFERS" : r.clean_end ? "whole" : r.torn ? "torn" : "not closed";
  } catch (const Unreadable& e) {
    said = e.what();
    said.erase(0, said.find(": ") + 2);
    if (said.starts_with("byte ")) said.erase(0, said.find(": ") + 2);
  }
  std::filesystem::remove("damaged.capture");
  return said;
}

} // namespace

int main() {
  std::uint64_t usual = 0;
  {
    RecordedCore s;
    s.link();
    usual = play(s);
  }
  {
    say("a disk that is full after 40 KB: the answers are as ever, and what was written replays");
    RecordedCore s;
    s.disk->full_after = 40'000;
    s.record({{"segment_bytes", 20'000.0}});
    s.link();
    const bool same = play(s) == usual;
    std::printf("  answers as ever: %d; said: %s\n", same, s.notes.at(1).c_str());
    s.recorder.end(s.now);
    for (const auto& [name, bytes] : s.disk->files)
      std::printf("  a segment of %s\n", bytes.size() > 5000 ? "some KB" : "little");
    const auto paths = s.put_out("full");
    Replayer::Result r = replayed(paths);
    std::printf("  replay: %s, %d orders or more\n",
                r.difference.empty() ? "identical" : r.difference.c_str(), r.orders > 50);
  }
  {
    say("a disk that is full for a while: a gap, then a new segment with a snapshot of its own");
    RecordedCore s;
    s.disk->full_after = 30'000;
    s.record({{"segment_bytes", 1e6}});
    s.link();
    for (std::uint64_t id = 1; id <= 300; ++id) {
      s.came(id, id % 3, "m" + std::to_string(id / 2)), s.pass(12 * ms);
      s.recorder.wait_written();
      if (id == 200) {
        const std::lock_guard hold(s.disk->lock);
        s.disk->full_after = ~std::size_t{0};
      }
    }
    s.pass(3 * second);
    std::printf("  answers as ever: %d\n", s.answers == usual);
    const Replayer::Result r = replayed(s.files("gap"));
    std::printf("  replay: %s, gaps %d, closed %d, entries lost or more %d\n",
                r.difference.empty() ? "identical" : r.difference.c_str(), r.gaps > 0, r.clean_end,
                r.lost > 0);
  }
  {
    say("a disk that does not return: the queue fills and no more is taken; no answer waits, nor does the "
        "end");
    RecordedCore s;
    s.disk->stick(true);
    s.record({{"queue_bytes", 30'000.0}});
    s.link();
    const bool same = play(s) == usual;
    const std::string figures = s.recorder.figures();
    std::printf("  answers as ever: %d; queue full: %d\n", same,
                figures.find("queue is full") != std::string::npos);
    const auto from = std::chrono::steady_clock::now();
    s.recorder.end(s.now);
    std::printf("  ended within a second: %d\n",
                std::chrono::steady_clock::now() - from < std::chrono::seconds(1));
    s.disk->stick(false);
  }
  std::string whole;
  {
    RecordedCore s;
    s.record();
    s.link();
    play(s, 60);
    const auto paths = s.files("whole");
    whole = words(paths.front());
    for (const std::string& path : paths) std::filesystem::remove(path);
  }
  std::printf("# the whole: %s\n", outcome_of(whole).c_str());
  std::vector<std::size_t> blocks{segment_magic.size()};
  while (blocks.back() < whole.size()) {
    std::uint32_t length = 0;
    for (int i = 4; i-- > 0;)
      length = length << 8 | static_cast<unsigned char>(whole[blocks.back() + static_cast<std::size_t>(i)]);
    blocks.push_back(blocks.back() + block_header_bytes + length);
  }
  {
    say("killed at each block's boundary");
    std::set<std::string> kinds;
    for (std::size_t i = 2; i + 1 < blocks.size(); ++i) kinds.insert(outcome_of(whole.substr(0, blocks[i])));
    std::printf("  more than five blocks: %d\n", blocks.size() > 5);
    for (const std::string& what : kinds) std::printf("  %s\n", what.c_str());
  }
  {
    say("cut anywhere");
    std::set<std::string> kinds;
    for (std::size_t at = 0; at < whole.size(); at += at < blocks[1] + 40 ? 1 : 97)
      kinds.insert(outcome_of(whole.substr(0, at)));
    for (const std::string& what : kinds) std::printf("  %s\n", what.c_str());
  }
  {
    say("one flipped bit, anywhere: never replayed to the end as if nothing were wrong");
    std::set<std::string> kinds;
    Pcg chance(5);
    for (std::size_t at = 0; at < whole.size(); at += at < blocks[1] + 40 ? 1 : 211) {
      std::string bytes = whole;
      bytes[at] = static_cast<char>(bytes[at] ^ 1 << (chance.next() % 8));
      std::string said = outcome_of(bytes);
      if (said.starts_with("a block of ")) said = "a block of a size that can't be";
      kinds.insert(said);
    }
    for (const std::string& what : kinds) std::printf("  %s\n", what.c_str());
  }
  {
    say("a length of 4 GB, one of 60 MB, one of nothing; no bytes; another format");
    const auto with_length = [&](std::uint32_t length) {
      std::string bytes = whole;
      for (int i = 0; i < 4; ++i)
        bytes[blocks[2] + static_cast<std::size_t>(i)] = static_cast<char>(length >> (8 * i));
      return outcome_of(bytes);
    };
    std::printf("  %s\n  %s\n  %s\n", with_length(0xffffffff).c_str(), with_length(60'000'000).c_str(),
                with_length(0).c_str());
    std::printf("  %s\n", outcome_of("").c_str());
    std::string other = whole;
    other[segment_magic.size() - 1] = 2;
    std::printf("  %s\n", outcome_of(other).c_str());
  }
}
