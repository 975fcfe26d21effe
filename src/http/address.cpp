#include "http/address.hpp"

#include <charconv>
#include <string>

namespace heathtrestle::http {

result<ip_port> parse_address(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  const auto malformed = [text] {
    return fail(
        error_code::invalid_request,
        fmt::format("\"{}\" is not an address of the form ip:port", text),
        "parse_address");
  };
  if (colon == std::string_view::npos) {
    return malformed();
  }
  const std::string_view digits = text.substr(colon + 1);
  ip_port parsed;
  const auto converted = std::from_chars(
      digits.data(), digits.data() + digits.size(), parsed.port);
  const bool all_digits = converted.ec == std::errc() &&
                          converted.ptr == digits.data() + digits.size();
  boost::system::error_code failure;
  std::string ip(text.substr(0, colon));
  if (ip.starts_with('[') && ip.ends_with(']')) {
    ip = ip.substr(1, ip.size() - 2);
  }
  parsed.ip = boost::asio::ip::make_address(ip, failure);
  if (failure || !all_digits) {
    return malformed();
  }
  return parsed;
}

} // namespace heathtrestle::http
