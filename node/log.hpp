// One place for what is written to standard error.
#pragma once

namespace cometshift {

// Writes a line, printf's way. Lines of one kind (a text that lives as long as the program) are bounded to a
// few a second; what was left out is counted in the next that is written.
[[gnu::format(printf, 2, 3)]] void note(const char* kind, const char* format, ...);

} // namespace cometshift
