#include "decided.hpp"

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

std::string_view word_of(Kind kind) {
  const auto at = static_cast<std::size_t>(kind);
  return at < kind_words.size() ? kind_words[at] : "unknown";
}

std::string hex_of(OpId op) {
  std::string text;
  put_hex(text, op.raw);
  return text;
}

std::string words_of(Outcome outcome) {
  static constexpr std::array<const char*, 8> words{"done",        "failed", "shed",   "timed out",
                                                    "unreachable", "cut",    "halted", "moot"};
  const auto at = static_cast<std::size_t>(outcome);
  return at < words.size() ? words[at] : "unknown";
}

std::string words_of(const Decided& one, const std::vector<std::string>& op_types) {
  std::string said(word_of(one.kind));
  if (one.op != no_op) said += " " + hex_of(one.op);
  const auto add = [&](const std::string& more) { said += ", " + more; };
  if (one.why != Reason::none) add("why " + std::string(word_of(one.why)));
  char text[48];
  switch (one.kind) {
  case Kind::served:
  case Kind::resume:
    add(std::to_string(one.size) + " bytes");
    break;
  case Kind::refused:
    if (one.span > 0) add("stay away " + ms_of(one.span));
    if (one.flag) add("not elsewhere");
    break;
  case Kind::start:
    add(one.number < op_types.size() ? op_types[one.number] : "op type " + std::to_string(one.number));
    add("start " + std::to_string(one.start));
    break;
  case Kind::call:
    add("time-out " + ms_of(one.span));
    break;
  case Kind::health:
    add(one.flag ? "good" : "bad");
    break;
  case Kind::tell_callers:
    std::snprintf(text, sizeof text, "%.4f", one.value);
    add(text);
    break;
  case Kind::idle_close:
    add("after " + ms_of(one.span));
    break;
  case Kind::penalize:
    add("connection " + std::to_string(one.line.connection.raw));
    break;
  case Kind::timing:
    add(std::to_string(one.number) + ", " + ms_of(one.span));
    break;
  case Kind::failed:
  case Kind::give_up_call:
  case Kind::when_full:
  case Kind::stop_accepting:
    break;
  }
  return said;
}

std::string token_of(Digest digest) {
  std::string token(sizeof digest.high + sizeof digest.low, '\0');
  std::memcpy(token.data(), &digest.high, sizeof digest.high);
  std::memcpy(token.data() + sizeof digest.high, &digest.low, sizeof digest.low);
  return token;
}

Digest digest_in(std::string_view token) {
  Digest digest;
  if (token.size() != sizeof digest.high + sizeof digest.low) return digest; // none: an empty content
  std::memcpy(&digest.high, token.data(), sizeof digest.high);
  std::memcpy(&digest.low, token.data() + sizeof digest.high, sizeof digest.low);
  return digest;
}

// ---- orders

void Listener::served(Line line, OpId op, Content result) {
  take({.kind = Kind::served, .op = op, .line = line, .content = digest(result), .size = result.size});
}
void Listener::refused(Line line, OpId op, Reason why, Nanos stay_away, bool no_retry) {
  take({.kind = Kind::refused, .op = op, .line = line, .why = why, .span = stay_away, .flag = no_retry});
}
void Listener::failed(Line line, OpId op, Reason why) {
  take({.kind = Kind::failed, .op = op, .line = line, .why = why});
}
void Listener::penalize(Line line) { take({.kind = Kind::penalize, .line = line}); }
void Listener::start(OpId op, OpTypeId type, const Content& body, StartNo number) {
  take({.kind = Kind::start,
        .op = op,
        .content = digest(body),
        .size = body.size,
        .number = type.raw,
        .start = number.raw});
}
void Listener::resume(OpId op, const Content& reply) {
  take({.kind = Kind::resume, .op = op, .content = digest(reply), .size = reply.size});
}
void Listener::call(OpId op, Nanos time_out, const Content& body) {
  take({.kind = Kind::call, .op = op, .span = time_out, .content = digest(body), .size = body.size});
}
void Listener::give_up_call(OpId op) { take({.kind = Kind::give_up_call, .op = op}); }
void Listener::health(bool good) { take({.kind = Kind::health, .flag = good}); }
void Listener::tell_callers(double value) { take({.kind = Kind::tell_callers, .value = value}); }
void Listener::idle_close(Nanos after) { take({.kind = Kind::idle_close, .span = after}); }
void Listener::timing(Timing what, Nanos time) {
  take({.kind = Kind::timing, .span = time, .number = static_cast<std::uint32_t>(what)});
}
void Listener::when_full(std::span<const Eviction>, int penalties) {
  take({.kind = Kind::when_full, .number = static_cast<std::uint32_t>(penalties)});
}
void Listener::stop_accepting() { take({.kind = Kind::stop_accepting}); }
void Listener::note(const char*, std::string_view) {}

} // namespace cometshift
