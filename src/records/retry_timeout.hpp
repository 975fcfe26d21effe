// Adaptive retry timeout: a multiple of the recent response times, within
// bounds. Retrying every request to a group that is merely slow would slow it
// down further.
//
// Only requests that were sent once yield a response time (Karn's rule). When
// every response takes longer than the timeout, all requests are sent twice and
// none yields one. The timeout therefore doubles with each expiry, until a
// request that was sent once is answered.
#pragma once

#include "base/time.hpp"

namespace heathtrestle::records {

class retry_timeout {
public:
  /// @param minimum lower bound of the timeout.
  /// @param maximum upper bound of the timeout, also when backing off.
  retry_timeout(duration_ms minimum, duration_ms maximum)
      : minimum_(minimum), maximum_(maximum) {}

  /// Takes a response time into account. Pass only those of requests that were
  /// sent once: for others it is unknown which attempt was answered.
  void record_response_time(duration_ms response_time);
  /// Backs off after a request timed out while its receiver answered others.
  /// @param sent when the request was last sent. A request sent before the last
  /// backoff does not cause another one.
  void on_timeout(timestamp sent, timestamp now);
  [[nodiscard]] duration_ms timeout() const;

private:
  duration_ms minimum_;
  duration_ms maximum_;
  /// Zero before the first response.
  duration_ms smoothed_response_time_{0};
  /// Factor by which the timeout is multiplied.
  int backoff_ = 1;
  timestamp last_backoff_{};
};

} // namespace heathtrestle::records
