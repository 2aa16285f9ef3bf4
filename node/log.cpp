#include "log.hpp"

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <map>

namespace cometshift {

namespace {
constexpr int lines_a_second = 5; // of one kind: enough to see what goes on, too few to fill a disk
struct Kind {
  std::chrono::steady_clock::time_point since{};
  int written = 0;
  long left_out = 0;
};
} // namespace

void note(const char* kind, const char* format, ...) {
  static std::map<const char*, Kind> kinds; // of literals: as many as there are calls
  Kind& of = kinds[kind];
  const auto now = std::chrono::steady_clock::now();
  if (now - of.since >= std::chrono::seconds(1)) {
    of.since = now;
    of.written = 0;
  }
  if (++of.written > lines_a_second) {
    ++of.left_out;
    return;
  }
  char words[512];
  va_list more;
  va_start(more, format);
  std::vsnprintf(words, sizeof words, format, more);
  va_end(more);
  const double at =
      std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  if (of.left_out > 0)
    std::fprintf(stderr, "%.3f %s: %s (%ld more left out)\n", at, kind, words, of.left_out);
  else
    std::fprintf(stderr, "%.3f %s: %s\n", at, kind, words);
  of.left_out = 0;
}

} // namespace cometshift
