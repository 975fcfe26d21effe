#include "records/retry_timeout.hpp"

#include <algorithm>

namespace heathtrestle::records {

namespace {

/// An answer that takes this many times longer than usual is not awaited.
constexpr int response_time_multiple = 4;
/// The same, of one answer that took longer than any was awaited.
constexpr int slow_multiple = 2;
/// The weight of what was known before, against one new answer.
constexpr int smoothing_weight = 7;
/// Beyond this the longest time-out is reached from any other.
constexpr int max_backoff = 8;

} // namespace

void retry_timeout::record_response_time(duration_ms response_time) {
  backoff_ = 1;
  const bool first = smoothed_response_time_.count() == 0;
  const duration_ms smoothed =
      first ? response_time
            : (smoothing_weight * smoothed_response_time_ + response_time) /
                  (smoothing_weight + 1);
  // A group that has become slow is believed at once: while it is taken for a
  // quick one, everything is asked twice.
  const bool slower = response_time > timeout();
  smoothed_response_time_ =
      slower ? std::max(smoothed,
                        slow_multiple * response_time / response_time_multiple)
             : smoothed;
}

void retry_timeout::on_timeout(timestamp sent, timestamp now) {
  if (sent >= last_backoff_) {
    backoff_ = std::min(2 * backoff_, max_backoff);
    last_backoff_ = now;
  }
}

duration_ms retry_timeout::timeout() const {
  return std::min(
      backoff_ * std::clamp(response_time_multiple * smoothed_response_time_,
                            minimum_, maximum_),
      maximum_);
}

} // namespace heathtrestle::records
