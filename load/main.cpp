// cometshift_load: one server as a child process, every other party beside it, a bounded load on it, and a
// table of what came of it, the rules checked from outside. All on loopback; it stops by itself.
//
// Exit codes: 0 the rules held; 1 one was broken, or the server did not end well; 2 it could not be run.
#include "callers.hpp"
#include "child.hpp"
#include "party.hpp"
#include "script.hpp"
#include "site.hpp"

#include <CLI/CLI.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <unistd.h>

using namespace cometshift;
using namespace cometshift::load;

namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos second = 1000 * ms;
constexpr Nanos settle_time = 8 * second; // the longest op timeout, and room
constexpr Nanos leave_time = 6 * second;  // from the notice to leave to the kill
constexpr double most_rate = 20'000, most_seconds = 3600;

struct Wanted {
  std::string server = "build/cometshift";
  std::string folder;        // of the configuration, the log and the recordings
  std::string operator_text; // path of one to be taken; empty: none, or one that records
  std::string script;
  double rate = 120, seconds = 10, cores = 4;
  std::uint64_t seed = 1;
  std::uint32_t callers = 4;
  int tries = 2;
  bool record = false, quiet = false, bodies = false, plain_marks = false;
  std::string json;
};

float part_of(std::vector<float>& all, double part) {
  if (all.empty()) return 0;
  const auto at = static_cast<std::size_t>(part * static_cast<double>(all.size() - 1));
  std::nth_element(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(at), all.end());
  return all[at];
}

int run(const Wanted& wanted) {
  std::vector<standin::Fault> faults;
  if (!wanted.script.empty()) faults = standin::script_in(read_file(wanted.script), wanted.script);
  asio::io_context io;
  // A loopback address of this process's own, so that several may run at once.
  const unsigned host = 0x7f000000u | (0x20000u + static_cast<unsigned>(getpid())) % 0xfffffeu;
  const auto at = [&](unsigned short port) {
    return asio::ip::tcp::endpoint(asio::ip::address_v4(host), port);
  };
  Rules rules({.repeats = {RetryClass::retryable, RetryClass::keyed},
               .op_timeouts = {},
               .key_windows = {0, 9 * second},
               .grace = 2 * second});
  Demand demand(
      wanted.seed,
      {.rate = wanted.rate, .callers = wanted.callers, .tenants = {0.6, 0.4}, .client_tries = wanted.tries},
      kinds());
  Callers callers(io, at(5050), demand, rules, tenants());
  standin::Machine machine(io, at(7300), wanted.cores, wanted.seed * 3 + 1,
                           {.started = [&](OpId op) { callers.ran(op), rules.started(unix_now(), op); },
                            .ended = [&](OpId op, Outcome outcome) { rules.run_over(op, outcome); }});
  standin::RecordsService records(io, at(5432), wanted.seed * 3 + 2);
  standin::AnnounceService announce(io, at(2379), wanted.seed * 3 + 3);

  std::filesystem::create_directories(wanted.folder);
  const std::string config = wanted.folder + "/config.json", log = wanted.folder + "/server.log";
  const auto write_configuration = [&] {
    write_file(
        config,
        configuration(
            {.seed = wanted.seed, .leave_time = leave_time, .callers = wanted.callers, .cores = wanted.cores},
            words(at(5050)), words(machine.address()), words(announce.address()), words(records.address())));
  };
  write_configuration();
  std::vector<std::string> command{wanted.server};
  std::string operators = wanted.operator_text;
  const auto write_operator = [&](bool recording) {
    write_file(operators, std::string("recording {\n    on ") + (recording ? "#true" : "#false") +
                              "\n    folder \"" + wanted.folder + "/recordings\"\n    bodies " +
                              (wanted.bodies ? "#true" : "#false") + "\n    conceal " +
                              (wanted.plain_marks ? "#false" : "#true") + "\n}\n");
  };
  if (operators.empty()) {
    operators = wanted.folder + "/operator.kdl";
    write_operator(wanted.record);
  }
  command.insert(command.end(), {"serve", "--config", config});
  command.insert(command.end(), {"--operator", operators});
  Child server(command, log);
  Child::Cost cost;

  // Until it is listed, which is when balancers hear of it; where the list is down from the beginning, until
  // it has its link.
  const bool unlisted = !faults.empty() && faults.front().at == 0 && faults.front().what == "announce-down";
  announce.down(unlisted);
  unsigned moves = 0;
  const Nanos started = standin::steady_now();
  while (unlisted ? !machine.linked() : !announce.listed()) {
    io.run_one_for(std::chrono::milliseconds(20));
    if (server.ended(cost) || standin::steady_now() - started > 10 * second) {
      std::fprintf(stderr, "cometshift_load: the server did not come up; see %s\n", log.c_str());
      return 2;
    }
  }
  callers.begin(static_cast<Nanos>(wanted.seconds * 1e9));
  const Nanos begun = standin::steady_now();
  const Nanos length = static_cast<Nanos>(wanted.seconds * 1e9);
  std::size_t next_fault = 0;
  Nanos shown = 0, left_at = -1;
  bool over = false;
  while (!over) {
    io.run_one_for(std::chrono::milliseconds(5));
    const Nanos now = standin::steady_now() - begun;
    for (; next_fault < faults.size() && faults[next_fault].at <= now; ++next_fault) {
      const standin::Fault& fault = faults[next_fault];
      const double f = fault.figure;
      if (!wanted.quiet)
        std::printf("%6.1f s  %s %g\n", static_cast<double>(now) / 1e9, fault.what.c_str(), f);
      if (fault.what == "link-break")
        machine.break_link(false);
      else if (fault.what == "link-break-within")
        machine.break_link(true);
      else if (fault.what == "notices-twice")
        machine.twice(f);
      else if (fault.what == "remarks")
        machine.remarks(f);
      else if (fault.what == "speed")
        machine.speed(f);
      else if (fault.what == "runs-fail")
        machine.fail_runs(f);
      else if (fault.what == "records-ms")
        records.latency(static_cast<Nanos>(f * ms));
      else if (fault.what == "records-silent")
        records.silent(f);
      else if (fault.what == "records-spoilt")
        records.spoilt(f);
      else if (fault.what == "records-away")
        records.turned_away(f);
      else if (fault.what == "records-reset")
        records.resets(f);
      else if (fault.what == "records-down")
        records.down(true);
      else if (fault.what == "records-up")
        records.down(false);
      else if (fault.what == "announce-silent")
        announce.silent(f);
      else if (fault.what == "announce-down")
        announce.down(true);
      else if (fault.what == "announce-up")
        announce.down(false);
      else if (fault.what == "move") {
        ++moves;
        machine.move_to(at(static_cast<unsigned short>(7300 + moves)));
        records.move_to(at(static_cast<unsigned short>(5432 + moves)));
        announce.move_to(at(static_cast<unsigned short>(2379 + moves)));
        write_configuration();
        server.tell(SIGHUP);
      } else if (fault.what == "reload")
        server.tell(SIGHUP);
      else if (fault.what == "leave")
        server.tell(SIGTERM), rules.drain_started(unix_now()), left_at = now;
      else if (fault.what == "strangers")
        callers.strangers(static_cast<int>(f), wanted.seed + next_fault);
      else if (fault.what == "callers-reset")
        callers.reset_some(f);
      else if (fault.what == "recording")
        write_operator(f != 0), server.tell(SIGHUP);
      else if (fault.what == "rate")
        demand.rate(f);
      else if (fault.what == "resend")
        demand.resend(f);
    }
    rules.check_deadlines(unix_now());
    if (!wanted.quiet && now - shown >= 2 * second) {
      shown = now;
      std::uint64_t asked = 0, good = 0;
      for (const Tally& tally : callers.tallies()) asked += tally.asked, good += tally.in_target;
      std::printf("%6.1f s  %llu requests, %llu in time, %llu tries, rules broken %llu\n",
                  static_cast<double>(now) / 1e9, static_cast<unsigned long long>(asked),
                  static_cast<unsigned long long>(good), static_cast<unsigned long long>(callers.tries()),
                  static_cast<unsigned long long>(rules.broken().total()));
      std::fflush(stdout);
    }
    if (left_at < 0 && now >= length && (callers.idle() || now >= length + settle_time)) {
      server.tell(SIGTERM);
      rules.drain_started(unix_now());
      left_at = now;
    }
    const bool ended = server.ended(cost);
    if (left_at >= 0 && !ended && now - left_at > leave_time) {
      server.tell(SIGKILL);
      continue;
    }
    over = ended && (callers.idle() || now - left_at > settle_time || now > length + settle_time);
    if (ended && left_at < 0) break; // it crashed
  }
  rules.check_deadlines(unix_now());

  std::printf("\n%-12s %8s %8s %7s %8s %7s %6s  %9s %9s %9s\n", "op type", "requests", "in time", "late",
              "refused", "failed", "none", "p50 ms", "p99 ms", "p99.9 ms");
  double worth = 0, all = 0;
  std::uint64_t requests = 0;
  std::string json = "{\"seed\":" + std::to_string(wanted.seed) + ",\"op_types\":[";
  for (std::size_t k = 0; k < callers.tallies().size(); ++k) {
    Tally tally = callers.tallies()[k];
    const Kind& kind = demand.kinds()[k];
    requests += tally.asked;
    worth += kind.importance * static_cast<double>(tally.in_target);
    all += kind.importance * static_cast<double>(tally.asked);
    const float p50 = part_of(tally.latencies_ms, 0.5), p99 = part_of(tally.latencies_ms, 0.99),
                p999 = part_of(tally.latencies_ms, 0.999);
    std::printf("%-12s %8llu %8llu %7llu %8llu %7llu %6llu  %9.1f %9.1f %9.1f\n", kind.name.c_str(),
                static_cast<unsigned long long>(tally.asked),
                static_cast<unsigned long long>(tally.in_target), static_cast<unsigned long long>(tally.late),
                static_cast<unsigned long long>(tally.refused), static_cast<unsigned long long>(tally.failed),
                static_cast<unsigned long long>(tally.unanswered), static_cast<double>(p50),
                static_cast<double>(p99), static_cast<double>(p999));
    char row[256];
    std::snprintf(
        row, sizeof row,
        "%s{\"name\":\"%s\",\"asked\":%llu,\"in_time\":%llu,\"late\":%llu,\"refused\":%llu,\"failed\":%llu,"
        "\"none\":%llu,\"p50_ms\":%.1f,\"p99_ms\":%.1f}",
        k > 0 ? "," : "", kind.name.c_str(), static_cast<unsigned long long>(tally.asked),
        static_cast<unsigned long long>(tally.in_target), static_cast<unsigned long long>(tally.late),
        static_cast<unsigned long long>(tally.refused), static_cast<unsigned long long>(tally.failed),
        static_cast<unsigned long long>(tally.unanswered), static_cast<double>(p50),
        static_cast<double>(p99));
    json += row;
  }
  const double service = all > 0 ? worth / all : 0;
  const float answers999 = part_of(callers.answer_ms(), 0.999);
  std::printf("importance in time %.3f; %.2f tries a request; answers' p99.9 %.1f ms; %llu connections, %llu "
              "broken\n",
              service,
              static_cast<double>(callers.tries()) /
                  static_cast<double>(std::max<std::uint64_t>(1, requests)),
              static_cast<double>(answers999), static_cast<unsigned long long>(callers.connections()),
              static_cast<unsigned long long>(callers.broken_connections()));
  std::printf("server: exit %d, CPU %.3f s (%.0f us a try), peak memory %ld KB; %llu runs, %llu calls, %llu "
              "reports\n",
              cost.exit_code, cost.cpu_seconds,
              cost.cpu_seconds * 1e6 / static_cast<double>(std::max<std::uint64_t>(1, callers.tries())),
              cost.peak_kb, static_cast<unsigned long long>(machine.runs()),
              static_cast<unsigned long long>(records.calls()),
              static_cast<unsigned long long>(announce.reports()));
  if (callers.strangers_sent() > 0)
    std::printf("strangers: %llu, of which %llu were answered or closed\n",
                static_cast<unsigned long long>(callers.strangers_sent()),
                static_cast<unsigned long long>(callers.strangers_answered()));
  std::printf("rules: %s; results that no run made %llu\n", describe(rules.broken()).c_str(),
              static_cast<unsigned long long>(callers.wrong_results()));
  for (const std::string& one : rules.examples()) std::printf("  %s\n", one.c_str());
  const bool good = rules.broken().total() == 0 && callers.wrong_results() == 0 && cost.exit_code == 0;
  if (!wanted.json.empty()) {
    char end[320];
    std::snprintf(end, sizeof end,
                  "],\"service\":%.4f,\"tries\":%llu,\"requests\":%llu,\"answers_p999_ms\":%.2f,\"cpu_s\":%."
                  "4f,\"peak_kb\":%ld,"
                  "\"rules_broken\":%llu,\"wrong_results\":%llu,\"exit\":%d}\n",
                  service, static_cast<unsigned long long>(callers.tries()),
                  static_cast<unsigned long long>(requests), static_cast<double>(answers999),
                  cost.cpu_seconds, cost.peak_kb, static_cast<unsigned long long>(rules.broken().total()),
                  static_cast<unsigned long long>(callers.wrong_results()), cost.exit_code);
    write_file(wanted.json, json + end);
  }
  return good ? 0 : 1;
}

} // namespace

int main(int argc, char** argv) {
  Wanted wanted;
  CLI::App app{"One server under a bounded load on loopback, with stand-ins for every other party."};
  app.name("cometshift_load");
  app.add_option("--server", wanted.server, "the program");
  app.add_option("--folder", wanted.folder, "for its configuration, its log and its recordings")->required();
  app.add_option("--operator", wanted.operator_text, "an operator file");
  app.add_option("--script", wanted.script, "faults by time (standin/script.hpp)");
  app.add_option("--rate", wanted.rate, "requests a second")->check(CLI::Range(0.1, most_rate));
  app.add_option("--seconds", wanted.seconds, "how long requests come")->check(CLI::Range(0.1, most_seconds));
  app.add_option("--cores", wanted.cores, "of the interpreter")->check(CLI::Range(1, 256));
  app.add_option("--callers", wanted.callers, "balancers")->check(CLI::Range(1, 1000));
  app.add_option("--tries", wanted.tries, "more that a client makes by itself")->check(CLI::Range(0, 100));
  app.add_option("--seed", wanted.seed, "of all chance");
  app.add_option("--json", wanted.json, "a file for the figures");
  app.add_flag("--record", wanted.record, "the server records to FOLDER/recordings");
  app.add_flag("--bodies", wanted.bodies, "with bodies");
  app.add_flag("--plain-marks", wanted.plain_marks, "with marks as they are");
  app.add_flag("--quiet", wanted.quiet, "the table only");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return run(wanted);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "cometshift_load: %s\n", e.what());
    return 2;
  }
}
