#include "records/partition_circuit_breaker.hpp"

#include <algorithm>

namespace heathtrestle::records {

namespace {

/// A caller that comes back sooner is refused again, by another gateway at
/// best.
constexpr duration_ms min_retry_after{500};
/// One that comes back later waits although the partition may long be back.
constexpr duration_ms max_retry_after{2000};
/// How long callers are refused at the most once the partition is back. Each
/// gateway asks one storage node, as often as it would ask one question again.
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
