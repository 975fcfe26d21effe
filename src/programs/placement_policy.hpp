// Placement policies: load-balancing strategies that choose the back end for a
// call. They keep no state and decide from the given candidates alone.
#pragma once

#include "effects/step.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heathtrestle::programs {

/// A back end that serves the requested model, as last reported to this node.
struct candidate {
  std::string name;
  std::string zone;
  std::uint32_t slots = 1;
  /// Requests running and waiting at its dispatcher, from the last reply of
  /// that dispatcher; possibly stale.
  std::uint32_t queue_length = 0;
};

/// The call to be placed.
struct placement_request {
  /// Back end whose prefix cache holds the agent's history, or empty.
  std::string affinity;
  /// Key that calls with a common prompt prefix share; hashed to a back end
  /// when `affinity` names none.
  std::string prefix_key;
  /// Length of the history in bytes, which another back end would have to
  /// prefill again.
  std::uint64_t history_bytes = 0;
  std::string zone;
};

class placement_policy {
public:
  placement_policy() = default;
  placement_policy(const placement_policy &) = delete;
  placement_policy &operator=(const placement_policy &) = delete;
  virtual ~placement_policy() = default;

  /// @param candidates at least one.
  /// @return the index of the chosen candidate.
  virtual std::size_t choose(const std::vector<candidate> &candidates,
                             const placement_request &request,
                             effects::step &step) const = 0;
};

/// Baseline: chooses uniformly at random.
class random_placement final : public placement_policy {
public:
  std::size_t choose(const std::vector<candidate> &candidates,
                     const placement_request &request,
                     effects::step &step) const override;
};

/// Baseline: chooses the lowest queue length per slot.
class least_loaded_placement final : public placement_policy {
public:
  std::size_t choose(const std::vector<candidate> &candidates,
                     const placement_request &request,
                     effects::step &step) const override;
};

/// Prefers the back end that holds the history or, without one, the back end
/// that the shared prefix hashes to. Falls back to the less loaded of two
/// random others when the preferred back end is overloaded in comparison.
class affinity_placement final : public placement_policy {
public:
  std::size_t choose(const std::vector<candidate> &candidates,
                     const placement_request &request,
                     effects::step &step) const override;
};

/// @param name "random", "least_loaded" or "affinity"; any other name selects
/// affinity.
const placement_policy &placement_policy_named(std::string_view name);

} // namespace heathtrestle::programs
