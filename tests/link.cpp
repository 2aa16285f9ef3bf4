// The link to the interpreter: commands, notices that are repeated, missing or malformed, silence, and
// breaks. Guards against notices that are lost or handled twice, and against a link that hangs.
#include "driver.hpp"
#include "interpreter.hpp"

#include <asio/io_context.hpp>

struct PrintingHandler final : InterpreterLink::Handler {
  int times_caught_up = 0;
  int notices_received = 0;

  void machine_up(Nanos since) override {
    std::printf("  up since %lld ms\n", static_cast<long long>(since / ms));
  }
  void caught_up(std::uint64_t known) override {
    ++times_caught_up;
    std::printf("  caught up, known to be read: question %llu\n", static_cast<unsigned long long>(known));
  }
  void run_over(OpId id, Outcome outcome, Nanos lag, std::string result) override {
    ++notices_received;
    std::printf("  run %llx over: outcome %d after %lld ms, %s\n", static_cast<unsigned long long>(id.raw),
                static_cast<int>(outcome), static_cast<long long>(lag / ms), result.c_str());
  }
  void call_wanted(OpId id, std::string body) override {
    ++notices_received;
    std::printf("  run %llx wants %s\n", static_cast<unsigned long long>(id.raw), body.c_str());
  }
  void gauges(std::span<const double> values) override {
    ++notices_received;
    std::printf("  gauges %zu, first %.2f\n", values.size(), values.empty() ? -1 : values[0]);
  }
  void command_rejected(OpId id, std::string_view command) override {
    ++notices_received;
    std::printf("  %s %llx not carried out\n", std::string(command).c_str(),
                static_cast<unsigned long long>(id.raw));
  }
};

int main() {
  asio::io_context io;
  PrintingHandler handler;
  TestConnection interpreter = TestConnection::listening(7300);
  InterpreterLink link(io, TestConnection::at(7300), 1 << 20, handler);
  link.link_reconnect_delay(ms);
  TestConnection::turn = [&] {
    io.restart();
    io.poll();
    link.flush();
  };
  const auto say = [](const char* what) { std::printf("# %s\n", what); };
  const auto print_line = [](TestConnection& peer) { std::printf("> %s\n", peer.line().c_str()); };
  const auto caught_up = [&](int times) {
    TestConnection::until("link", [&] { return handler.times_caught_up == times; });
  };
  const auto notices = [&](int more) -> std::function<void()> {
    const int all = handler.notices_received + more;
    return [&handler, all] {
      TestConnection::until("notices", [&] { return handler.notices_received >= all; });
    };
  };
  const std::string run = R"("uid":"9b1f03aa5c7e2d41")";

  say("the interpreter is up late: nothing but CONNECT is sent until then");
  TestConnection at = interpreter.next();
  print_line(at);
  link.request_gauges(); // not sent: the link is not up yet
  std::printf("  up: %d\n", link.up());
  at.say("{\"action\":\"BANNER\",\"code\":\"starting\",\"wall_ms\":250}\n");
  print_line(at);
  at.say("{\"action\":\"TOPS\",\"echo\":\"1\",\"meters\":[0.5,3,0.4,120]}\n");
  caught_up(1);

  say("commands");
  link.run(OpId{0x9b1f03aa5c7e2d41}, "look\"", std::string("\0\xff body", 7));
  link.resume(OpId{1}, "ok");
  link.request_gauges();
  link.request_gauges(); // not sent: one query at a time
  for (int i = 0; i < 3; ++i) print_line(at);

  say("notices, in pieces");
  auto all = notices(8);
  const std::string some =
      "{\"action\":\"AWAIT\",\"pos\":1," + run + ",\"content\":\"Y2FsbA==\"}\n" +
      "{\"action\":\"TRACE\",\"pos\":2,\"code\":\"nothing\"}\n" + "{\"action\":\"VALUE\",\"pos\":3," + run +
      ",\"code\":\"fine\",\"wall_ms\":12.5,\"content\":\"cmVzdWx0\"}\n" + "{\"action\":\"VALUE\",\"pos\":4," +
      run + ",\"code\":\"fault\",\"wall_ms\":1}\n" + "{\"action\":\"VALUE\",\"pos\":5," + run +
      ",\"code\":\"broken_off\"}\n" + "{\"action\":\"VALUE\",\"pos\":6," + run + ",\"code\":\"late\"}\n" +
      "{\"action\":\"ERROR\",\"code\":\"APPLY\"," + run + "}\n" + "{\"action\":\"VALUE\",\"pos\":7," + run +
      ",\"code\":\"fine\",\"content\":\"\"}\n" +
      "{\"action\":\"TOPS\",\"echo\":\"2\",\"meters\":[0.75,3,0.4,120]}\n";
  for (const char c : some) at.say(std::string(1, c));
  all();

  say("notices already seen, without effect, unknown or malformed: skipped");
  all = notices(1);
  at.say("{\"action\":\"VALUE\",\"pos\":3," + run + ",\"code\":\"fine\",\"content\":\"\"}\n" +
         "{\"action\":\"NEWS\",\"pos\":8}\nhello\n[1]\n{}\n\n{\"action\":\"ERROR\",\"uid\":\"x\"}\n" +
         "{\"action\":\"TOPS\",\"meters\":[\"x\"]}\n{\"action\":\"AWAIT\",\"pos\":9," + run +
         ",\"content\":\"eA==\"}\n");
  all();

  say("the link breaks: reconnects from the last notice; queries are not sent meanwhile");
  link.request_gauges();
  print_line(at);
  at.reset();
  TestConnection::until("break", [&] { return !link.up(); });
  link.request_gauges();
  TestConnection again = interpreter.next();
  print_line(again);
  all = notices(2);
  again.say(
      "{\"action\":\"BANNER\",\"code\":\"starting\",\"wall_ms\":900}\n{\"action\":\"AWAIT\",\"pos\":9," +
      run + ",\"content\":\"eA==\"}\n{\"action\":\"AWAIT\",\"pos\":10," + run + ",\"content\":\"eQ==\"}\n");
  print_line(again);
  again.say("{\"action\":\"TOPS\",\"echo\":\"4\",\"meters\":[1]}\n");
  caught_up(2);
  all();

  say("missing or malformed notices: requested once more, then skipped");
  const auto reconnect = [&](const char* first, int times) {
    TestConnection next = interpreter.next();
    print_line(next);
    next.say("{\"action\":\"BANNER\",\"code\":\"starting\",\"wall_ms\":950}\n" + std::string(first));
    std::printf("> %s\n", next.line().c_str());
    next.say("{\"action\":\"TOPS\",\"echo\":\"" + std::to_string(link.next_query_number() - 1) +
             "\",\"meters\":[1]}\n");
    caught_up(times);
    return next;
  };
  const std::string thirteen = "{\"action\":\"AWAIT\",\"pos\":13," + run + ",\"content\":\"eg==\"}\n";
  again.say(thirteen);
  TestConnection third = reconnect(thirteen.c_str(), 3);
  const std::string spoilt = "{\"action\":\"AWAIT\",\"pos\":14," + run + ",\"content\":\"e?==\"}\n";
  third.say(spoilt);
  TestConnection fourth = reconnect(spoilt.c_str(), 4);
  const std::string no_result =
      "{\"action\":\"VALUE\",\"pos\":15," + run + ",\"code\":\"fine\",\"content\":7}\n";
  fourth.say(no_result);
  TestConnection fifth = reconnect(no_result.c_str(), 5);

  say("a line that is too long: reconnects");
  fifth.say(std::string(70'000, 'x'));
  TestConnection sixth = interpreter.next();
  print_line(sixth);

  say("a link that is accepted but silent, or silent with a query unanswered: reconnects; any input counts "
      "as a sign of life");
  link.link_silence_timeout(100 * ms);
  sixth.reset();
  TestConnection mute = interpreter.next();
  print_line(mute);
  TestConnection seventh = interpreter.next();
  print_line(seventh);
  mute.to_end();
  const std::string banner = "{\"action\":\"BANNER\",\"code\":\"running\",\"wall_ms\":990}\n";
  const auto pass = [&](Nanos time) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::nanoseconds(time);
    TestConnection::until("time", [&] { return std::chrono::steady_clock::now() >= end; });
  };
  for (const char c : banner) seventh.say(std::string(1, c)), pass(2 * ms);
  seventh.line();
  seventh.say("{\"action\":\"TOPS\",\"echo\":\"" + std::to_string(link.next_query_number() - 1) +
              "\",\"meters\":[1]}\n");
  caught_up(6);
  pass(250 * ms); // no answer is due
  std::printf("  up: %d\n", link.up());
  link.request_gauges();
  TestConnection eighth = interpreter.next();
  print_line(eighth);

  say("no descriptor is free: connects once one is");
  {
    link.link_reconnect_delay(30 * ms);
    eighth.reset();
    pass(10 * ms); // the link has ended, and the test takes its descriptor
    {
      const NoFreeDescriptors none;
      pass(90 * ms);
      std::printf("  up: %d\n", link.up());
    }
    TestConnection ninth = interpreter.next();
    print_line(ninth);
  }

  say("the interpreter does not read: reconnects before the output fills the memory");
  {
    TestConnection small = TestConnection::listening(7302);
    PrintingHandler quiet;
    InterpreterLink other(io, TestConnection::at(7302), 64 * 1024, quiet);
    other.link_reconnect_delay(ms);
    TestConnection::turn = [&] {
      io.restart();
      io.poll();
      other.flush();
    };
    TestConnection stuck = small.next();
    stuck.set_small_window();
    stuck.line();
    stuck.say("{\"action\":\"BANNER\",\"code\":\"running\",\"wall_ms\":5}\n");
    stuck.line();
    stuck.say("{\"action\":\"TOPS\",\"echo\":\"1\",\"meters\":[1]}\n");
    TestConnection::until("link", [&] { return quiet.times_caught_up == 1; });
    std::size_t sent = 0;
    TestConnection::until("break", [&] {
      if (other.up()) other.run(OpId{7}, "look", std::string(2048, 'x')), ++sent;
      return !other.up();
    });
    TestConnection again = small.next();
    print_line(again);
    std::printf("  made anew before %s\n", sent < 20'000 ? "50 MB waited" : "nothing");
  }
}
