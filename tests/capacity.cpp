// The three capacity estimators on the same simulated machine of four cores, at different concurrency and
// core speed.
#include "capacity.hpp"
#include "driver.hpp"

#include <algorithm>

int main() {
  constexpr Nanos second = 1000 * ms;
  static const char* names[] = {"throughput", "gradient", "additive"};
  for (const auto estimator :
       {Capacity::Estimator::throughput, Capacity::Estimator::gradient, Capacity::Estimator::additive}) {
    std::printf("# %s: four cores, runs of 50 ms of work; estimate in cores of base work\n",
                names[static_cast<int>(estimator)]);
    Capacity c(0, estimator, 1);
    Nanos now = 0;
    Pcg random(3);
    // `concurrency` concurrent runs share four cores.
    const auto run_phase = [&](const char* title, Nanos time, int concurrency, double speed) {
      std::vector<double> remaining(static_cast<std::size_t>(concurrency));
      std::vector<Nanos> started(remaining.size(), now);
      const auto draw = [&] { return (0.6 + 0.8 * random.unit()) * 50 * ms; };
      for (double& work : remaining) work = draw();
      c.demand_changed(now, concurrency);
      c.set_busy_fraction(std::min(1.0, concurrency / 4.0));
      double low = 1e9, high = 0;
      const Nanos begin = now, end = now + time;
      while (now < end) {
        now += ms;
        const double rate = speed * std::min(1.0, 4.0 / concurrency);
        for (std::size_t i = 0; i < remaining.size(); ++i)
          if ((remaining[i] -= rate * ms) <= 0) {
            c.run_ended(now, OpTypeId{0}, now - started[i], concurrency);
            remaining[i] = draw();
            started[i] = now;
            c.demand_changed(now, concurrency);
          }
        if (now - begin > time / 2) low = std::min(low, c.cores()), high = std::max(high, c.cores());
      }
      std::printf("  %-34s %.1f to %.1f in its second half\n", title, low, high);
    };
    run_phase("two at a time", 4 * second, 2, 1);
    run_phase("four at a time", 6 * second, 4, 1);
    run_phase("eight at a time", 6 * second, 8, 1);
    run_phase("eight, cores at a quarter (cold)", 6 * second, 8, 0.25);
    run_phase("eight, cores as before", 6 * second, 8, 1);
    run_phase("one at a time", 6 * second, 1, 1);
  }
}
