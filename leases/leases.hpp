// Leases: at most one member of the fleet at a time holds the lease of a name. Any member may request a
// lease; a few configured members, the voters, grant it. One `Leases` object is one member, voter or not. It
// contains only the protocol logic: no I/O, no clock; each call passes the current time, and outgoing
// messages are requested through `LeaseActions`. docs/leases.md compares the alternatives and has the full
// safety argument; tests/leases.cpp checks its assumptions one by one.
//
// Why there are never two holders at the same time, in short:
// (1) A voter has at most one unexpired grant per lease.
// (2) A holder has grants of a majority of the voters, all for the same ask (lease request message).
// (3) The time of a holding counts from before that ask is sent, the time of a grant from the ask's arrival,
//     and a holding is shorter by what the clocks may drift. So a holding ends before its grants do.
// (4) A voter that has lost its grants (by a restart) grants nothing until all of them must have expired.
//
// Any two majorities share a voter, and that voter's two grants cannot have been valid at the same time.
//
// Times: ns of the caller's own clock, which never goes back and keeps running while the machine sleeps;
// times of two members are never compared. The voter side (the constructor, `asked`, `released`, `silent`)
// may run on another clock than the requesting side, because the two sides share no times (clocks.hpp).
// Durations: ns. Ownership: views are valid until the call returns. An action must not call back into this
// object.
//
// Errors: the constructor throws std::invalid_argument naming a setting that is missing or invalid. Invalid
// messages of other members are counted and otherwise ignored.
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

// Identifies a start of a member's process.
using Incarnation = Id<struct IncarnationTag, std::uint64_t>;
// Fencing token of a holding: greater than those of all holdings before it; 0: none.
using Token = Id<struct TokenTag, std::uint64_t>;
// Sequence number of an ask, rising within one incarnation.
using AskNo = Id<struct AskNoTag, std::uint64_t>;

// Why a holding ended: not renewed in time, dropped by its owner, yielded to members that ask for the lease
// (leases.most_terms), or because a target has seen a greater token.
enum class LossReason { ended, given_up, yielded, refused_by_target };
std::string_view to_text(LossReason reason);

// What a `Leases` object asks its owner to do.
class LeaseActions {
 public:
  virtual ~LeaseActions() = default;
  // Sends a message to a voter: an ask for a grant of the lease for `term` (0: only asks whether it would be
  // granted), or the release of what the voter granted up to this ask. `epoch` is that of the voter list that
  // the asking member uses.
  virtual void ask(MemberId voter, Epoch epoch, std::string_view lease, AskNo number, Token token,
                   Nanos term) = 0;
  virtual void release(MemberId voter, std::string_view lease, AskNo number) = 0;
  // Sends a voter's answer. `incarnation`: that of the asking member. `contended`: the voter has refused
  // another member's ask within the last term. `highest_token`: a new holder's token must be greater.
  // `remaining`: how long the voter expects to refuse, mostly the time left of a conflicting grant; 0: only
  // the token was too small.
  virtual void grant(MemberId to, Incarnation incarnation, std::string_view lease, AskNo number,
                     bool contended) = 0;
  virtual void refuse(MemberId to, Incarnation incarnation, std::string_view lease, AskNo number,
                      Token highest_token, Nanos remaining) = 0;
  // This member holds the lease and may act from `from` until `until` under this token. Repeated with each
  // renewal. `lost`: the holding under this token has ended.
  virtual void held(std::string_view lease, Token token, Nanos from, Nanos until) = 0;
  virtual void lost(std::string_view lease, Token token, LossReason reason) = 0;
};

// One member's part in all leases of the fleet.
class Leases {
 public:
  // `settings`, durations in ns; term, longest_term, drift and most are required:
  // - leases.term: duration of a grant
  // - leases.longest_term: the longest leases.term that any member has been configured with within the last
  //   term; a voter stays silent that long after a start
  // - leases.answer: how long a round waits for its answers. It must exceed the round trip to the farthest
  //   voter, or no round completes when every reachable voter is needed. Default: an eighth of the term
  // - leases.drift: bound on a clock's rate error, as a fraction
  // - leases.longest_act: the longest duration of an act at a target that cannot reject old tokens. A new
  //   holder waits that long before it acts; 0: it does not wait
  // - leases.most_terms: after so many renewals a holder yields the lease if others ask for it; 0: never
  // - leases.first_token: lower bound of the counter from which new tokens are made. It must rise by at
  //   least one per millisecond, also while the process is down, as Unix time in ms does. It is a hint:
  //   without it, tokens may go back after most voters have lost their state, until a target's refusal
  //   corrects that
  // - leases.most: the maximum number of lease names known at once, for the voter side and the requesting
  //   side each
  //
  // `voters` is consulted at each call for the current voter list; it and `actions` must outlive this object.
  Leases(Nanos now, MemberId self, Incarnation incarnation, const Voters& voters, const Settings& settings,
         std::uint64_t seed, LeaseActions& actions);
  Leases(const Leases&) = delete;
  Leases& operator=(const Leases&) = delete;

  // Raises the lower bound of the tokens that this member asks for; the counter is of the same kind as
  // `leases.first_token`. Needed for voters that have seen no earlier token, as after a change of the voter
  // list.
  void raise_token_counter(std::uint64_t at_least) { token_counter_ = std::max(token_counter_, at_least); }

  // ---- requesting side
  // Requests a lease, renews it while it is held and requests it again after a loss, until it is dropped.
  // Cancels a pending release. False: the name is invalid or there is no room for it.
  bool acquire(Nanos now, std::string_view lease);
  // Releases a lease, or withdraws its request. While acts are in progress, the release waits for their end.
  void drop(Nanos now, std::string_view lease);
  void leave(Nanos now); // drops all leases, before this member stops
  // The token under which an act that takes at most `act` may begin now, or Token{0}.
  Token may_act(Nanos now, std::string_view lease, Nanos act) const;
  // As may_act, and the lease is not released voluntarily until `end_act` was called for every begun act. No
  // act may begin while a release is pending.
  Token begin_act(Nanos now, std::string_view lease, Nanos act);
  void end_act(Nanos now, std::string_view lease, Token token);
  // The target of an act rejected this member's token because it has seen a greater one.
  void refused_by_target(Nanos now, std::string_view lease, Token highest_token);

  // ---- messages of other members
  // `from`: the sender; `incarnation`: that of the sender; `to`: the incarnation that the answer is for. An
  // answer to another incarnation than this one is ignored.
  void asked(Nanos now, MemberId from, Incarnation incarnation, Epoch epoch, std::string_view lease,
             AskNo number, Token token, Nanos term);
  void released(Nanos now, MemberId from, Incarnation incarnation, std::string_view lease, AskNo number);
  void granted(Nanos now, MemberId from, Incarnation to, std::string_view lease, AskNo number,
               bool contended);
  void refused(Nanos now, MemberId from, Incarnation to, std::string_view lease, AskNo number,
               Token highest_token, Nanos remaining);

  // ---- time
  Nanos next_wake() const; // when to call `due` next; -1: not needed
  void due(Nanos now);     // renews, asks again and ends holdings whose time has come

  struct Status { // of a lease that this member requests
    std::string lease;
    Token token{0};             // 0: not held
    Nanos since = 0, until = 0; // held since, may act until; meaningful only while held
    int rounds = 0;             // request rounds since it was last held, or since `acquire`
  };
  std::vector<Status> status() const;
  // Whether this member, as a voter, still stays silent after its start.
  bool silent(Nanos now) const { return voters_.may_grant(self_) && now < silent_until_; }
  std::uint64_t invalid_messages() const { return invalid_messages_; }

  // Writes or reads the whole state (serializer.hpp); reading needs an object with the same settings.
  template <class Serializer>
  void serialize(Serializer& serializer);
  // Times on the voter's clock at which state changes by itself: the end of the initial silence and of each
  // grant.
  std::vector<Nanos> grant_expiries() const;

 private:
  // Voter side: the last grant of a lease.
  struct Grant {
    MemberId holder{};
    Incarnation incarnation{};
    AskNo last_ask{}; // the holder's latest ask that was granted or released
    Nanos until = 0;
    Token highest_token{0}; // the greatest token granted or seen
    Nanos contended_until = 0;
    bool open(Nanos now) const { return now >= until; } // another member may be granted the lease
    template <class Serializer>
    void serialize(Serializer& serializer) {
      serializer(holder, incarnation, last_ask, until, highest_token, contended_until);
    }
  };
  // Requesting side: a lease that this member requests or holds.
  struct LeaseRequest {
    AskNo number{}; // the last ask
    Nanos asked_at = 0;
    Token token{0};       // requested or held
    Token token_floor{0}; // tokens up to it are known to have been used
    std::set<MemberId> granted, refused_by;
    bool held = false, contended = false;
    bool probing = false;                 // the current ask only checks whether it would be granted
    bool release_pending = false;         // released as soon as its acts have ended
    int acts = 0;                         // in progress under this token
    Nanos since = 0, from = 0, until = 0; // held since; may act from and until
    Nanos next = 0;                       // time of the next ask or renewal
    Nanos blocked_until = 0;              // until then a conflicting grant is known
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
  Nanos backoff(int rounds); // random, longer with each lost round
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
  Token token_floor_; // new tokens are above it
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
