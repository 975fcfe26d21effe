// Time types: milliseconds of a monotonic clock. The reducer receives the time
// with each event, so that tests, replay and the simulator can set it.
#pragma once

#include <chrono>
#include <cstdint>

namespace heathtrestle {

using duration_ms = std::chrono::milliseconds;

/// A point of the process's monotonic clock.
using timestamp = std::chrono::time_point<std::chrono::steady_clock,
                                          std::chrono::milliseconds>;

/// @param milliseconds since the clock's epoch.
inline timestamp timestamp_from(std::uint64_t milliseconds) {
  return timestamp{duration_ms{static_cast<std::int64_t>(milliseconds)}};
}

/// @return milliseconds since the clock's epoch.
inline std::uint64_t milliseconds_of(timestamp time) {
  return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

} // namespace heathtrestle
