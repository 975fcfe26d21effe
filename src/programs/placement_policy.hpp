// Which back end gets a call: pure policies over a view of the back ends.
#pragma once

#include "effects/step.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heathtrestle::programs {

/// A back end that could take the call, as this node last heard of it.
struct candidate {
  std::string name;
  std::string zone;
  std::uint32_t slots = 1;
  /// Requests running and waiting at its dispatcher, possibly out of date.
  std::uint32_t queue_length = 0;
};

/// The call to be placed.
struct placement_request {
  /// Back end that holds the prefix cache of the call's history, or empty.
  std::string affinity;
  /// Names calls with a shared prefix, for those without a history.
  std::string prefix_key;
  /// Length of the history in bytes: what would have to be prefilled again.
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

/// Baseline: any back end.
class random_placement final : public placement_policy {
public:
  std::size_t choose(const std::vector<candidate> &candidates,
                     const placement_request &request,
                     effects::step &step) const override;
};

/// Baseline: the shortest queue for its slots.
class least_loaded_placement final : public placement_policy {
public:
  std::size_t choose(const std::vector<candidate> &candidates,
                     const placement_request &request,
                     effects::step &step) const override;
};

/// The back end that holds the history unless its queue is long against the
/// better of two random others; without a history, the one the shared prefix
/// hashes to under the same condition.
class affinity_placement final : public placement_policy {
public:
  std::size_t choose(const std::vector<candidate> &candidates,
                     const placement_request &request,
                     effects::step &step) const override;
};

/// @param name "random", "least_loaded" or "affinity"; any other name gives
/// the last.
const placement_policy &placement_policy_named(std::string_view name);

} // namespace heathtrestle::programs
