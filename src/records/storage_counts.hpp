// How much a storage node uses its disk.
#pragma once

#include <cstdint>

namespace heathtrestle::records {

/// Counts since the start, and present sizes, in bytes where not said
/// otherwise.
struct storage_counts {
  std::uint64_t bytes_written = 0;
  /// Number of syncs of the log.
  std::uint64_t syncs = 0;
  /// Sizes of the segments deleted.
  std::uint64_t bytes_reclaimed = 0;
  /// Present size of the bodies that are needed, and of the log with them.
  std::uint64_t live_bytes = 0;
  std::uint64_t total_bytes = 0;

  bool operator==(const storage_counts &) const = default;

  storage_counts &operator+=(const storage_counts &other) {
    bytes_written += other.bytes_written;
    syncs += other.syncs;
    bytes_reclaimed += other.bytes_reclaimed;
    live_bytes += other.live_bytes;
    total_bytes += other.total_bytes;
    return *this;
  }
  /// The counts since `before`, with the present sizes.
  [[nodiscard]] storage_counts since(const storage_counts &before) const {
    storage_counts passed = *this;
    passed.bytes_written -= before.bytes_written;
    passed.syncs -= before.syncs;
    passed.bytes_reclaimed -= before.bytes_reclaimed;
    return passed;
  }
};

} // namespace heathtrestle::records
