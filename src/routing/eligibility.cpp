#include "routing/eligibility.hpp"

namespace heathtrestle::routing {

std::string_view name_of(exclusion cause) {
  switch (cause) {
  case exclusion::none:
    return "none";
  case exclusion::leaving:
    return "leaving";
  case exclusion::zone_drained:
    return "zone_drained";
  case exclusion::drains_unknown:
    return "drains_unknown";
  case exclusion::outside_home:
    return "outside_home";
  case exclusion::other_version:
    return "other_version";
  case exclusion::crash_limit:
    return "crash_limit";
  case exclusion::warming_up:
    return "warming_up";
  }
  return "unknown";
}

exclusion zone_exclusion(const std::string &zone, const residency &home,
                         const topology &places, const zone_drains &drains,
                         const drain_position &place) {
  if (!drains.known()) {
    return exclusion::drains_unknown;
  }
  if (drains.blocks_requests(zone, place)) {
    return exclusion::zone_drained;
  }
  const bool inside = !home.restricted() || home.allows(places.region_of(zone));
  return inside ? exclusion::none : exclusion::outside_home;
}

exclusion exclusion_of(const instance &target, const residency &home,
                       const topology &places, const zone_drains &drains,
                       const drain_position &place) {
  return target.accepts_work()
             ? zone_exclusion(target.record.zone, home, places, drains, place)
             : exclusion::leaving;
}

} // namespace heathtrestle::routing
