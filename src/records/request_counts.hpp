// Numbers of request items that a leader receives and answers.
#pragma once

#include "base/time.hpp"

#include <algorithm>
#include <cstdint>

namespace heathtrestle::records {

struct request_counts {
  std::uint64_t taken = 0;
  /// Retransmissions of items that are still being processed.
  std::uint64_t repeated = 0;
  /// Items of `taken` that were answered from the current state, without a log
  /// entry.
  std::uint64_t settled = 0;
  /// Items that were dropped before they were proposed, because their callers
  /// had stopped waiting.
  std::uint64_t expired = 0;
  /// Outcomes of log entries that were sent after their callers had stopped
  /// waiting.
  std::uint64_t late = 0;
  /// The longest times that an item waited to be proposed, and from its arrival
  /// to its outcome.
  duration_ms longest_unproposed{0};
  duration_ms longest_outcome{0};

  request_counts &operator+=(const request_counts &other) {
    taken += other.taken;
    repeated += other.repeated;
    settled += other.settled;
    expired += other.expired;
    late += other.late;
    longest_unproposed = std::max(longest_unproposed, other.longest_unproposed);
    longest_outcome = std::max(longest_outcome, other.longest_outcome);
    return *this;
  }
  bool operator==(const request_counts &) const = default;
};

} // namespace heathtrestle::records
