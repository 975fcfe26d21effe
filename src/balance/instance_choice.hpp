// Which replica of a service gets a request: pure policies over a view.
//
// The load that a gateway sees is its own. Gateways of a zone spread alike and
// keep to their zone, so a replica's own requests in flight, times the number
// of gateways in the zone, stand for its load.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace heathtrestle::balance {

/// One replica that may take the request.
struct candidate {
  std::uint32_t in_flight = 0;
  std::uint32_t slots = 1;
  bool same_zone = false;
  /// It failed lately: taken only when no sound one is there.
  bool suspect = false;
  /// Time that it takes for an event, or an answer, relative to the fastest
  /// replica of the service; at least 1.
  double slowdown = 1;
  /// Tokens of the prompt that it would have to read. Engines only.
  std::uint64_t missing_tokens = 0;
  /// Rendezvous weight of the request's object; 0 when it has none.
  std::uint64_t affinity = 0;
};

/// What a request costs at an engine, in milliseconds. Measured on engines that
/// read about 270 tokens a millisecond and make one step in 1.1 to 1.6 ms.
struct engine_cost_options {
  /// Gateways of the zone: own requests count that many times.
  double gateways_in_zone = 2.5;
  double tokens_per_ms = 270;
  /// Time that one more running request costs each other one.
  double slowdown_per_request = 18;
  /// Time that a request waits when all slots are taken, a request ahead.
  double wait_per_queued = 30;
  /// What leaving the zone is taken to cost, bytes included.
  double leave_zone = 150;
};

struct plain_cost_options {
  double gateways = 8;
  /// Load, in shares of a replica's slots, that staying in the zone is worth.
  double zone_preference = 0.15;
  /// Load, in shares of a replica's slots, that a warm replica is worth.
  double home_preference = 0.3;
};

/// The cost of sending a request to an engine, in milliseconds of all requests
/// together: its own reading holds up those that run there.
double engine_cost(const candidate &each, const engine_cost_options &options);

/// The cost of sending a request to a plain replica, in shares of its slots.
/// @param is_home whether the replica is the one that the object hashes to.
double plain_cost(const candidate &each, bool is_home,
                  const plain_cost_options &options);

/// @param random breaks ties.
/// @return the index of the cheapest candidate; nothing when there is none.
std::optional<std::size_t> choose_engine(std::span<const candidate> candidates,
                                         std::uint64_t random,
                                         const engine_cost_options &options);
std::optional<std::size_t> choose_plain(std::span<const candidate> candidates,
                                        std::uint64_t random,
                                        const plain_cost_options &options);

/// The weight of an object at a replica, the same on every gateway.
std::uint64_t rendezvous_weight(std::string_view object,
                                std::string_view instance);

} // namespace heathtrestle::balance
