// The cost of the connections as a fleet grows: real Peers with complete frames on a simulated network and
// clock. Measures counts, no times. For each cost it fits the exponent of its growth with the fleet's size N,
// so that a cost that becomes quadratic again is detected.
#include "pcg.hpp"
#include "peers.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>

using namespace cometshift;

namespace {

constexpr Nanos ms = 1'000'000, second = 1000 * ms;
constexpr std::size_t tcp_ip_header_bytes = 40; // for each frame, sent as one segment

class SimulatedNetwork {
 public:
  Nanos now = 0;
  void at(Nanos time, std::function<void()> action) { events_.push({time, next_++, std::move(action)}); }
  void run_until(Nanos time) {
    while (!events_.empty() && events_.top().at <= time) {
      const Event event = events_.top();
      events_.pop();
      now = event.at;
      event.action();
    }
    now = time;
  }

 private:
  struct Event {
    Nanos at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  std::priority_queue<Event> events_;
  std::uint64_t next_ = 0;
};

struct Member;
using Members = std::vector<std::unique_ptr<Member>>; // by number; 0 is unused

// A member with its Peers and Voters but without Leases: the test enqueues its requests, and it grants every
// request that it receives.
struct Member final : PeerActions, peer_codec::Listener {
  SimulatedNetwork& net;
  Members& all;
  peer_codec::Sender self;
  Voters voter_list;
  Peers peers;
  Nanos scheduled_wake = -1, list_received_at = -1;
  std::map<MemberId, std::uint64_t> connections; // number of the current connection to each member; 0: none
  std::uint64_t next_connection = 0;

  Member(SimulatedNetwork& n, Members& members, MemberId number, const VoterList& list,
         std::vector<MemberId> others, const Settings& settings)
      : net(n), all(members), self{"rig", number, MemberId{}, Incarnation{number.raw + 1000}},
        voter_list(n.now, number, list, second),
        peers(n.now, self, std::move(others), voter_list, settings, number.raw, *this) {
    turn();
  }
  Member* other(MemberId number) const { return number.raw < all.size() ? all[number.raw].get() : nullptr; }
  void turn() {
    peers.due(net.now);
    peers.flush(net.now);
    const Nanos next = peers.next_wake();
    if (next < 0 || next == scheduled_wake) return;
    scheduled_wake = next;
    net.at(std::max(next, net.now), [this, next] {
      if (scheduled_wake != next) return;
      scheduled_wake = -1;
      turn();
    });
  }
  template <class Action>
  void later(MemberId to, Action action) { // on the current connection, one millisecond later
    net.at(net.now + ms, [this, to, connection = connections[to], action] {
      if (connections[to] != connection) return;
      action();
      turn();
    });
  }
  void dial(MemberId to) override {
    connections[to] = ++next_connection;
    later(to, [this, to] {
      if (!other(to)) return peers.broken(net.now, to);
      peers.connected(net.now, to);
      peers.enqueue(to, Peers::MessageClass::update, "",
                    peer_codec::voters(voter_list.on_file(), voter_list.list()));
    });
  }
  void disconnect(MemberId to) override { connections[to] = 0; }
  void send(MemberId to, std::string frame) override {
    later(to, [this, to, frame = std::move(frame)] {
      Member* const recipient = other(to);
      if (!recipient) return peers.broken(net.now, to);
      peer_codec::Sender sender = self;
      sender.to = to;
      // The first 9 bytes are the frame header (frames.hpp).
      peer_codec::decode_message(std::string_view(frame).substr(9), sender, *recipient);
      recipient->turn();
      peers.written(net.now, to);
    });
  }
  void peer_state_changed(MemberId, PeerState, PeerState after) override {
    unresponsive_count += after == PeerState::unresponsive;
  }
  void duplicate_member(MemberId) override {}
  int unresponsive_count = 0;

  bool message(MemberId from, Incarnation incarnation, std::uint64_t number, std::uint64_t acked,
               Incarnation acked_incarnation, bool leaving,
               const peer_codec::HeartbeatTerms& heartbeat) override {
    return peers.received(net.now, from, incarnation, number, acked, acked_incarnation, leaving, heartbeat);
  }
  void voters(MemberId from, Epoch on_file, const VoterList& list) override {
    voter_list.file_epoch_received(net.now, from, on_file);
    const Epoch before = voter_list.epoch();
    voter_list.list_received(net.now, list);
    if (voter_list.epoch() > before) list_received_at = net.now;
  }
  void asked(MemberId from, Incarnation incarnation, Epoch, std::string_view lease, AskNo number, Token,
             Nanos) override {
    peers.enqueue(from, Peers::MessageClass::response, lease,
                  peer_codec::grant(incarnation, lease, number, false));
  }
  void released(MemberId, Incarnation, std::string_view, AskNo) override {}
  void granted(MemberId, Incarnation, std::string_view, AskNo, bool) override {}
  void refused(MemberId, Incarnation, std::string_view, AskNo, Token, Nanos) override {}
  void done(MemberId, std::string_view, Token, Nanos) override {}
};

Settings settings_for(double max_members = 0) {
  return {{"peers.beat", 500e6},    {"peers.silent", 2e9},        {"peers.rest_least", 50e6},
          {"peers.rest_most", 2e9}, {"peers.most_words", 1024.0}, {"peers.most_members", max_members}};
}

// Exponent b of y = a N^b, by least squares of the logarithms.
double exponent(const std::vector<double>& sizes, const std::vector<double>& costs) {
  double n = 0, x = 0, y = 0, xx = 0, xy = 0;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    const double lx = std::log(sizes[i]), ly = std::log(std::max(costs[i], 1e-9));
    ++n, x += lx, y += ly, xx += lx * lx, xy += lx * ly;
  }
  return (n * xy - x * y) / (n * xx - x * x);
}
void check_exponent(const char* text, const std::vector<double>& sizes, const std::vector<double>& costs,
                    double max_exponent) {
  const double exponent_found = exponent(sizes, costs);
  std::printf("  %s: exponent %.2f, %s\n", text, std::abs(exponent_found) < 0.005 ? 0 : exponent_found,
              exponent_found <= max_exponent ? "holds" : "TOO STEEP");
}

// Of the member in the centre: peers examined, messages and bytes sent (with TCP/IP headers) and dials;
// `received`: messages that the N others sent.
struct Cost {
  double examined = 0, messages = 0, bytes = 0, received = 0, dials = 0;
};

// One member in the centre, a voter or (`by_choice`) one that connects on request only, and N others that
// exchange messages with it.
struct Star {
  SimulatedNetwork net;
  Members all;
  std::size_t size;
  explicit Star(std::size_t members, bool by_choice) : size(members) {
    const VoterList list{Epoch{1}, {MemberId{1}}, {}};
    all.resize(members + 2);
    Settings centre_settings = settings_for(static_cast<double>(members));
    if (by_choice) centre_settings["peers.by_choice"] = 1.0;
    all[1] = std::make_unique<Member>(net, all, MemberId{1}, list, std::vector<MemberId>{}, centre_settings);
    const auto start = [this, list, by_choice](std::uint32_t number) {
      all[1]->peers.add(net.now, MemberId{number});
      if (by_choice) all[1]->peers.request_connection(net.now, MemberId{number}, true);
      all[number] = std::make_unique<Member>(net, all, MemberId{number}, list, std::vector{MemberId{1}},
                                             settings_for(1));
    };
    for (std::uint32_t number = 2; number < members + 2; ++number) // all start within ten seconds
      net.at(10 * second * number / static_cast<Nanos>(members + 2), [start, number] { start(number); });
  }
  // The costs since the start.
  Cost sum() const {
    const Peers::Costs& costs = all[1]->peers.costs();
    Cost cost{static_cast<double>(costs.peers_examined), static_cast<double>(costs.messages),
              static_cast<double>(costs.bytes + tcp_ip_header_bytes * costs.messages), 0,
              static_cast<double>(costs.dials)};
    for (const auto& member : all)
      if (member && member != all[1]) cost.received += static_cast<double>(member->peers.costs().messages);
    return cost;
  }
  // Runs for `span` and returns the costs per second of that time.
  Cost per_second_during(Nanos span) {
    const Cost before = sum();
    net.run_until(net.now + span);
    const Cost after = sum();
    const double seconds = static_cast<double>(span) / 1e9;
    return {(after.examined - before.examined) / seconds, (after.messages - before.messages) / seconds,
            (after.bytes - before.bytes) / seconds, (after.received - before.received) / seconds,
            (after.dials - before.dials) / seconds};
  }
  // Sends a request of this member to the centre now, and another one every two seconds.
  void ask(std::uint32_t number, std::uint64_t ask_number) {
    Member& member = *all[number];
    member.peers.enqueue(MemberId{1}, Peers::MessageClass::request, "t",
                         peer_codec::ask(Epoch{1}, "t", AskNo{ask_number}, Token{1}, second));
    member.turn();
    net.at(net.now + 2 * second, [this, number, ask_number] { ask(number, ask_number + 1); });
  }
};

void star(bool by_choice) {
  std::printf("# %s among N: a cold start within ten seconds; then, a second, without pending items; then "
              "with a request of each every two seconds\n",
              by_choice ? "a member with connections on request only" : "a voter");
  std::vector<double> sizes, cold_examined, cold_messages, idle_examined, idle_bytes, idle_received,
      busy_examined;
  for (const std::size_t size : {100, 300, 1000, 3000, 6600}) {
    Star star(size, by_choice);
    star.net.run_until(20 * second);
    const Cost cold = star.sum();
    star.net.run_until(300 * second);
    const Cost idle = star.per_second_during(300 * second);
    int unresponsive_count = 0;
    for (const auto& member : star.all) unresponsive_count += member ? member->unresponsive_count : 0;
    for (std::uint32_t number = 2; number < size + 2; ++number)
      star.net.at(star.net.now + 2 * second * number / static_cast<Nanos>(size + 2),
                  [&star, number] { star.ask(number, 1); });
    star.net.run_until(star.net.now + 4 * second);
    const Cost busy = star.per_second_during(10 * second);
    std::printf("  %4zu: cold %.0f examined, %.0f messages, %.0f dials; idle %.1f examined, %.1f messages, "
                "%.0f bytes, %.1f received, %.1f dials, %d unresponsive; busy %.0f examined, %.0f messages\n",
                size, cold.examined, cold.messages, cold.dials, idle.examined, idle.messages, idle.bytes,
                idle.received, idle.dials, unresponsive_count, busy.examined, busy.messages);
    sizes.push_back(static_cast<double>(size));
    cold_examined.push_back(cold.examined);
    cold_messages.push_back(cold.messages);
    idle_examined.push_back(idle.examined);
    idle_bytes.push_back(idle.bytes);
    idle_received.push_back(idle.received);
    busy_examined.push_back(busy.examined);
  }
  check_exponent("examined in a cold start", sizes, cold_examined, 1.1);
  check_exponent("messages in a cold start", sizes, cold_messages, 1.1);
  check_exponent("examined a second, idle", sizes, idle_examined, 0.05);
  check_exponent("bytes a second, idle", sizes, idle_bytes, 0.05);
  check_exponent("messages received a second, idle", sizes, idle_received, 0.05);
  check_exponent("examined a second, busy", sizes, busy_examined, 1.1);
}

// The voters of the old list are gone. Of the N other members, the three voters of a newer list and
// `with_list` more know that list.
void without_voters() {
  std::printf("# the old voters are gone, and some of N know the new ones: how long until all others learn "
              "them from the members they contact\n");
  std::vector<double> sizes, dials;
  for (const auto& [size, with_list] :
       {std::pair{30U, 1U}, {100U, 1U}, {300U, 1U}, {300U, 30U}, {300U, 150U}}) {
    SimulatedNetwork net;
    Members all;
    const VoterList before{Epoch{1}, {MemberId{size + 1}, MemberId{size + 2}, MemberId{size + 3}}, {}};
    const VoterList after{Epoch{2}, {MemberId{1}, MemberId{2}, MemberId{3}}, {}};
    std::vector<MemberId> numbers;
    for (std::uint32_t number = 1; number <= size + 3; ++number) numbers.push_back(MemberId{number});
    all.resize(size + 4);
    // The new voters use the new list too, so the other members that know it receive messages from voters.
    for (std::uint32_t number = 1; number <= size; ++number)
      all[number] =
          std::make_unique<Member>(net, all, MemberId{number}, number <= 3 + with_list ? after : before,
                                   numbers, settings_for(size + 3));
    std::vector<double> learned_after;
    int without_list = 0;
    std::uint64_t total_dials = 0;
    net.run_until(120 * second);
    // First contact is at 8 s: a member contacts others after no voter was received from for four times
    // peers.silent.
    for (std::uint32_t number = 4 + with_list; number <= size; ++number) {
      ++without_list;
      total_dials += all[number]->peers.costs().dials;
      if (all[number]->list_received_at >= 0)
        learned_after.push_back(static_cast<double>(all[number]->list_received_at - 8 * second) / 1e9);
    }
    std::sort(learned_after.begin(), learned_after.end());
    std::printf("  %3u, of which %u know: %zu of %d learn it; half within %.1f s of the first contact, nine "
                "tenths within %.1f, all within %.1f; dials of each %.1f\n",
                size, with_list, learned_after.size(), without_list, learned_after[learned_after.size() / 2],
                learned_after[learned_after.size() * 9 / 10], learned_after.back(),
                static_cast<double>(total_dials) / without_list);
    if (with_list == 1)
      sizes.push_back(size), dials.push_back(static_cast<double>(total_dials) / without_list);
  }
  check_exponent("dials of each", sizes, dials, 0.5);
}

} // namespace

int main() {
  star(false);
  star(true);
  without_voters();
}
