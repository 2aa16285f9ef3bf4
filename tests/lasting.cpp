// Forty-five minutes of one server with every table churned: callers that restart, repeats, connections lost,
// calls that are slow or never come back, a link that breaks. What the core holds is counted, byte by byte:
// an allocation made while the core works is its own until it is given back, whoever does that.
#include "simulated_server.hpp"

#include <cstdlib>
#include <new>
#include <queue>
#include <tuple>

namespace {

bool in_core = false; // the core works now, not the test round it
std::int64_t held = 0, pieces = 0;
constexpr std::size_t head = 16; // before each piece: its size, 0 if it is not the core's

void* piece(std::size_t size) {
  auto* at = static_cast<std::size_t*>(std::malloc(size + head));
  if (!at) throw std::bad_alloc();
  *at = in_core ? size : 0;
  if (in_core) held += static_cast<std::int64_t>(size), ++pieces;
  return at + head / sizeof(std::size_t);
}
void give_back(void* what) {
  if (!what) return;
  auto* at = static_cast<std::size_t*>(what) - head / sizeof(std::size_t);
  if (*at > 0) held -= static_cast<std::int64_t>(*at), --pieces;
  std::free(at);
}

} // namespace

void* operator new(std::size_t size) { return piece(size); }
void operator delete(void* what) noexcept { give_back(what); }
void operator delete(void* what, std::size_t) noexcept { give_back(what); }

namespace {

// What a scope counts as: the core's work, or the test's that it calls out to.
class Counted {
  bool before_ = in_core;

 public:
  explicit Counted(bool core) { in_core = core; }
  ~Counted() { in_core = before_; }
};

// A SimulatedServer whose calls into the core are counted as the core's, and those out of it as the test's.
struct Watched final : SimulatedServer {
  using SimulatedServer::SimulatedServer;
  template <class What>
  void told(What what) {
    const Counted as_core(true);
    what();
  }
  void served(StreamRef l, OpId op, Content c) override {
    const Counted as_test(false);
    SimulatedServer::served(l, op, std::move(c));
  }
  void failed(StreamRef l, OpId op, Reason why) override {
    const Counted as_test(false);
    SimulatedServer::failed(l, op, why);
  }
  void start(OpId op, OpTypeId type, const Content& c, StartNo n) override {
    const Counted as_test(false);
    SimulatedServer::start(op, type, c, n);
  }
  void resume(OpId op, const Content& c) override {
    const Counted as_test(false);
    SimulatedServer::resume(op, c);
  }
  void call(OpId op, Nanos time_out, const Content& c) override {
    const Counted as_test(false);
    SimulatedServer::call(op, time_out, c);
  }
  void cancel_call(OpId op) override {
    const Counted as_test(false);
    SimulatedServer::cancel_call(op);
  }
};

} // namespace

int main() {
  RecordsStub service;
  Watched place(service, 1);
  Pcg chance(11);
  std::uint64_t callers = 0;
  std::queue<std::tuple<Nanos, OpId, StreamRef>> lost; // connections that end a while after their op came
  std::int64_t early = 0, late = 0, most = 0;
  constexpr Nanos minute = 60 * second;
  for (Nanos t = 0; t < 45 * minute; t += ms) {
    const Nanos into = t % (3 * minute); // each three minutes the same troubles
    service.call_duration = into > 60 * second && into < 70 * second ? 300 * ms : 5 * ms;
    service.reply_loss = into > 90 * second && into < 120 * second ? 0.02 : 0;
    if (into == 130 * second) service.stalled_until = t + second;
    if (t % second == 0) callers += 10; // that many are new each second, and others never heard of again
    place.told([&] {
      place.step(t, false);
      if (into == 140 * second) place.core->link_down(t);
      if (into == 141 * second) place.core->link_up(t, StartNo{~std::uint64_t{0}});
      if (t % (25 * ms) != 0) return;
      const CallerId caller{callers + chance.next() % 150};
      const ConnectionId connection{caller.raw};
      const bool again = place.ops > 10 && chance.unit() < 0.1;
      const std::uint64_t third = (place.ops / 3 - 1) * 3; // a keyed one, some tries ago
      const OpId op = place.ask(connection, caller, again ? std::to_string(third * 100 + 1) : "");
      if (chance.unit() < 0.05)
        lost.emplace(t + 20 * ms, op, StreamRef{connection, StreamId{static_cast<std::uint32_t>(place.ops)}});
      for (; !lost.empty() && std::get<Nanos>(lost.front()) <= t; lost.pop())
        place.lose(std::get<OpId>(lost.front()), std::get<StreamRef>(lost.front()));
    });
    most = std::max(most, held);
    if (t % (5 * minute) == 0 && t > 0) {
      std::printf("%3lld min  %lld KB in %lld pieces\n", static_cast<long long>(t / minute),
                  static_cast<long long>(held / 1024), static_cast<long long>(pieces));
      (t <= 15 * minute ? early : late) = std::max(t <= 15 * minute ? early : late, held);
    }
  }
  std::printf("most %lld KB; acked %d, nacked %d, failed %d\n", static_cast<long long>(most / 1024),
              place.acked, place.nacked, place.failed_ops);
  // With nothing coming in any more, all that is owed to an op or kept for its repeats goes.
  const std::int64_t before = pieces;
  for (Nanos t = 45 * minute; t < 48 * minute; t += ms) place.told([&] { place.step(t, false); });
  std::printf("quiet for three minutes: %lld KB in %lld pieces\n", static_cast<long long>(held / 1024),
              static_cast<long long>(pieces));
  const bool flat = late <= early + early / 10;
  std::printf("%s, %s\n", flat ? "flat" : "GROWS", pieces < before / 4 ? "given back" : "KEPT");
  return flat && pieces < before / 4 ? 0 : 1;
}
