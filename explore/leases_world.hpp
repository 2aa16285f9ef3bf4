// A small state space of leases: three voters with the fastest clocks allowed and two contenders with the
// slowest. Messages are delivered, lost, duplicated or delayed by any time, in every order; a voter may
// restart without its state; any member may handle a timer late. Time advances to the next instant at which
// anything changes by itself, or to the nanosecond before it. The modules are the real ones, kept in
// serialized form between steps.
#pragma once

#include "leases.hpp"
#include "search.hpp"

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace cometshift::explore {

// Limits of the state space.
struct Bounds {
  int rounds = 1, second_rounds = 2; // of requests, for each contender
  int lost = 1, duplicated = 1;      // messages
  int late = 2;                      // messages that stay in flight while time passes, for any time
  int crashes = 1;                   // of voters, which lose their state
  Nanos horizon = 0;                 // time advances no further
  bool held = false; // one contender holds the lease at the beginning; its rounds count from there
};

// One state of the space. The bounds have to outlive it.
class LeasesWorld {
 public:
  explicit LeasesWorld(const Bounds& bounds);

  std::vector<std::pair<std::uint32_t, LeasesWorld>> next() const;
  Digest128 digest() const;
  std::string violation() const { return violation_; }
  std::string describe(std::uint32_t step) const; // of a step that `next` lists

 private:
  static constexpr std::size_t voters = 3, contenders = 2, members = voters + contenders;
  struct Message {
    enum class Kind : std::uint8_t { ask, release, grant, refuse } kind;
    std::uint8_t from, to; // members, from 1
    bool wanted = false;
    std::uint64_t incarnation = 0, number = 0, token = 0; // of the requester
    Nanos span = 0;
    bool late = false;
    auto operator<=>(const Message&) const = default;
    std::string describe() const;
  };
  enum class StepKind : std::uint32_t { deliver, lose, duplicate, crash, wake, pass };
  struct Step {
    StepKind kind;
    std::uint32_t index;
  };
  struct Actions;
  struct Holding {
    std::uint64_t token = 0;
    Nanos until = 0; // true time
  };

  int newly_late() const;
  std::vector<Step> steps() const;
  LeasesWorld after(Step step) const;
  std::vector<Nanos> event_times() const;
  Nanos clock(std::size_t member) const;
  Nanos true_time(std::size_t member, Nanos clock) const;
  std::unique_ptr<Leases> restore(std::size_t member, Actions& actions) const;
  void store_state(std::size_t member, Leases& leases);
  void held(std::size_t member, Token token, Nanos until);

  int rounds_of(std::size_t contender) const {
    return contender == 0 ? bounds_->rounds : bounds_->second_rounds;
  }

  const Bounds* bounds_;
  Nanos now_ = 0;
  int lost_ = 0, duplicated_ = 0, crashes_ = 0, late_ = 0;
  std::array<std::string, members> states_;
  // The contenders' states without the sets of voters that have answered, which are kept in voter_lists_:
  // voters are symmetric, and states that differ only by a permutation of them count as one.
  std::array<std::string, contenders> contender_states_;
  std::array<std::vector<std::vector<MemberId>>, contenders> voter_lists_;
  std::array<std::uint8_t, members> incarnations_{};
  std::array<std::uint8_t, contenders> rounds_{};
  std::array<Nanos, members> wake_times_{};                // by the member's clock; -1: none
  std::array<std::vector<Nanos>, members> grant_expiries_; // by the member's clock
  std::vector<Message> in_flight_;                         // sorted
  std::array<Holding, contenders> holdings_;
  std::uint64_t greatest_ = 0; // greatest token under which any contender has held
  std::string violation_;
};

} // namespace cometshift::explore
