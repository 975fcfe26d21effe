#include "forwarding/replica_shortlist.hpp"

#include <algorithm>
#include <tuple>

namespace heathtrestle::forwarding {

window_result offer_window(const routing::replica_ring &ring, std::uint64_t key,
                           std::size_t wanted, const shortlist_options &options,
                           const offer_replica &offer) {
  window_result found;
  std::size_t left = wanted * options.examined_per_wanted;
  if (left == 0) {
    return found;
  }
  ring.walk(key, [&](const routing::instance_ptr &each) {
    const offer_result result = offer(each);
    found.suitable += result != offer_result::unsuitable ? 1 : 0;
    found.free += result == offer_result::free ? 1 : 0;
    --left;
    return found.free < wanted && left > 0;
  });
  return found;
}

std::vector<zone_ring>
zones_by_distance(const std::map<std::string, routing::replica_ring> &rings,
                  const routing::topology &places, std::uint64_t gateway) {
  using rank = std::tuple<routing::locality, std::uint64_t>;
  std::vector<std::pair<rank, zone_ring>> ranked;
  for (const auto &[zone, ring] : rings) {
    if (!ring.empty()) {
      ranked.push_back({{places.locality_of(zone), stable_hash(zone, gateway)},
                        {.zone = zone, .ring = &ring}});
    }
  }
  std::ranges::sort(ranked, {}, [](const auto &each) { return each.first; });
  std::vector<zone_ring> zones;
  zones.reserve(ranked.size());
  for (const auto &[place, zone] : ranked) {
    zones.push_back(zone);
  }
  return zones;
}

void offer_nearest(const std::vector<zone_ring> &zones, std::uint64_t key,
                   const shortlist_options &options,
                   const offer_replica &offer) {
  std::size_t missing = options.window;
  bool has_nearest = false;
  for (const zone_ring &each : zones) {
    const std::size_t wanted = has_nearest ? options.elsewhere : options.window;
    const window_result found =
        offer_window(*each.ring, key, wanted, options, offer);
    missing -= std::min(missing, found.free);
    if (has_nearest && missing == 0) {
      return;
    }
    has_nearest = has_nearest || found.suitable > 0;
  }
}

std::uint64_t window_count(double running, std::uint32_t slots,
                           std::size_t zones,
                           const shortlist_options &options) {
  const double borne = static_cast<double>(options.window) *
                       std::max<std::uint32_t>(slots, 1) * options.free_share *
                       static_cast<double>(std::max<std::size_t>(zones, 1));
  return 1 + static_cast<std::uint64_t>(std::max(running, 0.0) / borne);
}

std::uint64_t window_key(std::uint64_t key, std::uint64_t window) {
  // Fibonacci hashing: neighbouring keys and windows lie far apart.
  constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15U;
  constexpr unsigned half = 32;
  std::uint64_t point = (key + window * multiplier) * multiplier;
  point ^= point >> half;
  return point * multiplier;
}

} // namespace heathtrestle::forwarding
