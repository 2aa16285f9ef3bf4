#include "decision.hpp"

#include "hex.hpp"

#include <array>
#include <cstdio>
#include <cstring>

namespace cometshift {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(last_kind) + 1> kind_words{
    "none",         "served", "nacked",       "failed",     "strike", "start",     "resume",     "call",
    "give up call", "health", "tell callers", "idle close", "pace",   "when full", "close doors"};
constexpr double ns_a_ms = 1e6;

std::string ms_of(Nanos span) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f ms", static_cast<double>(span) / ns_a_ms);
  return text;
}

} // namespace

std::string_view to_text(Kind kind) {
  const auto at = static_cast<std::size_t>(kind);
  return at < kind_words.size() ? kind_words[at] : "unknown";
}

std::string op_id_text(OpId op) {
  std::string text;
  put_hex(text, op.raw);
  return text;
}

std::string describe(Outcome outcome) {
  static constexpr std::array<const char*, 8> words{"done",        "failed", "shed",   "timed out",
                                                    "unreachable", "cut",    "halted", "moot"};
  const auto at = static_cast<std::size_t>(outcome);
  return at < words.size() ? words[at] : "unknown";
}

std::string describe(const Decision& decision, const std::vector<std::string>& op_types) {
  std::string said(to_text(decision.kind));
  if (decision.op != no_op_id) said += " " + op_id_text(decision.op);
  const auto add = [&](const std::string& more) { said += ", " + more; };
  if (decision.reason != Reason::none) add("why " + std::string(to_text(decision.reason)));
  char text[48];
  switch (decision.kind) {
  case Kind::served:
  case Kind::resume:
    add(std::to_string(decision.size) + " bytes");
    break;
  case Kind::refused:
    if (decision.span > 0) add("stay away " + ms_of(decision.span));
    if (decision.flag) add("not elsewhere");
    break;
  case Kind::start:
    add(decision.number < op_types.size() ? op_types[decision.number]
                                          : "op type " + std::to_string(decision.number));
    add("start " + std::to_string(decision.start));
    break;
  case Kind::call:
    add("time-out " + ms_of(decision.span));
    break;
  case Kind::health:
    add(decision.flag ? "good" : "bad");
    break;
  case Kind::notify_callers:
    std::snprintf(text, sizeof text, "%.4f", decision.value);
    add(text);
    break;
  case Kind::set_idle_timeout:
    add("after " + ms_of(decision.span));
    break;
  case Kind::penalize:
    add("connection " + std::to_string(decision.line.connection.raw));
    break;
  case Kind::timing:
    add(std::to_string(decision.number) + ", " + ms_of(decision.span));
    break;
  case Kind::failed:
  case Kind::cancel_call:
  case Kind::set_eviction_order:
  case Kind::stop_accepting:
    break;
  }
  return said;
}

std::string digest_token(Digest digest) {
  std::string token(sizeof digest.high + sizeof digest.low, '\0');
  std::memcpy(token.data(), &digest.high, sizeof digest.high);
  std::memcpy(token.data() + sizeof digest.high, &digest.low, sizeof digest.low);
  return token;
}

Digest token_digest(std::string_view token) {
  Digest digest;
  if (token.size() != sizeof digest.high + sizeof digest.low) return digest; // an empty content has no digest
  std::memcpy(&digest.high, token.data(), sizeof digest.high);
  std::memcpy(&digest.low, token.data() + sizeof digest.high, sizeof digest.low);
  return digest;
}

// ---- actions

void DecisionSink::served(StreamRef line, OpId op, Content result) {
  take({.kind = Kind::served, .op = op, .line = line, .content = digest(result), .size = result.size});
}
void DecisionSink::refused(StreamRef line, OpId op, Reason reason, Nanos retry_after, bool no_retry) {
  take({.kind = Kind::refused,
        .op = op,
        .line = line,
        .reason = reason,
        .span = retry_after,
        .flag = no_retry});
}
void DecisionSink::failed(StreamRef line, OpId op, Reason reason) {
  take({.kind = Kind::failed, .op = op, .line = line, .reason = reason});
}
void DecisionSink::penalize(StreamRef line) { take({.kind = Kind::penalize, .line = line}); }
void DecisionSink::start(OpId op, OpTypeId type, const Content& body, StartNo number) {
  take({.kind = Kind::start,
        .op = op,
        .content = digest(body),
        .size = body.size,
        .number = type.raw,
        .start = number.raw});
}
void DecisionSink::resume(OpId op, const Content& reply) {
  take({.kind = Kind::resume, .op = op, .content = digest(reply), .size = reply.size});
}
void DecisionSink::call(OpId op, Nanos time_out, const Content& body) {
  take({.kind = Kind::call, .op = op, .span = time_out, .content = digest(body), .size = body.size});
}
void DecisionSink::cancel_call(OpId op) { take({.kind = Kind::cancel_call, .op = op}); }
void DecisionSink::health(bool good) { take({.kind = Kind::health, .flag = good}); }
void DecisionSink::notify_callers(double value) { take({.kind = Kind::notify_callers, .value = value}); }
void DecisionSink::set_idle_timeout(Nanos after) { take({.kind = Kind::set_idle_timeout, .span = after}); }
void DecisionSink::set_timing(Timing what, Nanos time) {
  take({.kind = Kind::timing, .span = time, .number = static_cast<std::uint32_t>(what)});
}
void DecisionSink::set_eviction_order(std::span<const Eviction>, int max_invalid_ops) {
  take({.kind = Kind::set_eviction_order, .number = static_cast<std::uint32_t>(max_invalid_ops)});
}
void DecisionSink::stop_accepting() { take({.kind = Kind::stop_accepting}); }
void DecisionSink::note(const char*, std::string_view) {}

} // namespace cometshift
