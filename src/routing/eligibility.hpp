// Decides whether a replica is eligible for a request, before load balancing
// selects one. Checked for the first attempt, for retries and for resumed
// streams, and again immediately before the request is sent.
#pragma once

#include "routing/instance_directory.hpp"
#include "routing/residency.hpp"
#include "routing/topology.hpp"
#include "routing/zone_drains.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace heathtrestle::routing {

/// Reason why a replica is not eligible.
enum class exclusion : std::uint8_t {
  none,
  /// The replica is draining or no longer listed.
  leaving,
  /// The replica's zone is drained.
  zone_drained,
  /// This process has not yet received the list of drained zones.
  drains_unknown,
  /// The replica is outside the home regions of the request.
  outside_home,
  /// The replica runs another software version than the stream requires.
  other_version,
  /// Too many replicas have crashed under the request.
  crash_limit,
  /// The replica is in slow start and has no free admission.
  warming_up,
};

std::string_view name_of(exclusion cause);

/// Checks the reasons that apply to all replicas of a zone alike.
/// @return the first reason found, or `none`.
exclusion zone_exclusion(const std::string &zone, const residency &home,
                         const topology &places, const zone_drains &drains,
                         const drain_position &place);

/// Checks the lasting reasons. `warming_up` is temporary and decided by
/// `balance::slow_start`.
/// @param place position of the request in the gradual drain of a zone; by
/// default none, so that a drained zone is excluded.
/// @return the first reason found, or `none`.
exclusion exclusion_of(const instance &target, const residency &home,
                       const topology &places, const zone_drains &drains,
                       const drain_position &place = {});

} // namespace heathtrestle::routing
