// Whether one partition of the record group serves a gateway: a reducer, with
// no I/O and no clock of its own.
//
// A partition that has lost its majority, or whose leader is gone, answers
// nothing, or says only that nobody leads. An election is waited for; after
// that a caller had better be told at once when to come back than be held until
// its patience ends. Probes find out when the partition is back.
#pragma once

#include "base/time.hpp"

namespace heathtrestle::records {

class partition_circuit_breaker {
public:
  /// @param patience how long questions may go without an answer of a leader
  /// until the partition counts as unserved.
  explicit partition_circuit_breaker(duration_ms open_after)
      : open_after_(open_after) {}

  /// A leader has answered.
  /// @return true when the partition was unserved until now.
  bool on_served();
  /// @param unserved_since when the oldest question was asked that no leader
  /// has answered since; the epoch for none.
  /// @return true when the partition counts as unserved from now on.
  bool open_if_overdue(timestamp unserved_since, timestamp now);

  [[nodiscard]] bool is_served() const {
    return unserved_since_ == timestamp{};
  }
  /// When a caller that is refused had better come back: an outage is likely to
  /// last as long again as it has lasted, within bounds.
  [[nodiscard]] duration_ms retry_after(timestamp now) const;
  /// True when it is time to ask whether the partition is back; counts as
  /// asked.
  bool start_probe_if_due(timestamp now);

private:
  duration_ms open_after_;
  /// Since when it has been unserved; the epoch while it is served.
  timestamp unserved_since_{};
  timestamp next_probe_{};
};

} // namespace heathtrestle::records
