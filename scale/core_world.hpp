// A core with a steady load round it, in simulated time and without sockets: what the measurements of
// core.cpp and the counts of core_counts.cpp stand on. Ops come at even times, each from the next caller, of
// a tenant and on a connection by chance, of the next op type; runs take 10 to 30 ms of a core each and ask
// for no calls; the machine has about twice the cores that the load needs, so that nothing is nacked.
//
// Connections are what the core sees of them: how many there are on which ops may stand open. What a socket
// costs beside that is the front's.
#pragma once

#include "core.hpp"
#include "core_counts.hpp"

#include <cstddef>
#include <cstdint>
#include <queue>
#include <string>

namespace cometshift::scale {

constexpr Nanos ms = 1'000'000;
constexpr Nanos second = 1000 * ms;

// The sizes of a run. What is not varied stays as here.
struct Sizes {
  std::size_t tenants = 10;
  std::size_t callers = 100;
  std::size_t op_types = 4; // every second is keyed
  std::size_t connections = 24;
  double rate = 94; // ops a second: 620,000 over 6,600 servers
  bool pools = false;
  double idle_s = 30;     // as long as callers keep a silent connection, and are remembered
  double memory_mb = 256; // of the limits: the target's
};

// The configuration file of a server with these sizes, as operators write it (deploy/config.json).
std::string configuration_text(const Sizes& sizes);
std::string tenant_name(std::size_t tenant);
// Two pools, the first of every tenant whose number is a multiple of `every` by name (0: of all, unnamed).
Settings pools_of(std::size_t tenants, std::size_t every = 0);

// What one kind of call into the core came to.
struct Cost {
  std::uint64_t times = 0;
  Counts counts, most; // in all; of the dearest one
  double wall_ns = 0, longest_ns = 0;
};

class World final : public Actions {
 public:
  World(const Settings& given, const Sizes& sizes, std::uint64_t seed);
  // Lets the load go on for a while; what it costs is counted from `from_here`.
  void run(Nanos time);
  void from_here();

  Core& core() { return *core_; }
  Nanos now() const { return now_; }
  // One op, of the load or beside it; keyed ones are known again by mark and body.
  void ask(OpTypeId type, CallerId caller, TenantId tenant, const std::string& mark, const std::string& body,
           double rank);
  void result_bytes(std::size_t bytes) { result_.assign(bytes, 'r'); }
  void run_time(Nanos shortest) { run_time_ = shortest; }
  void settle(); // the end of a turn

  Cost came, over, look; // an op's arrival, its run's end with its answer, a wake-up with its gauges
  std::uint64_t asked = 0, acked = 0, nacked = 0, failed_ops = 0, started = 0, no_room = 0;
  Reason last_why = Reason::none;

  void served(StreamRef, OpId, Content) override { ++acked; }
  void refused(StreamRef, OpId, Reason why, Nanos, bool) override { ++nacked, last_why = why; }
  void failed(StreamRef, OpId, Reason why) override { ++failed_ops, last_why = why; }
  void penalize(StreamRef) override {}
  void start(OpId op, OpTypeId type, const Content& body, StartNo number) override;
  void resume(OpId, const Content&) override {}
  void call(OpId, Nanos, const Content&) override {}
  void cancel_call(OpId) override {}
  void health(bool) override {}
  void notify_callers(double) override {}
  void set_idle_timeout(Nanos) override {}
  void set_timing(Timing, Nanos) override {}
  void set_eviction_order(std::span<const Eviction>, int) override {}
  void stop_accepting() override {}
  void note(const char* kind, std::string_view words) override;

 private:
  template <class Tell>
  void turn(Cost& cost, Tell tell);

  Sizes sizes_;
  Pcg chance_;
  Nanos now_;
  Nanos next_op_;
  Nanos between_;
  Nanos run_time_ = 10 * ms; // at the least; as much again by chance, and so much more
  std::string body_ = std::string(200, 'b'), result_ = std::string(200, 'r');
  using End = std::pair<Nanos, OpId>;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends_;
  std::unique_ptr<Core> core_;
};

} // namespace cometshift::scale
