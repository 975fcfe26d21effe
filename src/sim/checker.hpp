// Judges a finished simulation by the points that must always hold.
#pragma once

#include "sim/caller.hpp"
#include "sim/world.hpp"

#include <memory>
#include <string>
#include <vector>

namespace heathtrestle::sim {

enum class invariant : std::uint8_t {
  order,
  history,
  budget,
  memory,
  whole_answer,
  not_run,
  at_most_once,
  leaving_backend,
  planned_stop,
  configuration,
  liveness, // every program came to its end
};
inline constexpr std::size_t invariant_count = 11;

std::string_view name_of(invariant which);

struct verdict {
  std::vector<std::pair<invariant, std::string>> violations;
  [[nodiscard]] bool holds() const { return violations.empty(); }
  [[nodiscard]] bool violates(invariant which) const;
};

/// What the checker watches while the simulation runs.
class watcher {
public:
  /// Called now and then: follows the configuration on every node.
  void sample(world &cluster);

  [[nodiscard]] const std::vector<std::string> &complaints() const {
    return complaints_;
  }

private:
  std::map<std::size_t, std::pair<std::uint64_t, std::uint64_t>> revisions_;
  std::map<std::size_t, microseconds> up_since_;
  std::vector<std::string> complaints_;
};

/// To be called when the run was given time to come to rest.
verdict check(world &cluster,
              const std::vector<std::shared_ptr<caller>> &callers,
              const watcher &watched);

} // namespace heathtrestle::sim
