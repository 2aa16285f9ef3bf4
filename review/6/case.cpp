// Case 6: with a recording on, a jump of traffic stops the server from answering. Once what the server
// remembers is larger than a segment of the recording, it begins a new segment, with all of its state, at
// every event. Usage: see run.sh.
#include "../kit-2/stand.hpp"

#include <filesystem>

using namespace stand;

namespace {

constexpr double base_rate = 380; // first tries a second; the page: up to 190, and six times that on one day
constexpr double jump_factor = 2.3, jump_at = 12'000,
                 jump_ms = 9'400; // the page: 1.5 to 2.3 times for 2.1 to 9.4 s
constexpr double load_ms = 30'000;
constexpr double confirm_share = 0.29;
constexpr Millis timeout = 4'600, slack = 80 + 50; // the site's slack, and 50 ms on sockets
constexpr double allowed = 0.003;                  // share of requests that may lack an answer
constexpr int balancers = 200;

std::string config(const Address& listen, const Address& vm, const Address& announce,
                   const Address& records) {
  return "{\"name\":\"n1\",\"listen\":\"" + listen.text() + "\",\"vm\":\"" + vm.text() +
         "\",\"announce\":\"" + announce.text() + "\",\"records\":\"" + records.text() +
         "\",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":3200,"
         "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":512},"
         "\"settings\":{\"fleet_size\":4,\"value_by\":\"request\",\"over_share_worth\":1,"
         "\"family_info\":{\"callers\":4,\"cpus\":6,\"mem_limit_kb\":30000.0,\"run_factor\":8.0,\"key_kb\":1,"
         "\"below\":\"common\",\"calls_out\":200.0,\"calls_over_ns\":5000000000,\"stays_for_ns\":200000000,"
         "\"calls_by_class\":[true,false],\"cold\":false,\"say\":\"min_rank\","
         "\"heeded_ns\":1000000000,\"idle_ns\":30000000000,"
         "\"gauges\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"],\"halt\":\"none\",\"passes_"
         "deadline\":false},"
         "\"categories\":["
         "{\"name\":\"roster-read\",\"importance\":1,\"target_ns\":1800000000,\"deadline_ns\":4600000000,"
         "\"effect\":\"read_like\"},"
         "{\"name\":\"visit-confirm\",\"importance\":3,\"target_ns\":1800000000,\"deadline_ns\":4600000000,"
         "\"effect\":\"idempotency_key\",\"key_ttl_ns\":13785000000}],"
         "\"parties\":[],"
         "\"invariants\":{\"drain_grace_ns\":2000000000,\"fall_multiple\":8.0},"
         "\"limits\":{\"retry_after\":true,\"max_retry_after_ns\":1000000000},\"clients\":{\"marks_retry\":"
         "true}}}";
}
// Sizes within the ranges of the operator file's page: segments from 64 KiB, two of them in all at least.
std::string operator_text(const std::string& folder) {
  return "recording {\n    on #true\n    folder \"" + folder +
         "\"\n    segment-size \"320KiB\"\n    total-size \"16MiB\"\n}\n";
}

} // namespace

int main(int argc, char** argv) {
  const Arguments args = arguments(argc, argv);
  record_each = true;
  Loop loop;
  Interpreter interpreter(loop);
  Announce announce(loop);
  Records records(loop);
  Server server(args.run, args.folder);
  server.listen = free_address(own_host());
  const std::string operator_file = args.folder + "/operator.kdl", recordings = args.folder + "/recordings";
  std::filesystem::create_directory(recordings);
  std::ofstream(operator_file) << operator_text(recordings);
  server.start(config(server.listen, interpreter.address(), announce.address(), records.address()),
               operator_file);
  if (!loop.until([&] { return interpreter.linked() && announce.reports > 0; }, 10'000))
    cannot_run("the server did not come up");
  loop.run_for(300);

  struct Sent {
    Millis door = 0;
    bool answered = false, lost = false;
  };
  std::map<std::string, Sent> requests;
  std::multimap<Millis, std::string> dues;
  std::uint64_t sent = 0, confirms = 0, served = 0, refused = 0, failed = 0, lost = 0, unsent = 0, number = 0;
  Millis longest = 0;
  std::vector<std::unique_ptr<Balancer>> all;
  for (int i = 0; i < balancers; ++i) {
    all.push_back(std::make_unique<Balancer>(loop, interpreter, server.listen, i));
    if (!all.back()->connection) cannot_run("no connection to the server");
    all.back()->on_answer = [&](const std::string& txn, const Answer& answer) {
      Sent& one = requests[txn];
      one.answered = true;
      longest = std::max(longest, unix_ms() - one.door);
      served += answer.code == 0;
      refused += answer.code == 14;
      failed += answer.code == 2;
    };
  }
  const auto state = [&] { // the newest whole segment's size, and how many segments were begun
    std::string newest;
    for (const auto& entry : std::filesystem::directory_iterator(recordings))
      newest = std::max(newest, entry.path().filename().string());
    return newest;
  };
  const double began = steady_ms();
  double credit = 0, last = began, shown = 0;
  bool jumping = false;
  std::size_t turn = 0;
  for (double now = 0; now < load_ms + timeout + 2'000; now = steady_ms() - began) {
    const bool jump = args.trouble && now >= jump_at && now < jump_at + jump_ms;
    if (jump != jumping) record("traffic %s", jump ? "jumps to 2.3 times the usual" : "is as usual again");
    jumping = jump;
    const double at = steady_ms();
    if (now < load_ms) credit += (at - last) / 1000 * base_rate * (jump ? jump_factor : 1);
    last = at;
    for (; credit >= 1; credit -= 1) {
      Balancer* b = nullptr;
      for (std::size_t k = 0; k < all.size() && !b; ++k)
        if (Balancer& one = *all[++turn % all.size()]; one.usable()) b = &one;
      if (!b) { // all connections hold as many open requests as the protocol allows
        ++unsent;
        continue;
      }
      const bool confirm = static_cast<double>(confirms) < confirm_share * static_cast<double>(++sent);
      Try t{confirm ? "visit-confirm" : "roster-read",
            hex16(0x1000000000000000ull + ++number),
            "",
            "",
            confirm ? "w=4;c=0;r=64;" : "w=4;c=1;r=64;",
            "",
            unix_ms(),
            0,
            20};
      if (confirm) {
        ++confirms;
        t.unique = hex16(number * 0x9e3779b97f4a7c15ull) + hex16(number);
        t.body += "confirm " + t.unique;
      }
      requests[t.txn].door = t.door;
      dues.emplace(t.door + timeout + slack, t.txn);
      b->send(t);
    }
    loop.turn(2);
    for (; !dues.empty() && dues.begin()->first < unix_ms(); dues.erase(dues.begin())) {
      const std::string& txn = dues.begin()->second;
      Sent& one = requests[txn];
      if (one.answered) continue;
      one.lost = true;
      if (++lost <= 20) record("LOST: no answer to %s by its due time", txn.c_str());
    }
    if (now - shown >= 1000) {
      shown = now;
      record("%llu sent, %llu served, %llu refused, %llu failed, %llu lost, %llu not sent for want of a "
             "stream; longest "
             "answer %lld ms; newest segment %s",
             static_cast<unsigned long long>(sent), static_cast<unsigned long long>(served),
             static_cast<unsigned long long>(refused), static_cast<unsigned long long>(failed),
             static_cast<unsigned long long>(lost), static_cast<unsigned long long>(unsent),
             static_cast<long long>(longest), state().c_str());
      longest = 0;
      if (!server.alive()) break;
    }
  }
  if (!server.alive()) finish(server, 1, "the server ended by itself");
  char words[256];
  std::snprintf(words, sizeof words,
                "%llu of %llu requests got no final answer by their due time (allowed: 3 in 1,000)",
                static_cast<unsigned long long>(lost), static_cast<unsigned long long>(sent));
  finish(server,
         static_cast<double>(lost) >= allowed * static_cast<double>(sent) ? std::max<std::uint64_t>(lost, 1)
                                                                          : 0,
         words);
}
