// Tracks how fast one replica responds compared with the average of its
// service, as recently observed by this gateway.
#pragma once

#include "base/time.hpp"

namespace heathtrestle::balance {

class replica_speed {
public:
  /// Records the duration of a response, or the time between two events.
  /// @param observed, expected in milliseconds; both above zero.
  void record_duration(double observed, double expected);
  /// Records the time to a first event.
  /// @param excess_ms observed minus expected time; negative if it came early.
  void record_first_event(double excess_ms, timestamp now);

  /// Smoothed ratio of observed to expected time; 1 before the first sample.
  [[nodiscard]] double slowdown() const { return slowdown_; }
  /// Smoothed excess wait for first events. It decays over time, so that a
  /// replica that was busy once is tried again.
  [[nodiscard]] double wait_ms(timestamp now) const;

private:
  double slowdown_ = 1;
  double wait_ms_ = 0;
  timestamp recorded_at_{};
};

} // namespace heathtrestle::balance
