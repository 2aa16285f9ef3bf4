#include "peer_codec.hpp"

#include "frames.hpp"
#include "peer_messages.pb.h"

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace cometshift::peer_codec {

namespace {

constexpr std::size_t sum_size = 8;

std::uint64_t key_of(const Sender& sender) {
  const std::uint64_t ends[] = {sender.from.raw, sender.to.raw, sender.incarnation.raw};
  return XXH3_64bits_withSeed(ends, sizeof ends, XXH3_64bits(sender.fleet.data(), sender.fleet.size()));
}
std::string sum_of(std::uint64_t key, std::string_view bytes) {
  std::uint64_t sum = XXH3_64bits_withSeed(bytes.data(), bytes.size(), key);
  std::string out;
  for (std::size_t i = 0; i < sum_size; ++i, sum >>= 8) out += static_cast<char>(sum & 0xff);
  return out;
}
std::string framed(frames::Type type, std::uint64_t key, const std::string& bytes) {
  std::string out;
  frames::put_frame(out, type, 0, sum_of(key, bytes) + bytes);
  return out;
}
bool unsummed(std::string_view payload, std::uint64_t key, std::string_view& bytes) {
  if (payload.size() < sum_size) return false;
  bytes = payload.substr(sum_size);
  return payload.substr(0, sum_size) == sum_of(key, bytes);
}
// A word is a message with nothing else in it.
template <class Put>
std::string word(Put put) {
  wire::Letter one;
  put(one);
  return one.SerializeAsString();
}
std::string text(std::string_view some) { return std::string(some); }
// Against spans that are none: the longest there is, which the modules know to be senseless.
Nanos span_of(std::uint64_t raw) {
  return static_cast<Nanos>(std::min<std::uint64_t>(raw, std::numeric_limits<Nanos>::max() / 4));
}
constexpr Nanos ms = 1'000'000;
std::uint32_t ms_of(Nanos span) {
  return static_cast<std::uint32_t>(
      std::clamp<Nanos>((span + ms - 1) / ms, 0, std::numeric_limits<std::uint32_t>::max()));
}
std::uint64_t raw_of(Nanos span) { return static_cast<std::uint64_t>(std::max<Nanos>(span, 0)); }

} // namespace

std::string hello(const Sender& sender) {
  wire::Hello out;
  out.set_fleet(sender.fleet);
  out.set_from(sender.from.raw);
  out.set_to(sender.to.raw);
  out.set_incarnation(sender.incarnation.raw);
  out.set_layout(layout);
  out.set_listen(sender.listen);
  return framed(frames::peer_hello, 0, out.SerializeAsString());
}

std::string message(const Sender& sender, std::uint64_t number, std::uint64_t heard,
                    Incarnation acked_incarnation, bool leaving, std::string_view said,
                    const HeartbeatTerms& heartbeat) {
  wire::Letter head;
  head.set_number(number);
  head.set_heard(heard);
  head.set_heard_of(acked_incarnation.raw);
  head.set_leaving(leaving);
  head.set_next_in(ms_of(heartbeat.next_in));
  head.set_rarely(ms_of(heartbeat.rarely));
  head.set_lonely(heartbeat.lonely);
  return framed(frames::peer_message, key_of(sender), head.SerializeAsString().append(said));
}

std::string ask(Epoch epoch, std::string_view lease, AskNo number, Token token, Nanos term) {
  return word([&](wire::Letter& message) {
    wire::Ask& one = *message.add_ask();
    one.set_lease(text(lease));
    one.set_number(number.raw);
    one.set_token(token.raw);
    one.set_term(raw_of(term));
    one.set_epoch(epoch.raw);
  });
}
std::string release(std::string_view lease, AskNo number) {
  return word([&](wire::Letter& message) {
    wire::Release& one = *message.add_release();
    one.set_lease(text(lease));
    one.set_number(number.raw);
  });
}
std::string grant(Incarnation to, std::string_view lease, AskNo number, bool wanted) {
  return word([&](wire::Letter& message) {
    wire::Grant& one = *message.add_grant();
    one.set_to(to.raw);
    one.set_lease(text(lease));
    one.set_number(number.raw);
    one.set_wanted(wanted);
  });
}
std::string refuse(Incarnation to, std::string_view lease, AskNo number, Token seen, Nanos left) {
  return word([&](wire::Letter& message) {
    wire::Refuse& one = *message.add_refuse();
    one.set_to(to.raw);
    one.set_lease(text(lease));
    one.set_number(number.raw);
    one.set_seen(seen.raw);
    one.set_left(raw_of(left));
  });
}
std::string done(std::string_view task, Token token, Nanos ago) {
  return word([&](wire::Letter& message) {
    wire::Done& one = *message.add_done();
    one.set_task(text(task));
    one.set_token(token.raw);
    one.set_ago(raw_of(ago));
  });
}

std::string voters(Epoch on_file, const VoterList& list) {
  return word([&](wire::Letter& message) {
    message.set_on_file(on_file.raw);
    wire::Voters& one = *message.mutable_voters();
    one.set_epoch(list.epoch.raw);
    for (const MemberId voter : list.voters) one.add_voter(voter.raw);
    for (const MemberId voter : list.previous) one.add_previous(voter.raw);
  });
}

std::string control(std::string_view bytes) {
  return word([&](wire::Letter& message) { message.add_control(bytes.data(), bytes.size()); });
}

// By the part's first byte, the tag of its field in a message.
bool wants_answer(std::string_view part) {
  constexpr auto tag = [](int field) { return static_cast<char>(field << 3 | 2); }; // with its length
  return !part.empty() && (part.front() == tag(wire::Letter::kAskFieldNumber) ||
                           part.front() == tag(wire::Letter::kControlFieldNumber));
}

bool decode_hello(std::string_view payload, Sender& into) {
  std::string_view bytes;
  wire::Hello hello;
  if (!unsummed(payload, 0, bytes) || !hello.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      hello.layout() != layout)
    return false;
  into = {hello.fleet(), MemberId{hello.from()}, MemberId{hello.to()}, Incarnation{hello.incarnation()},
          hello.listen()};
  return true;
}

bool decode_message(std::string_view payload, const Sender& sender, Listener& listener) {
  std::string_view bytes;
  wire::Letter message;
  if (!unsummed(payload, key_of(sender), bytes) ||
      !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return false;
  const MemberId from = sender.from;
  const Incarnation of = sender.incarnation;
  const HeartbeatTerms heartbeat{message.next_in() * ms, message.rarely() * ms, message.lonely()};
  if (!listener.message(from, of, message.number(), message.heard(), Incarnation{message.heard_of()},
                        message.leaving(), heartbeat))
    return true;
  if (message.has_voters()) {
    VoterList list{Epoch{message.voters().epoch()}, {}, {}};
    for (const std::uint32_t voter : message.voters().voter()) list.voters.insert(MemberId{voter});
    for (const std::uint32_t voter : message.voters().previous()) list.previous.insert(MemberId{voter});
    listener.voters(from, Epoch{message.on_file()}, list);
  }
  for (const wire::Ask& one : message.ask())
    listener.asked(from, of, Epoch{one.epoch()}, one.lease(), AskNo{one.number()}, Token{one.token()},
                   span_of(one.term()));
  for (const wire::Release& one : message.release())
    listener.released(from, of, one.lease(), AskNo{one.number()});
  for (const wire::Grant& one : message.grant())
    listener.granted(from, Incarnation{one.to()}, one.lease(), AskNo{one.number()}, one.wanted());
  for (const wire::Refuse& one : message.refuse())
    listener.refused(from, Incarnation{one.to()}, one.lease(), AskNo{one.number()}, Token{one.seen()},
                     span_of(one.left()));
  for (const wire::Done& one : message.done())
    listener.done(from, one.task(), Token{one.token()}, span_of(one.ago()));
  for (const std::string& one : message.control()) listener.control(from, of, one);
  return true;
}

} // namespace cometshift::peer_codec
