#include "recording_policy.hpp"

#include <algorithm>
#include <utility>

namespace cometshift {

namespace {
constexpr Nanos second = 1'000'000'000;
constexpr Nanos initial_retry_delay = second / 2; // a busy disk has often recovered by then
constexpr Nanos max_retry_delay = 30 * second;    // one snapshot per attempt is a negligible load
} // namespace

// A snapshot takes as long as the state is large. So a segment does not end by its size before its entries
// take as much room as its snapshot: between two snapshots there is as much to record, or an age, or a gap's
// delay.
bool RecordingPolicy::segment_ended(Nanos now) const {
  const bool full =
      snapshot_bytes_ + entry_bytes_ >= limits_.segment_bytes && entry_bytes_ >= snapshot_bytes_;
  return full || now - segment_opened_at_ >= limits_.segment_age;
}

// Keeps the cost of recording from rising when the disk is slow or failing: during a gap no events are
// encoded, and new segments are attempted with exponential backoff. A gap can therefore last some seconds
// longer than the fault that caused it.
RecordingPolicy::Step RecordingPolicy::step(Nanos now) {
  if (in_gap_ && now < retry_at_) {
    ++lost_;
    ++total_lost_;
    return Step::skip;
  }
  return in_gap_ || !open_ || segment_ended(now) ? Step::begin_segment : Step::record;
}

void RecordingPolicy::began(Nanos now, std::uint64_t bytes) {
  open_ = true;
  in_gap_ = false;
  lost_ = 0;
  snapshot_bytes_ = bytes;
  entry_bytes_ = 0;
  segment_opened_at_ = now;
}

// Resets the backoff, as a complete block was accepted.
void RecordingPolicy::took(std::uint64_t bytes) {
  entry_bytes_ += bytes;
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
