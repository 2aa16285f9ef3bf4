#include "peer_codec.hpp"

#include "frames.hpp"
#include "peer_messages.pb.h"

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace cometshift::peer_codec {

namespace {

constexpr std::size_t checksum_size = 8;

std::uint64_t checksum_key(const Sender& sender) {
  const std::uint64_t ends[] = {sender.from.raw, sender.to.raw, sender.incarnation.raw};
  return XXH3_64bits_withSeed(ends, sizeof ends, XXH3_64bits(sender.fleet.data(), sender.fleet.size()));
}
std::string checksum_of(std::uint64_t key, std::string_view bytes) {
  std::uint64_t sum = XXH3_64bits_withSeed(bytes.data(), bytes.size(), key);
  std::string out;
  for (std::size_t i = 0; i < checksum_size; ++i, sum >>= 8) out += static_cast<char>(sum & 0xff);
  return out;
}
std::string frame_with_checksum(frames::Type type, std::uint64_t key, const std::string& bytes) {
  std::string out;
  frames::put_frame(out, type, 0, checksum_of(key, bytes) + bytes);
  return out;
}
bool verify_checksum(std::string_view payload, std::uint64_t key, std::string_view& bytes) {
  if (payload.size() < checksum_size) return false;
  bytes = payload.substr(checksum_size);
  return payload.substr(0, checksum_size) == checksum_of(key, bytes);
}
// An item is encoded as a message that has no other fields.
template <class Fill>
std::string encode_item(Fill fill) {
  wire::Letter message;
  fill(message);
  return message.SerializeAsString();
}
std::string to_string(std::string_view text) { return std::string(text); }
// Clamps values out of range to the longest duration, which the modules reject as invalid.
Nanos nanos_from_wire(std::uint64_t raw) {
  return static_cast<Nanos>(std::min<std::uint64_t>(raw, std::numeric_limits<Nanos>::max() / 4));
}
constexpr Nanos ms = 1'000'000;
std::uint32_t wire_ms(Nanos duration) {
  return static_cast<std::uint32_t>(
      std::clamp<Nanos>((duration + ms - 1) / ms, 0, std::numeric_limits<std::uint32_t>::max()));
}
std::uint64_t wire_nanos(Nanos duration) { return static_cast<std::uint64_t>(std::max<Nanos>(duration, 0)); }

} // namespace

std::string hello(const Sender& sender) {
  wire::Hello out;
  out.set_fleet(sender.fleet);
  out.set_from(sender.from.raw);
  out.set_to(sender.to.raw);
  out.set_incarnation(sender.incarnation.raw);
  out.set_layout(layout);
  out.set_listen(sender.listen);
  return frame_with_checksum(frames::peer_hello, 0, out.SerializeAsString());
}

std::string message(const Sender& sender, std::uint64_t number, std::uint64_t acked,
                    Incarnation acked_incarnation, bool leaving, std::string_view items,
                    const HeartbeatTerms& heartbeat) {
  wire::Letter head;
  head.set_number(number);
  head.set_heard(acked);
  head.set_heard_of(acked_incarnation.raw);
  head.set_leaving(leaving);
  head.set_next_in(wire_ms(heartbeat.next_within));
  head.set_rarely(wire_ms(heartbeat.requested_interval));
  head.set_lonely(heartbeat.isolated);
  return frame_with_checksum(frames::peer_message, checksum_key(sender),
                             head.SerializeAsString().append(items));
}

std::string ask(Epoch epoch, std::string_view lease, AskNo number, Token token, Nanos term) {
  return encode_item([&](wire::Letter& message) {
    wire::Ask& item = *message.add_ask();
    item.set_lease(to_string(lease));
    item.set_number(number.raw);
    item.set_token(token.raw);
    item.set_term(wire_nanos(term));
    item.set_epoch(epoch.raw);
  });
}
std::string release(std::string_view lease, AskNo number) {
  return encode_item([&](wire::Letter& message) {
    wire::Release& item = *message.add_release();
    item.set_lease(to_string(lease));
    item.set_number(number.raw);
  });
}
std::string grant(Incarnation to, std::string_view lease, AskNo number, bool wanted) {
  return encode_item([&](wire::Letter& message) {
    wire::Grant& item = *message.add_grant();
    item.set_to(to.raw);
    item.set_lease(to_string(lease));
    item.set_number(number.raw);
    item.set_wanted(wanted);
  });
}
std::string refuse(Incarnation to, std::string_view lease, AskNo number, Token seen, Nanos left) {
  return encode_item([&](wire::Letter& message) {
    wire::Refuse& item = *message.add_refuse();
    item.set_to(to.raw);
    item.set_lease(to_string(lease));
    item.set_number(number.raw);
    item.set_seen(seen.raw);
    item.set_left(wire_nanos(left));
  });
}
std::string done(std::string_view task, Token token, Nanos ago) {
  return encode_item([&](wire::Letter& message) {
    wire::Done& item = *message.add_done();
    item.set_task(to_string(task));
    item.set_token(token.raw);
    item.set_ago(wire_nanos(ago));
  });
}

std::string voters(Epoch on_file, const VoterList& list) {
  return encode_item([&](wire::Letter& message) {
    message.set_on_file(on_file.raw);
    wire::Voters& item = *message.mutable_voters();
    item.set_epoch(list.epoch.raw);
    for (const MemberId voter : list.voters) item.add_voter(voter.raw);
    for (const MemberId voter : list.previous) item.add_previous(voter.raw);
  });
}

std::string control(std::string_view bytes) {
  return encode_item([&](wire::Letter& message) { message.add_control(bytes.data(), bytes.size()); });
}

// Decides by the first byte of the item, which is the tag of its field in a message.
bool expects_response(std::string_view item) {
  constexpr auto tag = [](int field) { return static_cast<char>(field << 3 | 2); }; // length-delimited
  return !item.empty() && (item.front() == tag(wire::Letter::kAskFieldNumber) ||
                           item.front() == tag(wire::Letter::kControlFieldNumber));
}

bool decode_hello(std::string_view payload, Sender& sender) {
  std::string_view bytes;
  wire::Hello hello;
  if (!verify_checksum(payload, 0, bytes) ||
      !hello.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || hello.layout() != layout)
    return false;
  sender = {hello.fleet(), MemberId{hello.from()}, MemberId{hello.to()}, Incarnation{hello.incarnation()},
            hello.listen()};
  return true;
}

bool decode_message(std::string_view payload, const Sender& sender, Listener& listener) {
  std::string_view bytes;
  wire::Letter message;
  if (!verify_checksum(payload, checksum_key(sender), bytes) ||
      !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return false;
  const MemberId from = sender.from;
  const Incarnation incarnation = sender.incarnation;
  const HeartbeatTerms heartbeat{message.next_in() * ms, message.rarely() * ms, message.lonely()};
  if (!listener.message(from, incarnation, message.number(), message.heard(), Incarnation{message.heard_of()},
                        message.leaving(), heartbeat))
    return true;
  if (message.has_voters()) {
    VoterList list{Epoch{message.voters().epoch()}, {}, {}};
    for (const std::uint32_t voter : message.voters().voter()) list.voters.insert(MemberId{voter});
    for (const std::uint32_t voter : message.voters().previous()) list.previous.insert(MemberId{voter});
    listener.voters(from, Epoch{message.on_file()}, list);
  }
  for (const wire::Ask& item : message.ask())
    listener.asked(from, incarnation, Epoch{item.epoch()}, item.lease(), AskNo{item.number()},
                   Token{item.token()}, nanos_from_wire(item.term()));
  for (const wire::Release& item : message.release())
    listener.released(from, incarnation, item.lease(), AskNo{item.number()});
  for (const wire::Grant& item : message.grant())
    listener.granted(from, Incarnation{item.to()}, item.lease(), AskNo{item.number()}, item.wanted());
  for (const wire::Refuse& item : message.refuse())
    listener.refused(from, Incarnation{item.to()}, item.lease(), AskNo{item.number()}, Token{item.seen()},
                     nanos_from_wire(item.left()));
  for (const wire::Done& item : message.done())
    listener.done(from, item.task(), Token{item.token()}, nanos_from_wire(item.ago()));
  for (const std::string& item : message.control()) listener.control(from, incarnation, item);
  return true;
}

} // namespace cometshift::peer_codec
