// Test drivers whose output is compared with a stored trace. A Driver drives a single DecisionModule and
// prints its decisions. A TestConnection is one end of a connection, operated by the test, whose other end is
// the socket code under test.
#pragma once

#include "decision_module.hpp"
#include "frames.hpp"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <functional>
#include <initializer_list>
#include <memory>
#include <netinet/tcp.h>
#include <optional>
#include <set>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

using namespace cometshift;

constexpr Nanos ms = 1'000'000;

// Fields of an op that a test sends. Unset fields have typical values.
struct OpFields {
  unsigned type = 0;
  unsigned tenant = 0;
  Nanos time_left = 0; // ms
  Nanos waited = 0;    // ms
  double kb = 10;
  std::int64_t key = -1;
  OpId original = no_op_id;
  unsigned caller = 0;
  bool is_retry = false;
  Nanos work_estimate = 0; // ms
};

// Prints the decisions of one DecisionModule, with simulated time in ms.
class Driver final : public Server {
  std::unique_ptr<DecisionModule> module_;
  Nanos now_ = 0;
  Nanos wake_ = 0;
  bool healthy_ = false;
  std::array<double, 2> gauges_{1, 0};

  inline static bool line_open_ =
      false; // a line has been started; actions at the same time are appended to it
  inline static Nanos line_time_ = 0;

  void emit(std::string text, const std::string& rest = {}) {
    if (quiet) return;
    text += rest;
    if (line_open_ && line_time_ == now_) {
      std::printf(", %s", text.c_str());
      return;
    }
    end_line();
    std::printf("%6lld  %s", now_ms(), text.c_str());
    line_open_ = true;
    line_time_ = now_;
  }
  static std::string id_text(OpId op) { return std::string(1, ' ').append(std::to_string(op.raw)); }
  static std::string duration_text(Nanos time) {
    return std::string(" for ").append(std::to_string(time / ms));
  }
  static std::string value_text(double value) {
    char text[16];
    std::snprintf(text, sizeof text, " %.2f", value);
    return text;
  }
  long long now_ms() const { return static_cast<long long>(now_ / ms); }

 public:
  std::set<OpId> running; // started and not yet ended by the test
  bool quiet = false;     // suppresses output
  double last_feedback = -1;

  // Two cores, a retryable op type 0 and a keyed op type 1. `overrides` are changed or added, `removed` are
  // left out.
  explicit Driver(std::initializer_list<Settings::value_type> overrides = {},
                  std::initializer_list<const char*> removed = {}) {
    Settings settings{{"cores", 2.0},
                      {"fall_multiple", 4.0},
                      {"memory_kb", 10000.0},
                      {"run_factor", 4.0},
                      {"key_kb", 5.0},
                      {"drain_grace_ns", 2e9},
                      {"fleet_size", 1.0},
                      {"gauge.0", std::string("cores_busy")},
                      {"gauge.1", std::string("on_cores")},
                      {"callers", 2.0}};
    for (const char* type : {"op_type.0.", "op_type.1."}) {
      settings[std::string(type) + "op_timeout_ns"] = 4e9;
      settings[std::string(type) + "target_latency_ns"] = 2e9;
      settings[std::string(type) + "may_call"] = 1.0;
    }
    settings["op_type.1.repeats"] = std::string("keyed");
    settings["op_type.1.key_window_ns"] = 10e9;
    settings["op_type.1.importance"] = 3.0;
    for (const auto& [name, value] : overrides) settings[name] = value;
    for (const char* name : removed) settings.erase(name);
    end_line();
    module_ = std::make_unique<DecisionModule>(0, 7, settings, *this);
    if (!healthy_) emit("no stored health");
  }

  ~Driver() override { end_line(); }
  static void end_line() {
    if (line_open_) std::puts("");
    line_open_ = false;
  }

  void run(OpId op) override { running.insert(op), emit("run", id_text(op)); }
  void nack(OpId op, Reason, bool no_retry, Nanos) override {
    emit(no_retry ? "nack for good" : "nack", id_text(op));
  }
  void fail(OpId op, Reason) override { emit("fail", id_text(op)); }
  void call(OpId op, Nanos time_out) override { emit("call", id_text(op) + duration_text(time_out)); }
  void answer_without_call(OpId op) override { emit("answer without", id_text(op)); }
  void keep_key(OpId op, Nanos life) override { emit("keep", id_text(op) + duration_text(life)); }
  void forget_key(OpId op) override { emit("forget", id_text(op)); }
  void reuse(OpId op) override { emit("reuse", id_text(op)); }
  void halt(OpId op) override { emit("halt", id_text(op)); }
  void health(bool good, bool stored) override {
    if (!module_ && good && stored)
      healthy_ = true; // expected at the start and not printed
    else
      emit(good ? "health good" : "health bad", stored ? " (stored)" : "");
  }
  void notify_callers(double value) override { last_feedback = value, emit("tell", value_text(value)); }
  void set_idle_timeout(Nanos after) override { emit("idle close", duration_text(after)); }
  void wake_at(Nanos when, WakeId) override { wake_ = when; }
  void log(std::string_view words) override { emit("log ", std::string(words)); }

  void section(const std::string& words) {
    end_line();
    std::printf("# %s\n", words.c_str());
  }
  void gauges(double busy, double wanted) { gauges_ = {busy, wanted}; }
  // Runs until a time in ms, including every requested wake-up.
  void run_until(Nanos time) {
    while (wake_ <= time * ms) {
      now_ = wake_;
      module_->woken(now_, WakeId{1}, gauges_);
    }
    now_ = time * ms;
  }
  void run_for(Nanos time) { run_until(now_ / ms + time); }
  // Makes the clock jump as for a process that was paused: the wake-ups come late.
  void pause_process(Nanos time) {
    now_ += time * ms;
    wake_ = std::max(wake_, now_);
  }
  void read(unsigned id, OpFields fields = {}) {
    module_->op_read(now_, OpId{id}, OpTypeId{fields.type}, TenantId{fields.tenant}, KeyId{fields.key},
                     CallerId{fields.caller}, fields.time_left * ms, fields.waited * ms,
                     fields.work_estimate * ms, fields.kb, 0.5, fields.is_retry, fields.original);
  }
  // Trains the module with runs of these lengths in ms of the two op types, each with a call if `call` is
  // set, without output.
  void train(Nanos retryable, Nanos keyed, int ops = 20, Nanos call = 0) {
    quiet = true;
    for (unsigned id = 100; ops-- > 0; ++id) {
      const Nanos length = id % 2 ? keyed : retryable;
      read(id, {.type = id % 2, .kb = 1});
      run_for(length);
      if (call > 0) call_wanted(id), run_for(call), call_ended(id, Outcome::done, call);
      run_ended(id, Outcome::done, length + call);
    }
    quiet = false;
  }
  void cancel(unsigned id) { module_->op_cancelled(now_, OpId{id}); }
  void run_ended(unsigned id, Outcome outcome = Outcome::done, Nanos elapsed = 100) {
    running.erase(OpId{id});
    module_->run_ended(now_, OpId{id}, outcome, elapsed * ms);
  }
  void call_wanted(unsigned id) { module_->call_wanted(now_, OpId{id}); }
  void call_ended(unsigned id, Outcome outcome = Outcome::done, Nanos elapsed = 50) {
    module_->call_ended(now_, OpId{id}, outcome, elapsed * ms);
  }
  void drain(Nanos left) { module_->drain(now_, now_, left * ms); }
};

// While an object of this class exists, only descriptors that are closed meanwhile are free.
class NoFreeDescriptors {
  rlimit before_{};
  std::vector<int> taken_;

 public:
  NoFreeDescriptors() {
    const int next = dup(0);
    close(next);
    getrlimit(RLIMIT_NOFILE, &before_);
    const rlimit few{static_cast<rlim_t>(next) + 2, before_.rlim_max};
    setrlimit(RLIMIT_NOFILE, &few);
    for (int fd; (fd = dup(0)) >= 0;) taken_.push_back(fd);
  }
  ~NoFreeDescriptors() {
    for (const int fd : taken_) close(fd);
    setrlimit(RLIMIT_NOFILE, &before_);
  }
  NoFreeDescriptors(const NoFreeDescriptors&) = delete;
  NoFreeDescriptors& operator=(const NoFreeDescriptors&) = delete;
};

// One end of a TCP connection on loopback, operated by the test.
class TestConnection {
  int fd_;
  std::string received_;
  bool ended_ = false;
  bool was_reset_ = false;

  static sockaddr_in loopback_address(int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(0x7f000000u | (0x10000u + static_cast<unsigned>(getpid())) % 0xfffffeu);
    return at;
  }
  static int non_blocking(int fd) {
    if (fd < 0) std::perror("socket"), std::exit(2);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    return fd;
  }

 public:
  inline static std::function<void()> turn = [] {}; // lets the code under test handle what is ready

  explicit TestConnection(int fd) : fd_(non_blocking(fd)) {}
  TestConnection(TestConnection&& other)
      : fd_(std::exchange(other.fd_, -1)), received_(std::move(other.received_)), ended_(other.ended_),
        was_reset_(other.was_reset_) {}
  TestConnection& operator=(TestConnection&& other) {
    std::swap(fd_, other.fd_), std::swap(received_, other.received_), std::swap(ended_, other.ended_);
    std::swap(was_reset_, other.was_reset_);
    return *this;
  }
  ~TestConnection() { close(fd_); }

  // Every test process has its own loopback address.
  static std::string at(int port) {
    char text[INET_ADDRSTRLEN];
    const sockaddr_in there = loopback_address(port);
    return std::string(inet_ntop(AF_INET, &there.sin_addr, text, sizeof text)) + ":" + std::to_string(port);
  }
  static TestConnection listening(int port) {
    const sockaddr_in there = loopback_address(port);
    TestConnection peer(socket(AF_INET, SOCK_STREAM, 0));
    const int on = 1;
    setsockopt(peer.fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(peer.fd_, reinterpret_cast<const sockaddr*>(&there), sizeof there) || listen(peer.fd_, 16))
      std::perror("listen"), std::exit(2);
    return peer;
  }
  static TestConnection to(int port) {
    const sockaddr_in there = loopback_address(port);
    TestConnection peer(socket(AF_INET, SOCK_STREAM, 0));
    connect(peer.fd_, reinterpret_cast<const sockaddr*>(&there), sizeof there);
    turn();
    return peer;
  }
  // For use on another thread: gives the code under test no turn, and waits for nothing.
  static TestConnection connect_without_turn(int port) {
    const sockaddr_in there = loopback_address(port);
    TestConnection peer(socket(AF_INET, SOCK_STREAM, 0));
    connect(peer.fd_, reinterpret_cast<const sockaddr*>(&there), sizeof there);
    return peer;
  }
  void flood(std::string_view bytes) { // sends, and discards what it receives
    char taken[16 * 1024];
    if (send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) <= 0) usleep(50);
    while (recv(fd_, taken, sizeof taken, 0) > 0) {
    }
  }
  // Sends what the socket takes now, and appends what it has received. Nothing: the connection has ended.
  std::optional<std::size_t> exchange(std::string_view bytes, std::string& received) {
    char piece[16 * 1024];
    ssize_t n = 0;
    while ((n = recv(fd_, piece, sizeof piece, 0)) > 0) received.append(piece, static_cast<std::size_t>(n));
    if (n == 0 || errno != EAGAIN) ended_ = true;
    if (ended_) return std::nullopt;
    const ssize_t sent = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno != EAGAIN) ended_ = true;
    return sent < 0 ? 0 : static_cast<std::size_t>(sent);
  }
  TestConnection next() { // the next connection to this listener
    int fd = -1;
    until("a connection", [&] { return (fd = accept(fd_, nullptr, nullptr)) >= 0; });
    return TestConnection(fd);
  }
  // Takes turns until `so()` holds. The test fails if that does not happen within ten seconds.
  template <class So>
  static void until(const char* what, So so) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    for (; !so(); turn())
      if (std::chrono::steady_clock::now() > end) std::printf("no %s came\n", what), std::exit(1);
  }
  void say(std::string_view bytes) {
    for (ssize_t n; !bytes.empty(); turn())
      if ((n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL)) > 0)
        bytes.remove_prefix(static_cast<std::size_t>(n));
      else if (n < 0 && errno != EAGAIN && errno != ENOTCONN)
        return;
    turn();
  }
  void reset_without_turn() {
    const linger at_once{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close(std::exchange(fd_, -1));
  }
  void reset() { reset_without_turn(), turn(); }
  void set_small_window() { // receives as little at a time as possible
    const int least = 1;
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &least, sizeof least);
  }
  void set_no_delay() { // small writes are not delayed until earlier ones are acknowledged
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  void stop_sending() { shutdown(fd_, SHUT_WR), turn(); }
  bool refused() const { // whether its connection was refused
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == ECONNREFUSED;
  }
  void hear() {
    char bytes[4096];
    const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
    if (n > 0) received_.append(bytes, static_cast<std::size_t>(n));
    was_reset_ = was_reset_ || (n < 0 && errno == ECONNRESET);
    ended_ = ended_ || n == 0 || was_reset_;
  }
  // Returns whether the connection was reset. After a complete ending it was not, even if data is sent
  // afterwards.
  bool was_reset() { return hear(), was_reset_; }
  // Sends without giving the code under test a turn, like data that arrives between two of its steps.
  void send_without_turn(std::string_view bytes) {
    if (send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) was_reset_ = true;
  }
  bool ended() {
    hear();
    return ended_;
  }
  void to_end() {
    until("end", [this] { return ended(); });
  }
  bool has_line() { return hear(), received_.find('\n') != std::string::npos; }
  bool has(std::size_t size) { return hear(), received_.size() >= size; }
  std::string take(std::size_t size) {
    until("bytes", [&] { return has(size); });
    const std::string taken = received_.substr(0, size);
    received_.erase(0, size);
    return taken;
  }
  std::string line() { // the next line without its end
    std::size_t end = 0;
    until("line", [&] { return hear(), (end = received_.find('\n')) != std::string::npos; });
    std::string taken = take(end + 1);
    taken.erase(taken.find_last_not_of("\r\n") + 1);
    return taken;
  }
  // Returns an HTTP request: its first line, the named headers and its body.
  std::string request(std::initializer_list<const char*> headers) {
    std::string said = line();
    std::size_t size = 0;
    for (std::string head = line(); !head.empty(); head = line()) {
      if (head.starts_with("Content-Length: ")) size = std::stoul(head.substr(16));
      for (const char* name : headers)
        if (head.starts_with(name)) said += " | " + head;
    }
    return said + " | " + take(size);
  }
  // Returns a description of the next frame.
  std::string frame() {
    const std::string length = take(4);
    const std::string rest = take(frames::read_le(length.data(), 4));
    const int type = rest[0];
    std::string said = type == frames::response          ? "answer"
                       : type == frames::health_response ? "checked"
                       : type == frames::go_away         ? "no more"
                                                         : "type " + std::to_string(type);
    said += " on " + std::to_string(frames::read_le(rest.data() + 1, 4));
    if (rest.size() == 5) return said;
    said += ": code " + std::to_string(static_cast<int>(rest[5]));
    std::string_view body;
    const auto field = [&](std::string_view name, std::string_view value) {
      if (name != "later") said.append(", ").append(name).append(" ").append(value);
    };
    if (!frames::for_each_field(std::string_view(rest).substr(6), field, body)) said += ", unreadable fields";
    if (body.size() > 40) return said + ", " + std::to_string(body.size()) + " bytes";
    return body.empty() ? said : said.append(", ").append(body);
  }
};

using Fields = std::vector<std::pair<std::string, std::string>>;

// Encodes a frame as balancers send them.
inline std::string frame_of(int type, std::uint32_t stream, const Fields& fields,
                            std::string_view body = {}) {
  const auto put = [](std::string& out, std::size_t value, int bytes) {
    for (; bytes > 0; --bytes, value >>= 8) out += static_cast<char>(value & 0xff);
  };
  std::string payload(1, static_cast<char>(fields.size()));
  for (const auto& [name, value] : fields) {
    put(payload, name.size(), 1);
    payload += name;
    put(payload, value.size(), 2);
    payload += value;
  }
  std::string out;
  put(out, 5 + payload.size() + body.size(), 4);
  put(out, static_cast<std::size_t>(type), 1);
  put(out, stream, 4);
  return out.append(payload).append(body);
}
// Encodes a request with typical fields. Of two fields with the same name the later one counts, and an empty
// one is left out.
inline std::string ask(std::uint32_t stream, const std::string& txn, const Fields& other = {},
                       std::string_view body = "body") {
  Fields fields{{"verb", "look"}, {"txn", txn},      {"door", "1000"}, {"lb", "4"},
                {"team", "acme"}, {"limit", "4000"}, {"ram", "24.5"},  {"standing", "0.625"}};
  for (const auto& [name, value] : other) {
    std::erase_if(fields, [&](const auto& field) { return field.first == name; });
    if (!value.empty()) fields.emplace_back(name, value);
  }
  return frame_of(frames::request, stream, fields, body);
}
