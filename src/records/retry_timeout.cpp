#include "records/retry_timeout.hpp"

#include <algorithm>

namespace heathtrestle::records {

namespace {

/// An answer that takes this many times longer than usual is not awaited.
constexpr int latency_multiple = 4;
/// The same, of one answer that took longer than any was awaited.
constexpr int slow_multiple = 2;
/// The weight of what was known before, against one new answer.
constexpr int inertia = 7;
/// Beyond this the longest time-out is reached from any other.
constexpr int most_backoff = 8;

} // namespace

void retry_timeout::record_response_time(duration_ms taken) {
  backoff_ = 1;
  const bool first = latency_.count() == 0;
  const duration_ms smoothed =
      first ? taken : (inertia * latency_ + taken) / (inertia + 1);
  // A group that has become slow is believed at once: while it is taken for a
  // quick one, everything is asked twice.
  const bool slower = taken > timeout();
  latency_ = slower
                 ? std::max(smoothed, slow_multiple * taken / latency_multiple)
                 : smoothed;
}

void retry_timeout::on_timeout(timestamp sent, timestamp now) {
  if (sent >= grown_) {
    backoff_ = std::min(2 * backoff_, most_backoff);
    grown_ = now;
  }
}

duration_ms retry_timeout::timeout() const {
  return std::min(
      backoff_ * std::clamp(latency_multiple * latency_, least_, most_), most_);
}

} // namespace heathtrestle::records
