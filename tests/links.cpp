// The sockets between the servers of a fleet: one member under test, and valid and invalid peers that the
// test plays.
#include "links.hpp"

#include "driver.hpp"

#include <asio/io_context.hpp>

namespace {

struct RecordedEvents final : Links::Handler {
  int messages = 0, events = 0;
  bool accept = true;
  std::string last;
  void print(const char* text, MemberId member) {
    ++events;
    std::printf("  %s %u\n", text, member.raw);
  }
  void connected(MemberId to) override { print("connected to", to); }
  void written(MemberId to) override { print("written to", to); }
  void broken(MemberId to) override { print("broken to", to); }
  bool message(const peer_codec::Sender& sender, std::string_view payload) override {
    ++messages;
    std::printf("  a message of member %u in incarnation %llu, %zu bytes\n", sender.from.raw,
                static_cast<unsigned long long>(sender.incarnation.raw), payload.size());
    return accept;
  }
  Links* lists_into = nullptr; // lists an unlisted member that connects
  Links::Tcp::endpoint unlisted_endpoint;
  bool accept_unlisted(const peer_codec::Sender& sender) override {
    if (lists_into) lists_into->add(sender.from, unlisted_endpoint);
    return lists_into != nullptr;
  }
  void log_event(std::string_view text) override {
    ++events;
    std::printf("  %.*s\n", static_cast<int>(text.size()), text.data());
  }
};

peer_codec::Sender sender(std::uint32_t from, std::uint32_t to, const char* fleet = "rig") {
  return {fleet, MemberId{from}, MemberId{to}, Incarnation{70}};
}

} // namespace

int main() {
  asio::io_context io;
  RecordedEvents recorded;
  TestConnection other = TestConnection::listening(6002);
  const auto at = [](int port) {
    const std::string address = TestConnection::at(port);
    return Links::Tcp::endpoint(asio::ip::make_address(address.substr(0, address.find(':'))),
                                static_cast<unsigned short>(port));
  };
  Links links(io, at(6001), {"rig", MemberId{1}, MemberId{}, Incarnation{7}},
              {{MemberId{2}, at(6002)}, {MemberId{3}, at(6003)}}, recorded);
  TestConnection::turn = [&] {
    io.restart();
    io.poll();
  };
  const auto say = [](const char* text) { std::printf("# %s\n", text); };
  const auto expect_event = [&](auto action) {
    const int before = recorded.events;
    action();
    TestConnection::until("events", [&] { return recorded.events > before; });
  };
  const auto expect_messages = [&](int more, auto action) {
    const int expected = recorded.messages + more;
    action();
    TestConnection::until("messages", [&] { return recorded.messages == expected; });
  };
  const std::string message =
      peer_codec::message(sender(2, 1), 1, 0, {}, false, peer_codec::release("t", AskNo{1}));

  say("dialled: it sends its hello, then one message at a time");
  links.dial(MemberId{2});
  TestConnection accepted = other.next();
  TestConnection::until("events", [&] { return recorded.events == 1; });
  peer_codec::Sender greeting_sender;
  const std::string greeting = accepted.take(peer_codec::hello(sender(1, 2)).size());
  const bool decoded = peer_codec::decode_hello(std::string_view(greeting).substr(9), greeting_sender);
  std::printf("  hello %s: member %u to %u in incarnation %llu\n", decoded ? "read" : "not read",
              greeting_sender.from.raw, greeting_sender.to.raw,
              static_cast<unsigned long long>(greeting_sender.incarnation.raw));
  expect_event([&] { links.send(MemberId{2}, message); });
  std::printf("  received unchanged: %s\n", accepted.take(message.size()) == message ? "yes" : "no");
  say("the other side closes; nobody listens; disconnected by this side, and no event of it follows");
  expect_event([&] { accepted = TestConnection::listening(6004); });
  expect_event([&] { links.dial(MemberId{3}); });
  links.dial(MemberId{2});
  links.disconnect(MemberId{2});
  for (int n = 0; n < 20; ++n) TestConnection::turn();
  accepted = other.next();
  accepted.to_end();

  say("dialled by a member: messages, whole and in pieces, two in one write");
  TestConnection good = TestConnection::to(6001);
  expect_messages(1, [&] {
    good.say(peer_codec::hello(sender(2, 1)) + message.substr(0, 20));
    good.say(message.substr(20));
  });
  expect_messages(2, [&] { good.say(message + message); });

  say("a hello of another fleet, to another member, of an unlisted member; no hello; a frame of another "
      "type");
  const auto expect_close = [&](const std::string& bytes) {
    TestConnection rejected = TestConnection::to(6001);
    expect_event([&] { rejected.say(bytes); });
    rejected.to_end();
  };
  expect_close(peer_codec::hello(sender(2, 1, "other")));
  expect_close(peer_codec::hello(sender(2, 3)));
  expect_close(peer_codec::hello(sender(9, 1)));
  expect_close(message);
  expect_close(frame_of(10, 1, {{"verb", "look"}}));
  say("invalid bytes, a length of 4 GB, one under the minimum, one over the largest message");
  expect_close("GET / HTTP/1.1\r\n\r\n");
  expect_close(std::string("\xff\xff\xff\xff\x28\0\0\0\0", 9));
  expect_close(std::string("\x01\0\0\0\x28\0\0\0\0", 9));
  expect_close(std::string("\0\0\x02\0\x28\0\0\0\0", 9));
  say("a message that is not accepted closes its connection; the other connection stays");
  recorded.accept = false;
  expect_event([&] { good.say(message); });
  good.to_end();
  recorded.accept = true;

  say("a member that dials again sends on the new connection: its earlier one is closed, and unread bytes "
      "are discarded");
  TestConnection first = TestConnection::to(6001);
  expect_messages(1, [&] { first.say(peer_codec::hello(sender(2, 1)) + message); });
  TestConnection second = TestConnection::to(6001);
  expect_messages(1, [&] { second.say(peer_codec::hello(sender(2, 1)) + message); });
  first.to_end();
  std::printf("  incoming connections: %zu\n", links.incoming());
  say("a connection without a hello is closed after the timeout; of too many, the one that was idle longest "
      "is closed");
  TestConnection without_hello = TestConnection::to(6001);
  expect_event([] {});
  without_hello.to_end();
  std::vector<TestConnection> crowd;
  for (int n = 0; n < 15; ++n) {
    crowd.push_back(TestConnection::to(6001));
    for (int turn = 0; turn < 5; ++turn) TestConnection::turn();
  }
  TestConnection::until("room", [&] { return links.incoming() == 12; });
  expect_messages(1, [&] { second.say(message); });
  std::printf("  incoming connections: %zu, and messages of the member still arrive\n", links.incoming());
  say("a member listed when it connects: received from, and dialled; a removed one: disconnected both ways, "
      "and ignored");
  recorded.lists_into = &links;
  recorded.unlisted_endpoint = at(6002);
  TestConnection unlisted = TestConnection::to(6001);
  expect_messages(1, [&] {
    unlisted.say(peer_codec::hello(sender(9, 1)) + peer_codec::message(sender(9, 1), 1, 0, {}, false, ""));
  });
  expect_event([&] { links.dial(MemberId{9}); });
  accepted = other.next();
  const std::size_t before = links.incoming();
  links.remove(MemberId{9});
  links.remove(MemberId{9});
  std::printf("  incoming connections: %zu less\n", before - links.incoming());
  unlisted.to_end();
  accepted.to_end();
  links.dial(MemberId{9});
  recorded.lists_into = nullptr;
  expect_close(peer_codec::hello(sender(9, 1)));
  say("closed: nothing is received any more");
  links.close();
  second.to_end();
}
