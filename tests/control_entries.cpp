// Entries of configuration: what is taken and what is not, deletions and the floor, deltas by scope, digests.
#include "entries.hpp"

#include <cstdio>

using namespace cometshift;

namespace {

Entry made(const char* key, const char* value, std::uint64_t token, std::uint64_t number) {
  return {key, value, {Token{token}, number}, MemberId{1}, false};
}
Entry deletion(const char* key, std::uint64_t token, std::uint64_t number) {
  Entry entry = made(key, "", token, number);
  entry.deleted = true;
  return entry;
}
Settings figures(double entries = 4, double deleted = 2) {
  return {{"control.most_entries", entries},
          {"control.most_bytes", 60.0},
          {"control.most_key", 12.0},
          {"control.most_value", 20.0},
          {"control.most_deleted", deleted}};
}
void say(const char* what) { std::printf("# %s\n", what); }
void show(const Entries& e) {
  std::printf("  %zu entries, %zu bytes, last %llu.%llu, floor %llu.%llu\n", e.count(), e.bytes(),
              static_cast<unsigned long long>(e.last().token.raw),
              static_cast<unsigned long long>(e.last().number),
              static_cast<unsigned long long>(e.floor().token.raw),
              static_cast<unsigned long long>(e.floor().number));
}
void since(const Entries& e, Version after, Version to, const std::vector<std::string>& scopes) {
  std::printf(" ");
  e.for_each_since(after, to, scopes, [](const Entry& one) {
    std::printf(" %llu.%llu %s%s%s", static_cast<unsigned long long>(one.version.token.raw),
                static_cast<unsigned long long>(one.version.number), one.key.c_str(),
                one.deleted ? " deleted" : "=", one.value.c_str());
    return true;
  });
  std::printf("\n");
}
void taken(Entries& e, const Entry& entry) {
  const std::string why(e.rejection_reason(entry));
  std::printf("  %s: %s%s%s\n", entry.key.c_str(), e.apply(entry) ? "taken" : "not taken",
              why.empty() ? "" : ", ", why.c_str());
}

} // namespace

int main() {
  say("the newest of a key wins, in whatever order they come; one version is one entry");
  Entries e(figures());
  taken(e, made("a/x", "2", 1, 2));
  taken(e, made("a/x", "1", 1, 1));
  taken(e, made("a/x", "2", 1, 2));
  taken(e, made("a/y", "other", 1, 2));
  taken(e, made("b/y", "3", 2, 1));
  taken(e, made("a/x", "4", 2, 2));
  taken(e, made("c", "no scope", 2, 3));
  taken(e, made("a/z", "no version", 0, 0));
  show(e);
  say("what can't be taken: names, sizes, room for entries and bytes; what is there may still change");
  taken(e, made("", "1", 3, 1));
  taken(e, made("a/", "1", 3, 1));
  taken(e, made("a/234567890abc", "1", 3, 1));
  taken(e, made("a/v", "123456789012345678901", 3, 1));
  Entry odd = deletion("a/x", 3, 1);
  odd.value = "1";
  taken(e, odd);
  taken(e, made("a/b", "12345678901234567890", 3, 1));
  taken(e, made("a/full", "", 3, 2));
  taken(e, made("a/x", "12345678901234567890", 3, 2));
  taken(e, made("c", "12345678901234567890", 3, 3));
  show(e);
  say("a deletion is an entry; of these the oldest are forgotten, and the floor tells up to where");
  taken(e, deletion("a/b", 4, 1));
  taken(e, deletion("never/was", 4, 2));
  show(e);
  taken(e, deletion("c", 4, 3));
  show(e);
  taken(e, made("c", "again", 4, 4));
  show(e);
  say("deltas: by version, of all or of some scopes, up to a version");
  since(e, {}, {Token{9}, 0}, {});
  since(e, {Token{2}, 1}, {Token{4}, 3}, {});
  since(e, {}, {Token{9}, 0}, {"a", "b", "a", "none"});
  since(e, {}, {Token{9}, 0}, {""});
  say("a version whose last entry is of scopes that are not held here");
  e.advance_to({Token{7}, 1});
  show(e);
  say("scopes, and what they hold by key");
  taken(e, made("a/a", "1", 8, 1));
  for (const std::string& scope : e.scopes()) {
    std::printf("  '%s':", scope.c_str());
    e.for_each_in(scope, [](const Entry& one) { return std::printf(" %s", one.key.c_str()) > 0; });
    std::printf("\n");
  }
  say("digests: equal where the same is held, whatever came before and in which order; deletions play no "
      "part");
  Entries one(figures()), other(figures());
  one.apply(made("a/x", "1", 1, 1)), one.apply(made("a/y", "2", 1, 2)), one.apply(made("a/z", "3", 1, 3));
  one.apply(deletion("a/z", 1, 4));
  other.apply(made("a/y", "2", 1, 2)), other.apply(made("a/x", "1", 1, 1));
  std::printf("  %s", one.digest("a") == other.digest("a") ? "equal" : "NOT EQUAL");
  other.apply(made("a/x", "1", 1, 5));
  std::printf(", %s where a version differs", one.digest("a") != other.digest("a") ? "another" : "EQUAL");
  std::printf(", %llu of a scope that is not held\n", static_cast<unsigned long long>(one.digest("none")));
  one.clear();
  show(one);
  say("no bound, no table");
  for (const char* name : {"control.most_entries", "control.most_deleted"}) {
    Settings less = figures();
    less.erase(name);
    try {
      Entries none(less);
    } catch (const std::invalid_argument& error) {
      std::printf("  %s\n", error.what());
    }
  }
}
