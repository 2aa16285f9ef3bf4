// What one member of a fleet keeps of each other: what is still to be said to it, when a connection to it is
// worth another try, and what its silence means. Decides only: no I/O, no clock, one time with each call.
// Sockets (peers/links.hpp) carry out, words.hpp has the bytes.
//
// A connection goes one way: each member dials those to whom it speaks, and listens on those that others
// dial. So each way between two members fails by itself, and is known to: what a member says has the number
// of the last letter that it heard, by which the other knows whether it is heard.
//
// Bounds: one letter at a time is under way to a member; what waits stands in slots, where the newest word
// about a matter replaces the one before, at most `peers.most_words` of them; a mute, slow or half-closed
// member costs that and no more.
//
// Times: of the caller's own clock, ns, never going back. Nothing that is ordered may call back within the
// order. Errors: the constructor throws std::invalid_argument with the name of a setting that is senseless.
#pragma once

#include "pcg.hpp"
#include "words.hpp"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cometshift {

// What this member thinks of another.
enum class Hearing {
  unknown, // nothing was heard yet
  well,    // both hear each other, as far as is known
  deaf,    // it is heard, and does not hear this member
  silent,  // not heard for too long: stopped, slow, dead or cut off, which can't be told from here
  left     // it said that it goes
};
std::string_view word_of(Hearing hearing);

class PeerOrders {
 public:
  virtual ~PeerOrders() = default;
  virtual void dial(MemberId to) = 0;    // ends by `connected` or `broken`
  virtual void hang_up(MemberId to) = 0; // nothing of that connection follows
  // One frame; ends by `written` or `broken`.
  virtual void send(MemberId to, std::string frame) = 0;
  virtual void news(MemberId of, Hearing before, Hearing now) = 0;
  virtual void doubled(MemberId number) = 0; // two members live under one number
};

class Peers {
 public:
  // What a word is about; one of a slot and a matter waits, the newest.
  enum class Slot : std::uint8_t { asking, answering, telling };

  // `figures`, spans in ns:
  // - peers.beat: a letter goes out at least so often
  // - peers.silent: after so long without a word a member counts as silent, or as deaf without an answer;
  //   over two beats
  // - peers.rest_least, peers.rest_most: between tries to connect, doubled with each that comes to nothing
  // - peers.most_words: that wait for a member
  // Connections are kept to the voters, and by a voter to all it hears; to all where no voter is heard.
  Peers(Nanos now, words::Speaker self, std::vector<MemberId> others, const Voters& voters,
        const Given& figures, std::uint64_t seed, PeerOrders& orders);

  // To be said with the next letter. False: no room, or nobody of that number.
  bool say(MemberId to, Slot slot, std::string_view about, std::string word);
  void leave(Nanos now); // says so; what waits is still said
  bool all_said() const; // to all that can be reached

  void connected(Nanos now, MemberId to);
  void written(Nanos now, MemberId to);
  void broken(Nanos now, MemberId to);
  // A letter came: true if what it says is to be taken, false if it came before.
  bool heard(Nanos now, MemberId from, Incarnation of, std::uint64_t number, std::uint64_t echo,
             Incarnation echo_of, bool leaving);

  Nanos next_wake() const; // -1: none
  void due(Nanos now);
  void flush(Nanos now); // sends what there is to say; at the end of a turn

  struct Standing {
    MemberId member;
    Hearing hearing = Hearing::unknown;
    Incarnation incarnation;
    Nanos heard_at = -1;
    std::size_t waiting = 0; // words
    std::uint64_t letters = 0, dropped = 0, dials = 0;
  };
  std::vector<Standing> standing() const;
  Hearing hearing(MemberId of) const;

 private:
  enum class Line { none, dialling, up, sending };
  struct Fellow {
    Line line = Line::none;
    Nanos since = 0;      // the line is as it is
    Nanos again = 0;      // no dial before then
    bool unheard = false; // it was found deaf, and has answered nothing since
    int tries = 0;        // that came to nothing, in a row
    using Matter = std::pair<Slot, std::string>;
    std::map<Matter, std::string> words;
    Matter said_to{}; // the last that went out: the next letter goes on behind it
    Nanos next_beat = 0;
    std::uint64_t number = 0; // of the last letter
    // Letters that were sent and not answered, by number; of many only the first and the last count.
    std::deque<std::pair<std::uint64_t, Nanos>> unanswered;
    Hearing hearing = Hearing::unknown;
    Nanos heard_at = -1;
    Incarnation newest{};
    Nanos newest_at = 0;
    std::map<Incarnation, std::uint64_t> last; // letters, by who wrote them
    bool told_doubled = false;
    std::uint64_t letters = 0, dropped = 0, dials = 0;
  };

  bool wanted(Nanos now, MemberId of, const Fellow& fellow) const;
  bool lonely(Nanos now) const;
  void judge(Nanos now, MemberId of, Fellow& fellow);
  void end(Nanos now, MemberId of, Fellow& fellow);
  Nanos wake_of(MemberId of, const Fellow& fellow) const;

  PeerOrders& orders_;
  words::Speaker self_;
  Pcg chance_;
  Nanos beat_, silent_, rest_least_, rest_most_;
  std::size_t most_words_;
  const Voters& voters_;
  bool leaving_ = false;
  Nanos now_;
  Nanos heard_voter_at_; // any
  std::map<MemberId, Fellow> fellows_;
};

} // namespace cometshift
