// Frames and notices in fragments, and in all forms that the protocol permits: order and spelling of fields,
// stream numbers, sizes, and which bytes arrive together. Each message must be read exactly once,
// with the same contents in every form.
#include "driver.hpp"
#include "front.hpp"
#include "interpreter.hpp"

#include <asio/io_context.hpp>

constexpr Nanos second = 1000 * ms;

namespace {

void section(const char* what) { std::printf("# %s\n", what); }

// Records a description of each op that is read, and refuses the op unless `leave_open` is set.
struct OpRecorder final : Front::Handler {
  Front* front = nullptr;
  bool leave_open = false;
  std::string words;
  std::size_t ops = 0;
  void op_received(StreamRef line, OpId id, OpTypeId type, TenantId tenant, CallerId caller, Nanos door,
                   Nanos limit, double held_kb, double rank, std::string_view mark, std::string_view subject,
                   std::string_view body) override {
    char text[300];
    std::snprintf(
        text, sizeof text,
        "%llx type %u tenant %u caller %llu door %lld limit %lld kb %g rank %g mark %.*s subject %.*s ",
        static_cast<unsigned long long>(id.raw), type.raw, tenant.raw,
        static_cast<unsigned long long>(caller.raw), static_cast<long long>(door / ms),
        static_cast<long long>(limit / ms), held_kb, rank, static_cast<int>(mark.size()), mark.data(),
        static_cast<int>(subject.size()), subject.data());
    unsigned sum = 0;
    for (const char c : body) sum = sum * 31 + static_cast<unsigned char>(c);
    words += text + std::to_string(body.size()) + " bytes, " + std::to_string(sum) + '\n';
    ++ops;
    if (!leave_open) front->refused(line, 0, false);
  }
  void stream_lost(StreamRef) override { words += "lost\n"; }
  std::string take() { return std::exchange(words, {}); }
};

struct FrontFixture {
  asio::io_context io;
  OpRecorder recorder;
  Clock clock{[] { return second; }};
  Front front{io,
              TestConnection::at(5050),
              24,
              256 * 1024,
              {{"look", "book"}, {false, true}, {"acme", "other"}, true},
              clock,
              recorder};
  TestConnection peer;
  FrontFixture() : peer((begin(), TestConnection::to(5050))) {}
  ~FrontFixture() {
    TestConnection::turn = [] {};
  }
  void begin() {
    recorder.front = &front;
    front.accept_retry_delay(ms);
    front.set_eviction_order({Eviction::newest}, 4000);
    front.connection_drain_delay(second);
    TestConnection::turn = [this] {
      io.restart();
      io.poll();
      front.flush();
    };
  }
};

std::string all_byte_values() {
  std::string bytes;
  for (int i = 0; i < 2048; ++i) bytes += static_cast<char>(i);
  return bytes;
}

void test_fragmentation() {
  section("a request, a check and a keyed request: split at each byte, and byte by byte");
  FrontFixture fixture;
  fixture.peer.set_no_delay();
  std::uint32_t stream = 0;
  const auto three_frames = [&] {
    stream += 3;
    return ask(stream - 2, "9b1f03aa5c7e2d41", {{"item", "7f3a9c21e0b4d655"}}, "a body") +
           frame_of(frames::health_check, stream - 1, {{"at", "1"}}) +
           ask(stream, "9b1f03aa5c7e2d42", {{"verb", "book"}, {"unique", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}},
               "");
  };
  const auto heard = [&] {
    std::string prefixes;
    for (int i = 0; i < 3; ++i) prefixes += fixture.peer.frame().substr(0, 7);
    return prefixes;
  };
  fixture.peer.say(three_frames());
  const std::string answers = heard(), whole = fixture.recorder.take();
  std::printf("%s", whole.c_str());
  std::size_t cuts = 0, alike = 0;
  for (std::size_t at = 1;; ++at) {
    const std::string bytes = three_frames();
    if (at >= bytes.size()) break;
    fixture.peer.say(std::string_view(bytes).substr(0, at));
    fixture.peer.say(std::string_view(bytes).substr(at));
    ++cuts;
    alike += heard() == answers && fixture.recorder.take() == whole;
  }
  for (const char byte : three_frames()) fixture.peer.say(std::string_view(&byte, 1));
  ++cuts;
  alike += heard() == answers && fixture.recorder.take() == whole;
  std::printf("  over 250 cuts: %d, all alike: %d\n", cuts > 250, alike == cuts);

  section("two hundred requests at once, beyond every limit of a single read");
  std::string all;
  for (int i = 0; i < 200; ++i)
    all += ask(++stream, "9b1f03aa5c7e2d41", {}, std::string(static_cast<std::size_t>(i * 9), 'x'));
  const std::size_t before = fixture.recorder.ops;
  fixture.peer.say(all);
  for (int i = 0; i < 200; ++i) fixture.peer.frame();
  std::printf("  %zu read\n", fixture.recorder.ops - before);
}

void test_request_forms() {
  section("fields in another order, additional and empty fields; the limits of each number; bodies");
  FrontFixture fixture;
  std::uint32_t stream = 0;
  const auto read = [&](const std::string& bytes) {
    fixture.peer.say(bytes);
    const std::string answer = fixture.peer.frame(), words = fixture.recorder.take();
    std::printf("  %s  %s\n", words.c_str(), answer.c_str());
  };
  const std::string txn = "00000000000000ff";
  read(frame_of(frames::request, ++stream,
                {{"standing", "0"},
                 {"ram", "0.001"},
                 {"limit", "1"},
                 {"team", "other"},
                 {"lb", "0"},
                 {"door", "0"},
                 {"txn", txn},
                 {"verb", "look"}}));
  read(ask(++stream, txn,
           {{"standing", "0.99999"},
            {"ram", "1999.99"},
            {"limit", "3600000"},
            {"lb", "4294967295"},
            {"door", "1764576000123"}}));
  read(ask(++stream, txn, {{"standing", "0.6250"}, {"ram", "1e1"}}));
  read(ask(++stream, "9B1F03AA5C7E2D41"));
  Fields many{
      {"verb", "book"}, {"txn", txn},   {"door", "1000"},    {"lb", "4"}, {"team", "acme"},
      {"limit", "10"},  {"ram", "1.5"}, {"standing", "0.5"}, {"", ""},    {"unique", std::string(64, 'u')},
      {"item", ""}};
  for (int i = 0; many.size() < 255; ++i) many.emplace_back("f" + std::to_string(i), i % 2 ? "" : "value");
  read(frame_of(frames::request, ++stream, many, "b"));
  read(ask(++stream, txn, {{"unique", "a mark where none is asked for"}}, ""));
  read(ask(++stream, txn, {}, all_byte_values()));

  section("health checks: on any stream, repeated, without fields, as long as a frame may be");
  for (const std::uint32_t on : {0u, 7u, 7u, 4294967295u}) read(frame_of(frames::health_check, on, {}));
  Fields longest;
  for (int i = 0; i < 5; ++i) longest.emplace_back("f" + std::to_string(i), std::string(50'000, 'x'));
  std::string frame = frame_of(frames::health_check, 1, longest);
  frame.append(frames::max_length + 4 - frame.size(), 'y'); // bytes after the fields
  for (int i = 0; i < 4; ++i)
    frame[static_cast<std::size_t>(i)] = static_cast<char>(frames::max_length >> 8 * i);
  read(frame);
  read(ask(++stream, txn));

  section("new streams in any order: descending, with gaps, random");
  const std::size_t before = fixture.recorder.ops;
  std::size_t asked = 0, answered = 0;
  const auto on = [&](std::uint32_t number) {
    fixture.peer.say(ask(number, txn));
    ++asked;
    answered += fixture.peer.frame() == "answer on " + std::to_string(number) + ": code 14";
  };
  for (std::uint32_t i = 300; i > 100; --i) on(i);
  for (std::uint32_t i = 1000; i < 3000; i += 7) on(i);
  Pcg random(5);
  for (int i = 0; i < 300; ++i) on(4000 + (random.next() >> 8));
  on(4294967295u);
  std::printf("  all read: %d, all answered on theirs: %d\n", fixture.recorder.ops - before == asked,
              answered == asked);

  section("a stream that is still open is not new, however many were opened since");
  TestConnection other = TestConnection::to(5050);
  fixture.recorder.leave_open = true;
  other.say(ask(10, txn));
  fixture.recorder.leave_open = false;
  for (std::uint32_t i = 1; i <= 200; ++i) other.say(ask(10 + 2 * i, txn)), other.frame();
  other.say(ask(10, txn));
  std::printf("  %s\n", other.frame().c_str());
}

struct NoticeRecorder final : InterpreterLink::Handler {
  std::string words;
  int caught = 0;
  void machine_up(Nanos since) override { words += "  up for " + std::to_string(since / ms) + "\n"; }
  void caught_up(std::uint64_t) override { ++caught; }
  void run_over(OpId id, Outcome outcome, Nanos lag, std::string result) override {
    words += "  run " + std::to_string(id.raw) + " over: " + std::to_string(static_cast<int>(outcome)) +
             " after " + std::to_string(lag / 1000) + " us, " + result + "\n";
  }
  void call_wanted(OpId id, std::string body) override {
    words += "  run " + std::to_string(id.raw) + " wants " + body + "\n";
  }
  void gauges(std::span<const double> values) override {
    words += "  gauges " + std::to_string(values.size()) + ", last " +
             std::to_string(values.empty() ? 0 : static_cast<int>(values.back())) + "\n";
  }
  void command_rejected(OpId id, std::string_view command) override {
    words += "  " + std::string(command) + " " + std::to_string(id.raw) + " not carried out\n";
  }
};

void test_notice_forms() {
  section("notices in other orders, with spaces, escapes, unknown members, lines ended as in a "
          "terminal; "
          "whole, split at each byte, and byte by byte");
  const std::string up = "{\"wall_ms\" : 1.25e3, \"code\":\"running\",\"action\":\"BANNER\"}\r\n";
  const std::string more =
      "{ \"pos\":1 "
      ",\"content\":\"Y2FsbA==\",\"uid\":\"000000000000000a\",\"action\":\"AWAIT\",\"more\":{\"pos\":9,"
      "\"list\":[1,{\"uid\":\"x\"}]}}\n"
      "\t{\"\\u0061ction\":\"VAL\\u0055E\",\"uid\":\"00000000\\u0030000000a\",\"pos\":2,\"code\":\"fine\","
      "\"content\":\"Pz8\\/\\u0063mVzdWx0\",\"wall_ms\":0.5}  \r\n"
      "\n"
      "{\"action\":\"TRACE\",\"pos\":3,\"code\":\"\\\"\\\\ \xc3\xa9 \\ud83d\\ude00\"}\n"
      "{\"action\":\"VALUE\",\"pos\":4,\"uid\":\"000000000000000b\",\"code\":\"late\"}\n"
      "{\"code\":\"RESOLVE\",\"uid\":\"000000000000000b\",\"action\":\"ERROR\"}\n"
      "{\"action\":\"VALUE\",\"pos\":5,\"uid\":\"000000000000000c\",\"code\":\"fine\",\"content\":\"\","
      "\"wall_ms\":7}\n";
  const std::string gauges = "{\"meters\":[0.5, 1E1 ,3,12e1],\"echo\":\"1\",\"action\":\"TOPS\"}\n";
  TestConnection machines = TestConnection::listening(7300);
  std::string first;
  std::size_t cuts = 0, alike = 0;
  for (std::size_t cut = 0; cut <= more.size(); ++cut) { // unfragmented first, byte by byte last
    asio::io_context io;
    NoticeRecorder heard;
    InterpreterLink link(io, TestConnection::at(7300), 1 << 20, heard);
    link.link_reconnect_delay(ms);
    TestConnection::turn = [&] {
      io.restart();
      io.poll();
      link.flush();
    };
    TestConnection at = machines.next();
    at.set_no_delay();
    at.line();
    at.say(up);
    at.line();
    if (cut == more.size()) {
      for (const char byte : more) at.say(std::string_view(&byte, 1));
    } else {
      at.say(std::string_view(more).substr(0, cut));
      at.say(std::string_view(more).substr(cut));
    }
    at.say(gauges);
    TestConnection::until("gauges", [&] { return heard.caught == 1; });
    if (cut == 0) std::printf("%s", (first = heard.words).c_str());
    ++cuts;
    alike += heard.words == first;
    TestConnection::turn = [] {};
  }
  std::printf("  over 500 cuts: %d, all alike: %d\n", cuts > 500, alike == cuts);
}

} // namespace

int main() {
  test_fragmentation();
  test_request_forms();
  test_notice_forms();
}
