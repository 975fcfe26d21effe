#include "records/partition_circuit_breaker.hpp"

#include <algorithm>

namespace heathtrestle::records {

namespace {

/// A caller that retries sooner is likely to be refused again.
constexpr duration_ms min_retry_after{500};
/// A caller that retries later waits needlessly when the partition is back.
constexpr duration_ms max_retry_after{2000};
/// Interval of the probes of each gateway, each sent to one storage node.
/// Callers are refused for at most this long after the partition is back.
constexpr duration_ms probe_interval{250};

} // namespace

bool partition_circuit_breaker::on_served() {
  const bool was_unserved = !is_served();
  unserved_since_ = {};
  return was_unserved;
}

bool partition_circuit_breaker::open_if_overdue(timestamp unserved_since,
                                                timestamp now) {
  const bool opens = is_served() && unserved_since != timestamp{} &&
                     now >= unserved_since + open_after_;
  if (opens) {
    unserved_since_ = unserved_since;
  }
  return opens;
}

duration_ms partition_circuit_breaker::retry_after(timestamp now) const {
  return std::clamp(now - unserved_since_, min_retry_after, max_retry_after);
}

bool partition_circuit_breaker::start_probe_if_due(timestamp now) {
  const bool due = !is_served() && now >= next_probe_;
  if (due) {
    next_probe_ = now + probe_interval;
  }
  return due;
}

} // namespace heathtrestle::records
