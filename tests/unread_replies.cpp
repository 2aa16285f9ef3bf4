// Guards against a time-out that ends something although what it waits for has arrived: one look at the
// sockets finds 128 that are ready, and timers are handled before what the next looks find.
#include "driver.hpp"
#include "interpreter.hpp"
#include "records.hpp"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>

#include <fcntl.h>

namespace {

constexpr int crowd_size = 300; // more than two looks find

// Descriptors of the same event loop that become ready at once.
class Crowd {
  std::vector<asio::posix::stream_descriptor> readers_;
  std::vector<int> writers_;

 public:
  explicit Crowd(asio::io_context& io) {
    for (int i = 0; i < crowd_size; ++i) {
      int ends[2];
      if (pipe2(ends, O_NONBLOCK) != 0) std::perror("pipe"), std::exit(2);
      readers_.emplace_back(io, ends[0])
          .async_wait(asio::posix::stream_descriptor::wait_read, [](asio::error_code) {});
      writers_.push_back(ends[1]);
    }
  }
  ~Crowd() {
    for (const int end : writers_) close(end);
  }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;
  void become_ready() {
    for (const int end : writers_)
      if (write(end, "x", 1) != 1) std::perror("write"), std::exit(2);
  }
};

void set_turn(asio::io_context& io, const std::function<void()>& more) {
  TestConnection::turn = [&io, more] {
    io.restart();
    io.poll();
    more();
  };
}

// The reply to a call is there, behind the crowd, as the call's time is over.
void test_call(std::size_t reply_bytes) {
  std::printf("# a call's time is over, its reply of %zu bytes has arrived and was not read\n", reply_bytes);
  asio::io_context io;
  set_turn(io, [] {});
  Crowd crowd(io);
  TestConnection services = TestConnection::listening(5432);
  RecordsClient records(io, TestConnection::at(5432), 2);
  bool ended = false;
  records.call(OpId{1}, 100 * ms, "body", [&](Outcome outcome, std::string body) {
    std::printf("  done: %s, %zu bytes\n", outcome == Outcome::done ? "yes" : "no", body.size());
    ended = true;
  });
  TestConnection service = services.next();
  service.request({});
  crowd.become_ready();
  service.send_without_turn("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(reply_bytes) + "\r\n\r\n" +
                            std::string(reply_bytes, 'x'));
  usleep(120'000);
  TestConnection::until("end", [&] { return ended; });
}

struct CountingHandler final : InterpreterLink::Handler {
  int runs_over = 0, times_up = 0;
  void machine_up(Nanos) override {}
  void caught_up(std::uint64_t) override { ++times_up; }
  void run_over(OpId, Outcome, Nanos, std::string) override { ++runs_over; }
  void call_wanted(OpId, std::string) override {}
  void gauges(std::span<const double>) override {}
  void command_rejected(OpId, std::string_view) override {}
};

std::string answer_to(const std::string& query) {
  const std::size_t from = query.find("\"echo\":\"") + 8;
  return R"({"action":"TOPS","echo":")" + query.substr(from, query.find('"', from) - from) +
         "\",\"meters\":[0.1]}\n";
}

// The link moves to another address; the last answer of the old one is there as the time for it is over.
void test_handover() {
  std::puts("# the link's handover time is over, the old link's last notice and answer were not read");
  asio::io_context io;
  CountingHandler handler;
  TestConnection old_interpreters = TestConnection::listening(7300),
                 new_interpreters = TestConnection::listening(7301);
  InterpreterLink link(io, TestConnection::at(7300), 1 << 20, handler);
  link.link_handover_timeout(100 * ms);
  set_turn(io, [&] { link.flush(); });
  Crowd crowd(io);
  TestConnection interpreter = old_interpreters.next();
  interpreter.line(); // CONNECT
  interpreter.say("{\"action\":\"BANNER\",\"code\":\"running\",\"wall_ms\":5000}\n");
  interpreter.say(answer_to(interpreter.line()));
  TestConnection::until("link", [&] { return handler.times_up == 1; });
  link.set_address(TestConnection::at(7301));
  const std::string last_query = interpreter.line();
  crowd.become_ready();
  interpreter.send_without_turn(
      R"({"action":"VALUE","pos":1,"uid":"aaaaaaaaaaaaaaa1","code":"fine","wall_ms":9,"content":""})"
      "\n" +
      answer_to(last_query));
  usleep(120'000);
  TestConnection moved = new_interpreters.next();
  std::printf("  read before the new link: %d\n", handler.runs_over);
  std::printf("  > %s\n", moved.line().c_str());
}

} // namespace

int main() {
  test_call(5);
  test_call(20'000);
  test_handover();
}
