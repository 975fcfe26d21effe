// Runs a workload with injected faults on a simulated cluster, all generated
// from one seed, and checks the invariants at the end.
#pragma once

#include "sim/checker.hpp"
#include "sim/world.hpp"

#include <set>
#include <string>
#include <vector>

namespace heathtrestle::sim {

/// Kinds of fault that a scenario can inject.
enum class fault_kind : std::uint8_t {
  kill,        // a daemon dies and restarts without its state
  freeze,      // a daemon is suspended and resumes with its old state
  cut_one_way, // messages from one daemon to another are lost
  cut_both_ways,
  zone_loss, // all daemons of a zone die
  zone_cut,  // a zone is cut off from the others
  platform_down,
  platform_lost_answers,
  engine_death,
  tool_hang,
  planned_stop, // a daemon drains, stops and restarts
  backend_drain,
  configuration_race, // concurrent writes to one object
};
inline constexpr std::size_t fault_kind_count = 13;

std::string_view name_of(fault_kind which);
std::optional<fault_kind> fault_named(std::string_view name);
std::set<fault_kind> all_faults();

struct scenario_options {
  world_options world;
  bench::workload_options workload;
  caller_options callers;
  std::set<fault_kind> faults;
  std::uint32_t fault_count = 6;
  microseconds warm_up = 8 * per_second;
  /// Faults are injected within this time after the warm-up.
  microseconds fault_span = 40 * per_second;
  /// Time without new faults before the check.
  microseconds rest = 120 * per_second;
  /// Additional time granted while programs have not ended.
  microseconds longest_extension = 300 * per_second;
  /// Actions in one step of the clock above which the run counts as a livelock.
  std::uint64_t action_limit = 3000000;
  /// File for the trace of `recorded_node`; empty: none.
  std::string record;
  std::size_t recorded_node = 0;
  /// A program whose replicas are described at the end; empty: none.
  std::string show;
};

struct scenario_result {
  verdict judged;
  std::vector<std::string>
      faults; // description and time of each injected fault
  std::uint64_t programs = 0;
  std::uint64_t finished = 0;
  std::uint64_t engine_starts = 0;
  std::uint64_t answers = 0;
  std::vector<std::string> shown;
};

/// The defaults for a run with all kinds of faults.
scenario_options standard_scenario(std::uint64_t seed);

scenario_result run_scenario(const scenario_options &options);

} // namespace heathtrestle::sim
