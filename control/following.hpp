// Types that are shared by the two sides of configuration distribution: the control member's side (feed.hpp)
// and the server's side (follower.hpp).
#pragma once

#include "entries.hpp"

namespace cometshift {

// Identifies an attachment of a follower to a control member. Rises within an incarnation, and across
// incarnations as far as Unix time did (setting control.first_number).
using AttachmentNumber = Id<struct AttachmentNumberTag, std::uint64_t>;

// How far a follower has got. Versions are positions in the one total order, so a position is meaningful to
// any control member.
struct Position {
  Version taken{};    // of the state that is in use
  Version staged{};   // parts are staged up to here; applied with the last part; never below `taken`
  Version renewing{}; // of the state that the renewal in progress transfers; {}: no renewal in progress
  Version renewed{};  // how far that renewal has been received
  std::uint32_t renewals = 0; // completed in this incarnation
  bool operator==(const Position&) const = default;
};

// A scope that a follower subscribes to, and what it has of it.
struct FollowedScope {
  std::string scope;
  std::uint64_t digest = 0; // as Entries::digest, of the state at `taken`
  bool held = false;        // false: newly followed, so `taken` does not cover it
};

constexpr std::size_t max_scopes = 64;        // of one follower: their names fit into one message
constexpr std::size_t max_scope_bytes = 4096; // the length of all names together
// Upper bounds on the encoded size in bytes: of an entry beyond its key and value, and of a message without
// its entries.
constexpr std::size_t entry_overhead = 64;
constexpr std::size_t message_overhead = 128;
constexpr std::size_t beat_bytes = message_overhead; // a message without entries
inline std::size_t max_encoded_size(const Entry& entry) {
  return entry.key.size() + entry.value.size() + entry_overhead;
}

} // namespace cometshift
