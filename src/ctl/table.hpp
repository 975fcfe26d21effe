// Prints answers of the operators' interface as a table.
#pragma once

#include <string>

namespace heathtrestle::ctl {

/// @param answer JSON as the daemon sent it.
/// @return columns aligned, one row a line; answers that are no table come out
/// as one `field: value` a line.
std::string format_answer(const std::string &answer);

} // namespace heathtrestle::ctl
