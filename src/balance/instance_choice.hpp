// Load balancing policies: select the replica of a service that receives a
// request. Pure functions over a snapshot of the candidates.
#pragma once

#include "balance/engine_cost_model.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace heathtrestle::balance {

/// One replica that is eligible for the request.
struct candidate {
  /// Estimated running requests of all gateways.
  double running = 0;
  /// Standard deviation of `running`; grows with the age of the load reports.
  /// Engines only.
  double running_spread = 0;
  /// Weight of the random draw among engines of equivalent cost. Engines only.
  double draw_weight = 1;
  std::uint32_t slots = 1;
  bool same_zone = false;
  /// It failed recently: selected only if no healthy candidate is left.
  bool suspect = false;
  /// Response time relative to the average of its service.
  double slowdown = 1;
  /// Recent delay of first events beyond what its load explains, in
  /// milliseconds. Engines only.
  double wait_ms = 0;
  /// Prompt tokens missing from its prefix cache. Engines only.
  std::uint64_t missing_tokens = 0;
  /// An idle pooled connection to it exists. Plain replicas only.
  bool connected = false;
  /// Rendezvous weight of the request's object; 0 when it has none.
  std::uint64_t affinity = 0;
};

struct engine_choice_options {
  engine_costs costs;
  /// Cost of leaving the zone, as a fraction of a typical turn: traffic between
  /// zones is billed, and a zone may become unreachable.
  double zone_preference = 0.1;
};

/// Preferences among plain replicas, in units of one in-flight request.
/// Together they are below 1, so they only break ties in load. A gateway knows
/// no load of plain replicas other than its own requests.
struct plain_choice_options {
  double zone_preference = 0.12;
  /// For the replica that the object hashes to, which may have it cached.
  double home_preference = 0.24;
  /// For a replica with an idle pooled connection.
  double connection_preference = 0.04;
};

/// The cost of sending a request to an engine: milliseconds of delay, summed
/// over this request and the running ones that its prefill holds up.
double engine_cost(const candidate &each, const engine_choice_options &options);

/// The cost of sending a request to a plain replica, in requests per slot.
/// @param is_home whether the replica is the one that the object hashes to.
double plain_cost(const candidate &each, bool is_home,
                  const plain_choice_options &options);

/// Chooses an engine by stale load reports that all gateways share. If every
/// gateway took the cheapest engine of its copy, all would herd to the same one
/// until the next report. Engines whose costs differ by less than the
/// uncertainty of the loads are therefore treated as equivalent, and the
/// cheaper of two random draws among them is taken. An engine that has more of
/// the prompt cached than the drawn one replaces it if it is cheaper: this
/// differs between requests, so it causes no herding.
/// @param random 64 random bits that seed the draws.
/// @return the index of the chosen candidate; nothing if there are none.
std::optional<std::size_t> choose_engine(std::span<const candidate> candidates,
                                         std::uint64_t random,
                                         const engine_choice_options &options);
/// Chooses the plain replica of the lowest cost.
/// @param random breaks ties.
/// @return the index of the cheapest candidate; nothing if there are none.
std::optional<std::size_t> choose_plain(std::span<const candidate> candidates,
                                        std::uint64_t random,
                                        const plain_choice_options &options);

/// Chooses the replica with the fewest running requests.
/// @param random breaks ties.
/// @return the index of the chosen candidate; nothing if there are none.
std::optional<std::size_t>
choose_least_loaded(std::span<const candidate> candidates,
                    std::uint64_t random);

/// Rendezvous hashing weight of an object at a replica; equal on all gateways.
std::uint64_t rendezvous_weight(std::string_view object,
                                std::string_view instance);

} // namespace heathtrestle::balance
