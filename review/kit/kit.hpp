// Stand-ins and helpers for the review cases: the platform (interpreter, records service, announce service),
// a balancer's connection, and the server as a child process. Written from PROTOCOL.md and DEPLOY.md. It uses
// threads and blocking sockets on loopback, and no library but the C++ and POSIX ones.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace kit {

inline std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void sleep_ms(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

// record.txt: what was sent, answered and run; times in ms since the start of the case.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), begin_(unix_ms()) {
    if (!file_) std::exit(2);
  }
  ~Record() { std::fclose(file_); }
  void line(const char* format, ...) {
    std::lock_guard lock(mutex_);
    std::fprintf(file_, "%7lld ", static_cast<long long>(unix_ms() - begin_));
    va_list args;
    va_start(args, format);
    std::vfprintf(file_, format, args);
    va_end(args);
    std::fputc('\n', file_);
  }
  void flush() {
    std::lock_guard lock(mutex_);
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
  std::int64_t begin_;
  std::mutex mutex_;
};

[[noreturn]] inline void cannot_run(const std::string& why) {
  std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
  std::exit(2);
}

inline sockaddr_in address(const std::string& host, int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &at.sin_addr);
  return at;
}
inline int listen_on(const std::string& host, int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = address(host, port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(fd, 512) != 0)
    cannot_run("listen");
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  port = ntohs(at.sin_port);
  return fd;
}
inline int connect_to(const std::string& host, int port, bool no_delay = true) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = address(host, port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  if (no_delay) setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}
inline bool write_all(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t n = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0) return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}
inline void reset(int fd) { // the connection ends with a reset
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

inline const char* base64_digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
inline std::string to_base64(const std::string& bytes) {
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const auto byte = [&](std::size_t k) {
      return i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0u;
    };
    const unsigned three = byte(0) << 16 | byte(1) << 8 | byte(2);
    out += base64_digits[three >> 18 & 63];
    out += base64_digits[three >> 12 & 63];
    out += i + 1 < bytes.size() ? base64_digits[three >> 6 & 63] : '=';
    out += i + 2 < bytes.size() ? base64_digits[three & 63] : '=';
  }
  return out;
}
inline std::string from_base64(const std::string& text) {
  std::string out;
  unsigned bits = 0, held = 0;
  for (const char c : text) {
    const char* at = c ? std::strchr(base64_digits, c) : nullptr;
    if (!at) break;
    bits = bits << 6 | static_cast<unsigned>(at - base64_digits);
    held += 6;
    if (held >= 8) out += static_cast<char>(bits >> (held -= 8) & 0xff);
  }
  return out;
}
// The text value of a key in a one-line JSON object without escapes in its values.
inline std::string json_text(const std::string& line, const std::string& key) {
  const std::string head = "\"" + key + "\":\"";
  const std::size_t at = line.find(head);
  if (at == std::string::npos) return {};
  const std::size_t from = at + head.size(), end = line.find('"', from);
  return line.substr(from, end - from);
}
inline std::uint64_t json_number(const std::string& line, const std::string& key) {
  const std::string head = "\"" + key + "\":";
  const std::size_t at = line.find(head);
  return at == std::string::npos ? 0 : std::strtoull(line.c_str() + at + head.size(), nullptr, 10);
}

// One try of a request, as the platform knows it.
struct Try {
  std::string id, verb, mark, body;
  std::int64_t door = 0, limit = 0;
  int run_ms = 0;            // length of its run
  std::int64_t ran_at = 0;   // start of its run; 0: not run
  std::int64_t ended_at = 0; // end of its run
  int runs = 0;              // how often it was run
  int code = -1;             // of its answer; -1: none
  std::int64_t answered_at = 0;
  bool over = false;    // answered, or given up by the balancer
  bool excused = false; // its answer was lost because the balancer's side reset the connection
  bool on_new = false;  // the server ended its connection before any answer on it
  std::int64_t ended_connection_at = 0;
};

// What the whole platform knows: all tries, in the order in which they were sent.
class Platform {
 public:
  std::mutex mutex;
  std::map<std::string, Try> tries;
  std::string new_id() {
    char text[20];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(next_ += 0x9e3779b97f4a7c15ull));
    return text;
  }

 private:
  std::uint64_t next_ = static_cast<std::uint64_t>(unix_ms()) << 20 | static_cast<std::uint64_t>(getpid());
};

// The interpreter: its cores have room, so each run takes the time that its try states.
class Interpreter {
 public:
  Interpreter(Platform& platform, Record& record, std::string host)
      : platform_(platform), record_(record), host_(std::move(host)) {
    listener_ = listen_on(host_, port_);
    std::thread([this] { accept_links(); }).detach();
    std::thread([this] { end_runs(); }).detach();
  }
  std::string at() const { return host_ + ":" + std::to_string(port_); }
  bool linked() const { return queries_ > 0; }
  // While its machine stands still, no run goes on and nothing is written to the server.
  void stand_still(bool yes) {
    std::lock_guard lock(mutex_);
    if (yes) {
      still_since_ = unix_ms();
    } else {
      std::multimap<std::int64_t, std::string> later;
      for (const auto& [end, id] : ends_) later.emplace(end + unix_ms() - still_since_, id);
      ends_ = std::move(later);
      still_since_ = 0;
      wake_.notify_one();
    }
  }

 private:
  void accept_links() {
    for (;;) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::uint64_t link;
      {
        std::lock_guard lock(mutex_);
        if (link_ >= 0) shutdown(link_, SHUT_RDWR); // a new link replaces the previous one
        link_ = fd;
        link = ++links_;
      }
      std::thread([this, fd, link] { read_link(fd, link); }).detach();
    }
  }
  void read_link(int fd, std::uint64_t link) {
    std::string in;
    char some[16384];
    for (;;) {
      const ssize_t n = read(fd, some, sizeof some);
      if (n <= 0) break;
      in.append(some, static_cast<std::size_t>(n));
      std::size_t from = 0;
      for (std::size_t end; (end = in.find('\n', from)) != std::string::npos; from = end + 1)
        command(in.substr(from, end - from), link);
      in.erase(0, from);
    }
    std::lock_guard lock(mutex_);
    if (links_ == link) link_ = -1;
    close(fd);
  }
  void say(const std::string& text) { // under mutex_
    if (link_ >= 0) write_all(link_, text + "\n");
  }
  void notice(const std::string& action, const std::string& rest) { // under mutex_
    const std::string text =
        "{\"action\":\"" + action + "\",\"pos\":" + std::to_string(++last_) + "," + rest + "}";
    notices_.emplace_back(last_, text);
    if (notices_.size() > 4000) notices_.pop_front();
    say(text);
  }
  void command(const std::string& line, std::uint64_t link) {
    std::lock_guard lock(mutex_);
    if (link != links_) return;
    const std::string action = json_text(line, "action");
    if (action == "CONNECT") {
      const std::uint64_t heard = json_number(line, "pos");
      say("{\"action\":\"BANNER\",\"code\":\"running\",\"wall_ms\":" + std::to_string(unix_ms() - up_at_) +
          "}");
      for (const auto& [number, text] : notices_)
        if (number > heard) say(text);
    } else if (action == "TOP") {
      ++queries_;
      char meters[64];
      std::snprintf(meters, sizeof meters, "[%.3f,%zu,0.1,10]",
                    std::min(1.0, static_cast<double>(ends_.size()) / 64), ends_.size());
      say("{\"action\":\"TOPS\",\"echo\":\"" + json_text(line, "echo") + "\",\"meters\":" + meters + "}");
    } else if (action == "APPLY") {
      const std::string id = json_text(line, "uid");
      std::lock_guard also(platform_.mutex);
      const auto at = platform_.tries.find(id);
      if (at == platform_.tries.end() || at->second.verb != json_text(line, "lane") ||
          at->second.body != from_base64(json_text(line, "content")))
        return say("{\"action\":\"ERROR\",\"code\":\"APPLY\",\"uid\":\"" + id + "\"}");
      Try& one = at->second;
      if (running_.contains(id)) return;
      if (one.over) return notice("VALUE", "\"uid\":\"" + id + "\",\"code\":\"late\",\"wall_ms\":0");
      running_.insert(id);
      one.ran_at = unix_ms();
      ++one.runs;
      record_.line("run      %s mark %s", id.c_str(), one.mark.c_str());
      ends_.emplace(one.ran_at + one.run_ms, id);
      wake_.notify_one();
    }
  }
  void end_runs() {
    std::unique_lock lock(mutex_);
    for (;;) {
      if (ends_.empty() || still_since_ > 0) {
        wake_.wait(lock);
        continue;
      }
      const std::int64_t left = ends_.begin()->first - unix_ms();
      if (left > 0) {
        wake_.wait_for(lock, std::chrono::milliseconds(left));
        continue;
      }
      const std::string id = ends_.begin()->second;
      ends_.erase(ends_.begin());
      running_.erase(id);
      std::int64_t took;
      {
        std::lock_guard also(platform_.mutex);
        Try& one = platform_.tries[id];
        one.ended_at = unix_ms();
        took = one.ended_at - one.ran_at;
      }
      notice("VALUE", "\"uid\":\"" + id + "\",\"code\":\"fine\",\"wall_ms\":" + std::to_string(took) +
                          ",\"content\":\"" + to_base64("result of " + id) + "\"");
    }
  }

  Platform& platform_;
  Record& record_;
  std::string host_;
  int port_ = 0, listener_ = -1, link_ = -1;
  std::uint64_t links_ = 0, last_ = 0;
  std::atomic<std::uint64_t> queries_{0};
  std::int64_t up_at_ = unix_ms(), still_since_ = 0;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::pair<std::uint64_t, std::string>> notices_;
  std::multimap<std::int64_t, std::string> ends_;
  std::set<std::string> running_;
};

// An HTTP service that answers every request alike: the records service or the announce service.
class HttpService {
 public:
  HttpService(std::string host, std::string reply) : host_(std::move(host)), reply_(std::move(reply)) {
    listener_ = listen_on(host_, port_);
    std::thread([this] {
      for (;;) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) std::thread([this, fd] { serve(fd); }).detach();
      }
    }).detach();
  }
  std::string at() const { return host_ + ":" + std::to_string(port_); }

 private:
  void serve(int fd) {
    std::string in;
    char some[4096];
    for (;;) {
      std::size_t head;
      while ((head = in.find("\r\n\r\n")) == std::string::npos || in.size() < head + 4 + length(in)) {
        const ssize_t n = read(fd, some, sizeof some);
        if (n <= 0) return void(close(fd));
        in.append(some, static_cast<std::size_t>(n));
      }
      in.erase(0, head + 4 + length(in));
      if (!write_all(fd, reply_)) return void(close(fd));
    }
  }
  static std::size_t length(const std::string& in) {
    const std::size_t at = in.find("Content-Length: ");
    return at == std::string::npos ? 0 : std::strtoull(in.c_str() + at + 16, nullptr, 10);
  }
  std::string host_, reply_;
  int port_ = 0, listener_ = -1;
};

// The server, started by the deploy file's `run` command.
class Server {
 public:
  Server(const std::string& config, const std::string& log) {
    pid_ = fork();
    if (pid_ < 0) cannot_run("fork");
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);             // it does not outlive the case
      const char* run = std::getenv("RUN_COMMAND"); // `run` of the deploy file
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
      dup2(out, 1);
      dup2(out, 2);
      setenv("RELAY_CONFIG", config.c_str(), 1);
      execl("/bin/sh", "sh", "-c", run ? run : "exec build/cometshift", static_cast<char*>(nullptr));
      _exit(127);
    }
  }
  ~Server() {
    if (running()) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
  }
  void signal(int number) {
    if (running()) kill(pid_, number);
  }
  bool running() {
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = -1;
    return pid_ > 0;
  }
  int status() const { return status_; } // of its end, as waitpid reports it

 private:
  pid_t pid_ = -1;
  int status_ = 0;
};

inline void put(std::string& out, std::uint64_t value, int bytes) {
  for (; bytes > 0; --bytes, value >>= 8) out += static_cast<char>(value & 0xff);
}
inline std::uint64_t get(const std::string& in, std::size_t at, int bytes) {
  std::uint64_t value = 0;
  for (int i = bytes; i-- > 0;)
    value = value << 8 | static_cast<unsigned char>(in[at + static_cast<std::size_t>(i)]);
  return value;
}
inline std::string request_frame(std::uint32_t stream,
                                 const std::vector<std::pair<std::string, std::string>>& fields,
                                 const std::string& body, int type = 10) {
  std::string payload;
  put(payload, fields.size(), 1);
  for (const auto& [name, value] : fields) {
    put(payload, name.size(), 1);
    payload += name;
    put(payload, value.size(), 2);
    payload += value;
  }
  std::string out;
  put(out, 5 + payload.size() + body.size(), 4);
  put(out, static_cast<unsigned>(type), 1);
  put(out, stream, 4);
  return out + payload + body;
}

// A balancer: one connection at a time, opened when it is needed; a new one after go_away or a reset.
class Balancer {
 public:
  using Answered = std::function<void(const Try&)>;
  Balancer(Platform& platform, Record& record, int number, std::string host, int port, Answered answered)
      : platform_(platform), record_(record), number_(number), host_(std::move(host)), port_(port),
        answered_(std::move(answered)) {}

  // Sends one try. Returns false if no connection could be made: nothing was sent then.
  bool send_try(Try one) {
    std::lock_guard lock(mutex_);
    if (!line_ || line_->closing || line_->ended || line_->open.size() >= 32) {
      const int fd = connect_to(host_, port_);
      if (fd < 0) return false;
      line_ = std::make_shared<Line>();
      line_->fd = fd;
      std::thread([this, line = line_] { read_line(line); }).detach();
    }
    const std::uint32_t stream = ++line_->streams;
    one.door = unix_ms();
    line_->open[stream] = one.id;
    std::vector<std::pair<std::string, std::string>> fields{{"verb", one.verb},
                                                            {"txn", one.id},
                                                            {"door", std::to_string(one.door)},
                                                            {"lb", std::to_string(number_)},
                                                            {"team", "main-lot"},
                                                            {"limit", std::to_string(one.limit)},
                                                            {"ram", "8.2"},
                                                            {"standing", "0.5000"}};
    if (!one.mark.empty()) fields.emplace_back("unique", one.mark);
    const std::string frame = request_frame(stream, fields, one.body);
    record_.line("send     %s %s mark %s lb %d limit %lld", one.id.c_str(), one.verb.c_str(),
                 one.mark.c_str(), number_, static_cast<long long>(one.limit));
    {
      std::lock_guard also(platform_.mutex);
      platform_.tries[one.id] = one;
    }
    if (holding_)
      held_.emplace_back(line_->fd, frame);
    else
      write_all(line_->fd, frame);
    return true;
  }
  // Sends several tries with one write. `before_write` is called when all is ready to be written.
  void send_batch(std::vector<Try> tries, const std::function<void()>& before_write) {
    hold();
    for (Try& one : tries) send_try(std::move(one));
    std::map<int, std::string> bytes;
    for (const auto& [fd, frame] : held_) bytes[fd] += frame;
    before_write();
    for (const auto& [fd, all] : bytes) write_all(fd, all);
    held_.clear();
    std::lock_guard lock(mutex_);
    holding_ = false;
  }
  // While the server's machine stands still nothing is written to it; what is sent meanwhile is written at
  // its end.
  void hold() {
    std::lock_guard lock(mutex_);
    holding_ = true;
  }
  void release() {
    for (const auto& [fd, frame] : held_) write_all(fd, frame);
    held_.clear();
    std::lock_guard lock(mutex_);
    holding_ = false;
  }
  // Resets the connection as an answer comes: the next bytes that arrive are dropped, with all that is open.
  void reset_at_next_answer() {
    std::lock_guard lock(mutex_);
    if (line_) line_->reset_next = true;
  }

 private:
  struct Line {
    int fd = -1;
    std::uint32_t streams = 0;
    std::map<std::uint32_t, std::string> open;
    bool closing = false, ended = false, reset_next = false, answered = false;
  };
  void read_line(const std::shared_ptr<Line>& line) {
    std::string in;
    char some[16384];
    for (;;) {
      const ssize_t n = read(line->fd, some, sizeof some);
      if (n <= 0) break;
      {
        std::lock_guard lock(mutex_);
        if (line->reset_next) {
          reset(line->fd);
          break;
        }
      }
      in.append(some, static_cast<std::size_t>(n));
      std::size_t from = 0;
      while (in.size() - from >= 9 && in.size() - from >= get(in, from, 4) + 4) {
        const std::size_t size = get(in, from, 4) + 4;
        frame(*line, in.substr(from, size));
        from += size;
      }
      in.erase(0, from);
      std::lock_guard lock(mutex_);
      if (line->closing && line->open.empty()) break;
    }
    std::vector<std::string> lost;
    bool was_reset, was_new;
    {
      std::lock_guard lock(mutex_);
      line->ended = true;
      close(line->fd);
      was_new = !line->answered;
      was_reset = line->reset_next;
      for (const auto& [stream, id] : line->open) lost.push_back(id);
      line->open.clear();
    }
    for (const std::string& id : lost) {
      Try one;
      {
        std::lock_guard lock(platform_.mutex);
        Try& kept = platform_.tries[id];
        kept.over = true;
        kept.excused = was_reset;
        kept.on_new = was_new && !was_reset;
        kept.ended_connection_at = unix_ms();
        one = kept;
      }
      record_.line("%s %s lb %d", was_reset ? "reset   " : "ended   ", id.c_str(), number_);
      if (answered_) answered_(one);
    }
  }
  void frame(Line& line, const std::string& bytes) {
    const int type = static_cast<int>(get(bytes, 4, 1));
    if (type == 30) {
      std::lock_guard lock(mutex_);
      line.closing = true;
      return;
    }
    const auto stream = static_cast<std::uint32_t>(get(bytes, 5, 4));
    if (type != 11 || stream == 0) return;
    std::string id;
    {
      std::lock_guard lock(mutex_);
      const auto at = line.open.find(stream);
      if (at == line.open.end()) return;
      id = at->second;
      line.open.erase(at);
      line.answered = true;
    }
    Try one;
    {
      std::lock_guard lock(platform_.mutex);
      Try& kept = platform_.tries[id];
      kept.code = static_cast<int>(get(bytes, 9, 1));
      kept.answered_at = unix_ms();
      kept.over = true;
      one = kept;
    }
    record_.line("answer   %s code %d lb %d", id.c_str(), one.code, number_);
    if (answered_) answered_(one);
  }

  Platform& platform_;
  Record& record_;
  int number_;
  std::string host_;
  int port_;
  Answered answered_;
  std::mutex mutex_;
  std::shared_ptr<Line> line_;
  bool holding_ = false;
  std::vector<std::pair<int, std::string>> held_;
};

// The settings of parking-windhoek (kit/sites/parking-windhoek.toml, and the example of WIRE, section 7).
struct Site {
  int memory_mb = 64, sockets = 512, stop_ms = 3200;
  double cpus = 6, mem_limit_kb = 60000, key_kb = 1.5;
};
inline std::string configuration(const Site& site, const std::string& listen, const std::string& vm,
                                 const std::string& announce, const std::string& records) {
  char text[4096];
  std::snprintf(text, sizeof text,
                "{\"name\":\"n1\",\"listen\":\"%s\",\"vm\":\"%s\",\"announce\":\"%s\",\"records\":\"%s\","
                "\"seed\":\"8c1f30d27a5be964\","
                "\"stop_ms\":%d,\"limits\":{\"cores\":1.0,\"memory_mb\":%d,\"sockets\":%d},\"settings\":{"
                "\"fleet_size\":1,\"value_by\":\"request\",\"over_share_worth\":0.05,\"family_info\":{"
                "\"callers\":3,\"cpus\":%g,"
                "\"mem_limit_kb\":%g,\"run_factor\":4.0,\"key_kb\":%g,\"below\":\"common\",\"calls_out\":60,"
                "\"calls_over_ns\":5000000000,"
                "\"stays_for_ns\":200000000,\"calls_by_class\":[true,true],\"class_skip_worth\":[0,0],"
                "\"cold\":false,\"say\":\"min_rank\","
                "\"heeded_ns\":1000000000,\"idle_ns\":30000000000,\"gauges\":[\"cpu_busy\",\"runnable\","
                "\"mem_used\",\"sockets\"],"
                "\"halt\":\"none\",\"passes_deadline\":true,\"fresh_for_ns\":0},\"categories\":["
                "{\"name\":\"bay-check\",\"importance\":1,\"target_ns\":1400000000,\"deadline_ns\":"
                "3600000000,\"late_share\":0,\"effect\":\"read_like\"},"
                "{\"name\":\"booking\",\"importance\":2,\"target_ns\":2400000000,\"deadline_ns\":6100000000,"
                "\"late_share\":0,"
                "\"effect\":\"idempotency_key\",\"key_ttl_ns\":18276000000}],"
                "\"parties\":[{\"name\":\"main-lot\",\"share\":0.39,\"quota_rps\":1000},{\"name\":\"long-"
                "stay\",\"share\":0.35,\"quota_rps\":1000}],"
                "\"invariants\":{\"answer_slack_ns\":100000000,\"drain_grace_ns\":2000000000,\"fall_"
                "multiple\":8,\"fall_ns\":1500000000,"
                "\"cold_from\":0.22,\"warm_after_ns\":18000000000},\"limits\":{\"retry_after\":true,\"max_"
                "retry_after_ns\":1000000000},"
                "\"clients\":{\"marks_retry\":false}}}",
                listen.c_str(), vm.c_str(), announce.c_str(), records.c_str(), site.stop_ms, site.memory_mb,
                site.sockets, site.cpus, site.mem_limit_kb, site.key_kb);
  return text;
}
inline std::string write_configuration(const std::string& folder, const std::string& text) {
  const std::string path = folder + "/config.json";
  std::ofstream(path) << text;
  return path;
}
// A port that is free at this moment.
inline int free_port(const std::string& host) {
  int port = 0;
  const int fd = listen_on(host, port);
  close(fd);
  return port;
}
// A loopback address of this process's own.
inline std::string own_host() {
  const unsigned me = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + me % 250) + "." + std::to_string(me / 250 % 250) + ".1";
}
inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

inline const char* records_reply = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
inline const char* announce_reply = "HTTP/1.1 204 No Content\r\n\r\n";

} // namespace kit
