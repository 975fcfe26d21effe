// Checks the invariants of a simulated cluster: some during the run, the rest
// on its recorded observations and final state.
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
  liveness, // every program ends
};
inline constexpr std::size_t invariant_count = 11;

std::string_view name_of(invariant which);

struct verdict {
  std::vector<std::pair<invariant, std::string>> violations;
  [[nodiscard]] bool holds() const { return violations.empty(); }
  [[nodiscard]] bool violates(invariant which) const;
};

/// Checks during the run that configuration revisions never go back and reach
/// every node in time.
class configuration_monitor {
public:
  /// Reads the configuration revision of every reachable node; to be called at
  /// regular intervals.
  void sample(world &cluster);

  [[nodiscard]] const std::vector<std::string> &errors() const {
    return errors_;
  }

private:
  std::map<std::size_t, std::pair<std::uint64_t, std::uint64_t>> revisions_;
  std::map<std::size_t, microseconds> up_since_;
  std::vector<std::string> errors_;
};

/// Checks all invariants. Faults must be over and programs must have had time
/// to end.
verdict check(world &cluster,
              const std::vector<std::shared_ptr<caller>> &callers,
              const configuration_monitor &monitor);

} // namespace heathtrestle::sim
