// Guards against clients that make a server exceed its memory limit or answer others late: hundreds that
// write slowly, stop in the middle of a large request or send heads of many short fields; and one that sends
// small or invalid requests at full speed, also under new names each time. A real process. Usage:
// hostile_clients PROGRAM
#include "server_process.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <optional>
#include <sys/resource.h>

namespace {

constexpr int memory_mb = 32; // the least that a site gives
constexpr int sockets = 512;
constexpr int crowd_size = 370; // fills the table of connections
constexpr Nanos attack_time = 2 * second;
constexpr Nanos ask_interval = 50 * ms;
constexpr Nanos time_limit = 1800 * ms; // of the requests of an ordinary client

// A client that sends what `next` returns at full speed, with a bound on the requests that are open. Connects
// again when it is closed.
class Flooder {
  TestConnection connection_;
  int port_;
  std::size_t most_open_;
  std::function<std::string(std::uint32_t stream)> next_;
  std::string unsent_, received_;
  std::size_t open_ = 0;
  std::uint32_t stream_ = 0;

 public:
  std::uint64_t frames = 0, answers = 0, connections = 1;

  Flooder(int port, std::size_t most_open, std::function<std::string(std::uint32_t)> next)
      : connection_(TestConnection::connect_without_turn(port)), port_(port), most_open_(most_open),
        next_(std::move(next)) {}
  ~Flooder() {
    std::fprintf(stderr, "%llu frames, %llu answers on %llu connections; ",
                 static_cast<unsigned long long>(frames), static_cast<unsigned long long>(answers),
                 static_cast<unsigned long long>(connections));
  }
  void turn() {
    constexpr std::size_t sends_per_turn = 16;
    for (std::size_t i = 0; i < sends_per_turn; ++i) {
      for (; unsent_.size() < 16 * 1024 && open_ < most_open_; ++frames, ++open_) unsent_ += next_(++stream_);
      const std::optional<std::size_t> sent = connection_.exchange(unsent_, received_);
      if (!sent) return reconnect();
      unsent_.erase(0, *sent);
      count_answers();
      if (*sent == 0) return;
    }
  }

 private:
  void count_answers() {
    std::size_t at = 0;
    for (; received_.size() - at >= 4;) {
      const std::size_t size = frames::read_le(received_.data() + at, 4) + 4;
      if (received_.size() - at < size) break;
      open_ -= open_ > 0;
      ++answers;
      at += size;
    }
    received_.erase(0, at);
  }
  void reconnect() {
    connection_ = TestConnection::connect_without_turn(port_);
    ++connections;
    unsent_.clear(), received_.clear();
    stream_ = 0;
    open_ = 0;
  }
};

// An ordinary client that asks at intervals and measures the time of each answer.
class Caller {
  TestConnection connection_;
  std::map<std::uint32_t, Nanos> sent_;
  std::uint32_t stream_ = 0;
  Nanos last_sent_ = 0;

 public:
  int answers = 0, late = 0;

  explicit Caller(int port) : connection_(TestConnection::connect_without_turn(port)) {}
  void turn(Nanos now) {
    while (connection_.has(4)) {
      const std::string frame = connection_.frame();
      if (!frame.starts_with("answer on ")) continue;
      const auto at = sent_.find(static_cast<std::uint32_t>(std::stoul(frame.substr(10))));
      if (at == sent_.end()) continue;
      ++answers;
      late += now - at->second > time_limit + 50 * ms; // each time limit being 50 ms longer
      sent_.erase(at);
    }
    if (now - last_sent_ < ask_interval) return;
    last_sent_ = now;
    char txn[17];
    std::snprintf(txn, sizeof txn, "%016x", 0xca000000u + ++stream_);
    connection_.send_without_turn(ask(stream_, txn,
                                      {{"verb", "bay-check"},
                                       {"team", "main-lot"},
                                       {"door", std::to_string(unix_now() / ms)},
                                       {"limit", std::to_string(time_limit / ms)}},
                                      "w=2000;c=0;"));
    sent_[stream_] = now;
  }
  bool connected() { return !connection_.ended(); }
  std::size_t waiting() const { return sent_.size(); }
};

long peak_kb(const ServerProcess& server) {
  std::ifstream status("/proc/" + std::to_string(server.process->pid()) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("VmHWM:")) return std::stol(line.substr(6));
  return -1;
}

// Starts a server, lets `attack` act for a while beside an ordinary client, and prints what came of it.
void test(const std::string& program, const char* what,
          const std::function<std::function<void()>(int port)>& attack) {
  say(what);
  static int number = 0;
  ServerProcess server(number);
  RecordsService records(io, ServerProcess::at(23000 + number++), 1);
  server.with_interpreter(), server.with_announce();
  server.start(program, {.leave_time = 3 * second, .sockets = sockets, .memory_mb = memory_mb},
               records.address(), sockets);
  while (!server.interpreter->linked() && steady_now() - server.began < 10 * second) run_for(5 * ms);
  run_for(100 * ms);
  const int port = server.listen_at.port();
  Caller caller(port);
  {
    const std::function<void()> act = attack(port);
    const Nanos begun = steady_now();
    for (Nanos now = begun; now - begun < attack_time; now = steady_now()) {
      act();
      io.poll();
      caller.turn(now);
    }
    const Nanos ended = steady_now();
    for (Nanos now = ended; caller.waiting() > 1 && now - ended < 2 * time_limit; now = steady_now()) {
      act();
      io.poll();
      caller.turn(now);
    }
  }
  const long peak = peak_kb(server);
  std::printf("  the ordinary client is connected: %d, has answers: %d, none of them late: %d\n",
              caller.connected(), caller.answers > 30, caller.late == 0);
  std::printf("  the server runs, within its memory limit: %d\n", peak > 0 && peak < memory_mb * 1024L);
  std::fprintf(stderr, "%s: %d answers, %d late, peak %ld KB\n", what, caller.answers, caller.late, peak);
}

// ---- hundreds of clients

using Crowd = std::vector<TestConnection>;

std::shared_ptr<Crowd> crowd_at(int port) {
  auto crowd = std::make_shared<Crowd>();
  for (int i = 0; i < crowd_size; ++i) {
    crowd->push_back(TestConnection::connect_without_turn(port));
    if (i % 16 == 0) run_for(ms);
  }
  return crowd;
}

std::string large_request() {
  return frame_of(frames::request, 1, {{"verb", "booking"}}, std::string(250'000, 'x'));
}
std::string many_short_fields() {
  return frame_of(frames::request, 1, Fields(255, {"a", "b"}), std::string(2000, 'x'));
}

// Each client writes `bytes` in pieces of this size, one in each turn, and begins anew when it is closed.
std::function<void()> write_in_pieces(int port, std::string bytes, std::size_t piece, Nanos every) {
  struct State {
    std::shared_ptr<Crowd> crowd;
    std::vector<std::size_t> written;
    Nanos last = 0;
  };
  auto state = std::make_shared<State>();
  state->crowd = crowd_at(port);
  state->written.resize(crowd_size);
  return [=] {
    if (steady_now() - state->last < every) return;
    state->last = steady_now();
    std::string ignored;
    for (std::size_t i = 0; i < state->crowd->size(); ++i) {
      TestConnection& client = (*state->crowd)[i];
      if (client.ended()) client = TestConnection::connect_without_turn(port), state->written[i] = 0;
      const std::size_t left = bytes.size() - state->written[i];
      state->written[i] +=
          client.exchange(std::string_view(bytes).substr(state->written[i], std::min(piece, left)), ignored)
              .value_or(0);
    }
  };
}

// ---- one client at full speed

std::string now_ms() { return std::to_string(unix_now() / ms); }
std::string next_name() {
  static std::uint64_t names = 0;
  char text[17];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(0xbad0000000000000ull + ++names));
  return text;
}
constexpr std::size_t no_bound = ~std::size_t{0};
constexpr std::size_t protocol_bound = 32; // open requests on a connection

std::function<std::function<void()>(int)> flood_of(std::size_t most_open,
                                                   std::function<std::string(std::uint32_t)> next) {
  return [=](int port) -> std::function<void()> {
    return [flooder = std::make_shared<Flooder>(port, most_open, next)] { flooder->turn(); };
  };
}

void test_crowds(const std::string& program) {
  test(program, "hundreds of clients write a request byte by byte",
       [](int port) { return write_in_pieces(port, ask(1, next_name()), 1, 20 * ms); });
  test(program, "hundreds of clients stop half way through a large request",
       [](int port) { return write_in_pieces(port, large_request().substr(0, 125'000), 125'000, 20 * ms); });
  test(program, "hundreds of clients send heads of very many short fields",
       [](int port) { return write_in_pieces(port, many_short_fields(), 1500, 5 * ms); });
}

void test_floods(const std::string& program) {
  test(program, "one client sends health checks at full speed",
       flood_of(no_bound, [](std::uint32_t stream) { return frame_of(frames::health_check, stream, {}); }));
  test(program, "one client sends requests of an unknown class at full speed",
       flood_of(protocol_bound, [](std::uint32_t stream) {
         return ask(stream, next_name(), {{"verb", next_name()}});
       }));
  test(program, "one client sends requests of unknown tenants at full speed",
       flood_of(protocol_bound, [](std::uint32_t stream) {
         return ask(stream, next_name(), {{"team", next_name()}});
       }));
  test(program, "one client sends bookings under new keys at full speed",
       flood_of(protocol_bound, [](std::uint32_t stream) {
         return ask(stream, next_name(),
                    {{"verb", "booking"}, {"team", "main-lot"}, {"door", now_ms()}, {"unique", next_name()}},
                    "w=2;c=0;");
       }));
  test(program, "one client sends reads of new items from new callers at full speed",
       flood_of(protocol_bound, [](std::uint32_t stream) {
         return ask(stream, next_name(),
                    {{"verb", "bay-check"},
                     {"team", "long-stay"},
                     {"door", now_ms()},
                     {"item", next_name()},
                     {"lb", std::to_string(stream)}},
                    "w=2;c=0;");
       }));
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
  test_crowds(arguments[1]);
  test_floods(arguments[1]);
  std::filesystem::remove_all(work_folder);
}
