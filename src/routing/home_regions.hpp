// Checks of the home regions of a whole configuration.
#pragma once

#include "routing/configuration.hpp"
#include "routing/topology.hpp"

#include <set>
#include <string>

namespace heathtrestle::routing {

/// Returns the configured home regions that contain no zone. They are still
/// enforced: a request with no other home region is rejected.
std::set<std::string> unknown_home_regions(const configuration &settings,
                                           const topology &places);

/// True if all routes and tenants have the same home regions in both.
bool same_home_regions(const configuration &left, const configuration &right);

} // namespace heathtrestle::routing
