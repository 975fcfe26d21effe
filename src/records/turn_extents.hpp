// Finds the turns within an encoded log entry, so that their bodies can be read
// from the log later.
#pragma once

#include "storage/frame.hpp"

#include <string_view>
#include <vector>

namespace heathtrestle::records {

/// The encoded turns (`wire::RecordTurn`) that an encoded `wire::LogEntry`
/// carries, in order, each named by the hash of its id.
std::vector<storage::extent> find_turns(std::string_view entry);

} // namespace heathtrestle::records
