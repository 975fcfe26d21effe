#include "records/retry_timeout.hpp"

#include <algorithm>

namespace heathtrestle::records {

namespace {

/// The timeout is this multiple of the smoothed response time.
constexpr int response_time_multiple = 4;
/// A response that exceeds the timeout raises it at once to this multiple of
/// the response time.
constexpr int slow_multiple = 2;
/// Weight of the smoothed response time relative to a new one.
constexpr int smoothing_weight = 7;
/// Upper bound of the backoff factor.
constexpr int max_backoff = 8;

} // namespace

void retry_timeout::record_response_time(duration_ms response_time) {
  backoff_ = 1;
  const bool first = smoothed_response_time_.count() == 0;
  const duration_ms smoothed =
      first ? response_time
            : (smoothing_weight * smoothed_response_time_ + response_time) /
                  (smoothing_weight + 1);
  // React at once to a group that has become slow: until the timeout rises,
  // every request is sent twice.
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
