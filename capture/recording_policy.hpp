// Policies of a recording: when to start a new segment, which files to delete, how to react to a full queue
// or a failing disk, and when to retry. No I/O and no clock. The recorder uses RecordingPolicy on the event
// loop, the segment writer uses SegmentRetention on its own thread; they share no state.
#pragma once

#include "ids.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace cometshift {

// Used on the event loop: decides what is recorded, counts lost entries and starts new segments.
class RecordingPolicy {
 public:
  // A segment ends at this age; or at this size, but not before its entries take as many bytes as its
  // snapshot.
  struct Limits {
    std::uint64_t segment_bytes;
    Nanos segment_age;
  };
  explicit RecordingPolicy(Limits limits) : limits_(limits) {}

  // How the next event is handled.
  enum class Step {
    skip,          // not recorded, counted as lost
    record,        // into the open segment
    begin_segment, // into a new segment
  };
  Step step(Nanos now);
  void began(Nanos now,
             std::uint64_t bytes); // a segment was opened; the queue accepted its head and snapshot
  void took(std::uint64_t bytes);  // the queue accepted a block
  // The queue was full or the disk failed; this number of entries was dropped.
  void lost(Nanos now, std::uint64_t entries, std::string reason);

  bool in_gap() const { return in_gap_; }
  std::uint64_t lost_entries() const { return lost_; } // in the current gap
  const std::string& reason() const { return reason_; }
  std::uint64_t gaps() const { return gaps_; }
  std::uint64_t total_lost() const { return total_lost_; }

 private:
  bool segment_ended(Nanos now) const;

  Limits limits_;
  bool open_ = false;
  bool in_gap_ = false;
  std::uint64_t snapshot_bytes_ = 0; // of the open segment, with its head
  std::uint64_t entry_bytes_ = 0;    // of the open segment, behind its snapshot
  Nanos segment_opened_at_ = 0;
  Nanos retry_at_ = 0;
  Nanos retry_delay_ = 0;
  std::uint64_t lost_ = 0;
  std::uint64_t total_lost_ = 0;
  std::uint64_t gaps_ = 0;
  std::string reason_;
};

// Used on the writer thread: tracks the existing files, oldest first, and selects those to delete so that the
// total size never exceeds a limit.
class SegmentRetention {
 public:
  explicit SegmentRetention(std::uint64_t most_bytes) : most_(most_bytes) {}
  void found(std::string name,
             std::uint64_t bytes); // a file of an earlier process; call for the oldest first
  void opened(std::string name);   // a new file, which receives all further writes
  void grew(std::uint64_t bytes);  // the newest file grew
  void removed();                  // the oldest file was deleted
  void withdrawn();                // the newest file was deleted, as its first write failed
  // The file to delete before this number of bytes can be written; nothing if they fit. Never the newest
  // file.
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
