#include "hollow.hpp"

namespace cometshift::scale {

namespace {

constexpr Nanos ms = 1'000'000;

// As node/member.cpp: for how long what was granted under a list before may last.
Nanos settle_time(const Settings& figures) {
  const double drift = number(figures, "leases.drift", 0);
  return static_cast<Nanos>(number(figures, "leases.longest_term", 0) * (1 + drift) / (1 - drift)) + 1;
}
Incarnation drawn(std::uint64_t seed, MemberId self, std::uint64_t life) {
  Pcg chance(seed ^ (std::uint64_t{self.raw} << 20 | life));
  const std::uint64_t high = chance.next();
  return Incarnation{high << 32 | chance.next() | 1};
}

} // namespace

Hollow::Hollow(Nanos now, MemberId self, std::uint64_t life, const Part& part)
    : network_(part.network), now_(now), self_{part.fleet, self, MemberId{}, drawn(part.seed, self, life)},
      welcomes_(part.welcomes), voters_(now, self, part.voters, settle_time(part.figures)),
      leases_(now, self, self_.incarnation, voters_, part.figures, self_.incarnation.raw + 1, *this),
      peers_(now, self_, part.others, voters_, part.figures, self_.incarnation.raw + 2, *this) {
  for (const std::string& lease : part.wishes) leases_.acquire(now, lease);
}

void Hollow::turn(Nanos now) {
  now_ = now;
  for (;;) {
    while (!own_.empty()) {
      const auto what = std::move(own_.front());
      own_.pop_front();
      what();
    }
    voters_.advance_time(now);
    leases_.raise_token_counter(static_cast<std::uint64_t>(now / ms));
    leases_.due(now);
    peers_.due(now);
    if (own_.empty()) break;
  }
  peers_.flush(now);
}

Nanos Hollow::next_wake() const {
  Nanos next = -1;
  for (const Nanos at : {leases_.next_wake(), peers_.next_wake(), voters_.next_wake()})
    if (at >= 0 && (next < 0 || at < next)) next = at;
  return next;
}

// ---- the network

// As Links does with a member that is not listed.
bool Hollow::hello(Nanos now, const peer_codec::Sender& from) {
  return peers_.knows(from.from) || (welcomes_ && peers_.add(now, from.from));
}
bool Hollow::message(Nanos now, const peer_codec::Sender& from, std::string_view payload) {
  now_ = now;
  return peer_codec::decode_message(payload, from, *this);
}
void Hollow::connected(Nanos now, MemberId to) {
  peers_.connected(now, to);
  peers_.enqueue(to, Peers::MessageClass::update, "", peer_codec::voters(voters_.on_file(), voters_.list()));
}
void Hollow::written(Nanos now, MemberId to) { peers_.written(now, to); }
void Hollow::broken(Nanos now, MemberId to) { peers_.broken(now, to); }

void Hollow::dial(MemberId to) { network_.dial(self_.from, to); }
void Hollow::disconnect(MemberId to) { network_.disconnect(self_.from, to); }
void Hollow::send(MemberId to, std::string frame) { network_.send(self_.from, to, std::move(frame)); }

// ---- what others say

bool Hollow::message(MemberId from, Incarnation of, std::uint64_t number, std::uint64_t heard,
                     Incarnation acked_incarnation, bool leaving,
                     const peer_codec::HeartbeatTerms& heartbeat) {
  return peers_.received(now_, from, of, number, heard, acked_incarnation, leaving, heartbeat);
}
void Hollow::voters(MemberId from, Epoch on_file, const VoterList& list) {
  voters_.file_epoch_received(now_, from, on_file);
  voters_.list_received(now_, list);
}
void Hollow::asked(MemberId from, Incarnation of, Epoch epoch, std::string_view lease, AskNo number,
                   Token token, Nanos term) {
  leases_.asked(now_, from, of, epoch, lease, number, token, term);
}
void Hollow::released(MemberId from, Incarnation of, std::string_view lease, AskNo number) {
  leases_.released(now_, from, of, lease, number);
}
void Hollow::granted(MemberId from, Incarnation to, std::string_view lease, AskNo number, bool wanted) {
  leases_.granted(now_, from, to, lease, number, wanted);
}
void Hollow::refused(MemberId from, Incarnation to, std::string_view lease, AskNo number, Token seen,
                     Nanos left) {
  leases_.refused(now_, from, to, lease, number, seen, left);
}

// ---- what the leases order

void Hollow::ask(MemberId voter, Epoch epoch, std::string_view lease, AskNo number, Token token, Nanos term) {
  if (voter != self_.from)
    return void(peers_.enqueue(voter, Peers::MessageClass::request, lease,
                               peer_codec::ask(epoch, lease, number, token, term)));
  own_.push_back([this, epoch, lease = std::string(lease), number, token, term] {
    leases_.asked(now_, self_.from, self_.incarnation, epoch, lease, number, token, term);
  });
}
void Hollow::release(MemberId voter, std::string_view lease, AskNo number) {
  if (voter != self_.from)
    return void(
        peers_.enqueue(voter, Peers::MessageClass::request, lease, peer_codec::release(lease, number)));
  own_.push_back([this, lease = std::string(lease), number] {
    leases_.released(now_, self_.from, self_.incarnation, lease, number);
  });
}
void Hollow::grant(MemberId to, Incarnation of, std::string_view lease, AskNo number, bool wanted) {
  if (to != self_.from)
    return void(peers_.enqueue(to, Peers::MessageClass::response, lease,
                               peer_codec::grant(of, lease, number, wanted)));
  own_.push_back([this, of, lease = std::string(lease), number, wanted] {
    leases_.granted(now_, self_.from, of, lease, number, wanted);
  });
}
void Hollow::refuse(MemberId to, Incarnation of, std::string_view lease, AskNo number, Token seen,
                    Nanos left) {
  if (to != self_.from)
    return void(peers_.enqueue(to, Peers::MessageClass::response, lease,
                               peer_codec::refuse(of, lease, number, seen, left)));
  own_.push_back([this, of, lease = std::string(lease), number, seen, left] {
    leases_.refused(now_, self_.from, of, lease, number, seen, left);
  });
}
void Hollow::held(std::string_view lease, Token, Nanos, Nanos) { holding_.emplace(lease); }
void Hollow::lost(std::string_view lease, Token, LossReason) { holding_.erase(std::string(lease)); }

} // namespace cometshift::scale
