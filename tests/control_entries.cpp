// Tests the store of configuration entries: which entries are applied and which are rejected, tombstones and
// the floor, deltas by scope, and digests.
#include "entries.hpp"

#include <cstdio>

using namespace cometshift;

namespace {

Entry entry_of(const char* key, const char* value, std::uint64_t token, std::uint64_t number) {
  return {key, value, {Token{token}, number}, MemberId{1}, false};
}
Entry tombstone(const char* key, std::uint64_t token, std::uint64_t number) {
  Entry entry = entry_of(key, "", token, number);
  entry.deleted = true;
  return entry;
}
Settings test_settings(double entries = 4, double deleted = 2) {
  return {{"control.most_entries", entries},
          {"control.most_bytes", 60.0},
          {"control.most_key", 12.0},
          {"control.most_value", 20.0},
          {"control.most_deleted", deleted}};
}
void print_title(const char* what) { std::printf("# %s\n", what); }
void print_state(const Entries& e) {
  std::printf("  %zu entries, %zu bytes, last %llu.%llu, floor %llu.%llu\n", e.count(), e.bytes(),
              static_cast<unsigned long long>(e.last().token.raw),
              static_cast<unsigned long long>(e.last().number),
              static_cast<unsigned long long>(e.floor().token.raw),
              static_cast<unsigned long long>(e.floor().number));
}
void print_since(const Entries& e, Version after, Version to, const std::vector<std::string>& scopes) {
  std::printf(" ");
  e.for_each_since(after, to, scopes, [](const Entry& one) {
    std::printf(" %llu.%llu %s%s%s", static_cast<unsigned long long>(one.version.token.raw),
                static_cast<unsigned long long>(one.version.number), one.key.c_str(),
                one.deleted ? " deleted" : "=", one.value.c_str());
    return true;
  });
  std::printf("\n");
}
void try_apply(Entries& e, const Entry& entry) {
  const std::string why(e.rejection_reason(entry));
  std::printf("  %s: %s%s%s\n", entry.key.c_str(), e.apply(entry) ? "taken" : "not taken",
              why.empty() ? "" : ", ", why.c_str());
}

} // namespace

int main() {
  print_title("the newest entry of a key wins, in any order of arrival; each version stands for one entry");
  Entries e(test_settings());
  try_apply(e, entry_of("a/x", "2", 1, 2));
  try_apply(e, entry_of("a/x", "1", 1, 1));
  try_apply(e, entry_of("a/x", "2", 1, 2));
  try_apply(e, entry_of("a/y", "other", 1, 2));
  try_apply(e, entry_of("b/y", "3", 2, 1));
  try_apply(e, entry_of("a/x", "4", 2, 2));
  try_apply(e, entry_of("c", "no scope", 2, 3));
  try_apply(e, entry_of("a/z", "no version", 0, 0));
  print_state(e);
  print_title(
      "rejected: names, sizes, the limits on entries and bytes; stored keys can still be overwritten");
  try_apply(e, entry_of("", "1", 3, 1));
  try_apply(e, entry_of("a/", "1", 3, 1));
  try_apply(e, entry_of("a/234567890abc", "1", 3, 1));
  try_apply(e, entry_of("a/v", "123456789012345678901", 3, 1));
  Entry odd = tombstone("a/x", 3, 1);
  odd.value = "1";
  try_apply(e, odd);
  try_apply(e, entry_of("a/b", "12345678901234567890", 3, 1));
  try_apply(e, entry_of("a/full", "", 3, 2));
  try_apply(e, entry_of("a/x", "12345678901234567890", 3, 2));
  try_apply(e, entry_of("c", "12345678901234567890", 3, 3));
  print_state(e);
  print_title(
      "tombstones count as entries; the oldest are dropped, and the floor is the newest dropped version");
  try_apply(e, tombstone("a/b", 4, 1));
  try_apply(e, tombstone("never/was", 4, 2));
  print_state(e);
  try_apply(e, tombstone("c", 4, 3));
  print_state(e);
  try_apply(e, entry_of("c", "again", 4, 4));
  print_state(e);
  print_title("deltas by version, of all scopes or of some, up to a version");
  print_since(e, {}, {Token{9}, 0}, {});
  print_since(e, {Token{2}, 1}, {Token{4}, 3}, {});
  print_since(e, {}, {Token{9}, 0}, {"a", "b", "a", "none"});
  print_since(e, {}, {Token{9}, 0}, {""});
  print_title("advancing to a version whose entry belongs to a scope that is not stored here");
  e.advance_to({Token{7}, 1});
  print_state(e);
  print_title("scopes with their entries by key");
  try_apply(e, entry_of("a/a", "1", 8, 1));
  for (const std::string& scope : e.scopes()) {
    std::printf("  '%s':", scope.c_str());
    e.for_each_in(scope, [](const Entry& one) { return std::printf(" %s", one.key.c_str()) > 0; });
    std::printf("\n");
  }
  print_title(
      "digests are equal for equal contents, regardless of history and order; tombstones do not count");
  Entries one(test_settings()), other(test_settings());
  one.apply(entry_of("a/x", "1", 1, 1)), one.apply(entry_of("a/y", "2", 1, 2)),
      one.apply(entry_of("a/z", "3", 1, 3));
  one.apply(tombstone("a/z", 1, 4));
  other.apply(entry_of("a/y", "2", 1, 2)), other.apply(entry_of("a/x", "1", 1, 1));
  std::printf("  %s", one.digest("a") == other.digest("a") ? "equal" : "NOT EQUAL");
  other.apply(entry_of("a/x", "1", 1, 5));
  std::printf(", %s where a version differs", one.digest("a") != other.digest("a") ? "another" : "EQUAL");
  std::printf(", %llu of a scope that is not held\n", static_cast<unsigned long long>(one.digest("none")));
  one.clear();
  print_state(one);
  print_title("a missing limit is an error");
  for (const char* name : {"control.most_entries", "control.most_deleted"}) {
    Settings less = test_settings();
    less.erase(name);
    try {
      Entries none(less);
    } catch (const std::invalid_argument& error) {
      std::printf("  %s\n", error.what());
    }
  }
}
