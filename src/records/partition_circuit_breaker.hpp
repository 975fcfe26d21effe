// Circuit breaker for one partition of the record group, as used by a gateway.
// It performs no I/O and reads no clock.
//
// A partition without a majority or a leader does not answer, or answers only
// that there is no leader. The breaker stays closed for the duration of an
// election; then it opens, and callers are refused at once with a retry time
// rather than held until their deadline. Probes detect when the partition is
// back.
#pragma once

#include "base/time.hpp"

namespace heathtrestle::records {

class partition_circuit_breaker {
public:
  /// @param open_after how long requests may go without a reply of a leader
  /// before the breaker opens.
  explicit partition_circuit_breaker(duration_ms open_after)
      : open_after_(open_after) {}

  /// Closes the breaker after a reply of a leader.
  /// @return true when it was open.
  bool on_served();
  /// Opens the breaker when requests have waited too long.
  /// @param unserved_since when the oldest request that no leader has answered
  /// since was sent; the epoch for none.
  /// @return true when the breaker opens.
  bool open_if_overdue(timestamp unserved_since, timestamp now);

  [[nodiscard]] bool is_served() const {
    return unserved_since_ == timestamp{};
  }
  /// When a refused caller should retry: after as long as the outage has
  /// lasted, within bounds.
  [[nodiscard]] duration_ms retry_after(timestamp now) const;
  /// Returns true when the breaker is open and a probe is due, and schedules
  /// the next one.
  bool start_probe_if_due(timestamp now);

private:
  duration_ms open_after_;
  /// When the outage began; the epoch while the breaker is closed.
  timestamp unserved_since_{};
  timestamp next_probe_{};
};

} // namespace heathtrestle::records
