#include "balance/replica_speed.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace heathtrestle::balance {

namespace {

/// Smoothing factor of the slowdown. Low, because single responses differ by
/// their content far more than replicas do.
constexpr double speed_weight = 0.05;
/// Bounds of the ratio that one response contributes.
constexpr double max_ratio = 20;
constexpr double min_ratio = 0.05;
/// Smoothing factor of the wait; high, because queues change within seconds.
constexpr double wait_weight = 0.25;
/// Half-life of the recorded wait.
constexpr double wait_half_life_ms = 1000;

} // namespace

void replica_speed::record_duration(double observed, double expected) {
  const double ratio = std::clamp(observed / expected, min_ratio, max_ratio);
  slowdown_ += speed_weight * (ratio - slowdown_);
}

void replica_speed::record_first_event(double excess_ms, timestamp now) {
  const double previous = wait_ms(now);
  wait_ms_ = previous + wait_weight * (excess_ms - previous);
  recorded_at_ = now;
}

double replica_speed::wait_ms(timestamp now) const {
  if (recorded_at_ == timestamp{}) {
    return 0;
  }
  const double age =
      std::chrono::duration<double, std::milli>(now - recorded_at_).count();
  return wait_ms_ * std::exp2(-age / wait_half_life_ms);
}

} // namespace heathtrestle::balance
