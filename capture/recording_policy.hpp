// What decides for a recording: when a segment ends, which files go, what a full queue or a failing disk
// means, when it is tried again. No I/O, no clock. The tape asks it on the loop's side, the spool on the
// writer's; each has its own object.
#pragma once

#include "ids.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace cometshift {

// On the loop's side: what is recorded, what is lost, when the next segment begins.
class RecordingPolicy {
 public:
  struct Limits {
    std::uint64_t segment_bytes;
    Nanos segment_age;
  };
  explicit RecordingPolicy(Limits limits) : limits_(limits) {}

  // What to do with the event that comes now.
  enum class Step {
    skip,          // nothing is recorded; it counts as lost
    record,        // in the open segment
    begin_segment, // a new one first
  };
  Step step(Nanos now);
  void began(Nanos now, std::uint64_t bytes); // a segment, with its head and snapshot taken by the queue
  void took(std::uint64_t bytes);             // a block was taken by the queue
  // The queue was full, or the disk failed, with so many entries that were not taken.
  void lost(Nanos now, std::uint64_t entries, std::string reason);

  bool in_gap() const { return in_gap_; }
  std::uint64_t lost_entries() const { return lost_; } // in the gap
  const std::string& reason() const { return reason_; }
  std::uint64_t gaps() const { return gaps_; }
  std::uint64_t total_lost() const { return total_lost_; }

 private:
  Limits limits_;
  bool open_ = false;
  bool in_gap_ = false;
  std::uint64_t bytes_ = 0;
  Nanos segment_opened_at_ = 0;
  Nanos retry_at_ = 0;
  Nanos retry_delay_ = 0;
  std::uint64_t lost_ = 0;
  std::uint64_t total_lost_ = 0;
  std::uint64_t gaps_ = 0;
  std::string reason_;
};

// On the writer's side: the files there are, oldest first, and which have to go so that a total is never
// passed.
class SegmentRetention {
 public:
  explicit SegmentRetention(std::uint64_t most_bytes) : most_(most_bytes) {}
  void found(std::string name, std::uint64_t bytes); // from an earlier life, oldest first
  void opened(std::string name);                     // the newest, to which is written from now on
  void grew(std::uint64_t bytes);                    // the newest
  void removed();                                    // the oldest
  void withdrawn();                                  // the newest, which did not begin
  // The file to remove before so many bytes may be written; nothing if they fit. Never the newest.
  std::optional<std::string> to_remove(std::uint64_t bytes) const;
  bool fits(std::uint64_t bytes) const { return total_ + bytes <= most_; }
  std::uint64_t total() const { return total_; }
  std::size_t files() const { return files_.size(); }

 private:
  struct File {
    std::string name;
    std::uint64_t bytes;
  };
  std::uint64_t most_;
  std::uint64_t total_ = 0;
  std::deque<File> files_;
};

} // namespace cometshift
