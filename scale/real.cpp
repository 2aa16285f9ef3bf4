#include "real.hpp"

#include "child.hpp"
#include "party.hpp"
#include "site.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/address_v4.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

namespace cometshift::scale {

namespace {

constexpr unsigned fronts = 5000, members_at = 6000, machines = 7300, records_at = 5432, announce_at = 2379;
constexpr std::chrono::milliseconds apart{20}; // of starts: the machine has other work too

std::string read_some(const std::string& path) { // of the system's own, which has no length
  std::ifstream in(path);
  std::stringstream all;
  all << in.rdbuf();
  return all.str();
}

struct Reading {
  double cpu_s = 0, system_s = 0;
};
Reading reading_of(pid_t pid) {
  Reading reading;
  const std::string proc = "/proc/" + std::to_string(pid);
  double ns = 0;
  std::error_code gone;
  for (const auto& task : std::filesystem::directory_iterator(proc + "/task", gone)) {
    double some = 0;
    if (std::istringstream(read_some(task.path().string() + "/schedstat")) >> some) ns += some;
  }
  reading.cpu_s = ns / 1e9;
  const std::string stat = read_some(proc + "/stat");
  const auto behind = stat.rfind(')');
  if (behind == std::string::npos) return reading;
  std::istringstream fields(stat.substr(behind + 1));
  std::string skipped;
  for (int f = 3; f <= 13; ++f) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  reading.system_s = system / ticks;
  if (ns == 0) reading.cpu_s = (user + system) / ticks; // a system that keeps no finer count
  return reading;
}
double anonymous_bytes(pid_t pid) {
  std::istringstream status(read_some("/proc/" + std::to_string(pid) + "/status"));
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("RssAnon:")) return 1024 * std::strtod(line.c_str() + 8, nullptr);
  return 0;
}
struct Loopback {
  double bytes = 0, packets = 0;
};
Loopback loopback() {
  std::istringstream all(read_some("/proc/net/dev"));
  Loopback lo;
  for (std::string line; std::getline(all, line);)
    if (const auto at = line.find("lo:"); at != std::string::npos) {
      std::istringstream fields(line.substr(at + 3));
      fields >> lo.bytes >> lo.packets;
    }
  return lo;
}

class Fleet {
 public:
  explicit Fleet(const Real& real)
      : real_(real), host_(0x7f000000u | (0x60000u + static_cast<unsigned>(getpid())) % 0xfffffeu) {
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    std::filesystem::create_directories(real.folder);
    records_ = std::make_unique<standin::RecordsService>(io_, at(records_at), real.seed * 3 + 2);
    announce_ = std::make_unique<standin::AnnounceService>(io_, at(announce_at), real.seed * 3 + 3);
  }

  RealCost run() {
    for (unsigned m = 1; m <= real_.members; ++m) {
      begin(m);
      io_.run_for(apart);
    }
    pass(real_.settle_s);
    const auto from = std::chrono::steady_clock::now();
    const Loopback lo_from = loopback();
    std::vector<Reading> before;
    for (const auto& child : children_) before.push_back(reading_of(child->pid()));
    pass(real_.seconds);
    const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count();
    RealCost cost;
    const Loopback lo_to = loopback();
    cost.bytes_s = (lo_to.bytes - lo_from.bytes) / took;
    cost.packets_s = (lo_to.packets - lo_from.packets) / took;
    for (unsigned m = 1; m <= real_.members; ++m) {
      const auto& child = children_[m - 1];
      load::Child::Cost ended;
      if (child->ended(ended)) {
        ++cost.ended;
        continue;
      }
      const Reading now = reading_of(child->pid());
      const bool votes = m <= real_.voters;
      RealRole& role = votes ? cost.voter : cost.ordinary;
      const double n = votes ? real_.voters : real_.members - real_.voters;
      role.cpu_part += (now.cpu_s - before[m - 1].cpu_s) / took / n;
      role.system_part += (now.system_s - before[m - 1].system_s) / took / n;
      role.memory_bytes += anonymous_bytes(child->pid()) / n;
    }
    return cost;
  }

 private:
  asio::ip::tcp::endpoint at(unsigned port) const {
    return {asio::ip::address_v4(host_), static_cast<unsigned short>(port)};
  }
  std::string address(unsigned port) const { return load::words(at(port)); }
  void pass(double seconds) {
    io_.run_for(std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9)));
    io_.restart();
  }
  std::string operator_text(unsigned self) const {
    if (!real_.link) return "";
    std::string text = "fleet {\n  name \"real\"\n  self " + std::to_string(self) + "\n  listen \"" +
                       address(members_at + self) + "\"\n  voters";
    for (unsigned v = 1; v <= real_.voters; ++v) text += ' ' + std::to_string(v);
    text += "\n";
    for (unsigned m = 1; m <= real_.members; ++m)
      text += "  member " + std::to_string(m) + " \"" + address(members_at + m) + "\"\n";
    return text + "}\n";
  }
  void begin(unsigned m) {
    const std::string name = real_.folder + "/n" + std::to_string(m);
    machines_.push_back(
        std::make_unique<standin::Machine>(io_, at(machines + m), 4, real_.seed * 7 + m, standin::Watcher{}));
    load::write_file(name + ".json",
                     load::configuration({.name = "n" + std::to_string(m), .seed = real_.seed + m},
                                         address(fronts + m), address(machines + m), address(announce_at),
                                         address(records_at)));
    load::write_file(name + ".kdl", operator_text(m));
    children_.push_back(
        std::make_unique<load::Child>(std::vector<std::string>{real_.server, "serve", "--config",
                                                               name + ".json", "--operator", name + ".kdl"},
                                      name + ".log"));
  }

  const Real& real_;
  unsigned host_;
  asio::io_context io_;
  std::unique_ptr<standin::RecordsService> records_;
  std::unique_ptr<standin::AnnounceService> announce_;
  std::vector<std::unique_ptr<standin::Machine>> machines_;
  std::vector<std::unique_ptr<load::Child>> children_;
};

} // namespace

RealCost run_real(const Real& real) { return Fleet(real).run(); }

} // namespace cometshift::scale
