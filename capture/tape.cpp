#include "tape.hpp"

#include "capture.pb.h"
#include "format.hpp"
#include "hex.hpp"
#include "serializer.hpp"

#include <algorithm>
#include <cstdio>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr std::size_t block_bytes = 32 * 1024; // then it is handed over: some tenths of a second of service
constexpr Nanos block_age = 100 * ms;          // what a kill may take with it
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

Tape::Tape(Actions& orders) : actions_(orders), entry_(std::make_unique<wire::Entry>()) {}
Tape::~Tape() {
  if (recording()) end(last_);
}

// ---- a recording

void Tape::begin(Nanos now, const Settings& wanted, std::unique_ptr<Files> files) {
  if (recording()) end(now);
  bodies_ = number(wanted, "bodies", 0) != 0;
  hasher_ = std::make_unique<Hasher>();
  conceal_.reset();
  if (number(wanted, "conceal", 0) != 0) conceal_ = std::make_unique<Pseudonymizer>();
  recording_ = static_cast<std::uint64_t>(now);
  segment_ = 0;
  entries_ = 0;
  const auto bytes = [&](const char* name) {
    return static_cast<std::uint64_t>(required_number(wanted, name, 1));
  };
  const std::string prefix = text(core_->settings(), "name", "server") + "-";
  name_ = prefix;
  put_hex(name_, recording_);
  taping_ = std::make_unique<Taping>(Taping::Bounds{
      bytes("segment_bytes"), static_cast<Nanos>(required_number(wanted, "segment_age_ns", 1))});
  spool_ = std::make_unique<Spool>(std::move(files), prefix,
                                   Spool::Bounds{bytes("queue_bytes"), bytes("total_bytes")});
  actions_.note("recording", "begun: " + name_);
}

void Tape::end(Nanos now) {
  if (!recording()) return;
  close_segment(now);
  actions_.note("recording", "ended: " + figures());
  spool_.reset();
  taping_.reset();
  block_.clear();
  block_entries_ = segment_entries_ = 0;
}

void Tape::wait_written() const {
  if (recording()) spool_->drain();
}

std::string Tape::figures() const {
  if (!recording()) return "none";
  char text[320];
  std::snprintf(
      text, sizeof text,
      "%llu entries in %u segments, %llu bytes written and %llu to be, longest write %.1f ms, %llu segments "
      "removed; %llu "
      "gaps, %llu entries lost in them or more; %s",
      static_cast<unsigned long long>(entries_), segment_, static_cast<unsigned long long>(spool_->written()),
      static_cast<unsigned long long>(spool_->queued()), static_cast<double>(spool_->longest_write()) / ms,
      static_cast<unsigned long long>(spool_->removed()), static_cast<unsigned long long>(taping_->gaps()),
      static_cast<unsigned long long>(taping_->lost_in_all()), spool_->failure().c_str());
  return text;
}

std::string Tape::concealed(std::string_view word) const {
  return conceal_ && !word.empty() ? (*conceal_)(word) : std::string(word);
}

void Tape::lose(Nanos now, std::uint64_t entries) {
  const std::string why = spool_->failure();
  if (!taping_->in_gap()) actions_.note("recording", "a gap begins: " + why);
  taping_->lost(now, entries, why);
  block_.clear();
  block_entries_ = 0;
}

// Hands over what was gathered; false if it was lost.
bool Tape::flush(Nanos now) {
  if (block_.empty()) return true;
  std::string block = block_of(block_);
  const std::uint64_t size = block.size();
  if (!spool_->put(std::move(block))) {
    lose(now, block_entries_);
    return false;
  }
  taping_->took(size);
  block_.clear();
  block_entries_ = 0;
  return true;
}

// Its last entry, handed over; false if it was lost.
bool Tape::close_segment(Nanos now) {
  if (segment_entries_ == 0 || taping_->in_gap()) return true;
  wire::Entry last;
  last.set_after(std::max<Nanos>(0, now - last_));
  last.mutable_end()->set_entries(segment_entries_);
  put_entry(block_, last);
  return flush(now);
}

bool Tape::open_segment(Nanos now) {
  if (!close_segment(now)) return false;
  wire::Head head;
  head.set_format(capture_format);
  head.set_layout(snapshot_layout);
  head.set_build(build_name);
  head.set_recording(recording_);
  head.set_segment(segment_ + 1);
  put_settings(head, core_->settings());
  head.set_concealed(conceal_ != nullptr);
  head.set_bodies(bodies_);
  head.set_at(now);
  head.set_server(text(core_->settings(), "name", ""));
  std::string payload, bytes(segment_mark);
  head.SerializeToString(&payload);
  bytes += block_of(payload);
  payload.clear();
  wire::Entry first;
  Writer writer(
      *first.mutable_snapshot(), [this](std::string_view word) { return concealed(word); },
      [this](std::string_view held) { return token_of(digest_of(held)); });
  core_->serialize(writer);
  put_entry(payload, first);
  if (taping_->in_gap()) {
    wire::Entry gap;
    gap.mutable_gap()->set_entries(taping_->lost_entries());
    gap.mutable_gap()->set_why(taping_->why());
    put_entry(payload, gap);
  }
  bytes += block_of(payload);
  std::string number = std::to_string(segment_ + 1);
  number.insert(0, digits_of_segment - std::min(digits_of_segment, number.size()), '0');
  const std::uint64_t size = bytes.size();
  if (!spool_->begin(name_ + "-" + number + ".capture", std::move(bytes))) {
    lose(now, 1);
    return false;
  }
  if (taping_->in_gap())
    actions_.note("recording",
                  "a gap ends: " + std::to_string(taping_->lost_entries()) + " entries lost or more");
  ++segment_;
  taping_->began(now, size);
  block_.clear();
  block_entries_ = segment_entries_ = 0;
  last_ = now;
  return true;
}

// Whether the event that comes now is recorded, with a segment open for it.
bool Tape::ready(Nanos now) {
  switch (taping_->step(now)) {
  case Taping::Step::leave_out:
    return false;
  case Taping::Step::begin_segment:
    return open_segment(now);
  case Taping::Step::record:
    return true;
  }
  return false;
}

void Tape::commit(Nanos now) {
  if (block_.empty()) block_begun_ = now;
  put_entry(block_, *entry_);
  ++block_entries_;
  ++segment_entries_;
  ++entries_;
  if (block_.size() >= block_bytes || now - block_begun_ >= block_age) flush(now);
}

template <class Put, class Run>
void Tape::event(Nanos now, Put put, Run run) {
  taping_now_ = recording() && ready(now);
  if (!taping_now_) return run();
  entry_->Clear();
  entry_->set_after(now - last_);
  last_ = now;
  put(*entry_);
  run();
  taping_now_ = false;
  commit(now);
}

void Tape::reloaded(Nanos now, std::string_view words) {
  event(
      now, [&](wire::Entry& entry) { entry.set_reload(std::string(words)); }, [] {});
}

// ---- events

void Tape::op_received(Nanos now, StreamRef line, OpId id, OpTypeId type, TenantId tenant, CallerId caller,
                       Nanos received_at, Nanos limit, double held_kb, double rank, std::string_view mark,
                       std::string_view subject, Content body, Digest body_digest) {
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
void Tape::stream_lost(Nanos now, StreamRef line) {
  event(
      now, [&](wire::Entry& entry) { put_line(*entry.mutable_line_lost(), line); },
      [&] { core_->stream_lost(now, line); });
}
void Tape::machine_up(Nanos now, Nanos since) {
  event(
      now, [&](wire::Entry& entry) { entry.set_machine_up(since); }, [&] { core_->machine_up(now, since); });
}
void Tape::link_up(Nanos now, StartNo known) {
  event(
      now, [&](wire::Entry& entry) { entry.set_link_up(known.raw); }, [&] { core_->link_up(now, known); });
}
void Tape::link_down(Nanos now) {
  event(
      now, [](wire::Entry& entry) { entry.set_link_down(true); }, [&] { core_->link_down(now); });
}
void Tape::run_finished(Nanos now, OpId id, Outcome outcome, Nanos lag, Content result) {
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
void Tape::call_wanted(Nanos now, OpId id, Content body) {
  event(
      now,
      [&](wire::Entry& entry) {
        entry.mutable_call_wanted()->set_op(id.raw);
        put_content(*entry.mutable_call_wanted()->mutable_body(), digest(body), body, bodies_);
      },
      [&] { core_->call_wanted(now, id, std::move(body)); });
}
void Tape::start_refused(Nanos now, OpId id) {
  event(
      now, [&](wire::Entry& entry) { entry.set_start_refused(id.raw); },
      [&] { core_->start_refused(now, id); });
}
void Tape::gauges(Nanos now, std::span<const double> values) {
  event(
      now,
      [&](wire::Entry& entry) {
        for (const double value : values) entry.mutable_gauges()->add_value(value);
      },
      [&] { core_->gauges(now, values); });
}
void Tape::call_finished(Nanos now, OpId id, Outcome outcome, Content reply) {
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
void Tape::due(Nanos now) {
  event(
      now, [](wire::Entry& entry) { entry.set_due(true); }, [&] { core_->due(now); });
}
void Tape::answer_repeats(Nanos now) {
  event(
      now, [](wire::Entry& entry) { entry.set_settle(true); }, [&] { core_->answer_repeats(now); });
}
void Tape::drain(Nanos now) {
  event(
      now, [](wire::Entry& entry) { entry.set_leave(true); }, [&] { core_->drain(now); });
}

void Tape::set_pools(Nanos now, const Settings& pools) {
  event(
      now,
      [&](wire::Entry& entry) {
        for (const auto& [name, value] : pools)
          if (Pools::is_setting(name)) put_setting(*entry.mutable_pools()->add_setting(), name, value);
        entry.mutable_pools();
      },
      [&] { core_->set_pools(now, pools); });
}

// ---- orders

Digest Tape::digest_of(std::string_view bytes) const {
  Digest digest;
  if (!bytes.empty()) std::tie(digest.high, digest.low) = (*hasher_)(bytes);
  return digest;
}
Digest Tape::digest(const Content& content) { return digest_of(content.bytes); }

void Tape::take(const Decided& one) {
  wire::Order& order = *entry_->add_order();
  order.set_kind(static_cast<std::uint32_t>(one.kind));
  order.set_op(one.op.raw);
  if (one.line != StreamRef{}) put_line(*order.mutable_line(), one.line);
  order.set_why(static_cast<std::uint32_t>(one.why));
  order.set_span(one.span);
  order.set_value(one.value);
  order.set_flag(one.flag);
  order.set_high(one.content.high);
  order.set_low(one.content.low);
  order.set_size(one.size);
  order.set_number(one.number);
  order.set_start(one.start);
}

void Tape::served(StreamRef line, OpId op, Content result) {
  if (taping_now_)
    take({.kind = Kind::served, .op = op, .line = line, .content = digest(result), .size = result.size});
  actions_.served(line, op, std::move(result));
}
void Tape::refused(StreamRef line, OpId op, Reason why, Nanos retry_after, bool no_retry) {
  if (taping_now_) Listener::refused(line, op, why, retry_after, no_retry);
  actions_.refused(line, op, why, retry_after, no_retry);
}
void Tape::failed(StreamRef line, OpId op, Reason why) {
  if (taping_now_) Listener::failed(line, op, why);
  actions_.failed(line, op, why);
}
void Tape::penalize(StreamRef line) {
  if (taping_now_) Listener::penalize(line);
  actions_.penalize(line);
}
void Tape::start(OpId op, OpTypeId type, const Content& body, StartNo number) {
  if (taping_now_) Listener::start(op, type, body, number);
  actions_.start(op, type, body, number);
}
void Tape::resume(OpId op, const Content& reply) {
  if (taping_now_) Listener::resume(op, reply);
  actions_.resume(op, reply);
}
void Tape::call(OpId op, Nanos time_out, const Content& body) {
  if (taping_now_) Listener::call(op, time_out, body);
  actions_.call(op, time_out, body);
}
void Tape::cancel_call(OpId op) {
  if (taping_now_) Listener::cancel_call(op);
  actions_.cancel_call(op);
}
void Tape::health(bool good) {
  if (taping_now_) Listener::health(good);
  actions_.health(good);
}
void Tape::notify_callers(double value) {
  if (taping_now_) Listener::notify_callers(value);
  actions_.notify_callers(value);
}
void Tape::set_idle_timeout(Nanos after) {
  if (taping_now_) Listener::set_idle_timeout(after);
  actions_.set_idle_timeout(after);
}
void Tape::set_timing(Timing what, Nanos time) {
  if (taping_now_) Listener::set_timing(what, time);
  actions_.set_timing(what, time);
}
void Tape::set_eviction_order(std::span<const Eviction> order, int max_invalid_ops) {
  if (taping_now_) Listener::set_eviction_order(order, max_invalid_ops);
  actions_.set_eviction_order(order, max_invalid_ops);
}
void Tape::stop_accepting() {
  if (taping_now_) Listener::stop_accepting();
  actions_.stop_accepting();
}
void Tape::note(const char* kind, std::string_view words) { actions_.note(kind, words); }

} // namespace cometshift
