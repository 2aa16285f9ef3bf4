#include "peers.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr std::size_t letter_room = words::most_letter / 2; // bytes of words in one: several are read a turn
constexpr std::size_t kept_incarnations = 4;                // of a number: more than two mean a storm
constexpr std::size_t most_unanswered = 64;                 // letters remembered: the first matters, and that
                                                            // answers to later ones are known
constexpr Nanos forget_silences = 40; // a voter stops dialling a member that was silent so many times as long
                                      // as `peers.silent`: gone for good, or it will be heard again
constexpr Nanos lonely_silences = 4;  // without a voter, until all others are asked
constexpr int most_doublings = 16;

} // namespace

std::string_view word_of(Hearing hearing) {
  switch (hearing) {
  case Hearing::unknown:
    return "not heard yet";
  case Hearing::well:
    return "well";
  case Hearing::deaf:
    return "does not hear us";
  case Hearing::silent:
    return "silent";
  case Hearing::left:
    return "left";
  }
  return "?";
}

Peers::Peers(Nanos now, words::Speaker self, std::vector<MemberId> others, const Voters& voters,
             const Given& figures, std::uint64_t seed, PeerOrders& orders)
    : orders_(orders), self_(std::move(self)), chance_(seed), voters_(voters), now_(now),
      heard_voter_at_(now) {
  beat_ = static_cast<Nanos>(needed(figures, "peers.beat", static_cast<double>(ms)));
  silent_ = static_cast<Nanos>(needed(figures, "peers.silent", 2 * static_cast<double>(beat_)));
  rest_least_ = static_cast<Nanos>(needed(figures, "peers.rest_least", static_cast<double>(ms)));
  rest_most_ = static_cast<Nanos>(needed(figures, "peers.rest_most", static_cast<double>(rest_least_)));
  most_words_ = static_cast<std::size_t>(needed(figures, "peers.most_words", 1));
  for (const MemberId other : others)
    if (other != self_.from) fellows_[other].next_beat = fellows_[other].since = now;
}

// Against a list of voters that are all gone: others may know of a newer one.
bool Peers::lonely(Nanos now) const {
  return !voters_.grants(self_.from) && now - heard_voter_at_ >= lonely_silences * silent_;
}

bool Peers::wanted(Nanos now, MemberId of, const Fellow& fellow) const {
  if (voters_.votes(of) || lonely(now)) return true;
  return voters_.grants(self_.from) && fellow.heard_at >= 0 && fellow.hearing != Hearing::left &&
         now - fellow.heard_at < forget_silences * silent_;
}

bool Peers::say(MemberId to, Slot slot, std::string_view about, std::string word) {
  const auto at = fellows_.find(to);
  if (at == fellows_.end() || word.size() > words::most_word) return false;
  Fellow& fellow = at->second;
  const Fellow::Matter matter{slot, std::string(about)};
  const auto found = fellow.words.find(matter);
  if (found != fellow.words.end()) {
    found->second = std::move(word);
    return true;
  }
  if (fellow.words.size() >= most_words_) return ++fellow.dropped, false;
  fellow.words.emplace(matter, std::move(word));
  return true;
}

void Peers::leave(Nanos now) {
  leaving_ = true;
  for (auto& [member, fellow] : fellows_) fellow.next_beat = now;
}

bool Peers::all_said() const {
  return std::all_of(fellows_.begin(), fellows_.end(), [](const auto& entry) {
    const Fellow& fellow = entry.second;
    return fellow.line != Line::sending && (fellow.line != Line::up || fellow.words.empty());
  });
}

// ---- connections

// Word of a connection that was hung up meanwhile counts for nothing.
void Peers::connected(Nanos now, MemberId to) {
  Fellow& fellow = fellows_.at(to);
  if (fellow.line != Line::dialling) return;
  fellow.line = Line::up;
  fellow.since = now;
  fellow.next_beat = now;
}

void Peers::written(Nanos now, MemberId to) {
  Fellow& fellow = fellows_.at(to);
  if (fellow.line != Line::sending) return;
  fellow.line = Line::up;
  fellow.since = now;
}

// Rests grow until the other side has answered something that went by a new connection: against one that
// accepts and takes nothing.
void Peers::broken(Nanos now, MemberId to) {
  Fellow& fellow = fellows_.at(to);
  if (fellow.line == Line::none) return;
  fellow.line = Line::none;
  fellow.since = now;
  fellow.unanswered.clear(); // may be lost with it
  const double rest =
      std::min(static_cast<double>(rest_least_) * std::exp2(fellow.tries), static_cast<double>(rest_most_));
  fellow.again = now + static_cast<Nanos>(rest * (0.5 + chance_.unit()));
  fellow.tries = std::min(fellow.tries + 1, most_doublings);
  // Against telling as fresh what was so some time ago.
  std::erase_if(fellow.words, [](const auto& entry) { return entry.first.first == Slot::telling; });
}

void Peers::end(Nanos now, MemberId of, Fellow& fellow) {
  if (fellow.line == Line::none) return;
  orders_.hang_up(of);
  broken(now, of);
}

// ---- what is heard

bool Peers::heard(Nanos now, MemberId from, Incarnation of, std::uint64_t number, std::uint64_t echo,
                  Incarnation echo_of, bool leaving) {
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
    fellow.told_doubled = true; // letters of a life before don't come that late by a connection
    orders_.doubled(from);
  }
  std::uint64_t& known = fellow.last.find(of)->second;
  if (number <= known) return false; // against a letter that comes twice, or after a later one
  known = number;
  if (of != fellow.newest) return true; // its words count, what it says of the link is another's
  fellow.heard_at = now;
  if (voters_.votes(from)) heard_voter_at_ = now;
  if (echo_of == self_.incarnation && echo <= fellow.number) {
    bool answered = false;
    for (; !fellow.unanswered.empty() && fellow.unanswered.front().first <= echo; answered = true)
      fellow.unanswered.pop_front();
    if (answered) fellow.tries = 0, fellow.unheard = false;
  }
  if (leaving && fellow.hearing != Hearing::left) {
    orders_.news(from, fellow.hearing, Hearing::left);
    fellow.hearing = Hearing::left;
  } else if (!leaving) {
    if (fellow.hearing == Hearing::left || fellow.hearing == Hearing::unknown ||
        fellow.hearing == Hearing::silent) {
      orders_.news(from, fellow.hearing, Hearing::well);
      fellow.hearing = Hearing::well;
      if (fellow.line == Line::none) fellow.again = now; // it is there again: no rest is needed
    }
    judge(now, from, fellow);
  }
  return true;
}

// Deaf: it is heard, and the first letter that it has not answered is too old. Silent comes before: who is
// not heard can't answer.
void Peers::judge(Nanos now, MemberId of, Fellow& fellow) {
  if (fellow.hearing == Hearing::unknown || fellow.hearing == Hearing::left) return;
  Hearing next = Hearing::well;
  const bool unanswered = !fellow.unanswered.empty() && now - fellow.unanswered.front().second >= silent_;
  const bool unreached = fellow.line == Line::none && now - fellow.since >= silent_;
  if (now - fellow.heard_at >= silent_)
    next = Hearing::silent;
  else if (wanted(now, of, fellow) && (unanswered || unreached || fellow.unheard))
    next = Hearing::deaf;
  fellow.unheard = next == Hearing::deaf; // until it answers something
  if (next == fellow.hearing) return;
  orders_.news(of, fellow.hearing, next);
  fellow.hearing = next;
}

Hearing Peers::hearing(MemberId of) const {
  const auto at = fellows_.find(of);
  return at == fellows_.end() ? Hearing::unknown : at->second.hearing;
}

// ---- time

Nanos Peers::wake_of(MemberId of, const Fellow& fellow) const {
  Nanos next = -1;
  const auto also = [&next](Nanos at) { next = next < 0 ? at : std::min(next, at); };
  if (fellow.hearing == Hearing::well || fellow.hearing == Hearing::deaf) also(fellow.heard_at + silent_);
  switch (fellow.line) {
  case Line::none:
    if (wanted(now_, of, fellow) && !leaving_) also(fellow.again);
    break;
  case Line::up:
    also(fellow.next_beat);
    if (!fellow.unanswered.empty()) also(fellow.unanswered.front().second + silent_);
    break;
  case Line::dialling:
  case Line::sending:
    also(fellow.since + silent_);
    break;
  }
  return next;
}

Nanos Peers::next_wake() const {
  Nanos next = voters_.grants(self_.from) || lonely(now_) ? -1 : heard_voter_at_ + lonely_silences * silent_;
  for (const auto& [member, fellow] : fellows_)
    if (const Nanos at = wake_of(member, fellow); at >= 0 && (next < 0 || at < next)) next = at;
  return next;
}

void Peers::due(Nanos now) {
  now_ = now;
  for (auto& [member, fellow] : fellows_) {
    judge(now, member, fellow);
    const bool stuck =
        (fellow.line == Line::dialling || fellow.line == Line::sending) && now - fellow.since >= silent_;
    const bool unanswered = fellow.line == Line::up && !fellow.unanswered.empty() &&
                            now - fellow.unanswered.front().second >= silent_;
    if (stuck || unanswered) end(now, member, fellow);
    if (!wanted(now, member, fellow)) {
      end(now, member, fellow);
      fellow.words.clear();
    } else if (fellow.line == Line::none && now >= fellow.again && !leaving_) {
      fellow.line = Line::dialling;
      fellow.since = now;
      ++fellow.dials;
      orders_.dial(member);
    }
  }
}

void Peers::flush(Nanos now) {
  now_ = now;
  for (auto& [member, fellow] : fellows_) {
    if (fellow.line != Line::up || (fellow.words.empty() && now < fellow.next_beat)) continue;
    std::string said;
    // On behind what went out last, and round: no matter waits for ever behind those before it.
    auto next = fellow.words.upper_bound(fellow.said_to);
    while (!fellow.words.empty()) {
      if (next == fellow.words.end()) next = fellow.words.begin();
      if (said.size() + next->second.size() > letter_room) break;
      said += next->second;
      fellow.said_to = next->first;
      next = fellow.words.erase(next);
    }
    const Incarnation of = fellow.newest;
    const auto last = fellow.last.find(of);
    ++fellow.number;
    ++fellow.letters;
    if (fellow.unanswered.size() >= most_unanswered) fellow.unanswered.pop_back();
    fellow.unanswered.emplace_back(fellow.number, now);
    fellow.next_beat = now + beat_;
    fellow.line = Line::sending;
    fellow.since = now;
    words::Speaker speaker = self_;
    speaker.to = member;
    orders_.send(member, words::letter(speaker, fellow.number, last == fellow.last.end() ? 0 : last->second,
                                       of, leaving_, said));
  }
}

std::vector<Peers::Standing> Peers::standing() const {
  std::vector<Standing> all;
  for (const auto& [member, fellow] : fellows_)
    all.push_back({member, fellow.hearing, fellow.newest, fellow.heard_at, fellow.words.size(),
                   fellow.letters, fellow.dropped, fellow.dials});
  return all;
}

} // namespace cometshift
