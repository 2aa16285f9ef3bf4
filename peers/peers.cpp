#include "peers.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr std::size_t letter_room =
    peer_codec::most_letter / 2;             // bytes of words in one: several are read a turn
constexpr std::size_t kept_incarnations = 4; // of a number: more than two mean a storm
constexpr std::size_t most_unanswered = 64;  // messages remembered: the first matters, and that
                                             // answers to later ones are known
constexpr Nanos forget_silences = 40; // a voter stops dialling a member that was silent so many times as long
                                      // as `peers.silent`: gone for good, or it will be heard again
constexpr Nanos lonely_silences = 4;  // without a voter, until all others are asked
constexpr int most_doublings = 16;
constexpr double steady_members = 20; // that get the whole beat, at 500 ms 40 messages a second in all: under
                                      // 4 KB with TCP/IP's 40 bytes; with more members each gets fewer
constexpr Nanos most_span = 600'000 * ms; // that a message may promise or ask for: against a figure that was
                                          // never meant, after which nobody would be missed
constexpr std::size_t lonely_asks = 3;    // others that a member without voters asks at a time: four times as
                                          // many know a list after each round
constexpr Nanos ask_silences = 2;         // a round's time: some round trips, and a dial back
constexpr std::size_t most_answered = 8;  // lonely ones that are dialled for it, at a time
const std::pair first_control{Peers::MessageClass::control, std::string()};

Nanos whole_ms(Nanos span) { return (span + ms - 1) / ms * ms; }

} // namespace

std::string_view to_text(PeerState peer_state) {
  switch (peer_state) {
  case PeerState::unknown:
    return "not heard yet";
  case PeerState::reachable:
    return "well";
  case PeerState::one_way:
    return "does not hear us";
  case PeerState::unresponsive:
    return "silent";
  case PeerState::left:
    return "left";
  }
  return "?";
}

Peers::Peers(Nanos now, peer_codec::Sender self, std::vector<MemberId> others, const Voters& voters,
             const Settings& figures, std::uint64_t seed, PeerActions& orders)
    : actions_(orders), self_(std::move(self)), chance_(seed), voters_(voters), voters_seen_(voters.all()),
      grants_seen_(voters.may_grant(self_.from)), now_(now) {
  beat_ = static_cast<Nanos>(required_number(figures, "peers.beat", static_cast<double>(ms)));
  silent_ = static_cast<Nanos>(required_number(figures, "peers.silent", 2 * static_cast<double>(beat_)));
  rest_least_ = static_cast<Nanos>(required_number(figures, "peers.rest_least", static_cast<double>(ms)));
  rest_most_ =
      static_cast<Nanos>(required_number(figures, "peers.rest_most", static_cast<double>(rest_least_)));
  most_words_ = static_cast<std::size_t>(required_number(figures, "peers.most_words", 1));
  const auto or_else = [&](const char* name, double least, double otherwise) {
    return figures.contains(name) ? required_number(figures, name, least) : otherwise;
  };
  most_bytes_ = static_cast<std::size_t>(
      or_else("peers.most_waiting_bytes", 1, static_cast<double>(most_words_ * 2 * peer_codec::most_word)));
  most_beats_ = or_else("peers.most_beats", 0.1, steady_members * 1e9 / static_cast<double>(beat_));
  by_choice_ = or_else("peers.by_choice", 0, 0) != 0;
  std::erase(others, self_.from);
  most_members_ = static_cast<std::size_t>(
      or_else("peers.most_members", static_cast<double>(others.size()), static_cast<double>(others.size())));
  deserted_at_ = now + lonely_silences * silent_;
  for (const MemberId other : others) add(now, other);
}

// ---- who there is, and to whom a line is wanted

bool Peers::add(Nanos now, MemberId member) {
  now_ = now;
  if (fellows_.contains(member)) return true;
  if (member == self_.from || fellows_.size() >= most_members_) return false;
  Fellow& fellow = fellows_[member];
  fellow.next_beat = fellow.since = now;
  numbers_.insert(std::lower_bound(numbers_.begin(), numbers_.end(), member), member);
  if (lonely_ && ask_at_ < 0) ask_at_ = now;
  file(member, fellow);
  return true;
}

void Peers::remove(Nanos now, MemberId member) {
  now_ = now;
  const auto at = fellows_.find(member);
  if (at == fellows_.end()) return;
  Fellow& fellow = at->second;
  if (fellow.line != Line::none) actions_.disconnect(member);
  lines_ -= fellow.stands;
  sending_ -= fellow.sends;
  hearing_ -= fellow.heard;
  if (fellow.wake >= 0) wakes_.erase({fellow.wake, member});
  for (std::set<MemberId>* some : {&touched_, &ready_, &wanted_, &answered_, &asked_}) some->erase(member);
  numbers_.erase(std::lower_bound(numbers_.begin(), numbers_.end(), member));
  fellows_.erase(at);
}

bool Peers::keep(Nanos now, MemberId member, bool wanted) {
  now_ = now;
  const auto at = fellows_.find(member);
  if (at == fellows_.end()) return false;
  at->second.kept = wanted;
  file(member, at->second);
  return true;
}

bool Peers::up(MemberId to) const {
  const auto at = fellows_.find(to);
  return at != fellows_.end() && at->second.stands;
}

// Against a list of voters that are all gone: others may know of a newer one.
bool Peers::deserted(Nanos now) const {
  return !by_choice_ && !voters_.may_grant(self_.from) && now >= deserted_at_;
}

bool Peers::wanted(Nanos now, MemberId of, const Fellow& fellow) const {
  if (fellow.kept) return true;
  if (by_choice_) return false;
  if (voters_.is_voter(of) || asked_.contains(of) || now < fellow.answer_until) return true;
  return voters_.may_grant(self_.from) && fellow.last_received_at >= 0 &&
         fellow.peer_state != PeerState::left &&
         now - fellow.last_received_at < std::max(forget_silences * silent_, unresponsive_timeout(fellow));
}

// A few by chance, others each time; all where they are no more than that.
void Peers::ask_others(Nanos now) {
  std::set<MemberId> before;
  before.swap(asked_);
  touched_.insert(before.begin(), before.end());
  std::size_t others = numbers_.size();
  for (const MemberId voter : voters_.all()) others -= fellows_.contains(voter);
  ask_at_ = -1;
  if (others <= lonely_asks) {
    for (const MemberId member : numbers_)
      if (!voters_.is_voter(member)) asked_.insert(member);
  } else {
    const bool anew = others >= 2 * lonely_asks;
    while (asked_.size() < lonely_asks) {
      const MemberId drawn = numbers_[chance_.next() % numbers_.size()];
      if (!voters_.is_voter(drawn) && !(anew && before.contains(drawn))) asked_.insert(drawn);
    }
    // Spread, against a whole fleet that asks at one moment.
    ask_at_ =
        now + static_cast<Nanos>(static_cast<double>(ask_silences * silent_) * (0.75 + chance_.unit() / 2));
  }
  touched_.insert(asked_.begin(), asked_.end());
}

// The list is the caller's, and changes under this module.
void Peers::look_at_voters() {
  const bool grants = voters_.may_grant(self_.from);
  if (grants != grants_seen_)
    touched_.insert(numbers_.begin(), numbers_.end());
  else if (voters_.all() != voters_seen_)
    for (const std::set<MemberId>* some :
         std::initializer_list<const std::set<MemberId>*>{&voters_seen_, &voters_.all()})
      for (const MemberId voter : *some)
        if (fellows_.contains(voter)) touched_.insert(voter);
  if (voters_.all() != voters_seen_) voters_seen_ = voters_.all();
  grants_seen_ = grants;
}

// ---- what is to be said

bool Peers::enqueue(MemberId to, MessageClass slot, std::string_view about, std::string word) {
  const auto at = fellows_.find(to);
  if (at == fellows_.end()) return false;
  if (word.size() > (slot == MessageClass::control ? peer_codec::most_control + peer_codec::control_head
                                                   : peer_codec::most_word))
    return false;
  Fellow& fellow = at->second;
  const auto [found, fresh] = fellow.words.try_emplace(Fellow::Matter{slot, std::string(about)});
  const std::size_t bytes =
      fellow.bytes - found->second.size() + word.size() + (fresh ? about.size() : std::size_t{0});
  if ((fresh && fellow.words.size() > most_words_) || (bytes > most_bytes_ && bytes > fellow.bytes)) {
    if (fresh) fellow.words.erase(found); // what waits of an earlier word about it goes on waiting
    return ++fellow.dropped, false;
  }
  fellow.bytes = bytes;
  found->second = std::move(word);
  file(to, fellow);
  return true;
}

void Peers::enqueue_all(MessageClass slot, std::string_view about, const std::string& word) {
  for (const MemberId member : wanted_) enqueue(member, slot, about, word);
}

std::size_t Peers::room(MemberId to) const {
  const auto at = fellows_.find(to);
  if (at == fellows_.end() || at->second.words.size() >= most_words_) return 0;
  return most_bytes_ - std::min(most_bytes_, at->second.bytes);
}

void Peers::let_go(Fellow& fellow, bool stale_only) {
  std::erase_if(fellow.words, [&](const auto& entry) {
    const MessageClass slot = entry.first.first;
    if (stale_only && slot != MessageClass::update && slot != MessageClass::control) return false;
    fellow.bytes -= entry.first.second.size() + entry.second.size();
    return true;
  });
}

void Peers::leave(Nanos now) {
  now_ = now;
  leaving_ = true;
  for (auto& [member, fellow] : fellows_) {
    fellow.next_beat = now;
    file(member, fellow);
  }
}

bool Peers::all_sent() const { return sending_ == 0 && ready_.empty(); }

// ---- connections

// Word of a connection that was hung up meanwhile counts for nothing.
void Peers::connected(Nanos now, MemberId to) {
  now_ = now;
  const auto at = fellows_.find(to);
  if (at == fellows_.end() || at->second.line != Line::dialling) return;
  Fellow& fellow = at->second;
  fellow.line = Line::up;
  fellow.since = now;
  fellow.next_beat = now;
  file(to, fellow);
}

void Peers::written(Nanos now, MemberId to) {
  now_ = now;
  const auto at = fellows_.find(to);
  if (at == fellows_.end() || at->second.line != Line::sending) return;
  at->second.line = Line::up;
  at->second.since = now;
  file(to, at->second);
}

void Peers::broken(Nanos now, MemberId to) {
  now_ = now;
  const auto at = fellows_.find(to);
  if (at == fellows_.end() || at->second.line == Line::none) return;
  down(now, at->second);
  file(to, at->second);
}

// Rests grow until the other side has answered something that went by a new connection: against one that
// accepts and takes nothing. Where many are down at once they grow further: tries are bounded as beats are.
void Peers::down(Nanos now, Fellow& fellow) {
  fellow.line = Line::none;
  fellow.since = now;
  fellow.unanswered.clear(); // may be lost with it
  fellow.asked_at = -1;
  fellow.missed = false;
  const double missing = static_cast<double>(wanted_.size() - std::min(wanted_.size(), lines_));
  const double most = std::max(static_cast<double>(rest_most_), missing * 1e9 / most_beats_);
  const double rest = std::min(static_cast<double>(rest_least_) * std::exp2(fellow.tries), most);
  fellow.again = now + static_cast<Nanos>(rest * (0.5 + chance_.unit()));
  fellow.tries = std::min(fellow.tries + 1, most_doublings);
  let_go(fellow, true); // against telling as fresh what was so some time ago
}

void Peers::end(Nanos now, MemberId of, Fellow& fellow) {
  if (fellow.line == Line::none) return;
  actions_.disconnect(of);
  down(now, fellow);
}

// ---- what is heard

bool Peers::received(Nanos now, MemberId from, Incarnation of, std::uint64_t number, std::uint64_t echo,
                     Incarnation echo_of, bool leaving, const peer_codec::HeartbeatTerms& heartbeat) {
  now_ = now;
  const auto at = fellows_.find(from);
  if (at == fellows_.end()) return false;
  Fellow& fellow = at->second;
  const auto [last, fresh] = fellow.last.emplace(of, 0);
  if (fresh) {
    fellow.newest = of;
    fellow.newest_at = now;
    while (fellow.last.size() > kept_incarnations)
      for (auto old = fellow.last.begin(); old != fellow.last.end(); ++old)
        if (old->first != of) {
          fellow.last.erase(old);
          break;
        }
  } else if (of != fellow.newest && now - fellow.newest_at > silent_ && !fellow.told_doubled) {
    fellow.told_doubled = true; // messages of a life before don't come that late by a connection
    actions_.duplicate_member(from);
  }
  std::uint64_t& known = fellow.last.find(of)->second;
  if (number <= known) return false; // against a message that comes twice, or after a later one
  known = number;
  if (of != fellow.newest) return true; // its words count, what it says of the link is another's
  fellow.last_received_at = now;
  fellow.asked_at = -1;
  fellow.heartbeat = {std::min(heartbeat.next_in, most_span), std::min(heartbeat.rarely, most_span),
                      heartbeat.lonely};
  if (voters_.is_voter(from))
    deserted_at_ =
        std::max(deserted_at_, now + std::max(lonely_silences * silent_, unresponsive_timeout(fellow)));
  if (heartbeat.lonely && (answered_.size() < most_answered || answered_.contains(from))) {
    answered_.insert(from);
    fellow.answer_until = now + unresponsive_timeout(fellow);
  } else {
    answered_.erase(from);
    fellow.answer_until = -1;
  }
  if (echo_of == self_.incarnation && echo <= fellow.number) {
    bool answered = false;
    for (; !fellow.unanswered.empty() && fellow.unanswered.front().first <= echo; answered = true)
      fellow.unanswered.pop_front();
    if (answered) fellow.tries = 0, fellow.unheard = false, fellow.missed_since = -1;
  }
  // It writes, and has not heard what went to it long ago: that stands on the way, and so would an answer.
  if (!fellow.unanswered.empty() && now - fellow.unanswered.front().second >= silent_) {
    fellow.missed = true;
    if (fellow.missed_since < 0) fellow.missed_since = fellow.unanswered.front().second;
    touched_.insert(from);
  }
  if (leaving && fellow.peer_state != PeerState::left) {
    actions_.peer_state_changed(from, fellow.peer_state, PeerState::left);
    fellow.peer_state = PeerState::left;
  } else if (!leaving) {
    if (fellow.peer_state == PeerState::left || fellow.peer_state == PeerState::unknown ||
        fellow.peer_state == PeerState::unresponsive) {
      actions_.peer_state_changed(from, fellow.peer_state, PeerState::reachable);
      fellow.peer_state = PeerState::reachable;
      fellow.missed_since = -1;
      fellow.unheard = false;                            // of the time before it left
      if (fellow.line == Line::none) fellow.again = now; // it is there again: no rest is needed
    }
    judge(now, from, fellow);
  }
  file(from, fellow);
  return true;
}

// Silence is judged by what was promised: so many times as long as is waited for a beat by the figures.
Nanos Peers::unresponsive_timeout(const Fellow& fellow) const {
  if (fellow.heartbeat.next_in <= beat_) return silent_;
  const double beats = static_cast<double>(silent_) / static_cast<double>(beat_);
  return static_cast<Nanos>(static_cast<double>(fellow.heartbeat.next_in) * beats);
}

// Deaf: it is heard, and the first message that it has not answered is too old. Silent comes before: who is
// not heard can't answer.
void Peers::judge(Nanos now, MemberId of, Fellow& fellow) {
  if (fellow.peer_state == PeerState::unknown || fellow.peer_state == PeerState::left) return;
  PeerState next = PeerState::reachable;
  const Nanos most = unresponsive_timeout(fellow);
  const bool unanswered = (!fellow.unanswered.empty() && now - fellow.unanswered.front().second >= most) ||
                          (fellow.missed_since >= 0 && now - fellow.missed_since >= most);
  const bool unreached = fellow.is_wanted && fellow.line == Line::none && now - fellow.since >= silent_;
  if (now - fellow.last_received_at >= most)
    next = PeerState::unresponsive;
  else if (wanted(now, of, fellow) && (unanswered || unreached || fellow.unheard))
    next = PeerState::one_way;
  fellow.unheard = next == PeerState::one_way; // until it answers something
  if (next == fellow.peer_state) return;
  actions_.peer_state_changed(of, fellow.peer_state, next);
  fellow.peer_state = next;
}

PeerState Peers::peer_state(MemberId of) const {
  const auto at = fellows_.find(of);
  return at == fellows_.end() ? PeerState::unknown : at->second.peer_state;
}

// ---- time

Nanos Peers::beat() const {
  return std::max(beat_,
                  static_cast<Nanos>(static_cast<double>(std::max(lines_, hearing_)) * 1e9 / most_beats_));
}

Nanos Peers::wake_of(MemberId of, const Fellow& fellow) const {
  Nanos next = -1;
  const auto also = [&next](Nanos at) { next = next < 0 ? at : std::min(next, at); };
  const Nanos most = unresponsive_timeout(fellow);
  const bool want = wanted(now_, of, fellow);
  const bool may_be_deaf = want && fellow.peer_state == PeerState::reachable;
  if (may_be_deaf && fellow.missed_since >= 0) also(fellow.missed_since + most);
  if (fellow.peer_state == PeerState::reachable || fellow.peer_state == PeerState::one_way)
    also(fellow.last_received_at + most);
  if (now_ < fellow.answer_until) also(fellow.answer_until);
  if (fellow.asked_at >= 0) also(fellow.asked_at + silent_);
  switch (fellow.line) {
  case Line::none:
    if (want && !leaving_) also(fellow.again);
    if (may_be_deaf) also(fellow.since + silent_);
    break;
  case Line::up:
    also(fellow.next_beat);
    if (!fellow.unanswered.empty()) also(fellow.unanswered.front().second + most);
    break;
  case Line::dialling:
  case Line::sending:
    also(fellow.since + silent_);
    if (may_be_deaf && !fellow.unanswered.empty()) also(fellow.unanswered.front().second + most);
    break;
  }
  return next;
}

// Whatever was changed of a member: it is found again where it is waited for, and nobody else is looked at.
void Peers::file(MemberId member, Fellow& fellow) {
  ++costs_.peers_examined;
  const auto count = [](std::size_t& all, bool& counted, bool now) {
    all += now;
    all -= counted;
    counted = now;
  };
  count(lines_, fellow.stands, fellow.line == Line::up || fellow.line == Line::sending);
  count(sending_, fellow.sends, fellow.line == Line::sending);
  count(hearing_, fellow.heard,
        fellow.peer_state == PeerState::reachable || fellow.peer_state == PeerState::one_way);
  if (const bool ready = fellow.line == Line::up && !fellow.words.empty(); ready != fellow.ready) {
    if (ready)
      ready_.insert(member);
    else
      ready_.erase(member);
    fellow.ready = ready;
  }
  if (wanted(now_, member, fellow) != fellow.is_wanted || (!fellow.is_wanted && !fellow.words.empty()))
    touched_.insert(member);
  const Nanos wake = wake_of(member, fellow);
  if (wake == fellow.wake) return;
  auto node = fellow.wake >= 0 ? wakes_.extract({fellow.wake, member}) : Wakes::node_type{};
  fellow.wake = wake;
  if (wake < 0) return;
  if (node) {
    node.value().first = wake;
    wakes_.insert(std::move(node));
  } else {
    wakes_.emplace(wake, member);
  }
}

Nanos Peers::next_wake() const {
  Nanos next = wakes_.empty() ? -1 : wakes_.begin()->first;
  if (!by_choice_ && !voters_.may_grant(self_.from))
    if (const Nanos at = lonely_ ? ask_at_ : deserted_at_; at >= 0 && (next < 0 || at < next)) next = at;
  return next;
}

void Peers::due(Nanos now) {
  now_ = now;
  if (!by_choice_) look_at_voters();
  if (const bool before = std::exchange(lonely_, deserted(now)); lonely_) {
    if (!before || (ask_at_ >= 0 && now >= ask_at_)) ask_others(now);
  } else if (before) {
    touched_.insert(asked_.begin(), asked_.end());
    asked_.clear();
  }
  std::set<MemberId> concerned;
  concerned.swap(touched_);
  for (auto at = wakes_.begin(); at != wakes_.end() && at->first <= now; ++at) concerned.insert(at->second);
  for (const MemberId member : concerned) look(now, member, fellows_.at(member));
}

void Peers::look(Nanos now, MemberId member, Fellow& fellow) {
  if (!fellow.is_wanted && fellow.line == Line::none) fellow.since = now; // nobody tried to reach it before
  judge(now, member, fellow);
  if (now >= fellow.answer_until) answered_.erase(member);
  const bool stuck =
      (fellow.line == Line::dialling || fellow.line == Line::sending) && now - fellow.since >= silent_;
  const bool unanswered = fellow.line == Line::up && !fellow.unanswered.empty() &&
                          now - fellow.unanswered.front().second >= unresponsive_timeout(fellow);
  // Against a line that TCP still sends again on, with rests of minutes: neither silence nor deafness says it
  // soon of one that promised little.
  const bool stalled = (fellow.line == Line::up || fellow.line == Line::sending) &&
                       (fellow.missed || (fellow.asked_at >= 0 && now - fellow.asked_at >= silent_));
  if (stuck || unanswered || stalled) end(now, member, fellow);
  fellow.is_wanted = wanted(now, member, fellow);
  if (!fellow.is_wanted) {
    wanted_.erase(member);
    end(now, member, fellow);
    let_go(fellow, false);
  } else {
    wanted_.insert(member);
    if (fellow.line == Line::none && now >= fellow.again && !leaving_) {
      fellow.line = Line::dialling;
      fellow.since = now;
      ++fellow.dials;
      ++costs_.dials;
      actions_.dial(member);
    }
  }
  file(member, fellow);
}

void Peers::flush(Nanos now) {
  now_ = now;
  std::vector<MemberId> concerned(ready_.begin(), ready_.end());
  for (auto at = wakes_.begin(); at != wakes_.end() && at->first <= now; ++at)
    if (const Fellow& fellow = fellows_.at(at->second); fellow.line == Line::up && now >= fellow.next_beat)
      concerned.push_back(at->second);
  std::sort(concerned.begin(), concerned.end());
  concerned.erase(std::unique(concerned.begin(), concerned.end()), concerned.end());
  for (const MemberId member : concerned) send(now, member, fellows_.at(member));
}

// On behind what went out last, and round: no matter waits for ever behind those before it. The other slots
// go before those of control, and leave them half of a message.
std::string Peers::next_words(Fellow& fellow, bool& asks) {
  std::string said;
  const auto put = [&](bool control, Fellow::Matter& said_to, std::size_t room) {
    auto next = fellow.words.upper_bound(said_to);
    for (;;) {
      const auto border = fellow.words.lower_bound(first_control);
      const auto first = control ? border : fellow.words.begin();
      const auto last = control ? fellow.words.end() : border;
      if (first == last) return;
      if (next == last) next = first;
      if (said.size() + next->second.size() > room) return;
      const MessageClass slot = next->first.first;
      const bool wants = (slot == MessageClass::request || slot == MessageClass::control) &&
                         peer_codec::wants_answer(next->second);
      said += next->second;
      said_to = next->first;
      asks = asks || wants;
      fellow.bytes -= next->first.second.size() + next->second.size();
      next = fellow.words.erase(next);
    }
  };
  const bool controls = !fellow.words.empty() && fellow.words.rbegin()->first.first == MessageClass::control;
  put(false, fellow.said_to, controls ? letter_room / 2 : letter_room);
  if (controls) put(true, fellow.control_to, letter_room);
  return said;
}

void Peers::send(Nanos now, MemberId to, Fellow& fellow) {
  bool asks = false;
  const std::string said = next_words(fellow, asks);
  if (asks && fellow.asked_at < 0) fellow.asked_at = now;
  const Incarnation of = fellow.newest;
  const auto last = fellow.last.find(of);
  ++fellow.number;
  ++fellow.messages;
  if (fellow.unanswered.size() >= most_unanswered) fellow.unanswered.pop_back();
  fellow.unanswered.emplace_back(fellow.number, now);
  // Who promises nothing knows of no promise, and would take a rarer beat for silence.
  const Nanos own = beat(),
              next = fellow.heartbeat.next_in > 0 ? std::max(own, fellow.heartbeat.rarely) : beat_;
  const peer_codec::HeartbeatTerms heartbeat{whole_ms(next), own > beat_ ? whole_ms(own) : 0, lonely_};
  fellow.next_beat = now + next;
  fellow.line = Line::sending;
  fellow.since = now;
  file(to, fellow);
  peer_codec::Sender sender = self_;
  sender.to = to;
  std::string frame = peer_codec::message(sender, fellow.number, last == fellow.last.end() ? 0 : last->second,
                                          of, leaving_, said, heartbeat);
  ++costs_.messages;
  costs_.bytes += frame.size();
  actions_.send(to, std::move(frame));
}

std::vector<Peers::Status> Peers::status() const {
  std::vector<Status> all;
  for (const auto& [member, fellow] : fellows_)
    all.push_back({member, fellow.peer_state, fellow.newest, fellow.last_received_at, fellow.words.size(),
                   fellow.messages, fellow.dropped, fellow.dials, unresponsive_timeout(fellow),
                   fellow.is_wanted});
  return all;
}

} // namespace cometshift
