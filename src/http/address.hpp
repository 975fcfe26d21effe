// Addresses written as "ip:port". Names are not looked up: processes know each
// other by number.
#pragma once

#include "base/error.hpp"

#include <boost/asio/ip/address.hpp>

#include <cstdint>
#include <string_view>

namespace heathtrestle::http {

struct ip_port {
  boost::asio::ip::address ip;
  std::uint16_t port = 0;
};

/// @return `invalid_request` when the text is not an IP number and a port.
result<ip_port> parse_address(std::string_view text);

} // namespace heathtrestle::http
