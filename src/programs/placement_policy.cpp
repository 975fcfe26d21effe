#include "programs/placement_policy.hpp"

#include "base/ids.hpp"

#include <algorithm>
#include <optional>

namespace heathtrestle::programs {

namespace {

/// The preferred back end is overloaded when its relative load exceeds
/// `affinity_load_limit` and the alternative's relative load is below
/// `alternative_load_ratio` times that of the preferred one.
constexpr double affinity_load_limit = 1.5;
constexpr double alternative_load_ratio = 0.5;

/// Queue length per slot.
double relative_load(const candidate &candidate) {
  return static_cast<double>(candidate.queue_length) /
         static_cast<double>(std::max<std::uint32_t>(1, candidate.slots));
}

std::optional<std::size_t> index_of(const std::vector<candidate> &candidates,
                                    const std::string &name) {
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    if (candidates[index].name == name) {
      return index;
    }
  }
  return std::nullopt;
}

/// Rendezvous hashing: removing a candidate moves only the keys that it had.
std::size_t choose_by_rendezvous_hash(const std::vector<candidate> &candidates,
                                      const std::string &key) {
  std::size_t best = 0;
  std::uint64_t best_weight = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const std::uint64_t weight =
        stable_hash(candidates[index].name, stable_hash(key));
    if (weight >= best_weight) {
      best_weight = weight;
      best = index;
    }
  }
  return best;
}

/// Power of two choices: returns the less loaded of two candidates drawn at
/// random with replacement, neither of them `excluded`.
/// @param candidates must hold at least one that is not excluded.
std::size_t less_loaded_of_two(const std::vector<candidate> &candidates,
                               std::optional<std::size_t> excluded,
                               effects::step &step) {
  const auto draw = [&] {
    const std::size_t choices =
        candidates.size() - (excluded.has_value() ? 1 : 0);
    const std::size_t drawn = step.draw_below(choices);
    return excluded.has_value() && drawn >= *excluded ? drawn + 1 : drawn;
  };
  const std::size_t first = draw();
  const std::size_t second = draw();
  const bool first_is_better =
      relative_load(candidates[first]) <= relative_load(candidates[second]);
  return first_is_better ? first : second;
}

} // namespace

std::size_t random_placement::choose(const std::vector<candidate> &candidates,
                                     const placement_request & /*request*/,
                                     effects::step &step) const {
  return step.draw_below(candidates.size());
}

std::size_t
least_loaded_placement::choose(const std::vector<candidate> &candidates,
                               const placement_request & /*request*/,
                               effects::step & /*step*/) const {
  const auto least =
      std::min_element(candidates.begin(), candidates.end(),
                       [](const candidate &left, const candidate &right) {
                         return relative_load(left) < relative_load(right);
                       });
  return static_cast<std::size_t>(least - candidates.begin());
}

std::size_t affinity_placement::choose(const std::vector<candidate> &candidates,
                                       const placement_request &request,
                                       effects::step &step) const {
  std::optional<std::size_t> preferred = index_of(candidates, request.affinity);
  if (!preferred.has_value() && !request.prefix_key.empty()) {
    preferred = choose_by_rendezvous_hash(candidates, request.prefix_key);
  }
  if (!preferred.has_value()) {
    return less_loaded_of_two(candidates, std::nullopt, step);
  }
  if (candidates.size() == 1) {
    return *preferred;
  }
  const std::size_t other = less_loaded_of_two(candidates, preferred, step);
  const double preferred_load = relative_load(candidates[*preferred]);
  const double other_load = relative_load(candidates[other]);
  const bool overloaded = preferred_load > affinity_load_limit &&
                          other_load < preferred_load * alternative_load_ratio;
  return overloaded ? other : *preferred;
}

const placement_policy &placement_policy_named(std::string_view name) {
  static const random_placement random;
  static const least_loaded_placement least_loaded;
  static const affinity_placement affinity;
  if (name == "random") {
    return random;
  }
  if (name == "least_loaded") {
    return least_loaded;
  }
  return affinity;
}

} // namespace heathtrestle::programs
