// A simulated run: a cluster, a workload and a plan of faults, all from one
// seed, judged at the end.
#pragma once

#include "sim/checker.hpp"
#include "sim/world.hpp"

#include <set>
#include <string>
#include <vector>

namespace heathtrestle::sim {

/// Kinds of fault that a scenario may draw from.
enum class fault_kind : std::uint8_t {
  kill,        // a daemon dies and starts again, having forgotten all
  freeze,      // a daemon stands still and wakes believing as before
  cut_one_way, // one daemon's messages to another are lost
  cut_both_ways,
  zone_loss, // all daemons of a zone die
  zone_cut,  // a zone is cut off from the others
  platform_down,
  platform_lost_answers,
  engine_death,
  tool_hang,
  planned_stop, // a daemon is stopped in good order and started again
  backend_drain,
  configuration_race, // operators change the same objects
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
  /// Faults fall within this time after the warm-up.
  microseconds fault_span = 40 * per_second;
  /// Time given to come to rest after the last fault.
  microseconds rest = 120 * per_second;
  /// Longer programs are given up to this much more time to end.
  microseconds longest_extension = 300 * per_second;
  /// Actions after which a run counts as one that does not come to rest.
  std::uint64_t action_limit = 3000000;
  /// Where the trace of `recorded_node` is written; empty: nowhere.
  std::string record;
  std::size_t recorded_node = 0;
  /// A program whose replicas are described at the end; empty: none.
  std::string show;
};

struct scenario_result {
  verdict judged;
  std::vector<std::string> faults; // what was done, and when
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
