// The command line of cometshift. Without arguments it serves with the configuration file that RELAY_CONFIG
// names.
//
// Exit codes: 0 success; 1 can't start, a checked file is invalid, a replay differs, or nothing was found; 2
// a recording can't be read or is not in the expected format; 64 invalid command line.
#include "configuration.hpp"
#include "format.hpp"
#include "host.hpp"
#include "operator.hpp"
#include "report.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>

namespace {

constexpr int exit_failure = 1, exit_unreadable = 2, exit_usage = 64;

// The option's value; if it was not given, that of the environment variable.
std::string option_or_environment(const std::string& given, const char* variable) {
  if (!given.empty()) return given;
  const char* value = std::getenv(variable);
  return value ? value : "";
}

// The files of the commands serve and check, from the options or the environment.
struct Paths {
  std::string config_option, operator_option;

  void add_options(CLI::App& app) {
    app.add_option("--config", config_option, "configuration file (default: RELAY_CONFIG)");
    app.add_option("--operator", operator_option,
                   "operator file (default: COMETSHIFT_OPERATOR; without one, all defaults)");
  }
  std::string config() const {
    const std::string path = option_or_environment(config_option, "RELAY_CONFIG");
    if (path.empty()) throw std::invalid_argument("RELAY_CONFIG: missing");
    return path;
  }
  std::string operator_file() const { return option_or_environment(operator_option, "COMETSHIFT_OPERATOR"); }
  cometshift::Settings operator_values() const {
    return operator_file().empty() ? cometshift::parse_operator_text("", "")
                                   : cometshift::read_operator_file(operator_file());
  }
};

int serve(const Paths& paths) {
  const std::string path = paths.config();
  cometshift::Host(cometshift::read_configuration(path), path, paths.operator_values(), paths.operator_file())
      .serve();
  return 0;
}

int check(const Paths& paths) {
  int exit_code = 0;
  const auto check_file = [&](const char* what, auto read) {
    try {
      read();
      std::printf("%s: good\n", what);
    } catch (const std::exception& e) {
      std::printf("%s\n", e.what());
      exit_code = exit_failure;
    }
  };
  if (!option_or_environment(paths.config_option, "RELAY_CONFIG").empty())
    check_file("configuration", [&] { cometshift::read_configuration(paths.config()); });
  if (!paths.operator_file().empty()) check_file("operator file", [&] { paths.operator_values(); });
  return exit_code;
}

} // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "A server behind load balancers: admission control, scheduling, and draining without losing an op."};
  app.name("cometshift");
  app.footer("Examples:\n"
             "  RELAY_CONFIG=deploy/config.json cometshift\n"
             "  cometshift serve --config deploy/config.json --operator deploy/operator.kdl\n"
             "  cometshift check --operator deploy/operator.kdl\n"
             "  cometshift replay --times 100 recordings/n1-*.capture\n"
             "  cometshift replay --explain 9b1f03aa5c7e2d41 recordings/n1-*.capture\n"
             "  cometshift capture cut --op 9b1f03aa5c7e2d41 --into one.capture recordings/n1-*.capture\n"
             "Exit codes: 0 success, 1 can't start or a replay differs, 2 a file can't be read, 64 invalid "
             "command line.");
  app.require_subcommand(0, 1);

  Paths paths;
  CLI::App* serving = app.add_subcommand("serve", "serve (the default command)");
  paths.add_options(*serving);
  CLI::App* checking = app.add_subcommand("check", "validate the configuration and the operator file");
  paths.add_options(*checking);

  std::vector<std::string> files;
  const auto with_files = [&files](CLI::App* command) {
    command->add_option("files", files, "segments of a recording, in any order")->required();
  };
  int times = 1;
  std::string op;
  bool compare = false;
  CLI::App* replaying = app.add_subcommand("replay", "replay a recording and compare each decision with it");
  with_files(replaying);
  replaying->add_option("--times", times, "number of replays")->check(CLI::Range(1, 1'000'000));
  CLI::Option* explain = replaying->add_option(
      "--explain", op, "instead: show the events of one op (16 hex digits) and the reason of its result");
  replaying
      ->add_flag("--compare", compare,
                 "instead: show the decisions that differ in this build, and check the rules on both sides")
      ->excludes(explain);

  CLI::App* capturing = app.add_subcommand("capture", "inspect recordings and extract parts of them");
  capturing->require_subcommand(1);
  CLI::App* info = capturing->add_subcommand("info", "show the contents of each segment");
  with_files(info);
  std::uint64_t from = 0, to = ~std::uint64_t{0}; // ms; by default the whole recording
  CLI::App* list = capturing->add_subcommand("list", "list each entry with the decisions made");
  with_files(list);
  list->add_option("--from", from, "ms from the beginning of the recording");
  list->add_option("--to", to, "ms from the beginning of the recording");
  cometshift::Part part;
  std::string into;
  CLI::App* cut =
      capturing->add_subcommand("cut", "extract a part, by time or by op, that can be replayed on its own");
  with_files(cut);
  cut->add_option("--from", part.from_ms, "ms from the beginning of the recording")
      ->check(CLI::NonNegativeNumber);
  cut->add_option("--to", part.to_ms, "ms from the beginning of the recording")
      ->check(CLI::NonNegativeNumber);
  cut->add_option("--op", part.op, "instead: the events of this op, with half a second before and after");
  cut->add_option("--into", into, "output file; must not exist yet")->required();
  CLI::App* scrub = capturing->add_subcommand(
      "scrub", "copy the recording with marks and subjects pseudonymized and bodies left out");
  with_files(scrub);
  scrub->add_option("--into", into, "output file; must not exist yet")->required();
  CLI::App* version = app.add_subcommand("version", "show the build and the recording formats that it reads");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    const int code = app.exit(e);
    return code == 0 ? 0 : exit_usage;
  }

  try {
    if (version->parsed()) {
      std::printf("cometshift %s, recordings of format %u, snapshots of layout %u\n", cometshift::build_name,
                  cometshift::capture_format, cometshift::snapshot_layout);
      return 0;
    }
    if (checking->parsed()) return check(paths);
    if (replaying->parsed()) {
      if (!op.empty()) return cometshift::explain_report(files, op, stdout);
      return compare ? cometshift::compare_report(files, stdout)
                     : cometshift::replay_report(files, times, stdout);
    }
    if (info->parsed()) return cometshift::info_report(files, stdout);
    if (list->parsed()) return cometshift::list_report(files, from, to, stdout);
    if (scrub->parsed()) part.scrub = true;
    if (cut->parsed() || scrub->parsed()) return cometshift::cut_report(files, part, into, stdout);
    return serve(paths);
  } catch (const cometshift::Unreadable& e) {
    std::fprintf(stderr, "cometshift: %s\n", e.what());
    return exit_unreadable;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "cometshift: %s\n", e.what());
    return exit_failure;
  }
}
