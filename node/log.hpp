// One place for what is written to standard error, on spdlog.
#pragma once

#include <string_view>

namespace cometshift {

// Writes a line, printf's way: "SECONDS KIND: WORDS", or an object of JSON with `time`, `level`, `kind`,
// `words` and, where lines were left out, `left_out`. Lines of one kind (a text that lives as long as the
// program) are bounded to a few a second; what was left out is counted in the next that is written.
[[gnu::format(printf, 2, 3)]] void log_info(const char* kind, const char* format, ...);
// The same for what someone should look at.
[[gnu::format(printf, 2, 3)]] void log_warning(const char* kind, const char* format, ...);

void configure_log(bool json, std::string_view min_level); // "debug", "info", "warning", "error"

} // namespace cometshift
