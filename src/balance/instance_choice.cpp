#include "balance/instance_choice.hpp"

#include "base/ids.hpp"

#include <algorithm>
#include <limits>

namespace heathtrestle::balance {

namespace {

/// What taking a suspect costs: more than any load.
constexpr double suspect_penalty = 1e6;

/// The index of the least cost; the search starts at a random place, so that
/// equals are taken alike.
template <typename Cost>
std::optional<std::size_t> cheapest(std::span<const candidate> candidates,
                                    std::uint64_t random, Cost cost_of) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  const std::size_t start = random % candidates.size();
  std::size_t best = start;
  double least = std::numeric_limits<double>::infinity();
  for (std::size_t step = 0; step < candidates.size(); ++step) {
    const std::size_t index = (start + step) % candidates.size();
    const double penalty = candidates[index].suspect ? suspect_penalty : 0;
    const double cost = cost_of(index) + penalty;
    if (cost < least) {
      least = cost;
      best = index;
    }
  }
  return best;
}

/// The candidate with the largest weight, or none when no object was named.
std::size_t home_of(std::span<const candidate> candidates) {
  const auto largest =
      std::max_element(candidates.begin(), candidates.end(),
                       [](const candidate &left, const candidate &right) {
                         return left.affinity < right.affinity;
                       });
  const bool named = largest != candidates.end() && largest->affinity != 0;
  return named ? static_cast<std::size_t>(largest - candidates.begin())
               : candidates.size();
}

} // namespace

double engine_cost(const candidate &each,
                   const engine_choice_options &options) {
  const engine_costs &costs = options.costs;
  const double slots = std::max<std::uint32_t>(each.slots, 1);
  const double beside = std::min(each.running, slots);
  const double reading =
      static_cast<double>(each.missing_tokens) * costs.ms_per_token;
  // It waits for those that run, and they for it.
  const double sharing = 2 * costs.ms_per_running * beside;
  // With all slots taken, one frees itself each time a turn ends.
  const double queued = std::max(each.running - slots + 1, 0.0);
  const double queueing = queued * costs.turn_ms / slots;
  const double work = reading * (1 + beside) + sharing + queueing;
  const double leaving = options.zone_preference * costs.turn_ms;
  return work * each.slowdown + each.wait_ms + (each.same_zone ? 0 : leaving);
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
  return cheapest(candidates, random, [&](std::size_t index) {
    return engine_cost(candidates[index], options);
  });
}

std::optional<std::size_t> choose_plain(std::span<const candidate> candidates,
                                        std::uint64_t random,
                                        const plain_choice_options &options) {
  const std::size_t home = home_of(candidates);
  return cheapest(candidates, random, [&](std::size_t index) {
    return plain_cost(candidates[index], index == home, options);
  });
}

std::uint64_t rendezvous_weight(std::string_view object,
                                std::string_view instance) {
  return stable_hash(instance, stable_hash(object));
}

} // namespace heathtrestle::balance
