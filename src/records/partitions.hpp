// Into how many partitions the record group is divided, and which of them keeps
// a program. Gateways and storage nodes must agree on both.
#pragma once

#include "base/ids.hpp"
#include "config/settings_schema.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace heathtrestle::records {

/// Partitions of a deployment that is to bear the loss of several machines: one
/// leader's link and processor share do not carry what its gateways record.
inline constexpr std::size_t partitions_when_large = 4;

/// The largest number of losses that the settings take.
inline constexpr std::uint64_t most_tolerated_losses = 4;

/// @param setting the number that the operator gave; 0 leaves it to the rest.
/// @param tolerated_losses storage nodes that may be lost at once.
constexpr std::size_t partition_count(std::uint64_t setting,
                                      std::uint64_t tolerated_losses) {
  if (setting != 0) {
    return static_cast<std::size_t>(setting);
  }
  return tolerated_losses > 1 ? partitions_when_large : 1;
}

/// The partition that keeps a program's budget and turns.
inline std::size_t partition_of(std::string_view program, std::size_t count) {
  return stable_hash(program) % count;
}

/// Adds the setting to a program's schema.
inline void describe_partitions(config::settings_schema &schema,
                                std::uint64_t &target) {
  constexpr std::uint64_t most = 64;
  schema.integer("cluster.partitions", target, 0, most,
                 "partitions of the record group, the same in every process "
                 "and for good; 0: 4 where more than one loss is to be borne, "
                 "else 1");
}

} // namespace heathtrestle::records
