// cometshift_simhost: hosts one DecisionModule per simulated instance and speaks the simulator's protocol on
// standard input and output. It only translates: every decoded event becomes a call, every action a line.
// Names of the protocol are used only here. An error in the input ends the process with one line on standard
// error.
#include "decision_module.hpp"
#include "hex.hpp"
#include "settings.hpp"

#include <simdjson.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <optional>
#include <unistd.h>

using namespace cometshift;
using simdjson::dom::element;
using simdjson::dom::object;

namespace {

// Error in the input or in the standard streams.
struct ProtocolError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// ---- actions, encoded as lines

// Output buffer for the lines of one batch.
class OutputBuffer {
  std::string out_;

 public:
  void raw(std::string_view s) { out_ += s; }
  template <class N>
  void number(N value) {
    char digits[32];
    out_.append(digits, std::to_chars(digits, digits + sizeof digits, value).ptr);
  }
  void hex(std::uint64_t value) { put_hex(out_, value); }
  void quoted(std::string_view s) {
    out_ += '"';
    for (const char c : s) {
      if (c == '"' || c == '\\')
        (out_ += '\\') += c;
      else
        out_ += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    }
    out_ += '"';
  }
  void flush() {
    for (std::size_t done = 0; done < out_.size();) {
      const ssize_t n = write(STDOUT_FILENO, out_.data() + done, out_.size() - done);
      if (n < 0) throw ProtocolError("standard output is closed");
      done += static_cast<std::size_t>(n);
    }
    out_.clear();
  }
};

// Writes the actions of one instance as lines.
class WireServer final : public Server {
  OutputBuffer& lines_;
  std::int64_t instance_;

  void open(std::string_view name) {
    lines_.raw("{\"");
    lines_.raw(name);
    lines_.raw("\":{\"server_id\":");
    lines_.number(instance_);
  }
  void open(std::string_view name, OpId op) {
    open(name);
    lines_.raw(",\"msg_id\":\"");
    lines_.hex(op.raw);
    lines_.raw("\"");
  }
  template <class N>
  void field(std::string_view name, N value) {
    lines_.raw(",\"");
    lines_.raw(name);
    lines_.raw("\":");
    if constexpr (std::is_same_v<N, bool>)
      lines_.raw(value ? "true" : "false");
    else if constexpr (std::is_arithmetic_v<N>)
      lines_.number(value);
    else
      lines_.quoted(value);
  }
  void close() { lines_.raw("}}\n"); }

 public:
  WireServer(OutputBuffer& lines, std::int64_t instance) : lines_(lines), instance_(instance) {}

  void run(OpId op) override { open("DISPATCH", op), close(); }
  void nack(OpId op, Reason, bool no_retry, Nanos retry_after) override {
    open("OVERLOAD_REPLY", op);
    if (no_retry) field("no_retry", true);
    if (retry_after > 0) field("pause_ns", retry_after);
    close();
  }
  void fail(OpId op, Reason) override { open("DROP_REQUEST", op), close(); }
  void call(OpId op, Nanos time_out) override { open("CALL", op), field("timeout_ns", time_out), close(); }
  void answer_without_call(OpId op) override { open("DO_WITHOUT", op), close(); }
  void keep_key(OpId op, Nanos lifetime) override {
    open("RETAIN", op), field("lifetime_ns", lifetime), close();
  }
  void forget_key(OpId op) override { open("EVICT", op), close(); }
  void reuse(OpId op) override { open("REUSE", op), close(); }
  void halt(OpId op) override { open("YANK", op), close(); }
  void health(bool good, bool from_store) override {
    open("FITNESS"), field("enable", good), field("from_state", from_store), close();
  }
  void notify_callers(double value) override { open("SIGNAL"), field("value", value), close(); }
  void set_idle_timeout(Nanos after) override { open("KEEPALIVE"), field("lifetime_ns", after), close(); }
  void wake_at(Nanos at, WakeId name) override {
    open("SET_TIMER"), field("at_ns", at), field("name", name.raw), close();
  }
  void log(std::string_view words) override { open("WRITE_LOG"), field("words", words), close(); }
  void panic(std::string_view words) { open("PANIC"), field("words", words), close(); }
};

// ---- lines, decoded into calls

[[noreturn]] void protocol_error(std::string_view what, std::string_view name) {
  throw ProtocolError(std::string(what) + " \"" + std::string(name) + "\"");
}

template <class T>
std::optional<T> optional_field(const object& o, std::string_view name) {
  element at;
  if (o[name].get(at) != simdjson::SUCCESS || at.is_null()) return std::nullopt;
  T value;
  if (at.get(value) == simdjson::SUCCESS) return value;
  protocol_error("wrong kind of value in field", name);
}
template <class T>
T required_field(const object& o, std::string_view name) {
  if (const std::optional<T> value = optional_field<T>(o, name)) return *value;
  protocol_error("missing field", name);
}
OpId parse_id(std::string_view hex, std::string_view name) {
  std::uint64_t raw = 0;
  if (!read_hex(hex, raw)) protocol_error("not an id in field", name);
  return OpId{raw};
}
OpId parse_op_id(const object& o) {
  return parse_id(required_field<std::string_view>(o, "msg_id"), "msg_id");
}
// Returns a duration or time, 0 if absent, which must not be negative.
Nanos duration_field(const object& o, std::string_view name) {
  const Nanos value = optional_field<std::int64_t>(o, name).value_or(0);
  if (value < 0) protocol_error("negative time in field", name);
  return value;
}
Outcome parse_outcome(const object& o) {
  const auto status = required_field<std::string_view>(o, "status");
  if (status == "OK") return Outcome::done;
  if (status == "INTERNAL") return Outcome::failed;
  if (status == "RESOURCE_EXHAUSTED") return Outcome::shed;
  if (status == "DEADLINE_EXCEEDED") return Outcome::timed_out;
  if (status == "UNAVAILABLE") return Outcome::unreachable;
  if (status == "ABORTED") return Outcome::cut;
  if (status == "CANCELLED") return Outcome::halted;
  if (status == "TOO_LATE") return Outcome::moot;
  protocol_error("unknown outcome", status);
}

struct Instance {
  WireServer server;
  std::unique_ptr<DecisionModule> decision_module;
};

// Dispatches the messages of the simulator to its instances.
class Host {
  OutputBuffer lines_;
  std::map<std::int64_t, Instance> instances_;
  std::vector<double> gauges_;
  Nanos now_ = 0;
  std::int64_t round_ = 0;
  bool in_batch_ = false;

  template <class Step>
  void report_exceptions(Instance& instance, Step step) {
    try {
      step();
    } catch (const ProtocolError&) {
      throw;
    } catch (const std::exception& e) {
      instance.server.panic(e.what());
    }
  }

  void event(std::string_view name, const object& f) {
    const std::int64_t number = required_field<std::int64_t>(f, "server_id");
    if (name == "HELLO") {
      const auto seed = required_field<std::uint64_t>(f, "entropy");
      const Settings settings = parse_settings(required_field<object>(f, "config"));
      instances_.erase(number);
      Instance& created =
          instances_.try_emplace(number, Instance{WireServer(lines_, number), nullptr}).first->second;
      report_exceptions(created, [&] {
        created.decision_module = std::make_unique<DecisionModule>(now_, seed, settings, created.server);
      });
      return;
    }
    static constexpr std::string_view known_events[] = {
        "JOB_IN", "EXPIRED", "REMINDER", "STALLED_ON_CALL", "CALL_RESULT", "DESTROY", "LAME_DUCK", "ENDED"};
    if (std::find(std::begin(known_events), std::end(known_events), name) == std::end(known_events))
      protocol_error("unknown event", name);
    const auto at = instances_.find(number);
    if (at == instances_.end()) protocol_error("event for an unknown instance in", name);
    if (name == "DESTROY") {
      instances_.erase(at);
      return;
    }
    if (!at->second.decision_module) return; // its start-up error has been reported
    DecisionModule& decision_module = *at->second.decision_module;
    const auto deliver = [&](auto step) { report_exceptions(at->second, step); };
    if (name == "REMINDER") {
      const WakeId wake{required_field<std::uint64_t>(f, "name")};
      gauges_.clear();
      if (const auto row = optional_field<simdjson::dom::array>(f, "feedback"))
        for (const element gauge : *row) {
          double value;
          if (gauge.get(value) != simdjson::SUCCESS)
            protocol_error("wrong kind of value in field", "feedback");
          gauges_.push_back(value);
        }
      deliver([&] { decision_module.woken(now_, wake, gauges_); });
    } else if (name == "JOB_IN") {
      const OpId id = parse_op_id(f);
      const auto type = required_field<std::uint64_t>(f, "profile");
      const auto original = parse_original(f);
      const auto tenant = optional_field<std::uint64_t>(f, "user_group").value_or(0);
      const auto key = optional_field<std::int64_t>(f, "partition_key").value_or(-1);
      const auto caller = optional_field<std::uint64_t>(f, "sender").value_or(0);
      const Nanos time_left = duration_field(f, "patience_left_ns"), waited = duration_field(f, "waited_ns"),
                  work_estimate = duration_field(f, "effort_ns");
      const double kb = optional_field<double>(f, "kb").value_or(0),
                   rank = optional_field<double>(f, "prio").value_or(0);
      const bool is_retry = optional_field<bool>(f, "again_by_client").value_or(false);
      deliver([&] {
        decision_module.op_read(now_, id, OpTypeId{static_cast<std::uint32_t>(type)},
                                TenantId{static_cast<std::uint32_t>(tenant)}, KeyId{key}, CallerId{caller},
                                time_left, waited, work_estimate, kb, rank, is_retry, original);
      });
    } else if (name == "STALLED_ON_CALL") {
      const OpId id = parse_op_id(f);
      deliver([&] { decision_module.call_wanted(now_, id); });
    } else if (name == "ENDED" || name == "CALL_RESULT") {
      const OpId id = parse_op_id(f);
      const Nanos elapsed = duration_field(f, "lag_ns");
      const Outcome outcome = parse_outcome(f);
      if (name == "ENDED")
        deliver([&] { decision_module.run_ended(now_, id, outcome, elapsed); });
      else
        deliver([&] { decision_module.call_ended(now_, id, outcome, elapsed); });
    } else if (name == "EXPIRED") {
      const OpId id = parse_op_id(f);
      deliver([&] { decision_module.op_cancelled(now_, id); });
    } else if (name == "LAME_DUCK") {
      required_field<std::int64_t>(f, "patience_left_ns");
      const Nanos left = duration_field(f, "patience_left_ns");
      deliver([&] { decision_module.drain(now_, now_, left); });
    }
  }

  static OpId parse_original(const object& f) {
    element at;
    if (f["forerunner"].get(at) != simdjson::SUCCESS || at.is_null()) return no_op_id;
    std::string_view hex;
    if (at.get(hex) == simdjson::SUCCESS) return parse_id(hex, "forerunner");
    std::int64_t zero;
    if (at.get(zero) == simdjson::SUCCESS && zero == 0) return no_op_id;
    protocol_error("not an id in field", "forerunner");
  }

 public:
  void line(const element& message) {
    object outer;
    if (message.get(outer) != simdjson::SUCCESS || outer.size() != 1)
      throw ProtocolError("a message is not an object with one key");
    const auto field = *outer.begin();
    object f;
    if (field.value.get(f) != simdjson::SUCCESS) protocol_error("no object under", field.key);
    if (field.key == "ROUND") {
      if (in_batch_) throw ProtocolError("a batch begins within another");
      now_ = required_field<std::int64_t>(f, "at_time_ns");
      round_ = required_field<std::int64_t>(f, "round");
      in_batch_ = true;
    } else if (!in_batch_) {
      protocol_error("outside of a batch:", field.key);
    } else if (field.key == "EOF_BATCH") {
      lines_.raw("{\"DONE\":{\"round\":");
      lines_.number(round_);
      lines_.raw("}}\n");
      lines_.flush();
      in_batch_ = false;
    } else {
      event(field.key, f);
    }
  }
  bool in_batch() const { return in_batch_; }
};

} // namespace

int main() {
  constexpr std::size_t chunk = 1 << 20;
  constexpr std::size_t padding = simdjson::SIMDJSON_PADDING;
  simdjson::dom::parser parser;
  Host host;
  std::vector<char> buffer(chunk + padding);
  std::size_t from = 0, filled = 0, line = 0;
  try {
    for (;;) {
      if (buffer.size() - padding - filled < chunk / 2) {
        if (from > 0) {
          std::memmove(buffer.data(), buffer.data() + from, filled - from);
          filled -= from;
          from = 0;
        }
        if (buffer.size() - padding - filled < chunk / 2) buffer.resize(buffer.size() * 2);
      }
      const ssize_t n = read(STDIN_FILENO, buffer.data() + filled, buffer.size() - padding - filled);
      if (n < 0) throw ProtocolError("cannot read standard input");
      if (n == 0) {
        if (from < filled || host.in_batch()) throw ProtocolError("the input ends within a batch");
        return 0;
      }
      std::size_t look = filled;
      filled += static_cast<std::size_t>(n);
      while (const void* at = std::memchr(buffer.data() + look, '\n', filled - look)) {
        const std::size_t end = static_cast<std::size_t>(static_cast<const char*>(at) - buffer.data());
        ++line;
        if (std::string_view(buffer.data() + from, end - from).find_first_not_of(" \t\r") !=
            std::string_view::npos) {
          element message;
          if (parser.parse(buffer.data() + from, end - from, false).get(message) != simdjson::SUCCESS)
            throw ProtocolError("invalid JSON");
          host.line(message);
        }
        from = look = end + 1;
      }
      if (from == filled) from = filled = 0;
    }
  } catch (const std::exception& e) {
    std::fprintf(stderr, "cometshift_simhost: line %zu: %s\n", line, e.what());
    return 1;
  }
}
