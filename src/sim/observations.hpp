// Events of a simulation recorded outside the daemons: engine starts, tool
// runs, answers and accepted changes. The checker verifies invariants on them.
#pragma once

#include "sim/virtual_clock.hpp"
#include "stand_ins/engine/prefix_cache.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace heathtrestle::sim {

/// A generation started by an engine.
struct engine_start {
  microseconds when = 0;
  std::string backend;
  std::string engine_request; // program/key/attempt
};

/// A reply to a call as its caller received it: an answer, or a failure, which
/// the caller may retry.
struct final_answer {
  std::string program;
  std::string key;
  std::string agent;
  bool unrepeatable = false;
  bool tool = false;
  bool completed = false;
  wire::RanStatus ran = wire::RAN_NOT_RUN; // of failures
  std::string code;
  std::string text;
  std::string expected; // of completed calls
};

struct observations {
  /// Every prefix that any engine has cached, without eviction.
  stand_ins::prefix_cache ever_cached{std::numeric_limits<std::size_t>::max()};
  std::vector<engine_start> engine_starts;
  std::map<std::string, std::uint32_t> tool_runs; // by program/key
  std::vector<final_answer> answers;
  std::map<std::string, microseconds> drains_accepted; // by back end
  /// Revision and time of each accepted configuration change.
  std::vector<std::pair<std::uint64_t, microseconds>> changes_accepted;
  std::vector<std::string> errors; // unexpected replies to callers
  std::uint64_t cut_by_planned_stop = 0;
  std::uint64_t programs_finished = 0;
  std::uint64_t programs_started = 0;
  std::vector<double> latencies_ms;
};

} // namespace heathtrestle::sim
