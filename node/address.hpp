// Parses addresses with a port, such as 127.0.0.1:5050 or [::1]:5050, into TCP endpoints.
#pragma once

#include <asio/ip/tcp.hpp>

#include <charconv>
#include <optional>
#include <stdexcept>
#include <string>

namespace cometshift {

// Returns nothing unless `address` is an IP address with a port from 1 to 65535. Host names are not resolved.
inline std::optional<asio::ip::tcp::endpoint> parse_endpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  unsigned port = 0;
  const char* address_end = address.data() + address.size();
  const auto [parse_end, parse_error] = std::from_chars(address.data() + colon + 1, address_end, port);
  if (parse_error != std::errc() || parse_end != address_end || port == 0 || port > 65535)
    return std::nullopt;
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  asio::error_code error;
  const asio::ip::address ip = asio::ip::make_address(host, error);
  if (error) return std::nullopt;
  return asio::ip::tcp::endpoint(ip, static_cast<unsigned short>(port));
}

// For addresses that have been validated before; throws std::invalid_argument otherwise.
inline asio::ip::tcp::endpoint require_endpoint(const std::string& address) {
  if (const auto endpoint = parse_endpoint(address)) return *endpoint;
  throw std::invalid_argument(address + ": not an address with a port");
}

} // namespace cometshift
