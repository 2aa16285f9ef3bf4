// Guards against a nack of an op that has run: the bounds on keys, on open ops and on ids in use were checked
// before it was known whether an earlier try of the op had run, and another server could run it again. And
// against reads of ever new items that fill the table of keys.
#include "recorded_core.hpp"

namespace {

constexpr unsigned look = 0, book = 1;
constexpr std::uint64_t max_keys = 128, max_ops = 48; // for each MB, docs/architecture.md

Settings small_settings() {
  Settings settings = recorded_settings();
  settings["memory_mb"] = 1.0;
  settings["memory_kb"] = 1e6;
  settings["key_kb"] = 0.1;
  settings["cores"] = 64.0; // more than open ops: every op is started at once
  return settings;
}

// A server with room for few keys and ops, whose answers are printed.
struct SmallCore : RecordedCore {
  SmallCore() {
    given = small_settings();
    core = std::make_unique<Core>(now, given, recorder);
    recorder.bind(*core);
    calls = 0;
    link();
  }
  void book_under(std::uint64_t id, const std::string& mark, const std::string& body = "body") {
    came(id, book, mark, body);
  }
  // Bookings that run, until the table of keys is full.
  void fill_keys(std::uint64_t kept) {
    prints = false;
    for (std::uint64_t id = 1001; kept < max_keys; ++id, ++kept) {
      book_under(id, "filler " + std::to_string(id));
      pass(10 * ms);
    }
    pass(100 * ms);
    prints = true;
  }
  // Looks that stay open, until the table of ops is full.
  void fill_ops(std::uint64_t open) {
    prints = false;
    run_time = 10 * second;
    for (std::uint64_t id = 2001; open < max_ops; ++id, ++open) came(id, look);
    prints = true;
  }
};

void test_full_keys() {
  SmallCore server;
  server.book_under(1, "done");
  server.pass(100 * ms);
  server.failing = 1;
  server.book_under(2, "failed");
  server.pass(100 * ms);
  server.failing = 0;
  server.fill_keys(2);
  say("the table of keys is full: a new booking is nacked");
  server.book_under(11, "new");
  say("a retry of one that has run gets its result, a retry of one whose run failed is failed");
  server.book_under(12, "done");
  server.book_under(13, "failed");
}

void test_full_keys_while_running() {
  SmallCore server;
  server.fill_keys(1);
  say("the table of keys is full: a retry of a booking that still runs gets its result");
  server.prints = false;
  server.run_time = 500 * ms;
  server.book_under(1, "running");
  server.prints = true;
  server.book_under(2, "running");
  server.pass(second);
}

void test_full_ops() {
  SmallCore server;
  server.book_under(1, "done");
  server.pass(100 * ms);
  server.run_time = 10 * second;
  server.book_under(2, "running");
  server.fill_ops(1);
  say("the table of ops is full: a new booking is nacked");
  server.book_under(11, "new");
  say("a retry of one that has run gets its result, a retry of one that runs is failed");
  server.book_under(12, "done");
  server.book_under(13, "running");
}

void test_two_bodies() {
  say("two ops under one mark have both run: a retry of either gets its result, a third body is nacked");
  SmallCore server;
  server.book_under(1, "mark", "first");
  server.book_under(2, "mark", "second");
  server.pass(100 * ms);
  server.prints = true;
  server.book_under(11, "mark", "first");
  server.book_under(12, "mark", "second");
  server.book_under(13, "mark", "third");
}

void test_id_in_use() {
  say("the connection of a booking ends while it runs: the same id again is failed, not nacked, while it "
      "runs");
  SmallCore server;
  server.run_time = 500 * ms;
  server.prints = true;
  server.book_under(1, "mark");
  server.recorder.stream_lost(server.now, {ConnectionId{2}, StreamId{1}});
  server.book_under(1, "mark");
  server.pass(second);
  say("afterwards it gets the result");
  server.book_under(1, "mark");
}

void test_reads() {
  SmallCore server;
  server.given["fresh_for_ns"] = 2e9;
  server.core = std::make_unique<Core>(server.now, server.given, server.recorder);
  server.recorder.bind(*server.core);
  server.link();
  say("reads of ever new items are kept to be shared: there is room for a booking all the same");
  for (std::uint64_t id = 1; id <= 2 * max_keys; ++id) {
    server.recorder.op_received(server.now, {ConnectionId{1}, StreamId{static_cast<std::uint32_t>(id)}},
                                OpId{id}, OpTypeId{look}, TenantId{0}, CallerId{1}, server.now, 2 * second, 1,
                                0.5, "", "item " + std::to_string(id), Content("body"), {});
    server.pass(5 * ms);
  }
  server.pass(100 * ms);
  server.prints = true;
  server.book_under(1001, "mark");
  server.pass(100 * ms);
}

} // namespace

int main() {
  test_reads();
  test_full_keys();
  test_full_keys_while_running();
  test_full_ops();
  test_two_bodies();
  test_id_in_use();
}
