// A bounded, versioned key-value store of configuration entries. All members see the same total order of
// writes; a control member keeps the committed state in it and distributes it, a server keeps what it has
// received. Pure data structure: no I/O and no clock.
//
// A version is the position of a write in the total order: the fencing token of the lease under which it was
// written, then a sequence number under that token. Only the newest entry of each key is kept. A deletion is
// kept as an entry too (a tombstone); when there are more than `control.most_deleted` of them, the oldest are
// dropped.
//
// A key is SCOPE/NAME, where the scope is everything before the last '/'. A server follows a subset of the
// scopes: all entries of these scopes up to a version are its state at that version.
//
// Limits: the settings control.most_entries, .most_bytes (keys and values together), .most_key and
// .most_value (bytes) and .most_deleted. Errors: the constructor throws std::invalid_argument with the name
// of a setting that is missing or invalid. `rejection_reason` says why an entry cannot be stored; nothing
// changes then.
#pragma once

#include "leases.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cometshift {

// The position of a write in the total order.
struct Version {
  Token token{};
  std::uint64_t number = 0; // from 1 under each token
  constexpr auto operator<=>(const Version&) const = default;
};

// A key with its value, or a tombstone of a deleted key.
struct Entry {
  std::string key, value;
  Version version{};
  MemberId writer{}; // the member that received the put
  bool deleted = false;
  bool operator==(const Entry&) const = default;
};

std::string_view scope_of(std::string_view key); // empty if the key has no '/'

// Entries, indexed by key, version and scope.
class Entries {
 public:
  explicit Entries(const Settings& settings);

  // Why the entry is invalid or exceeds a limit; empty if it can be stored.
  std::string_view rejection_reason(const Entry& entry) const;
  // Stores an entry that is newer than the stored one of its key, and raises `last` to its version. Returns
  // false if the stored entry is as new or newer, or if the entry is rejected.
  bool apply(Entry entry);
  // Raises `last` to `version`: the store is complete up to there, though the newest entries may belong to
  // scopes that are not kept here.
  void advance_to(Version version);
  // Raises `floor` to at least `version`: the source of these entries had dropped tombstones up to it.
  void raise_floor(Version version);
  void clear(); // back to the state after construction

  Version last() const { return last_; }
  // Tombstones up to this version may have been dropped, so no complete delta starts from an older version.
  Version floor() const { return floor_; }
  const Entry* find(std::string_view key) const; // tombstones included; nullptr if there is none
  // Visits the entries with a version above `after` and up to `to`, tombstones included, in order of version;
  // only those of `scopes`, or all if it is empty. Stops when `each` returns false.
  void for_each_since(Version after, Version to, const std::vector<std::string>& scopes,
                      const std::function<bool(const Entry&)>& each) const;
  // Visits the entries of one scope in order of key, without tombstones. Stops when `each` returns false.
  void for_each_in(std::string_view scope, const std::function<bool(const Entry&)>& each) const;
  std::vector<std::string> scopes() const; // that have at least one entry which is not a tombstone
  // An XXH3 digest of the keys and versions in a scope, without tombstones: equal for stores with the same
  // entries. It is updated with each entry, so reading it is cheap. 0 if the scope is empty.
  std::uint64_t digest(std::string_view scope) const;

  std::size_t count() const { return by_key_.size() - deletions_.size(); } // without tombstones
  std::size_t bytes() const { return bytes_; } // of keys and values, without tombstones

 private:
  std::size_t max_entries_, max_bytes_, max_key_bytes_, max_value_bytes_, max_deletions_;
  std::map<std::string, Entry, std::less<>> by_key_;
  std::map<Version, const Entry*> by_version_;
  struct Scope {
    std::map<Version, const Entry*> by_version;
    std::size_t live = 0;     // entries that are not tombstones
    std::uint64_t digest = 0; // the sum of the digests of live entries, so it does not depend on their order
  };
  void remove_from_indexes(const Entry& entry); // from all indexes except by_key_

  std::map<std::string, Scope, std::less<>> by_scope_;
  std::set<Version> deletions_; // the versions of the tombstones
  std::size_t bytes_ = 0;
  Version last_{}, floor_{};
};

} // namespace cometshift
