// Event recorder between a core and the host that drives it. Forwards every event to the core and every
// action to the host unchanged, and writes both to a recording while one is active. It does not influence
// decisions and never blocks.
#pragma once

#include "core.hpp"
#include "decision.hpp"
#include "digest.hpp"
#include "recording_policy.hpp"
#include "segment_writer.hpp"

#include <functional>
#include <memory>
#include <string>

namespace cometshift::wire {
class Entry;
}

namespace cometshift {

class Recorder final : public Events, public DecisionSink {
 public:
  explicit Recorder(Actions& orders); // receives the actions of the core
  ~Recorder() override;
  void bind(Core& core) { core_ = &core; }

  // Starts a recording and ends an active one first. Settings (operator file, docs/capture.md): "folder",
  // "segment_bytes", "segment_age_ns", "total_bytes", "queue_bytes", "bodies", "conceal".
  void begin(Nanos now, const Settings& wanted, std::unique_ptr<SegmentStorage> files);
  void end(Nanos now); // queues the last block, but does not wait for it to be written
  bool recording() const { return segment_writer_ != nullptr; }
  void
  wait_written() const; // blocks until all queued data is written or has failed; not for use on an event loop
  void reloaded(Nanos now, std::string_view words); // records a reload, for information only
  // Statistics of the recording: entries, segments, snapshots, bytes written, gaps, entries lost, segments
  // removed.
  std::string figures() const;

  void op_received(Nanos now, StreamRef line, OpId id, OpTypeId type, TenantId tenant, CallerId caller,
                   Nanos received_at, Nanos limit, double held_kb, double rank, std::string_view mark,
                   std::string_view subject, Content body, Digest body_digest) override;
  void stream_lost(Nanos now, StreamRef line) override;
  void machine_up(Nanos now, Nanos since) override;
  void link_up(Nanos now, StartNo known) override;
  void link_down(Nanos now) override;
  void run_finished(Nanos now, OpId id, Outcome outcome, Nanos lag, Content result) override;
  void call_wanted(Nanos now, OpId id, Content body) override;
  void start_refused(Nanos now, OpId id) override;
  void gauges(Nanos now, std::span<const double> values) override;
  void call_finished(Nanos now, OpId id, Outcome outcome, Content reply) override;
  void due(Nanos now) override;
  void answer_repeats(Nanos now) override;
  void drain(Nanos now, Nanos not_before) override;
  void set_pools(Nanos now, const Settings& pools) override;

  void served(StreamRef line, OpId op, Content result) override;
  void refused(StreamRef line, OpId op, Reason reason, Nanos retry_after, bool no_retry) override;
  void failed(StreamRef line, OpId op, Reason reason) override;
  void penalize(StreamRef line) override;
  void start(OpId op, OpTypeId type, const Content& body, StartNo number) override;
  void resume(OpId op, const Content& reply) override;
  void call(OpId op, Nanos time_out, const Content& body) override;
  void cancel_call(OpId op) override;
  void health(bool good) override;
  void notify_callers(double value) override;
  void set_idle_timeout(Nanos after) override;
  void set_timing(Timing what, Nanos time) override;
  void set_eviction_order(std::span<const Eviction> order, int max_invalid_ops) override;
  void stop_accepting() override;
  void note(const char* kind, std::string_view words) override;

 private:
  void take(const Decision& decision) override;
  Digest digest(const Content& content) override;
  Digest digest_of(std::string_view bytes) const;
  // Runs one event. If it is recorded, `put` fills in its entry first.
  template <class Put, class Run>
  void event(Nanos now, Put put, Run run);
  bool ready(Nanos now);
  std::string segment_start(Nanos now);
  bool open_segment(Nanos now);
  bool close_segment(Nanos now);
  void commit(Nanos now);
  bool flush(Nanos now);
  void lose(Nanos now, std::uint64_t entries);
  std::string concealed(std::string_view word) const;

  Actions& actions_;
  Core* core_ = nullptr;
  std::unique_ptr<SegmentWriter> segment_writer_; // null: no recording is active
  std::unique_ptr<RecordingPolicy> policy_;
  std::unique_ptr<wire::Entry> entry_;
  std::unique_ptr<Hasher> hasher_;
  std::unique_ptr<Pseudonymizer> conceal_; // null: marks and subjects are recorded in plain text
  std::string name_;
  std::string block_; // entries not yet passed to the writer
  std::uint64_t block_entries_ = 0;
  Nanos block_begun_ = 0;
  Nanos last_ = 0; // time of the previous entry
  std::uint64_t recording_ = 0;
  std::uint32_t segment_ = 0;
  std::uint64_t segment_entries_ = 0;
  std::uint64_t entries_ = 0;
  std::uint64_t snapshot_bytes_ = 0; // of all segments, with their heads
  Nanos longest_snapshot_ = 0;       // time that the event loop spent on one
  bool bodies_ = false;
  bool recording_event_ = false; // the current event is being recorded
};

} // namespace cometshift
