// cometshift-scale core: start, memory, processor time of an op, the longest turn, and a changed
// configuration, by tenants, callers, op types, connections and ops a second. Each run is a process of its
// own, so that memory is what that run took.
#include "commands.hpp"
#include "configuration.hpp"
#include "core_world.hpp"
#include "frames.hpp"
#include "front.hpp"
#include "recorder.hpp"
#include "replay.hpp"
#include "rows.hpp"
#include "serializer.hpp"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <malloc.h>
#include <map>
#include <memory>
#include <set>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

namespace cometshift::scale {

namespace {

constexpr Nanos measured_time = 30 * second; // of load, at the target's mean rate
constexpr Nanos settle_time = 10 * second;   // before it
constexpr double many_a_second = 2000;       // ops: all callers come within the time that they are remembered
constexpr std::size_t most_with_pools =
    3000;                         // tenants: pools take the square of them (docs/experiments/scale/bounds.md)
constexpr std::size_t asks = 200; // through the front, for each run

// Figures in the order in which they were told.
using Figures = std::vector<std::pair<std::string, double>>;

// ---- of this process

double seconds_of(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}
double cpu_ms() { return 1e3 * seconds_of(CLOCK_PROCESS_CPUTIME_ID); }
double wall_ms() { return 1e3 * seconds_of(CLOCK_MONOTONIC); }
double heap_bytes() {
  const struct mallinfo2 all = mallinfo2();
  return static_cast<double>(all.uordblks + all.hblkhd);
}
// A line of this process's status, in bytes.
double status_bytes(const std::string& name) {
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with(name + ":")) return 1024 * std::strtod(line.c_str() + name.size() + 1, nullptr);
  return 0;
}

// Does something in a new process and hands back what it told; nothing where that failed.
Figures in_child(const std::function<void(Figures&)>& work) {
  int ends[2];
  if (pipe(ends) != 0) return {};
  std::fflush(nullptr);
  const pid_t child = fork();
  if (child < 0) return {};
  if (child == 0) {
    close(ends[0]);
    Figures got;
    int code = 0;
    try {
      work(got);
    } catch (const std::exception& e) {
      std::fprintf(stderr, "core: %s\n", e.what());
      code = 1;
    }
    if (std::FILE* out = fdopen(ends[1], "w")) {
      for (const auto& [name, value] : got) std::fprintf(out, "%s %.17g\n", name.c_str(), value);
      std::fclose(out);
    }
    _exit(code);
  }
  close(ends[1]);
  Figures got;
  if (std::FILE* in = fdopen(ends[0], "r")) {
    char name[128];
    double value = 0;
    while (std::fscanf(in, "%127s %lf", name, &value) == 2) got.emplace_back(name, value);
    std::fclose(in);
  }
  int status = 0;
  waitpid(child, &status, 0);
  if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) return {};
  return got;
}

// ---- the core and its module

void tell(Figures& got, const std::string& kind, const Cost& cost) {
  const double times = std::max<double>(1, static_cast<double>(cost.times));
  got.emplace_back(kind + "_us", cost.wall_ns / times / 1e3);
  got.emplace_back(kind + "_longest_us", cost.longest_ns / 1e3);
  got.emplace_back(kind + "_allocations", static_cast<double>(cost.counts.allocations) / times);
}

std::string remembered(Core& core) {
  std::string bytes;
  Writer writer(bytes);
  core.serialize(writer);
  return bytes;
}

// `text`: the configuration, made before the process was, so that its making is in no figure.
void measure(const Sizes& sizes, const std::string& text, std::uint64_t seed, Figures& got) {
  got.emplace_back("file_bytes", static_cast<double>(text.size()));
  malloc_trim(0);
  const double heap = heap_bytes(), rss = status_bytes("VmRSS");
  double cpu = cpu_ms(), wall = wall_ms();
  const Settings given = parse_configuration(text);
  got.emplace_back("read_ms", cpu_ms() - cpu);
  got.emplace_back("settings_bytes", heap_bytes() - heap);
  got.emplace_back("read_peak_bytes", status_bytes("VmHWM") - rss);
  const double with_settings = heap_bytes();
  cpu = cpu_ms();
  World world(given, sizes, seed);
  got.emplace_back("make_ms", cpu_ms() - cpu);
  got.emplace_back("start_ms", wall_ms() - wall); // both, as a clock on the wall has it
  got.emplace_back("core_bytes", heap_bytes() - with_settings);
  got.emplace_back("rss_bytes", status_bytes("VmRSS") - rss);

  // Until every caller has come, as many as there can be.
  const auto all = static_cast<Nanos>(static_cast<double>(sizes.callers) / sizes.rate * 1e9);
  world.run(std::max(settle_time, std::min(all, 60 * second)));
  const std::size_t before = remembered(world.core()).size();
  const double loaded = heap_bytes();
  world.from_here();
  const std::uint64_t nacked = world.nacked, failed = world.failed_ops;
  cpu = cpu_ms();
  world.run(measured_time);
  cpu = cpu_ms() - cpu;
  const auto ops = static_cast<double>(world.came.times);
  got.emplace_back("op_us", cpu * 1e3 / ops); // with the wake-ups of its time, and our own queue
  got.emplace_back("core_part", cpu / 1e3 / (static_cast<double>(measured_time) / 1e9));
  tell(got, "came", world.came);
  tell(got, "over", world.over);
  tell(got, "look", world.look);
  got.emplace_back("turn_longest_us",
                   std::max({world.came.longest_ns, world.over.longest_ns, world.look.longest_ns}) / 1e3);
  got.emplace_back("not_acked", static_cast<double>(world.nacked - nacked + world.failed_ops - failed));
  got.emplace_back("load_bytes", loaded - with_settings);
  got.emplace_back("state_bytes", static_cast<double>(before));

  // A changed configuration as a reload takes it today: all is read and checked, three addresses are taken.
  cpu = cpu_ms(), wall = wall_ms();
  { const Settings again = parse_configuration(text); }
  got.emplace_back("reload_stall_ms", wall_ms() - wall);
  got.emplace_back("reload_ms", cpu_ms() - cpu);
  // Other settings: nothing takes them in force. A core made anew and told all that the first remembers.
  wall = wall_ms();
  const std::string state = remembered(world.core());
  Settings changed = world.core().settings();
  changed["callers"] = 7.0;
  World other(changed, sizes, seed);
  Reader reader(state);
  other.core().serialize(reader);
  got.emplace_back("settings_stall_ms", wall_ms() - wall);
  // Other pools, taken in force.
  if (sizes.tenants <= most_with_pools) {
    wall = wall_ms();
    world.core().set_pools(world.now(), pools_of(sizes.tenants));
    got.emplace_back("pools_stall_ms", wall_ms() - wall);
  }
}

// ---- the front: how it finds the tenant of an op

struct Handler final : Front::Handler {
  std::vector<StreamRef> lines;
  void op_received(StreamRef line, OpId, OpTypeId, TenantId, CallerId, Nanos, Nanos, double, double,
                   std::string_view, std::string_view, std::string_view) override {
    lines.push_back(line);
  }
  void stream_lost(StreamRef) override {}
};

std::string ask_frame(std::uint32_t stream, std::uint64_t op, const std::string& tenant) {
  char txn[20];
  std::snprintf(txn, sizeof txn, "%016llx", static_cast<unsigned long long>(op));
  const std::pair<const char*, std::string> fields[] = {
      {"verb", "op-type-0"}, {"txn", txn},  {"door", "1764576000000"}, {"lb", "7"}, {"team", tenant},
      {"limit", "3600"},     {"ram", "10"}, {"standing", "0.5"}};
  std::string payload(1, static_cast<char>(std::size(fields)));
  for (const auto& [name, value] : fields) {
    payload += static_cast<char>(std::string_view(name).size());
    payload += name;
    payload += static_cast<char>(value.size() & 0xff);
    payload += static_cast<char>(value.size() >> 8);
    payload += value;
  }
  std::string out;
  frames::put_frame(out, frames::request, stream, payload + std::string(200, 'b'));
  return out;
}

// One connection on loopback; what the front and the kernel take to read and refuse an op. The sending is not
// in it.
void measure_front(const Sizes& sizes, std::uint64_t seed, Figures& got) {
  asio::io_context io;
  std::uint16_t port = 0;
  {
    const asio::ip::tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
    asio::ip::tcp::acceptor free(io, any);
    port = free.local_endpoint().port();
  }
  Front::Names names{{"op-type-0"}, {false}, {}, true};
  for (std::size_t t = 0; t < sizes.tenants; ++t) names.tenants.push_back(tenant_name(t));
  Handler taker;
  Nanos now = 0;
  Clock clock([&now] { return now; });
  Front front(io, "127.0.0.1:" + std::to_string(port), 24, 1 << 20, std::move(names), clock, taker);
  front.set_eviction_order({}, 8);
  asio::ip::tcp::socket peer(io);
  peer.connect(asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port));
  Pcg chance(seed);
  double spent = 0, longest = 0;
  char dropped[4096];
  for (std::size_t k = 1; k <= asks; ++k) {
    const auto tenant = static_cast<std::size_t>(chance.unit() * static_cast<double>(sizes.tenants));
    asio::write(peer, asio::buffer(ask_frame(static_cast<std::uint32_t>(k), k, tenant_name(tenant))));
    for (int turn = 0; taker.lines.size() < k; ++turn) {
      if (turn > 100'000) throw std::runtime_error("the front takes no op");
      const double cpu = cpu_ms();
      io.restart();
      io.poll();
      const double took = cpu_ms() - cpu;
      if (taker.lines.size() == k) spent += took, longest = std::max(longest, took);
    }
    front.refused(taker.lines.back(), 0, false);
    now = static_cast<Nanos>(k) * ms;
    front.flush();
    peer.read_some(asio::buffer(dropped));
  }
  got.emplace_back("front_ask_us", spent * 1e3 / static_cast<double>(asks));
  got.emplace_back("front_ask_longest_us", longest * 1e3);
}

// ---- what is varied

struct By {
  const char* name;
  std::vector<double> sizes;
  double target; // the size that the slopes are told at
  std::function<void(Sizes&, double)> set;
};

const std::vector<By>& all_by() {
  static const std::vector<By> all{
      {"tenants",
       {10, 100, 1000, 10'000, 100'000, 230'000},
       230'000,
       [](Sizes& s, double n) { s.tenants = static_cast<std::size_t>(n); }},
      {"tenants_pools",
       {10, 100, 1000, 10'000, 100'000, 230'000},
       230'000,
       [](Sizes& s, double n) { s.tenants = static_cast<std::size_t>(n), s.pools = true; }},
      {"callers",
       {10, 100, 1000, 8000, 64'000},
       64'000,
       [](Sizes& s, double n) {
         s.callers = static_cast<std::size_t>(n), s.rate = many_a_second, s.idle_s = 60;
       }},
      {"op_types",
       {1, 4, 16, 32, 64},
       64,
       [](Sizes& s, double n) { s.op_types = static_cast<std::size_t>(n); }},
      {"connections",
       {24, 100, 400, 1000, 4000},
       4000,
       [](Sizes& s, double n) { s.connections = static_cast<std::size_t>(n); }},
      {"rate", {20, 94, 200, 470, 940, 1880}, 1880, [](Sizes& s, double n) { s.rate = n; }}};
  return all;
}

Row& put(Row& row, const Sizes& sizes, const char* by, bool shared) {
  return row.set("by", by)
      .set("tenants", static_cast<double>(sizes.tenants))
      .set("callers", static_cast<double>(sizes.callers))
      .set("op_types", static_cast<double>(sizes.op_types))
      .set("connections", static_cast<double>(sizes.connections))
      .set("ops_s", sizes.rate)
      .set("pools", sizes.pools ? 1 : 0)
      .set("idle_s", sizes.idle_s)
      .set("memory_mb", sizes.memory_mb)
      .set("simulated_s", static_cast<double>(measured_time) / 1e9)
      .set("shared", shared ? 1 : 0);
}

double median(std::vector<double> all) {
  std::sort(all.begin(), all.end());
  return all[all.size() / 2];
}

// Runs each size so many times; a row for each run, then a row of slopes for each figure.
int sweep(const By& by, const std::vector<double>& sizes_wanted, int repeats, bool shared, std::FILE* out) {
  std::vector<std::string> order;
  std::map<std::string, std::map<double, std::vector<double>>> by_figure;
  const std::vector<double>& sizes = sizes_wanted.empty() ? by.sizes : sizes_wanted;
  for (int repeat = 1; repeat <= repeats; ++repeat) // in turn, so that what disturbs meets all sizes alike
    for (const double size : sizes) {
      Sizes one;
      by.set(one, size);
      const auto seed = static_cast<std::uint64_t>(repeat);
      const std::string text = configuration_text(one);
      Figures got = in_child([&](Figures& into) { measure(one, text, seed, into); });
      if (got.empty()) return 1;
      if (std::string(by.name) == "tenants")
        for (const auto& figure : in_child([&](Figures& into) { measure_front(one, seed, into); }))
          got.push_back(figure);
      Row row("core", seed);
      put(row, one, by.name, shared);
      for (const auto& [name, value] : got) {
        row.got(name, value);
        if (by_figure[name].empty()) order.push_back(name);
        by_figure[name][size].push_back(value);
      }
      row.write(out);
      std::fflush(out);
    }
  for (const std::string& name : order) {
    std::vector<Measured> all, top;
    for (const auto& [size, values] : by_figure[name])
      for (const double value : values) all.push_back({size, value});
    const std::map<double, std::vector<double>>& figure = by_figure[name];
    if (figure.size() < 3 || name == "not_acked") continue;
    for (const Measured& one : all) // fitted by themselves too, as what stays the same covers what grows
      if (one.size >= std::prev(figure.end(), 3)->first) top.push_back(one);
    Sizes base;
    by.set(base, figure.rbegin()->first);
    Row row("slope", 0);
    put(row, base, by.name, shared)
        .set("figure", name)
        .set("target", by.target)
        .set("repeats", static_cast<double>(repeats));
    const std::vector<double>& last = figure.rbegin()->second;
    row.got("all", slope_of(all)).got("top", slope_of(top));
    row.got("median_at_largest", median(last))
        .got("least_at_largest", *std::min_element(last.begin(), last.end()))
        .got("most_at_largest", *std::max_element(last.begin(), last.end()))
        .got("top.at_target", slope_of(top).at(by.target)) // at the target's size
        .got("median_at_smallest", median(figure.begin()->second))
        .write(out);
    std::fflush(out);
  }
  return 0;
}

// ---- bounds, and what happens beyond them

// The callers that are remembered: what the state of a core with a load takes over one whose callers are one.
double callers_remembered(World& many, World& one) {
  constexpr double bytes_of_one = 2 + 8 + 9; // number, ops of late, time: about; told as such
  return (static_cast<double>(remembered(many.core()).size()) -
          static_cast<double>(remembered(one.core()).size())) /
         bytes_of_one;
}

void bound_callers(Figures& got, std::size_t callers) {
  Sizes sizes, alone;
  sizes.callers = callers, sizes.rate = alone.rate = many_a_second, sizes.idle_s = alone.idle_s = 60;
  alone.callers = 1;
  const Settings given = parse_configuration(configuration_text(sizes));
  World world(given, sizes, 1), one(parse_configuration(configuration_text(alone)), alone, 1);
  world.run(40 * second), one.run(40 * second);
  got.emplace_back("callers_remembered_about", callers_remembered(world, one));
  world.from_here();
  world.run(10 * second);
  tell(got, "came", world.came);
  tell(got, "look", world.look);
  got.emplace_back("not_acked", static_cast<double>(world.nacked + world.failed_ops));
}

// Other keys than before, all within their time, from one caller at an even pace.
void bound_keys(Figures& got) {
  Sizes sizes;
  sizes.memory_mb = 32, sizes.op_types = 2, sizes.rate = 1000;
  World world(parse_configuration(configuration_text(sizes)), sizes, 1);
  world.run(5 * second); // half are keyed: 2,500 of 4,096
  got.emplace_back("nacked_below", static_cast<double>(world.nacked));
  const std::uint64_t asked = world.asked;
  world.run(10 * second);
  got.emplace_back("asked_beyond", static_cast<double>(world.asked - asked));
  got.emplace_back("nacked_beyond", static_cast<double>(world.nacked));
  got.emplace_back("failed_beyond", static_cast<double>(world.failed_ops));
  got.emplace_back("reason_is_too_many_keys", world.last_why == Reason::too_many_keys);
}

// Repeats of one op that runs: all stay open until it ends.
void bound_ops(Figures& got) {
  Sizes sizes;
  sizes.memory_mb = 32, sizes.op_types = 2, sizes.rate = 1e-3; // no load beside
  World world(parse_configuration(configuration_text(sizes)), sizes, 1);
  world.run_time(500 * ms);
  const std::uint64_t most = 48 * 32;
  for (std::uint64_t k = 0; k < most; ++k)
    world.ask(OpTypeId{1}, CallerId{1}, TenantId{0}, "mark", "body", 0.5);
  got.emplace_back("nacked_below", static_cast<double>(world.nacked));
  world.from_here();
  for (std::uint64_t k = 0; k < 1000; ++k)
    world.ask(OpTypeId{1}, CallerId{1}, TenantId{0}, "mark", "body", 0.5);
  got.emplace_back("nacked_beyond_of_1000", static_cast<double>(world.nacked));
  got.emplace_back("reason_is_too_many_ops", world.last_why == Reason::too_many_ops);
  tell(got, "came", world.came);
  world.run(2 * second);
  got.emplace_back("acked_after", static_cast<double>(world.acked));
  got.emplace_back("turn_of_all_answers_us", world.over.longest_ns / 1e3);
}

// Large results of keyed ops: those with no room are answered once, but not kept for repeats.
void bound_results(Figures& got) {
  Sizes sizes;
  sizes.memory_mb = 32, sizes.op_types = 2, sizes.rate = 100;
  World world(parse_configuration(configuration_text(sizes)), sizes, 1);
  world.result_bytes(32 * 1024); // 128 of them fill an eighth of 32 MB
  world.run(10 * second);        // 500 keyed ones
  got.emplace_back("acked", static_cast<double>(world.acked));
  got.emplace_back("results_not_kept", static_cast<double>(world.no_room));
  const std::uint64_t failed = world.failed_ops, acked = world.acked;
  world.ask(OpTypeId{1}, CallerId{1}, TenantId{0}, "mark-1", std::string(200, 'b'), 0.5);
  world.settle();
  got.emplace_back("repeat_of_a_kept_one_acked", static_cast<double>(world.acked - acked));
  world.ask(OpTypeId{1}, CallerId{1}, TenantId{0}, "mark-901", std::string(200, 'b'), 0.5);
  world.settle();
  got.emplace_back("repeat_of_one_not_kept_failed", static_cast<double>(world.failed_ops - failed));
}

// A try that comes again after so many others: known as a repeat, or taken for a first one.
void bound_traces(Figures& got, std::size_t between) {
  Sizes sizes;
  sizes.pools = true, sizes.rate = many_a_second;
  World world(parse_configuration(configuration_text(sizes)), sizes, 1);
  const auto ask = [&] { world.ask(OpTypeId{0}, CallerId{1}, TenantId{0}, {}, "the same", 0.25); };
  const auto repeats = [&] {
    std::uint64_t all = 0;
    for (const Pools::Stats& pool : world.core().pools()->stats()) all += pool.repeats;
    return all;
  };
  ask();
  const std::uint64_t before = repeats();
  world.run(static_cast<Nanos>(static_cast<double>(between) / many_a_second * 1e9));
  ask();
  got.emplace_back("known_again", static_cast<double>(repeats() - before));
}

// A pool that names many tenants: each name is looked for among all.
void bound_named(Figures& got, std::size_t tenants) {
  Sizes sizes;
  sizes.tenants = tenants;
  World world(parse_configuration(configuration_text(sizes)), sizes, 1);
  const double wall = wall_ms();
  world.core().set_pools(world.now(), pools_of(tenants, 10));
  got.emplace_back("pools_stall_ms", wall_ms() - wall);
}

// The head of a recording holds the settings; a reader takes heads up to 1 MB.
void bound_recording(Figures& got, std::size_t tenants) {
  Sizes sizes;
  sizes.tenants = tenants;
  struct Silent final : Actions {
    void served(StreamRef, OpId, Content) override {}
    void refused(StreamRef, OpId, Reason, Nanos, bool) override {}
    void failed(StreamRef, OpId, Reason) override {}
    void penalize(StreamRef) override {}
    void start(OpId, OpTypeId, const Content&, StartNo) override {}
    void resume(OpId, const Content&) override {}
    void call(OpId, Nanos, const Content&) override {}
    void cancel_call(OpId) override {}
    void health(bool) override {}
    void notify_callers(double) override {}
    void set_idle_timeout(Nanos) override {}
    void set_timing(Timing, Nanos) override {}
    void set_eviction_order(std::span<const Eviction>, int) override {}
    void stop_accepting() override {}
    void note(const char* kind, std::string_view words) override {
      if (std::string_view(kind) == "recording" && words.find("gap") != words.npos &&
          words.starts_with("a gap"))
        ++gaps;
    }
    std::uint64_t gaps = 0;
  } silent;
  Recorder recorder(silent);
  Nanos now = 1'764'576'000 * second;
  Core core(now, parse_configuration(configuration_text(sizes)), recorder);
  recorder.bind(core);
  const auto folder = std::filesystem::temp_directory_path() / ("scale-core-" + std::to_string(getpid()));
  std::filesystem::create_directory(folder);
  recorder.begin(now,
                 {{"segment_bytes", 16777216.0},
                  {"segment_age_ns", 600e9},
                  {"total_bytes", 268435456.0},
                  {"queue_bytes", 8388608.0},
                  {"bodies", 0.0},
                  {"conceal", 0.0}},
                 folder_storage(folder.string()));
  const double wall = wall_ms();
  recorder.machine_up(now, second);
  got.emplace_back("first_event_stall_ms", wall_ms() - wall);
  for (int k = 0; k < 50; ++k) recorder.due(now += 20 * ms);
  recorder.wait_written();
  recorder.end(now);
  std::vector<std::string> paths;
  double bytes = 0;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    paths.push_back(entry.path().string());
    bytes += static_cast<double>(entry.file_size());
  }
  got.emplace_back("recording_bytes", bytes);
  got.emplace_back("gaps", static_cast<double>(silent.gaps));
  double readable = 0;
  try {
    readable = !paths.empty() && Replayer(paths).play(true).difference.empty();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "core: %zu tenants: %s\n", tenants, e.what());
  }
  got.emplace_back("replays", readable);
  std::filesystem::remove_all(folder);
}

int bounds(bool shared, std::FILE* out) {
  int wrong = 0;
  const auto bound = [&](const char* name, double size, const std::function<void(Figures&)>& work) {
    const Figures got = in_child(work);
    wrong |= got.empty();
    Row row("core", 1);
    row.set("by", "bound").set("bound", name).set("shared", shared ? 1 : 0);
    if (size > 0) row.set("size", size);
    for (const auto& [figure, value] : got) row.got(figure, value);
    row.write(out);
    std::fflush(out);
  };
  for (const std::size_t callers : {4000, 8000, 16'000, 64'000})
    bound("callers remembered", static_cast<double>(callers),
          [&](Figures& got) { bound_callers(got, callers); });
  bound("keys", 0, bound_keys);
  bound("ops", 0, bound_ops);
  bound("results kept", 0, bound_results);
  for (const std::size_t between : {1000, 16'000, 17'000, 19'000})
    bound("traces", static_cast<double>(between), [&](Figures& got) { bound_traces(got, between); });
  for (const std::size_t tenants : {30, 100, 300, 1000, 3000})
    bound("tenants named by a pool, one of ten", static_cast<double>(tenants),
          [&](Figures& got) { bound_named(got, tenants); });
  for (const std::size_t tenants : {1000, 5000, 10'000, 20'000, 100'000, 230'000})
    bound("head of a recording", static_cast<double>(tenants),
          [&](Figures& got) { bound_recording(got, tenants); });
  return wrong;
}

} // namespace

void add_core(CLI::App& app, int& code) {
  struct Wanted {
    std::vector<std::string> by;
    std::vector<double> sizes;
    int repeats = 5;
    bool shared = false, counts = false, bounds = false;
    std::string out;
  };
  const auto wanted = std::make_shared<Wanted>();
  CLI::App* core = app.add_subcommand(
      "core",
      "the core and its module, without sockets: start, memory, an op, a turn, a changed configuration");
  std::set<std::string> names;
  for (const By& by : all_by()) names.insert(by.name);
  core->add_option("--by", wanted->by, "what is varied (else all)")->check(CLI::IsMember(names));
  core->add_option("--sizes", wanted->sizes, "instead of those that it has, rising")
      ->check(CLI::PositiveNumber);
  core->add_option("--repeats", wanted->repeats, "runs of each size")->check(CLI::Range(1, 1000));
  core->add_flag("--shared", wanted->shared, "the machine does other work meanwhile: is noted in the rows");
  core->add_flag("--bounds", wanted->bounds, "instead: what happens beyond the bounds that there are");
  core->add_flag("--counts", wanted->counts, "instead: counts only, held to their exponents");
  core->add_option("--out", wanted->out, "a file that rows are added to (else standard output)");
  core->callback([wanted, &code] {
    std::FILE* out = wanted->out.empty() ? stdout : std::fopen(wanted->out.c_str(), "a");
    if (!out) {
      std::fprintf(stderr, "core: %s can't be written\n", wanted->out.c_str());
      code = 2;
      return;
    }
    if (wanted->counts)
      code = count_core(out, stderr);
    else if (wanted->bounds)
      code = bounds(wanted->shared, out);
    else
      for (const By& by : all_by())
        if (wanted->by.empty() ||
            std::find(wanted->by.begin(), wanted->by.end(), by.name) != wanted->by.end())
          code = std::max(code, sweep(by, wanted->sizes, wanted->repeats, wanted->shared, out));
    if (out != stdout) std::fclose(out);
  });
}

} // namespace cometshift::scale
