// Outcomes stated for a trace, and whether a replay shows them.
#pragma once

#include "base/error.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace heathtrestle::replay {

/// What happens to be counted.
enum class outcome_kind : std::uint8_t {
  calls_completed,     // replies to callers with a completed call
  calls_not_run,       // replies that say "not run"
  calls_unknown,       // replies that say that the outcome is unknown
  tools_started,       // orders that may start a tool
  tools_started_twice, // unrepeatable invocations with two such orders
  generations_started, // orders that may start a generation
  generations_resumed, // orders that may only resume one
  leaderships_gained,
  calls_resumed, // taken up by a new leader
  calls_stalled,
  memory_releases,   // orders to return engine memory
  effects_differing, // effects that the replay did not reproduce

};

struct stated_outcome {
  outcome_kind kind = outcome_kind::calls_completed;
  std::uint64_t least = 0;
  std::uint64_t most = 0;
};

/// Reads `name = N` or `name = [LEAST, MOST]` from a TOML file.
result<std::vector<stated_outcome>> read_outcomes(const std::string &path);

/// Runs a trace through the reducer and counts.
/// @param trace as `read_trace` returned it.
std::vector<std::uint64_t>
replay_and_count(const std::vector<wire::TraceRecord> &trace);

std::string_view name_of(outcome_kind kind);

} // namespace heathtrestle::replay
