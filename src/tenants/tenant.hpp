// A tenant as the operator's configuration describes it: the keys by which its
// requests are known, and how much it may ask for.
#pragma once

#include "base/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace heathtrestle::tenants {

/// A secret by which a client proves which tenant it belongs to. It has no
/// formatter on purpose: a key must not end up in a log.
using api_key = typed_id<std::string, struct api_key_tag>;

/// How much a tenant may ask of all gateways together.
struct request_quota {
  double rate_per_second = 0; // zero: unlimited
  double burst = 0;           // requests beyond the rate, at once

  [[nodiscard]] bool limited() const { return rate_per_second > 0; }
  bool operator==(const request_quota &) const = default;
};

struct tenant {
  tenant_id id;
  std::vector<api_key> keys;
  request_quota quota;
  /// Goes before the priority of the route when it is set; 0 is most urgent.
  std::optional<std::uint32_t> priority;
  /// Regions in which its requests may be served and kept; empty: any.
  std::vector<std::string> home_regions;

  bool operator==(const tenant &) const = default;
};

} // namespace heathtrestle::tenants
