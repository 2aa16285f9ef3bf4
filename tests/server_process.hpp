// One server process of the program on loopback, with the other parties that a test gives it. The parties run
// in the test's own event loop; every test process has its own loopback address.
#pragma once

#include "child.hpp"
#include "driver.hpp"
#include "party.hpp"
#include "site.hpp"

#include <filesystem>

using namespace cometshift::load;
using namespace cometshift::standin;

constexpr Nanos second = 1000 * ms;
inline const std::string work_folder = "server_process." + std::to_string(getpid());
inline asio::io_context io;

inline void say(const char* what) { std::printf("# %s\n", what); }

inline void run_for(Nanos time) {
  const Nanos end = steady_now() + time;
  while (steady_now() < end) io.run_for(std::chrono::milliseconds(1));
}

// One server process with its interpreter and its announce service, on ports of their own.
struct ServerProcess {
  int number;
  Tcp::endpoint listen_at, interpreter_at, announce_at;
  std::unique_ptr<Machine> interpreter;
  std::unique_ptr<AnnounceService> announce;
  std::unique_ptr<Child> process;
  std::unique_ptr<TestConnection> caller;
  Nanos began = 0, ready = -1, last_asked = 0;
  std::uint32_t stream = 0;
  int answers = 0, acked = 0;

  static Tcp::endpoint at(int port) {
    const std::string place = TestConnection::at(port);
    return {asio::ip::make_address(place.substr(0, place.find(':'))), static_cast<unsigned short>(port)};
  }
  explicit ServerProcess(int n)
      : number(n), listen_at(at(20000 + n)), interpreter_at(at(21000 + n)), announce_at(at(22000 + n)) {}
  void with_interpreter() {
    interpreter = std::make_unique<Machine>(io, interpreter_at, 4, number + 1, Watcher{});
  }
  void with_announce() { announce = std::make_unique<AnnounceService>(io, announce_at, number + 1); }
  // `limit`: the limit on its descriptors; 0: unchanged.
  void start(const std::string& program, Site site, Tcp::endpoint records, int limit = 0) {
    const std::string path = work_folder + "/" + std::to_string(number);
    site.name = "n" + std::to_string(number);
    site.seed = static_cast<std::uint64_t>(number) + 1;
    write_file(path + ".json", configuration(site, words(listen_at), words(interpreter_at),
                                             words(announce_at), words(records)));
    std::vector<std::string> command{program, "serve", "--config", path + ".json"};
    if (limit > 0)
      command = {"/bin/sh", "-c",
                 "ulimit -n " + std::to_string(limit) + "; exec " + program + " serve --config " + path +
                     ".json"};
    began = steady_now();
    process = std::make_unique<Child>(command, path + ".log");
  }
  // Sends an op each `every`; reconnects until a connection is accepted.
  void send_periodically(Nanos now, Nanos every) {
    if (!caller || caller->ended())
      caller = std::make_unique<TestConnection>(TestConnection::to(listen_at.port())), stream = 0;
    take();
    if (now - last_asked < every) return;
    last_asked = now;
    char txn[17];
    std::snprintf(txn, sizeof txn, "%08x%08x", number + 1, ++asked_);
    const std::string received_at = std::to_string(unix_now() / ms);
    caller->send_without_turn(
        ask(++stream, txn,
            {{"verb", "bay-check"}, {"team", "main-lot"}, {"door", received_at}, {"limit", "1800"}},
            "w=2000;c=1;"));
  }
  void take() {
    while (caller->has(4)) {
      const std::string frame = caller->frame();
      if (!frame.starts_with("answer on ") || frame.starts_with("answer on 0")) continue;
      ++answers;
      if (frame.find("code 0") == std::string::npos) continue;
      ++acked;
      if (ready < 0) ready = steady_now() - began;
    }
  }
  std::size_t descriptors() const {
    std::size_t count = 0;
    for ([[maybe_unused]] const auto& entry :
         std::filesystem::directory_iterator("/proc/" + std::to_string(process->pid()) + "/fd"))
      ++count;
    return count;
  }

 private:
  int asked_ = 0;
};
