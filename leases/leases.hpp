// Leases: a named task of the whole fleet has one hand at a time. Each member may ask for a lease; a few
// named members, the voters, grant it. One `Leases` is one member, voter or not. It decides only: no I/O, no
// clock, one time with each call, and what is to be said goes out by `LeaseActions`. docs/leases.md has the
// ways weighed and the argument; tests/leases.cpp mirrors it, assumption by assumption.
//
// Why two never hold at once, in short. (1) A voter has at most one grant of a lease that is not over. (2) A
// holder has grants of a majority, all for one ask. (3) It counts its time from before that ask left, and
// less of it than a voter counts from when the ask came. (4) A voter that forgot its grants is silent until
// the longest of them is over. Any two majorities share a voter, whose two grants can't have been good at
// once.
//
// Times: of the caller's own clock, ns, which never goes back and goes on while the machine sleeps; no two
// members' are compared. A voter's side (the constructor, `asked`, `released`, `silent`) may run by another
// clock than the side that asks, as no time of the one meets one of the other (clocks.hpp). Spans: ns.
// Ownership: a view holds until the call returns. Nothing that is ordered may call back within the order.
//
// Errors: the constructor throws std::invalid_argument with the name of a setting that is missing or
// senseless. What comes from others and makes no sense is counted and changes nothing.
#pragma once

#include "ids.hpp"
#include "pcg.hpp"
#include "state.hpp"
#include "voters.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cometshift {

using Incarnation = Id<struct IncarnationTag, std::uint64_t>; // of a member: another with each start
using Token = Id<struct TokenTag, std::uint64_t>; // of a holding: greater than all before it; 0: none
using AskNo = Id<struct AskNoTag, std::uint64_t>; // of an ask, rising in one incarnation

enum class LossReason { ended, given_up, yielded, refused_by_target };
std::string_view to_text(LossReason reason);

class LeaseActions {
 public:
  virtual ~LeaseActions() = default;
  // What is to be said to a voter: grant me this lease, or with a term of 0, would you; I have no use for
  // what you granted up to this ask.
  // `epoch`: of the list of voters that the asker goes by.
  virtual void ask(MemberId voter, Epoch epoch, std::string_view lease, AskNo number, Token token,
                   Nanos term) = 0;
  virtual void release(MemberId voter, std::string_view lease, AskNo number) = 0;
  // What a voter answers. `wanted`: others ask for it too. `seen`: no token up to it will be granted; `left`:
  // of the grant that stands in the way, 0: none does.
  virtual void grant(MemberId to, Incarnation incarnation, std::string_view lease, AskNo number,
                     bool contended) = 0;
  virtual void refuse(MemberId to, Incarnation incarnation, std::string_view lease, AskNo number,
                      Token highest_token, Nanos remaining) = 0;
  // This member may act from `from` until `until`, under this token. Told again with each renewal.
  virtual void held(std::string_view lease, Token token, Nanos from, Nanos until) = 0;
  virtual void lost(std::string_view lease, Token token, LossReason reason) = 0;
};

class Leases {
 public:
  // `figures`, spans in ns:
  // - leases.term: for how long a voter grants
  // - leases.longest_term: the longest that any member has had set for a term's time before; a voter that
  //   starts is silent that long
  // - leases.answer: a round's answers are waited for so long; over a round trip to the farthest voter, else
  //   no round ever ends where all of the voters that are up are needed. Else an eighth of the term
  // - leases.drift: bound on how far a clock's rate is from true, as a part
  // - leases.longest_act: of a target that can't refuse old tokens, its next holder waits that long; 0: none
  // - leases.most_terms: after so many a holder gives others a turn, if they ask; 0: never
  // - leases.first_token: where tokens begin, a count that is greater at each start than one a
  //   millisecond has made of any before, as Unix time in ms. A hint: where it is none, tokens may go back
  //   after most voters forgot, and a target's refusal puts it right
  // - leases.most: names that are known at once, as a voter and as one who asks, each
  // Who votes is asked of `voters` at each step.
  Leases(Nanos now, MemberId self, Incarnation incarnation, const Voters& voters, const Settings& settings,
         std::uint64_t seed, LeaseActions& actions);
  Leases(const Leases&) = delete;
  Leases& operator=(const Leases&) = delete;

  // Tokens that this member asks for are over this one's, which goes on as `leases.first_token` does: against
  // voters that have seen none of those before, as where the list of voters was changed.
  void raise_token_counter(std::uint64_t at_least) { token_counter_ = std::max(token_counter_, at_least); }

  // ---- what this member wants
  // Asks for a lease until it is dropped. False: no room for another name.
  bool acquire(Nanos now, std::string_view lease);
  void drop(Nanos now, std::string_view lease); // gives it up at once, if it is held
  void leave(Nanos now);                        // all of them: this member is about to go
  // May an act that takes `act` at the most begin now? Its token, or Token{0}.
  Token may_act(Nanos now, std::string_view lease, Nanos act) const;
  // The same, and what is held is not given up by choice until as many acts have ended as began.
  Token begin_act(Nanos now, std::string_view lease, Nanos act);
  void end_act(Nanos now, std::string_view lease, Token token);
  // What is acted on has refused this member's token for a greater one.
  void refused_by_target(Nanos now, std::string_view lease, Token highest_token);

  // ---- what others say
  void asked(Nanos now, MemberId from, Incarnation incarnation, Epoch epoch, std::string_view lease,
             AskNo number, Token token, Nanos term);
  void released(Nanos now, MemberId from, Incarnation incarnation, std::string_view lease, AskNo number);
  void granted(Nanos now, MemberId from, Incarnation to, std::string_view lease, AskNo number,
               bool contended);
  void refused(Nanos now, MemberId from, Incarnation to, std::string_view lease, AskNo number,
               Token highest_token, Nanos remaining);

  // ---- time
  Nanos next_wake() const; // -1: none
  void due(Nanos now);

  struct Status { // of a lease that this member wants
    std::string lease;
    Token token{0}; // 0: not held
    Nanos since = 0, until = 0;
    int rounds = 0; // of asking since it was last held, or since it was wanted
  };
  std::vector<Status> status() const;
  bool silent(Nanos now) const { return voters_.may_grant(self_) && now < silent_until_; }
  std::uint64_t invalid_messages() const { return invalid_messages_; }

  // All that it remembers, to bytes and back (serializer.hpp), into one that was made with the same settings.
  template <class Serializer>
  void serialize(Serializer& serializer);
  // When something changes by itself: ends of grants by the voter's clock, all else by that of who asks.
  std::vector<Nanos> grant_expiries() const;

 private:
  // A voter's: who has a lease of it.
  struct Grant {
    MemberId holder{};
    Incarnation incarnation{};
    AskNo last_ask{}; // the greatest of the holder's that was taken, or released
    Nanos until = 0;
    Token highest_token{0}; // the greatest that was granted
    Nanos contended_until = 0;
    bool open(Nanos now) const { return now >= until; }
    template <class Serializer>
    void serialize(Serializer& serializer) {
      serializer(holder, incarnation, last_ask, until, highest_token, contended_until);
    }
  };
  // What this member wants.
  struct LeaseRequest {
    AskNo number{}; // of the last ask
    Nanos asked_at = 0;
    Token token{0};       // asked for, or held
    Token token_floor{0}; // tokens up to it are known to be used
    std::set<MemberId> granted, refused_by;
    bool held = false, contended = false;
    bool probing = false;         // the ask only looks whether it would be granted
    bool release_pending = false; // given up once its acts have ended
    int acts = 0;                 // begun and not ended, under this token
    Nanos since = 0, from = 0, until = 0;
    Nanos next = 0;          // ask, renew or look again
    Nanos blocked_until = 0; // until then a grant is known to stand in the way
    int rounds = 0, renewals = 0;
    template <class Serializer>
    void serialize(Serializer& serializer) {
      serializer(number, asked_at, token, token_floor, granted, refused_by, held, contended, probing,
                 release_pending, acts, since, from, until, next, blocked_until, rounds, renewals);
    }
  };
  using Requests = std::map<std::string, LeaseRequest, std::less<>>;

  void ask(Nanos now, const std::string& lease, LeaseRequest& request, bool probe_only);
  void release_grants(const std::string& lease, const LeaseRequest& request);
  void end_holding(Nanos now, const std::string& lease, LeaseRequest& request, LossReason reason,
                   Nanos backoff);
  void settle_round(Nanos now, const std::string& lease, LeaseRequest& request);
  Token next_token(const LeaseRequest& request) const;
  Nanos backoff(int rounds); // drawn by chance, longer with each round lost
  Nanos holding_time() const;
  Nanos renewal_delay();
  Grant* find_or_add_grant(Nanos now, std::string_view lease);

  LeaseActions& actions_;
  MemberId self_;
  Incarnation incarnation_;
  const Voters& voters_;
  Pcg random_;
  Nanos term_, max_term_, answer_timeout_, max_act_duration_;
  double drift_;
  int max_terms_;
  std::size_t max_names_;
  Token token_floor_; // tokens up to it are not used
  std::uint64_t token_counter_ = 0;
  Nanos silent_until_;
  std::uint64_t last_ask_ = 0;
  std::uint64_t invalid_messages_ = 0;
  std::map<std::string, Grant, std::less<>> grants_;
  Requests requests_;
};

template <class Serializer>
void Leases::serialize(Serializer& serializer) {
  serializer(random_, token_floor_, token_counter_, silent_until_, last_ask_, invalid_messages_, grants_,
             requests_);
}

} // namespace cometshift
