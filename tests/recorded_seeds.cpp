// Records random workloads in small segments, once from the beginning and once from the middle, and replays
// them; each replay must match its recording. The workloads include overload, lost calls, broken links, lost
// client streams, stalled cores, repeats and drains.
#include "recorded_core.hpp"

namespace {

constexpr int days = 120;

std::vector<std::string> day(std::uint64_t seed, bool from_middle, bool conceal) {
  RecordedCore s(seed);
  Pcg chance(seed * 7 + 3);
  const Settings wanted{{"segment_bytes", 12'000.0}, {"conceal", conceal ? 1.0 : 0.0}};
  Settings pools{{"pools.on", 1.0}, {"pools.reserve", 0.1}, {"pools.repeats", 0.1}};
  pools["pool.0.name"] = "bookings";
  pools["pool.0.op_types"] = "book\n";
  pools["pool.0.floor"] = 0.5;
  pools["pool.1.name"] = "long-stay";
  pools["pool.1.tenants"] = "long-stay\n";
  pools["pool.1.ceiling"] = 0.3;
  if (seed % 3 == 0) s.recorder.set_pools(s.now, pools);
  if (!from_middle) s.record(wanted);
  s.run_time = static_cast<Nanos>((10 + 120 * chance.unit()) * ms);
  s.call_time = static_cast<Nanos>((2 + 60 * chance.unit()) * ms);
  s.calls = static_cast<int>(chance.next() % 3);
  s.lost_calls = chance.unit() < 0.3 ? 0.2 * chance.unit() : 0;
  s.failing = chance.unit() < 0.3 ? 0.1 : 0;
  const double rate = 10 + 100 * chance.unit();
  s.link();
  const int ops = 150;
  std::vector<std::uint64_t> open;
  for (int i = 1; i <= ops; ++i) {
    if (from_middle && i == ops / 2) s.record(wanted);
    const auto id = static_cast<std::uint64_t>(i);
    const bool repeat = i > 5 && chance.unit() < 0.25;
    const std::uint64_t mark = repeat ? id - 1 - chance.next() % 4 : id;
    s.came(id, chance.next() % 3, "m" + std::to_string(mark), chance.unit() < 0.02 ? "another" : "body",
           static_cast<Nanos>((200 + 1800 * chance.unit()) * ms),
           static_cast<Nanos>(20 * chance.unit() * ms));
    if (chance.unit() < 0.05)
      s.recorder.stream_lost(s.now, {ConnectionId{id % 3 + 1}, StreamId{static_cast<std::uint32_t>(id)}}),
          s.turn();
    if (chance.unit() < 0.02) s.recorder.start_refused(s.now, OpId{id}), s.on_core.erase(OpId{id}), s.turn();
    if (chance.unit() < 0.02) {
      s.break_link();
      const std::uint64_t known = s.starts > 2 ? s.starts - chance.next() % 3 : 0;
      s.later(30 * ms, [&s, known] { s.up = true, s.recorder.link_up(s.now, StartNo{known}), s.turn(); });
    }
    if (i == ops / 3 && seed % 4 == 1) s.recorder.set_pools(s.now, pools), s.turn(); // by reload, under load
    if (i == ops * 4 / 5 && seed % 6 == 0) s.recorder.set_pools(s.now, {}), s.turn();
    if (i == ops * 3 / 4 && chance.unit() < 0.3) s.recorder.drain(s.now, s.now), s.turn();
    s.pass(static_cast<Nanos>(-std::log(1 - chance.unit()) / rate * 1e9));
  }
  s.pass(3 * second);
  return s.files("day");
}

} // namespace

int main() {
  int same = 0, seams = 0, closed = 0, all = 0;
  std::uint64_t orders = 0;
  for (std::uint64_t seed = 1; seed <= days; ++seed)
    for (const bool from_middle : {false, true}) {
      const Replayer::Result r = replayed(day(seed, from_middle, seed % 2 == 0));
      ++all;
      same += r.difference.empty();
      closed += r.clean_end;
      seams += r.snapshots_checked > 0;
      orders += r.orders;
      if (!r.difference.empty())
        std::printf("day %llu: %s\n", static_cast<unsigned long long>(seed), r.difference.c_str());
    }
  std::printf(
      "%d of %d recordings replay identically, %d closed, %d or more with checked seams, orders over %d000\n",
      same, all, closed, seams / 50 * 50, static_cast<int>(orders / 10'000 * 10));
}
