// Whether a request may go to a replica at all, before any choice among those
// that may. Every way to a replica asks here, and asks again in the instant
// before the request is sent: the first choice, a retry, a stream that goes on
// elsewhere.
#pragma once

#include "routing/instance_directory.hpp"
#include "routing/residency.hpp"
#include "routing/topology.hpp"
#include "routing/zone_drains.hpp"

#include <cstdint>
#include <string_view>

namespace heathtrestle::routing {

/// What keeps a request from a replica.
enum class exclusion : std::uint8_t {
  none,
  /// It drains, or has left.
  leaving,
  /// Its zone is drained.
  zone_drained,
  /// This process has not heard yet which zones are drained.
  drains_unknown,
  /// It lies outside the home regions of the request.
  outside_home,
  /// It has just started and has had all that it bears for now.
  warming_up,
};

std::string_view name_of(exclusion cause);

/// @return the first cause against it that lasts; `warming_up` passes by itself
/// and is decided elsewhere (`balance::slow_start`).
/// @param place of the request in the traffic of a zone that is being drained;
/// by default it has none, and a drained zone is closed to it.
exclusion exclusion_of(const instance &target, const residency &home,
                       const topology &places, const zone_drains &drains,
                       const drain_position &place = {});

} // namespace heathtrestle::routing
