// Calls in flight at the downstream service, as counted by the service, compared with each server's share:
// with abandoned calls, a stalled or slow service, lost replies, killed and restarted servers, and changed
// addresses. A call is in flight from its start until it is answered; an abandoned call until its end, for
// the configured time at most.
#include "simulated_server.hpp"

namespace {

constexpr unsigned server_count = 6;

// Each server must stay within its share during one incarnation, and all servers together, with a margin,
// over all incarnations.
constexpr double max_total_share = 0.95;

struct Scenario {
  const char* title;
  bool one_incarnation;
  std::function<void(Nanos at, RecordsStub&, std::vector<std::unique_ptr<SimulatedServer>>&)>
      on_tick; // called every ms
};

bool run_scenario(const Scenario& scenario) {
  std::printf("# %s\n", scenario.title);
  RecordsStub service;
  std::vector<std::unique_ptr<SimulatedServer>> instances;
  for (unsigned n = 0; n < server_count; ++n)
    instances.push_back(std::make_unique<SimulatedServer>(service, n));
  double max_total = 0;
  for (Nanos t = 0; t < 14 * second; t += ms) {
    scenario.on_tick(t, service, instances);
    double sum = 0;
    for (auto& instance : instances) {
      instance->step(t, t / ms % 50 == 7 * instance->number);
      sum += instance->in_flight.mean_with(instance->in_flight.count(), 0);
    }
    max_total = std::max(max_total, sum / (server_count * share));
    if (t % (2 * second) == 0 && t > 0)
      std::printf("%6lld  mean in flight %.2f of the shares\n", static_cast<long long>(t / ms),
                  sum / (server_count * share));
  }
  int acked = 0, nacked = 0, failed = 0;
  double most = 0;
  for (const auto& instance : instances) {
    acked += instance->acked, nacked += instance->nacked, failed += instance->failed_ops;
    most = std::max(most, instance->most / share);
  }
  const bool within_limits = max_total <= max_total_share && (most <= 1 || !scenario.one_incarnation);
  std::printf("  most %.2f of all shares, %.2f of one; acked %d, nacked %d, failed %d: %s\n", max_total, most,
              acked, nacked, failed, within_limits ? "within" : "OVER");
  return within_limits;
}

// A service with a budget of concurrent calls for all servers, which start cold: the calls that they have in
// flight at any moment must be within the budget plus what chance may add.
constexpr double budget = 12;
const double slack = 2 * std::sqrt(budget) + 2;

bool run_cold_start(unsigned count, Nanos wave_interval) {
  RecordsStub service;
  service.call_duration = 60 * ms;
  std::vector<std::unique_ptr<SimulatedServer>> instances;
  for (unsigned n = 0; n < count; ++n)
    instances.push_back(std::make_unique<SimulatedServer>(
        service, n,
        Settings{
            {"call_share", budget / count}, {"cold", 1.0}, {"cold_from", 0.25}, {"warm_after_ns", 9e9}}));
  double most = 0, most_mean = 0, calls = 0;
  WindowMean all(window, 0);
  for (Nanos t = 0; t < 8 * second; t += ms) {
    double in_hand = 0;
    for (auto& instance : instances) {
      const Nanos start_time = wave_interval * (instance->number % 4);
      if (t == start_time) instance->begin(t, 100 * ms);
      instance->step(t, instance->core && t / ms % 50 == instance->number % 50);
      in_hand += instance->in_flight.count();
    }
    all.change(t, in_hand - all.count());
    most = std::max(most, in_hand);
    most_mean = std::max(most_mean, all.mean_with(all.count(), 0));
  }
  for (const auto& instance : instances) calls += instance->acked;
  const bool within_limits = most <= budget + slack && most_mean <= budget;
  std::printf(
      "  %3u servers: most %.0f in flight of %.0f and %.1f, mean of five seconds %.1f; acked %.0f: %s\n",
      count, most, budget, slack, most_mean, calls, within_limits ? "within" : "OVER");
  return within_limits;
}

} // namespace

int main() {
  const auto calm = [](Nanos, RecordsStub&, auto&) {};
  const auto stalled = [](Nanos t, RecordsStub& s, auto&) {
    if (t == 5 * second) s.stalled_until = t + 1300 * ms;
  };
  const auto slow = [](Nanos t, RecordsStub& s, auto&) {
    if (t == 4 * second) s.call_duration = 400 * ms;
    if (t == 9 * second) s.call_duration = 5 * ms;
  };
  const auto lost_replies = [](Nanos t, RecordsStub& s, auto&) {
    if (t == 2 * second) s.reply_loss = 0.03;
  };
  const auto hangs = [](Nanos t, RecordsStub& s, auto&) {
    if (t == 3 * second) s.call_duration = 60 * second;
  };
  const auto killed = [](Nanos t, RecordsStub& s, auto& instances) {
    if (t == 3 * second) s.call_duration = 300 * ms;
    const auto k = static_cast<unsigned>(t / (500 * ms)) % server_count;
    if (t > 4 * second && t < 9 * second && t % (500 * ms) == 0) instances[k]->kill();
    if (t > 4 * second && t < 9 * second && t % (500 * ms) == 400 * ms) instances[k]->begin(t, 100 * ms);
  };
  bool good = run_scenario({"calm", true, calm});
  good &= run_scenario({"the service stalls for 1.3 s", true, stalled});
  good &= run_scenario({"each call takes 400 ms for 5 s", true, slow});
  good &= run_scenario({"three of a hundred replies never arrive", true, lost_replies});
  good &= run_scenario({"calls no longer end, and those in flight continue at the old address", true, hangs});
  good &= run_scenario({"slow, and a server is killed and restarted every 500 ms", false, killed});
  std::puts("# cold start at once");
  for (const unsigned count : {1u, 20u, 30u, 300u}) good &= run_cold_start(count, 0);
  std::puts("# cold start in four waves, a second apart");
  for (const unsigned count : {1u, 20u, 30u, 300u}) good &= run_cold_start(count, second);
  return good ? 0 : 1;
}
