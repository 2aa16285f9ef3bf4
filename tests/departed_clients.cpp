// Guards against requests of a client that has left: those that were not read as its connection was reset are
// not run, and an op that has run is not run again when its id comes again.
#include "server_fixture.hpp"

namespace {

const std::string id_a = "aaaaaaaaaaaaaaa1", id_b = "aaaaaaaaaaaaaaa2", id_c = "aaaaaaaaaaaaaaa3";
const std::string other_id = "bbbbbbbbbbbbbbb1";
const char* const result_fields = ",\"code\":\"fine\",\"wall_ms\":20,\"content\":\"cmVzdWx0\"";

void say(const char* what) { std::printf("# %s\n", what); }

// The next start is that of another client's op, if nothing else was started before it.
void print_next_start(ServerFixture& server) {
  TestConnection other = TestConnection::to(5050);
  other.say(ServerFixture::request(1, other_id));
  std::printf("  link: %s\n", server.command().c_str());
}

void test_unread_requests() {
  say("a client is reset, with its requests still unread: none of them is started");
  ServerFixture server("3000");
  server.link_up();
  server.balancer.send_without_turn(ServerFixture::request(1, id_a) + ServerFixture::request(2, id_b) +
                                    ServerFixture::request(3, id_c));
  server.balancer.reset_without_turn();
  print_next_start(server);
}

void test_half_closed() {
  say("a client stops sending, with its request still unread: it is started and answered");
  ServerFixture server("3000");
  server.link_up();
  server.balancer.send_without_turn(ServerFixture::request(1, id_a));
  server.balancer.stop_sending();
  std::printf("  link: %s\n", server.command().c_str());
  server.notice(1, "VALUE", id_a, result_fields);
  std::printf("  balancer: %s\n", server.balancer.frame().c_str());
}

// `verb`: an op type with an effect, whose op has run when its id comes again.
void test_id_again(const char* what, const char* verb, bool other_effects) {
  say(what);
  ServerFixture server("3000", "9000000000", other_effects);
  const Fields fields{{"verb", verb}, {"unique", "m1"}};
  server.link_up();
  server.ask(1, id_a, fields);
  std::printf("  link: %s\n", server.command().c_str());
  server.balancer.reset();
  server.balancer = TestConnection::to(5050);
  server.ask(1, id_a, fields);
  std::printf("  while it runs: %s\n", server.balancer.frame().c_str());
  server.notice(1, "VALUE", id_a, result_fields);
  server.ask(2, id_a, fields);
  std::printf("  after its run: %s\n", server.balancer.frame().c_str());
  TestConnection other = TestConnection::to(5050);
  other.say(ServerFixture::request(1, other_id, {{"verb", verb}, {"unique", "m2"}}));
  std::printf("  link: %s\n", server.command().c_str());
}

void test_queued() {
  say("a client is reset while its op is queued: the same id again runs once");
  ServerFixture server("3000");
  const Fields fields{{"verb", "book"}, {"unique", "m1"}};
  server.link_up();
  for (std::uint32_t stream = 1; stream <= 2; ++stream) { // both cores
    server.ask(stream, "ccccccccccccccc" + std::to_string(stream));
    server.command();
  }
  server.balancer.send_without_turn(ServerFixture::request(3, id_a, fields));
  TestConnection::turn();
  server.balancer.reset();
  server.balancer = TestConnection::to(5050);
  server.ask(1, id_a, fields);
  server.notice(1, "VALUE", "ccccccccccccccc1", result_fields);
  std::printf("  link: %s\n", server.command().c_str());
  server.notice(2, "VALUE", id_a, result_fields);
  std::printf("  balancer: %s\n", server.balancer.frame().c_str());
  print_next_start(server);
}

} // namespace

int main() {
  test_unread_requests();
  test_half_closed();
  test_id_again("a client is reset while its keyed op runs, and the id comes again", "book", false);
  test_id_again("the same with an op that may not be repeated at all", "book", true);
  test_queued();
  std::remove(fixture_config_path.c_str());
}
