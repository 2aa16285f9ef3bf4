// Unit tests of pools: floors, ceilings, the reserve, retries, tenants, and the retry delay of refused ops.
#include "pools.hpp"
#include "driver.hpp"

namespace {

constexpr Nanos second = 1000 * ms;

Settings site_settings(std::initializer_list<Settings::value_type> more) {
  Settings settings{{"pools.on", 1.0},         {"op_type.0.name", "look"}, {"op_type.1.name", "book"},
                    {"tenant.0.name", "main"}, {"tenant.0.quota", 60.0},   {"tenant.1.name", "long"},
                    {"tenant.1.quota", 40.0}};
  for (const auto& [name, value] : more) settings[name] = value;
  return settings;
}

// A server with two cores; a look takes 50 ms and a book 100 ms, and one op runs per core.
struct TestServer {
  Nanos now = 0;
  Pools pools;
  std::uint64_t next = 1;
  std::vector<std::pair<Nanos, OpId>> running;
  std::map<OpId, std::pair<OpTypeId, Nanos>> waiting;
  std::map<OpId, double> worth;
  double turned_away_work = 0; // protected work that was turned away nevertheless
  std::deque<OpId> queue;
  double slowdown = 1;

  explicit TestServer(std::initializer_list<Settings::value_type> more) : pools(0, site_settings(more)) {}
  void start_queued() {
    while (running.size() < 2 && !queue.empty()) {
      const OpId id = queue.front();
      queue.pop_front();
      pools.started(now, id);
      running.emplace_back(now + static_cast<Nanos>(slowdown * static_cast<double>(waiting[id].second)), id);
    }
  }
  void run_until(Nanos end) {
    for (;;) {
      const auto first = std::min_element(running.begin(), running.end());
      if (first == running.end() || first->first > end) break;
      now = first->first;
      const OpId id = first->second;
      running.erase(first);
      pools.run_finished(now, id);
      pools.answered(now, id, false);
      start_queued();
    }
    now = end;
  }
  Pools::Admission offer(unsigned type, unsigned tenant = 0, Digest fingerprint = {},
                         bool answered_from_earlier = false) {
    const OpId id{next++};
    const Pools::Admission v =
        pools.op_received(now, id, OpTypeId{type}, TenantId{tenant}, fingerprint, answered_from_earlier);
    if (v.admitted && !answered_from_earlier) {
      waiting[id] = {OpTypeId{type}, type == 0 ? 50 * ms : 100 * ms};
      worth[id] = v.worth;
      queue.push_back(id);
      if (queue.size() > 6) { // as the module: turns away the op of the least worth
        const auto least =
            std::min_element(queue.begin(), queue.end(), [&](OpId a, OpId b) { return worth[a] < worth[b]; });
        if (worth[*least] >= 1000) turned_away_work += static_cast<double>(waiting[*least].second) / second;
        pools.answered(now, *least, true);
        queue.erase(least);
      }
      start_queued();
    }
    return v;
  }
  // Offers each type at a steady rate per second for some time, and prints how many ops were admitted,
  // protected and refused.
  void load(const char* title, double looks, double books, Nanos time, unsigned tenant = 0) {
    struct Count {
      int admitted = 0, protected_ops = 0, refused = 0;
    } count[2];
    double due[2] = {};
    double protected_work = 0;
    turned_away_work = 0;
    const Nanos end = now + time;
    while (now < end) {
      run_until(now + 10 * ms);
      for (unsigned type = 0; type < 2; ++type)
        for (due[type] += (type == 0 ? looks : books) / 100; due[type] >= 1; due[type] -= 1) {
          const Pools::Admission v = offer(type, tenant);
          ++(v.admitted ? count[type].admitted : count[type].refused);
          count[type].protected_ops += v.worth >= 1000;
          if (v.worth >= 1000) protected_work += type == 0 ? 0.05 : 0.1;
        }
    }
    std::printf("  %-24s looks %d passed, %d protected, %d refused; books %d, %d, %d; capacity %.1f cores, "
                "protected %.2f\n",
                title, count[0].admitted, count[0].protected_ops, count[0].refused, count[1].admitted,
                count[1].protected_ops, count[1].refused, pools.capacity(),
                (protected_work - turned_away_work) / (static_cast<double>(time) / second));
  }
};

void say(const char* text) { std::printf("# %s\n", text); }

} // namespace

int main() {
  {
    say("floor for bookings: this fraction of the observed capacity is protected, whatever else arrives");
    TestServer s({{"pool.0.name", "bookings"}, {"pool.0.op_types", "book\n"}, {"pool.0.floor", 0.5}});
    s.load("learning", 10, 5, 4 * second);
    s.load("a flood of looks", 200, 20, 4 * second);
    s.load("bookings alone", 0, 40, 4 * second);
    s.slowdown = 2;
    s.load("cores at half speed", 100, 20, 6 * second);
    s.slowdown = 1;
    s.load("and back", 100, 20, 6 * second);
  }
  {
    say("ceiling: ops above it are refused at once, with a retry delay");
    TestServer s({{"pool.0.name", "looks"}, {"pool.0.op_types", "look\n"}, {"pool.0.ceiling", 0.25}});
    s.load("learning", 10, 15, 4 * second);
    s.load("a flood of looks", 100, 10, 4 * second);
    for (;;)
      if (const Pools::Admission v = s.offer(0); !v.admitted) {
        std::printf("  refused: %s, retry after %lld ms\n", std::string(to_text(v.reason)).c_str(),
                    static_cast<long long>(v.retry_after / ms));
        s.run_until(s.now + v.retry_after);
        break;
      }
    std::printf("  and then: passes %d\n", s.offer(0).admitted);
  }
  {
    say("reserve for the cheapest ops: its fraction of the capacity, and not more");
    TestServer s({{"pools.reserve", 0.1}});
    s.load("learning", 10, 5, 4 * second);
    s.load("a flood of bookings", 20, 100, 10 * second);
    s.load("a flood of looks", 200, 0, 10 * second);
  }
  {
    say("retries, recognised by their fingerprint: under pressure up to a fraction of the first tries, else "
        "all");
    TestServer s({{"pools.repeats", 0.2}});
    const auto storm = [&](const char* title, int each) {
      int first = 0, full_worth = 0, refused = 0;
      for (int i = 0; i < 400; ++i) {
        s.run_until(s.now + 10 * ms);
        const Digest fingerprint{s.next, 99};
        first += s.offer(0, 0, fingerprint).admitted;
        for (int k = 0; k < each; ++k) {
          const bool full = s.offer(0, 0, fingerprint).worth >= 0.5;
          ++(full ? full_worth : refused);
        }
      }
      std::printf("  %-24s first tries passed %d of 400; repeats %d in full, %d for little\n", title, first,
                  full_worth, refused);
    };
    s.load("learning", 10, 5, 4 * second);
    storm("three repeats of each", 3);
    const Digest fingerprint{7, 7};
    s.offer(1, 0, fingerprint);
    std::printf("  a retry whose first try runs here: passes %d\n",
                s.offer(1, 0, fingerprint, true).admitted);
  }
  {
    say("tenants: one with ten times the other's ops counts for less, the longer the less; then this decays");
    TestServer s({});
    s.load("learning", 10, 5, 4 * second);
    const auto print_worths = [&](const char* when) {
      const double long_worth = s.offer(0, 1).worth;
      const double main_worth = s.offer(0, 0).worth;
      std::printf("  %-24s main %.2f, long %.2f\n", when, main_worth, long_worth);
    };
    print_worths("before");
    for (int i = 0; i < 300; ++i) {
      s.run_until(s.now + 10 * ms);
      for (int k = 0; k < 10; ++k) s.offer(0, 1);
      if (i % 2 == 0) s.offer(0, 0);
      if (i == 30 || i == 299) print_worths(i == 30 ? "after 0.3 s" : "after 3 s");
    }
    s.run_until(s.now + 10 * second);
    print_worths("ten seconds later");
  }
  {
    say("invalid settings");
    const auto rejected = [](std::initializer_list<Settings::value_type> more) {
      try {
        Pools(0, site_settings(more));
        std::printf("  taken\n");
      } catch (const std::invalid_argument& e) {
        std::printf("  %s\n", e.what());
      }
    };
    rejected({{"pool.0.name", "a"}, {"pool.0.op_types", "look\nsell\n"}});
    rejected({{"pool.0.name", "a"}, {"pool.0.floor", 0.8}, {"pool.1.name", "b"}, {"pool.1.floor", 0.3}});
    rejected({{"pool.0.name", "a"}, {"pool.0.floor", 0.5}, {"pool.0.ceiling", 0.4}});
    rejected({{"pools.estimator", "guess"}});
    rejected({{"pools.reserve", 1.5}});
  }
}
