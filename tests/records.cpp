// Calls to the records service: what each reply or failure proves about the call, cancelled calls, and
// timeouts. A call of unknown outcome is never reported as one that did not run, and no reply is taken for
// that of another call.
#include "records.hpp"
#include "driver.hpp"

#include <asio/io_context.hpp>

int main() {
  asio::io_context io;
  int ended_calls = 0;
  bool quiet = false;
  RecordsClient records(io, TestConnection::at(5432), 2);
  TestConnection::turn = [&] {
    io.restart();
    io.poll();
  };
  const auto say = [](const char* what) { std::printf("# %s\n", what); };
  const auto print_request = [](TestConnection& peer) {
    std::printf("> %s\n", peer.request({"Op-"}).c_str());
  };
  const auto expect_end = [&]() -> std::function<void()> {
    const int before = ended_calls;
    return [&ended_calls, before] { TestConnection::until("end", [&] { return ended_calls > before; }); };
  };
  const auto reply = [](const std::string& status, const std::string& body, const std::string& more = "") {
    return "HTTP/1.1 " + status + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  };
  const auto call = [&](unsigned op, Nanos time_out, const char* body) {
    records.call(OpId{op}, time_out, body,
                 [&ended_calls, &quiet, op](Outcome outcome, std::string body_text) {
                   static const char* names[] = {"done",        "failed", "shed",   "timed out",
                                                 "unreachable", "cut",    "halted", "moot"};
                   if (!quiet)
                     std::printf("  call of %x over: %s %s\n", op, names[static_cast<int>(outcome)],
                                 body_text.c_str());
                   ++ended_calls;
                 });
  };
  unsigned id = 1;

  say("the service is down: connection refused, which proves that nothing ran");
  auto ended = expect_end();
  call(id, 5000 * ms, "first");
  ended();

  say("a connection for each call, and the meaning of each reply");
  TestConnection service = TestConnection::listening(5432);
  call(++id, 250 * ms + 1, "second");
  TestConnection at = service.next();
  print_request(at);
  ended = expect_end();
  at.say(reply("200 OK", "value"));
  ended();
  const std::pair<const char*, const char*> replies[] = {
      {"503 Busy", "Op-Not-Begun: 1\r\n"}, {"503 Busy", ""}, {"500 Failed", ""}, {"504 Late", ""},
      {"409 No", "Op-Not-Begun: 1\r\n"},   {"409 No", ""},   {"302 Found", ""}};
  for (const auto& [status, header] : replies) {
    call(++id, 5000 * ms, "x");
    at = service.next();
    print_request(at);
    ended = expect_end();
    at.say(reply(status, "no", header));
    ended();
  }

  say("two concurrent calls have a connection each; a third exceeds the limit and is not sent");
  call(20, 5000 * ms, "a");
  call(21, 5000 * ms, "b");
  ended = expect_end();
  call(22, 5000 * ms, "c");
  ended();
  at = service.next();
  print_request(at);
  TestConnection other = service.next();
  print_request(other);

  say("cancelled: closes the connection; a second call for the same op cancels the first");
  records.cancel(OpId{20});
  at.to_end();
  call(21, 5000 * ms, "b again");
  other.to_end();
  at = service.next();
  print_request(at);

  say("truncated, malformed, too large or reset: unknown whether it ran, and it is not sent again");
  const std::string broken_replies[] = {reply("200 OK", "whole").substr(0, 40), "nonsense\r\n\r\n",
                                        reply("503 Busy", "1", "Op-Not-Begun: 1\r\n").substr(0, 57),
                                        reply("200 OK", std::string(70'000, 'x'))};
  unsigned next = 21;
  for (const std::string& bytes : broken_replies) {
    ended = expect_end();
    at.say(bytes);
    at.reset();
    ended();
    call(++next, 5000 * ms, "again");
    at = service.next();
    print_request(at);
  }
  ended = expect_end();
  at.reset();
  ended();

  say("timed out: cancelled");
  ended = expect_end();
  call(++next, 1, "brief");
  ended();

  say("1xx before a reply; a duplicate and noise after it are not taken for another call's reply");
  call(40, 5000 * ms, "x");
  at = service.next(); // may be the connection of the call that timed out
  if (!at.ended()) TestConnection::until("request or end", [&] { return at.ended() || at.has(1); });
  if (at.ended()) at = service.next();
  print_request(at);
  ended = expect_end();
  at.say("HTTP/1.1 100 Continue\r\n\r\n" + reply("200 OK", "first") + reply("200 OK", "copy") + "noise");
  ended();
  call(41, 5000 * ms, "y");
  at.say(reply("200 OK", "copy"));
  at.to_end();
  at = service.next();
  print_request(at);
  ended = expect_end();
  at.say(reply("200 OK", "second"));
  ended();
  std::printf("  connections %zu\n", records.connections());

  say("a reply, whole or byte by byte, at the timeout: the call ends once, either way");
  const auto idle = std::exchange(TestConnection::turn, [] {});
  for (int i = 0; i < 2; ++i) {
    TestConnection::turn = idle;
    quiet = true;
    const int before = ended_calls;
    call(50, 100 * ms, "z");
    at = service.next();
    at.request({});
    TestConnection::turn = [] {};
    const std::string late = reply("200 OK", "late");
    if (i == 0) at.send_without_turn(late);
    for (const char byte : i == 1 ? late : "") at.send_without_turn(std::string_view(&byte, 1));
    usleep(120'000); // both the reply and the timeout are pending now
    TestConnection::turn = idle;
    at.to_end();
    std::printf("  ends %d, connections %zu\n", ended_calls - before, records.connections());
  }
  quiet = false;

  say("no descriptor is free: the call is not sent; the next is, once one is free");
  {
    at = TestConnection(dup(0)); // keeps the test's own descriptors in use
    {
      const NoFreeDescriptors none;
      ended = expect_end();
      call(51, 5000 * ms, "none");
      ended();
    }
    ended = expect_end();
    call(52, 5000 * ms, "one");
    at = service.next();
    print_request(at);
    at.say(reply("200 OK", "there"));
    ended();
  }
}
