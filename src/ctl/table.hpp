// Formats responses of the operator API as text tables.
#pragma once

#include <string>

namespace heathtrestle::ctl {

/// @param answer the JSON body of the response.
/// @return a table with aligned columns and one row per line, or one
/// `field: value` per line if the response is not a table.
std::string format_answer(const std::string &answer);

} // namespace heathtrestle::ctl
