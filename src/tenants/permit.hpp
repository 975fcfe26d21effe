// Permits to send one request on behalf of a tenant, and the quota terms that
// limit their number.
#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace heathtrestle::tenants {

/// A permit expires this long after it was requested, so that the window in
/// which it counts is known without a report of its use. A request that waits
/// longer for a slot needs a new permit before it is sent; on a loaded day one
/// turn in ten does.
inline constexpr duration_ms permit_lifetime{400};

/// A tenant's configured quota and the tolerated excess. Integers only, so that
/// all members of a partition compute identical results.
struct quota_terms {
  /// Version of the configuration; terms of a newer one replace older terms.
  std::uint64_t version = 0;
  std::uint64_t millirequests_per_second = 0;
  std::uint64_t burst_millirequests = 0;
  /// Length of the sliding window in which requests are counted.
  duration_ms window{5000};
  /// Tolerated excess over the limit of a window, in thousandths of it.
  std::uint32_t overshoot_permille = 0;
  /// Tolerated excess in requests, in addition.
  std::uint32_t slack = 0;

  bool operator==(const quota_terms &) const = default;
};

} // namespace heathtrestle::tenants
