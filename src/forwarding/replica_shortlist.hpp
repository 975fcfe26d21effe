// Selects the replicas of a large service that a choice compares, so that the
// cost of a choice does not depend on the size of the service.
//
// The order of preference is the walk of a hash ring and the same on all
// gateways (consistent hashing with bounded loads; Mirrokni, Thorup,
// Zadimoghaddam, 2018): requests with the same key meet in a few replicas,
// whose caches hold what the key stands for, and go on to the next replicas
// when these are busy or fail. Pure functions over the directory; the caller
// decides what makes a replica suitable.
#pragma once

#include "routing/replica_ring.hpp"
#include "routing/topology.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace heathtrestle::forwarding {

struct shortlist_options {
  /// A service with at most this many replicas is compared as a whole.
  std::size_t whole_up_to = 128;
  /// Free replicas that are looked for in the nearest zone.
  std::size_t window = 16;
  /// Free replicas that are looked for in one more zone.
  std::size_t elsewhere = 4;
  /// Replicas that are examined at most for each free one that is looked for.
  std::size_t examined_per_wanted = 4;
  /// A replica is free while less than this share of its slots is in use.
  double free_share = 0.5;
};

/// What became of a replica that was offered as a candidate.
enum class offer_result : std::uint8_t { unsuitable, busy, free };

using offer_replica =
    std::function<offer_result(const routing::instance_ptr &)>;

/// What a window of replicas had to offer.
struct window_result {
  std::size_t suitable = 0;
  std::size_t free = 0;
};

/// Offers the replicas that follow `key` until `wanted` of them are free.
window_result offer_window(const routing::replica_ring &ring, std::uint64_t key,
                           std::size_t wanted, const shortlist_options &options,
                           const offer_replica &offer);

/// A zone with replicas of the service.
struct zone_ring {
  std::string_view zone;
  const routing::replica_ring *ring = nullptr;
};

/// Sorts the zones of a service by their distance from this gateway. Zones at
/// equal distance are in an order that differs between gateways.
/// @param gateway hash of the gateway's name.
std::vector<zone_ring>
zones_by_distance(const std::map<std::string, routing::replica_ring> &rings,
                  const routing::topology &places, std::uint64_t gateway);

/// Offers a window of the nearest zone with suitable replicas and a smaller one
/// of the next, and goes on to further zones while too few free replicas were
/// found.
void offer_nearest(const std::vector<zone_ring> &zones, std::uint64_t key,
                   const shortlist_options &options,
                   const offer_replica &offer);

/// The number of windows over which the requests with one key are spread, so
/// that a window has free replicas at the reported load.
/// @param running requests at all replicas of the service.
/// @param slots of one replica.
/// @param zones with replicas of the service.
std::uint64_t window_count(double running, std::uint32_t slots,
                           std::size_t zones, const shortlist_options &options);

/// The position on the ring of one of the windows of a key.
std::uint64_t window_key(std::uint64_t key, std::uint64_t window);

} // namespace heathtrestle::forwarding
