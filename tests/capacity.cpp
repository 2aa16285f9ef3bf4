// The three estimators of capacity on the same machine: told at first nothing, then cold, warm, at half
// speed, and back.
#include "capacity.hpp"
#include "driver.hpp"

#include <algorithm>

int main() {
  constexpr Nanos second = 1000 * ms;
  static const char* names[] = {"throughput", "gradient", "additive"};
  for (const auto by :
       {Capacity::Estimator::throughput, Capacity::Estimator::gradient, Capacity::Estimator::additive}) {
    std::printf("# %s: four cores, runs of 50 ms of work; estimate in cores of base work\n",
                names[static_cast<int>(by)]);
    Capacity c(0, by, 1);
    Nanos now = 0;
    Pcg chance(3);
    // As many runs as are let in at a time, on four cores that are shared.
    const auto go = [&](const char* what, Nanos time, int inside, double speed) {
      std::vector<double> left(static_cast<std::size_t>(inside));
      std::vector<Nanos> begun(left.size(), now);
      const auto draw = [&] { return (0.6 + 0.8 * chance.unit()) * 50 * ms; };
      for (double& one : left) one = draw();
      c.demand_changed(now, inside);
      c.set_busy_fraction(std::min(1.0, inside / 4.0));
      double low = 1e9, high = 0;
      const Nanos begin = now, end = now + time;
      while (now < end) {
        now += ms;
        const double rate = speed * std::min(1.0, 4.0 / inside);
        for (std::size_t i = 0; i < left.size(); ++i)
          if ((left[i] -= rate * ms) <= 0) {
            c.run_ended(now, OpTypeId{0}, now - begun[i], inside);
            left[i] = draw();
            begun[i] = now;
            c.demand_changed(now, inside);
          }
        if (now - begin > time / 2) low = std::min(low, c.cores()), high = std::max(high, c.cores());
      }
      std::printf("  %-34s %.1f to %.1f in its second half\n", what, low, high);
    };
    go("two at a time", 4 * second, 2, 1);
    go("four at a time", 6 * second, 4, 1);
    go("eight at a time", 6 * second, 8, 1);
    go("eight, cores at a quarter (cold)", 6 * second, 8, 0.25);
    go("eight, cores as before", 6 * second, 8, 1);
    go("one at a time", 6 * second, 1, 1);
  }
}
