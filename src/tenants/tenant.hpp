// A tenant as configured by the operator: its API keys, quota, priority and
// home regions.
#pragma once

#include "base/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace heathtrestle::tenants {

/// A secret that identifies the tenant of a client. It deliberately has no
/// formatter, so that keys cannot be logged.
using api_key = typed_id<std::string, struct api_key_tag>;

/// Request quota of a tenant over all gateways.
struct request_quota {
  double rate_per_second = 0; // zero: unlimited
  double burst = 0;           // requests beyond the rate

  [[nodiscard]] bool limited() const { return rate_per_second > 0; }
  bool operator==(const request_quota &) const = default;
};

struct tenant {
  tenant_id id;
  std::vector<api_key> keys;
  request_quota quota;
  /// Overrides the priority of the route if set; 0 is most urgent.
  std::optional<std::uint32_t> priority;
  /// Regions in which its requests may be served and stored; empty for any.
  std::vector<std::string> home_regions;

  bool operator==(const tenant &) const = default;
};

} // namespace heathtrestle::tenants
