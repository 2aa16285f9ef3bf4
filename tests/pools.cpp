// Pools alone: floors, ceilings, the reserve, repeats, tenants; what comes back and when.
#include "pools.hpp"
#include "driver.hpp"

namespace {

constexpr Nanos second = 1000 * ms;

Settings site(std::initializer_list<Settings::value_type> more) {
  Settings given{{"pools.on", 1.0},         {"op_type.0.name", "look"}, {"op_type.1.name", "book"},
                 {"tenant.0.name", "main"}, {"tenant.0.quota", 60.0},   {"tenant.1.name", "long"},
                 {"tenant.1.quota", 40.0}};
  for (const auto& [name, value] : more) given[name] = value;
  return given;
}

// Two cores that do a look in 50 ms and a book in 100; as many run as there are cores.
struct Stand {
  Nanos now = 0;
  Pools pools;
  std::uint64_t next = 1;
  std::vector<std::pair<Nanos, OpId>> running;
  std::map<OpId, std::pair<OpTypeId, Nanos>> waiting;
  std::map<OpId, double> worth;
  double given_back = 0; // protected work that was turned away after all
  std::deque<OpId> line;
  double slow = 1;

  explicit Stand(std::initializer_list<Settings::value_type> more) : pools(0, site(more)) {}
  void begin() {
    while (running.size() < 2 && !line.empty()) {
      const OpId id = line.front();
      line.pop_front();
      pools.started(now, id);
      running.emplace_back(now + static_cast<Nanos>(slow * static_cast<double>(waiting[id].second)), id);
    }
  }
  void to(Nanos end) {
    for (;;) {
      const auto first = std::min_element(running.begin(), running.end());
      if (first == running.end() || first->first > end) break;
      now = first->first;
      const OpId id = first->second;
      running.erase(first);
      pools.run_finished(now, id);
      pools.answered(now, id, false);
      begin();
    }
    now = end;
  }
  Pools::Admission came(unsigned type, unsigned tenant = 0, Digest trace = {}, bool answerable = false) {
    const OpId id{next++};
    const Pools::Admission v =
        pools.op_received(now, id, OpTypeId{type}, TenantId{tenant}, trace, answerable);
    if (v.admitted && !answerable) {
      waiting[id] = {OpTypeId{type}, type == 0 ? 50 * ms : 100 * ms};
      worth[id] = v.worth;
      line.push_back(id);
      if (line.size() > 6) { // the module turns away what is worth least
        const auto least =
            std::min_element(line.begin(), line.end(), [&](OpId a, OpId b) { return worth[a] < worth[b]; });
        if (worth[*least] >= 1000) given_back += static_cast<double>(waiting[*least].second) / second;
        pools.answered(now, *least, true);
        line.erase(least);
      }
      begin();
    }
    return v;
  }
  // So much of each type a second, evenly, for some seconds; how many passed, protected, refused.
  void load(const char* what, double looks, double books, Nanos time, unsigned tenant = 0) {
    struct Count {
      int passed = 0, safe = 0, refused = 0;
    } count[2];
    double owed[2] = {};
    double safe_work = 0;
    given_back = 0;
    const Nanos end = now + time;
    while (now < end) {
      to(now + 10 * ms);
      for (unsigned type = 0; type < 2; ++type)
        for (owed[type] += (type == 0 ? looks : books) / 100; owed[type] >= 1; owed[type] -= 1) {
          const Pools::Admission v = came(type, tenant);
          ++(v.admitted ? count[type].passed : count[type].refused);
          count[type].safe += v.worth >= 1000;
          if (v.worth >= 1000) safe_work += type == 0 ? 0.05 : 0.1;
        }
    }
    std::printf("  %-24s looks %d passed, %d protected, %d refused; books %d, %d, %d; capacity %.1f cores, "
                "protected %.2f\n",
                what, count[0].passed, count[0].safe, count[0].refused, count[1].passed, count[1].safe,
                count[1].refused, pools.capacity(),
                (safe_work - given_back) / (static_cast<double>(time) / second));
  }
};

void say(const char* what) { std::printf("# %s\n", what); }

} // namespace

int main() {
  {
    say("a floor for bookings: so much of the capacity as observed is protected, whatever else comes");
    Stand s({{"pool.0.name", "bookings"}, {"pool.0.op_types", "book\n"}, {"pool.0.floor", 0.5}});
    s.load("learning", 10, 5, 4 * second);
    s.load("a flood of looks", 200, 20, 4 * second);
    s.load("bookings alone", 0, 40, 4 * second);
    s.slow = 2;
    s.load("cores at half speed", 100, 20, 6 * second);
    s.slow = 1;
    s.load("and back", 100, 20, 6 * second);
  }
  {
    say("a ceiling: what is over it is refused at once, with the time to come back");
    Stand s({{"pool.0.name", "looks"}, {"pool.0.op_types", "look\n"}, {"pool.0.ceiling", 0.25}});
    s.load("learning", 10, 15, 4 * second);
    s.load("a flood of looks", 100, 10, 4 * second);
    for (;;)
      if (const Pools::Admission v = s.came(0); !v.admitted) {
        std::printf("  refused: %s, come back in %lld ms\n", std::string(to_text(v.reason)).c_str(),
                    static_cast<long long>(v.retry_after / ms));
        s.to(s.now + v.retry_after);
        break;
      }
    std::printf("  and then: passes %d\n", s.came(0).admitted);
  }
  {
    say("a reserve for the cheapest: its part of the capacity, and not more");
    Stand s({{"pools.reserve", 0.1}});
    s.load("learning", 10, 5, 4 * second);
    s.load("a flood of bookings", 20, 100, 10 * second);
    s.load("a flood of looks", 200, 0, 10 * second);
  }
  {
    say("repeats: told by their trace; a part of the first tries passes where it is crowded, all where it is "
        "not");
    Stand s({{"pools.repeats", 0.2}});
    const auto storm = [&](const char* what, int each) {
      int first = 0, again = 0, refused = 0;
      for (int i = 0; i < 400; ++i) {
        s.to(s.now + 10 * ms);
        const Digest trace{s.next, 99};
        first += s.came(0, 0, trace).admitted;
        for (int k = 0; k < each; ++k) {
          const bool full = s.came(0, 0, trace).worth >= 0.5;
          ++(full ? again : refused);
        }
      }
      std::printf("  %-24s first tries passed %d of 400; repeats %d in full, %d for little\n", what, first,
                  again, refused);
    };
    s.load("learning", 10, 5, 4 * second);
    storm("three repeats of each", 3);
    const Digest trace{7, 7};
    s.came(1, 0, trace);
    std::printf("  one whose first runs here: passes %d\n", s.came(1, 0, trace, true).admitted);
  }
  {
    say("tenants: one with ten times the other's ops counts for less, the longer the less; then it is "
        "forgotten");
    Stand s({});
    s.load("learning", 10, 5, 4 * second);
    const auto worths = [&](const char* when) {
      std::printf("  %-24s main %.2f, long %.2f\n", when, s.came(0, 0).worth, s.came(0, 1).worth);
    };
    worths("before");
    for (int i = 0; i < 300; ++i) {
      s.to(s.now + 10 * ms);
      for (int k = 0; k < 10; ++k) s.came(0, 1);
      if (i % 2 == 0) s.came(0, 0);
      if (i == 30 || i == 299) worths(i == 30 ? "after 0.3 s" : "after 3 s");
    }
    s.to(s.now + 10 * second);
    worths("ten seconds later");
  }
  {
    say("what can't be");
    const auto wrong = [](std::initializer_list<Settings::value_type> more) {
      try {
        Pools(0, site(more));
        std::printf("  taken\n");
      } catch (const std::invalid_argument& e) {
        std::printf("  %s\n", e.what());
      }
    };
    wrong({{"pool.0.name", "a"}, {"pool.0.op_types", "look\nsell\n"}});
    wrong({{"pool.0.name", "a"}, {"pool.0.floor", 0.8}, {"pool.1.name", "b"}, {"pool.1.floor", 0.3}});
    wrong({{"pool.0.name", "a"}, {"pool.0.floor", 0.5}, {"pool.0.ceiling", 0.4}});
    wrong({{"pools.estimator", "guess"}});
    wrong({{"pools.reserve", 1.5}});
  }
}
