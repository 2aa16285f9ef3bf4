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
  int rounds = 1, second = 2; // of asking, for the contenders
  int lost = 1, doubled = 1;  // messages
  int late = 2;               // messages that are under way while time passes, for as long as it does
  int crashes = 1;            // of voters
  Nanos horizon = 0;          // no time beyond it
  bool held = false;          // one contender holds the lease at the beginning; its rounds count from there
};

class LeasesWorld {
 public:
  explicit LeasesWorld(const Bounds& bounds);

  std::vector<std::pair<std::uint32_t, LeasesWorld>> next() const;
  Digest128 digest() const;
  std::string wrong() const { return wrong_; }
  std::string words(std::uint32_t step) const; // of one that `next` lists

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
    std::string words() const;
  };
  enum class What : std::uint32_t { deliver, lose, twice, crash, wake, pass };
  struct Step {
    What what;
    std::uint32_t which;
  };
  struct Actions;
  struct Holding {
    std::uint64_t token = 0;
    Nanos until = 0; // true time
  };

  int newly_late() const;
  std::vector<Step> steps() const;
  LeasesWorld after(Step step) const;
  std::vector<Nanos> moments() const;
  Nanos clock(std::size_t member) const;
  Nanos true_time(std::size_t member, Nanos clock) const;
  std::unique_ptr<Leases> alive(std::size_t member, Actions& orders) const;
  void keep(std::size_t member, Leases& leases);
  void held(std::size_t member, Token token, Nanos until);

  int rounds_of(std::size_t contender) const { return contender == 0 ? bounds_->rounds : bounds_->second; }

  const Bounds* bounds_;
  Nanos now_ = 0;
  int lost_ = 0, doubled_ = 0, crashes_ = 0, late_ = 0;
  std::array<std::string, members> kept_;
  // Of contenders the same but for the voters that they have heard, which stand beside it: voters are alike,
  // and worlds that differ by which is which are one.
  std::array<std::string, contenders> nameless_;
  std::array<std::vector<std::vector<MemberId>>, contenders> heard_;
  std::array<std::uint8_t, members> lives_{};
  std::array<std::uint8_t, contenders> rounds_{};
  std::array<Nanos, members> wakes_{};           // by its clock; -1: none
  std::array<std::vector<Nanos>, members> ends_; // of grants, by its clock
  std::vector<Message> on_the_way_;              // sorted
  std::array<Holding, contenders> holdings_;
  std::uint64_t greatest_ = 0; // token under which anyone has held
  std::string wrong_;
};

} // namespace cometshift::explore
