// Guards against a member that hears nobody: clients that reconnect to its fleet address faster than they are
// accepted kept it in one loop of accepts, and a peer's connection was closed before its hello was read.
#include "links.hpp"

#include "reconnecting_clients.hpp"

#include <algorithm>
#include <asio/io_context.hpp>

namespace {

constexpr int fleet_port = 6001;
constexpr int events = 100;
constexpr int most_accepts_per_event = 4;

struct CountingHandler final : Links::Handler {
  int messages = 0;
  void connected(MemberId) override {}
  void written(MemberId) override {}
  void broken(MemberId) override {}
  bool message(const peer_codec::Sender&, std::string_view) override { return ++messages > 0; }
  void log_event(std::string_view) override {}
};

Links::Tcp::endpoint endpoint(int port) {
  const std::string address = TestConnection::at(port);
  return {asio::ip::make_address(address.substr(0, address.find(':'))), static_cast<unsigned short>(port)};
}

} // namespace

int main() {
  asio::io_context io;
  CountingHandler handler;
  Links links(io, endpoint(fleet_port), {"rig", MemberId{1}, MemberId{}, Incarnation{7}},
              {{MemberId{2}, endpoint(6002)}, {MemberId{3}, endpoint(6003)}}, handler);
  const peer_codec::Sender peer{"rig", MemberId{2}, MemberId{1}, Incarnation{70}};
  TestConnection member = TestConnection::connect_without_turn(fleet_port);
  member.send_without_turn(peer_codec::hello(peer) +
                           peer_codec::message(peer, 1, 0, {}, false, peer_codec::release("t", AskNo{1})));

  std::puts("# clients reconnect without end while a member connects");
  ReconnectingClients::port = fleet_port;
  const ReconnectingClients clients;
  int most = 0;
  for (int i = 0; i < events && !clients.exhausted(); ++i) {
    const int accepts_before = ReconnectingClients::accepts;
    io.restart();
    io.poll_one();
    most = std::max(most, ReconnectingClients::accepts - accepts_before);
  }
  std::printf("  an event accepts at most %d connections: %s\n", most_accepts_per_event,
              most <= most_accepts_per_event ? "yes" : "no");
  std::printf("  messages of the member: %d\n", handler.messages);
}
