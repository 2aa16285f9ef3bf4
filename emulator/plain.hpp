// What servers did before they had a module: a queue with a bound, and as many runs as there are slots. The
// baseline that experiments hold pools against; with parts for each op type, fixed pools. Keyed repeats wait
// for their first.
#pragma once

#include "interface.hpp"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace cometshift::emulator {

class Plain final : public Events {
 public:
  struct Figures {
    std::size_t slots = 2;     // runs at a time
    std::size_t bound = 20;    // ops that wait
    std::vector<double> parts; // of slots and bound, by op type; empty: one queue for all
    std::vector<bool> keyed;   // by op type
  };
  Plain(Figures figures, Actions& orders);

  void op_received(Nanos now, StreamRef line, OpId id, OpTypeId type, TenantId tenant, CallerId caller,
                   Nanos received_at, Nanos limit, double held_kb, double rank, std::string_view mark,
                   std::string_view subject, Content body, Digest body_digest) override;
  void stream_lost(Nanos now, StreamRef line) override;
  void machine_up(Nanos, Nanos) override {}
  void link_up(Nanos, StartNo) override {}
  void link_down(Nanos) override {}
  void run_finished(Nanos now, OpId id, Outcome outcome, Nanos lag, Content result) override;
  void call_wanted(Nanos now, OpId id, Content body) override;
  void start_refused(Nanos, OpId) override {}
  void gauges(Nanos, std::span<const double>) override {}
  void call_finished(Nanos now, OpId id, Outcome outcome, Content reply) override;
  void due(Nanos now) override;
  void answer_repeats(Nanos) override {}
  void drain(Nanos, Nanos) override { leaving_ = true; }
  void set_pools(Nanos, const Settings&) override {}

  Nanos next_wake() const { return dues_.empty() ? -1 : dues_.begin()->first; }

 private:
  struct Op {
    StreamRef line;
    OpTypeId type;
    Nanos due = 0;
    Content body, call;
    std::string mark;
    bool running = false, answered = false;
  };
  struct Queue {
    std::deque<OpId> waiting;
    std::size_t running = 0, slots = 0, bound = 0;
  };
  struct Effect {
    OpId first;
    bool over = false, done = false;
    std::vector<OpId> waiting;
  };
  Queue& queue_of(OpTypeId type) { return queues_[figures_.parts.empty() ? 0 : type.raw]; }
  void begin(Nanos now, Queue& queue);
  void fail(OpId id, Reason why);

  Figures figures_;
  Actions& actions_;
  std::vector<Queue> queues_;
  std::map<OpId, Op> ops_;
  std::map<std::string, Effect> effects_; // for a day's length: not bounded
  std::multimap<Nanos, OpId> dues_;
  std::uint64_t starts_ = 0;
  bool leaving_ = false;
};

} // namespace cometshift::emulator
