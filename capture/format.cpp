#include "format.hpp"

#include "capture.pb.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <set>
#include <xxhash.h>

namespace cometshift {

#ifndef COMETSHIFT_BUILD
#define COMETSHIFT_BUILD "unknown"
#endif
const char* const build_name = COMETSHIFT_BUILD;

namespace {

constexpr std::uint32_t max_head_bytes = 1024 * 1024;

void put_number(std::string& out, std::uint64_t value, int bytes) {
  for (; bytes > 0; --bytes, value >>= 8) out += static_cast<char>(value & 0xff);
}
std::uint64_t number_at(const char* at, int bytes) {
  std::uint64_t value = 0;
  for (int i = bytes; i-- > 0;) value = value << 8 | static_cast<unsigned char>(at[i]);
  return value;
}
std::uint64_t checksum(std::string_view length, std::string_view payload) {
  return XXH3_64bits_withSeed(payload.data(), payload.size(), XXH3_64bits(length.data(), length.size()));
}
// Addresses are not recorded, as they do not influence decisions.
bool is_address(std::string_view name) {
  static const std::set<std::string_view> names{"listen", "vm", "announce", "records"};
  return names.contains(name);
}

} // namespace

std::string encode_block(std::string_view payload) {
  std::string out;
  out.reserve(block_header_bytes + payload.size());
  put_number(out, payload.size(), 4);
  put_number(out, checksum(std::string_view(out).substr(0, 4), payload), 8);
  out += payload;
  return out;
}

void encode_setting(wire::Setting& into, const std::string& name, const Settings::mapped_type& value) {
  into.set_name(name);
  if (const double* number = std::get_if<double>(&value))
    into.set_number(*number);
  else
    into.set_text(std::get<std::string>(value));
}
void decode_setting(Settings& into, const wire::Setting& setting) {
  if (setting.value_case() == wire::Setting::kNumber)
    into[setting.name()] = setting.number();
  else
    into[setting.name()] = setting.text();
}

void encode_settings(wire::Head& head, const Settings& settings) {
  for (const auto& [name, value] : settings)
    if (!is_address(name)) encode_setting(*head.add_setting(), name, value);
  head.set_settings_digest(settings_digest(settings));
}

Settings decode_settings(const wire::Head& head) {
  Settings settings;
  for (const wire::Setting& setting : head.setting()) decode_setting(settings, setting);
  return settings;
}

std::uint64_t settings_digest(const Settings& settings) {
  std::string all;
  for (const auto& [name, value] : settings) {
    if (is_address(name)) continue;
    all.append(name).append(1, '\0');
    if (const double* number = std::get_if<double>(&value))
      all.append(1, 'n').append(reinterpret_cast<const char*>(number), sizeof *number);
    else
      all.append(1, 't').append(std::get<std::string>(value));
    all.append(1, '\0');
  }
  return XXH3_64bits(all.data(), all.size());
}

void append_entry(std::string& payload, const wire::Entry& entry) {
  std::uint32_t size = static_cast<std::uint32_t>(entry.ByteSizeLong());
  for (std::uint32_t left = size;; left >>= 7) {
    payload += static_cast<char>(left >= 0x80 ? left | 0x80 : left);
    if (left < 0x80) break;
  }
  const std::size_t before = payload.size();
  payload.resize(before + size);
  entry.SerializeWithCachedSizesToArray(reinterpret_cast<std::uint8_t*>(payload.data() + before));
}

// ---- reading

template <class Kind>
void SegmentReader::bad(std::uint64_t at, const std::string& what) const {
  throw Kind(path_ + ": byte " + std::to_string(at) + ": " + what);
}

SegmentReader::SegmentReader(const std::string& path)
    : path_(path), file_(std::fopen(path.c_str(), "rb"), &std::fclose),
      head_(std::make_unique<wire::Head>()) {
  if (!file_) throw Unreadable(path + ": can't be opened");
  std::fseek(file_.get(), 0, SEEK_END);
  const long size = std::ftell(file_.get());
  std::rewind(file_.get());
  if (size < 0) throw Unreadable(path + ": not a file");
  size_ = static_cast<std::uint64_t>(size);
  char mark[segment_magic.size()];
  if (size_ < sizeof mark || std::fread(mark, 1, sizeof mark, file_.get()) != sizeof mark)
    bad<IncompleteSegment>(0, size_ == 0 ? "empty" : "too short for a segment of a recording");
  if (std::string_view(mark, sizeof mark - 1) != segment_magic.substr(0, sizeof mark - 1))
    bad(0, "not a segment of a recording");
  if (mark[sizeof mark - 1] != segment_magic.back())
    bad(sizeof mark - 1, "framing version not supported by this build");
  at_ = sizeof mark;
  if (!block()) bad<IncompleteSegment>(at_, "ends within the segment header");
  if (payload_.size() > max_head_bytes || !head_->ParseFromString(payload_))
    bad(block_at_, "invalid segment header");
  left_ = {};
  if (head_->format() != capture_format)
    bad(block_at_,
        "format " + std::to_string(head_->format()) + ", this build reads " + std::to_string(capture_format));
  if (settings_digest(decode_settings(*head_)) != head_->settings_digest())
    bad(block_at_, "settings do not match their digest");
}
SegmentReader::~SegmentReader() = default;

bool SegmentReader::block() {
  block_at_ = at_;
  if (at_ == size_) return false;
  char head[block_header_bytes];
  if (size_ - at_ < block_header_bytes ||
      std::fread(head, 1, block_header_bytes, file_.get()) != block_header_bytes) {
    torn_ = true;
    return false;
  }
  const std::uint64_t length = number_at(head, 4);
  if (length == 0 || length > max_block_bytes) bad(at_, "a block of " + std::to_string(length) + " bytes");
  if (length > size_ - at_ - block_header_bytes) { // checked before allocating memory
    torn_ = true;
    return false;
  }
  payload_.resize(length);
  if (std::fread(payload_.data(), 1, length, file_.get()) != length) bad(at_, "can't be read");
  if (checksum(std::string_view(head, 4), payload_) != number_at(head + 4, 8))
    bad(at_, "a block whose checksum does not match");
  at_ += block_header_bytes + length;
  left_ = payload_;
  return true;
}

bool SegmentReader::next(wire::Entry& into) {
  if (left_.empty() && !block()) return false;
  std::uint32_t size = 0;
  google::protobuf::io::CodedInputStream in(reinterpret_cast<const std::uint8_t*>(left_.data()),
                                            static_cast<int>(left_.size()));
  if (!in.ReadVarint32(&size)) bad(block_at_, "an entry without a length");
  left_.remove_prefix(static_cast<std::size_t>(in.CurrentPosition()));
  if (size > left_.size()) bad(block_at_, "an entry that exceeds its block");
  into.Clear();
  if (!into.ParseFromArray(left_.data(), static_cast<int>(size))) bad(block_at_, "an invalid entry");
  left_.remove_prefix(size);
  return true;
}

} // namespace cometshift
