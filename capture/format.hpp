// File format of recordings. A segment starts with an 8-byte magic number, followed by blocks:
//
//   block = length:4 checksum:8 payload        little-endian; length is the payload size, 1 to
//   max_block_bytes
//
// The checksum is XXH3 (64 bits) over the four length bytes and the payload. The payload of the first block
// is a wire::Head; each following payload is a sequence of wire::Entry messages, each prefixed with its
// length as a varint. The first entry of a segment is a snapshot, so that each segment can be replayed on its
// own. The only I/O here is the file of the reader.
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
constexpr std::uint32_t snapshot_layout = 3;
constexpr std::uint32_t oldest_snapshot_layout = 2; // that this build reads
constexpr std::size_t block_header_bytes = 12;
constexpr std::size_t max_block_bytes = 64 * 1024 * 1024; // a snapshot with all tables full takes several MB
extern const char* const build_name;

// A recording that cannot be read; the message has the form "FILE: byte N: reason".
struct Unreadable : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A segment that ends before its first entry, because the writer was killed while it created the file. It
// contains no events, so nothing is lost by leaving it out.
struct IncompleteSegment : Unreadable {
  using Unreadable::Unreadable;
};

// The payload with its length and checksum in front.
std::string encode_block(std::string_view payload);
// Digest of the names and values of all settings except addresses.
std::uint64_t settings_digest(const Settings& settings);
void encode_settings(wire::Head& head, const Settings& settings);
Settings decode_settings(const wire::Head& head);
void encode_setting(wire::Setting& into, const std::string& name, const Settings::mapped_type& value);
void decode_setting(Settings& into, const wire::Setting& setting);
void append_entry(std::string& payload, const wire::Entry& entry);

// Reads one segment block by block; its memory use does not depend on the file size. Throws Unreadable.
class SegmentReader {
 public:
  explicit SegmentReader(const std::string& path);
  ~SegmentReader();
  const wire::Head& head() const { return *head_; }
  const std::string& path() const { return path_; }
  // Reads the next entry; false at the end. An incomplete last block, as a killed writer leaves it, also
  // counts as the end, and torn() is then true. Throws if the checksum of a block does not match.
  bool next(wire::Entry& into);
  bool torn() const { return torn_; }
  std::uint64_t at() const { return block_at_; } // offset of the block that holds the last entry

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
