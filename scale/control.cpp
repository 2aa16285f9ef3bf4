// cometshift-scale control: what control costs a server and a control member, and how soon changes are in
// force, through kills, cuts and returns, at several sizes of the fleet.
#include "commands.hpp"
#include "control_fleet.hpp"
#include "rows.hpp"
#include "slope.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>

namespace cometshift::scale {

namespace {

constexpr Nanos ms = 1'000'000, second = 1000 * ms;
constexpr double changes_a_day = 11'000;
// What the operators allow.
constexpr double server_cpu = 0.023, server_bytes = 6'000, server_memory = 256e6, control_cpu = 1;
constexpr Nanos in_force = 4 * second;

struct Options {
  std::vector<unsigned> members{6600};
  std::vector<std::string> phases;
  std::uint64_t seed = 1;
  double wall = 280; // s, for each size
  bool counts = false;
  std::string out;
};

struct Figures {
  double seconds = 0;
  double server_cpu = 0, server_in = 0, server_out = 0, server_most = 0, server_memory = 0,
         server_letters = 0;
  double control_cpu = 0, control_in = 0, control_out = 0, control_memory = 0, control_lines = 0;
};

// What everyone spent over a phase.
class Meter {
 public:
  explicit Meter(ControlFleet& fleet) : fleet_(fleet), from_(fleet.network().now()) {
    for (unsigned n = 0; n < fleet.network().members(); ++n) before_.push_back(spent(n));
  }
  Figures read() const {
    Figures got;
    got.seconds = static_cast<double>(fleet_.network().now() - from_) / second;
    const unsigned controls = fleet_.plan().controls, all = static_cast<unsigned>(before_.size());
    double servers = 0, measured = 0;
    for (unsigned n = 0; n < all; ++n) {
      const Spent now = spent(n);
      const double in = static_cast<double>(now.bytes_in - before_[n].bytes_in) / got.seconds;
      const double out = static_cast<double>(now.bytes_out - before_[n].bytes_out) / got.seconds;
      const double cpu = static_cast<double>(now.cpu - before_[n].cpu) / 1e9 / got.seconds;
      if (n < controls) { // the one that spends most
        got.control_cpu = std::max(got.control_cpu, cpu);
        got.control_in = std::max(got.control_in, in);
        got.control_out = std::max(got.control_out, out);
        got.control_memory = std::max(got.control_memory, static_cast<double>(now.memory));
        got.control_lines = std::max(got.control_lines, static_cast<double>(now.lines_in + now.lines_out));
        continue;
      }
      ++servers;
      got.server_in += in;
      got.server_out += out;
      got.server_most = std::max(got.server_most, in + out);
      got.server_letters += static_cast<double>(now.letters_out - before_[n].letters_out) / got.seconds;
      got.server_memory = std::max(got.server_memory, static_cast<double>(now.memory));
      if (now.cpu > 0) got.server_cpu += cpu, ++measured;
    }
    got.server_in /= servers;
    got.server_out /= servers;
    got.server_letters /= servers;
    if (measured > 0) got.server_cpu /= measured;
    return got;
  }

 private:
  const Spent& spent(unsigned n) const { return fleet_.network().spent(MemberId{1 + n}); }
  ControlFleet& fleet_;
  Nanos from_;
  std::vector<Spent> before_;
};

class Play {
 public:
  Play(const Options& options, unsigned members, std::FILE* out)
      : options_(options), members_(members), out_(out), plan_(plan_of(options, members)), fleet_(plan_),
        network_(fleet_.network()), chance_(options.seed + 17),
        wall_until_(wall() + static_cast<Nanos>(options.wall * 1e9)) {}

  bool run();
  bool holds() const { return holds_; }
  const Figures& calm() const { return calm_; }

 private:
  static ControlPlan plan_of(const Options& options, unsigned members) {
    ControlPlan plan;
    plan.seed = options.seed;
    plan.servers = members;
    plan.services = std::max(10U, members * 3000 / 6600);
    if (options.counts) plan.tenants_value = 0, plan.routes = 4, plan.measured = 0;
    return plan;
  }
  static Nanos wall() {
    return std::chrono::duration_cast<Nanos_>(std::chrono::steady_clock::now().time_since_epoch()).count();
  }
  using Nanos_ = std::chrono::nanoseconds;

  bool until(Nanos time) { return network_.run(time, wall_until_); }
  bool for_(Nanos span) { return until(network_.now() + span); }
  std::string any_key() {
    if (chance_.unit() < 0.02) return "fleet/limit-" + std::to_string(static_cast<int>(chance_.unit() * 100));
    const auto service = static_cast<unsigned>(chance_.unit() * plan_.services);
    return "service/" + std::to_string(service) + "/route-" +
           std::to_string(static_cast<unsigned>(chance_.unit() * plan_.routes));
  }
  // Changes at so many a second, evenly, while `span` goes by.
  void changes(double a_second, Nanos span, bool fleet_wide = false) {
    const auto count = static_cast<int>(a_second * static_cast<double>(span) / second);
    for (int n = 0; n < count; ++n) {
      const Nanos at = network_.now() + static_cast<Nanos>((n + chance_.unit()) * second / a_second);
      network_.at(at, [this, fleet_wide] {
        fleet_.put(fleet_wide ? "fleet/limit-" + std::to_string(static_cast<int>(chance_.unit() * 100))
                              : any_key());
      });
    }
  }
  // Until all that are up are level, at most so long; how long it took, or -1.
  Nanos settle(Nanos most) {
    const Nanos from = network_.now();
    while (network_.now() - from < most) {
      if (fleet_.behind() == 0 && fleet_.in_office()) return network_.now() - from;
      if (!for_(100 * ms)) return -1;
    }
    return -1;
  }
  bool phase(const std::string& name, const std::function<bool()>& what);
  void kill_control(unsigned n, Network::Stop how, Nanos down) {
    network_.stop(fleet_.control(n), how);
    network_.at(network_.now() + down, [this, n] { network_.start(fleet_.control(n)); });
  }

  const Options& options_;
  unsigned members_;
  std::FILE* out_;
  ControlPlan plan_;
  ControlFleet fleet_;
  Network& network_;
  Pcg chance_;
  Nanos wall_until_;
  bool holds_ = true;
  Figures calm_;
};

bool Play::phase(const std::string& name, const std::function<bool()>& what) {
  if (!options_.phases.empty() && name != "start" && name != "calm" &&
      std::find(options_.phases.begin(), options_.phases.end(), name) == options_.phases.end())
    return true;
  fleet_.begin_phase();
  const Meter meter(fleet_);
  const Nanos began = wall();
  bool whole = what();
  const Nanos settled = whole ? settle(120 * second) : -1;
  whole = whole && settled >= 0;
  if (!whole)
    std::fprintf(stderr, "%s: %u behind; %s\n", name.c_str(), fleet_.behind(), fleet_.first_behind().c_str());
  if (whole) fleet_.compare_all();
  const Figures got = meter.read();
  if (name == "calm") calm_ = got;
  ControlFleet::Phase came = fleet_.phase();
  std::sort(came.times.begin(), came.times.end());
  const auto quantile = [&](double part) {
    return came.times.empty()
               ? 0.0
               : came.times[static_cast<std::size_t>(part * static_cast<double>(came.times.size() - 1))];
  };
  Row row("control", options_.seed);
  row.set("members", members_)
      .set("controls", plan_.controls)
      .set("voters", plan_.voters)
      .set("services", plan_.services)
      .set("services_of_server", plan_.services_of_server)
      .set("routes_of_service", plan_.routes)
      .set("value_bytes", plan_.value)
      .set("tenants_bytes", plan_.tenants_value)
      .set("phase", name);
  row.got("verdict", !whole           ? "cut short"
                     : came.wrong > 0 ? came.first_wrong
                                      : "right")
      .got("wrong", static_cast<double>(came.wrong))
      .got("simulated_s", got.seconds)
      .got("wall_s", static_cast<double>(wall() - began) / 1e9)
      .got("changes", static_cast<double>(came.changes))
      .got("unknown", static_cast<double>(came.unknown))
      .got("refused", static_cast<double>(came.refused))
      .got("arrivals", static_cast<double>(came.arrivals))
      .got("in_time_part",
           came.arrivals > 0 ? 1 - static_cast<double>(came.late) / static_cast<double>(came.arrivals) : 1)
      .got("commit_most_s", static_cast<double>(came.slowest_commit) / second)
      .got("in_force_p50_s", quantile(0.5))
      .got("in_force_p99_s", quantile(0.99))
      .got("in_force_most_s", static_cast<double>(came.slowest) / second)
      .got("return_most_s", static_cast<double>(came.slowest_return) / second)
      .got("settle_s", static_cast<double>(settled) / second)
      .got("server_cpu_part", got.server_cpu)
      .got("server_in_bytes_s", got.server_in)
      .got("server_out_bytes_s", got.server_out)
      .got("server_most_bytes_s", got.server_most)
      .got("server_memory_bytes", got.server_memory)
      .got("server_letters_s", got.server_letters)
      .got("control_cpu_part", got.control_cpu)
      .got("control_in_bytes_s", got.control_in)
      .got("control_out_bytes_s", got.control_out)
      .got("control_memory_bytes", got.control_memory)
      .got("control_connections", got.control_lines);
  if (!options_.counts) row.write(out_), std::fflush(out_);
  holds_ = holds_ && whole && came.wrong == 0 && got.server_cpu <= server_cpu &&
           got.server_most <= server_bytes && got.server_memory <= server_memory &&
           got.control_cpu <= control_cpu && came.slowest <= in_force;
  if (options_.counts)
    std::printf("%s, %u servers: %s, %llu changes%s, letters a second of a server %.1f%s%s\n", name.c_str(),
                members_, whole && came.wrong == 0 ? "right" : "WRONG",
                static_cast<unsigned long long>(came.changes),
                came.slowest <= in_force ? " in force within 4 s" : ", some in force later than 4 s",
                got.server_letters, got.server_most <= server_bytes ? "" : ", over 6 KB a second",
                whole && came.wrong == 0 ? "" : (": " + came.first_wrong).c_str());
  return whole;
}

bool Play::run() {
  const unsigned n = plan_.servers, controls = plan_.controls;
  if (!fleet_.load(600 * second, wall_until_)) return holds_ = false;
  if (!phase("start", [&] {
        fleet_.start_servers(0, n, 10 * second);
        return for_(12 * second);
      }))
    return holds_ = false;
  bool whole = phase("calm", [&] {
    changes(changes_a_day / 86'400, 30 * second);
    return for_(30 * second);
  });
  whole = whole && phase("burst", [&] {
            changes(100, second);
            return for_(10 * second);
          });
  whole = whole && phase("burst_fleet", [&] {
            changes(100, second, true);
            return for_(10 * second);
          });
  // The writer, then one control member after the other, its process or its machine.
  whole = whole && phase("kill_one", [&] {
            const unsigned writer = fleet_.writer();
            for (unsigned c = 0; c < std::min(controls, 6U); ++c) {
              changes(1, 10 * second);
              kill_control((writer + c) % controls, c % 2 ? Network::Stop::mute : Network::Stop::reset,
                           5 * second);
              if (!for_(10 * second)) return false;
            }
            return true;
          });
  // Both of the writer's region, then two others that vote.
  whole = whole && phase("kill_two", [&] {
            const unsigned writer = fleet_.writer();
            for (const auto& [a, b] : {std::pair{writer, (writer + regions) % controls},
                                       {(writer + 1) % plan_.voters, (writer + 2) % plan_.voters}}) {
              changes(1, 12 * second);
              kill_control(a, Network::Stop::reset, 6 * second);
              kill_control(b, Network::Stop::mute, 6 * second);
              if (!for_(12 * second)) return false;
            }
            return true;
          });
  whole = whole && phase("zone_lost", [&] {
            for (unsigned s = 0; s < n; ++s)
              if (network_.zone(fleet_.server(s)) == 3) fleet_.stop_server(s, Network::Stop::mute);
            changes(1, 25 * second);
            if (!for_(20 * second)) return false;
            for (unsigned s = 0; s < n; ++s)
              if (network_.zone(fleet_.server(s)) == 3) fleet_.start_servers(s, s + 1, 2 * second);
            return for_(5 * second);
          });
  whole = whole && phase("half_replaced", [&] {
            for (unsigned s = 0; s < n; s += 2) {
              const Nanos at = network_.now() + static_cast<Nanos>(chance_.unit() * 7 * second);
              network_.at(at, [this, s] {
                fleet_.stop_server(s, Network::Stop::reset);
                fleet_.start_servers(s, s + 1, 200 * ms);
              });
            }
            changes(1, 10 * second);
            return for_(10 * second);
          });
  whole = whole && phase("region_cut", [&] {
            fleet_.cut_region(1, true);
            changes(1, 180 * second);
            if (!for_(180 * second)) return false;
            fleet_.cut_region(1, false);
            return for_(10 * second);
          });
  return whole;
}

int run(const Options& options) {
  std::FILE* out = stdout;
  if (!options.out.empty() && !(out = std::fopen(options.out.c_str(), "a")))
    return std::fprintf(stderr, "%s: can't be written\n", options.out.c_str()), 2;
  bool holds = true;
  std::map<std::string, std::vector<Measured>> measured;
  for (const unsigned members : options.members) {
    Play play(options, members, out);
    play.run();
    holds = holds && play.holds();
    const auto size = static_cast<double>(members);
    const Figures& calm = play.calm();
    for (const auto& [name, value] :
         std::initializer_list<std::pair<const char*, double>>{{"server_cpu_part", calm.server_cpu},
                                                               {"server_in_bytes_s", calm.server_in},
                                                               {"server_out_bytes_s", calm.server_out},
                                                               {"server_letters_s", calm.server_letters},
                                                               {"server_memory_bytes", calm.server_memory},
                                                               {"control_cpu_part", calm.control_cpu},
                                                               {"control_in_bytes_s", calm.control_in},
                                                               {"control_out_bytes_s", calm.control_out},
                                                               {"control_memory_bytes", calm.control_memory},
                                                               {"control_connections", calm.control_lines}})
      measured[name].push_back({size, value});
  }
  if (options.members.size() >= 3) {
    Row row("slope", options.seed);
    row.set("of", "control").set("phase", "calm");
    for (const auto& [name, all] : measured) row.got(name, slope_of(all));
    if (options.counts) {
      std::printf("exponents: letters of a server %.1f, connections of a control member %.1f\n",
                  slope_of(measured["server_letters_s"]).exponent,
                  slope_of(measured["control_connections"]).exponent);
    } else {
      row.write(out);
    }
  }
  if (out != stdout && std::fclose(out) != 0) return 2;
  return holds ? 0 : 1;
}

} // namespace

void add_control(CLI::App& app, int& code) {
  const auto options = std::make_shared<Options>();
  CLI::App& control =
      *app.add_subcommand("control", "Control members and the servers that follow them, hollow.");
  control.add_option("--members", options->members, "servers, a size or several")
      ->check(CLI::Range(20, 16000));
  control.add_option("--phases", options->phases, "only these, beside start and calm");
  control.add_option("--seed", options->seed, "of all chance");
  control.add_option("--wall", options->wall, "seconds that a size may take; what is cut short says so");
  control.add_flag("--counts", options->counts, "counts and exponents only, the same on each machine");
  control.add_option("--out", options->out, "a file that rows are added to");
  control.callback([options, &code] { code = run(*options); });
}

} // namespace cometshift::scale
