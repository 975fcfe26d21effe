// How one replica answers in comparison with what is usual for its service, as
// one gateway has seen it lately.
#pragma once

#include "base/time.hpp"

namespace heathtrestle::balance {

class replica_speed {
public:
  /// @param observed, expected time of one answer, or between two events, in
  /// milliseconds; both above zero.
  void record_duration(double observed, double expected);
  /// @param excess_ms time that a first event took beyond what was expected;
  /// negative when it came sooner.
  void record_first_event(double excess_ms, timestamp now);

  /// Times as long as usual; 1 before anything was seen.
  [[nodiscard]] double slowdown() const { return slowdown_; }
  /// Time that requests waited lately beyond what was expected. What was seen
  /// fades, so that a replica that was busy once is tried again.
  [[nodiscard]] double wait_ms(timestamp now) const;

private:
  double slowdown_ = 1;
  double wait_ms_ = 0;
  timestamp noted_{};
};

} // namespace heathtrestle::balance
