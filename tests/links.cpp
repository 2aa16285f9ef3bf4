// The sockets between servers of a fleet: a member, and others that the test plays itself, good and bad.
#include "links.hpp"

#include "driver.hpp"

#include <asio/io_context.hpp>

namespace {

struct Told final : Links::Handler {
  int messages = 0, news = 0;
  bool good = true;
  std::string last;
  void say(const char* what, MemberId of) {
    ++news;
    std::printf("  %s %u\n", what, of.raw);
  }
  void connected(MemberId to) override { say("connected to", to); }
  void written(MemberId to) override { say("written to", to); }
  void broken(MemberId to) override { say("broken to", to); }
  bool message(const peer_codec::Sender& sender, std::string_view payload) override {
    ++messages;
    std::printf("  a letter of member %u in incarnation %llu, %zu bytes\n", sender.from.raw,
                static_cast<unsigned long long>(sender.incarnation.raw), payload.size());
    return good;
  }
  Links* into = nullptr; // whom to list who asks to be
  Links::Tcp::endpoint listens;
  bool accept_unlisted(const peer_codec::Sender& sender) override {
    if (into) into->add(sender.from, listens);
    return into != nullptr;
  }
  void log_event(std::string_view words) override {
    ++news;
    std::printf("  %.*s\n", static_cast<int>(words.size()), words.data());
  }
};

peer_codec::Sender sender(std::uint32_t from, std::uint32_t to, const char* fleet = "rig") {
  return {fleet, MemberId{from}, MemberId{to}, Incarnation{70}};
}

} // namespace

int main() {
  asio::io_context io;
  Told told;
  TestConnection other = TestConnection::listening(6002);
  const auto at = [](int port) {
    const std::string where = TestConnection::at(port);
    return Links::Tcp::endpoint(asio::ip::make_address(where.substr(0, where.find(':'))),
                                static_cast<unsigned short>(port));
  };
  Links links(io, at(6001), {"rig", MemberId{1}, MemberId{}, Incarnation{7}},
              {{MemberId{2}, at(6002)}, {MemberId{3}, at(6003)}}, told);
  TestConnection::turn = [&] {
    io.restart();
    io.poll();
  };
  const auto say = [](const char* what) { std::printf("# %s\n", what); };
  const auto news = [&](auto act) {
    const int before = told.news;
    act();
    TestConnection::until("news", [&] { return told.news > before; });
  };
  const auto messages = [&](int more, auto act) {
    const int all = told.messages + more;
    act();
    TestConnection::until("letters", [&] { return told.messages == all; });
  };
  const std::string message =
      peer_codec::message(sender(2, 1), 1, 0, {}, false, peer_codec::release("t", AskNo{1}));

  say("dialled: it says who it is, then a letter at a time");
  links.dial(MemberId{2});
  TestConnection near = other.next();
  TestConnection::until("news", [&] { return told.news == 1; });
  peer_codec::Sender who;
  const std::string greeting = near.take(peer_codec::hello(sender(1, 2)).size());
  const bool greeted = peer_codec::decode_hello(std::string_view(greeting).substr(9), who);
  std::printf("  greeting %s: member %u to %u in incarnation %llu\n", greeted ? "read" : "not read",
              who.from.raw, who.to.raw, static_cast<unsigned long long>(who.incarnation.raw));
  news([&] { links.send(MemberId{2}, message); });
  std::printf("  as it was given: %s\n", near.take(message.size()) == message ? "yes" : "no");
  say("the other side closes; nobody listens; hung up by this side, and nothing of it follows");
  news([&] { near = TestConnection::listening(6004); });
  news([&] { links.dial(MemberId{3}); });
  links.dial(MemberId{2});
  links.disconnect(MemberId{2});
  for (int n = 0; n < 20; ++n) TestConnection::turn();
  near = other.next();
  near.to_end();

  say("dialled by a member: letters, whole and in pieces, two in one");
  TestConnection good = TestConnection::to(6001);
  messages(1, [&] {
    good.say(peer_codec::hello(sender(2, 1)) + message.substr(0, 20));
    good.say(message.substr(20));
  });
  messages(2, [&] { good.say(message + message); });

  say("what names another fleet, another member, nobody that is listed; no greeting; a frame of another "
      "kind");
  const auto closed = [&](const std::string& bytes) {
    TestConnection bad = TestConnection::to(6001);
    news([&] { bad.say(bytes); });
    bad.to_end();
  };
  closed(peer_codec::hello(sender(2, 1, "other")));
  closed(peer_codec::hello(sender(2, 3)));
  closed(peer_codec::hello(sender(9, 1)));
  closed(message);
  closed(frame_of(10, 1, {{"verb", "look"}}));
  say("noise, a length of 4 GB, one under the least, one over a letter's most");
  closed("GET / HTTP/1.1\r\n\r\n");
  closed(std::string("\xff\xff\xff\xff\x28\0\0\0\0", 9));
  closed(std::string("\x01\0\0\0\x28\0\0\0\0", 9));
  closed(std::string("\0\0\x02\0\x28\0\0\0\0", 9));
  say("a letter that is not taken ends its connection; the good one goes on");
  told.good = false;
  news([&] { good.say(message); });
  good.to_end();
  told.good = true;

  say("a member that dials anew speaks there: its earlier connection ends, and what still lies there is not "
      "heard");
  TestConnection first = TestConnection::to(6001);
  messages(1, [&] { first.say(peer_codec::hello(sender(2, 1)) + message); });
  TestConnection second = TestConnection::to(6001);
  messages(1, [&] { second.say(peer_codec::hello(sender(2, 1)) + message); });
  first.to_end();
  std::printf("  connections in: %zu\n", links.incoming());
  say("one that says nothing is closed after a while; of too many, the one that was silent longest goes");
  TestConnection mute = TestConnection::to(6001);
  news([] {});
  mute.to_end();
  std::vector<TestConnection> crowd;
  for (int n = 0; n < 15; ++n) {
    crowd.push_back(TestConnection::to(6001));
    for (int turn = 0; turn < 5; ++turn) TestConnection::turn();
  }
  TestConnection::until("room", [&] { return links.incoming() == 12; });
  messages(1, [&] { second.say(message); });
  std::printf("  connections in: %zu, and the member is still heard\n", links.incoming());
  say("one that is listed when it comes: heard, and dialled; one that goes: hung up both ways, and heard no "
      "more");
  told.into = &links;
  told.listens = at(6002);
  TestConnection nine = TestConnection::to(6001);
  messages(1, [&] {
    nine.say(peer_codec::hello(sender(9, 1)) + peer_codec::message(sender(9, 1), 1, 0, {}, false, ""));
  });
  news([&] { links.dial(MemberId{9}); });
  near = other.next();
  const std::size_t all = links.incoming();
  links.remove(MemberId{9});
  links.remove(MemberId{9});
  std::printf("  connections in: %zu less\n", all - links.incoming());
  nine.to_end();
  near.to_end();
  links.dial(MemberId{9});
  told.into = nullptr;
  closed(peer_codec::hello(sender(9, 1)));
  say("closed: nobody is heard any more");
  links.close();
  second.to_end();
}
