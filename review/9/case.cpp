// Case 9: if the machine stands still as the notice to leave comes, in the moment in which hundreds of
// clients have written, the server counts its drain from the end of that pause, and has not answered all at
// the kill. Usage: see run.sh.
#include "../kit-2/stand.hpp"

using namespace stand;

namespace {

constexpr int bad_clients = 300;       // "by hundreds"
constexpr int requests_at_once = 30;   // of each: "hundreds of requests at once"
constexpr double pause_ms = 470;       // the brief: 190 to 500 ms
constexpr double notice_after_ms = 20; // from the beginning of the pause
constexpr double stop_ms = 2'000;      // the bench's page: drain time 2 to 6 s
constexpr double between_ms = 50;      // of ordinary requests: 20 a second
constexpr Millis limit = 6'100;
constexpr double not_judged_ms = 150; // requests of the last moment before the kill
constexpr double allowed = 0.003;     // share of requests that may lack an answer

std::string config(const Address& listen, const Address& vm, const Address& announce,
                   const Address& records) {
  return "{\"name\":\"n1\",\"listen\":\"" + listen.text() + "\",\"vm\":\"" + vm.text() +
         "\",\"announce\":\"" + announce.text() + "\",\"records\":\"" + records.text() +
         "\",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":2000,"
         "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":512},"
         "\"settings\":{\"fleet_size\":4,\"value_by\":\"request\",\"over_share_worth\":0.05,"
         "\"family_info\":{\"callers\":4,\"cpus\":6,\"mem_limit_kb\":13000.0,\"run_factor\":4.0,\"key_kb\":2,"
         "\"below\":\"none\",\"calls_by_class\":[false,false],\"cold\":false,\"say\":\"none\","
         "\"heeded_ns\":1000000000,\"idle_ns\":30000000000,"
         "\"gauges\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"],\"halt\":\"none\",\"passes_"
         "deadline\":true},"
         "\"categories\":["
         "{\"name\":\"bay-check\",\"importance\":1,\"target_ns\":1400000000,\"deadline_ns\":3600000000,"
         "\"effect\":\"read_like\"},"
         "{\"name\":\"booking\",\"importance\":2,\"target_ns\":2400000000,\"deadline_ns\":6100000000,"
         "\"effect\":\"idempotency_key\",\"key_ttl_ns\":18276000000}],"
         "\"parties\":[],"
         "\"invariants\":{\"drain_grace_ns\":2000000000,\"fall_multiple\":8.0},"
         "\"limits\":{\"retry_after\":true,\"max_retry_after_ns\":1000000000},\"clients\":{\"marks_retry\":"
         "false}}}";
}

} // namespace

int main(int argc, char** argv) {
  const Arguments args = arguments(argc, argv);
  Loop loop;
  Interpreter interpreter(loop);
  Announce announce(loop);
  Records records(loop);
  Server server(args.run, args.folder);
  server.listen = free_address(own_host());
  server.start(config(server.listen, interpreter.address(), announce.address(), records.address()));
  if (!loop.until([&] { return interpreter.linked() && announce.reports > 0; }, 10'000))
    cannot_run("the server did not come up");
  loop.run_for(300);

  std::uint64_t number = 0, answered = 0;
  std::map<std::string, double> sent_at; // requests without an answer
  std::set<std::string> refused_connection;
  std::uint64_t sent = 0;
  std::vector<std::unique_ptr<Balancer>> all;
  for (int i = 0; i < 3; ++i) {
    all.push_back(std::make_unique<Balancer>(loop, interpreter, server.listen, i));
    if (!all.back()->connection) cannot_run("no connection to the server");
    all.back()->on_answer = [&](const std::string& txn, const Answer& answer) {
      ++answered;
      sent_at.erase(txn);
      record("answer to %s: %s", txn.c_str(),
             answer.code == 0    ? "served"
             : answer.code == 14 ? "refused"
                                 : "failed");
    };
  }
  double next = steady_ms();
  const auto ordinary = [&] {
    for (; steady_ms() >= next; next += between_ms) {
      Balancer& b = *all[sent % all.size()];
      if (!b.usable()) continue;
      const bool booking = number % 5 < 2;
      const std::string txn = hex16(0x1000000000000000ull + ++number);
      Try t{booking ? "booking" : "bay-check",
            txn,
            "",
            "",
            booking ? "w=390;r=64;" : "w=240;r=64;",
            "",
            unix_ms(),
            booking ? limit : 3'600,
            20};
      if (booking) t.unique = hex16(number * 0x9e3779b97f4a7c15ull) + hex16(number);
      ++sent;
      sent_at[txn] = steady_ms();
      record("request %s: %s", txn.c_str(), t.verb.c_str());
      b.send(t);
    }
  };
  const auto run_for = [&](double ms) {
    loop.until(
        [&] {
          ordinary();
          return !server.alive();
        },
        ms);
  };
  run_for(3'000);

  // The bad clients connect, and a moment later all of them send at full speed: classes that don't exist.
  std::vector<std::shared_ptr<Connection>> bad;
  for (int i = 0; i < bad_clients; ++i)
    if (auto c = Connection::dial(loop, server.listen)) {
      c->on_data = [](Connection& from) { from.in.clear(); };
      bad.push_back(c);
    }
  record("%zu bad clients are connected", bad.size());
  run_for(300);
  std::string burst;
  for (int k = 1; k <= requests_at_once; ++k)
    burst += request_frame(static_cast<std::uint32_t>(k),
                           {"no-such-class", hex16(0x5000000000000000ull + static_cast<unsigned>(k)), "", "",
                            std::string(100, 'x'), "", unix_ms(), 1'000, 20},
                           99);
  for (auto& c : bad) ::send(c->fd, burst.data(), burst.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (args.trouble) {
    // The machine stands still: nothing is written to the server, nothing that it writes is read, no run goes
    // on.
    server.tell(SIGSTOP);
    record("the machine stands still");
    usleep(static_cast<useconds_t>(notice_after_ms * 1000));
  }
  server.tell(SIGTERM);
  const double notice = steady_ms();
  record("the notice to leave (SIGTERM)");
  if (args.trouble) {
    usleep(static_cast<useconds_t>((pause_ms - notice_after_ms) * 1000));
    server.tell(SIGCONT);
    record("the machine goes on");
    next = steady_ms();
  }
  while (server.alive() && steady_ms() < notice + stop_ms) {
    ordinary();
    loop.turn(1);
  }
  const bool by_itself = !server.alive();
  record("%s", by_itself ? "the server has ended by itself" : "SIGKILL");
  server.kill_now();
  loop.run_for(100); // what it wrote before
  std::uint64_t lost = 0, judged = answered;
  for (const auto& [txn, at] : sent_at) {
    if (at > notice + stop_ms - not_judged_ms) continue;
    ++judged;
    ++lost;
    record("LOST: no answer to %s, sent %.0f ms after the notice", txn.c_str(), at - notice);
  }
  char words[200];
  std::snprintf(words, sizeof words, "%llu of %llu requests had no answer at the kill%s",
                static_cast<unsigned long long>(lost), static_cast<unsigned long long>(judged),
                by_itself ? " (the server ended by itself)" : "");
  finish(server, static_cast<double>(lost) >= allowed * static_cast<double>(judged) ? lost : 0, words);
}
