// Stand-ins for the second review: one server process started with the `run` command of the deploy file, and
// every other party of it on loopback (interpreter, records service, announce service, balancers), as the
// operators' protocol page describes them. One loop, one thread, POSIX sockets only.
#pragma once

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <string_view>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace stand {

using Millis = std::int64_t;

inline Millis unix_ms() {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return Millis{t.tv_sec} * 1000 + t.tv_nsec / 1'000'000;
}
inline double steady_ms() {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<double>(t.tv_sec) * 1e3 + static_cast<double>(t.tv_nsec) / 1e6;
}

// ---- the record: one line for each thing that was sent, answered, run or done
inline std::FILE* record_file = nullptr;
inline double record_began = 0;
__attribute__((format(printf, 1, 2))) inline void record(const char* format, ...) {
  if (!record_file) return;
  std::fprintf(record_file, "%10.1f ms  ", steady_ms() - record_began);
  va_list rest;
  va_start(rest, format);
  std::vfprintf(record_file, format, rest);
  va_end(rest);
  std::fputc('\n', record_file);
}
// Whether the stand-ins write a line for each request sent, each run begun and each answer.
inline bool record_each = false;
[[noreturn]] inline void cannot_run(const std::string& why) {
  record("the case could not run: %s", why.c_str());
  if (record_file) std::fflush(record_file);
  std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
  std::exit(2);
}
inline void open_record(const std::string& path) {
  record_file = std::fopen(path.c_str(), "w");
  if (!record_file) cannot_run("no record file " + path);
  record_began = steady_ms();
}

inline std::string hex16(std::uint64_t value) {
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}
inline std::string base64(std::string_view bytes) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const auto byte = [&](std::size_t k) {
      return k < bytes.size() ? static_cast<unsigned char>(bytes[k]) : 0u;
    };
    const unsigned three = byte(i) << 16 | byte(i + 1) << 8 | byte(i + 2);
    out += digits[three >> 18 & 63];
    out += digits[three >> 12 & 63];
    out += i + 1 < bytes.size() ? digits[three >> 6 & 63] : '=';
    out += i + 2 < bytes.size() ? digits[three & 63] : '=';
  }
  return out;
}
inline std::string from_base64(std::string_view text) {
  std::string out;
  unsigned bits = 0, held = 0;
  for (const char c : text) {
    unsigned v = 0;
    if (c >= 'A' && c <= 'Z')
      v = static_cast<unsigned>(c - 'A');
    else if (c >= 'a' && c <= 'z')
      v = static_cast<unsigned>(c - 'a') + 26;
    else if (c >= '0' && c <= '9')
      v = static_cast<unsigned>(c - '0') + 52;
    else if (c == '+')
      v = 62;
    else if (c == '/')
      v = 63;
    else
      break;
    bits = bits << 6 | v;
    held += 6;
    if (held >= 8) out += static_cast<char>(bits >> (held -= 8) & 0xff);
  }
  return out;
}
// The text value of "name":"..." in one line of JSON without escapes, which is all that the server writes.
inline std::string json_text(std::string_view line, std::string_view name) {
  const std::string key = "\"" + std::string(name) + "\":\"";
  const std::size_t at = line.find(key);
  if (at == std::string_view::npos) return {};
  const std::size_t from = at + key.size();
  return std::string(line.substr(from, line.find('"', from) - from));
}

// ---- the loop
class Loop {
 public:
  struct Handler {
    virtual ~Handler() = default;
    virtual void readable() = 0;
    virtual void writable() {}
    virtual bool wants_write() const { return false; }
  };
  void watch(int fd, std::shared_ptr<Handler> handler) { handlers_[fd] = std::move(handler); }
  void forget(int fd) { handlers_.erase(fd); }
  void after(double ms, std::function<void()> what) { timers_.emplace(steady_ms() + ms, std::move(what)); }
  void turn(double longest_ms) {
    const double now = steady_ms();
    double wait = longest_ms;
    if (!timers_.empty()) wait = std::min(wait, std::max(0.0, timers_.begin()->first - now));
    std::vector<pollfd> all;
    for (const auto& [fd, handler] : handlers_)
      all.push_back({fd, static_cast<short>(POLLIN | (handler->wants_write() ? POLLOUT : 0)), 0});
    timespec span{static_cast<time_t>(wait / 1000), static_cast<long>(wait * 1e6) % 1'000'000'000};
    if (ppoll(all.data(), all.size(), &span, nullptr) > 0)
      for (const pollfd& one : all) {
        const auto call = [&](auto what) {
          const auto at = handlers_.find(one.fd);
          if (at == handlers_.end()) return;
          const std::shared_ptr<Handler> held = at->second;
          what(*held);
        };
        if (one.revents & POLLOUT) call([](Handler& h) { h.writable(); });
        if (one.revents & (POLLIN | POLLHUP | POLLERR)) call([](Handler& h) { h.readable(); });
      }
    while (!timers_.empty() && timers_.begin()->first <= steady_ms()) {
      const auto what = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      what();
    }
  }
  // Runs until `done`, for `ms` at most. Returns whether it was done.
  bool until(const std::function<bool()>& done, double ms) {
    const double end = steady_ms() + ms;
    while (!done()) {
      if (steady_ms() >= end) return false;
      turn(5);
    }
    return true;
  }
  void run_for(double ms) {
    until([] { return false; }, ms);
  }

 private:
  std::map<int, std::shared_ptr<Handler>> handlers_;
  std::multimap<double, std::function<void()>> timers_;
};

// ---- sockets
struct Address {
  in_addr_t host = 0; // network order
  int port = 0;
  std::string text() const {
    char name[32];
    in_addr at{host};
    inet_ntop(AF_INET, &at, name, sizeof name);
    return std::string(name) + ":" + std::to_string(port);
  }
  sockaddr_in raw() const {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = host;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    return at;
  }
};
// A loopback address of this process's own.
inline in_addr_t own_host() {
  return htonl(0x7f000000u | (0x30000u + static_cast<unsigned>(getpid())) % 0xfffffeu);
}

class Connection : public Loop::Handler, public std::enable_shared_from_this<Connection> {
 public:
  Loop& loop;
  int fd;
  std::string in, out;
  bool open = true;
  std::function<void(Connection&)> on_data;  // takes from `in`
  std::function<void(Connection&)> on_close; // the other side ended it
  Connection(Loop& l, int f) : loop(l), fd(f) {
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  ~Connection() override {
    if (open) ::close(fd);
  }
  static std::shared_ptr<Connection> wrap(Loop& loop, int fd) {
    auto made = std::make_shared<Connection>(loop, fd);
    loop.watch(fd, made);
    return made;
  }
  static std::shared_ptr<Connection> dial(Loop& loop, const Address& to) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in at = to.raw();
    if (fd < 0 || connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
      if (fd >= 0) ::close(fd);
      return nullptr;
    }
    return wrap(loop, fd);
  }
  void send(std::string_view bytes) {
    out += bytes;
    writable();
  }
  void close() {
    if (!open) return;
    open = false;
    loop.forget(fd);
    ::close(fd);
  }
  void reset() {
    if (!open) return;
    const linger at_once{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
  }
  bool wants_write() const override { return !out.empty(); }
  void writable() override {
    if (!open || out.empty()) return;
    const ssize_t n = ::send(fd, out.data(), out.size(), MSG_NOSIGNAL);
    if (n > 0) out.erase(0, static_cast<std::size_t>(n));
  }
  void readable() override {
    const auto self = shared_from_this();
    char some[65536];
    for (;;) {
      const ssize_t n = open ? recv(fd, some, sizeof some, 0) : 0;
      if (!open) return;
      if (n > 0) {
        in.append(some, static_cast<std::size_t>(n));
        if (n < static_cast<ssize_t>(sizeof some)) break;
        continue;
      }
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) break;
      if (!in.empty() && on_data) on_data(*this);
      close();
      if (on_close) on_close(*this);
      return;
    }
    if (!in.empty() && on_data) on_data(*this);
  }
};

class Door : public Loop::Handler, public std::enable_shared_from_this<Door> {
 public:
  static std::shared_ptr<Door> open(Loop& loop, std::function<void(std::shared_ptr<Connection>)> taken) {
    auto made = std::make_shared<Door>(loop, std::move(taken));
    loop.watch(made->fd_, made);
    return made;
  }
  Door(Loop& loop, std::function<void(std::shared_ptr<Connection>)> taken)
      : loop_(loop), taken_(std::move(taken)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    address_.host = own_host();
    sockaddr_in at = address_.raw();
    if (bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(fd_, 512) != 0)
      cannot_run("a stand-in can't listen");
    socklen_t size = sizeof at;
    getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    address_.port = ntohs(at.sin_port);
  }
  ~Door() override { shut(); }
  const Address& address() const { return address_; }
  void shut() {
    if (fd_ < 0) return;
    loop_.forget(fd_);
    ::close(fd_);
    fd_ = -1;
  }
  void readable() override {
    for (;;) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (fd < 0) return;
      taken_(Connection::wrap(loop_, fd));
    }
  }

 private:
  Loop& loop_;
  std::function<void(std::shared_ptr<Connection>)> taken_;
  int fd_ = -1;
  Address address_;
};
// An address on which nothing listens yet.
inline Address free_address(in_addr_t host) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  Address address{host, 0};
  sockaddr_in at = address.raw();
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) cannot_run("no free port");
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  address.port = ntohs(at.sin_port);
  ::close(fd);
  return address;
}

// ---- the interpreter. It runs what a body asks for, "w=MS;c=CALLS;r=BYTES;": MS milliseconds of work in
// all, parted by the calls, and a result of so many bytes. It knows the requests that were written to the
// server.
class Interpreter {
 public:
  struct Request {
    std::string lane, body;
    bool over = false;
  };
  std::map<std::string, Request> requests; // by id; filled in by the balancers
  std::function<void(const std::string&)> on_start, on_end;
  std::map<std::string, int> begun;           // runs begun, by id
  std::map<std::string, std::string> results; // made, by id
  std::uint64_t late = 0, errors = 0;
  double cores = 6;
  bool hold_commands =
      false; // commands that arrive are kept unread until the link is broken, which loses them

  explicit Interpreter(Loop& loop) : loop_(loop) {
    door_ = Door::open(loop_, [this](std::shared_ptr<Connection> c) { take(std::move(c)); });
  }
  const Address& address() const { return door_->address(); }
  bool linked() const { return link_ && link_->open; }
  std::size_t running() const { return running_.size(); }
  // The request is answered, or nobody waits for it any more: a run of it that waits at a call ends there.
  void request_over(const std::string& id) {
    requests[id].over = true;
    const auto at = running_.find(id);
    if (at == running_.end() || !at->second.waiting) return;
    const double took = steady_ms() - at->second.began;
    running_.erase(at);
    notice("VALUE", "\"uid\":\"" + id + "\",\"code\":\"broken_off\",\"wall_ms\":" + std::to_string(took));
  }
  // From now on it listens at another address; the old one takes nothing new, and an open link there is
  // closed after 1.5 s.
  void move() {
    door_ = Door::open(loop_, [this](std::shared_ptr<Connection> c) { take(std::move(c)); });
    record("interpreter: moves to %s", address().text().c_str());
    loop_.after(1500, [this, old = std::weak_ptr(link_)] {
      if (const auto still = old.lock(); still && still == link_) link_->close();
    });
  }
  // The link breaks; what the server wrote and this process has not read is lost with it.
  void break_link() {
    if (!linked()) return;
    record("interpreter: the link breaks");
    link_->reset();
    link_.reset();
  }

 private:
  struct Run {
    int calls = 0;
    double part_ms = 0;
    bool waiting = false;
    double began = 0;
    std::size_t result_bytes = 0;
  };
  static double figure(const std::string& body, const char* name, double otherwise) {
    const std::size_t at = body.find(name);
    return at == std::string::npos ? otherwise : std::atof(body.c_str() + at + std::strlen(name));
  }
  void take(std::shared_ptr<Connection> c) {
    if (link_) link_->close();
    link_ = c;
    c->on_data = [this](Connection& from) {
      if (hold_commands) return;
      for (std::size_t end; from.open && (end = from.in.find('\n')) != std::string::npos;) {
        const std::string line = from.in.substr(0, end);
        from.in.erase(0, end + 1);
        command(line);
      }
    };
  }
  void say(const std::string& line) {
    if (linked()) link_->send(line + "\n");
  }
  void notice(const std::string& head, const std::string& rest) {
    const std::string line =
        "{\"action\":\"" + head + "\",\"pos\":" + std::to_string(++last_) + "," + rest + "}";
    notices_[last_] = line;
    if (notices_.size() > 4000) notices_.erase(notices_.begin());
    say(line);
  }
  void command(const std::string& line) {
    const std::string action = json_text(line, "action"), id = json_text(line, "uid");
    if (action == "CONNECT") {
      const std::size_t at = line.find("\"pos\":");
      const auto heard = std::strtoull(line.c_str() + at + 6, nullptr, 10);
      say("{\"action\":\"BANNER\",\"code\":\"running\",\"wall_ms\":" + std::to_string(steady_ms() - up_at_) +
          "}");
      for (const auto& [number, said] : notices_)
        if (number > heard) say(said);
    } else if (action == "TOP") {
      char meters[64];
      const double busy = std::min(1.0, static_cast<double>(on_cores_) / cores);
      std::snprintf(meters, sizeof meters, "%.3f,%d,0,1", busy, on_cores_);
      say("{\"action\":\"TOPS\",\"echo\":\"" + json_text(line, "echo") + "\",\"meters\":[" + meters + "]}");
    } else if (action == "APPLY") {
      apply(id, json_text(line, "lane"), from_base64(json_text(line, "content")));
    } else if (action == "RESOLVE") {
      const auto at = running_.find(id);
      if (at == running_.end() || !at->second.waiting) return;
      at->second.waiting = false;
      work(id);
    }
  }
  void apply(const std::string& id, const std::string& lane, const std::string& body) {
    if (running_.contains(id)) return;
    const auto known = requests.find(id);
    if (known == requests.end() || known->second.lane != lane || known->second.body != body) {
      ++errors;
      return say("{\"action\":\"ERROR\",\"code\":\"APPLY\",\"uid\":\"" + id + "\"}");
    }
    if (known->second.over || results.contains(id)) {
      ++late;
      return notice("VALUE", "\"uid\":\"" + id + "\",\"code\":\"late\",\"wall_ms\":0");
    }
    Run& run = running_[id];
    run.calls = static_cast<int>(figure(body, "c=", 0));
    run.part_ms = figure(body, "w=", 1) / (run.calls + 1);
    run.result_bytes = static_cast<std::size_t>(figure(body, "r=", 16));
    run.began = steady_ms();
    ++begun[id];
    if (record_each) record("run %s", id.c_str());
    if (on_start) on_start(id);
    work(id);
  }
  void work(const std::string& id) {
    ++on_cores_;
    loop_.after(running_.at(id).part_ms, [this, id] { part_done(id); });
  }
  void part_done(const std::string& id) {
    --on_cores_;
    Run& run = running_.at(id);
    if (run.calls > 0) {
      --run.calls;
      run.waiting = true;
      if (requests[id].over) return request_over(id);
      return notice("AWAIT", "\"uid\":\"" + id + "\",\"content\":\"" + base64("call of " + id) + "\"");
    }
    std::string result = "result of " + id + " ";
    if (result.size() < run.result_bytes) result.resize(run.result_bytes, 'r');
    const double took = steady_ms() - run.began;
    running_.erase(id);
    results[id] = result;
    if (on_end) on_end(id);
    notice("VALUE", "\"uid\":\"" + id + "\",\"code\":\"fine\",\"wall_ms\":" + std::to_string(took) +
                        ",\"content\":\"" + base64(result) + "\"");
  }

  Loop& loop_;
  std::shared_ptr<Door> door_;
  std::shared_ptr<Connection> link_;
  std::map<std::string, Run> running_;
  std::map<std::uint64_t, std::string> notices_;
  std::uint64_t last_ = 0;
  int on_cores_ = 0;
  double up_at_ = steady_ms();
};

// ---- HTTP parties
class HttpParty {
 public:
  // `answer` gets the head of a request and its connection; it answers, now or later.
  HttpParty(Loop& loop, std::function<void(const std::string&, std::shared_ptr<Connection>)> answer)
      : loop_(loop), answer_(std::move(answer)) {
    move();
  }
  const Address& address() const { return door_->address(); }
  // From now on it listens at another address.
  void move() {
    door_ = Door::open(loop_, [this](std::shared_ptr<Connection> c) {
      c->on_data = [this](Connection& from) {
        for (;;) {
          const std::size_t end = from.in.find("\r\n\r\n");
          if (end == std::string::npos) return;
          std::size_t size = 0;
          if (const std::size_t at = from.in.find("Content-Length: "); at < end)
            size = static_cast<std::size_t>(std::atoi(from.in.c_str() + at + 16));
          if (from.in.size() < end + 4 + size) return;
          const std::string whole = from.in.substr(0, end + 4 + size);
          from.in.erase(0, whole.size());
          answer_(whole, from.shared_from_this());
        }
      };
    });
  }

 private:
  Loop& loop_;
  std::function<void(const std::string&, std::shared_ptr<Connection>)> answer_;
  std::shared_ptr<Door> door_;
};
class Announce : public HttpParty {
 public:
  std::uint64_t reports = 0;
  explicit Announce(Loop& loop)
      : HttpParty(loop, [this](const std::string&, std::shared_ptr<Connection> c) {
          ++reports;
          c->send("HTTP/1.1 204 No Content\r\n\r\n");
        }) {}
};
class Records : public HttpParty {
 public:
  std::uint64_t calls = 0;
  double latency_ms = 3;
  explicit Records(Loop& loop)
      : HttpParty(loop, [this, &loop](const std::string&, std::shared_ptr<Connection> c) {
          ++calls;
          loop.after(latency_ms, [c] {
            if (c->open) c->send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply");
          });
        }) {}
};

// ---- balancers
struct Answer {
  int code = -1; // 0 served, 14 refused, 2 failed
  std::map<std::string, std::string> fields;
  std::string body;
};
struct Try {
  std::string verb, txn, unique, item, body, team;
  Millis door = 0, limit = 0;
  double ram = 10;
};
inline void put_le(std::string& out, std::uint64_t value, int bytes) {
  for (; bytes > 0; --bytes, value >>= 8) out += static_cast<char>(value & 0xff);
}
inline std::uint64_t read_le(const char* at, int bytes) {
  std::uint64_t value = 0;
  for (int i = bytes; i-- > 0;) value = value << 8 | static_cast<unsigned char>(at[i]);
  return value;
}
inline std::string request_frame(std::uint32_t stream, const Try& t, int lb) {
  std::vector<std::pair<std::string, std::string>> fields{{"verb", t.verb},
                                                          {"txn", t.txn},
                                                          {"door", std::to_string(t.door)},
                                                          {"lb", std::to_string(lb)},
                                                          {"ram", std::to_string(t.ram)},
                                                          {"standing", "0.6250"}};
  if (!t.team.empty()) fields.emplace_back("team", t.team);
  if (t.limit > 0) fields.emplace_back("limit", std::to_string(t.limit));
  if (!t.unique.empty()) fields.emplace_back("unique", t.unique);
  if (!t.item.empty()) fields.emplace_back("item", t.item);
  std::string payload(1, static_cast<char>(fields.size()));
  for (const auto& [name, value] : fields) {
    put_le(payload, name.size(), 1);
    payload += name;
    put_le(payload, value.size(), 2);
    payload += value;
  }
  payload += t.body;
  std::string frame;
  put_le(frame, 5 + payload.size(), 4);
  put_le(frame, 10, 1);
  put_le(frame, stream, 4);
  return frame + payload;
}

// One connection of a balancer.
class Balancer {
 public:
  std::shared_ptr<Connection> connection;
  std::map<std::uint32_t, std::string> open; // stream to txn
  std::function<void(const std::string& txn, const Answer&)> on_answer;
  std::function<void()> on_end;
  bool leaving = false; // the server takes no new request on it
  Balancer(Loop& loop, Interpreter& interpreter, const Address& server, int lb)
      : interpreter_(interpreter), lb_(lb) {
    connection = Connection::dial(loop, server);
    if (!connection) return;
    connection->on_data = [this](Connection& c) {
      std::size_t from = 0;
      while (c.in.size() - from >= 9) {
        const std::size_t size = read_le(c.in.data() + from, 4) + 4;
        if (c.in.size() - from < size) break;
        frame(c.in.substr(from, size));
        from += size;
        if (!c.open) return;
      }
      c.in.erase(0, from);
    };
    connection->on_close = [this](Connection&) {
      if (on_end) on_end();
    };
  }
  bool usable() const { return connection && connection->open && !leaving && open.size() < 32; }
  void send(const Try& t) {
    interpreter_.requests[t.txn] = {t.verb, t.body, false};
    open[next_] = t.txn;
    if (record_each) record("sent %s %s %s", t.txn.c_str(), t.verb.c_str(), t.unique.c_str());
    connection->send(request_frame(next_++, t, lb_));
  }
  void health_check() {
    std::string frame;
    put_le(frame, 6, 4);
    put_le(frame, 20, 1);
    put_le(frame, next_++, 4);
    put_le(frame, 0, 1);
    connection->send(frame);
  }
  int healthy = -1; // of the last health check: 0 good
  std::map<std::string, Answer> answers;
  std::uint64_t answered_twice = 0;

 private:
  void frame(const std::string& f) {
    const int type = static_cast<unsigned char>(f[4]);
    const auto stream = static_cast<std::uint32_t>(read_le(f.data() + 5, 4));
    if (type == 30) {
      leaving = true;
      return;
    }
    if (type != 11 && type != 21) return;
    Answer answer;
    answer.code = static_cast<unsigned char>(f[9]);
    std::size_t at = 10;
    unsigned count = static_cast<unsigned char>(f[at++]);
    for (; count > 0; --count) {
      const std::size_t name_size = static_cast<unsigned char>(f[at]);
      const std::string name = f.substr(at + 1, name_size);
      at += 1 + name_size;
      const std::size_t size = read_le(f.data() + at, 2);
      answer.fields[name] = f.substr(at + 2, size);
      at += 2 + size;
    }
    answer.body = f.substr(at);
    if (type == 21) {
      healthy = answer.code;
      return;
    }
    const auto one = open.find(stream);
    if (one == open.end()) {
      if (stream != 0) ++answered_twice;
      return;
    }
    const std::string txn = one->second;
    open.erase(one);
    interpreter_.request_over(txn);
    if (record_each) record("answered %s %d", txn.c_str(), answer.code);
    if (on_answer) on_answer(txn, answer);
  }
  Interpreter& interpreter_;
  int lb_;
  std::uint32_t next_ = 1;
};

// ---- the server
class Server {
 public:
  // `run`: the deploy file's command, from the repository's root, which is the current folder.
  Server(std::string run, std::string folder) : run_(std::move(run)), folder_(std::move(folder)) {}
  ~Server() { kill_now(); }
  Address listen;
  pid_t pid = -1;
  int status = 0;
  bool ended = false;
  void start(const std::string& config, const std::string& operator_file = "") {
    const std::string path = folder_ + "/config.json";
    std::ofstream(path, std::ios::trunc) << config;
    pid = fork();
    if (pid < 0) cannot_run("no process");
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with this process, however that ends
      setenv("RELAY_CONFIG", path.c_str(), 1);
      if (!operator_file.empty()) setenv("COMETSHIFT_OPERATOR", operator_file.c_str(), 1);
      setenv("TMPDIR", folder_.c_str(), 1);
      const int log = ::open((folder_ + "/server.log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      execl("/bin/sh", "sh", "-c", run_.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    ended = false;
  }
  bool alive() {
    if (pid > 0 && !ended && waitpid(pid, &status, WNOHANG) == pid) ended = true;
    return pid > 0 && !ended;
  }
  void tell(int signal) {
    if (alive()) kill(pid, signal);
  }
  void kill_now() {
    if (!alive()) return;
    kill(pid, SIGKILL);
    waitpid(pid, &status, 0);
    ended = true;
  }
  // The most memory that it had, in KB; -1 if unknown.
  long peak_kb() {
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(in, line);)
      if (line.rfind("VmHWM:", 0) == 0) return std::atol(line.c_str() + 6);
    return -1;
  }

 private:
  std::string run_, folder_;
};

// The arguments that each case's script gives: the `run` command, a temporary folder, the record's path, and
// whether the disruption is to happen.
struct Arguments {
  std::string run, folder, record;
  bool trouble = true;
};
inline Arguments arguments(int argc, char** argv) {
  if (argc < 5) {
    std::fprintf(stderr, "usage: case RUN FOLDER RECORD TROUBLE; started by run.sh\n");
    std::exit(2);
  }
  signal(SIGPIPE, SIG_IGN);
  Arguments all{argv[1], argv[2], argv[3], std::string(argv[4]) != "0"};
  open_record(all.record);
  record("disruption: %s", all.trouble ? "yes" : "no (TROUBLE=0)");
  return all;
}
// Ends the case: 1 if the rule was broken, 0 if it held.
[[noreturn]] inline void finish(Server& server, std::uint64_t broken, const std::string& words) {
  server.kill_now();
  record("%s: %s", broken > 0 ? "BROKEN" : "held", words.c_str());
  if (record_file) std::fclose(record_file);
  std::printf("%s: %s\n", broken > 0 ? "broken" : "held", words.c_str());
  std::exit(broken > 0 ? 1 : 0);
}

} // namespace stand
