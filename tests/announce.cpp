#include "announce.hpp"
#include "driver.hpp"

#include <asio/io_context.hpp>

int main() {
  asio::io_context io;
  Announce announce(io, TestConnection::at(2379), "n3");
  announce.report_every(5 * ms);
  announce.wait_for_reply(500 * ms);
  TestConnection::turn = [&] {
    io.restart();
    io.poll();
  };
  const auto say = [](const char* what) { std::printf("# %s\n", what); };
  const auto heard = [](TestConnection& peer) { std::printf("> %s\n", peer.request({}).c_str()); };
  const std::string ok = "HTTP/1.1 204 No Content\r\n\r\n";

  say("the service is down at first; reports go on, and are seen once it is up");
  announce.accepting(true);
  TestConnection::turn();
  TestConnection service = TestConnection::listening(2379);
  TestConnection at = service.next();
  heard(at);
  at.say(ok);
  say("again and again on the same connection");
  heard(at);

  say("a change while a report is under way does not wait for its answer");
  announce.report_every(60'000 * ms);
  announce.accepting(false);
  at = service.next();
  heard(at);
  at.say(ok);
  say("a change between reports goes at once; none, nothing");
  announce.accepting(false);
  announce.accepting(true);
  heard(at);

  say("left by the service since the last report: the next, or a change, goes out at once all the same");
  at.say(ok);
  at.reset();
  announce.accepting(false);
  at = service.next();
  heard(at);
  at.say(ok);
  announce.accepting(true);
  heard(at);

  say("a connection that ends, a reply that is none, or none in time: another is made");
  announce.report_every(ms);
  at.reset();
  at = service.next();
  heard(at);
  at.say("nonsense\r\n\r\n");
  at = service.next();
  heard(at);
  at.say("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
  at = service.next();
  heard(at);
  announce.wait_for_reply(ms);
  at.say(ok);
  heard(at);
  TestConnection next = service.next();
  heard(next);

  say("silent from then on, with the connection open: a report by each new one; once it speaks again, by "
      "that");
  announce.wait_for_reply(20 * ms);
  for (int i = 0; i < 3; ++i) {
    TestConnection one = service.next();
    heard(one);
    next = std::move(one);
  }
  announce.wait_for_reply(60'000 * ms);
  TestConnection last = service.next();
  heard(last);
  last.say(ok);
  heard(last);
}
