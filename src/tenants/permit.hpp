// Leave to send one request in a tenant's name, and what bounds how many there
// are.
#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace heathtrestle::tenants {

/// A permit counts from when it was asked for and is void after this long, so
/// that the window in which it counts is known although its use is not told. A
/// request that waits longer for a place asks again before it is sent; one in
/// ten of the turns on a loaded day waits that long.
inline constexpr duration_ms permit_lifetime{400};

/// A tenant's quota as a configuration sets it, and what of it the operator
/// tolerates. In whole numbers, so that all replicas of a partition compute the
/// same.
struct quota_terms {
  /// Of the configuration: terms of a later one replace those of an earlier.
  std::uint64_t version = 0;
  std::uint64_t millirequests_per_second = 0;
  std::uint64_t burst_millirequests = 0;
  /// Length of the sliding window in which requests are counted.
  duration_ms window{5000};
  /// What may be sent beyond the limit of a window, in thousandths of it.
  std::uint32_t overshoot_permille = 0;
  /// And so many requests more.
  std::uint32_t slack = 0;

  bool operator==(const quota_terms &) const = default;
};

} // namespace heathtrestle::tenants
