// The site that the rigs put a server into: its op types, and its configuration as text.
#pragma once

#include "demand.hpp"

#include <asio/ip/tcp.hpp>

#include <string>
#include <vector>

namespace cometshift::load {

struct Site {
  std::string name = "n1";
  std::uint64_t seed = 1;
  Nanos leave_time = 6'000'000'000; // from the notice to leave to the kill
  std::uint32_t callers = 4;
  double cores = 4; // of the interpreter
  int sockets = 512;
  int memory_mb = 64;
  bool cold = false;
  double calls_out = 8; // this server's share of the calls in hand below
};

std::vector<Kind> kinds();
std::vector<std::string> tenants();
std::string configuration(const Site& site, const std::string& listen, const std::string& vm,
                          const std::string& announce, const std::string& records);

void write_file(const std::string& path, const std::string& text);
std::string read_file(const std::string& path);
std::string words(const asio::ip::tcp::endpoint& at);
Nanos unix_now();

} // namespace cometshift::load
