// What a control member and a server that follows it say of to each other: feed.hpp is the one side,
// follower.hpp the other.
#pragma once

#include "entries.hpp"

namespace cometshift {

// Of an attachment: rises in one incarnation, and over incarnations as far as Unix time did.
using AttachmentNumber = Id<struct FollowNoTag, std::uint64_t>;

// How far a follower is. Versions are places of the one order, so a position counts with any control member.
struct Position {
  Version taken{};            // of the state that it goes by
  Version staged{};           // parts are staged up to it, and are taken with the last; not under `taken`
  Version renewing{};         // of the state that a renewal under way gives; none: there is no renewal
  Version renewed{};          // that renewal has come so far
  std::uint32_t renewals = 0; // that came to their end, in this life
  bool operator==(const Position&) const = default;
};

struct FollowedScope {
  std::string scope;
  std::uint64_t digest = 0; // as Entries::digest, of the state taken
  bool held = false;        // false: it is new to the follower, of which `taken` says nothing
};

constexpr std::size_t max_scopes = 64;        // that one follows: their names fit into one word
constexpr std::size_t max_scope_bytes = 4096; // names in all
constexpr std::size_t entry_overhead = 64;    // bytes that an entry costs beside key and value, at the most
constexpr std::size_t message_overhead = 128; // and a word beside its entries
constexpr std::size_t beat_bytes = message_overhead; // a word without entries
inline std::size_t max_encoded_size(const Entry& entry) {
  return entry.key.size() + entry.value.size() + entry_overhead;
}

} // namespace cometshift
