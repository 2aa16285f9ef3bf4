#include "recorder.hpp"

#include "capture.pb.h"
#include "format.hpp"
#include "hex.hpp"
#include "serializer.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr std::size_t block_bytes = 32 * 1024; // a few tenths of a second of traffic
constexpr Nanos block_age = 100 * ms;          // limits what is lost if the process is killed
constexpr std::size_t digits_of_segment = 6;

void put_line(wire::Place& into, StreamRef line) {
  into.set_connection(line.connection.raw);
  into.set_stream(line.stream.raw);
}
void put_content(wire::Content& into, Digest digest, const Content& content, bool bodies) {
  into.set_high(digest.high);
  into.set_low(digest.low);
  into.set_size(content.size);
  if (bodies) into.set_bytes(content.bytes);
}

} // namespace

Recorder::Recorder(Actions& orders) : actions_(orders), entry_(std::make_unique<wire::Entry>()) {}
Recorder::~Recorder() {
  if (recording()) end(last_);
}

// ---- a recording

void Recorder::begin(Nanos now, const Settings& wanted, std::unique_ptr<SegmentStorage> files) {
  if (recording()) end(now);
  bodies_ = number(wanted, "bodies", 0) != 0;
  hasher_ = std::make_unique<Hasher>();
  conceal_.reset();
  if (number(wanted, "conceal", 0) != 0) conceal_ = std::make_unique<Pseudonymizer>();
  recording_ = static_cast<std::uint64_t>(now);
  segment_ = 0;
  entries_ = 0;
  snapshot_bytes_ = 0;
  longest_snapshot_ = 0;
  const auto bytes = [&](const char* name) {
    return static_cast<std::uint64_t>(required_number(wanted, name, 1));
  };
  const std::string prefix = text(core_->settings(), "name", "server") + "-";
  name_ = prefix;
  put_hex(name_, recording_);
  policy_ = std::make_unique<RecordingPolicy>(RecordingPolicy::Limits{
      bytes("segment_bytes"), static_cast<Nanos>(required_number(wanted, "segment_age_ns", 1))});
  segment_writer_ = std::make_unique<SegmentWriter>(
      std::move(files), prefix, SegmentWriter::Limits{bytes("queue_bytes"), bytes("total_bytes")});
  actions_.note("recording", "begun: " + name_);
}

void Recorder::end(Nanos now) {
  if (!recording()) return;
  close_segment(now);
  actions_.note("recording", "ended: " + figures());
  segment_writer_.reset();
  policy_.reset();
  block_.clear();
  block_entries_ = segment_entries_ = 0;
}

void Recorder::wait_written() const {
  if (recording()) segment_writer_->drain();
}

std::string Recorder::figures() const {
  if (!recording()) return "none";
  char text[400];
  std::snprintf(
      text, sizeof text,
      "%llu entries in %u segments, snapshots of %llu bytes, the longest took %.1f ms; %llu bytes written "
      "and "
      "%llu to be, longest write %.1f ms, %llu segments removed; %llu gaps, %llu entries lost in them or "
      "more; %s",
      static_cast<unsigned long long>(entries_), segment_, static_cast<unsigned long long>(snapshot_bytes_),
      static_cast<double>(longest_snapshot_) / ms,
      static_cast<unsigned long long>(segment_writer_->written()),
      static_cast<unsigned long long>(segment_writer_->queued()),
      static_cast<double>(segment_writer_->longest_write()) / ms,
      static_cast<unsigned long long>(segment_writer_->removed()),
      static_cast<unsigned long long>(policy_->gaps()),
      static_cast<unsigned long long>(policy_->total_lost()), segment_writer_->failure().c_str());
  return text;
}

std::string Recorder::concealed(std::string_view word) const {
  return conceal_ && !word.empty() ? (*conceal_)(word) : std::string(word);
}

void Recorder::lose(Nanos now, std::uint64_t entries) {
  const std::string reason = segment_writer_->failure();
  if (!policy_->in_gap()) actions_.note("recording", "a gap begins: " + reason);
  policy_->lost(now, entries, reason);
  block_.clear();
  block_entries_ = 0;
}

// Passes the current block to the writer; false if it was lost.
bool Recorder::flush(Nanos now) {
  if (block_.empty()) return true;
  std::string block = encode_block(block_);
  const std::uint64_t size = block.size();
  if (!segment_writer_->put(std::move(block))) {
    lose(now, block_entries_);
    return false;
  }
  policy_->took(size);
  block_.clear();
  block_entries_ = 0;
  return true;
}

// Appends the end entry and flushes; false if the block was lost.
bool Recorder::close_segment(Nanos now) {
  if (segment_entries_ == 0 || policy_->in_gap()) return true;
  wire::Entry last;
  last.set_after(std::max<Nanos>(0, now - last_));
  last.mutable_end()->set_entries(segment_entries_);
  append_entry(block_, last);
  return flush(now);
}

// The head of a new segment, and its first entry: the state of the core.
std::string Recorder::segment_start(Nanos now) {
  const auto started = std::chrono::steady_clock::now();
  wire::Head head;
  head.set_format(capture_format);
  head.set_layout(snapshot_layout);
  head.set_build(build_name);
  head.set_recording(recording_);
  head.set_segment(segment_ + 1);
  encode_settings(head, core_->settings());
  head.set_concealed(conceal_ != nullptr);
  head.set_bodies(bodies_);
  head.set_at(now);
  head.set_server(text(core_->settings(), "name", ""));
  std::string payload, bytes(segment_magic);
  head.SerializeToString(&payload);
  bytes += encode_block(payload);
  payload.clear();
  wire::Entry first;
  Writer writer(
      *first.mutable_snapshot(), [this](std::string_view word) { return concealed(word); },
      [this](std::string_view held) { return digest_token(digest_of(held)); });
  core_->serialize(writer);
  append_entry(payload, first);
  if (policy_->in_gap()) {
    wire::Entry gap;
    gap.mutable_gap()->set_entries(policy_->lost_entries());
    gap.mutable_gap()->set_why(policy_->reason());
    append_entry(payload, gap);
  }
  bytes += encode_block(payload);
  snapshot_bytes_ += bytes.size();
  longest_snapshot_ = std::max<Nanos>(longest_snapshot_, std::chrono::duration_cast<std::chrono::nanoseconds>(
                                                             std::chrono::steady_clock::now() - started)
                                                             .count());
  return bytes;
}

bool Recorder::open_segment(Nanos now) {
  if (!close_segment(now)) return false;
  std::string bytes = segment_start(now);
  std::string number = std::to_string(segment_ + 1);
  number.insert(0, digits_of_segment - std::min(digits_of_segment, number.size()), '0');
  const std::uint64_t size = bytes.size();
  if (!segment_writer_->begin(name_ + "-" + number + ".capture", std::move(bytes))) {
    lose(now, 1);
    return false;
  }
  if (policy_->in_gap())
    actions_.note("recording",
                  "a gap ends: " + std::to_string(policy_->lost_entries()) + " entries lost or more");
  ++segment_;
  policy_->began(now, size);
  block_.clear();
  block_entries_ = segment_entries_ = 0;
  last_ = now;
  return true;
}

// Returns whether the current event is recorded; opens a new segment for it if necessary.
bool Recorder::ready(Nanos now) {
  switch (policy_->step(now)) {
  case RecordingPolicy::Step::skip:
    return false;
  case RecordingPolicy::Step::begin_segment:
    return open_segment(now);
  case RecordingPolicy::Step::record:
    return true;
  }
  return false;
}

void Recorder::commit(Nanos now) {
  if (block_.empty()) block_begun_ = now;
  append_entry(block_, *entry_);
  ++block_entries_;
  ++segment_entries_;
  ++entries_;
  if (block_.size() >= block_bytes || now - block_begun_ >= block_age) flush(now);
}

template <class Put, class Run>
void Recorder::event(Nanos now, Put put, Run run) {
  recording_event_ = recording() && ready(now);
  if (!recording_event_) return run();
  entry_->Clear();
  entry_->set_after(now - last_);
  last_ = now;
  put(*entry_);
  run();
  recording_event_ = false;
  commit(now);
}

void Recorder::reloaded(Nanos now, std::string_view words) {
  event(
      now, [&](wire::Entry& entry) { entry.set_reload(std::string(words)); }, [] {});
}

// ---- events

void Recorder::op_received(Nanos now, StreamRef line, OpId id, OpTypeId type, TenantId tenant,
                           CallerId caller, Nanos received_at, Nanos limit, double held_kb, double rank,
                           std::string_view mark, std::string_view subject, Content body,
                           Digest body_digest) {
  event(
      now,
      [&](wire::Entry& entry) {
        wire::Came& came = *entry.mutable_came();
        put_line(*came.mutable_line(), line);
        came.set_op(id.raw);
        came.set_type(type.raw);
        came.set_tenant(tenant.raw);
        came.set_caller(caller.raw);
        came.set_waited(now - received_at);
        came.set_limit(limit);
        came.set_held_kb(held_kb);
        came.set_rank(rank);
        came.set_mark(concealed(mark));
        came.set_subject(concealed(subject));
        put_content(*came.mutable_body(), digest(body), body, bodies_);
        came.set_digest_high(body_digest.high);
        came.set_digest_low(body_digest.low);
      },
      [&] {
        core_->op_received(now, line, id, type, tenant, caller, received_at, limit, held_kb, rank, mark,
                           subject, std::move(body), body_digest);
      });
}
void Recorder::stream_lost(Nanos now, StreamRef line) {
  event(
      now, [&](wire::Entry& entry) { put_line(*entry.mutable_line_lost(), line); },
      [&] { core_->stream_lost(now, line); });
}
void Recorder::machine_up(Nanos now, Nanos since) {
  event(
      now, [&](wire::Entry& entry) { entry.set_machine_up(since); }, [&] { core_->machine_up(now, since); });
}
void Recorder::link_up(Nanos now, StartNo known) {
  event(
      now, [&](wire::Entry& entry) { entry.set_link_up(known.raw); }, [&] { core_->link_up(now, known); });
}
void Recorder::link_down(Nanos now) {
  event(
      now, [](wire::Entry& entry) { entry.set_link_down(true); }, [&] { core_->link_down(now); });
}
void Recorder::run_finished(Nanos now, OpId id, Outcome outcome, Nanos lag, Content result) {
  event(
      now,
      [&](wire::Entry& entry) {
        wire::Over& over = *entry.mutable_run_over();
        over.set_op(id.raw);
        over.set_outcome(static_cast<std::uint32_t>(outcome));
        over.set_lag(lag);
        put_content(*over.mutable_content(), digest(result), result, bodies_);
      },
      [&] { core_->run_finished(now, id, outcome, lag, std::move(result)); });
}
void Recorder::call_wanted(Nanos now, OpId id, Content body) {
  event(
      now,
      [&](wire::Entry& entry) {
        entry.mutable_call_wanted()->set_op(id.raw);
        put_content(*entry.mutable_call_wanted()->mutable_body(), digest(body), body, bodies_);
      },
      [&] { core_->call_wanted(now, id, std::move(body)); });
}
void Recorder::start_refused(Nanos now, OpId id) {
  event(
      now, [&](wire::Entry& entry) { entry.set_start_refused(id.raw); },
      [&] { core_->start_refused(now, id); });
}
void Recorder::gauges(Nanos now, std::span<const double> values) {
  event(
      now,
      [&](wire::Entry& entry) {
        for (const double value : values) entry.mutable_gauges()->add_value(value);
      },
      [&] { core_->gauges(now, values); });
}
void Recorder::call_finished(Nanos now, OpId id, Outcome outcome, Content reply) {
  event(
      now,
      [&](wire::Entry& entry) {
        wire::Over& over = *entry.mutable_call_over();
        over.set_op(id.raw);
        over.set_outcome(static_cast<std::uint32_t>(outcome));
        put_content(*over.mutable_content(), digest(reply), reply, bodies_);
      },
      [&] { core_->call_finished(now, id, outcome, std::move(reply)); });
}
void Recorder::due(Nanos now) {
  event(
      now, [](wire::Entry& entry) { entry.set_due(true); }, [&] { core_->due(now); });
}
void Recorder::answer_repeats(Nanos now) {
  event(
      now, [](wire::Entry& entry) { entry.set_settle(true); }, [&] { core_->answer_repeats(now); });
}
void Recorder::drain(Nanos now, Nanos not_before) {
  event(
      now,
      [&](wire::Entry& entry) {
        entry.set_leave(true);
        entry.set_leave_within(now - not_before);
      },
      [&] { core_->drain(now, not_before); });
}

void Recorder::set_pools(Nanos now, const Settings& pools) {
  event(
      now,
      [&](wire::Entry& entry) {
        for (const auto& [name, value] : pools)
          if (Pools::is_setting(name)) encode_setting(*entry.mutable_pools()->add_setting(), name, value);
        entry.mutable_pools();
      },
      [&] { core_->set_pools(now, pools); });
}

// ---- actions

Digest Recorder::digest_of(std::string_view bytes) const {
  Digest digest;
  if (!bytes.empty()) std::tie(digest.high, digest.low) = (*hasher_)(bytes);
  return digest;
}
Digest Recorder::digest(const Content& content) { return digest_of(content.bytes); }

void Recorder::take(const Decision& decision) {
  wire::Order& order = *entry_->add_order();
  order.set_kind(static_cast<std::uint32_t>(decision.kind));
  order.set_op(decision.op.raw);
  if (decision.line != StreamRef{}) put_line(*order.mutable_line(), decision.line);
  order.set_why(static_cast<std::uint32_t>(decision.reason));
  order.set_span(decision.span);
  order.set_value(decision.value);
  order.set_flag(decision.flag);
  order.set_high(decision.content.high);
  order.set_low(decision.content.low);
  order.set_size(decision.size);
  order.set_number(decision.number);
  order.set_start(decision.start);
}

void Recorder::served(StreamRef line, OpId op, Content result) {
  if (recording_event_)
    take({.kind = Kind::served, .op = op, .line = line, .content = digest(result), .size = result.size});
  actions_.served(line, op, std::move(result));
}
void Recorder::refused(StreamRef line, OpId op, Reason reason, Nanos retry_after, bool no_retry) {
  if (recording_event_) DecisionSink::refused(line, op, reason, retry_after, no_retry);
  actions_.refused(line, op, reason, retry_after, no_retry);
}
void Recorder::failed(StreamRef line, OpId op, Reason reason) {
  if (recording_event_) DecisionSink::failed(line, op, reason);
  actions_.failed(line, op, reason);
}
void Recorder::penalize(StreamRef line) {
  if (recording_event_) DecisionSink::penalize(line);
  actions_.penalize(line);
}
void Recorder::start(OpId op, OpTypeId type, const Content& body, StartNo number) {
  if (recording_event_) DecisionSink::start(op, type, body, number);
  actions_.start(op, type, body, number);
}
void Recorder::resume(OpId op, const Content& reply) {
  if (recording_event_) DecisionSink::resume(op, reply);
  actions_.resume(op, reply);
}
void Recorder::call(OpId op, Nanos time_out, const Content& body) {
  if (recording_event_) DecisionSink::call(op, time_out, body);
  actions_.call(op, time_out, body);
}
void Recorder::cancel_call(OpId op) {
  if (recording_event_) DecisionSink::cancel_call(op);
  actions_.cancel_call(op);
}
void Recorder::health(bool good) {
  if (recording_event_) DecisionSink::health(good);
  actions_.health(good);
}
void Recorder::notify_callers(double value) {
  if (recording_event_) DecisionSink::notify_callers(value);
  actions_.notify_callers(value);
}
void Recorder::set_idle_timeout(Nanos after) {
  if (recording_event_) DecisionSink::set_idle_timeout(after);
  actions_.set_idle_timeout(after);
}
void Recorder::set_timing(Timing what, Nanos time) {
  if (recording_event_) DecisionSink::set_timing(what, time);
  actions_.set_timing(what, time);
}
void Recorder::set_eviction_order(std::span<const Eviction> order, int max_invalid_ops) {
  if (recording_event_) DecisionSink::set_eviction_order(order, max_invalid_ops);
  actions_.set_eviction_order(order, max_invalid_ops);
}
void Recorder::stop_accepting() {
  if (recording_event_) DecisionSink::stop_accepting();
  actions_.stop_accepting();
}
void Recorder::note(const char* kind, std::string_view words) { actions_.note(kind, words); }

} // namespace cometshift
