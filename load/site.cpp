#include "site.hpp"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace cometshift::load {

namespace {
constexpr Nanos ms = 1'000'000;
} // namespace

std::vector<Kind> kinds() {
  return {{.name = "bay-check",
           .part = 0.62,
           .work_us = 24'000,
           .calls = 1,
           .importance = 1,
           .target = 700 * ms,
           .limit = 1800 * ms,
           .keyed = false},
          {.name = "booking",
           .part = 0.38,
           .work_us = 40'000,
           .calls = 2,
           .importance = 2,
           .target = 1200 * ms,
           .limit = 3000 * ms,
           .keyed = true}};
}

std::vector<std::string> tenants() { return {"main-lot", "long-stay"}; }

std::string configuration(const Site& site, const std::string& listen, const std::string& vm,
                          const std::string& announce, const std::string& records) {
  std::string text = "{\"name\":\"" + site.name + "\",\"listen\":\"" + listen + "\",\"vm\":\"" + vm +
                     "\",\"announce\":\"" + announce + "\",\"records\":\"" + records + "\",\"seed\":\"";
  char more[160];
  std::snprintf(more, sizeof more,
                "%016llx\",\"stop_ms\":%lld,\"limits\":{\"cores\":1.0,\"memory_mb\":%d,\"sockets\":%d},",
                static_cast<unsigned long long>(site.seed), static_cast<long long>(site.leave_time / ms),
                site.memory_mb, site.sockets);
  text += more;
  text +=
      "\"settings\":{\"fleet_size\":1,\"value_by\":\"request\",\"over_share_worth\":0.05,\"family_info\":{"
      "\"callers\":" +
      std::to_string(site.callers) + ",\"cpus\":" + std::to_string(static_cast<int>(site.cores)) +
      ",\"mem_limit_kb\":20000,\"run_factor\":4.0,\"key_kb\":2,\"below\":\"common\",\"calls_out\":" +
      std::to_string(site.calls_out) +
      ",\"calls_over_ns\":5000000000,\"stays_for_ns\":200000000,\"calls_by_class\":[true,true],\"cold\":" +
      (site.cold ? "true" : "false") +
      ","
      "\"say\":\"min_rank\",\"heeded_ns\":1000000000,\"idle_ns\":5000000000,\"gauges\":[\"cpu_busy\","
      "\"runnable\","
      "\"mem_used\",\"sockets\"],\"halt\":\"none\",\"passes_deadline\":true},\"categories\":[";
  for (const Kind& kind : kinds()) {
    if (text.back() == '}') text += ',';
    text += "{\"name\":\"" + kind.name + "\",\"importance\":" + std::to_string(kind.importance) +
            ",\"target_ns\":" + std::to_string(kind.target) +
            ",\"deadline_ns\":" + std::to_string(kind.limit) + ",\"effect\":\"" +
            (kind.keyed ? "idempotency_key\",\"key_ttl_ns\":9000000000" : "read_like\"") + "}";
  }
  return text +
         "],\"parties\":[{\"name\":\"main-lot\",\"quota_rps\":100},{\"name\":\"long-stay\",\"quota_rps\":100}"
         "],"
         "\"invariants\":{\"drain_grace_ns\":2000000000,\"fall_multiple\":8.0,\"cold_from\":0.25,"
         "\"warm_after_ns\":5000000000},\"limits\":{\"retry_after\":true,\"max_retry_after_ns\":1000000000},"
         "\"clients\":{\"marks_retry\":false}}}";
}

void write_file(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary | std::ios::trunc);
  out << text;
  if (!out.flush()) throw std::runtime_error(path + ": can't be written");
}
std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::runtime_error(path + ": can't be read");
  return {std::istreambuf_iterator<char>(in), {}};
}
std::string words(const asio::ip::tcp::endpoint& at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}
Nanos unix_now() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace cometshift::load
