// A checked address with its port, such as 127.0.0.1:5050 or [::1]:5050, as an end of a connection.
#pragma once

#include <asio/ip/tcp.hpp>

#include <string>

namespace cometshift {

inline asio::ip::tcp::endpoint endpoint_of(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  std::string host = address.substr(0, colon);
  if (host.front() == '[') host = host.substr(1, host.size() - 2);
  return {asio::ip::make_address(host), static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

} // namespace cometshift
