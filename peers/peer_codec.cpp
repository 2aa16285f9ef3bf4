#include "peer_codec.hpp"

#include "frames.hpp"
#include "peer_messages.pb.h"

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace cometshift::words {

namespace {

constexpr std::size_t sum_size = 8;

std::uint64_t key_of(const Speaker& speaker) {
  const std::uint64_t ends[] = {speaker.from.raw, speaker.to.raw, speaker.incarnation.raw};
  return XXH3_64bits_withSeed(ends, sizeof ends, XXH3_64bits(speaker.fleet.data(), speaker.fleet.size()));
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
// A word is a letter with nothing else in it.
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

std::string hello(const Speaker& speaker) {
  wire::Hello out;
  out.set_fleet(speaker.fleet);
  out.set_from(speaker.from.raw);
  out.set_to(speaker.to.raw);
  out.set_incarnation(speaker.incarnation.raw);
  out.set_layout(layout);
  out.set_listen(speaker.listen);
  return framed(frames::peer_hello, 0, out.SerializeAsString());
}

std::string letter(const Speaker& speaker, std::uint64_t number, std::uint64_t heard, Incarnation heard_of,
                   bool leaving, std::string_view said, const Rhythm& rhythm) {
  wire::Letter head;
  head.set_number(number);
  head.set_heard(heard);
  head.set_heard_of(heard_of.raw);
  head.set_leaving(leaving);
  head.set_next_in(ms_of(rhythm.next_in));
  head.set_rarely(ms_of(rhythm.rarely));
  head.set_lonely(rhythm.lonely);
  return framed(frames::peer_letter, key_of(speaker), head.SerializeAsString().append(said));
}

std::string ask(Epoch epoch, std::string_view lease, AskNo number, Token token, Nanos term) {
  return word([&](wire::Letter& letter) {
    wire::Ask& one = *letter.add_ask();
    one.set_lease(text(lease));
    one.set_number(number.raw);
    one.set_token(token.raw);
    one.set_term(raw_of(term));
    one.set_epoch(epoch.raw);
  });
}
std::string release(std::string_view lease, AskNo number) {
  return word([&](wire::Letter& letter) {
    wire::Release& one = *letter.add_release();
    one.set_lease(text(lease));
    one.set_number(number.raw);
  });
}
std::string grant(Incarnation to, std::string_view lease, AskNo number, bool wanted) {
  return word([&](wire::Letter& letter) {
    wire::Grant& one = *letter.add_grant();
    one.set_to(to.raw);
    one.set_lease(text(lease));
    one.set_number(number.raw);
    one.set_wanted(wanted);
  });
}
std::string refuse(Incarnation to, std::string_view lease, AskNo number, Token seen, Nanos left) {
  return word([&](wire::Letter& letter) {
    wire::Refuse& one = *letter.add_refuse();
    one.set_to(to.raw);
    one.set_lease(text(lease));
    one.set_number(number.raw);
    one.set_seen(seen.raw);
    one.set_left(raw_of(left));
  });
}
std::string done(std::string_view task, Token token, Nanos ago) {
  return word([&](wire::Letter& letter) {
    wire::Done& one = *letter.add_done();
    one.set_task(text(task));
    one.set_token(token.raw);
    one.set_ago(raw_of(ago));
  });
}

std::string voters(Epoch on_file, const VoterList& list) {
  return word([&](wire::Letter& letter) {
    letter.set_on_file(on_file.raw);
    wire::Voters& one = *letter.mutable_voters();
    one.set_epoch(list.epoch.raw);
    for (const MemberId voter : list.voters) one.add_voter(voter.raw);
    for (const MemberId voter : list.previous) one.add_previous(voter.raw);
  });
}

std::string control(std::string_view bytes) {
  return word([&](wire::Letter& letter) { letter.add_control(bytes.data(), bytes.size()); });
}

// By the part's first byte, the tag of its field in a letter.
bool wants_answer(std::string_view part) {
  constexpr auto tag = [](int field) { return static_cast<char>(field << 3 | 2); }; // with its length
  return !part.empty() && (part.front() == tag(wire::Letter::kAskFieldNumber) ||
                           part.front() == tag(wire::Letter::kControlFieldNumber));
}

bool read_hello(std::string_view payload, Speaker& into) {
  std::string_view bytes;
  wire::Hello hello;
  if (!unsummed(payload, 0, bytes) || !hello.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      hello.layout() != layout)
    return false;
  into = {hello.fleet(), MemberId{hello.from()}, MemberId{hello.to()}, Incarnation{hello.incarnation()},
          hello.listen()};
  return true;
}

bool read_letter(std::string_view payload, const Speaker& speaker, Listener& listener) {
  std::string_view bytes;
  wire::Letter letter;
  if (!unsummed(payload, key_of(speaker), bytes) ||
      !letter.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return false;
  const MemberId from = speaker.from;
  const Incarnation of = speaker.incarnation;
  const Rhythm rhythm{letter.next_in() * ms, letter.rarely() * ms, letter.lonely()};
  if (!listener.letter(from, of, letter.number(), letter.heard(), Incarnation{letter.heard_of()},
                       letter.leaving(), rhythm))
    return true;
  if (letter.has_voters()) {
    VoterList list{Epoch{letter.voters().epoch()}, {}, {}};
    for (const std::uint32_t voter : letter.voters().voter()) list.voters.insert(MemberId{voter});
    for (const std::uint32_t voter : letter.voters().previous()) list.previous.insert(MemberId{voter});
    listener.voters(from, Epoch{letter.on_file()}, list);
  }
  for (const wire::Ask& one : letter.ask())
    listener.asked(from, of, Epoch{one.epoch()}, one.lease(), AskNo{one.number()}, Token{one.token()},
                   span_of(one.term()));
  for (const wire::Release& one : letter.release())
    listener.released(from, of, one.lease(), AskNo{one.number()});
  for (const wire::Grant& one : letter.grant())
    listener.granted(from, Incarnation{one.to()}, one.lease(), AskNo{one.number()}, one.wanted());
  for (const wire::Refuse& one : letter.refuse())
    listener.refused(from, Incarnation{one.to()}, one.lease(), AskNo{one.number()}, Token{one.seen()},
                     span_of(one.left()));
  for (const wire::Done& one : letter.done())
    listener.done(from, one.task(), Token{one.token()}, span_of(one.ago()));
  for (const std::string& one : letter.control()) listener.control(from, of, one);
  return true;
}

} // namespace cometshift::words
