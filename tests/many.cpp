// Many processes of the program with all other parties on loopback. Thirty start at once, while the
// interpreter, the announce service or the records service is late, silent or down; thirty start cold and
// share one records service; idle clients fill every descriptor while the announce service is down. Usage:
// many PROGRAM
#include "histogram.hpp"
#include "server_process.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sys/resource.h>

namespace {

constexpr int server_count = 30;

using Server = ServerProcess;
using Servers = std::vector<Server*>;

// Servers with new ports; the other parties live until the end of the program.
Servers new_servers(int count) {
  static std::vector<std::unique_ptr<Server>> all;
  Servers servers;
  for (; count > 0; --count)
    servers.push_back(all.emplace_back(std::make_unique<Server>(static_cast<int>(all.size()))).get());
  return servers;
}
RecordsService& service_below() {
  static std::vector<std::unique_ptr<RecordsService>> all;
  const int port = 23000 + static_cast<int>(all.size());
  return *all.emplace_back(std::make_unique<RecordsService>(io, Server::at(port), 1));
}

void drain_and_check(Servers& servers) {
  for (Server* server : servers) server->process->tell(SIGTERM);
  int exited_cleanly = 0, exited = 0;
  const Nanos end = steady_now() + 10 * second;
  std::vector<bool> ended(servers.size());
  while (exited < static_cast<int>(servers.size()) && steady_now() < end) {
    run_for(5 * ms);
    for (std::size_t i = 0; i < servers.size(); ++i) {
      Child::Cost cost;
      if (servers[i]->caller) servers[i]->caller->hear();
      if (servers[i]->caller && servers[i]->caller->ended()) servers[i]->caller.reset();
      if (ended[i] || !servers[i]->process->ended(cost)) continue;
      ended[i] = true, ++exited;
      exited_cleanly += cost.exit_code == 0;
    }
  }
  std::printf("  drained: %d of %zu exited, %d with code 0\n", exited, servers.size(), exited_cleanly);
}

void test_start(const std::string& program) {
  say("thirty servers start at once; interpreter late, silent, or both, announce service down or silent, "
      "records service down for a while");
  Servers servers = new_servers(server_count);
  RecordsService& records = service_below();
  records.latency(2 * ms);
  static std::vector<std::unique_ptr<Door>> silent_listeners;
  static std::vector<Tcp::socket> held;
  for (Server* server : servers) {
    const int kind = server->number % 6;
    if (kind != 1 && kind != 2) server->with_interpreter();
    if (kind == 2) // accepts connections, never sends anything
      silent_listeners.push_back(std::make_unique<Door>(io, server->interpreter_at,
                                                        [](Tcp::socket s) { held.push_back(std::move(s)); }));
    if (kind != 4) server->with_announce();
    if (kind == 3) server->announce->silent(1);
  }
  records.down(true);
  for (Server* server : servers) server->start(program, {.leave_time = 3 * second}, records.address());
  const Nanos begun = steady_now();
  bool recovered = false;
  int count = 0;
  for (Nanos now = begun; now - begun < 12 * second && count < server_count; now = steady_now()) {
    run_for(2 * ms);
    if (!recovered &&
        now - begun >= 2 * second) { // late parties appear, and silent listeners are replaced by interpreters
      recovered = true;
      records.down(false);
      for (auto& received_at : silent_listeners) received_at->shut();
      run_for(ms);
      for (Server* server : servers)
        if (!server->interpreter) server->with_interpreter();
    }
    count = 0;
    for (Server* server : servers) {
      server->send_periodically(now, 100 * ms);
      count += server->ready >= 0 && server->ready <= 10 * second;
    }
  }
  std::printf("  an op acked within 10 s of the start: %s\n",
              count * 10 >= server_count * 9 ? "at least nine in ten" : "too few");
  int listed = 0;
  run_for(second);
  for (Server* server : servers) listed += server->announce && server->announce->listed();
  std::printf("  listed: %d\n", listed);
  for (Server* server : servers)
    if (!server->announce) server->with_announce();
  const Nanos up = steady_now();
  const auto all_listed = [&] {
    return std::all_of(servers.begin(), servers.end(), [](const Server* s) { return s->announce->listed(); });
  };
  for (Server* server : servers) server->announce->silent(0);
  while (!all_listed() && steady_now() - up < 3 * second) run_for(5 * ms);
  std::printf("  announce service is back: all listed within 1.5 s: %d\n",
              steady_now() - up < 3 * second / 2);
  std::printf("  servers that acked no op: %d\n",
              static_cast<int>(std::count_if(servers.begin(), servers.end(),
                                             [](const Server* s) { return s->acked == 0; })));
  drain_and_check(servers);
}

// Kills the server right after it has accepted a connection with an unanswered request.
void test_kill_after_accept(const std::string& program) {
  say("killed right after an accept, five times: the next start listens there at once, and serves");
  Servers servers = new_servers(1);
  Server& server = *servers[0];
  RecordsService& records = service_below();
  server.with_interpreter(), server.with_announce();
  const Site site{.leave_time = 3 * second};
  const auto serves = [&] {
    const int before = server.acked;
    server.caller.reset(); // it may still hold answers of the killed process
    server.ready = -1;
    server.start(program, site, records.address());
    while (server.acked == before && steady_now() - server.began < 5 * second) {
      run_for(ms);
      server.send_periodically(steady_now(), 20 * ms);
    }
    return server.ready >= 0 && server.ready < 2 * second;
  };
  int served = serves(), taken = 0;
  for (int i = 0; i < 5; ++i) {
    run_for(50 * ms); // earlier ops have ended
    const std::size_t before = server.descriptors();
    TestConnection fresh = TestConnection::to(server.listen_at.port());
    fresh.send_without_turn(
        ask(1, "ffffffff0000000" + std::to_string(i), {{"verb", "bay-check"}, {"team", "main-lot"}}));
    const Nanos written = steady_now();
    while (server.descriptors() <= before && steady_now() - written < second) {
    }
    taken += server.descriptors() > before;
    server.process->tell(SIGKILL);
    Child::Cost cost;
    while (!server.process->ended(cost)) run_for(ms);
    served += serves();
  }
  std::printf("  %d accepted, served within two seconds of the start %d times\n", taken, served);
  drain_and_check(servers);
}

// Each server's share is a small fraction of one call, as in a large fleet.
void test_cold_load(const std::string& program) {
  say("thirty cold servers at once share one records service with slow calls");
  Servers servers = new_servers(server_count);
  RecordsService& records = service_below();
  records.latency(60 * ms);
  records.crowding(1000);
  constexpr double budget = 6;
  for (Server* server : servers) {
    server->with_interpreter(), server->with_announce();
    server->start(program, {.leave_time = 3 * second, .cold = true, .calls_out = budget / server_count},
                  records.address());
  }
  WindowMean in_hand(5 * second, steady_now());
  double most = 0, before = 0;
  int answers = 0, acked = 0;
  const Nanos begun = steady_now();
  for (Nanos now = begun; now - begun < 7 * second; now = steady_now()) {
    run_for(ms);
    for (Server* server : servers) server->send_periodically(now, 50 * ms);
    in_hand.change(now, records.in_hand() - before);
    before = records.in_hand();
    most = std::max(most, in_hand.mean_with(in_hand.count(), 0));
  }
  for (Server* server : servers) answers += server->answers, acked += server->acked;
  std::printf("  mean calls in flight over five seconds never exceeded the budget of %.0f: %d\n", budget,
              most <= budget);
  std::printf("  more than a tenth of it was used: %d; ops answered: %d\n", most > budget / 10,
              answers > 1000 && acked > 100);
  drain_and_check(servers);
}

// Idle clients connect until no descriptor is free, half of them after one health check, while the announce
// service is down.
void test_descriptor_limit(const std::string& program, int limit) {
  std::printf("# idle clients fill %d descriptors while the announce service is down\n", limit);
  Servers servers = new_servers(1);
  Server& server = *servers[0];
  RecordsService& records = service_below();
  server.with_interpreter();
  server.start(program, {.leave_time = 3 * second, .sockets = limit}, records.address(), limit);
  while (!server.interpreter->linked() && steady_now() - server.began < 10 * second) run_for(5 * ms);
  std::vector<TestConnection> idle;
  for (int n = 0; n < 2 * limit; ++n) {
    idle.push_back(TestConnection::to(server.listen_at.port()));
    if (n % 2) idle.back().send_without_turn(frame_of(frames::health_check, 1, {}));
    if (n % 16 == 0) run_for(ms);
  }
  run_for(200 * ms);
  const std::size_t most = server.descriptors();
  const Nanos begun = steady_now();
  while (server.acked == 0 && steady_now() - begun < 5 * second) {
    run_for(2 * ms);
    server.send_periodically(steady_now(), 100 * ms);
  }
  std::printf(
      "  within its descriptor limit: %d; a caller is accepted and its op, with a call, is acked: %d\n",
      most<static_cast<std::size_t>(limit), server.acked> 0);
  server.with_announce();
  const Nanos up = steady_now();
  while (!server.announce->listed() && steady_now() - up < 3 * second) run_for(5 * ms);
  std::printf("  announce service is back: listed within 1.5 s: %d\n", steady_now() - up < 3 * second / 2);
  drain_and_check(servers);
  if (std::ifstream log(work_folder + "/" + std::to_string(server.number) + ".log"); log)
    for (std::string line; std::getline(log, line);)
      if (line.find("Too many open files") != std::string::npos) std::puts("  no descriptor was free");
}

} // namespace

int main(int count, char** arguments) {
  if (count != 2) return 2;
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = std::min<rlim_t>(files.rlim_max, 4096);
  setrlimit(RLIMIT_NOFILE, &files);
  std::filesystem::remove_all(work_folder);
  std::filesystem::create_directories(work_folder);
  TestConnection::turn = [] { io.poll(); };
  test_start(arguments[1]);
  test_cold_load(arguments[1]);
  test_kill_after_accept(arguments[1]);
  test_descriptor_limit(arguments[1], 384);
  test_descriptor_limit(arguments[1], 512);
  std::filesystem::remove_all(work_folder);
}
