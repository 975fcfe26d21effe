// The number of partitions of the record group and the assignment of programs
// to them. Gateways and storage nodes must agree on both.
#pragma once

#include "base/ids.hpp"
#include "config/settings_schema.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace heathtrestle::records {

/// Minimum number of partitions of a deployment that tolerates several losses:
/// the link and CPU of a single leader do not carry the load of its gateways.
inline constexpr std::size_t min_partitions_for_multiple_losses = 4;
/// One partition per this many write calls per second of the object store. No
/// process knows the number of machines, but the store's rate is granted for
/// all of them together and grows with their number. At 1,200 calls, 8 to 12
/// small storage nodes serve 53 to 79 gateways with four partitions; at 3,200,
/// 36 nodes serve 259, for which four are too few: the leaders' links of 130
/// Mbit/s are full in a burst.
inline constexpr std::uint64_t writes_per_partition = 300;
inline constexpr std::size_t max_partitions = 64;

/// Largest number of losses that the settings accept.
inline constexpr std::uint64_t max_tolerated_losses = 4;

/// @param setting the configured number of partitions; 0 to derive it.
/// @param tolerated_losses storage nodes that may be lost at the same time.
/// @param writes_per_second the object store's rate for the whole system; 0
/// when unknown.
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

/// Returns the partition that keeps a program's budget and turns.
inline std::size_t partition_of(std::string_view program, std::size_t count) {
  return stable_hash(program) % count;
}

/// Adds the settings for the number of partitions to a process's schema.
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
