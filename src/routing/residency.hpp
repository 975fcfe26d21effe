// Restricts the regions in which a request may be served and its data stored.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

namespace heathtrestle::routing {

/// The home regions of a request's route and tenant. If both are restricted, a
/// region must be allowed by both.
struct residency {
  std::vector<std::string> route_regions;  // empty for any
  std::vector<std::string> tenant_regions; // empty for any

  [[nodiscard]] bool restricted() const {
    return !route_regions.empty() || !tenant_regions.empty();
  }

  [[nodiscard]] bool allows(const std::string &region) const {
    const auto permits = [&region](const std::vector<std::string> &regions) {
      return regions.empty() ||
             std::find(regions.begin(), regions.end(), region) != regions.end();
    };
    return permits(route_regions) && permits(tenant_regions);
  }

  bool operator==(const residency &) const = default;
};

} // namespace heathtrestle::routing
