#include "balance/instance_choice.hpp"

#include "base/ids.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <vector>

namespace heathtrestle::balance {

namespace {

/// Cost added to a suspect replica; exceeds the cost of any load.
constexpr double suspect_penalty = 1e6;
/// Number of random draws among equivalent engines, of which the cheapest is
/// taken. Their costs differ mostly by this gateway's own requests, which other
/// gateways do not act on, so picking the cheaper one causes no herding. A
/// third draw gains nothing: at 60 engines 0.062 of the turns queue with three,
/// 0.060 with two.
constexpr std::size_t draws_among_equivalent = 2;

/// The index of the lowest cost. The search starts at a random index, so that
/// ties are broken evenly.
template <typename Cost>
std::optional<std::size_t> cheapest(std::span<const candidate> candidates,
                                    std::uint64_t random, Cost cost_of) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  const std::size_t start = random % candidates.size();
  std::size_t best = start;
  double lowest = std::numeric_limits<double>::infinity();
  for (std::size_t step = 0; step < candidates.size(); ++step) {
    const std::size_t index = (start + step) % candidates.size();
    const double penalty = candidates[index].suspect ? suspect_penalty : 0;
    const double cost = cost_of(index) + penalty;
    if (cost < lowest) {
      lowest = cost;
      best = index;
    }
  }
  return best;
}

/// The candidate with the largest rendezvous weight; `candidates.size()` if the
/// request has no object.
std::size_t home_index(std::span<const candidate> candidates) {
  const auto largest =
      std::max_element(candidates.begin(), candidates.end(),
                       [](const candidate &left, const candidate &right) {
                         return left.affinity < right.affinity;
                       });
  const bool named = largest != candidates.end() && largest->affinity != 0;
  return named ? static_cast<std::size_t>(largest - candidates.begin())
               : candidates.size();
}

/// Uncertainty of the cost that follows from that of the load.
double cost_spread(candidate each, const engine_choice_options &options) {
  const double expected = engine_cost(each, options);
  each.running += each.running_spread;
  return engine_cost(each, options) - expected;
}

/// The engines whose cost is within the uncertainty of the cheapest one's.
std::vector<std::size_t>
equivalent_engines(std::span<const candidate> candidates,
                   std::span<const double> costs,
                   const engine_choice_options &options) {
  const auto lowest = std::min_element(costs.begin(), costs.end());
  const candidate &cheapest_engine = candidates[static_cast<std::size_t>(
      std::distance(costs.begin(), lowest))];
  const double most = *lowest + cost_spread(cheapest_engine, options);
  std::vector<std::size_t> equivalent;
  for (std::size_t index = 0; index < costs.size(); ++index) {
    if (costs[index] <= most) {
      equivalent.push_back(index);
    }
  }
  return equivalent;
}

/// The next number of a splitmix64 sequence.
std::uint64_t next_random(std::uint64_t number) {
  number += 0x9e3779b97f4a7c15U;
  number = (number ^ (number >> 30U)) * 0xbf58476d1ce4e5b9U;
  number = (number ^ (number >> 27U)) * 0x94d049bb133111ebU;
  return number ^ (number >> 31U);
}

/// Draws an engine at random in proportion to the draw weights.
std::size_t draw_weighted(std::span<const candidate> candidates,
                          const std::vector<std::size_t> &engines,
                          std::uint64_t random) {
  double sum = 0;
  for (const std::size_t index : engines) {
    sum += candidates[index].draw_weight;
  }
  if (sum <= 0) {
    return engines[random % engines.size()];
  }
  constexpr double two_to_53 = 9007199254740992.0;
  constexpr unsigned unused_bits = 11;
  double left = sum * static_cast<double>(random >> unused_bits) / two_to_53;
  for (const std::size_t index : engines) {
    left -= candidates[index].draw_weight;
    if (left < 0) {
      return index;
    }
  }
  return engines.back();
}

} // namespace

double engine_cost(const candidate &each,
                   const engine_choice_options &options) {
  const engine_costs &costs = options.costs;
  const double slots = std::max<std::uint32_t>(each.slots, 1);
  const double concurrent = std::min(each.running, slots);
  const double prefill =
      static_cast<double>(each.missing_tokens) * costs.ms_per_token;
  // The request delays the running ones and is delayed by them.
  const double sharing = 2 * costs.ms_per_running * concurrent;
  // With all slots occupied, one becomes free each time a turn ends.
  const double queued = std::max(each.running - slots + 1, 0.0);
  const double queueing = queued * costs.turn_ms / slots;
  const double work = prefill * (1 + concurrent) + sharing + queueing;
  const double zone_penalty = options.zone_preference * costs.turn_ms;
  return work * each.slowdown + each.wait_ms +
         (each.same_zone ? 0 : zone_penalty);
}

double plain_cost(const candidate &each, bool is_home,
                  const plain_choice_options &options) {
  const double slots = std::max<std::uint32_t>(each.slots, 1);
  const double preference =
      (each.same_zone ? options.zone_preference : 0) +
      (is_home ? options.home_preference : 0) +
      (each.connected ? options.connection_preference : 0);
  return (each.running * each.slowdown - preference) / slots;
}

std::optional<std::size_t> choose_engine(std::span<const candidate> candidates,
                                         std::uint64_t random,
                                         const engine_choice_options &options) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::vector<double> costs;
  costs.reserve(candidates.size());
  for (const candidate &each : candidates) {
    costs.push_back(engine_cost(each, options) +
                    (each.suspect ? suspect_penalty : 0));
  }
  const std::vector<std::size_t> equivalent =
      equivalent_engines(candidates, costs, options);
  std::size_t drawn = draw_weighted(candidates, equivalent, random);
  for (std::size_t draw = 1; draw < draws_among_equivalent; ++draw) {
    random = next_random(random);
    const std::size_t other = draw_weighted(candidates, equivalent, random);
    drawn = costs[other] < costs[drawn] ? other : drawn;
  }
  std::size_t best = drawn;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const bool more_cached =
        candidates[index].missing_tokens < candidates[drawn].missing_tokens;
    best = more_cached && costs[index] < costs[best] ? index : best;
  }
  return best;
}

std::optional<std::size_t> choose_plain(std::span<const candidate> candidates,
                                        std::uint64_t random,
                                        const plain_choice_options &options) {
  const std::size_t home = home_index(candidates);
  return cheapest(candidates, random, [&](std::size_t index) {
    return plain_cost(candidates[index], index == home, options);
  });
}

std::optional<std::size_t>
choose_least_loaded(std::span<const candidate> candidates,
                    std::uint64_t random) {
  return cheapest(candidates, random, [&candidates](std::size_t index) {
    return candidates[index].running;
  });
}

std::uint64_t rendezvous_weight(std::string_view object,
                                std::string_view instance) {
  return stable_hash(instance, stable_hash(object));
}

} // namespace heathtrestle::balance
