// Every way in which Front ends a connection, with bytes that arrive at the same moment: whatever was read is
// answered, whatever was not is never executed as an op, and no reset destroys responses that the peer has
// not read yet.
#include "front_fixture.hpp"

#include <sys/syscall.h>

constexpr std::size_t max_connections = 24;

// Replaces the system's accept(): the next `aborted_accepts` connections are aborted before they are
// accepted.
static int aborted_accepts = 0;
extern "C" int accept(int at, sockaddr* from, socklen_t* size) {
  const int fd = static_cast<int>(syscall(SYS_accept, at, from, size));
  if (fd < 0 || aborted_accepts == 0) return fd;
  --aborted_accepts;
  close(fd);
  errno = ECONNABORTED;
  return -1;
}

namespace {

struct Fixture : FrontFixture {
  Fixture() : FrontFixture(max_connections) {}
  StreamRef send_request(TestConnection& peer, std::uint32_t stream) {
    const std::size_t before = handler.streams.size();
    peer.say(ask(stream, "9b1f03aa5c7e2d41"));
    TestConnection::until("op", [&] { return handler.streams.size() > before; });
    return handler.streams.back();
  }
  // A peer with one op answered, whose response it has not read.
  TestConnection answered(std::uint32_t stream = 1) {
    TestConnection peer = TestConnection::to(5050);
    front.served(send_request(peer, stream), "result");
    turn();
    return peer;
  }
};

void say(const char* what) { std::printf("# %s\n", what); }
// Prints the peer's remaining frames, and whether the connection ended by a reset.
void print_to_end(TestConnection& peer, int frames) {
  for (int i = 0; i < frames; ++i) std::printf("  %s\n", peer.frame().c_str());
  peer.to_end();
  std::printf("  the end%s\n", peer.was_reset() ? ", by a reset" : "");
}
void print_after_end(Fixture& b, TestConnection& peer, std::size_t ops) {
  for (int i = 0; i < 4; ++i) b.turn();
  std::printf("  after it: %s, %zu ops read\n", peer.was_reset() ? "a reset" : "no reset",
              b.handler.streams.size() - ops);
}
const std::string request = ask(7, "9b1f03aa5c7e2d42");

// Ends a connection by `end`, while its peer sends `bytes`.
void test_crossing(const char* what, const std::string& bytes,
                   const std::function<void(Fixture&, TestConnection&)>& end) {
  say(what);
  Fixture b;
  TestConnection peer = b.answered();
  end(b, peer);
  TestConnection::until("end on our side", [&] { return b.front.connections() == 0; });
  const std::size_t ops = b.handler.streams.size();
  peer.send_without_turn(bytes);
  print_to_end(peer, 2);
  peer.send_without_turn(bytes); // later bytes are discarded too
  print_after_end(b, peer, ops);
}

} // namespace

int main() {
  const auto idle = [](Fixture& b, TestConnection&) {
    b.front.set_idle_timeout(second);
    b.pass(second);
    b.pass(second / 2);
  };
  test_crossing("idle timeout: a whole request arrives during the close", request, idle);
  test_crossing("the same, half a request", request.substr(0, 40), idle);
  test_crossing("the same, more than its buffers hold", std::string(100'000, 'x'), idle);
  test_crossing("the listener closes, as in a drain: a request arrives while the last connection closes",
                request, [](Fixture& b, TestConnection&) {
                  b.front.stop_accepting();
                  b.turn();
                  b.pass(second / 2);
                });

  say("a request read after the drain delay, just before the close, is handled normally");
  {
    Fixture b;
    TestConnection peer = b.answered();
    b.front.set_idle_timeout(second);
    b.pass(second);
    b.now += second / 2;
    peer.send_without_turn(request); // found by the read before the close
    b.turn();
    TestConnection::until("op", [&] { return b.handler.streams.size() == 2; });
    std::printf("  %zu connections\n", b.front.connections());
    b.front.served(b.handler.streams[1], "crossed");
    b.turn();
    b.pass(second / 2);
    print_to_end(peer, 3);
  }

  say("told to go away long after the last turn, as after a pause: it has all of the drain delay");
  {
    Fixture b;
    TestConnection peer = b.answered();
    b.now += 490 * ms;
    b.front.stop_accepting();
    b.turn();
    b.pass(second / 4);
    std::printf("  %zu connections after half of it\n", b.front.connections());
    b.pass(second / 4);
    std::printf("  %zu connections at its end\n", b.front.connections());
  }

  say("accepted long after the last turn: its first frame has all of its time");
  {
    Fixture b;
    b.turn();
    b.now += 490 * ms;
    TestConnection peer = TestConnection::to(5050);
    peer.say(request.substr(0, 40));
    b.pass(5 * second / 4);
    peer.say(request.substr(40));
    TestConnection::until("op", [&] { return b.handler.streams.size() == 1; });
    std::printf("  %zu connections\n", b.front.connections());
  }

  say("evicted to make room: later input is discarded, the room is available at once");
  {
    Fixture b;
    TestConnection peer = b.answered();
    b.now += ms;
    std::vector<TestConnection> others;
    for (std::size_t i = 1; i < max_connections; ++i) {
      others.push_back(TestConnection::to(5050));
      others.back().say(frame_of(frames::health_check, 1, {}));
    }
    b.now += ms;
    TestConnection newest = TestConnection::to(5050);
    const std::size_t ops = b.handler.streams.size();
    peer.send_without_turn(request);
    print_to_end(peer, 2);
    print_after_end(b, peer, ops);
    newest.say(frame_of(frames::health_check, 1, {}));
    std::printf("  %s\n", newest.frame().c_str());
  }

  say("unparsable input with an op open and more bytes unread: answered, notified, a clean close");
  {
    Fixture b;
    TestConnection peer = TestConnection::to(5050);
    const StreamRef ref = b.send_request(peer, 1);
    peer.send_without_turn(std::string("\4\0\0\0", 4) + std::string(60'000, 'x'));
    b.turn();
    b.front.served(ref, "settled");
    b.turn();
    b.pass(second / 2);
    print_to_end(peer, 3);
  }

  say("a frame that trickles past its timeout: notified, further input is discarded");
  {
    Fixture b;
    TestConnection peer = b.answered();
    const std::size_t ops = b.handler.streams.size();
    for (int i = 0; i < 3; ++i) {
      peer.say(request.substr(static_cast<std::size_t>(i), 1));
      b.pass(second / 2);
    }
    peer.send_without_turn(request.substr(3));
    b.pass(second / 2);
    print_to_end(peer, 3);
    print_after_end(b, peer, ops);
  }

  say("a slow writer whose last bytes arrive at its timeout: handled normally");
  {
    Fixture b;
    TestConnection peer = b.answered();
    peer.set_no_delay();
    peer.say(request.substr(0, 40));
    b.now += 3 * second / 2;
    peer.send_without_turn(request.substr(40));
    b.front.flush(); // timeouts are checked before input is read
    TestConnection::until("op", [&] { return b.handler.streams.size() == 2; });
    b.front.served(b.handler.streams[1], "slow");
    b.turn();
    for (int i = 0; i < 2; ++i) std::printf("  %s\n", peer.frame().c_str());
    std::printf("  %zu connections\n", b.front.connections());
  }

  const auto slow = [](const char* what, const std::function<void(Fixture&)>& end) {
    say(what);
    Fixture b;
    TestConnection peer = b.answered();
    peer.say(request.substr(0, 40)); // begins the request before go_away
    end(b);
    b.pass(second / 2);
    b.pass(second / 4); // longer than other connections are kept
    peer.say(request.substr(40));
    TestConnection::until("op", [&] { return b.handler.streams.size() == 2; });
    b.front.served(b.handler.streams[1], "slow");
    b.turn();
    b.pass(second / 2);
    print_to_end(peer, 3);
  };
  slow("a slow writer on a connection with go_away: its request is awaited and answered, then the connection "
       "closes",
       [](Fixture& b) {
         b.front.set_idle_timeout(second / 2);
         b.pass(second / 2);
       });
  slow("the same as the listener closes", [](Fixture& b) { b.front.stop_accepting(); });

  say("half-closed by the peer: an open op is answered, half a request is not");
  {
    Fixture b;
    TestConnection whole = TestConnection::to(5050), half = TestConnection::to(5050);
    const StreamRef ref = b.send_request(whole, 1);
    half.say(request.substr(0, 40));
    whole.stop_sending(), half.stop_sending();
    print_to_end(half, 0);
    b.front.served(ref, "result");
    print_to_end(whole, 1);
    std::printf("  %zu lost\n", b.handler.lost);
  }

  say("connected and written to before the listener closes, but not accepted yet: read and answered");
  {
    Fixture b;
    TestConnection::turn = [] {};
    std::vector<TestConnection> unaccepted;
    for (int i = 0; i < 20; ++i) {
      unaccepted.push_back(TestConnection::to(5050));
      unaccepted.back().send_without_turn(request);
    }
    TestConnection::turn = [&b] { b.turn(); };
    b.front.stop_accepting();
    std::printf("  %zu ops read\n", b.handler.streams.size());
    for (const StreamRef ref : b.handler.streams) b.front.refused(ref, 0, false);
    b.turn();
    b.pass(second / 2);
    for (TestConnection& peer : unaccepted) {
      peer.frame(), peer.frame();
      peer.to_end();
      if (peer.was_reset()) std::puts("  a reset");
    }
    TestConnection::until("close", [&] {
      unaccepted.clear();
      return b.front.closed();
    });
    std::puts("  closed");
  }

  say("aborted before it is accepted, alone, and before others as the listener closes: accepting does not "
      "block");
  {
    Fixture b;
    alarm(10); // ends the test if accept() blocks
    TestConnection::turn = [] {};
    TestConnection gone = TestConnection::to(5050);
    aborted_accepts = 1;
    b.turn();
    std::printf("  %d to come, %zu connections\n", aborted_accepts, b.front.connections());
    TestConnection first = TestConnection::to(5050), good = TestConnection::to(5050);
    good.send_without_turn(request);
    aborted_accepts = 1;
    TestConnection::turn = [&b] { b.turn(); };
    b.front.stop_accepting();
    alarm(0);
    std::printf("  %d to come, %zu connections, %zu ops read\n", aborted_accepts, b.front.connections(),
                b.handler.streams.size());
    b.front.refused(b.handler.streams[0], 0, false);
    b.turn();
    b.pass(second / 2);
    print_to_end(good, 2);
  }

  say("reset right after accept: with nothing sent, half a request, one request, or two");
  {
    Fixture b;
    for (const std::string& bytes :
         {std::string(), request.substr(0, 40), request, request + ask(8, "9b1f03aa5c7e2d43")}) {
      const std::size_t read = b.handler.streams.size(), lost = b.handler.lost;
      TestConnection::turn = [] {};
      TestConnection peer = TestConnection::to(5050);
      peer.send_without_turn(bytes);
      peer.reset();
      TestConnection::turn = [&b] { b.turn(); };
      for (int i = 0; i < 4; ++i) b.turn();
      std::printf("  %zu connections, as many lost as read: %d\n", b.front.connections(),
                  b.handler.streams.size() - read == b.handler.lost - lost);
    }
    TestConnection good = b.answered();
    std::printf("  %s\n", good.frame().c_str());
  }

  say("peers that never close: their connections are dropped after the linger time, so that a drain "
      "completes");
  {
    Fixture b;
    std::vector<TestConnection> unread;
    for (int i = 0; i < 10; ++i) unread.push_back(b.answered());
    b.front.stop_accepting();
    b.turn();
    b.pass(second / 2);
    std::printf("  %zu connections, closed: %d\n", b.front.connections(), b.front.closed());
    b.pass(second / 2);
    std::printf("  closed: %d\n", b.front.closed());
  }

  say("a peer that does not read its responses is dropped when no caller can be waiting for them any more");
  {
    Fixture b;
    TestConnection peer = TestConnection::to(5050);
    peer.set_small_window();
    std::uint32_t stream = 0;
    TestConnection::until("room to end", [&] { // until output is pending on this side
      b.front.served(b.send_request(peer, ++stream), std::string(4096, 'x'));
      b.turn();
      return b.front.pending_bytes() > 0;
    });
    b.pass(4 * second - ms);
    std::printf("  %zu connections\n", b.front.connections());
    b.pass(second / 2);
    std::printf("  %zu connections\n", b.front.connections());
  }
}
