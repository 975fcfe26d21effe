// Request parsing and JSON responses shared by the stand-ins' HTTP handlers.
#pragma once

#include "http/server.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace heathtrestle::stand_ins {

/// Parses the digits at the start of the text; 0 when there are none.
std::uint64_t parse_number(const std::string &text);

/// Responds with the status and a JSON object with `why` as its `error`.
void respond_error(http::exchange &exchange, std::uint32_t status,
                   std::string_view why);

/// Responds with status 200 and the JSON object.
void respond_ok(http::exchange &exchange, const boost::json::object &body);

} // namespace heathtrestle::stand_ins
