// Guards against memory growth: 45 minutes of one server in simulated time with restarting callers, repeats,
// lost connections, calls that are slow or never answered, and a link that breaks. Memory of the core is
// counted by replacing operator new: an allocation made while the core runs counts until it is freed, by
// whomever.
#include "simulated_server.hpp"

#include <cstdlib>
#include <new>
#include <queue>
#include <tuple>

namespace {

bool counting_core = false; // the core is running, not the test around it
std::int64_t core_bytes = 0, core_allocations = 0;
constexpr std::size_t head = 16; // before each allocation: its size, 0 if not made by the core

void* allocate(std::size_t size) {
  auto* at = static_cast<std::size_t*>(std::malloc(size + head));
  if (!at) throw std::bad_alloc();
  *at = counting_core ? size : 0;
  if (counting_core) core_bytes += static_cast<std::int64_t>(size), ++core_allocations;
  return at + head / sizeof(std::size_t);
}
void deallocate(void* memory) {
  if (!memory) return;
  auto* at = static_cast<std::size_t*>(memory) - head / sizeof(std::size_t);
  if (*at > 0) core_bytes -= static_cast<std::int64_t>(*at), --core_allocations;
  std::free(at);
}

} // namespace

void* operator new(std::size_t size) { return allocate(size); }
void operator delete(void* memory) noexcept { deallocate(memory); }
void operator delete(void* memory, std::size_t) noexcept { deallocate(memory); }

namespace {

// Marks a scope as work of the core, or of the test that the core calls.
class CountingScope {
  bool before_ = counting_core;

 public:
  explicit CountingScope(bool core) { counting_core = core; }
  ~CountingScope() { counting_core = before_; }
};

// Counts calls into the core as its work, and calls from the core to the SimulatedServer as the test's.
struct CountedServer final : SimulatedServer {
  using SimulatedServer::SimulatedServer;
  template <class What>
  void as_core_work(What work) {
    const CountingScope as_core(true);
    work();
  }
  void served(StreamRef l, OpId op, Content c) override {
    const CountingScope as_test(false);
    SimulatedServer::served(l, op, std::move(c));
  }
  void failed(StreamRef l, OpId op, Reason reason) override {
    const CountingScope as_test(false);
    SimulatedServer::failed(l, op, reason);
  }
  void start(OpId op, OpTypeId type, const Content& c, StartNo n) override {
    const CountingScope as_test(false);
    SimulatedServer::start(op, type, c, n);
  }
  void resume(OpId op, const Content& c) override {
    const CountingScope as_test(false);
    SimulatedServer::resume(op, c);
  }
  void call(OpId op, Nanos time_out, const Content& c) override {
    const CountingScope as_test(false);
    SimulatedServer::call(op, time_out, c);
  }
  void cancel_call(OpId op) override {
    const CountingScope as_test(false);
    SimulatedServer::cancel_call(op);
  }
};

} // namespace

int main() {
  RecordsStub service;
  CountedServer server(service, 1);
  Pcg chance(11);
  std::uint64_t callers = 0;
  std::queue<std::tuple<Nanos, OpId, StreamRef>>
      lost; // streams whose connection ends 20 ms after their op arrived
  std::int64_t early = 0, late = 0, most = 0;
  constexpr Nanos minute = 60 * second;
  for (Nanos t = 0; t < 45 * minute; t += ms) {
    const Nanos cycle_time = t % (3 * minute); // the same faults every three minutes
    service.call_duration = cycle_time > 60 * second && cycle_time < 70 * second ? 300 * ms : 5 * ms;
    service.reply_loss = cycle_time > 90 * second && cycle_time < 120 * second ? 0.02 : 0;
    if (cycle_time == 130 * second) service.stalled_until = t + second;
    if (t % second == 0) callers += 10; // ten new callers each second; earlier ones disappear
    server.as_core_work([&] {
      server.step(t, false);
      if (cycle_time == 140 * second) server.core->link_down(t);
      if (cycle_time == 141 * second) server.core->link_up(t, StartNo{~std::uint64_t{0}});
      if (t % (25 * ms) != 0) return;
      const CallerId caller{callers + chance.next() % 150};
      const ConnectionId connection{caller.raw};
      const bool again = server.ops > 10 && chance.unit() < 0.1;
      const std::uint64_t third = (server.ops / 3 - 1) * 3; // a keyed op of a while ago
      const OpId op = server.ask(connection, caller, again ? std::to_string(third * 100 + 1) : "");
      if (chance.unit() < 0.05)
        lost.emplace(t + 20 * ms, op,
                     StreamRef{connection, StreamId{static_cast<std::uint32_t>(server.ops)}});
      for (; !lost.empty() && std::get<Nanos>(lost.front()) <= t; lost.pop())
        server.lose(std::get<OpId>(lost.front()), std::get<StreamRef>(lost.front()));
    });
    most = std::max(most, core_bytes);
    if (t % (5 * minute) == 0 && t > 0) {
      std::printf("%3lld min  %lld KB in %lld allocations\n", static_cast<long long>(t / minute),
                  static_cast<long long>(core_bytes / 1024), static_cast<long long>(core_allocations));
      (t <= 15 * minute ? early : late) = std::max(t <= 15 * minute ? early : late, core_bytes);
    }
  }
  std::printf("most %lld KB; acked %d, nacked %d, failed %d\n", static_cast<long long>(most / 1024),
              server.acked, server.nacked, server.failed_ops);
  // Without new ops, everything kept for ops and their repeats must be freed.
  const std::int64_t before = core_allocations;
  for (Nanos t = 45 * minute; t < 48 * minute; t += ms) server.as_core_work([&] { server.step(t, false); });
  std::printf("idle for three minutes: %lld KB in %lld allocations\n",
              static_cast<long long>(core_bytes / 1024), static_cast<long long>(core_allocations));
  const bool flat = late <= early + early / 10;
  std::printf("%s, %s\n", flat ? "flat" : "GROWS", core_allocations < before / 4 ? "freed" : "NOT FREED");
  return flat && core_allocations < before / 4 ? 0 : 1;
}
