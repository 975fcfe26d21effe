#include "http/message.hpp"

#include <algorithm>
#include <cctype>

namespace heathtrestle::http {

bool case_insensitive_less::operator()(std::string_view left,
                                       std::string_view right) const {
  return std::lexicographical_compare(
      left.begin(), left.end(), right.begin(), right.end(),
      [](unsigned char first, unsigned char second) {
        return std::tolower(first) < std::tolower(second);
      });
}

std::string request::header(std::string_view name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

response json_response(std::uint32_t status, std::string body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = std::move(body)};
}

} // namespace heathtrestle::http
