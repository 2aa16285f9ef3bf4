// cometshift-scale added: the time that a server adds to an op, seen from outside (added_rig.hpp), with what
// may disturb it under way.
//
// What is disturbed, by case: "plain" nothing; "reload" one hang-up signal at half of the time; "recording" a
// recording is on; "link" the server is a member of a fleet, its neighbours are killed or told to leave and
// started again, one each second; "burst" 100 changed files with a hang-up signal each within a second, at a
// quarter of the time; "bursts" the same again each second, all the time.
#include "added_rig.hpp"
#include "child.hpp"
#include "commands.hpp"
#include "configuration.hpp"
#include "rows.hpp"
#include "site.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <thread>
#include <unistd.h>

namespace cometshift::scale {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos second = 1000 * ms;

// The site: as deploy/config.json has it, but for cores and limits that none of the rates comes near.
constexpr double cores = 16;         // of the interpreter: 3.8 are busy at 1,880 ops a second
constexpr Nanos mean_run = 2 * ms;   // in the interpreter, 1 to 3 ms
constexpr int memory_mb = 512;       // of the server, as told to it: bounds of what it keeps
constexpr int sockets = 4096;        // of the server, as told to it
constexpr double mem_limit_kb = 1e6; // for ops; 4 KB each
constexpr Nanos target = 1400 * ms;  // target latency of an op
constexpr Nanos op_timeout = 3600 * ms;
constexpr double quota = 1000;     // ops a second for a tenant: none is over it
constexpr std::size_t callers = 8; // balancers
constexpr std::size_t connections = 512;
constexpr std::size_t body_bytes = 100, result_bytes = 198;
constexpr Nanos leave_time = 3200 * ms; // from the notice to leave to the kill

constexpr double bar_us = 1800;      // 99 in 100 are to be within it
constexpr int burst_changes = 100;   // within a second
constexpr std::size_t many = 10'000; // tenants from which the changed files of a burst come round again,
constexpr int few_files = 4;         // against a disk full of them
constexpr Nanos start_most = 60 * second;
constexpr Nanos settle_small = 10 * second, settle_large = 120 * second; // for answers after the last arrival
constexpr Nanos neighbour_rest = second;                                 // from one restart to the next
// Ports on this process's own loopback address; neighbours count on from theirs.
constexpr unsigned short listen_at = 5050, vm_at = 7300, announce_at = 2379, records_at = 5432,
                         echo_at = 8000, members_at = 6000, neighbours_at = 9000;

struct Wanted {
  std::string server = "build/cometshift";
  std::string folder = "scale-added.made"; // FOLDER/added holds configuration, logs and recordings
  std::string out;                         // rows are added to it; empty: standard output
  std::vector<std::string> cases{"plain"};
  std::vector<std::size_t> tenants{10};
  std::vector<double> rates{94};
  std::vector<std::uint64_t> seeds{1};
  double seconds = 20;
  unsigned members = 5;
  unsigned segment_kib = 16'384; // of a recording; the program's own default
  bool shared = false, check = false;
  std::string echo; // this process is the echo's, and listens there
};

std::string work_folder(const Wanted& wanted) { return wanted.folder + "/added"; }

struct Life { // of the server's process, as the system tells it
  double cpu_s = 0;
  double waited_s = 0; // ready to run and without a core: the machine's doing
  double rss_bytes = 0;
};
Life life_of(pid_t pid) {
  Life life;
  const std::string folder = "/proc/" + std::to_string(pid);
  const std::string stat = load::read_file(folder + "/stat");
  // Behind the name, which may hold anything: the state, ten figures, utime, stime.
  std::istringstream rest(stat.substr(stat.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) rest >> skipped;
  double user = 0, system = 0;
  rest >> user >> system;
  life.cpu_s = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  if (std::ifstream scheduled(folder + "/schedstat"); scheduled) { // its one thread's; not on every kernel
    double ran_ns = 0, waited_ns = 0;
    if (scheduled >> ran_ns >> waited_ns) life.waited_s = waited_ns / 1e9;
  }
  std::istringstream pages(load::read_file(folder + "/statm"));
  double resident = 0;
  pages >> skipped >> resident;
  life.rss_bytes = resident * static_cast<double>(sysconf(_SC_PAGESIZE));
  return life;
}

Tcp::endpoint at(unsigned short port) {
  const unsigned host = 0x7f000000u | (0x60000u + static_cast<unsigned>(getpid())) % 0xfffffeu;
  return {asio::ip::address_v4(host), port};
}

// `change`: which of the files of a burst; what a hang-up signal takes of it is the address of the records.
std::string configuration(std::size_t tenants, std::uint64_t seed, int change, unsigned number = 0) {
  const auto plus = [](unsigned short port, unsigned more) {
    return load::words(at(static_cast<unsigned short>(port + more)));
  };
  char text[2400];
  std::snprintf(
      text, sizeof text,
      "{\"name\":\"n%u\",\"listen\":\"%s\",\"vm\":\"%s\",\"announce\":\"%s\",\"records\":\"%s\","
      "\"seed\":\"%016llx\",\"stop_ms\":%lld,"
      "\"limits\":{\"cores\":1.0,\"memory_mb\":%d,\"sockets\":%d},\"settings\":{\"fleet_size\":1,"
      "\"value_by\":\"request\",\"over_share_worth\":0.05,\"family_info\":{\"callers\":%zu,\"cpus\":%d,"
      "\"mem_limit_kb\":%.0f,\"run_factor\":4.0,\"key_kb\":2,\"below\":\"common\",\"calls_out\":8,"
      "\"calls_over_ns\":5000000000,\"stays_for_ns\":200000000,\"calls_by_class\":[true,true],\"cold\":false,"
      "\"say\":\"min_rank\",\"heeded_ns\":1000000000,\"idle_ns\":30000000000,"
      "\"gauges\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"],\"halt\":\"none\","
      "\"passes_deadline\":true},\"categories\":["
      "{\"name\":\"bay-check\",\"importance\":1,\"target_ns\":%lld,\"deadline_ns\":%lld,"
      "\"effect\":\"read_like\"},{\"name\":\"booking\",\"importance\":2,\"target_ns\":%lld,"
      "\"deadline_ns\":%lld,\"effect\":\"idempotency_key\",\"key_ttl_ns\":9000000000}],"
      "\"invariants\":{\"drain_grace_ns\":200000000,\"fall_multiple\":8.0},"
      "\"limits\":{\"retry_after\":true,\"max_retry_after_ns\":1000000000},"
      "\"clients\":{\"marks_retry\":false},\"parties\":[",
      number, plus(number ? neighbours_at : listen_at, number).c_str(),
      plus(number ? neighbours_at : vm_at, number ? 100 : 0).c_str(), // a neighbour has no interpreter
      plus(number ? neighbours_at : announce_at, number ? 100 : 0).c_str(),
      plus(records_at, static_cast<unsigned>(change)).c_str(), static_cast<unsigned long long>(seed),
      static_cast<long long>(leave_time / ms), memory_mb, sockets, callers, static_cast<int>(cores),
      mem_limit_kb, static_cast<long long>(target), static_cast<long long>(op_timeout),
      static_cast<long long>(target), static_cast<long long>(op_timeout));
  std::string all = text;
  for (std::size_t t = 0; t < tenants; ++t)
    all += std::string(t > 0 ? "," : "") + "{\"name\":\"tenant-" + std::to_string(t) +
           "\",\"quota_rps\":" + std::to_string(static_cast<int>(quota) + (t == 0 ? change : 0)) + '}';
  return all + "]}}";
}

std::string fleet_part(unsigned self, unsigned members) {
  std::string text = "fleet {\n    name \"added\"\n    self " + std::to_string(self) + "\n    listen \"" +
                     load::words(at(static_cast<unsigned short>(members_at + self))) + "\"\n";
  for (unsigned m = 1; m <= members; ++m)
    text += "    member " + std::to_string(m) + " \"" +
            load::words(at(static_cast<unsigned short>(members_at + m))) + "\"\n";
  return text + "    voters 1 2 3\n}\n";
}

// The other members, as processes of their own; killed or told to leave in turn, and started again. In a
// thread, so that no fork holds up the loop that measures.
class Neighbours {
 public:
  Neighbours(const Wanted& wanted, std::uint64_t seed) {
    for (unsigned m = 2; m <= wanted.members; ++m) {
      const std::string path = work_folder(wanted) + "/member-" + std::to_string(m);
      load::write_file(path + ".json", configuration(1, seed + m, 0, m));
      load::write_file(path + ".kdl", fleet_part(m, wanted.members));
      commands_.push_back({wanted.server, "serve", "--config", path + ".json", "--operator", path + ".kdl"});
      logs_.push_back(path + ".log");
      children_.push_back(std::make_unique<load::Child>(commands_.back(), logs_.back()));
    }
  }
  ~Neighbours() { stop(); }
  void begin() {
    thread_ = std::thread([this] { restart(); });
  }
  void stop() {
    stopped_ = true;
    if (thread_.joinable()) thread_.join();
    children_.clear();
  }
  int restarts() const { return restarts_; }

 private:
  void restart() {
    for (std::size_t n = 0; !stopped_; ++n) {
      const std::size_t which = n % children_.size();
      load::Child::Cost cost;
      // Every second round they are told first; who then takes too long is killed.
      children_[which]->tell(n / children_.size() % 2 == 0 ? SIGKILL : SIGTERM);
      for (Nanos waited = 0; waited < neighbour_rest / 2 && !children_[which]->ended(cost); waited += 10 * ms)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
      children_[which].reset();
      children_[which] = std::make_unique<load::Child>(commands_[which], logs_[which]);
      ++restarts_;
      for (Nanos waited = 0; waited < neighbour_rest && !stopped_; waited += 10 * ms)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  std::vector<std::vector<std::string>> commands_;
  std::vector<std::string> logs_;
  std::vector<std::unique_ptr<load::Child>> children_;
  std::thread thread_;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> restarts_ = 0;
};

// The files that a burst changes the configuration to, made before: what a change costs in the time that
// counts is a link, a rename and a signal.
class Changes {
 public:
  Changes(std::string path, std::size_t tenants, std::uint64_t seed)
      : path_(std::move(path)), files_(tenants < many ? burst_changes : few_files) {
    for (int f = 1; f <= files_; ++f) load::write_file(file(f), configuration(tenants, seed, f));
  }
  void make() {
    const std::string fresh = path_ + ".new";
    std::filesystem::create_hard_link(file(1 + made_++ % files_), fresh);
    std::filesystem::rename(fresh, path_);
  }

 private:
  std::string file(int f) const { return path_ + "." + std::to_string(f); }
  std::string path_;
  int files_;
  int made_ = 0;
};

struct Counts {
  std::size_t asked = 0, acked = 0, nacked = 0, failed = 0, unanswered = 0, echoes = 0;
  int restarts = 0, signals = 0;
  int exit_code = -1;
};

void put(Row& row, const std::string& of, const Spread& spread) {
  const auto us = [&](double part) { return static_cast<double>(spread.at(part)) / 1000; };
  row.got(of + ".p50_us", us(0.5))
      .got(of + ".p99_us", us(0.99))
      .got(of + ".p999_us", us(0.999))
      .got(of + ".max_us", us(1))
      .got(of + ".samples", static_cast<double>(spread.size()));
}
template <class Get>
Spread spread_of(const std::vector<Sample>& all, Get get, Nanos from = 0, Nanos to = -1) {
  std::vector<Nanos> taken;
  for (const Sample& one : all)
    if (one.end == Sample::End::acked && one.meant >= from && (to < 0 || one.meant < to))
      taken.push_back(std::invoke(get, one));
  return Spread(std::move(taken));
}

// How many reloads a log tells of: "... reload: vm ... (N more left out)".
int reloads_in(const std::string& log) {
  int all = 0;
  std::istringstream lines(load::read_file(log));
  for (std::string line; std::getline(lines, line);) {
    if (line.find(" reload: vm ") == std::string::npos) continue;
    ++all;
    if (const std::size_t more = line.rfind(" ("); more != std::string::npos)
      all += std::atoi(line.c_str() + more + 2);
  }
  return all;
}

Counts measure(const Wanted& wanted, const std::string& name, std::size_t tenants, double rate,
               std::uint64_t seed, Row& row) {
  const bool link = name == "link", bursts = name == "bursts";
  const auto length = static_cast<Nanos>(wanted.seconds * 1e9);
  const std::string folder = work_folder(wanted);
  const std::string config = folder + "/config.json", operators = folder + "/operator.kdl";
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  load::write_file(config, configuration(tenants, seed, 0));
  std::string kdl;
  if (name == "recording")
    kdl = "recording {\n    on #true\n    folder \"" + folder + "/recordings\"\n    segment-size \"" +
          std::to_string(wanted.segment_kib) + "KiB\"\n}\n";
  if (link) kdl = fleet_part(1, wanted.members);
  load::write_file(operators, kdl);
  Changes changes(config, name == "burst" || bursts ? tenants : 1, seed);

  asio::io_context io;
  load::Child echo({"/proc/self/exe", "added", "--echo", load::words(at(echo_at))}, folder + "/echo.log");
  AddedRig rig(io, {.server = at(listen_at), .interpreter = at(vm_at), .echo = at(echo_at)},
               {.callers = callers,
                .connections = connections,
                .body_bytes = body_bytes,
                .result_bytes = result_bytes,
                .cores = cores,
                .retryable = "bay-check",
                .keyed = "booking",
                .op_timeout = op_timeout},
               arrivals(seed, rate, length, tenants, mean_run),
               arrivals(seed + 1'000'003, rate, length, 1, mean_run), seed);
  standin::AnnounceService announce(io, at(announce_at), seed);
  std::unique_ptr<Neighbours> neighbours;
  if (link) neighbours = std::make_unique<Neighbours>(wanted, seed);

  const Nanos started = standin::steady_now();
  load::Child server({wanted.server, "serve", "--config", config, "--operator", operators},
                     folder + "/server.log");
  load::Child::Cost cost;
  while (!announce.listed()) {
    io.run_one_for(std::chrono::milliseconds(1));
    if (server.ended(cost) || standin::steady_now() - started > start_most)
      throw std::runtime_error("the server did not come up; see " + folder + "/server.log");
  }
  const Nanos ready = standin::steady_now() - started;
  if (link) io.run_for(std::chrono::milliseconds(500)); // until they hear each other
  rig.connect();
  while (!rig.connect_echo()) { // until its process listens
    if (standin::steady_now() - started > start_most) throw std::runtime_error("the echo did not come up");
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }

  Counts out;
  std::vector<std::pair<Nanos, std::function<void()>>> acts;
  Nanos event = -1, event_end = -1;
  const auto change = [&] {
    changes.make();
    server.tell(SIGHUP);
    ++out.signals;
  };
  if (name == "reload") {
    event = length / 2;
    event_end = event + second;
    acts.emplace_back(event, [&] { server.tell(SIGHUP), ++out.signals; });
  } else if (name == "burst" || bursts) {
    event = bursts ? 0 : length / 4;
    event_end = bursts ? length : event + second;
    for (Nanos when = event; when < event_end; when += second / burst_changes)
      acts.emplace_back(when, change);
  }
  if (neighbours) neighbours->begin();
  const Life before = life_of(server.pid());
  rig.run(std::move(acts), tenants < many ? settle_small : settle_large);
  const Life after = life_of(server.pid());
  if (neighbours) {
    out.restarts = neighbours->restarts();
    neighbours->stop();
  }

  Nanos disturbed = 0; // the last op over the bar since the event
  std::size_t over = 0;
  for (const Sample& one : rig.ops()) {
    ++out.asked;
    const bool good = one.end == Sample::End::acked;
    out.acked += good;
    out.nacked += one.end == Sample::End::nacked;
    out.failed += one.end == Sample::End::failed;
    out.unanswered += one.end == Sample::End::none;
    if (good && static_cast<double>(one.added_as_meant()) <= bar_us * 1000) continue;
    ++over;
    if (event >= 0 && one.meant >= event) disturbed = std::max(disturbed, one.meant - event);
  }
  const Spread echoed = spread_of(rig.echoes(), &Sample::added);
  out.echoes = echoed.size();
  row.got("asked", static_cast<double>(out.asked))
      .got("acked", static_cast<double>(out.acked))
      .got("nacked", static_cast<double>(out.nacked))
      .got("failed", static_cast<double>(out.failed))
      .got("unanswered", static_cast<double>(out.unanswered));
  put(row, "added", spread_of(rig.ops(), &Sample::added));
  put(row, "echo", echoed);
  put(row, "added_as_meant", spread_of(rig.ops(), &Sample::added_as_meant));
  put(row, "echo_as_meant", spread_of(rig.echoes(), &Sample::added_as_meant));
  put(row, "to_start", spread_of(rig.ops(), [](const Sample& s) { return s.started - s.sent; }));
  put(row, "to_answer", spread_of(rig.ops(), [](const Sample& s) { return s.answered - s.ended; }));
  row.got("over_bar_part",
          static_cast<double>(over) / static_cast<double>(std::max<std::size_t>(1, out.asked)));
  if (event >= 0) {
    put(row, "window", spread_of(rig.ops(), &Sample::added_as_meant, event, event_end));
    row.got("signals", out.signals).got("disturbed_s", static_cast<double>(disturbed) / 1e9);
  }
  if (link) row.got("restarts", out.restarts);
  row.got("broken_connections", static_cast<double>(rig.broken_connections()))
      .got("server.cpu_s", after.cpu_s - before.cpu_s)
      .got("server.cpu_us_an_op",
           (after.cpu_s - before.cpu_s) * 1e6 / static_cast<double>(std::max<std::size_t>(1, out.asked)))
      .got("server.waited_us_an_op", (after.waited_s - before.waited_s) * 1e6 /
                                         static_cast<double>(std::max<std::size_t>(1, out.asked)))
      .got("server.rss_start_bytes", before.rss_bytes)
      .got("server.rss_end_bytes", after.rss_bytes)
      .got("server.ready_ms", static_cast<double>(ready) / 1e6);

  // What a reading of the same file takes here: most of what a reload is.
  const Nanos reading = standin::steady_now();
  read_configuration(config);
  row.got("read_configuration_ms", static_cast<double>(standin::steady_now() - reading) / 1e6);

  io.restart();
  if (out.signals > 0) { // one more once the log's bound is over brings out how many it left out
    io.run_for(std::chrono::milliseconds(1100));
    server.tell(SIGHUP);
    io.run_for(std::chrono::milliseconds(200));
  }
  server.tell(SIGTERM);
  const Nanos told = standin::steady_now();
  while (!server.ended(cost) && standin::steady_now() - told < settle_large)
    io.run_for(std::chrono::milliseconds(5));
  out.exit_code = cost.exit_code;
  row.got("server.exit", out.exit_code);
  if (out.signals > 0) row.got("reloads", reloads_in(folder + "/server.log") - 1);
  return out;
}

Row row_of(const Wanted& wanted, const std::string& name, std::size_t tenants, double rate,
           std::uint64_t seed) {
  Row row("added", seed);
  row.set("case", name)
      .set("tenants", static_cast<double>(tenants))
      .set("rate_ops_s", rate)
      .set("seconds", wanted.seconds)
      .set("run_ms", static_cast<double>(mean_run) / 1e6)
      .set("interpreter_cores", cores)
      .set("memory_mb", memory_mb)
      .set("sockets", sockets)
      .set("callers", static_cast<double>(callers))
      .set("body_bytes", static_cast<double>(body_bytes))
      .set("result_bytes", static_cast<double>(result_bytes))
      .set("target_ms", static_cast<double>(target) / 1e6)
      .set("op_timeout_ms", static_cast<double>(op_timeout) / 1e6)
      .set("quota_ops_s", quota)
      .set("echo_rate_s", rate)
      .set("bar_us", bar_us)
      .set("shared", wanted.shared ? 1 : 0);
  if (name == "recording") row.set("segment_bytes", wanted.segment_kib * 1024.0);
  if (name == "link") row.set("members", wanted.members).set("restart_every_s", 1);
  return row;
}

// Counts only, so that it reads the same on any machine.
bool checked(const std::string& name, std::size_t tenants, const Counts& out) {
  const bool all = out.asked > 0 && out.acked == out.asked;
  std::printf("%s, %zu tenants: asked %zu, acked %zu, nacked %zu, failed %zu, unanswered %zu; echoes %zu; "
              "signals %d, %s; server: exit %d\n",
              name.c_str(), tenants, out.asked, out.acked, out.nacked, out.failed, out.unanswered, out.echoes,
              out.signals, out.restarts > 0 ? "neighbours restarted" : "no neighbour restarted",
              out.exit_code);
  std::fflush(stdout);
  return all && out.echoes > 0 && out.exit_code == 0;
}

int run(const Wanted& wanted) {
  if (!wanted.echo.empty()) {
    prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends by a signal alone
    const std::size_t colon = wanted.echo.rfind(':');
    return pass_on({asio::ip::make_address(wanted.echo.substr(0, colon)),
                    static_cast<unsigned short>(std::stoul(wanted.echo.substr(colon + 1)))});
  }
  std::FILE* out = stdout;
  if (!wanted.out.empty() && !(out = std::fopen(wanted.out.c_str(), "a")))
    throw std::runtime_error(wanted.out + ": can't be written");
  std::signal(SIGPIPE, SIG_IGN);
  bool good = true;
  for (const std::string& name : wanted.cases)
    for (const std::size_t tenants : wanted.tenants)
      for (const double rate : wanted.rates)
        for (const std::uint64_t seed : wanted.seeds) {
          Row row = row_of(wanted, name, tenants, rate, seed);
          const Counts counts = measure(wanted, name, tenants, rate, seed, row);
          if (wanted.check)
            good = checked(name, tenants, counts) && good;
          else
            row.write(out);
          std::fflush(out);
        }
  if (out != stdout && std::fclose(out) != 0) throw std::runtime_error(wanted.out + ": can't be written");
  return good ? 0 : 1;
}

} // namespace

void add_added(CLI::App& app, int& code) {
  auto wanted = std::make_shared<Wanted>();
  CLI::App* added = app.add_subcommand(
      "added", "time that a server adds to an op, beside an empty echo: open loop, on loopback");
  added->add_option("--server", wanted->server, "the program");
  added->add_option("--folder", wanted->folder,
                    "of its configuration, logs and recordings: FOLDER/added, emptied before each run");
  added->add_option("--out", wanted->out, "a file that rows are added to (else standard output)");
  added->add_option("--case", wanted->cases, "what is under way")
      ->check(CLI::IsMember({"plain", "reload", "recording", "link", "burst", "bursts"}));
  added->add_option("--tenants", wanted->tenants, "in the settings")->check(CLI::Range(1, 1'000'000));
  added->add_option("--rate", wanted->rates, "ops a second")->check(CLI::Range(1.0, 5000.0));
  added->add_option("--seconds", wanted->seconds, "how long ops come")->check(CLI::Range(1.0, 600.0));
  added->add_option("--seed", wanted->seeds, "of all chance");
  added->add_option("--members", wanted->members, "of the fleet, in the case link")->check(CLI::Range(3, 8));
  added->add_option("--segment-kib", wanted->segment_kib, "of a recording, in the case recording")
      ->check(CLI::Range(64, 1'048'576));
  added->add_flag("--shared", wanted->shared,
                  "the machine's cores are not this run's alone: told in the rows");
  added->add_flag("--check", wanted->check, "counts in place of rows; exit code 1 where an op was not acked");
  added->add_option("--echo", wanted->echo, "be the echo's process, at this address")->group("");
  added->callback([wanted, &code] {
    try {
      code = run(*wanted);
    } catch (const std::exception& e) {
      std::fprintf(stderr, "cometshift-scale: %s\n", e.what());
      code = 2;
    }
  });
}

} // namespace cometshift::scale
