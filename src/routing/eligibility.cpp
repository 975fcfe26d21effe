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
  case exclusion::warming_up:
    return "warming_up";
  }
  return "unknown";
}

exclusion exclusion_of(const instance &target, const residency &home,
                       const topology &places, const zone_drains &drains,
                       const drain_position &place) {
  if (!target.accepts_work()) {
    return exclusion::leaving;
  }
  if (!drains.known()) {
    return exclusion::drains_unknown;
  }
  if (drains.blocks_requests(target.record.zone, place)) {
    return exclusion::zone_drained;
  }
  const bool inside =
      !home.restricted() || home.allows(places.region_of(target.record.zone));
  return inside ? exclusion::none : exclusion::outside_home;
}

} // namespace heathtrestle::routing
