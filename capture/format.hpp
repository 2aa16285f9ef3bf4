// How a recording lies in files. A segment begins with eight bytes that say what it is; then come blocks:
//
//   block = length:4 checksum:8 payload        little-endian; length counts the payload, 1 to `most_block`
//
// The checksum is XXH3 (64 bits) of the length's four bytes and the payload. The first block's payload is a
// wire::Head, that of each other a row of wire::Entry, each with its length as a varint before it. The first
// entry of a segment is a snapshot, so each segment can be replayed by itself. No I/O but the reader's file.
#pragma once

#include "ids.hpp"
#include "state.hpp"

#include <cstdint>
#include <cstdio>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace cometshift::wire {
class Entry;
class Head;
class Setting;
} // namespace cometshift::wire

namespace cometshift {

constexpr std::string_view segment_magic = "CMTSHFT\x01";
constexpr std::uint32_t capture_format = 1;
constexpr std::uint32_t snapshot_layout = 2;
constexpr std::size_t block_header_bytes = 12;
constexpr std::size_t max_block_bytes = 64 * 1024 * 1024; // a snapshot with every table full takes some MB
extern const char* const build_name;

// What can't be read, and where: "FILE: byte N: what".
struct Unreadable : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A segment that ends before its first entry, as of a writer that was killed when it began it: nothing in it
// is lost.
struct IncompleteSegment : Unreadable {
  using Unreadable::Unreadable;
};

// A payload with what stands before it.
std::string encode_block(std::string_view payload);
// Of the settings' names and values, addresses left out.
std::uint64_t settings_digest(const Settings& settings);
void encode_settings(wire::Head& head, const Settings& settings);
Settings decode_settings(const wire::Head& head);
void encode_setting(wire::Setting& into, const std::string& name, const Settings::mapped_type& value);
void decode_setting(Settings& into, const wire::Setting& one);
void append_entry(std::string& payload, const wire::Entry& entry);

// Reads one segment, a block at a time: its memory does not grow with the file. Throws Unreadable.
class SegmentReader {
 public:
  explicit SegmentReader(const std::string& path);
  ~SegmentReader();
  const wire::Head& head() const { return *head_; }
  const std::string& path() const { return path_; }
  // The next entry; false at the end. A block that is not whole is an end too, as of a writer that was
  // killed: `torn` says so. A block whose checksum is not that of its bytes is thrown.
  bool next(wire::Entry& into);
  bool torn() const { return torn_; }
  std::uint64_t at() const { return block_at_; } // byte where the block of the last entry begins

 private:
  bool block();
  template <class Kind = Unreadable>
  [[noreturn]] void bad(std::uint64_t at, const std::string& what) const;

  std::string path_;
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file_;
  std::unique_ptr<wire::Head> head_;
  std::string payload_;
  std::string_view left_;
  std::uint64_t at_ = 0, block_at_ = 0, size_ = 0;
  bool torn_ = false;
};

} // namespace cometshift
