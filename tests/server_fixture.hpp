// Fixture for tests of a whole server over loopback sockets. The test plays the interpreter, the records and
// announce services and the balancers, and so controls the order of events.
#pragma once

#include "configuration.hpp"
#include "driver.hpp"
#include "host.hpp"

#include <csignal>

// Unique per process, so that tests can run in parallel.
inline const std::string fixture_config_path = "host_test." + std::to_string(getpid()) + ".json";

// A server connected to the interpreter, announce service and balancer of the test.
struct ServerFixture {
  std::string last_query;
  bool finished = false;
  TestConnection interpreters = TestConnection::listening(7300),
                 announce_services = TestConnection::listening(2379),
                 records_services = TestConnection::listening(5432);
  std::unique_ptr<Host> host;
  TestConnection interpreter, announce, balancer;

  // With `other_effects`, look is keyed and book is non-retryable.
  static std::string json(const std::string& stop_ms, int elsewhere = 0,
                          const std::string& window_ns = "9000000000", bool other_effects = false) {
    std::string json =
        R"({"name":"n3","listen":"L","vm":"V","announce":"A","records":"R","seed":"8c1f30d27a5be964",
      "stop_ms":)" +
        stop_ms + R"(,"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
      "settings":{"family_info":{"cpus":2,"mem_limit_kb":5232.5,"gauges":["cpu_busy","runnable"],"key_kb":2,
      "calls_by_class":[true,true],"passes_deadline":true},
      "invariants":{"drain_grace_ns":1000000000,"fall_multiple":8.0},
      "categories":[{"name":"look","deadline_ns":4000000000,"target_ns":3000000000,"effect":"read_like"},
      {"name":"book","deadline_ns":4000000000,"target_ns":3000000000,"effect":"idempotency_key",
       "key_ttl_ns":)" +
        window_ns + R"(}],"parties":[{"name":"acme","quota_rps":68.0}]}})";
    const std::pair<const char*, int> ports[] = {{"\"L\"", 5050},
                                                 {"\"V\"", 7300 + elsewhere},
                                                 {"\"A\"", 2379 + elsewhere},
                                                 {"\"R\"", 5432 + elsewhere}};
    if (other_effects) {
      const std::string keyed = "\"idempotency_key\"", read = "\"read_like\"";
      json.replace(json.find(keyed), keyed.size(), "\"non_idempotent\"");
      json.replace(json.find(read), read.size(), keyed + ",\"key_ttl_ns\":" + window_ns);
    }
    for (const auto& [name, port] : ports)
      json.replace(json.find(name), 3, '"' + TestConnection::at(port) + '"');
    return json;
  }

  explicit ServerFixture(const std::string& stop_ms, const std::string& window_ns = "9000000000",
                         bool other_effects = false)
      : host(std::make_unique<Host>(parse_configuration(json(stop_ms, 0, window_ns, other_effects)),
                                    fixture_config_path.c_str())),
        interpreter((start(), interpreters.next())), announce(announce_services.next()),
        balancer(TestConnection::to(5050)) {
    interpreter.line(); // CONNECT
    announce.request({});
  }
  ~ServerFixture() {
    TestConnection::turn = [] {};
  }
  void start() {
    TestConnection::turn = [this] { finished = finished || !host->poll(); };
  }
  static void reload_with(const std::string& file) {
    std::FILE* out = std::fopen(fixture_config_path.c_str(), "w");
    std::fputs(file.c_str(), out);
    std::fclose(out);
    std::raise(SIGHUP), TestConnection::turn();
  }
  void link_up(const std::string& notices = {}) {
    interpreter.say("{\"action\":\"BANNER\",\"code\":\"running\",\"wall_ms\":5000}\n" + notices);
    command();
    answer_gauges();
  }
  void answer_gauges() {
    interpreter.say("{\"action\":\"TOPS\",\"echo\":\"" + last_query + "\",\"meters\":[0.1,0]}\n");
  }
  // The next command other than a query for gauges. Queries are answered, except for the first of a link,
  // which is returned.
  std::string command() {
    for (;;) {
      const std::string line = interpreter.line();
      const std::size_t echo = line.find("\"echo\":\"");
      if (echo == std::string::npos) return line;
      const bool first = last_query.empty();
      last_query = line.substr(echo + 8, line.find('"', echo + 8) - echo - 8);
      if (first) return line;
      answer_gauges();
    }
  }
  // A request that states that it was received `ago` before now.
  static std::string request(std::uint32_t stream, const std::string& txn, Fields fields = {},
                             const char* body = "body", Nanos ago = 0) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    fields.emplace_back(
        "door",
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count() - ago / ms));
    return ::ask(stream, txn, fields, body);
  }
  void ask(std::uint32_t stream, const std::string& txn, Fields fields = {}, const char* body = "body") {
    balancer.say(request(stream, txn, std::move(fields), body));
  }
  void book(std::uint32_t stream, const std::string& txn, const char* mark, const char* body = "body") {
    ask(stream, txn, {{"verb", "book"}, {"unique", mark}}, body);
  }
  void notice(int pos, const char* action, const std::string& txn, const std::string& more) {
    interpreter.say("{\"action\":\"" + std::string(action) + "\",\"pos\":" + std::to_string(pos) +
                    ",\"uid\":\"" + txn + "\"" + more + "}\n");
  }
};
