// Which replica of a service gets a request: a pure policy over a view.
//
// The load that a gateway sees is its own. Gateways spread alike, so a
// replica's own share of requests in flight, relative to its slots, stands for
// the whole. Sessions come back to the replica that is likely to keep their
// prompt, unless that one is markedly busier than another.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace heathtrestle::balance {

/// One replica that may take the request.
struct candidate {
  /// Rendezvous weight of the session at this replica; the largest is home.
  std::uint64_t affinity = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t slots = 1;
  bool same_zone = false;
  /// It failed lately: taken only when no sound one is there.
  bool suspect = false;
  /// Smoothed time to the head of an answer, relative to the fastest; at least
  /// 1, and 1 when unknown.
  double slowdown = 1;
};

struct choice_options {
  /// Gateways that share the replicas: own requests count that many times.
  double gateways = 2.5;
  /// Load, in shares of a replica's slots, that staying in the zone is worth.
  double zone_preference = 0.5;
  /// Load, in shares of a replica's slots, that a session's home is worth.
  double home_preference = 0.25;
};

/// @param sticky whether the session's home is preferred.
/// @param random breaks ties.
/// @return the index of the chosen candidate; nothing when there is none.
std::optional<std::size_t> choose(std::span<const candidate> candidates,
                                  bool sticky, std::uint64_t random,
                                  const choice_options &options);

/// The weight of `session` at `instance`, the same on every gateway.
std::uint64_t rendezvous_weight(std::string_view session,
                                std::string_view instance);

} // namespace heathtrestle::balance
