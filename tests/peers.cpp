// Peers: the actions of one member, step by step; the encoding of its messages; and how often a failure
// detector takes a delay for the end of a member, with fixed timeouts and with an adaptive one.
#include "printed_peers.hpp"

#include "pcg.hpp"

#include <cmath>

namespace {

constexpr Nanos ms = 1'000'000;

Settings default_settings() {
  return {{"peers.beat", 100e6},
          {"peers.silent", 300e6},
          {"peers.rest_least", 50e6},
          {"peers.rest_most", 400e6},
          {"peers.most_words", 3.0}};
}
const std::vector<MemberId> three{MemberId{1}, MemberId{2}, MemberId{3}};
void say(const char* text) { std::printf("# %s\n", text); }

struct Driver {
  PrintedPeers out;
  Voters voter_list;
  Peers peers;
  Nanos now = 0;
  explicit Driver(std::vector<MemberId> others = three, std::vector<MemberId> voters = three,
                  const Settings& more = {})
      : voter_list(0, MemberId{1}, {Epoch{1}, {voters.begin(), voters.end()}, {}}, ms),
        peers(0, sender_of(1, 0), std::move(others), voter_list, with_defaults(more), 1, out) {}
  static Settings with_defaults(Settings more) {
    more.merge(default_settings());
    return more;
  }
  void run_until(Nanos time) { // with all wake-ups until then
    for (Nanos next; (next = peers.next_wake()) >= 0 && next <= time * ms;) {
      now = out.now = std::max(now, next);
      peers.due(now);
      peers.flush(now);
    }
    now = out.now = time * ms;
    peers.due(now);
    peers.flush(now);
  }
  void receive(std::uint32_t from, std::uint64_t number, std::uint64_t acked, std::uint64_t incarnation = 70,
               bool leaving = false, const peer_codec::HeartbeatTerms& heartbeat = {}) {
    const bool accepted = peers.received(now, MemberId{from}, Incarnation{incarnation}, number, acked,
                                         Incarnation{7}, leaving, heartbeat);
    if (!accepted)
      std::printf("  %6lld message %llu of %u is not accepted\n", static_cast<long long>(now / ms),
                  static_cast<unsigned long long>(number), from);
  }
};

void steps() {
  const std::vector<MemberId> two{MemberId{1}, MemberId{2}};
  {
    say("dialled at once; a newer item replaces the pending one with its key; one message in flight at a "
        "time");
    Driver s(two, two);
    s.run_until(0);
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t",
                    peer_codec::ask(Epoch{1}, "t", AskNo{1}, Token{5}, ms));
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", peer_codec::release("t", AskNo{2}));
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::response, "t",
                    peer_codec::grant(Incarnation{70}, "t", AskNo{9}, true));
    s.peers.connected(10 * ms, MemberId{2});
    s.run_until(10);
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::update, "u", peer_codec::done("u", Token{6}, 0));
    s.run_until(20);
    s.peers.written(30 * ms, MemberId{2});
    s.run_until(30);
    s.peers.written(30 * ms, MemberId{2});
    say("a heartbeat when nothing is pending");
    s.receive(2, 1, 2);
    s.run_until(130);
    say("no room for a fourth key; an item over the size limit is rejected");
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
    say("a peer that reads nothing: disconnected after the unresponsive timeout, dialled again with growing "
        "backoff");
    Driver s(two, two);
    s.out.print_items = false;
    s.run_until(0);
    s.peers.connected(0, MemberId{2});
    for (int tries = 0; tries < 5; ++tries) {
      const int before = s.out.dials;
      for (Nanos at = s.now / ms + 10; s.out.dials == before; at += 10) s.run_until(at);
      s.peers.connected(s.now, MemberId{2});
      s.run_until(s.now / ms);
    }
    say("it acknowledges: the next backoff is the shortest again");
    s.receive(2, 1, static_cast<std::uint64_t>(s.out.messages));
    s.peers.broken(s.now, MemberId{2});
    s.run_until(s.now / ms + 80);
  }
  {
    say("unresponsive, then received from again: dialled at once; one-way when it sends but acknowledges "
        "nothing; left when it announces it");
    Driver s(two, two);
    s.out.print_items = false;
    s.run_until(0);
    s.peers.connected(0, MemberId{2});
    s.receive(2, 1, 0);
    s.run_until(299);
    s.run_until(300);
    s.receive(2, 2, 0);
    s.run_until(310);
    s.peers.connected(310 * ms, MemberId{2});
    s.run_until(310);
    s.peers.written(310 * ms, MemberId{2});
    for (Nanos at = 400; at <= 700; at += 100) {
      s.run_until(at);
      s.receive(2, static_cast<std::uint64_t>(at), 0); // acknowledges nothing that this member sent
      s.peers.written(s.now, MemberId{2});
    }
    s.run_until(700);
    s.receive(2, 701, 0, 70, true);
    s.run_until(1500);
  }
  {
    say("a duplicate message, and one out of order; a message of another incarnation; two incarnations in "
        "turns");
    Driver s(two, two);
    s.out.quiet = true;
    s.run_until(0);
    s.out.quiet = false;
    s.receive(2, 5, 0);
    s.receive(2, 5, 0);
    s.receive(2, 4, 0);
    s.receive(2, 1, 0, 71);
    s.run_until(100);
    s.receive(2, 6, 0, 70); // in flight when that incarnation ended
    s.run_until(500);
    s.receive(2, 2, 0, 71);
    s.receive(2, 7, 0, 70);
    s.receive(2, 8, 0, 70);
  }
  {
    say("a member that does not vote dials only voters; a voter dials the members it receives from, and "
        "stops after they are gone for long");
    Driver member({MemberId{2}, MemberId{3}}, {MemberId{2}});
    member.run_until(0);
    member.receive(3, 1, 0);
    member.run_until(50);
    member.out.quiet = true;
    member.run_until(1199);
    member.out.quiet = false;
    std::printf("  receives from no voter any more:\n");
    member.run_until(1200);
    Driver voter({MemberId{2}, MemberId{3}}, {MemberId{1}});
    voter.run_until(0);
    voter.receive(3, 1, 0);
    voter.run_until(50);
    voter.peers.connected(50 * ms, MemberId{3});
    voter.out.print_items = false;
    voter.out.quiet = true;
    for (Nanos at = 100; at <= 13'000; at += 100) {
      voter.run_until(at);
      voter.peers.written(voter.now, MemberId{3});
    }
    voter.out.quiet = false;
    std::printf("  after 13 s: %s\n", voter.peers.status()[1].dials > 1 && voter.peers.next_wake() < 0
                                          ? "nothing is due"
                                          : "it still tries");
  }
  {
    say("leaving: announced once more to all, and nobody is dialled any more");
    Driver s(two, two);
    s.run_until(0);
    s.peers.connected(0, MemberId{2});
    s.run_until(0);
    s.peers.written(0, MemberId{2});
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", peer_codec::release("t", AskNo{4}));
    s.peers.leave(10 * ms);
    std::printf("  all sent: %s\n", s.peers.all_sent() ? "yes" : "no");
    s.run_until(10);
    s.peers.written(10 * ms, MemberId{2});
    std::printf("  all sent: %s\n", s.peers.all_sent() ? "yes" : "no");
    s.peers.broken(20 * ms, MemberId{2});
    s.run_until(1000);
  }
}

std::vector<MemberId> members(std::uint32_t first, std::uint32_t last) {
  std::vector<MemberId> all;
  for (; first <= last; ++first) all.push_back(MemberId{first});
  return all;
}

// Adding and removing members, connections on request, and negotiated heartbeat intervals.
void membership_and_heartbeats() {
  const std::vector<MemberId> two = members(1, 2);
  const auto yes = [](bool is) { return is ? "yes" : "no"; };
  {
    say("the unresponsive timeout follows the promised interval; without one, as in messages of earlier "
        "builds, the settings; an unlimited promise counts as ten minutes");
    Driver s(two, two);
    s.out.print_items = false;
    s.run_until(0);
    s.receive(2, 1, 0, 70, false, {500 * ms, 0, false});
    s.out.quiet = true;
    s.run_until(1499);
    s.out.quiet = false;
    s.run_until(1500);
    s.receive(2, 2, 0);
    s.run_until(1799);
    std::printf("  until then: %s\n", std::string(to_text(s.peers.peer_state(MemberId{2}))).c_str());
    s.out.quiet = true;
    s.run_until(1800);
    std::printf("  then: %s\n", std::string(to_text(s.peers.peer_state(MemberId{2}))).c_str());
    s.receive(2, 3, 0, 70, false, {Nanos{1} << 60, 0, false});
    std::printf("  unresponsive timeout %lld s\n",
                static_cast<long long>(s.peers.status()[0].unresponsive_timeout / (1000 * ms)));
  }
  {
    say("asked for fewer messages: it promises the interval that it keeps; pending items are sent at once; "
        "no longer asked: the heartbeat interval of the settings");
    Driver s(two, two);
    s.run_until(0);
    s.peers.connected(0, MemberId{2});
    s.run_until(0);
    s.peers.written(0, MemberId{2});
    s.receive(2, 1, 1, 70, false, {250 * ms, 250 * ms, false});
    s.run_until(100);
    s.peers.written(100 * ms, MemberId{2});
    s.receive(2, 2, 2, 70, false, {250 * ms, 250 * ms, false});
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", peer_codec::release("t", AskNo{2}));
    s.run_until(200);
    s.peers.written(200 * ms, MemberId{2});
    s.receive(2, 3, 3);
    s.run_until(450);
    s.peers.written(450 * ms, MemberId{2});
    s.receive(2, 4, 4);
    s.run_until(550);
  }
  {
    say("with 30 connections: each gets fewer messages, and is asked for fewer; in a second as many as 20 "
        "would get; but a peer of an earlier build gets the full rate");
    Driver s(members(2, 31), {MemberId{1}});
    s.out.quiet = true;
    for (const MemberId member : members(2, 31)) s.receive(member.raw, 1, 0);
    s.run_until(0);
    for (const MemberId member : members(2, 31)) s.peers.connected(0, member);
    s.run_until(0);
    std::printf("  %zu connections, a heartbeat interval of %lld ms\n", s.peers.connections(),
                static_cast<long long>(s.peers.heartbeat_interval() / ms));
    int before = 0;
    std::uint64_t number = 1, to_old_build = 0;
    for (Nanos at = 0; at < 3000; at += 10) {
      for (const MemberId member : members(2, 31)) {
        s.peers.written(s.now, member);
        if (at % 100 == 0)
          s.receive(member.raw, number + 1, s.peers.status()[member.raw - 2].messages, 70, false,
                    {member == MemberId{31} ? 0 : 100 * ms, 0, false});
      }
      number += at % 100 == 0;
      if (at == 1000) before = s.out.messages, to_old_build = s.peers.status()[29].messages;
      s.run_until(at + 10);
    }
    std::printf("  messages in two seconds: %d, of them %llu to that one\n", s.out.messages - before,
                static_cast<unsigned long long>(s.peers.status()[29].messages - to_old_build));
    s.out.quiet = false;
    s.peers.written(s.now, MemberId{2});
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", peer_codec::release("t", AskNo{2}));
    s.run_until(s.now / ms);
  }
  {
    say("members are added and removed: the same one twice, itself, one too many; one removed with pending "
        "items while connected; its messages are ignored, and it is dialled when it is added again");
    Driver s(two, members(1, 4), {{"peers.most_members", 2.0}});
    s.run_until(0);
    s.peers.connected(0, MemberId{2});
    s.run_until(0);
    std::printf("  2: %s, 1: %s, 3: %s", yes(s.peers.add(0, MemberId{2})), yes(s.peers.add(0, MemberId{1})),
                yes(s.peers.add(0, MemberId{3})));
    std::printf(", 4: %s, known: %zu\n", yes(s.peers.add(0, MemberId{4})), s.peers.known());
    s.run_until(5);
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", peer_codec::release("t", AskNo{2}));
    std::printf("  all sent: %s\n", yes(s.peers.all_sent()));
    s.peers.remove(6 * ms, MemberId{2});
    s.peers.remove(6 * ms, MemberId{2});
    s.peers.written(6 * ms, MemberId{2});
    s.peers.broken(6 * ms, MemberId{2});
    std::printf("  all sent: %s, known: %zu, connections: %zu\n", yes(s.peers.all_sent()), s.peers.known(),
                s.peers.connections());
    s.run_until(10);
    s.receive(2, 1, 0);
    s.peers.add(10 * ms, MemberId{2});
    s.run_until(10);
    s.peers.connected(12 * ms, MemberId{2});
    s.run_until(12);
  }
  {
    say("connections on request only: neither voters nor members received from are dialled; a requested one "
        "is, until the request ends, and its pending items are dropped");
    Driver s(three, three, {{"peers.by_choice", 1.0}});
    s.run_until(0);
    s.receive(3, 1, 0);
    s.peers.enqueue(MemberId{3}, Peers::MessageClass::control, "", peer_codec::control("ab"));
    s.run_until(10);
    std::printf("  next wake %lld, room %zu\n", static_cast<long long>(s.peers.next_wake() / ms),
                s.peers.free_bytes(MemberId{3}));
    s.run_until(20);
    s.peers.request_connection(20 * ms, MemberId{3}, true);
    s.run_until(20);
    s.peers.enqueue(MemberId{3}, Peers::MessageClass::control, "", peer_codec::control("ab"));
    s.peers.enqueue_all(Peers::MessageClass::update, "t", peer_codec::done("t", Token{1}, 0));
    s.peers.connected(22 * ms, MemberId{3});
    s.run_until(22);
    s.peers.written(22 * ms, MemberId{3});
    s.receive(3, 2, 1);
    std::printf("  connected: %s\n", yes(s.peers.is_connected(MemberId{3})));
    s.run_until(30);
    s.peers.enqueue(MemberId{3}, Peers::MessageClass::control, "", peer_codec::control("abc"));
    s.peers.request_connection(30 * ms, MemberId{3}, false);
    s.run_until(30);
    std::printf("  request for an unknown number: %s; connected: %s, room %zu\n",
                yes(s.peers.request_connection(30 * ms, MemberId{9}, true)),
                yes(s.peers.is_connected(MemberId{3})), s.peers.free_bytes(MemberId{3}));
    s.out.quiet = true;
    s.run_until(2000);
    std::printf("  dials: %d\n", s.out.dials);
  }
  {
    say("nothing is received from any voter: three others are contacted, then three others; each is told "
        "that the sender is isolated");
    Driver s(members(1, 20), {MemberId{2}});
    s.run_until(1300);
    for (const MemberId member : members(3, 20)) s.peers.connected(s.now, member);
    s.run_until(1310);
    s.run_until(2100);
    say("a message of a voter arrives: they are contacted no more");
    s.receive(2, 1, 0);
    s.run_until(2110);
    say("a contacted member connects back while it is contacted; to eight members at a time");
    Driver other(members(1, 20), {MemberId{2}});
    other.out.quiet = true;
    other.run_until(0);
    other.out.quiet = false;
    for (const MemberId member : members(3, 15)) other.receive(member.raw, 1, 0, 70, false, {0, 0, true});
    other.out.print_items = false;
    other.run_until(10);
    other.out.quiet = true;
    for (const MemberId member : members(3, 15)) other.peers.connected(other.now, member);
    other.run_until(10);
    other.out.quiet = false;
    other.receive(3, 2, 0);
    other.run_until(20);
    other.out.quiet = true;
    other.run_until(311);
    std::printf("  connections after the unresponsive timeout: %zu\n", other.peers.connections());
  }
  {
    say("pending bytes are bounded; an item without room leaves the earlier one with its key; other classes "
        "go before control, which waits for one message at most");
    Driver s(two, two, {{"peers.most_waiting_bytes", 60'000.0}, {"peers.most_words", 100.0}});
    const auto control = [&](const char* about, std::size_t bytes) {
      return s.peers.enqueue(MemberId{2}, Peers::MessageClass::control, about,
                             peer_codec::control(std::string(bytes, 'x')));
    };
    s.run_until(0);
    const auto print_room = [&](const char* text, bool taken) {
      std::printf("  %s: %s, room %zu\n", text, yes(taken), s.peers.free_bytes(MemberId{2}));
    };
    print_room("an item over the size limit", control("a", peer_codec::max_control_bytes + 1));
    int taken = 0;
    for (const char* about : {"a", "b", "c", "d", "e", "f", "g", "h"})
      taken += control(about, peer_codec::max_control_bytes);
    std::printf("  of eight the largest: %d\n", taken);
    print_room("with the same key, smaller", control("a", 100));
    print_room("one more of the largest", control("h", peer_codec::max_control_bytes));
    print_room("and another", control("i", peer_codec::max_control_bytes));
    print_room("with the same key, larger", control("a", peer_codec::max_control_bytes));
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", peer_codec::release("t", AskNo{2}));
    s.peers.connected(10 * ms, MemberId{2});
    s.run_until(10);
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", peer_codec::release("t", AskNo{3}));
    for (int n = 0; n < 3; ++n) {
      s.peers.written(20 * ms, MemberId{2});
      s.run_until(20);
    }
    std::printf("  room %zu\n", s.peers.free_bytes(MemberId{2}));
  }
}

// Connections on which TCP retransmits for long, between members that promised only rare messages.
void stalled_connections() {
  const std::vector<MemberId> two = members(1, 2);
  const peer_codec::HeartbeatTerms rare_heartbeats{100'000 * ms, 0, false};
  const auto ask = [](int n) {
    return peer_codec::ask(Epoch{1}, "t", AskNo{static_cast<std::uint64_t>(n)}, Token{5}, ms);
  };
  const auto connect = [&](Driver& s, Nanos at) { // a connection on which writes complete
    s.run_until(at);
    s.peers.connected(s.now, MemberId{2});
    s.run_until(at);
    s.peers.written(s.now, MemberId{2});
  };
  {
    say("a request, and nothing is received for the unresponsive timeout, whatever was promised: "
        "disconnected and dialled again; requests and responses wait for the new connection, updates and "
        "control items are dropped");
    Driver s(two, two);
    connect(s, 0);
    s.receive(2, 1, 1, 70, false, rare_heartbeats);
    s.run_until(20);
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", ask(1));
    s.run_until(20);
    s.peers.written(s.now, MemberId{2});
    s.run_until(200); // with a heartbeat
    s.peers.written(s.now, MemberId{2});
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", ask(2));
    s.run_until(200);
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", ask(3));
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::response, "t",
                    peer_codec::grant(Incarnation{70}, "t", AskNo{9}, true));
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::update, "t", peer_codec::done("t", Token{6}, 0));
    s.run_until(319);
    std::printf("  until then: %d disconnected\n", s.out.disconnects);
    s.run_until(320);
    connect(s, 400);
    s.receive(2, 2, 5, 70, false, rare_heartbeats);
    s.run_until(490);
    std::printf("  it acknowledges: %d disconnected, the member %s\n", s.out.disconnects,
                std::string(to_text(s.peers.peer_state(MemberId{2}))).c_str());
    s.out.quiet = true;
    const auto print_waiting = [&](const char* text) {
      std::printf("  %zu items pending %s\n", s.peers.status()[0].waiting, text);
    };
    s.peers.broken(s.now, MemberId{2});
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", ask(4));
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::response, "t",
                    peer_codec::grant(Incarnation{70}, "t", AskNo{9}, true));
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::control, "t", peer_codec::control("ab"));
    print_waiting("for a connection");
    for (const int before = s.out.dials; s.out.dials == before;) s.run_until(s.now / ms + 10);
    s.peers.broken(s.now, MemberId{2});
    print_waiting("after a failed dial: none of control");
  }
  {
    say("the same with a control item; an empty heartbeat and a release expect no response");
    Driver s(two, two);
    s.out.print_items = false;
    connect(s, 0);
    s.receive(2, 1, 1, 70, false, rare_heartbeats);
    s.run_until(50);
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::control, "t", peer_codec::control("ab"));
    s.run_until(50);
    s.peers.written(s.now, MemberId{2});
    s.run_until(60);
    s.receive(2, 2, 2, 70, false, rare_heartbeats);
    s.out.quiet = true;
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::request, "t", peer_codec::release("t", AskNo{2}));
    for (Nanos at = 150; at <= 1000; at += 10) {
      s.run_until(at);
      s.peers.written(s.now, MemberId{2});
    }
    s.out.quiet = false;
    std::printf("  a release, and heartbeats for the rest of a second: %d disconnected\n", s.out.disconnects);
    s.peers.enqueue(MemberId{2}, Peers::MessageClass::control, "t", peer_codec::control("ab"));
    s.run_until(1000);
    s.peers.written(s.now, MemberId{2});
    s.out.quiet = true;
    for (Nanos at = 1010; at <= 1290; at += 10) {
      s.run_until(at);
      s.peers.written(s.now, MemberId{2});
    }
    s.out.quiet = false;
    s.run_until(1299);
    s.run_until(1300);
  }
  {
    say("it sends, but does not acknowledge what was sent before the unresponsive timeout: the connection is "
        "closed, but the peer is not yet one-way; that takes the timeout for its promised interval, across "
        "new connections");
    Driver s(two, two);
    s.out.print_items = false;
    connect(s, 0);
    s.receive(2, 1, 0, 70, false, {500 * ms, 500 * ms, false});
    s.run_until(299);
    s.receive(2, 2, 0, 70, false, {500 * ms, 500 * ms, false});
    s.run_until(299);
    s.run_until(300);
    s.receive(2, 3, 0, 70, false, {500 * ms, 500 * ms, false});
    s.run_until(300);
    connect(s, 400);
    s.receive(2, 4, 0, 70, false, {500 * ms, 500 * ms, false});
    for (Nanos at = 450; at <= 1500; at += 50) {
      s.run_until(at);
      s.peers.written(s.now, MemberId{2});
    }
    s.receive(2, 5, s.peers.status()[0].messages, 70, false, {500 * ms, 500 * ms, false});
    say("one-way after the timeout for the promised interval, on one connection");
    Driver other(two, two);
    other.out.print_items = false;
    connect(other, 0);
    other.receive(2, 1, 1, 70, false, {500 * ms, 500 * ms, false});
    other.run_until(100);
    other.peers.written(other.now, MemberId{2});
    other.receive(2, 2, 1, 70, false, {500 * ms, 500 * ms, false});
    other.out.quiet = true;
    for (Nanos at = 110; at < 1590; at += 10) {
      other.run_until(at);
      other.peers.written(other.now, MemberId{2});
      if (at == 390) other.receive(2, 3, 1, 70, false, {500 * ms, 500 * ms, false});
    }
    other.out.quiet = false;
    other.run_until(1599);
    other.run_until(1600);
  }
  {
    say("a voter that first receives from a member long after its own start: reachable; one-way when it is "
        "not connected to within the unresponsive timeout");
    Driver s({MemberId{2}, MemberId{3}}, {MemberId{1}}, {{"peers.rest_least", 400e6}});
    s.run_until(5000);
    s.receive(2, 1, 0, 70, false, rare_heartbeats);
    s.run_until(5000);
    s.peers.broken(s.now, MemberId{2});
    s.run_until(5299);
    s.run_until(5310);
    say("it leaves, and comes back in another incarnation long after: the same");
    s.out.quiet = true;
    s.receive(2, 2, 0, 70, true);
    s.run_until(5320);
    s.run_until(9000);
    s.out.quiet = false;
    s.receive(2, 1, 0, 71, false, rare_heartbeats);
    s.run_until(9000);
  }
  {
    say("wanted again during the backoff: unreached from then on");
    Driver s(two, two, {{"peers.by_choice", 1.0}, {"peers.rest_least", 4000e6}, {"peers.rest_most", 4000e6}});
    s.out.print_items = false;
    s.peers.request_connection(0, MemberId{2}, true);
    connect(s, 0);
    s.receive(2, 1, 1, 70, false, rare_heartbeats);
    s.peers.request_connection(100 * ms, MemberId{2}, false);
    s.run_until(100);
    s.run_until(1000);
    s.peers.request_connection(1000 * ms, MemberId{2}, true);
    s.run_until(1000);
    s.run_until(1299);
    s.run_until(1300);
  }
}

// Corrupted messages are rejected.
void encoding() {
  say("encoding: an item of each type, in one message");
  const std::string items = peer_codec::ask(Epoch{1}, "lease", AskNo{3}, Token{0x10002}, 5 * ms) +
                            peer_codec::release("other", AskNo{4}) +
                            peer_codec::grant(Incarnation{9}, "lease", AskNo{5}, true) +
                            peer_codec::refuse(Incarnation{9}, "third", AskNo{6}, Token{1}, ms) +
                            peer_codec::done("sweep", Token{2}, ms) +
                            peer_codec::voters(Epoch{2}, {Epoch{3}, {MemberId{1}}, {MemberId{2}}});
  const peer_codec::Sender sender = sender_of(1, 2);
  const std::string frame = peer_codec::message(sender, 8, 3, Incarnation{70}, false, items);
  const std::string payload = frame.substr(9);
  PrintedItems out;
  std::printf("  %zu bytes, %s\n", frame.size(),
              peer_codec::decode_message(payload, sender, out) ? "read" : "not read");
  say("each bit flipped; truncated at each byte; another sender, recipient, incarnation or fleet; random "
      "bytes");
  PrintedItems rejected;
  rejected.quiet = true;
  int bits = 0, cuts = 0, other_senders = 0, random_inputs = 0;
  for (std::size_t bit = 0; bit < payload.size() * 8; ++bit) {
    std::string corrupted = payload;
    corrupted[bit / 8] = static_cast<char>(corrupted[bit / 8] ^ (1 << bit % 8));
    bits += peer_codec::decode_message(corrupted, sender, rejected);
  }
  for (std::size_t size = 0; size < payload.size(); ++size)
    cuts += peer_codec::decode_message(payload.substr(0, size), sender, rejected);
  other_senders +=
      peer_codec::decode_message(payload, sender_of(3, 2), rejected) +
      peer_codec::decode_message(payload, sender_of(1, 3), rejected) +
      peer_codec::decode_message(payload, sender_of(1, 2, 8), rejected) +
      peer_codec::decode_message(payload, {"other", MemberId{1}, MemberId{2}, Incarnation{7}}, rejected);
  Pcg chance(1);
  peer_codec::Sender sender_in_hello;
  for (int n = 0; n < 20'000; ++n) {
    std::string random_input(chance.next() % 200, '\0');
    for (char& c : random_input) c = static_cast<char>(chance.next());
    random_inputs += peer_codec::decode_message(random_input, sender, rejected) +
                     peer_codec::decode_hello(random_input, sender_in_hello);
  }
  std::printf("  taken: %d of %zu, %d of %zu, %d of 4, %d of 40000\n", bits, payload.size() * 8, cuts,
              payload.size(), other_senders, random_inputs);
  const std::string hello = peer_codec::hello(sender).substr(9);
  const bool decoded = peer_codec::decode_hello(hello, sender_in_hello);
  std::printf("  a greeting: %s, member %u of %s to %u\n", decoded ? "read" : "not read",
              sender_in_hello.from.raw, sender_in_hello.fleet.c_str(), sender_in_hello.to.raw);
}

// Simulates heartbeats over a link whose delays have a long tail: how often a running member is taken for
// unresponsive, and how soon a stopped one is detected.
void failure_detectors() {
  say("false alarms of failure detectors, in 20 simulated hours of heartbeats (delays: 2 ms and exponential "
      "10 ms, one in 200 a stall of up to a second)");
  const double hours = 20;
  const Nanos beat = 500 * ms;
  for (const int missed_beats :
       {2, 3, 4, 8, 0}) { // 0: an adaptive detector that learns mean and spread (phi accrual, phi 8)
    Pcg chance(7);
    int alarms = 0;
    double mean = 500, mean_square = 500 * 500 + 15 * 15;
    Nanos last_arrival = 0, latest_arrival = 0;
    Nanos unresponsive_timeout = 0;
    for (Nanos at = 0; at < static_cast<Nanos>(hours * 3600e9); at += beat) {
      double delay = 2 - 10 * std::log(1 - chance.unit());
      if (chance.unit() < 0.005) delay += 1000 * chance.unit();
      latest_arrival =
          std::max(latest_arrival, at + static_cast<Nanos>(delay * 1e6)); // one connection keeps the order
      const double gap = static_cast<double>(latest_arrival - last_arrival) / 1e6;
      const double spread = std::sqrt(std::max(1.0, mean_square - mean * mean));
      unresponsive_timeout =
          missed_beats > 0 ? missed_beats * beat : static_cast<Nanos>((mean + 5.6 * spread) * 1e6);
      if (latest_arrival - last_arrival >= unresponsive_timeout) ++alarms;
      mean += (gap - mean) / 200;
      mean_square += (gap * gap - mean_square) / 200;
      last_arrival = latest_arrival;
    }
    if (missed_beats > 0)
      std::printf("  %2d intervals: %.1f an hour; a failure is detected after at most %lld ms\n",
                  missed_beats, alarms / hours, static_cast<long long>(unresponsive_timeout / ms));
    else
      std::printf("  learned:  %.1f an hour; a failure is detected after some %lld ms\n", alarms / hours,
                  static_cast<long long>(unresponsive_timeout / ms / 10 * 10));
  }
}

} // namespace

int main() {
  steps();
  membership_and_heartbeats();
  stalled_connections();
  encoding();
  failure_detectors();
}
