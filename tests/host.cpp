// Tests a whole server; the test plays the other parties. Covers calls, keyed ops and their repeats, loss of
// the link and of balancers' connections, reload and drain. Each op must be answered once, and no keyed op
// may run twice.
#include "server_fixture.hpp"

void say(const char* what) { std::printf("# %s\n", what); }

int main() {
  const std::string a = "aaaaaaaaaaaaaaa1", b = "aaaaaaaaaaaaaaa2", c = "aaaaaaaaaaaaaaa3",
                    d = "aaaaaaaaaaaaaaa4", e = "aaaaaaaaaaaaaaa5", f = "aaaaaaaaaaaaaaa6";
  const std::string result_fields = ",\"code\":\"fine\",\"wall_ms\":3,\"content\":\"cmVzdWx0\"";
  {
    ServerFixture w("3000");
    const auto print_command = [&] { std::printf("  link: %s\n", w.command().c_str()); };
    const auto print_frame = [&] { std::printf("  balancer: %s\n", w.balancer.frame().c_str()); };
    const auto print_call = [&](TestConnection& at) {
      std::printf("  records: %s\n", at.request({"Op-Of"}).c_str());
    };

    say("before the interpreter is up health checks are answered; an op starts once it is up");
    w.balancer.say(frame_of(frames::health_check, 1, {}));
    print_frame();
    w.ask(1, a);
    w.link_up();
    print_command();

    say("its call, the reply and the result");
    w.notice(1, "AWAIT", a, ",\"content\":\"Y2FsbA==\"");
    TestConnection records = w.records_services.next();
    print_call(records);
    records.say("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue");
    print_command();
    w.notice(2, "VALUE", a, result_fields);
    print_frame();

    say("a keyed op runs once: its repeats wait for its result, or get it later");
    w.book(2, b, "m1");
    print_command();
    w.book(3, c, "m1");
    w.book(4, b, "m1"); // the id of the op that is running: failed, as a nack would say that it never ran
    print_frame();
    w.notice(3, "VALUE", b, result_fields);
    print_frame(), print_frame();
    w.book(5, d, "m1");
    print_frame();

    say("a duplicate end of a run, or that of a run never started, causes no second answer");
    w.notice(4, "VALUE", b, result_fields);
    w.notice(5, "VALUE", "ffffffffffffffff", result_fields);
    w.notice(6, "AWAIT", b, ",\"content\":\"\"");
    w.balancer.say(frame_of(frames::health_check, 2, {}));
    print_frame();

    say("a rejected command: the op is answered");
    w.ask(6, e);
    print_command();
    w.interpreter.say("{\"action\":\"ERROR\",\"code\":\"APPLY\",\"uid\":\"" + e + "\"}\n");
    print_frame();

    say("the link breaks after two starts: the keyed op is not started again, a new op is started");
    w.book(7, f, "m2");
    print_command();
    w.ask(8, "bbbbbbbbbbbbbbb1");
    print_command();
    w.interpreter.reset();
    w.interpreter = w.interpreters.next();
    print_command();
    w.book(9, "bbbbbbbbbbbbbbb2", "m3"); // queued until a run ends: there are two cores
    w.last_query.clear();
    w.link_up();
    print_command();
    w.notice(7, "VALUE", f, result_fields);
    print_frame();
    print_command();

    say("a balancer resets while its op runs: the op is forgotten, and its slot is free once the run ends");
    w.balancer.reset();
    w.balancer = TestConnection::to(5050);
    w.notice(8, "VALUE", "bbbbbbbbbbbbbbb1", result_fields);
    w.notice(9, "VALUE", "bbbbbbbbbbbbbbb2", result_fields);
    w.book(1, "ccccccccccccccc1", "m3");
    print_frame();

    say("a reset cancels a queued keyed op: it never ran, so its repeat runs");
    w.ask(2, "ddddddddddddddd1"), print_command();
    w.ask(3, "ddddddddddddddd2"), print_command();
    w.book(4, "ddddddddddddddd3", "m4");
    w.balancer.reset();
    w.balancer = TestConnection::to(5050);
    w.book(1, "ddddddddddddddd4", "m4");
    w.notice(10, "VALUE", "ddddddddddddddd1", result_fields);
    print_command();
    w.notice(11, "VALUE", "ddddddddddddddd2", result_fields);
    w.notice(12, "VALUE", "ddddddddddddddd4", result_fields);
    print_frame();

    say("drain: the announce service is notified, health checks fail, ops are still served; then go_away, "
        "and the server exits");
    w.host->stop();
    w.announce.say("HTTP/1.1 204 No Content\r\n\r\n");
    std::string report;
    while (report.find("false") == std::string::npos) {
      if (w.announce.ended()) w.announce = w.announce_services.next();
      report = w.announce.request({});
      w.announce.say("HTTP/1.1 204 No Content\r\n\r\n");
    }
    std::printf("  announce: %s\n", report.c_str());
    w.balancer.say(frame_of(frames::health_check, 3, {}));
    print_frame();
    w.ask(2, "ccccccccccccccc2");
    print_command();
    print_frame(); // go_away
    w.ask(3, "ccccccccccccccc3");
    print_frame();
    std::printf("  over: %d\n", w.finished);
    w.notice(13, "VALUE", "ccccccccccccccc2", result_fields);
    print_frame();
    w.balancer.to_end();
    TestConnection::until("end", [&] { return w.finished; });
    std::printf("  over: %d\n", w.finished);
  }
  {
    ServerFixture w("3000");
    const auto print_command = [&] { std::printf("  link: %s\n", w.command().c_str()); };
    const auto print_frame = [&] { std::printf("  balancer: %s\n", w.balancer.frame().c_str()); };
    w.link_up();
    say("the idempotency key of another op with a different body: refused, not run; the first op keeps its "
        "result");
    w.book(1, a, "m1");
    print_command();
    w.notice(1, "AWAIT", a, ",\"content\":\"Y2FsbA==\"");
    w.book(2, b, "m1", "other");
    print_frame();
    w.notice(2, "VALUE", a, result_fields);
    print_frame();
    w.book(3, c, "m1", "other");
    print_frame();
    w.book(4, d, "m1");
    print_frame();

    say("an op that the interpreter rejects had the idempotency key first: the valid op runs, and its repeat "
        "waits for it");
    w.book(5, e, "m2", "other");
    print_command();
    w.book(6, f, "m2");
    print_command();
    w.interpreter.say("{\"action\":\"ERROR\",\"code\":\"APPLY\",\"uid\":\"" + e + "\"}\n");
    print_frame();
    w.book(7, "bbbbbbbbbbbbbbb1", "m2");
    w.notice(3, "VALUE", f, result_fields);
    print_frame(), print_frame();

    say("the first try was too late for the interpreter: none of its repeats has run, so one runs");
    w.book(8, "bbbbbbbbbbbbbbb2", "m3");
    print_command();
    w.book(9, "bbbbbbbbbbbbbbb3", "m3");
    w.book(10, "bbbbbbbbbbbbbbb4", "m3");
    w.notice(4, "VALUE", "bbbbbbbbbbbbbbb2", ",\"code\":\"late\",\"wall_ms\":0");
    print_frame();
    print_command();
    w.notice(5, "VALUE", "bbbbbbbbbbbbbbb3", result_fields);
    print_frame(), print_frame();
  }
  {
    ServerFixture w("3000");
    say("SIGHUP: an invalid file changes nothing; new addresses take effect while ops and calls are in "
        "flight");
    const auto print_frame = [&] { std::printf("  balancer: %s\n", w.balancer.frame().c_str()); };
    w.link_up();
    w.ask(1, a), w.command();
    w.ask(2, b), w.command();
    w.notice(1, "AWAIT", a, ",\"content\":\"Y2FsbA==\"");
    TestConnection records = w.records_services.next();
    records.request({});
    const std::string moved_config = ServerFixture::json("3000", 1);
    ServerFixture::reload_with(moved_config.substr(0, 300));
    ServerFixture::reload_with("{}");
    w.notice(2, "AWAIT", b, ",\"content\":\"Y2FsbA==\"");
    TestConnection second = w.records_services.next();
    std::printf("  records: %s\n", second.request({"Op-Of"}).c_str());
    TestConnection interpreters = TestConnection::listening(7301),
                   announce_services = TestConnection::listening(2380),
                   records_services = TestConnection::listening(5433);
    ServerFixture::reload_with(moved_config);
    ServerFixture::reload_with(moved_config); // the same file again changes nothing
    TestConnection announce = announce_services.next();
    std::printf("  announce there: %s\n", announce.request({}).c_str());
    // The call in flight finishes at the old address.
    records.say("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue");
    records.to_end();
    w.ask(3, c); // both cores are free, as the other runs wait for calls
    // The old link ends once its last query is answered; no other command may be sent on it.
    TestConnection::until("end of the old link", [&] {
      if (w.interpreter.has_line()) {
        const std::string line = w.interpreter.line();
        w.last_query = line.substr(line.find("\"echo\":\"") + 8);
        w.last_query.resize(w.last_query.find('"'));
        if (line.find("TOP") == std::string::npos) std::printf("  on the old link: %s\n", line.c_str());
        w.answer_gauges();
      }
      return w.interpreter.ended();
    });
    w.interpreter = interpreters.next();
    std::printf("  link there: %s\n", w.command().c_str());
    w.last_query.clear();
    w.link_up();
    for (int i = 0; i < 2; ++i) std::printf("  link there: %s\n", w.command().c_str());
    w.notice(3, "AWAIT", c, ",\"content\":\"Y2FsbA==\"");
    TestConnection third = records_services.next();
    std::printf("  records there: %s\n", third.request({"Op-Of"}).c_str());
    w.notice(4, "VALUE", a, result_fields);
    print_frame();
    second.reset();
    std::remove(fixture_config_path.c_str());
  }
  {
    ServerFixture w("400");
    say("a run that does not end before the kill: its op is still answered, and the server exits");
    w.link_up();
    w.ask(1, a);
    std::printf("  link: %s\n", w.command().c_str());
    w.host->stop();
    for (std::string frame; frame.find("on 1") == std::string::npos;)
      std::printf("  balancer: %s\n", (frame = w.balancer.frame()).c_str());
    w.balancer.to_end();
    TestConnection::until("end", [&] { return w.finished; });
    std::printf("  over: %d\n", w.finished);
  }
}
