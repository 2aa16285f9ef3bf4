// Log output to standard error, on spdlog.
#pragma once

#include <string_view>

namespace cometshift {

// Writes a line in printf format: "SECONDS KIND: WORDS", or a JSON object with `time`, `level`, `kind`,
// `words` and, if lines were suppressed, `left_out`. `kind` must be a string literal. Lines of one kind are
// limited to a few per second; the next line written states how many were suppressed.
[[gnu::format(printf, 2, 3)]] void log_info(const char* kind, const char* format, ...);
// The same at level warning, for conditions that need an operator's attention.
[[gnu::format(printf, 2, 3)]] void log_warning(const char* kind, const char* format, ...);

// Selects text or JSON, and the least level written: "debug", "info", "warning" or "error".
void configure_log(bool json, std::string_view min_level);

} // namespace cometshift
