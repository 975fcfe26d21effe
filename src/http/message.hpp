// HTTP requests and responses as the rest of the project sees them, free of
// the library's types.
#pragma once

#include "base/error.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace heathtrestle::http {

struct case_insensitive_less {
  using is_transparent = void;
  bool operator()(std::string_view left, std::string_view right) const;
};

using header_map = std::map<std::string, std::string, case_insensitive_less>;

struct request {
  std::string method = "GET";
  std::string path = "/";                   // without the query
  std::map<std::string, std::string> query; // decoded
  header_map headers;
  std::string body;

  /// @return the header's value, or an empty text.
  [[nodiscard]] std::string header(std::string_view name) const;
};

struct response {
  std::uint32_t status = 200;
  header_map headers;
  std::string body;
};

/// A JSON response.
response json_response(std::uint32_t status, std::string body);

} // namespace heathtrestle::http
