// The sockets between servers of a fleet: a member, and others that the test plays itself, good and bad.
#include "links.hpp"

#include "driver.hpp"

#include <asio/io_context.hpp>

namespace {

struct Told final : Links::Taker {
  int letters = 0, news = 0;
  bool good = true;
  std::string last;
  void say(const char* what, MemberId of) {
    ++news;
    std::printf("  %s %u\n", what, of.raw);
  }
  void connected(MemberId to) override { say("connected to", to); }
  void written(MemberId to) override { say("written to", to); }
  void broken(MemberId to) override { say("broken to", to); }
  bool letter(const words::Speaker& speaker, std::string_view payload) override {
    ++letters;
    std::printf("  a letter of member %u in incarnation %llu, %zu bytes\n", speaker.from.raw,
                static_cast<unsigned long long>(speaker.incarnation.raw), payload.size());
    return good;
  }
  Links* into = nullptr; // whom to list who asks to be
  Links::Tcp::endpoint listens;
  bool welcome(const words::Speaker& speaker) override {
    if (into) into->add(speaker.from, listens);
    return into != nullptr;
  }
  void remark(std::string_view words) override {
    ++news;
    std::printf("  %.*s\n", static_cast<int>(words.size()), words.data());
  }
};

words::Speaker speaker(std::uint32_t from, std::uint32_t to, const char* fleet = "rig") {
  return {fleet, MemberId{from}, MemberId{to}, Incarnation{70}};
}

} // namespace

int main() {
  asio::io_context io;
  Told told;
  Peer other = Peer::listening(6002);
  const auto at = [](int port) {
    const std::string where = Peer::at(port);
    return Links::Tcp::endpoint(asio::ip::make_address(where.substr(0, where.find(':'))),
                                static_cast<unsigned short>(port));
  };
  Links links(io, at(6001), {"rig", MemberId{1}, MemberId{}, Incarnation{7}},
              {{MemberId{2}, at(6002)}, {MemberId{3}, at(6003)}}, told);
  Peer::turn = [&] {
    io.restart();
    io.poll();
  };
  const auto say = [](const char* what) { std::printf("# %s\n", what); };
  const auto news = [&](auto act) {
    const int before = told.news;
    act();
    Peer::until("news", [&] { return told.news > before; });
  };
  const auto letters = [&](int more, auto act) {
    const int all = told.letters + more;
    act();
    Peer::until("letters", [&] { return told.letters == all; });
  };
  const std::string letter = words::letter(speaker(2, 1), 1, 0, {}, false, words::release("t", AskNo{1}));

  say("dialled: it says who it is, then a letter at a time");
  links.dial(MemberId{2});
  Peer near = other.next();
  Peer::until("news", [&] { return told.news == 1; });
  words::Speaker who;
  const std::string greeting = near.take(words::hello(speaker(1, 2)).size());
  const bool greeted = words::read_hello(std::string_view(greeting).substr(9), who);
  std::printf("  greeting %s: member %u to %u in incarnation %llu\n", greeted ? "read" : "not read",
              who.from.raw, who.to.raw, static_cast<unsigned long long>(who.incarnation.raw));
  news([&] { links.send(MemberId{2}, letter); });
  std::printf("  as it was given: %s\n", near.take(letter.size()) == letter ? "yes" : "no");
  say("the other side closes; nobody listens; hung up by this side, and nothing of it follows");
  news([&] { near = Peer::listening(6004); });
  news([&] { links.dial(MemberId{3}); });
  links.dial(MemberId{2});
  links.hang_up(MemberId{2});
  for (int n = 0; n < 20; ++n) Peer::turn();
  near = other.next();
  near.to_end();

  say("dialled by a member: letters, whole and in pieces, two in one");
  Peer good = Peer::to(6001);
  letters(1, [&] {
    good.say(words::hello(speaker(2, 1)) + letter.substr(0, 20));
    good.say(letter.substr(20));
  });
  letters(2, [&] { good.say(letter + letter); });

  say("what names another fleet, another member, nobody that is listed; no greeting; a frame of another "
      "kind");
  const auto closed = [&](const std::string& bytes) {
    Peer bad = Peer::to(6001);
    news([&] { bad.say(bytes); });
    bad.to_end();
  };
  closed(words::hello(speaker(2, 1, "other")));
  closed(words::hello(speaker(2, 3)));
  closed(words::hello(speaker(9, 1)));
  closed(letter);
  closed(frame_of(10, 1, {{"verb", "look"}}));
  say("noise, a length of 4 GB, one under the least, one over a letter's most");
  closed("GET / HTTP/1.1\r\n\r\n");
  closed(std::string("\xff\xff\xff\xff\x28\0\0\0\0", 9));
  closed(std::string("\x01\0\0\0\x28\0\0\0\0", 9));
  closed(std::string("\0\0\x02\0\x28\0\0\0\0", 9));
  say("a letter that is not taken ends its connection; the good one goes on");
  told.good = false;
  news([&] { good.say(letter); });
  good.to_end();
  told.good = true;

  say("a member that dials anew speaks there: its earlier connection ends, and what still lies there is not "
      "heard");
  Peer first = Peer::to(6001);
  letters(1, [&] { first.say(words::hello(speaker(2, 1)) + letter); });
  Peer second = Peer::to(6001);
  letters(1, [&] { second.say(words::hello(speaker(2, 1)) + letter); });
  first.to_end();
  std::printf("  connections in: %zu\n", links.incoming());
  say("one that says nothing is closed after a while; of too many, the one that was silent longest goes");
  Peer mute = Peer::to(6001);
  news([] {});
  mute.to_end();
  std::vector<Peer> crowd;
  for (int n = 0; n < 15; ++n) {
    crowd.push_back(Peer::to(6001));
    for (int turn = 0; turn < 5; ++turn) Peer::turn();
  }
  Peer::until("room", [&] { return links.incoming() == 12; });
  letters(1, [&] { second.say(letter); });
  std::printf("  connections in: %zu, and the member is still heard\n", links.incoming());
  say("one that is listed when it comes: heard, and dialled; one that goes: hung up both ways, and heard no "
      "more");
  told.into = &links;
  told.listens = at(6002);
  Peer nine = Peer::to(6001);
  letters(1,
          [&] { nine.say(words::hello(speaker(9, 1)) + words::letter(speaker(9, 1), 1, 0, {}, false, "")); });
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
  closed(words::hello(speaker(9, 1)));
  say("closed: nobody is heard any more");
  links.close();
  second.to_end();
}
