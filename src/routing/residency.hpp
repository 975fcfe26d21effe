// In which regions a request may be served and what is kept of it may lie.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

namespace heathtrestle::routing {

/// The home regions of a request's route and of its tenant. Where both name
/// some, a region has to be among both.
struct residency {
  std::vector<std::string> route_regions;  // empty: any
  std::vector<std::string> tenant_regions; // empty: any

  [[nodiscard]] bool restricted() const {
    return !route_regions.empty() || !tenant_regions.empty();
  }

  [[nodiscard]] bool allows(const std::string &region) const {
    const auto among = [&region](const std::vector<std::string> &regions) {
      return regions.empty() ||
             std::find(regions.begin(), regions.end(), region) != regions.end();
    };
    return among(route_regions) && among(tenant_regions);
  }

  bool operator==(const residency &) const = default;
};

} // namespace heathtrestle::routing
