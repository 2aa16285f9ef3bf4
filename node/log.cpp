#include "log.hpp"

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <map>
#include <memory>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <string>

namespace cometshift {

namespace {

constexpr int max_lines_per_second = 5; // of one kind: enough to follow events, too few to fill a disk

struct RateLimit {
  std::chrono::steady_clock::time_point window_start{};
  int written = 0;
  long dropped = 0;
};

bool as_json = false;

spdlog::logger& logger() {
  static const auto instance = [] {
    auto sink_logger =
        std::make_shared<spdlog::logger>("cometshift", std::make_shared<spdlog::sinks::stderr_sink_st>());
    sink_logger->set_pattern("%E.%e %v");
    sink_logger->flush_on(spdlog::level::trace);
    return sink_logger;
  }();
  return *instance;
}

void put_json(std::string& out, std::string_view text) {
  out += '"';
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (static_cast<unsigned char>(c) < ' ') {
      char code[8];
      std::snprintf(code, sizeof code, "\\u%04x", static_cast<unsigned>(c));
      out += code;
    } else {
      out += c;
    }
  }
  out += '"';
}

void write(spdlog::level::level_enum level, const char* kind, const char* format, va_list arguments) {
  if (!logger().should_log(level)) return;
  static std::map<const char*, RateLimit> limits; // keyed by literals, so bounded by the number of call sites
  RateLimit& limit = limits[kind];
  const auto now = std::chrono::steady_clock::now();
  if (now - limit.window_start >= std::chrono::seconds(1)) {
    limit.window_start = now;
    limit.written = 0;
  }
  if (++limit.written > max_lines_per_second) {
    ++limit.dropped;
    return;
  }
  char message[512];
  std::vsnprintf(message, sizeof message, format, arguments);
  std::string line;
  if (as_json) {
    line = "\"kind\":";
    put_json(line, kind);
    line += ",\"words\":";
    put_json(line, message);
    if (limit.dropped > 0) line += ",\"left_out\":" + std::to_string(limit.dropped);
  } else {
    line.append(kind).append(": ").append(message);
    if (limit.dropped > 0) line += " (" + std::to_string(limit.dropped) + " more left out)";
  }
  limit.dropped = 0;
  logger().log(level, spdlog::string_view_t(line));
}

} // namespace

void log_info(const char* kind, const char* format, ...) {
  va_list arguments;
  va_start(arguments, format);
  write(spdlog::level::info, kind, format, arguments);
  va_end(arguments);
}

void log_warning(const char* kind, const char* format, ...) {
  va_list arguments;
  va_start(arguments, format);
  write(spdlog::level::warn, kind, format, arguments);
  va_end(arguments);
}

void configure_log(bool json, std::string_view min_level) {
  as_json = json;
  logger().set_pattern(json ? R"({"time":%E.%e,"level":"%l",%v})" : "%E.%e %v");
  logger().set_level(spdlog::level::from_str(std::string(min_level)));
}

} // namespace cometshift
