#include "recording_policy.hpp"

#include <algorithm>
#include <utility>

namespace cometshift {

namespace {
constexpr Nanos second = 1'000'000'000;
constexpr Nanos initial_retry_delay =
    second / 2; // after a gap began: a busy disk has often come round by then
constexpr Nanos max_retry_delay =
    30 * second; // between trials: a snapshot each is no load, and a fault is seen soon enough
} // namespace

// Against a recording that costs more the worse the disk is: in a gap nothing is encoded, and a segment is
// tried at times that lie ever further apart. It may lose some seconds more than the disk did.
RecordingPolicy::Step RecordingPolicy::step(Nanos now) {
  if (in_gap_ && now < retry_at_) {
    ++lost_;
    ++total_lost_;
    return Step::skip;
  }
  if (in_gap_ || !open_ || bytes_ >= limits_.segment_bytes || now - segment_opened_at_ >= limits_.segment_age)
    return Step::begin_segment;
  return Step::record;
}

void RecordingPolicy::began(Nanos now, std::uint64_t bytes) {
  open_ = true;
  in_gap_ = false;
  lost_ = 0;
  bytes_ = bytes;
  segment_opened_at_ = now;
}

// A block that was taken whole ends what a gap's rests have grown to.
void RecordingPolicy::took(std::uint64_t bytes) {
  bytes_ += bytes;
  retry_delay_ = 0;
}

void RecordingPolicy::lost(Nanos now, std::uint64_t entries, std::string reason) {
  if (!in_gap_) ++gaps_;
  in_gap_ = true;
  open_ = false;
  lost_ += entries;
  total_lost_ += entries;
  reason_ = std::move(reason);
  retry_delay_ = std::clamp(2 * retry_delay_, initial_retry_delay, max_retry_delay);
  retry_at_ = now + retry_delay_;
}

void SegmentRetention::found(std::string name, std::uint64_t bytes) {
  files_.push_back({std::move(name), bytes});
  total_ += bytes;
}
void SegmentRetention::opened(std::string name) { files_.push_back({std::move(name), 0}); }
void SegmentRetention::grew(std::uint64_t bytes) {
  files_.back().bytes += bytes;
  total_ += bytes;
}
void SegmentRetention::removed() {
  total_ -= files_.front().bytes;
  files_.pop_front();
}
void SegmentRetention::withdrawn() {
  total_ -= files_.back().bytes;
  files_.pop_back();
}
std::optional<std::string> SegmentRetention::to_remove(std::uint64_t bytes) const {
  if (fits(bytes) || files_.size() <= 1) return std::nullopt;
  return files_.front().name;
}

} // namespace cometshift
