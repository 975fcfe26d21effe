// The clock by which a partition counts permits. It must not depend on wall
// clocks, which differ between nodes and can be set, nor on how long there was
// no leader: a clock that ran ahead would drop permits from the window too
// early, and the tenant would exceed its limit.
//
// Log entries carry this time, and a leader continues from the last applied
// entry of another leader by its own monotonic clock. An entry is applied after
// it was proposed, so the clock never runs faster than real time, whichever
// nodes lead, and never backwards. It loses the time between the last entry of
// one leader and the first entry of the next.
#pragma once

#include "base/time.hpp"
#include "tenants/quota_account.hpp"

#include <algorithm>

namespace heathtrestle::records {

class quota_clock {
public:
  /// Sets the clock when an entry of another leader or of an earlier term is
  /// applied.
  /// @param time the partition's time in that entry.
  void synchronize(tenants::quota_time time, timestamp now) {
    time_ = time;
    at_ = now;
  }

  /// Returns the partition's time, with which the leader stamps its proposals.
  [[nodiscard]] tenants::quota_time time_at(timestamp now) const {
    return time_ + static_cast<tenants::quota_time>(
                       std::max(now - at_, duration_ms{0}).count());
  }

private:
  tenants::quota_time time_ = 0;
  timestamp at_{};
};

} // namespace heathtrestle::records
