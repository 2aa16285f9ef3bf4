// Races between two events over real sockets: timeouts against replies, signals against partly read requests,
// the end of the link against the notices on it. Each op has one answer, and nothing runs twice.
#include "server_fixture.hpp"

#include <thread>

namespace {

const std::string a = "aaaaaaaaaaaaaaa1", b = "aaaaaaaaaaaaaaa2", c = "aaaaaaaaaaaaaaa3";
const std::string fine = ",\"code\":\"fine\",\"wall_ms\":3,\"content\":\"cmVzdWx0\"";
void say(const char* what) { std::printf("# %s\n", what); }

std::string notice_of(int pos, const char* action, const std::string& txn, const std::string& more) {
  return "{\"action\":\"" + std::string(action) + "\",\"pos\":" + std::to_string(pos) + ",\"uid\":\"" + txn +
         "\"" + more + "}\n";
}
void sleep_for(int time_ms) { std::this_thread::sleep_for(std::chrono::milliseconds(time_ms)); }

// The responses to ops that arrive before that to a health check sent now, in words.
std::vector<std::string> answers_until_check(ServerFixture& w, std::uint32_t stream) {
  std::vector<std::string> answers;
  w.balancer.say(frame_of(frames::health_check, stream, {}));
  for (;;) {
    std::string frame = w.balancer.frame();
    if (frame.starts_with("checked")) return answers;
    if (frame.starts_with("answer")) answers.push_back(std::move(frame));
  }
}
void print_answers(const std::vector<std::string>& answers) {
  std::printf("  %zu answers\n", answers.size());
  for (const std::string& one : answers) std::printf("  balancer: %s\n", one.c_str());
}
// Accepts the next link after a break and brings it up, with earlier notices sent again.
void reconnect(ServerFixture& w, const std::string& notices) {
  w.interpreter = w.interpreters.next();
  w.interpreter.line(); // CONNECT
  w.last_query.clear();
  w.link_up(notices);
}

// Answers queries on the old link until it ends; prints any other command on it.
void finish_old_link(ServerFixture& w) {
  TestConnection::until("end of the old link", [&] {
    while (w.interpreter.has_line()) {
      const std::string line = w.interpreter.line();
      const std::size_t echo = line.find("\"echo\":\"");
      if (echo == std::string::npos) {
        std::printf("  on the old link: %s\n", line.c_str());
        continue;
      }
      w.last_query = line.substr(echo + 8, line.find('"', echo + 8) - echo - 8);
      w.answer_gauges();
    }
    return w.interpreter.ended();
  });
}
// The report by which a server that leaves stops accepting.
std::string last_report(TestConnection& announce_services) {
  TestConnection announce = announce_services.next();
  std::string report;
  while (report.find("false") == std::string::npos) {
    TestConnection::until("report", [&] { return announce.has_line() || announce.ended(); });
    if (!announce.has_line())
      announce = announce_services.next();
    else
      report = announce.request({});
  }
  return report;
}

// Counts the server's connections, and those that delay small writes (without TCP_NODELAY).
void print_nodelay() {
  int all = 0, buffering = 0;
  for (int fd = 3; fd < 256; ++fd) {
    sockaddr_in here{}, there{};
    socklen_t size = sizeof here, size_there = sizeof there;
    if (getsockname(fd, reinterpret_cast<sockaddr*>(&here), &size) ||
        getpeername(fd, reinterpret_cast<sockaddr*>(&there), &size_there) || here.sin_family != AF_INET)
      continue;
    const int from = ntohs(here.sin_port), to = ntohs(there.sin_port);
    if (from != 5050 && to != 7300 && to != 2379 && to != 5432) continue;
    int at_once = 0;
    socklen_t length = sizeof at_once;
    getsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &at_once, &length);
    ++all;
    buffering += at_once == 0;
  }
  std::printf("  %d connections, %d keep small writes back\n", all, buffering);
}

} // namespace

int main() {
  say("two tries of one op stay unread for longer than a short key window: one run, both get its result");
  {
    ServerFixture w("3000", "300000000");
    w.link_up();
    const Fields marked{{"verb", "book"}, {"unique", "m1"}};
    w.balancer.say(ServerFixture::request(1, a, marked, "body", 500 * ms) +
                   ServerFixture::request(2, b, marked, "body", 250 * ms));
    std::printf("  link: %s\n", w.command().c_str());
    w.notice(1, "VALUE", a, fine);
    print_answers(answers_until_check(w, 1));
    w.balancer.say(ServerFixture::request(3, c, marked, "body", 400 * ms)); // also within the window
    print_answers(answers_until_check(w, 2));
  }

  say("a different op with the id of an op that has ended, while the cores are busy: refused; a repeat of "
      "the ended op is not run");
  {
    ServerFixture w("3000");
    w.link_up();
    w.book(1, a, "m1");
    w.command();
    w.notice(1, "VALUE", a, fine);
    w.balancer.frame();
    for (std::uint32_t i = 2; i < 4; ++i) { // both cores
      w.ask(i, "bbbbbbbbbbbbbbb" + std::to_string(i));
      w.command();
    }
    w.book(4, a, "m9", "other");
    w.book(5, b, "m1");
    w.book(7, a, "m1"); // its own id again
    print_answers(answers_until_check(w, 1));
    w.notice(2, "VALUE", "bbbbbbbbbbbbbbb2", fine);
    w.balancer.frame();
    w.book(8, c, "m2");
    std::printf("  link: %s\n", w.command().c_str()); // the next start is that of another op
  }

  say("a try after the key window of the one that ran is a new op");
  {
    ServerFixture w("3000", "300000000");
    w.link_up();
    w.book(1, a, "m1");
    w.command();
    w.notice(1, "VALUE", a, fine);
    w.balancer.frame();
    sleep_for(450);
    w.book(2, b, "m1");
    std::printf("  link: %s\n", w.command().c_str());
  }

  for (const bool by_reset : {false, true}) {
    say(by_reset ? "the same with a reset, which may destroy the notice"
                 : "the end of a run and of its link at the same moment: one answer, although the notice is "
                   "sent again");
    ServerFixture w("3000");
    w.link_up();
    w.book(1, a, "m1");
    w.command();
    TestConnection::turn = [] {};
    w.notice(1, "VALUE", a, fine);
    by_reset ? w.interpreter.reset() : w.interpreter.stop_sending();
    w.start();
    reconnect(w, notice_of(1, "VALUE", a, fine));
    std::printf("  balancer: %s\n", w.balancer.frame().c_str());
    w.book(2, b, "m1");
    print_answers(answers_until_check(w, 1));
  }

  say("the result arrives at the due time: one answer, either of the two");
  {
    ServerFixture w("3000");
    w.link_up();
    w.ask(1, a, {{"limit", "1500"}});
    w.command();
    TestConnection::turn = [] {};
    sleep_for(1520); // the due time has passed; the notice is read in the same turn
    w.notice(1, "VALUE", a, fine);
    w.start();
    const std::size_t first = answers_until_check(w, 1).size();
    std::printf("  %zu answers in all\n", first + answers_until_check(w, 2).size());
  }

  say("a call's reply and the due time of its op at the same moment: one answer; the late reply is "
      "discarded");
  {
    ServerFixture w("3000");
    w.link_up();
    w.ask(1, a, {{"verb", "book"}, {"unique", "m1"}, {"limit", "1500"}});
    w.command();
    w.notice(1, "AWAIT", a, ",\"content\":\"Y2FsbA==\"");
    TestConnection records = w.records_services.next();
    records.request({});
    TestConnection::turn = [] {};
    sleep_for(1520);
    records.say("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue");
    w.start();
    const std::size_t first = answers_until_check(w, 1).size();
    std::printf("  %zu answers in all\n", first + answers_until_check(w, 2).size());
    records.to_end();
  }

  say("SIGTERM with half a request read: the rest arrives after the drain delay; answered, not run");
  {
    ServerFixture w("3000");
    w.link_up();
    const std::string whole = ServerFixture::request(1, a);
    w.balancer.say(whole.substr(0, 50));
    w.host->stop();
    std::printf("  balancer: %s\n", w.balancer.frame().c_str());
    w.balancer.say(whole.substr(50));
    std::printf("  balancer: %s\n", w.balancer.frame().c_str());
    w.balancer.to_end();
    TestConnection::until("end", [&] { return w.finished; });
    std::printf("  the end%s\n", w.balancer.was_reset() ? ", by a reset" : "");
  }

  say("SIGTERM with half a request read and the rest never sent: a clean close, and the server exits");
  {
    ServerFixture w("3000");
    w.link_up();
    w.balancer.say(ServerFixture::request(1, a).substr(0, 50));
    w.host->stop();
    std::printf("  balancer: %s\n", w.balancer.frame().c_str());
    TestConnection::until("end on its side", [&] { return w.balancer.ended(); });
    w.balancer.send_without_turn(
        ServerFixture::request(1, a).substr(50)); // the rest of its request arrives after the shutdown
    TestConnection::turn();
    std::printf("  the end%s\n", w.balancer.was_reset() ? ", by a reset" : "");
    w.balancer = TestConnection::listening(5051);
    TestConnection::until("end", [&] { return w.finished; });
  }

  say("SIGHUP and SIGTERM at the same moment: both take effect");
  {
    ServerFixture w("1500");
    w.link_up();
    TestConnection interpreters = TestConnection::listening(7301),
                   announce_services = TestConnection::listening(2380),
                   records_services = TestConnection::listening(5433);
    std::FILE* out = std::fopen(fixture_config_path.c_str(), "w");
    std::fputs(ServerFixture::json("1500", 1).c_str(), out);
    std::fclose(out);
    TestConnection::turn = [] {};
    std::raise(SIGHUP);
    w.host->stop();
    w.start();
    TestConnection announce = announce_services.next();
    std::printf("  announce there: %s\n", announce.request({}).c_str());
    w.balancer.frame();
    w.balancer.to_end();
    TestConnection::until("end", [&] { return w.finished; });
    std::remove(fixture_config_path.c_str());
    std::printf("  over: %d\n", w.finished);
  }

  say("a reload, and a drain during the handover of the link: running ops are answered, ops in the drain "
      "delay run at the new address, the new announce service is notified");
  {
    ServerFixture w("3000");
    w.link_up();
    w.ask(1, a);
    w.command();
    TestConnection interpreters = TestConnection::listening(7301),
                   announce_services = TestConnection::listening(2380),
                   records_services = TestConnection::listening(5433);
    ServerFixture::reload_with(ServerFixture::json("3000", 1));
    w.host->stop();
    w.ask(2, b);
    finish_old_link(w);
    w.interpreter = interpreters.next();
    std::printf("  link there: %s\n", w.command().c_str());
    w.last_query.clear();
    w.link_up();
    std::printf("  link there: %s\n", w.command().c_str());
    std::printf("  announce there: %s\n", last_report(announce_services).c_str());
    w.notice(1, "VALUE", a, fine);
    w.notice(2, "AWAIT", b, ",\"content\":\"Y2FsbA==\"");
    TestConnection records = records_services.next();
    std::printf("  records there: %s\n", records.request({"Op-Of"}).c_str());
    records.say("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue");
    std::printf("  link there: %s\n", w.command().c_str());
    w.notice(3, "VALUE", b, fine);
    for (int i = 0; i < 3; ++i) std::printf("  balancer: %s\n", w.balancer.frame().c_str());
    w.balancer.to_end();
    w.balancer.stop_sending();
    TestConnection::until("end", [&] { return w.finished; });
    std::printf("  the end%s\n", w.balancer.was_reset() ? ", by a reset" : "");
  }

  say("a reload to unreachable addresses during a drain: everything is answered before the kill, and the "
      "server exits");
  {
    ServerFixture w("1500");
    w.link_up();
    w.ask(1, a);
    w.command();
    w.host->stop();
    ServerFixture::reload_with(ServerFixture::json("1500", 2));
    w.book(2, b, "m1");
    finish_old_link(w);
    std::vector<std::string> said;
    for (int i = 0; i < 3; ++i) said.push_back(w.balancer.frame());
    std::sort(said.begin(), said.end());
    for (const std::string& one : said) std::printf("  balancer: %s\n", one.c_str());
    w.balancer.to_end();
    w.balancer.stop_sending();
    TestConnection::until("end", [&] { return w.finished; });
    std::printf("  the end%s\n", w.balancer.was_reset() ? ", by a reset" : "");
    std::remove(fixture_config_path.c_str());
  }

  say("other effects of the op types: look is keyed, book is non-retryable");
  {
    ServerFixture w("3000", "300000000", true);
    w.link_up();
    w.ask(1, a, {{"unique", "m1"}});
    std::printf("  link: %s\n", w.command().c_str());
    w.ask(2, b, {{"unique", "m1"}});
    w.ask(3, c);
    w.notice(1, "VALUE", a, fine);
    w.ask(4, c, {{"verb", "book"}});
    std::printf("  link: %s\n", w.command().c_str());
    w.notice(2, "AWAIT", c, ",\"content\":\"Y2FsbA==\"");
    TestConnection records = w.records_services.next();
    records.request({});
    records.reset(); // the call may have run
    for (int i = 0; i < 4; ++i) std::printf("  balancer: %s\n", w.balancer.frame().c_str());
  }

  say("no connection delays small writes");
  {
    ServerFixture w("3000");
    w.link_up();
    w.ask(1, a);
    w.command();
    w.notice(1, "AWAIT", a, ",\"content\":\"Y2FsbA==\"");
    TestConnection records = w.records_services.next();
    records.request({});
    print_nodelay();
  }

  say("peers that send without end do not delay due times");
  {
    ServerFixture w("3000");
    w.link_up();
    w.ask(1, a, {{"limit", "1500"}}); // runs for longer than its limit
    w.command();
    std::atomic<bool> stop{false};
    std::vector<std::thread> floods;
    const auto flood_end = std::chrono::steady_clock::now() + std::chrono::seconds(8);
    for (int i = 0; i < 3; ++i)
      floods.emplace_back([&stop, flood_end] {
        TestConnection peer = TestConnection::connect_without_turn(5050);
        std::string bytes;
        for (std::uint32_t n = 1; n < 400; ++n) bytes += frame_of(frames::health_check, n, {});
        while (!stop && std::chrono::steady_clock::now() < flood_end) peer.flood(bytes);
      });
    const auto begun = std::chrono::steady_clock::now();
    std::string answer;
    TestConnection::until("answer", [&] { return w.balancer.has(4); });
    const auto took = std::chrono::steady_clock::now() - begun;
    stop = true;
    for (std::thread& flood : floods) flood.join();
    std::printf("  balancer: %s, %s\n", w.balancer.frame().c_str(),
                took < std::chrono::seconds(4) ? "in its time" : "late");
  }
}
