// Stands between a core and who drives it, on both sides: hands every event and every order on as it is, and
// records them while it is told to. Changes nothing of what is decided, and waits for nothing.
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
  explicit Recorder(Actions& orders); // where orders go on to
  ~Recorder() override;
  void bind(Core& core) { core_ = &core; }

  // What a recording is to hold, by name (operator file, docs/capture.md): "folder", "segment_bytes",
  // "segment_age_ns", "total_bytes", "queue_bytes", "bodies", "conceal".
  // A recording that is under way ends first.
  void begin(Nanos now, const Settings& wanted, std::unique_ptr<SegmentStorage> files);
  void end(Nanos now); // with its last block handed over, not waited for
  bool recording() const { return segment_writer_ != nullptr; }
  void wait_written() const; // until the disk has taken, or refused, all that was handed over; not for a loop
  void reloaded(Nanos now, std::string_view words); // is written down for readers
  // Of the recording: entries, blocks, bytes written, gaps, entries lost, segments removed.
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
  void drain(Nanos now) override;
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
  void take(const Decision& one) override;
  Digest digest(const Content& content) override;
  Digest digest_of(std::string_view bytes) const;
  // Runs one event, with what `put` makes of its entry before it if it is recorded.
  template <class Put, class Run>
  void event(Nanos now, Put put, Run run);
  bool ready(Nanos now);
  bool open_segment(Nanos now);
  bool close_segment(Nanos now);
  void commit(Nanos now);
  bool flush(Nanos now);
  void lose(Nanos now, std::uint64_t entries);
  std::string concealed(std::string_view word) const;

  Actions& actions_;
  Core* core_ = nullptr;
  std::unique_ptr<SegmentWriter> segment_writer_; // null: nothing is recorded
  std::unique_ptr<RecordingPolicy> policy_;
  std::unique_ptr<wire::Entry> entry_;
  std::unique_ptr<Hasher> hasher_;
  std::unique_ptr<Pseudonymizer> conceal_; // null: marks and subjects are written as they are
  std::string name_;
  std::string block_; // entries not handed over yet
  std::uint64_t block_entries_ = 0;
  Nanos block_begun_ = 0;
  Nanos last_ = 0; // the time of the entry before
  std::uint64_t recording_ = 0;
  std::uint32_t segment_ = 0;
  std::uint64_t segment_entries_ = 0;
  std::uint64_t entries_ = 0;
  bool bodies_ = false;
  bool recording_event_ = false; // this event is
};

} // namespace cometshift
