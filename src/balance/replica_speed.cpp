#include "balance/replica_speed.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace heathtrestle::balance {

namespace {

/// Weight of one answer: the mean of some twenty. Single answers differ by
/// their content far more than replicas do.
constexpr double speed_weight = 0.05;
/// One answer counts as so many times as long as usual at most.
constexpr double most_times = 20;
constexpr double least_times = 0.05;
/// Weight of one first event; waiting changes from second to second.
constexpr double wait_weight = 0.25;
/// What was seen has lost half of its weight after this long: about two turns.
constexpr double wait_half_life_ms = 1000;

} // namespace

void replica_speed::record_duration(double observed, double expected) {
  const double times = std::clamp(observed / expected, least_times, most_times);
  slowdown_ += speed_weight * (times - slowdown_);
}

void replica_speed::record_first_event(double excess_ms, timestamp now) {
  const double before = wait_ms(now);
  wait_ms_ = before + wait_weight * (excess_ms - before);
  noted_ = now;
}

double replica_speed::wait_ms(timestamp now) const {
  if (noted_ == timestamp{}) {
    return 0;
  }
  const double age =
      std::chrono::duration<double, std::milli>(now - noted_).count();
  return wait_ms_ * std::exp2(-age / wait_half_life_ms);
}

} // namespace heathtrestle::balance
