#include "forwarding/storage_residency.hpp"

namespace heathtrestle::forwarding {

std::optional<records::storage_place>
storage_outside(const std::vector<records::storage_place> &nodes,
                const routing::residency &home,
                const routing::topology &places) {
  if (!home.restricted()) {
    return std::nullopt;
  }
  for (records::storage_place each : nodes) {
    if (each.region.empty()) {
      each.region = places.region_of(each.zone);
    }
    if (!home.allows(each.region)) {
      return each;
    }
  }
  return std::nullopt;
}

} // namespace heathtrestle::forwarding
