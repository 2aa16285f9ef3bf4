// Writes a recording's segments off the loop: one thread, one queue with a bound in bytes. Owns the open file
// and the thread; gives both back in its destructor, once all that was taken is written or has failed. A slow
// or failing disk is never waited for by `put`, and by the destructor for half a second: a thread that hangs
// then is left to itself.
#pragma once

#include "recording_policy.hpp"

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cometshift {

// The files of one folder. Errors are told, not thrown: false, with `errno`'s words in `why()`.
class SegmentStorage {
 public:
  virtual ~SegmentStorage() = default;
  virtual bool open(const std::string& name) = 0; // new, to be written; closes the one before
  virtual bool write(const std::string& bytes) = 0;
  virtual void close() = 0;
  virtual bool remove(const std::string& name) = 0;
  virtual std::vector<std::pair<std::string, std::uint64_t>> list() = 0; // names and sizes, by name
  virtual std::string reason() const = 0;
};
std::unique_ptr<SegmentStorage> folder_storage(const std::string& folder);

class SegmentWriter {
 public:
  struct Limits {
    std::size_t queue_bytes;
    std::uint64_t total_bytes;
  };
  // Only files whose names begin with `prefix` and end in `.capture` are counted and removed.
  SegmentWriter(std::unique_ptr<SegmentStorage> files, std::string prefix, Limits limits);
  ~SegmentWriter();
  SegmentWriter(const SegmentWriter&) = delete;
  SegmentWriter& operator=(const SegmentWriter&) = delete;

  // A new segment that begins with these bytes, or more of the last one. False, with nothing taken, where the
  // queue has no room, or the last segment has failed: then only a new segment can be taken.
  bool begin(const std::string& name, std::string bytes);
  bool put(std::string bytes);

  std::string failure() const;         // of the last that failed; empty: none yet
  std::uint64_t written() const;       // bytes
  std::uint64_t queued() const;        // bytes taken and not written yet
  std::uint64_t failures() const;      // segments that were broken off
  std::uint64_t removed() const;       // files
  std::uint64_t longest_write() const; // ns
  void drain();                        // waits until all that was taken is written or has failed

 private:
  struct Work; // shared with the thread, which may outlive this object if the disk hangs
  std::shared_ptr<Work> work_;
  std::thread thread_;
};

} // namespace cometshift
