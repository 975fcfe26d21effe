// Replays a trace and counts its outcomes, and reads the counts expected.
#pragma once

#include "base/error.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace heathtrestle::replay {

/// Kinds of outcome counted in a replay.
enum class outcome_kind : std::uint8_t {
  calls_completed,     // replies to callers with a completed call
  calls_not_run,       // replies with a failure marked as not run
  calls_unknown,       // replies with any other failure
  tools_started,       // invocations sent that may start a tool
  tools_started_twice, // invocations with repeated permission to start
  generations_started, // engine requests that may start one
  generations_resumed, // engine requests that may only resume one
  leaderships_gained,
  calls_resumed, // continued by a new leader
  calls_stalled,
  memory_releases,   // requests to release engine memory
  effects_differing, // recorded and replayed effects that differ

};

/// Inclusive range of the count expected of one kind of outcome.
struct expected_outcome {
  outcome_kind kind = outcome_kind::calls_completed;
  std::uint64_t least = 0;
  std::uint64_t most = 0;
};

/// Reads expected outcomes, each `name = N` or `name = [LEAST, MOST]` from a
/// TOML file.
result<std::vector<expected_outcome>> read_outcomes(const std::string &path);

/// Runs the events of a trace through a new reducer and counts the outcomes.
/// @param trace begins with a header, as returned by `read_trace`.
/// @return the counts, indexed by `outcome_kind`.
std::vector<std::uint64_t>
replay_and_count(const std::vector<wire::TraceRecord> &trace);

std::string_view name_of(outcome_kind kind);

} // namespace heathtrestle::replay
