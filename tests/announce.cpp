// Reports to the announce service: repeats, changes during a report, and connections that break or stay
// silent. Guards against a report that waits for a reply that never comes, and against postponing one when
// the service has closed the connection.
#include "announce.hpp"
#include "driver.hpp"

#include <asio/io_context.hpp>

int main() {
  asio::io_context io;
  AnnounceClient announce(io, TestConnection::at(2379), "n3");
  announce.set_report_interval(5 * ms);
  announce.set_report_timeout(500 * ms);
  TestConnection::turn = [&] {
    io.restart();
    io.poll();
  };
  const auto say = [](const char* what) { std::printf("# %s\n", what); };
  const auto print_request = [](TestConnection& peer) { std::printf("> %s\n", peer.request({}).c_str()); };
  const std::string ok = "HTTP/1.1 204 No Content\r\n\r\n";

  say("the service is down at first: reports are retried and arrive once it is up");
  announce.set_accepting(true);
  TestConnection::turn();
  TestConnection service = TestConnection::listening(2379);
  TestConnection at = service.next();
  print_request(at);
  at.say(ok);
  say("repeated reports use the same connection");
  print_request(at);

  say("a change during a report does not wait for its reply");
  announce.set_report_interval(60'000 * ms);
  announce.set_accepting(false);
  at = service.next();
  print_request(at);
  at.say(ok);
  say("a change between reports is sent at once; setting the same value sends nothing");
  announce.set_accepting(false);
  announce.set_accepting(true);
  print_request(at);

  say("connection closed by the service since the last report: the next report or change is still sent at "
      "once");
  at.say(ok);
  at.reset();
  announce.set_accepting(false);
  at = service.next();
  print_request(at);
  at.say(ok);
  announce.set_accepting(true);
  print_request(at);

  say("a closed connection, a malformed or failed reply, or no reply in time: reconnects");
  announce.set_report_interval(ms);
  at.reset();
  at = service.next();
  print_request(at);
  at.say("nonsense\r\n\r\n");
  at = service.next();
  print_request(at);
  at.say("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
  at = service.next();
  print_request(at);
  announce.set_report_timeout(ms);
  at.say(ok);
  print_request(at);
  TestConnection next = service.next();
  print_request(next);

  say("no more replies on an open connection: each report opens a new one; once one replies, it is reused");
  announce.set_report_timeout(20 * ms);
  for (int i = 0; i < 3; ++i) {
    TestConnection one = service.next();
    print_request(one);
    next = std::move(one);
  }
  announce.set_report_timeout(60'000 * ms);
  TestConnection last = service.next();
  print_request(last);
  last.say(ok);
  print_request(last);
}
