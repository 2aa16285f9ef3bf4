// Decision: one action of the core in the form that is recorded and compared by a replay. Also the tokens
// that replace request and response bodies that were not recorded.
#pragma once

#include "interface.hpp"

#include <map>
#include <string>
#include <vector>

namespace cometshift {

// The values are stored in recordings and must never be reassigned.
enum class Kind : std::uint8_t {
  served = 1,
  refused = 2,
  failed = 3,
  penalize = 4,
  start = 5,
  resume = 6,
  call = 7,
  cancel_call = 8,
  health = 9,
  notify_callers = 10,
  set_idle_timeout = 11,
  timing = 12,
  set_eviction_order = 13,
  stop_accepting = 14,
};
constexpr Kind last_kind = Kind::stop_accepting;
std::string_view to_text(Kind kind);
constexpr bool is_final(Kind kind) {
  return kind == Kind::served || kind == Kind::refused || kind == Kind::failed;
}

struct Decision {
  Kind kind{};
  OpId op = no_op_id;
  StreamRef line{};
  Reason reason = Reason::none;
  Nanos span = 0; // retry delay, timeout or timing value
  double value = 0;
  bool flag = false; // no retry, health
  Digest content{};
  std::uint32_t size = 0;   // of the content
  std::uint32_t number = 0; // op type, timing, penalties
  std::uint64_t start = 0;  // which start
  bool operator==(const Decision&) const = default;
};

// One-line descriptions that use the terms of docs/on-call.md.
std::string describe(const Decision& decision, const std::vector<std::string>& op_types);
std::string describe(Outcome outcome);
std::string op_id_text(OpId op);

// Placeholder for the content with this digest in a replay: the bytes of the digest itself.
std::string digest_token(Digest digest);
Digest token_digest(std::string_view token); // inverse of digest_token(); empty for other lengths

// Converts each action of the core to a Decision and passes it to take(). Notes are discarded. Subclasses
// compute the digest of a content in digest().
class DecisionSink : public Actions {
 public:
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

 protected:
  virtual void take(const Decision& decision) = 0;
  virtual Digest digest(const Content& content) = 0;
};

} // namespace cometshift
