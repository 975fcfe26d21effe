#include "balance/instance_choice.hpp"

#include "base/ids.hpp"

#include <algorithm>
#include <limits>

namespace heathtrestle::balance {

namespace {

/// What taking a suspect costs: more than any load.
constexpr double suspect_penalty = 1000;

/// The candidate with the largest weight, of the own zone where one is there.
std::size_t home_of(std::span<const candidate> candidates) {
  std::size_t home = 0;
  for (std::size_t index = 1; index < candidates.size(); ++index) {
    const candidate &best = candidates[home];
    const candidate &other = candidates[index];
    const bool closer = other.same_zone && !best.same_zone;
    const bool as_close = other.same_zone == best.same_zone;
    if (closer || (as_close && other.affinity > best.affinity)) {
      home = index;
    }
  }
  return home;
}

double load_of(const candidate &each, double gateways) {
  const double slots = std::max<std::uint32_t>(each.slots, 1);
  const double in_flight = each.in_flight;
  return in_flight * gateways / slots * each.slowdown;
}

} // namespace

std::optional<std::size_t> choose(std::span<const candidate> candidates,
                                  bool sticky, std::uint64_t random,
                                  const choice_options &options) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  const std::size_t home = sticky ? home_of(candidates) : candidates.size();
  const std::size_t start = random % candidates.size();
  std::size_t best = start;
  double least = std::numeric_limits<double>::infinity();
  for (std::size_t step = 0; step < candidates.size(); ++step) {
    const std::size_t index = (start + step) % candidates.size();
    const candidate &each = candidates[index];
    double cost = load_of(each, options.gateways);
    cost += each.same_zone ? 0 : options.zone_preference;
    cost -= index == home ? options.home_preference : 0;
    cost += each.suspect ? suspect_penalty : 0;
    if (cost < least) {
      least = cost;
      best = index;
    }
  }
  return best;
}

std::uint64_t rendezvous_weight(std::string_view session,
                                std::string_view instance) {
  return stable_hash(instance, stable_hash(session));
}

} // namespace heathtrestle::balance
