// Leases in a small world: three voters with the fastest clocks that are allowed, two contenders with the
// slowest, and whatever may happen to what they say, in every order: delivered, lost, doubled, some late by
// any time; a voter that starts anew and has forgotten; anyone late with what is due. Time goes on to the
// next moment at which anything changes by itself, or to the one just before. The modules are the real ones,
// kept as bytes between steps.
#pragma once

#include "leases.hpp"
#include "search.hpp"

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace cometshift::explore {

struct Bounds {
  int rounds = 1, second_rounds = 2; // of asking, for the contenders
  int lost = 1, duplicated = 1;      // messages
  int late = 2;                      // messages that are under way while time passes, for as long as it does
  int crashes = 1;                   // of voters
  Nanos horizon = 0;                 // no time beyond it
  bool held = false; // one contender holds the lease at the beginning; its rounds count from there
};

class LeasesWorld {
 public:
  explicit LeasesWorld(const Bounds& bounds);

  std::vector<std::pair<std::uint32_t, LeasesWorld>> next() const;
  Digest128 digest() const;
  std::string violation() const { return violation_; }
  std::string describe(std::uint32_t step) const; // of one that `next` lists

 private:
  static constexpr std::size_t voters = 3, contenders = 2, members = voters + contenders;
  struct Message {
    enum class Kind : std::uint8_t { ask, release, grant, refuse } kind;
    std::uint8_t from, to; // members, from 1
    bool wanted = false;
    std::uint64_t incarnation = 0, number = 0, token = 0; // of who asks
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
  // Of contenders the same but for the voters that they have heard, which stand beside it: voters are alike,
  // and worlds that differ by which is which are one.
  std::array<std::string, contenders> contender_states_;
  std::array<std::vector<std::vector<MemberId>>, contenders> voter_lists_;
  std::array<std::uint8_t, members> incarnations_{};
  std::array<std::uint8_t, contenders> rounds_{};
  std::array<Nanos, members> wake_times_{};                // by its clock; -1: none
  std::array<std::vector<Nanos>, members> grant_expiries_; // of grants, by its clock
  std::vector<Message> in_flight_;                         // sorted
  std::array<Holding, contenders> holdings_;
  std::uint64_t greatest_ = 0; // token under which anyone has held
  std::string violation_;
};

} // namespace cometshift::explore
