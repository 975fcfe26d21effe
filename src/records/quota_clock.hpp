// The time by which a partition counts permits. It must not depend on wall
// clocks, which differ and may be set, nor on how long a leader was away: if it
// ran ahead, permits would drop out of the window too early and a tenant would
// get more than its limit.
//
// It goes with the entries of the log: each has its time, and a leader goes on
// from the last entry of others that it has applied, by its own monotonic
// clock. An entry is applied after it was proposed, so the clock never runs
// faster than real time, whichever nodes lead, and never backwards. It loses
// the time between the last entry of one leader and the first of the next.
#pragma once

#include "base/time.hpp"
#include "tenants/quota_account.hpp"

#include <algorithm>

namespace heathtrestle::records {

class quota_clock {
public:
  /// Another leader's entry, or one of an earlier term, was applied.
  /// @param time the partition's time as of that entry.
  void synchronize(tenants::quota_time time, timestamp now) {
    time_ = time;
    at_ = now;
  }

  /// The partition's time, as the leader stamps it on what it proposes.
  [[nodiscard]] tenants::quota_time time_at(timestamp now) const {
    return time_ + static_cast<tenants::quota_time>(
                       std::max(now - at_, duration_ms{0}).count());
  }

private:
  tenants::quota_time time_ = 0;
  timestamp at_{};
};

} // namespace heathtrestle::records
