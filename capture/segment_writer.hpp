// Writes the segments of a recording on a background thread, with a queue that is limited in bytes. Owns the
// open file and the thread. The destructor releases both once everything queued is written or has failed.
// put() never waits for the disk. The destructor waits for half a second at most and then detaches a thread
// that is blocked on the disk.
#pragma once

#include "recording_policy.hpp"

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cometshift {

// The files of one folder. On errors the functions return false, and reason() describes errno; they do not
// throw.
class SegmentStorage {
 public:
  virtual ~SegmentStorage() = default;
  virtual bool open(const std::string& name) = 0; // creates a file for writing; closes the previous one
  virtual bool write(const std::string& bytes) = 0;
  virtual void close() = 0;
  virtual bool remove(const std::string& name) = 0;
  virtual std::vector<std::pair<std::string, std::uint64_t>> list() = 0; // names and sizes, sorted by name
  virtual std::string reason() const = 0;
};
std::unique_ptr<SegmentStorage> folder_storage(const std::string& folder);

class SegmentWriter {
 public:
  struct Limits {
    std::size_t queue_bytes;
    std::uint64_t total_bytes;
  };
  // Only files whose names start with `prefix` and end in `.capture` are counted and deleted.
  SegmentWriter(std::unique_ptr<SegmentStorage> files, std::string prefix, Limits limits);
  ~SegmentWriter();
  SegmentWriter(const SegmentWriter&) = delete;
  SegmentWriter& operator=(const SegmentWriter&) = delete;

  // begin() queues a new segment with its first bytes; put() appends to the last one. Both return false and
  // queue nothing if the queue is full. put() also does so if the last segment has failed; only begin()
  // succeeds then.
  bool begin(const std::string& name, std::string bytes);
  bool put(std::string bytes);

  std::string failure() const;         // reason of the last failure; empty: none yet
  std::uint64_t written() const;       // bytes written
  std::uint64_t queued() const;        // bytes queued and not yet written
  std::uint64_t failures() const;      // segments aborted by an error
  std::uint64_t removed() const;       // files deleted
  std::uint64_t longest_write() const; // ns
  void drain();                        // waits until everything queued is written or has failed

 private:
  struct Work; // shared with the thread, which outlives this object if the disk blocks
  std::shared_ptr<Work> work_;
  std::thread thread_;
};

} // namespace cometshift
