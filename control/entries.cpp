#include "entries.hpp"

#include <xxhash.h>

#include <algorithm>

namespace cometshift {

namespace {

std::uint64_t digest_of(const Entry& entry) {
  const std::uint64_t version[2] = {entry.version.token.raw, entry.version.number};
  return XXH3_64bits_withSeed(version, sizeof version, XXH3_64bits(entry.key.data(), entry.key.size()));
}
std::size_t size_of(const Entry& entry) { return entry.key.size() + entry.value.size(); }

} // namespace

std::string_view scope_of(std::string_view key) {
  const std::size_t end = key.rfind('/');
  return end == std::string_view::npos ? std::string_view() : key.substr(0, end);
}

Entries::Entries(const Settings& settings) {
  max_entries_ = static_cast<std::size_t>(required_number(settings, "control.most_entries", 1));
  max_bytes_ = static_cast<std::size_t>(required_number(settings, "control.most_bytes", 1));
  max_key_bytes_ = static_cast<std::size_t>(required_number(settings, "control.most_key", 1));
  max_value_bytes_ = static_cast<std::size_t>(required_number(settings, "control.most_value", 0));
  max_deletions_ = static_cast<std::size_t>(required_number(settings, "control.most_deleted", 0));
}

std::string_view Entries::rejection_reason(const Entry& entry) const {
  if (entry.key.empty() || entry.key.back() == '/') return "the key has no name";
  if (entry.key.size() > max_key_bytes_) return "the key is too long";
  if (entry.value.size() > max_value_bytes_) return "the value is too long";
  if (entry.deleted) return entry.value.empty() ? std::string_view() : "a deletion must not have a value";
  const Entry* held = find(entry.key);
  const bool replaces = held && !held->deleted;
  if (!replaces && count() >= max_entries_) return "the limit on entries is reached";
  if (bytes_ - (replaces ? size_of(*held) : 0) + size_of(entry) > max_bytes_)
    return "the limit on stored bytes is reached";
  return {};
}

void Entries::remove_from_indexes(const Entry& entry) {
  by_version_.erase(entry.version);
  if (entry.deleted) {
    deletions_.erase(entry.version);
  } else {
    bytes_ -= size_of(entry);
  }
  const auto scope = by_scope_.find(scope_of(entry.key));
  scope->second.by_version.erase(entry.version);
  if (!entry.deleted) scope->second.digest -= digest_of(entry), --scope->second.live;
  if (scope->second.by_version.empty()) by_scope_.erase(scope);
}

bool Entries::apply(Entry entry) {
  // A second entry under a stored version is rejected too: an index would keep a pointer to a removed entry.
  if (entry.version == Version{} || by_version_.contains(entry.version) || !rejection_reason(entry).empty())
    return false;
  const auto held = by_key_.find(entry.key);
  if (held != by_key_.end()) {
    if (held->second.version >= entry.version) return false;
    remove_from_indexes(held->second);
  }
  std::string key = entry.key;
  Entry& stored = by_key_[std::move(key)] = std::move(entry);
  last_ = std::max(last_, stored.version);
  by_version_[stored.version] = &stored;
  const std::string_view name = scope_of(stored.key);
  auto scope = by_scope_.find(name);
  if (scope == by_scope_.end()) scope = by_scope_.emplace(std::string(name), Scope{}).first;
  scope->second.by_version[stored.version] = &stored;
  if (!stored.deleted) {
    bytes_ += size_of(stored);
    scope->second.digest += digest_of(stored), ++scope->second.live;
    return true;
  }
  deletions_.insert(stored.version);
  while (deletions_.size() > max_deletions_) {
    const Version oldest = *deletions_.begin();
    const Entry& forgotten = *by_version_.at(oldest);
    floor_ = std::max(floor_, oldest);
    remove_from_indexes(forgotten);
    by_key_.erase(by_key_.find(forgotten.key));
  }
  return true;
}

void Entries::advance_to(Version version) { last_ = std::max(last_, version); }

void Entries::raise_floor(Version version) { floor_ = std::max(floor_, version); }

void Entries::clear() {
  by_version_.clear();
  by_scope_.clear();
  by_key_.clear();
  deletions_.clear();
  bytes_ = 0;
  last_ = floor_ = Version{};
}

const Entry* Entries::find(std::string_view key) const {
  const auto at = by_key_.find(key);
  return at == by_key_.end() ? nullptr : &at->second;
}

void Entries::for_each_since(Version after, Version to, const std::vector<std::string>& scopes,
                             const std::function<bool(const Entry&)>& each) const {
  if (scopes.empty()) {
    for (auto at = by_version_.upper_bound(after); at != by_version_.end() && at->first <= to; ++at)
      if (!each(*at->second)) return;
    return;
  }
  using Iterator = std::map<Version, const Entry*>::const_iterator;
  std::vector<std::pair<Iterator, Iterator>> heads; // a min-heap: the oldest version on top
  const auto newer = [](const auto& a, const auto& b) { return a.first->first > b.first->first; };
  for (const std::string& name : std::set<std::string>(scopes.begin(), scopes.end())) {
    const auto scope = by_scope_.find(name);
    if (scope == by_scope_.end()) continue;
    const Iterator first = scope->second.by_version.upper_bound(after);
    if (first != scope->second.by_version.end()) heads.emplace_back(first, scope->second.by_version.end());
  }
  std::make_heap(heads.begin(), heads.end(), newer);
  while (!heads.empty()) {
    std::pop_heap(heads.begin(), heads.end(), newer);
    auto& [at, end] = heads.back();
    if (at->first > to || !each(*at->second)) return;
    if (++at == end)
      heads.pop_back();
    else
      std::push_heap(heads.begin(), heads.end(), newer);
  }
}

void Entries::for_each_in(std::string_view scope, const std::function<bool(const Entry&)>& each) const {
  const auto known = by_scope_.find(scope);
  if (known == by_scope_.end()) return;
  std::vector<const Entry*> live;
  live.reserve(known->second.live);
  for (const auto& [version, entry] : known->second.by_version)
    if (!entry->deleted) live.push_back(entry);
  std::sort(live.begin(), live.end(), [](const Entry* a, const Entry* b) { return a->key < b->key; });
  for (const Entry* entry : live)
    if (!each(*entry)) return;
}

std::vector<std::string> Entries::scopes() const {
  std::vector<std::string> names;
  for (const auto& [name, scope] : by_scope_)
    if (scope.live > 0) names.push_back(name);
  return names;
}

std::uint64_t Entries::digest(std::string_view scope) const {
  const auto known = by_scope_.find(scope);
  return known == by_scope_.end() ? 0 : known->second.digest;
}

} // namespace cometshift
