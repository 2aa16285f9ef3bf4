// Peers: what one member orders, step by step; its words as bytes; and how often silence is wrongly taken for
// the end of a member, by fixed time-outs and by a rival that learns.
#include "printed_peers.hpp"

#include "pcg.hpp"

#include <cmath>

namespace {

constexpr Nanos ms = 1'000'000;

Settings figures() {
  return {{"peers.beat", 100e6},
          {"peers.silent", 300e6},
          {"peers.rest_least", 50e6},
          {"peers.rest_most", 400e6},
          {"peers.most_words", 3.0}};
}
const std::vector<MemberId> three{MemberId{1}, MemberId{2}, MemberId{3}};
void say(const char* what) { std::printf("# %s\n", what); }

struct Driver {
  PrintedPeers out;
  Voters voting;
  Peers peers;
  Nanos now = 0;
  explicit Driver(std::vector<MemberId> others = three, std::vector<MemberId> voters = three,
                  const Settings& more = {})
      : voting(0, MemberId{1}, {Epoch{1}, {voters.begin(), voters.end()}, {}}, ms),
        peers(0, speaker_of(1, 0), std::move(others), voting, with(more), 1, out) {}
  static Settings with(Settings more) {
    more.merge(figures());
    return more;
  }
  void to(Nanos time) { // with every wake-up on the way
    for (Nanos next; (next = peers.next_wake()) >= 0 && next <= time * ms;) {
      now = out.now = std::max(now, next);
      peers.due(now);
      peers.flush(now);
    }
    now = out.now = time * ms;
    peers.due(now);
    peers.flush(now);
  }
  void heard(std::uint32_t from, std::uint64_t number, std::uint64_t echo, std::uint64_t of = 70,
             bool leaving = false, const peer_codec::HeartbeatTerms& heartbeat = {}) {
    const bool taken = peers.received(now, MemberId{from}, Incarnation{of}, number, echo, Incarnation{7},
                                      leaving, heartbeat);
    if (!taken)
      std::printf("  %6lld letter %llu of %u is not taken\n", static_cast<long long>(now / ms),
                  static_cast<unsigned long long>(number), from);
  }
};

void steps() {
  const std::vector<MemberId> two{MemberId{1}, MemberId{2}};
  {
    say("dialled at once; the newest word about a matter takes the place of the one before; one letter at a "
        "time");
    Driver s(two, two);
    s.to(0);
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t",
                    peer_codec::ask(Epoch{1}, "t", AskNo{1}, Token{5}, ms));
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", peer_codec::release("t", AskNo{2}));
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::response, "t",
                    peer_codec::grant(Incarnation{70}, "t", AskNo{9}, true));
    s.peers.connected(10 * ms, MemberId{2});
    s.to(10);
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::update, "u", peer_codec::done("u", Token{6}, 0));
    s.to(20);
    s.peers.written(30 * ms, MemberId{2});
    s.to(30);
    s.peers.written(30 * ms, MemberId{2});
    say("a beat where there is nothing to say");
    s.heard(2, 1, 2);
    s.to(130);
    say("no room for a fourth matter; a word too long for one is none");
    for (const char* matter : {"a", "b", "c", "d"})
      std::printf("  %s\n", s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, matter, "x")
                                ? "taken"
                                : "no room");
    std::printf("  %s, and to nobody of that number %s\n",
                s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "a", std::string(1000, 'x'))
                    ? "taken"
                    : "not taken",
                s.peers.enqueue(MemberId{9}, Peers::MessageClass::request, "a", "x") ? "taken" : "not taken");
  }
  {
    say("one that takes nothing: hung up after the time of silence, dialled again after rests that grow");
    Driver s(two, two);
    s.out.words_too = false;
    s.to(0);
    s.peers.connected(0, MemberId{2});
    for (int tries = 0; tries < 5; ++tries) {
      const int before = s.out.dials;
      for (Nanos at = s.now / ms + 10; s.out.dials == before; at += 10) s.to(at);
      s.peers.connected(s.now, MemberId{2});
      s.to(s.now / ms);
    }
    say("it answers: the next rest is the shortest again");
    s.heard(2, 1, static_cast<std::uint64_t>(s.out.messages));
    s.peers.broken(s.now, MemberId{2});
    s.to(s.now / ms + 80);
  }
  {
    say("silent, and heard again: dialled at once; deaf where it is heard and answers nothing; left where it "
        "says so");
    Driver s(two, two);
    s.out.words_too = false;
    s.to(0);
    s.peers.connected(0, MemberId{2});
    s.heard(2, 1, 0);
    s.to(299);
    s.to(300);
    s.heard(2, 2, 0);
    s.to(310);
    s.peers.connected(310 * ms, MemberId{2});
    s.to(310);
    s.peers.written(310 * ms, MemberId{2});
    for (Nanos at = 400; at <= 700; at += 100) {
      s.to(at);
      s.heard(2, static_cast<std::uint64_t>(at), 0); // of no message that this member sent
      s.peers.written(s.now, MemberId{2});
    }
    s.to(700);
    s.heard(2, 701, 0, 70, true);
    s.to(1500);
  }
  {
    say("a letter that comes twice, or after a later one; one of another life of the member; two lives by "
        "turns");
    Driver s(two, two);
    s.out.quiet = true;
    s.to(0);
    s.out.quiet = false;
    s.heard(2, 5, 0);
    s.heard(2, 5, 0);
    s.heard(2, 4, 0);
    s.heard(2, 1, 0, 71);
    s.to(100);
    s.heard(2, 6, 0, 70); // still under way when it ended
    s.to(500);
    s.heard(2, 2, 0, 71);
    s.heard(2, 7, 0, 70);
    s.heard(2, 8, 0, 70);
  }
  {
    say("who does not vote dials voters only; a voter dials whom it hears, and forgets who is gone for long");
    Driver member({MemberId{2}, MemberId{3}}, {MemberId{2}});
    member.to(0);
    member.heard(3, 1, 0);
    member.to(50);
    member.out.quiet = true;
    member.to(1199);
    member.out.quiet = false;
    std::printf("  hears no voter any more:\n");
    member.to(1200);
    Driver voter({MemberId{2}, MemberId{3}}, {MemberId{1}});
    voter.to(0);
    voter.heard(3, 1, 0);
    voter.to(50);
    voter.peers.connected(50 * ms, MemberId{3});
    voter.out.words_too = false;
    voter.out.quiet = true;
    for (Nanos at = 100; at <= 13'000; at += 100) {
      voter.to(at);
      voter.peers.written(voter.now, MemberId{3});
    }
    voter.out.quiet = false;
    std::printf("  after 13 s: %s\n", voter.peers.status()[1].dials > 1 && voter.peers.next_wake() < 0
                                          ? "nothing is due"
                                          : "it still tries");
  }
  {
    say("leaving: it is said once more to all, and nobody is dialled any more");
    Driver s(two, two);
    s.to(0);
    s.peers.connected(0, MemberId{2});
    s.to(0);
    s.peers.written(0, MemberId{2});
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", peer_codec::release("t", AskNo{4}));
    s.peers.leave(10 * ms);
    std::printf("  all said: %s\n", s.peers.all_sent() ? "yes" : "no");
    s.to(10);
    s.peers.written(10 * ms, MemberId{2});
    std::printf("  all said: %s\n", s.peers.all_sent() ? "yes" : "no");
    s.peers.broken(20 * ms, MemberId{2});
    s.to(1000);
  }
}

std::vector<MemberId> members(std::uint32_t first, std::uint32_t last) {
  std::vector<MemberId> all;
  for (; first <= last; ++first) all.push_back(MemberId{first});
  return all;
}

// Members that come and go, lines by choice, and beats that were agreed on.
void changing() {
  const std::vector<MemberId> two = members(1, 2);
  const auto yes = [](bool is) { return is ? "yes" : "no"; };
  {
    say("silence is judged by what was promised; without a promise, as in letters of earlier builds, by the "
        "figures; a promise for ever counts as ten minutes");
    Driver s(two, two);
    s.out.words_too = false;
    s.to(0);
    s.heard(2, 1, 0, 70, false, {500 * ms, 0, false});
    s.out.quiet = true;
    s.to(1499);
    s.out.quiet = false;
    s.to(1500);
    s.heard(2, 2, 0);
    s.to(1799);
    std::printf("  until then: %s\n", std::string(to_text(s.peers.peer_state(MemberId{2}))).c_str());
    s.out.quiet = true;
    s.to(1800);
    std::printf("  then: %s\n", std::string(to_text(s.peers.peer_state(MemberId{2}))).c_str());
    s.heard(2, 3, 0, 70, false, {Nanos{1} << 60, 0, false});
    std::printf("  patience %lld s\n",
                static_cast<long long>(s.peers.status()[0].unresponsive_timeout / (1000 * ms)));
  }
  {
    say("asked for fewer letters: it promises what it will keep; what there is to say goes at once; asked "
        "for "
        "nothing any more: the beat of the figures");
    Driver s(two, two);
    s.to(0);
    s.peers.connected(0, MemberId{2});
    s.to(0);
    s.peers.written(0, MemberId{2});
    s.heard(2, 1, 1, 70, false, {250 * ms, 250 * ms, false});
    s.to(100);
    s.peers.written(100 * ms, MemberId{2});
    s.heard(2, 2, 2, 70, false, {250 * ms, 250 * ms, false});
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", peer_codec::release("t", AskNo{2}));
    s.to(200);
    s.peers.written(200 * ms, MemberId{2});
    s.heard(2, 3, 3);
    s.to(450);
    s.peers.written(450 * ms, MemberId{2});
    s.heard(2, 4, 4);
    s.to(550);
  }
  {
    say("with 30 lines: each gets fewer letters, and is asked for fewer; in a second as many as 20 would "
        "get; but one of an earlier build gets as many as ever");
    Driver s(members(2, 31), {MemberId{1}});
    s.out.quiet = true;
    for (const MemberId member : members(2, 31)) s.heard(member.raw, 1, 0);
    s.to(0);
    for (const MemberId member : members(2, 31)) s.peers.connected(0, member);
    s.to(0);
    std::printf("  %zu lines, a beat of %lld ms\n", s.peers.connections(),
                static_cast<long long>(s.peers.heartbeat_interval() / ms));
    int before = 0;
    std::uint64_t number = 1, to_old = 0;
    for (Nanos at = 0; at < 3000; at += 10) {
      for (const MemberId member : members(2, 31)) {
        s.peers.written(s.now, member);
        if (at % 100 == 0)
          s.heard(member.raw, number + 1, s.peers.status()[member.raw - 2].messages, 70, false,
                  {member == MemberId{31} ? 0 : 100 * ms, 0, false});
      }
      number += at % 100 == 0;
      if (at == 1000) before = s.out.messages, to_old = s.peers.status()[29].messages;
      s.to(at + 10);
    }
    std::printf("  letters in two seconds: %d, of them %llu to that one\n", s.out.messages - before,
                static_cast<unsigned long long>(s.peers.status()[29].messages - to_old));
    s.out.quiet = false;
    s.peers.written(s.now, MemberId{2});
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", peer_codec::release("t", AskNo{2}));
    s.to(s.now / ms);
  }
  {
    say("members come and go: the same twice, itself, one too many; one that goes with words waiting, on a "
        "line that stands; it is not heard, and dialled anew when it comes back");
    Driver s(two, members(1, 4), {{"peers.most_members", 2.0}});
    s.to(0);
    s.peers.connected(0, MemberId{2});
    s.to(0);
    std::printf("  2: %s, 1: %s, 3: %s", yes(s.peers.add(0, MemberId{2})), yes(s.peers.add(0, MemberId{1})),
                yes(s.peers.add(0, MemberId{3})));
    std::printf(", 4: %s, known: %zu\n", yes(s.peers.add(0, MemberId{4})), s.peers.known());
    s.to(5);
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", peer_codec::release("t", AskNo{2}));
    std::printf("  all said: %s\n", yes(s.peers.all_sent()));
    s.peers.remove(6 * ms, MemberId{2});
    s.peers.remove(6 * ms, MemberId{2});
    s.peers.written(6 * ms, MemberId{2});
    s.peers.broken(6 * ms, MemberId{2});
    std::printf("  all said: %s, known: %zu, lines: %zu\n", yes(s.peers.all_sent()), s.peers.known(),
                s.peers.connections());
    s.to(10);
    s.heard(2, 1, 0);
    s.peers.add(10 * ms, MemberId{2});
    s.to(10);
    s.peers.connected(12 * ms, MemberId{2});
    s.to(12);
  }
  {
    say("by choice: voters are not dialled, nor who is heard; who is kept is, until it isn't, and what waits "
        "goes with it");
    Driver s(three, three, {{"peers.by_choice", 1.0}});
    s.to(0);
    s.heard(3, 1, 0);
    s.peers.enqueue(MemberId{3}, Peers::MessageClass::control, "", peer_codec::control("ab"));
    s.to(10);
    std::printf("  next wake %lld, room %zu\n", static_cast<long long>(s.peers.next_wake() / ms),
                s.peers.free_bytes(MemberId{3}));
    s.to(20);
    s.peers.request_connection(20 * ms, MemberId{3}, true);
    s.to(20);
    s.peers.enqueue(MemberId{3}, Peers::MessageClass::control, "", peer_codec::control("ab"));
    s.peers.enqueue_all(Peers::MessageClass::update, "t", peer_codec::done("t", Token{1}, 0));
    s.peers.connected(22 * ms, MemberId{3});
    s.to(22);
    s.peers.written(22 * ms, MemberId{3});
    s.heard(3, 2, 1);
    std::printf("  up: %s\n", yes(s.peers.is_connected(MemberId{3})));
    s.to(30);
    s.peers.enqueue(MemberId{3}, Peers::MessageClass::control, "", peer_codec::control("abc"));
    s.peers.request_connection(30 * ms, MemberId{3}, false);
    s.to(30);
    std::printf("  kept, where nobody has the number: %s; up: %s, room %zu\n",
                yes(s.peers.request_connection(30 * ms, MemberId{9}, true)),
                yes(s.peers.is_connected(MemberId{3})), s.peers.free_bytes(MemberId{3}));
    s.out.quiet = true;
    s.to(2000);
    std::printf("  dials: %d\n", s.out.dials);
  }
  {
    say("no voter is heard: three others are asked, then three others; each is told that it is lonely");
    Driver s(members(1, 20), {MemberId{2}});
    s.to(1300);
    for (const MemberId member : members(3, 20)) s.peers.connected(s.now, member);
    s.to(1310);
    s.to(2100);
    say("a voter is heard: they are asked no more");
    s.heard(2, 1, 0);
    s.to(2110);
    say("who is asked answers by a line back, while it is asked; eight of them at a time");
    Driver other(members(1, 20), {MemberId{2}});
    other.out.quiet = true;
    other.to(0);
    other.out.quiet = false;
    for (const MemberId member : members(3, 15)) other.heard(member.raw, 1, 0, 70, false, {0, 0, true});
    other.out.words_too = false;
    other.to(10);
    other.out.quiet = true;
    for (const MemberId member : members(3, 15)) other.peers.connected(other.now, member);
    other.to(10);
    other.out.quiet = false;
    other.heard(3, 2, 0);
    other.to(20);
    other.out.quiet = true;
    other.to(311);
    std::printf("  lines after the time of silence: %zu\n", other.peers.connections());
  }
  {
    say("bytes that wait are bounded; a word about the same that has no room leaves the earlier one; others "
        "go "
        "before those of control, which wait for a letter at the most");
    Driver s(two, two, {{"peers.most_waiting_bytes", 60'000.0}, {"peers.most_words", 100.0}});
    const auto control = [&](const char* about, std::size_t bytes) {
      return s.peers.enqueue(MemberId{2}, Peers::MessageClass::control, about,
                             peer_codec::control(std::string(bytes, 'x')));
    };
    s.to(0);
    const auto room = [&](const char* what, bool taken) {
      std::printf("  %s: %s, room %zu\n", what, yes(taken), s.peers.free_bytes(MemberId{2}));
    };
    room("a word over the most", control("a", peer_codec::max_control_bytes + 1));
    int taken = 0;
    for (const char* about : {"a", "b", "c", "d", "e", "f", "g", "h"})
      taken += control(about, peer_codec::max_control_bytes);
    std::printf("  of eight the largest: %d\n", taken);
    room("about the same, smaller", control("a", 100));
    room("one more of the largest", control("h", peer_codec::max_control_bytes));
    room("and another", control("i", peer_codec::max_control_bytes));
    room("about the same, larger", control("a", peer_codec::max_control_bytes));
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", peer_codec::release("t", AskNo{2}));
    s.peers.connected(10 * ms, MemberId{2});
    s.to(10);
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", peer_codec::release("t", AskNo{3}));
    for (int n = 0; n < 3; ++n) {
      s.peers.written(20 * ms, MemberId{2});
      s.to(20);
    }
    std::printf("  room %zu\n", s.peers.free_bytes(MemberId{2}));
  }
}

// Lines on which TCP sends again and again, between members that promised little.
void stalled() {
  const std::vector<MemberId> two = members(1, 2);
  const peer_codec::HeartbeatTerms rarely{100'000 * ms, 0, false};
  const auto ask = [](int n) {
    return peer_codec::ask(Epoch{1}, "t", AskNo{static_cast<std::uint64_t>(n)}, Token{5}, ms);
  };
  const auto up = [&](Driver& s, Nanos at) { // a line that takes what is written
    s.to(at);
    s.peers.connected(s.now, MemberId{2});
    s.to(at);
    s.peers.written(s.now, MemberId{2});
  };
  {
    say("a word that asks, and nothing is heard for the time of silence, whatever was promised: hung up and "
        "dialled again; what asks and answers waits for the new line, what tells and controls is dropped");
    Driver s(two, two);
    up(s, 0);
    s.heard(2, 1, 1, 70, false, rarely);
    s.to(20);
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", ask(1));
    s.to(20);
    s.peers.written(s.now, MemberId{2});
    s.to(200); // a beat on the way
    s.peers.written(s.now, MemberId{2});
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", ask(2));
    s.to(200);
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", ask(3));
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::response, "t",
                    peer_codec::grant(Incarnation{70}, "t", AskNo{9}, true));
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::update, "t", peer_codec::done("t", Token{6}, 0));
    s.to(319);
    std::printf("  until then: %d hung up\n", s.out.hang_ups);
    s.to(320);
    up(s, 400);
    s.heard(2, 2, 5, 70, false, rarely);
    s.to(490);
    std::printf("  it answers: %d hung up, the member %s\n", s.out.hang_ups,
                std::string(to_text(s.peers.peer_state(MemberId{2}))).c_str());
    s.out.quiet = true;
    const auto waits = [&](const char* what) {
      std::printf("  %zu words wait %s\n", s.peers.status()[0].waiting, what);
    };
    s.peers.broken(s.now, MemberId{2});
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", ask(4));
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::response, "t",
                    peer_codec::grant(Incarnation{70}, "t", AskNo{9}, true));
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::control, "t", peer_codec::control("ab"));
    waits("for a line");
    for (const int before = s.out.dials; s.out.dials == before;) s.to(s.now / ms + 10);
    s.peers.broken(s.now, MemberId{2});
    waits("after a dial that came to nothing: none of control");
  }
  {
    say("a word of control, the same; a beat without words and a release ask for nothing");
    Driver s(two, two);
    s.out.words_too = false;
    up(s, 0);
    s.heard(2, 1, 1, 70, false, rarely);
    s.to(50);
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::control, "t", peer_codec::control("ab"));
    s.to(50);
    s.peers.written(s.now, MemberId{2});
    s.to(60);
    s.heard(2, 2, 2, 70, false, rarely);
    s.out.quiet = true;
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", peer_codec::release("t", AskNo{2}));
    for (Nanos at = 150; at <= 1000; at += 10) {
      s.to(at);
      s.peers.written(s.now, MemberId{2});
    }
    s.out.quiet = false;
    std::printf("  a release, and beats for the rest of a second: %d hung up\n", s.out.hang_ups);
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::control, "t", peer_codec::control("ab"));
    s.to(1000);
    s.peers.written(s.now, MemberId{2});
    s.out.quiet = true;
    for (Nanos at = 1010; at <= 1290; at += 10) {
      s.to(at);
      s.peers.written(s.now, MemberId{2});
    }
    s.out.quiet = false;
    s.to(1299);
    s.to(1300);
  }
  {
    say("it writes, and has not heard what went out longer ago than the time of silence: the line goes, not "
        "yet the word that it hears; that goes by what it promised, over the new lines too");
    Driver s(two, two);
    s.out.words_too = false;
    up(s, 0);
    s.heard(2, 1, 0, 70, false, {500 * ms, 500 * ms, false});
    s.to(299);
    s.heard(2, 2, 0, 70, false, {500 * ms, 500 * ms, false});
    s.to(299);
    s.to(300);
    s.heard(2, 3, 0, 70, false, {500 * ms, 500 * ms, false});
    s.to(300);
    up(s, 400);
    s.heard(2, 4, 0, 70, false, {500 * ms, 500 * ms, false});
    for (Nanos at = 450; at <= 1500; at += 50) {
      s.to(at);
      s.peers.written(s.now, MemberId{2});
    }
    s.heard(2, 5, s.peers.status()[0].messages, 70, false, {500 * ms, 500 * ms, false});
    say("deafness by what was promised, on one line");
    Driver other(two, two);
    other.out.words_too = false;
    up(other, 0);
    other.heard(2, 1, 1, 70, false, {500 * ms, 500 * ms, false});
    other.to(100);
    other.peers.written(other.now, MemberId{2});
    other.heard(2, 2, 1, 70, false, {500 * ms, 500 * ms, false});
    other.out.quiet = true;
    for (Nanos at = 110; at < 1590; at += 10) {
      other.to(at);
      other.peers.written(other.now, MemberId{2});
      if (at == 390) other.heard(2, 3, 1, 70, false, {500 * ms, 500 * ms, false});
    }
    other.out.quiet = false;
    other.to(1599);
    other.to(1600);
  }
  {
    say("a voter that first hears a member long after its own start: well; deaf where it isn't reached "
        "within "
        "the time of silence");
    Driver s({MemberId{2}, MemberId{3}}, {MemberId{1}}, {{"peers.rest_least", 400e6}});
    s.to(5000);
    s.heard(2, 1, 0, 70, false, rarely);
    s.to(5000);
    s.peers.broken(s.now, MemberId{2});
    s.to(5299);
    s.to(5310);
    say("it goes, and comes again in another life long after: the same");
    s.out.quiet = true;
    s.heard(2, 2, 0, 70, true);
    s.to(5320);
    s.to(9000);
    s.out.quiet = false;
    s.heard(2, 1, 0, 71, false, rarely);
    s.to(9000);
  }
  {
    say("wanted again while a dial rests: unreached from then on");
    Driver s(two, two, {{"peers.by_choice", 1.0}, {"peers.rest_least", 4000e6}, {"peers.rest_most", 4000e6}});
    s.out.words_too = false;
    s.peers.request_connection(0, MemberId{2}, true);
    up(s, 0);
    s.heard(2, 1, 1, 70, false, rarely);
    s.peers.request_connection(100 * ms, MemberId{2}, false);
    s.to(100);
    s.to(1000);
    s.peers.request_connection(1000 * ms, MemberId{2}, true);
    s.to(1000);
    s.to(1299);
    s.to(1300);
  }
}

// As bytes: nothing that was spoilt is taken.
void bytes() {
  say("words as bytes: each kind, in one letter");
  const std::string said = peer_codec::ask(Epoch{1}, "lease", AskNo{3}, Token{0x10002}, 5 * ms) +
                           peer_codec::release("other", AskNo{4}) +
                           peer_codec::grant(Incarnation{9}, "lease", AskNo{5}, true) +
                           peer_codec::refuse(Incarnation{9}, "third", AskNo{6}, Token{1}, ms) +
                           peer_codec::done("sweep", Token{2}, ms) +
                           peer_codec::voters(Epoch{2}, {Epoch{3}, {MemberId{1}}, {MemberId{2}}});
  const peer_codec::Sender sender = speaker_of(1, 2);
  const std::string frame = peer_codec::message(sender, 8, 3, Incarnation{70}, false, said);
  const std::string payload = frame.substr(9);
  SaidWords out;
  std::printf("  %zu bytes, %s\n", frame.size(),
              peer_codec::decode_message(payload, sender, out) ? "read" : "not read");
  say("each bit of it turned; cut at each byte; said by another, to another, in another life, in another "
      "fleet; noise");
  SaidWords none;
  none.quiet = true;
  int bits = 0, cuts = 0, others = 0, noises = 0;
  for (std::size_t bit = 0; bit < payload.size() * 8; ++bit) {
    std::string spoilt = payload;
    spoilt[bit / 8] = static_cast<char>(spoilt[bit / 8] ^ (1 << bit % 8));
    bits += peer_codec::decode_message(spoilt, sender, none);
  }
  for (std::size_t size = 0; size < payload.size(); ++size)
    cuts += peer_codec::decode_message(payload.substr(0, size), sender, none);
  others += peer_codec::decode_message(payload, speaker_of(3, 2), none) +
            peer_codec::decode_message(payload, speaker_of(1, 3), none) +
            peer_codec::decode_message(payload, speaker_of(1, 2, 8), none) +
            peer_codec::decode_message(payload, {"other", MemberId{1}, MemberId{2}, Incarnation{7}}, none);
  Pcg chance(1);
  peer_codec::Sender who;
  for (int n = 0; n < 20'000; ++n) {
    std::string noise(chance.next() % 200, '\0');
    for (char& c : noise) c = static_cast<char>(chance.next());
    noises += peer_codec::decode_message(noise, sender, none) + peer_codec::decode_hello(noise, who);
  }
  std::printf("  taken: %d of %zu, %d of %zu, %d of 4, %d of 40000\n", bits, payload.size() * 8, cuts,
              payload.size(), others, noises);
  const std::string hello = peer_codec::hello(sender).substr(9);
  const bool greeted = peer_codec::decode_hello(hello, who);
  std::printf("  a greeting: %s, member %u of %s to %u\n", greeted ? "read" : "not read", who.from.raw,
              who.fleet.c_str(), who.to.raw);
}

// Simulated: a beat every 100 ms over a link whose delays have a tail, and the end of a member at last. How
// often a living member counts as silent, and how soon a dead one does.
void detectors() {
  say("silence taken for the end, in 20 simulated hours of beats (delays: 2 ms and exponential 10 ms, one in "
      "200 a stall of up to a second)");
  const double hours = 20;
  const Nanos beat = 500 * ms;
  for (const int silent :
       {2, 3, 4, 8, 0}) { // 0: the rival, which learns mean and spread (phi accrual, phi 8)
    Pcg chance(7);
    int alarms = 0;
    double mean = 500, square = 500 * 500 + 15 * 15;
    Nanos last = 0, latest = 0;
    Nanos unresponsive_timeout = 0;
    for (Nanos at = 0; at < static_cast<Nanos>(hours * 3600e9); at += beat) {
      double delay = 2 - 10 * std::log(1 - chance.unit());
      if (chance.unit() < 0.005) delay += 1000 * chance.unit();
      latest = std::max(latest, at + static_cast<Nanos>(delay * 1e6)); // one connection: order is kept
      const double gap = static_cast<double>(latest - last) / 1e6;
      const double spread = std::sqrt(std::max(1.0, square - mean * mean));
      unresponsive_timeout = silent > 0 ? silent * beat : static_cast<Nanos>((mean + 5.6 * spread) * 1e6);
      if (latest - last >= unresponsive_timeout) ++alarms;
      mean += (gap - mean) / 200;
      square += (gap * gap - square) / 200;
      last = latest;
    }
    if (silent > 0)
      std::printf("  %2d beats: %.1f an hour; an end is known after at most %lld ms\n", silent,
                  alarms / hours, static_cast<long long>(unresponsive_timeout / ms));
    else
      std::printf("  learnt:   %.1f an hour; an end is known after some %lld ms\n", alarms / hours,
                  static_cast<long long>(unresponsive_timeout / ms / 10 * 10));
  }
}

} // namespace

int main() {
  steps();
  changing();
  stalled();
  bytes();
  detectors();
}
