#include "network.hpp"

#include "allocations.hpp"
#include "frames.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <malloc.h>
#include <new>
#include <utility>

namespace cometshift::scale {

namespace {

constexpr Nanos us = 1'000, ms = 1'000'000, second = 1000 * ms;
// One way, as operators of large fleets publish them: some 0.5 ms there and back within a zone's switches, 1
// to 2 between buildings of a region, and between regions what light in glass takes, with a part for detours.
constexpr Nanos in_zone = 250 * us, in_region = 1 * ms;
constexpr Nanos between_regions[regions][regions] = {{0, 20 * ms, 45 * ms, 75 * ms, 125 * ms},
                                                     {20 * ms, 0, 55 * ms, 85 * ms, 115 * ms},
                                                     {45 * ms, 55 * ms, 0, 35 * ms, 100 * ms},
                                                     {75 * ms, 85 * ms, 35 * ms, 0, 150 * ms},
                                                     {125 * ms, 115 * ms, 100 * ms, 150 * ms, 0}};
constexpr unsigned region_of_zone[zones] = {0, 0, 0, 1, 1, 2, 2, 3, 3, 4, 4};
constexpr double jitter = 0.1;                // of a delay, at the most more
constexpr Nanos write_takes = 10 * us;        // until the loop tells that the system took a frame
constexpr std::size_t sent_ahead = 32 * 1024; // bytes that the system holds, as links.cpp sets it
constexpr std::size_t segment = 1460, headers = 40;
constexpr Nanos resend_first = 200 * ms, resend_most = 120 * second; // Linux: TCP_RTO_MIN, TCP_RTO_MAX
constexpr Nanos breaks_after = 924 * second;                         // Linux: 15 tries (tcp_retries2)
constexpr Nanos syn_first = 1 * second, syn_most = 64 * second;      // Linux: 6 tries, 127 s in all
constexpr Nanos soonest = 1 * us;         // of a timer: against a wake at once, for ever
constexpr std::uint64_t look_every = 256; // events between looks at the wall clock

Nanos cpu_now() {
  timespec at{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
  return static_cast<Nanos>(at.tv_sec) * second + at.tv_nsec;
}
Nanos wall_now() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
// What lies between two readings with nothing between them.
Nanos reading_costs() {
  constexpr int times = 2001;
  std::vector<Nanos> all;
  for (int i = 0; i < times; ++i) {
    const Nanos from = cpu_now();
    all.push_back(cpu_now() - from);
  }
  std::nth_element(all.begin(), all.begin() + times / 2, all.end());
  return all[times / 2];
}
std::uint64_t on_wire(std::size_t bytes) { return bytes + (bytes + segment - 1) / segment * headers; }

} // namespace

unsigned region_of(unsigned zone) { return region_of_zone[zone]; }
Nanos delay_between(unsigned zone, unsigned other) {
  if (zone == other) return in_zone;
  const unsigned a = region_of(zone), b = region_of(other);
  return a == b ? in_region : between_regions[a][b];
}

Network::Network(std::vector<unsigned> zone_of, Maker maker, std::uint64_t seed)
    : seats_(zone_of.size()), maker_(std::move(maker)), chance_(seed), clock_costs_(reading_costs()) {
  for (std::size_t m = 0; m < zone_of.size(); ++m) seats_[m].zone = zone_of[m];
}

Network::~Network() = default;

// ---- events

void Network::file(Nanos at, Kind kind, Index of, Index generation, Index frame) {
  queue_.push({std::max(at, now_), order_++, of, generation, frame, kind});
}

void Network::at(Nanos time, std::function<void()> what) {
  Index at;
  if (unused_calls_.empty()) {
    at = static_cast<Index>(calls_.size());
    calls_.emplace_back();
  } else {
    at = unused_calls_.back();
    unused_calls_.pop_back();
  }
  calls_[at] = std::move(what);
  file(time, Kind::call, at);
}

bool Network::run(Nanos until, Nanos wall_until) {
  while (!queue_.empty() && queue_.top().at <= until) {
    if (++events_ % look_every == 0 && wall_now() >= wall_until) return false;
    const Event event = queue_.top();
    queue_.pop();
    now_ = event.at;
    play(event);
  }
  now_ = until;
  return true;
}

void Network::play(const Event& event) {
  if (event.kind == Kind::wake) {
    Seat& seat = seats_[event.of];
    if (event.generation != static_cast<Index>(seat.life) || event.at != seat.pending) return;
    seat.pending = -1;
    if (!seat.node || seat.wake < 0) return;
    if (seat.wake > now_) return arm(event.of);
    return in(event.of, [](Node&) {});
  }
  if (event.kind == Kind::call) {
    const auto what = std::move(calls_[event.of]);
    unused_calls_.push_back(event.of);
    return what();
  }
  Line& line = lines_[event.of];
  if (line.generation != event.generation || line.state == Line::State::unused) return drop(event.frame);
  switch (event.kind) {
  case Kind::arrive:
    return arrive(event.of, line, event.frame);
  case Kind::written:
    if (line.state == Line::State::up)
      in(line.from, [this, to = member(line.to)](Node& node) { node.written(now_, to); });
    return;
  case Kind::connected:
    return connect(event.of, line);
  case Kind::refused:
  case Kind::reset:
    return tell_broken(event.of);
  case Kind::syn:
    return syn(event.of, line);
  case Kind::resend:
    return resend(event.of, line);
  default: // fin
    leave(event.of);
    return free(event.of);
  }
}

// The member's own code, and its turn after it.
template <class Call>
void Network::in(Index at, Call call) {
  Seat& seat = seats_[at];
  if (!seat.node) return;
  account = &seat.spent.memory;
  const Nanos from = seat.measured ? cpu_now() : 0;
  call(*seat.node);
  seat.node->turn(now_);
  seat.wake = seat.node->next_wake();
  if (seat.measured) seat.spent.cpu += std::max<Nanos>(0, cpu_now() - from - clock_costs_);
  account = nullptr;
  ++seat.spent.turns;
  carry_out();
  arm(at);
}

void Network::arm(Index at) {
  Seat& seat = seats_[at];
  if (!seat.node || seat.wake < 0) return;
  const Nanos when = std::max(seat.wake, now_ + soonest);
  if (seat.pending >= 0 && seat.pending <= when) return;
  seat.pending = when;
  file(when, Kind::wake, at, static_cast<Index>(seat.life));
}

// ---- orders

void Network::dial(MemberId from, MemberId to) {
  std::int64_t* const whose = std::exchange(account, nullptr);
  actions_.push_back({Kind::connected, index(from), index(to), {}});
  account = whose;
}
void Network::disconnect(MemberId from, MemberId to) {
  std::int64_t* const whose = std::exchange(account, nullptr);
  actions_.push_back({Kind::reset, index(from), index(to), {}});
  account = whose;
}
void Network::send(MemberId from, MemberId to, std::string frame) {
  std::int64_t* const whose = std::exchange(account, nullptr);
  const bool apart = frame.capacity() > std::string().capacity();
  if (apart && whose)
    *whose -= static_cast<std::int64_t>(malloc_usable_size(frame.data())); // now the network's
  actions_.push_back({Kind::arrive, index(from), index(to), std::move(frame)});
  account = whose;
}

void Network::carry_out() {
  if (actions_.empty()) return;
  under_way_.swap(actions_);
  for (Order& order : under_way_) {
    if (order.kind == Kind::connected)
      do_dial(order.from, order.to);
    else if (order.kind == Kind::reset)
      do_hang_up(order.from, order.to);
    else
      do_send(order.from, order.to, std::move(order.frame));
  }
  under_way_.clear();
}

Network::Index Network::keep(std::string frame) {
  if (unused_frames_.empty()) {
    frames_.push_back(std::move(frame));
    return static_cast<Index>(frames_.size() - 1);
  }
  const Index at = unused_frames_.back();
  unused_frames_.pop_back();
  frames_[at] = std::move(frame);
  return at;
}
void Network::drop(Index frame) {
  if (frame == none) return;
  std::string().swap(frames_[frame]);
  unused_frames_.push_back(frame);
}

// ---- ways

bool Network::passes(Index from, Index to) const {
  const Seat &a = seats_[from], &b = seats_[to];
  return !a.mute && !b.mute && !cut_[a.zone][b.zone];
}
Nanos Network::delay(Index from, Index to) {
  const auto least = static_cast<double>(delay_between(seats_[from].zone, seats_[to].zone));
  return static_cast<Nanos>(least * (1 + jitter * chance_.unit()));
}
void Network::cut(unsigned from_zone, unsigned to_zone, bool is_cut) { cut_[from_zone][to_zone] = is_cut; }
void Network::cut_region(unsigned region, bool is_cut) {
  for (unsigned a = 0; a < zones; ++a)
    for (unsigned b = 0; b < zones; ++b)
      if ((region_of(a) == region) != (region_of(b) == region)) cut_[a][b] = is_cut;
}
std::size_t Network::stalled() const {
  return static_cast<std::size_t>(std::count_if(lines_.begin(), lines_.end(), [](const Line& line) {
    return line.state == Line::State::up && line.stalled_since >= 0;
  }));
}
void Network::measure(MemberId member) { seats_.at(index(member)).measured = true; }

// ---- lives

void Network::start(MemberId member) {
  const Index at = index(member);
  Seat& seat = seats_.at(at);
  if (seat.node) return;
  seat.mute = false;
  ++seat.life;
  seat.wake = seat.pending = -1;
  account = &seat.spent.memory;
  const Nanos from = seat.measured ? cpu_now() : 0;
  seat.node = maker_(now_, member, seat.life);
  if (seat.measured) seat.spent.cpu += std::max<Nanos>(0, cpu_now() - from - clock_costs_);
  account = nullptr;
  in(at, [](Node&) {});
}

void Network::stop(MemberId member, Stop how) {
  const Index at = index(member);
  Seat& seat = seats_.at(at);
  seat.mute = how == Stop::mute;
  if (!seat.node) return;
  account = &seat.spent.memory;
  seat.node.reset();
  account = nullptr;
  std::vector<Index> out;
  for (const auto& [to, line] : seat.out) out.push_back(line);
  std::sort(out.begin(), out.end());
  for (const Index one : out) close(one);
  while (!seat.in.empty()) {
    const Index one = seat.in.back();
    leave(one);
    Line& line = lines_[one];
    if (line.state == Line::State::closing)
      free(one);
    else if (passes(line.to, line.from))
      file(now_ + delay(line.to, line.from), Kind::reset, one, line);
  }
}

// ---- connections: its dialler's side

void Network::do_dial(Index from, Index to) {
  Seat& seat = seats_[from];
  if (!seat.node || to >= seats_.size()) return;
  Index at;
  if (unused_lines_.empty()) {
    at = static_cast<Index>(lines_.size());
    lines_.emplace_back();
  } else {
    at = unused_lines_.back();
    unused_lines_.pop_back();
  }
  Line& line = lines_[at];
  line.state = Line::State::dialling;
  line.from = from;
  line.to = to;
  seat.out[to] = at;
  ++seat.spent.dials;
  ++seat.spent.lines_out;
  syn(at, line);
}

void Network::syn(Index at, Line& line) {
  seats_[line.from].spent.bytes_out += headers;
  if (passes(line.from, line.to) && passes(line.to, line.from)) {
    const Nanos there = delay(line.from, line.to), back = delay(line.to, line.from);
    const bool there_is_one = seats_[line.to].node != nullptr;
    return file(now_ + there + back, there_is_one ? Kind::connected : Kind::refused, at, line);
  }
  line.rest = line.rest == 0 ? syn_first : 2 * line.rest;
  file(now_ + line.rest, line.rest >= syn_most ? Kind::refused : Kind::syn, at, line);
}

void Network::connect(Index at, Line& line) {
  Seat &from = seats_[line.from], &to = seats_[line.to];
  if (!to.node || !passes(line.from, line.to)) return tell_broken(at);
  line.state = Line::State::up;
  line.rest = 0;
  line.accepted = true;
  line.in_at = static_cast<Index>(to.in.size());
  to.in.push_back(at);
  ++to.spent.lines_in;
  // The answer to the first packet, and what acknowledges it.
  to.spent.bytes_in += 2 * headers;
  to.spent.bytes_out += headers;
  from.spent.bytes_in += headers;
  from.spent.bytes_out += headers;
  const Index speaks = line.from, spoken_to = line.to;
  in(speaks, [this, speaks, spoken_to](Node& node) {
    peer_codec::Sender sender = node.sender();
    sender.to = member(spoken_to);
    send(member(speaks), sender.to, peer_codec::hello(sender));
    node.connected(now_, sender.to);
  });
}

void Network::do_send(Index from, Index to, std::string frame) {
  const auto found = seats_[from].out.find(to);
  if (found == seats_[from].out.end()) return;
  const Index at = found->second;
  Line& line = lines_[at];
  if (line.state != Line::State::up) return;
  const bool is_letter =
      frame.size() >= frames::header_size && static_cast<std::uint8_t>(frame[4]) == frames::peer_message;
  if (is_letter) {
    ++seats_[from].spent.letters_out;
    if (line.waiting_bytes + frame.size() > sent_ahead)
      line.unwritten = true;
    else
      file(now_ + write_takes, Kind::written, at, line);
  }
  put(at, keep(std::move(frame)));
}

// On its way; what waits to be sent again goes before it.
void Network::put(Index at, Index frame) {
  Line& line = lines_[at];
  const std::size_t size = frames_[frame].size();
  if (!line.waiting.empty()) {
    line.waiting_bytes += size;
    line.waiting.push_back(frame);
    return;
  }
  seats_[line.from].spent.bytes_out += on_wire(size);
  line.last_arrival = std::max(line.last_arrival, now_ + delay(line.from, line.to));
  file(line.last_arrival, Kind::arrive, at, line, frame);
}

void Network::stall(Index at, Line& line, Index frame) {
  line.waiting_bytes += frames_[frame].size();
  line.waiting.push_back(frame);
  if (line.stalled_since >= 0) return;
  line.stalled_since = now_;
  line.rest = resend_first;
  file(now_ + line.rest, Kind::resend, at, line);
}

void Network::resend(Index at, Line& line) {
  if (line.lost) return;
  if (!passes(line.from, line.to)) {
    if (now_ - line.stalled_since >= breaks_after) {
      if (line.state != Line::State::closing) return tell_broken(at);
      leave(at);
      return free(at);
    }
    if (!seats_[line.from].mute)
      seats_[line.from].spent.bytes_out +=
          line.waiting.empty() ? headers : on_wire(frames_[line.waiting[0]].size());
    line.rest = std::min(2 * line.rest, resend_most);
    return file(now_ + line.rest, Kind::resend, at, line);
  }
  line.stalled_since = -1;
  line.waiting_bytes = 0;
  std::vector<Index> all;
  all.swap(line.waiting);
  for (const Index frame : all) put(at, frame);
  if (line.state == Line::State::closing) return file(line.last_arrival, Kind::fin, at, line);
  if (line.unwritten) {
    line.unwritten = false;
    file(now_ + write_takes, Kind::written, at, line);
  }
}

void Network::do_hang_up(Index from, Index to) {
  const auto found = seats_[from].out.find(to);
  if (found != seats_[from].out.end()) close(found->second);
}

// What is under way still comes, and then its end, where the machine can still say so.
void Network::close(Index at) {
  Line& line = lines_[at];
  Seat& seat = seats_[line.from];
  seat.out.erase(line.to);
  --seat.spent.lines_out;
  const bool stays = line.accepted && !line.gone;
  if (!stays) return free(at);
  line.state = Line::State::closing;
  if (seat.mute) { // what waits is lost, and nobody tells of the end
    line.lost = true;
    for (const Index frame : line.waiting) drop(frame);
    line.waiting.clear();
    return;
  }
  if (line.stalled_since >= 0) return; // it is told after what waits
  if (passes(line.from, line.to))
    return file(std::max(line.last_arrival, now_ + delay(line.from, line.to)), Kind::fin, at, line);
  line.stalled_since = now_;
  line.rest = resend_first;
  file(now_ + line.rest, Kind::resend, at, line);
}

void Network::tell_broken(Index at) {
  Line& line = lines_[at];
  if (line.state == Line::State::closing) return;
  const Index from = line.from;
  const MemberId to = member(line.to);
  seats_[from].out.erase(line.to);
  --seats_[from].spent.lines_out;
  leave(at);
  free(at);
  in(from, [this, to](Node& node) { node.broken(now_, to); });
}

void Network::free(Index at) {
  Line& line = lines_[at];
  for (const Index frame : line.waiting) drop(frame);
  const Index generation = line.generation + 1;
  line = Line{};
  line.generation = generation;
  unused_lines_.push_back(at);
}

// ---- the other side

void Network::leave(Index at) {
  Line& line = lines_[at];
  if (!line.accepted || line.gone) return;
  line.gone = true;
  Seat& seat = seats_[line.to];
  --seat.spent.lines_in;
  lines_[seat.in.back()].in_at = line.in_at;
  std::swap(seat.in[line.in_at], seat.in.back());
  seat.in.pop_back();
  if (const auto found = seat.heard.find(line.from); found != seat.heard.end() && found->second == at)
    seat.heard.erase(found);
}

void Network::arrive(Index at, Line& line, Index frame) {
  if (!passes(line.from, line.to) || line.stalled_since >= 0) {
    if (line.lost) return drop(frame);
    return stall(at, line, frame);
  }
  const std::uint64_t bytes = on_wire(frames_[frame].size());
  Seat &from = seats_[line.from], &to = seats_[line.to];
  to.spent.bytes_in += bytes;
  to.spent.bytes_out += headers; // that it came, or that nobody is there
  from.spent.bytes_in += headers;
  if (line.gone) {
    drop(frame);
    if (line.state == Line::State::closing) return free(at);
    if (passes(line.to, line.from)) file(now_ + delay(line.to, line.from), Kind::reset, at, line);
    return;
  }
  const std::string whole = std::move(frames_[frame]);
  drop(frame);
  const Index generation = line.generation, spoken_to = line.to;
  const bool was_known = line.known;
  bool good = true;
  in(spoken_to, [&](Node&) { good = take(spoken_to, lines_[at], whole); });
  if (lines_[at].generation != generation || lines_[at].gone) return;
  if (good) {
    if (!was_known) replace(at);
    return;
  }
  leave(at);
  if (lines_[at].state == Line::State::closing) return free(at);
  file(now_ + delay(spoken_to, lines_[at].from), Kind::reset, at, lines_[at]);
}

// As Links does with what it read.
bool Network::take(Index to, Line& line, const std::string& frame) {
  const std::string_view payload = std::string_view(frame).substr(frames::header_size);
  Seat& seat = seats_[to];
  if (line.known) {
    ++seat.spent.letters_in;
    return seat.node->message(now_, line.sender, payload);
  }
  if (!peer_codec::decode_hello(payload, line.sender)) return false;
  const peer_codec::Sender& self = seat.node->sender();
  if (line.sender.fleet != self.fleet || line.sender.to != self.from) return false;
  line.known = seat.node->hello(now_, line.sender);
  return line.known;
}

// A member that dials anew speaks there: an earlier connection of the same life ends.
void Network::replace(Index by) {
  Line& line = lines_[by];
  const auto [speaks, fresh] = seats_[line.to].heard.try_emplace(line.from, by);
  if (fresh) return;
  const Index earlier = std::exchange(speaks->second, by);
  Line& before = lines_[earlier];
  if (earlier == by || before.sender.incarnation != line.sender.incarnation) return;
  leave(earlier);
  if (before.state == Line::State::closing)
    free(earlier);
  else
    file(now_ + delay(before.to, before.from), Kind::reset, earlier, before);
}

} // namespace cometshift::scale
