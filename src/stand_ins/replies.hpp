// What the stand-ins' HTTP handlers have in common.
#pragma once

#include "http/server.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace heathtrestle::stand_ins {

/// A whole number, or 0 for anything else.
std::uint64_t number_of(const std::string &text);

/// Answers with an error.
void refuse(http::exchange &exchange, std::uint32_t status,
            std::string_view why);

/// Answers with status 200.
void accept(http::exchange &exchange, const boost::json::object &body);

} // namespace heathtrestle::stand_ins
