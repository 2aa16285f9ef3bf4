// Versioned entries of configuration, in the one order that all members see: what a control member holds and
// hands out, and what a server has taken. Holds only; no I/O, no clock.
//
// A version is the place of a write in that order: the fencing token of the lease under which it was written,
// then a count under it. Of each key only the newest entry is held; a deletion is an entry too, and is
// forgotten, oldest first, where more than `control.most_deleted` are held.
//
// A key is SCOPE/NAME, the scope being all before the last '/'. A server follows some scopes, and may leave
// out the others: to it, all entries of its scopes up to a version are its state of that version.
//
// Bounds: figures control.most_entries, .most_bytes (keys and values in all), .most_key, .most_value (bytes),
// .most_deleted. Errors: the constructor throws std::invalid_argument with the name of a figure that is
// missing or senseless; what can't be taken is told by `rejection_reason`, and changes nothing.
#pragma once

#include "leases.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cometshift {

struct Version {
  Token token{};
  std::uint64_t number = 0; // from 1 under each token
  constexpr auto operator<=>(const Version&) const = default;
};

struct Entry {
  std::string key, value;
  Version version{};
  MemberId writer{}; // where it was put
  bool deleted = false;
  bool operator==(const Entry&) const = default;
};

std::string_view scope_of(std::string_view key); // empty: the key has no '/'

class Entries {
 public:
  explicit Entries(const Settings& settings);

  // Why such an entry has no room or makes no sense; empty: it can be taken.
  std::string_view rejection_reason(const Entry& entry) const;
  // The newest of its key wins; false: what is held is as new, or there is no room. `last` goes up to it.
  bool apply(Entry entry);
  // All up to `version` is held now, though the last of it is of scopes that are not: `last` goes up to it.
  void advance_to(Version version);
  // What is held was told by one who forgot deletions up to this version: the floor is at least there.
  void raise_floor(Version version);
  void clear(); // everything, as after a start

  Version last() const { return last_; }
  // Deltas from before this version can't be told: deletions of before were forgotten.
  Version floor() const { return floor_; }
  const Entry* find(std::string_view key) const; // deletions too; nullptr: none
  // Entries with a version over `after` and up to `to`, deletions too, in their order; of these scopes, or of
  // all where none is named. Stops where `each` returns false.
  void for_each_since(Version after, Version to, const std::vector<std::string>& scopes,
                      const std::function<bool(const Entry&)>& each) const;
  // Of one scope, by key; deletions are left out.
  void for_each_in(std::string_view scope, const std::function<bool(const Entry&)>& each) const;
  std::vector<std::string> scopes() const;
  // XXH3 over keys and versions of what a scope holds, deletions left out: equal where two hold the same;
  // kept up with each entry, so that asking costs nothing. 0: it holds nothing.
  std::uint64_t digest(std::string_view scope) const;

  std::size_t count() const { return by_key_.size() - deletions_.size(); }
  std::size_t bytes() const { return bytes_; } // of keys and values, deletions left out

 private:
  std::size_t max_entries_, max_bytes_, max_key_bytes_, max_value_bytes_, max_deletions_;
  std::map<std::string, Entry, std::less<>> by_key_;
  std::map<Version, const Entry*> by_version_;
  struct Scope {
    std::map<Version, const Entry*> by_version;
    std::size_t live = 0;     // deletions left out
    std::uint64_t digest = 0; // the sum of theirs, so that it doesn't matter in which order they came
  };
  void remove_from_indexes(const Entry& entry); // of all tables but the one by key

  std::map<std::string, Scope, std::less<>> by_scope_;
  std::set<Version> deletions_; // deletions
  std::size_t bytes_ = 0;
  Version last_{}, floor_{};
};

} // namespace cometshift
