// Into how many partitions the record group is divided, and which of them keeps
// a program. Gateways and storage nodes must agree on both.
#pragma once

#include "base/ids.hpp"
#include "config/settings_schema.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace heathtrestle::records {

/// Least partitions of a deployment that is to bear the loss of several
/// machines: one leader's link and processor share do not carry what its
/// gateways record.
inline constexpr std::size_t min_partitions_for_multiple_losses = 4;
/// Writing calls a second of the object store that stand for one partition. No
/// process is told how many machines there are, but the store's rate is granted
/// for all of them together: 1,200 where 8 to 12 small storage machines serve
/// 53 to 79 gateways, which four partitions carry, and 3,200 where 36 serve
/// 259, which four do not (the leaders' links of 130 Mbit/s are full in a
/// burst).
inline constexpr std::uint64_t writes_per_partition = 300;
inline constexpr std::size_t max_partitions = 64;

/// The largest number of losses that the settings take.
inline constexpr std::uint64_t max_tolerated_losses = 4;

/// @param setting the number that the operator gave; 0 leaves it to the rest.
/// @param tolerated_losses storage nodes that may be lost at once.
/// @param writes_per_second the object store's rate for the whole system; 0
/// when it is not known.
constexpr std::size_t partition_count(std::uint64_t setting,
                                      std::uint64_t tolerated_losses,
                                      std::uint64_t writes_per_second) {
  if (setting != 0) {
    return static_cast<std::size_t>(setting);
  }
  if (tolerated_losses <= 1) {
    return 1;
  }
  return std::clamp(
      static_cast<std::size_t>(writes_per_second / writes_per_partition),
      min_partitions_for_multiple_losses, max_partitions);
}

/// The partition that keeps a program's budget and turns.
inline std::size_t partition_of(std::string_view program, std::size_t count) {
  return stable_hash(program) % count;
}

/// Adds the setting to a program's schema.
inline void describe_partitions(config::settings_schema &schema,
                                std::uint64_t &partitions,
                                std::uint64_t &writes_per_second) {
  constexpr std::uint64_t most_writes = 1000000;
  schema.integer("cluster.partitions", partitions, 0, max_partitions,
                 "partitions of the record group, the same in every process "
                 "and for good; 0: 1 where no more than one loss is to be "
                 "borne, else one for each 300 of store.writes_per_second, 4 "
                 "at least");
  schema.integer("store.writes_per_second", writes_per_second, 0, most_writes,
                 "writing calls a second that the object store takes from the "
                 "whole system, the same in every process; 0: not known");
}

} // namespace heathtrestle::records
