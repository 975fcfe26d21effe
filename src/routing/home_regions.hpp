// What a whole configuration says of home regions.
#pragma once

#include "routing/configuration.hpp"
#include "routing/topology.hpp"

#include <set>
#include <string>

namespace heathtrestle::routing {

/// The home regions in which no zone lies. They bind all the same: a request
/// with no other home is refused, rather than served where it may not be.
std::set<std::string> unknown_home_regions(const configuration &settings,
                                           const topology &places);

/// True when every route and every tenant has the same home regions in both.
bool same_home_regions(const configuration &left, const configuration &right);

} // namespace heathtrestle::routing
