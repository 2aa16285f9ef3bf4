// A network and a clock for many hollow members in one process: regions and zones with their delays,
// connections one-way as peers/links.hpp has them, cuts, members that stop and start cold, and what each
// member spent. Events are small records in one heap; the same seed plays the same.
//
// What a connection does: a dial takes a round trip, and another second and more where its first packets are
// lost; a hello goes first, and is read for real; letters come in order; what is sent into a cut waits and is
// sent again after rests that double, as TCP does, and the connection breaks after `breaks_after`; one whose
// other end stopped is refused or reset. Not simulated: loss without a cut, congestion, full accept queues,
// the limit on incoming connections. After each event of a member its turn follows, as the program's loop has
// it.
//
// Processor time: of this thread, round the members' own code with the frames' hello, for those that are
// measured, without what reading the clock costs. Memory: what the members' code took and did not give back,
// as the allocator rounds it up, counted by this program's own operator new; bytes that the network holds are
// not the members'.
//
// Members have the numbers from 1 on. Times: simulated ns from 0. Ownership: the network owns the nodes. An
// order of a node is carried out once its call has returned. No network is to be used by two threads at once;
// several may run side by side, each in a thread of its own.
#pragma once

#include "pcg.hpp"
#include "peer_codec.hpp"

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cometshift::scale {

constexpr unsigned regions = 5, zones = 11;
unsigned region_of(unsigned zone);
Nanos delay_between(unsigned zone, unsigned other); // one way

// One life of a member: what stands behind its sockets and its timer.
class Node {
 public:
  virtual ~Node() = default;
  virtual const peer_codec::Sender& sender() const = 0; // `to` is not looked at
  // Somebody said who it is. False: it is not listed, and its connection ends.
  virtual bool hello(Nanos now, const peer_codec::Sender& from) = 0;
  // The payload of a message's frame. False: it is none, and its connection ends.
  virtual bool message(Nanos now, const peer_codec::Sender& from, std::string_view payload) = 0;
  virtual void connected(Nanos now, MemberId to) = 0;
  virtual void written(Nanos now, MemberId to) = 0;
  virtual void broken(Nanos now, MemberId to) = 0;
  virtual void turn(Nanos now) = 0;    // after each of these, at its start and at its wake
  virtual Nanos next_wake() const = 0; // -1: none
};

// Of one member, over all its lives. Bytes: frames, 40 of TCP/IP a segment of up to 1,460, and the segments
// that only acknowledge or open a connection.
struct Spent {
  std::uint64_t letters_out = 0, letters_in = 0, bytes_out = 0, bytes_in = 0, dials = 0, turns = 0;
  Nanos cpu = 0;                           // 0 where it is not measured
  std::int64_t memory = 0;                 // bytes now
  std::size_t lines_out = 0, lines_in = 0; // connections now
};

class Network {
 public:
  using Maker = std::function<std::unique_ptr<Node>(Nanos now, MemberId member, std::uint64_t life)>;
  enum class Stop {
    reset, // the process ends: its system closes its connections and refuses others
    mute   // the machine is gone: nothing comes back
  };

  // `zone_of`: of each member, in their order.
  Network(std::vector<unsigned> zone_of, Maker maker, std::uint64_t seed);
  ~Network();
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;

  // ---- what nodes order, within their calls
  void dial(MemberId from, MemberId to);
  void disconnect(MemberId from, MemberId to);
  void send(MemberId from, MemberId to, std::string frame);

  // ---- what happens to them
  void at(Nanos time, std::function<void()> what);
  void start(MemberId member); // a new life; nothing where it lives
  void stop(MemberId member, Stop how);
  void cut(unsigned from_zone, unsigned to_zone, bool is_cut); // one way
  void cut_region(unsigned region, bool is_cut);               // from and to all others
  void measure(MemberId member);                               // its processor time, from now on

  // False: `wall_until`, of the steady clock in ns, came first.
  bool run(Nanos until, Nanos wall_until);

  Nanos now() const { return now_; }
  bool up(MemberId member) const { return seat(member).node != nullptr; }
  Node* node(MemberId member) const { return seat(member).node.get(); }
  unsigned zone(MemberId member) const { return seat(member).zone; }
  const Spent& spent(MemberId member) const { return seat(member).spent; }
  std::size_t members() const { return seats_.size(); }
  std::size_t stalled() const; // connections that stand and wait to send again what was lost
  std::uint64_t events() const { return events_; } // that were played

 private:
  using Index = std::uint32_t;
  static constexpr Index none = ~Index{0};
  enum class Kind : std::uint8_t { wake, call, arrive, written, connected, refused, syn, resend, reset, fin };
  struct Event {
    Nanos at;
    std::uint64_t order;
    Index of, generation, frame;
    Kind kind;
    bool operator<(const Event& other) const { // the earliest first
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Line {
    enum class State : std::uint8_t { unused, dialling, up, closing }; // closing: its dialler is done with it
    State state = State::unused;
    bool accepted = false, known = false, unwritten = false;
    bool gone = false; // the other end is no more: what comes there is answered by a reset
    bool lost = false; // its dialler's machine is gone: nothing is sent again
    Index from = none, to = none, generation = 0, in_at = none;
    Nanos last_arrival = 0, stalled_since = -1, rest = 0;
    std::size_t waiting_bytes = 0;
    std::vector<Index> waiting; // frames, to be sent again
    peer_codec::Sender sender;  // as it said
  };
  struct Seat {
    unsigned zone = 0;
    bool mute = false, measured = false;
    std::uint64_t life = 0;
    std::unique_ptr<Node> node;
    Nanos wake = -1, pending = -1;        // when it wants to, and the first event that is filed for it
    std::unordered_map<Index, Index> out; // by whom it dials
    std::vector<Index> in;
    std::unordered_map<Index, Index> heard; // the line that speaks for each
    Spent spent;
  };
  struct Order {
    Kind kind; // connected: dial; reset: hang up; arrive: send
    Index from, to;
    std::string frame;
  };

  static Index index(MemberId member) { return member.raw - 1; }
  static MemberId member(Index at) { return MemberId{at + 1}; }
  const Seat& seat(MemberId member) const { return seats_.at(index(member)); }
  template <class Call>
  void in(Index at, Call call);
  void carry_out();
  void file(Nanos at, Kind kind, Index of, Index generation = 0, Index frame = none);
  void file(Nanos at, Kind kind, Index line_at, const Line& line, Index frame = none) {
    file(at, kind, line_at, line.generation, frame);
  }
  void play(const Event& event);
  void arm(Index at);
  bool passes(Index from, Index to) const;
  Nanos delay(Index from, Index to);
  Index keep(std::string frame);
  void drop(Index frame);
  void do_dial(Index from, Index to);
  void do_hang_up(Index from, Index to);
  void do_send(Index from, Index to, std::string frame);
  void put(Index at, Index frame);
  void syn(Index at, Line& line);
  void connect(Index at, Line& line);
  void arrive(Index at, Line& line, Index frame);
  void stall(Index at, Line& line, Index frame);
  void resend(Index at, Line& line);
  void close(Index at);       // its dialler is done with it
  void leave(Index at);       // the other end is
  void tell_broken(Index at); // its dialler
  void free(Index at);
  bool take(Index to, Line& line, const std::string& frame);
  void replace(Index by);

  std::vector<Seat> seats_;
  Maker maker_;
  Pcg chance_;
  Nanos now_ = 0;
  std::uint64_t order_ = 0, events_ = 0;
  std::priority_queue<Event> queue_;
  std::vector<std::function<void()>> calls_;
  std::vector<Index> unused_calls_;
  std::vector<Line> lines_;
  std::vector<Index> unused_lines_;
  std::vector<std::string> frames_;
  std::vector<Index> unused_frames_;
  std::vector<Order> actions_, under_way_;
  bool cut_[zones][zones] = {};
  Nanos clock_costs_ = 0;
};

} // namespace cometshift::scale
