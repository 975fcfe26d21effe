// Budget reservations: an upper bound on the cost of a call, computed before
// the call runs so that a program never spends more than its budget.
#pragma once

#include "config/objects.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <optional>

namespace heathtrestle::programs {

struct reservation {
  std::uint64_t amount = 0;            // in micro-units of budget
  std::uint32_t max_output_tokens = 0; // limited by the budget
};

/// Returns an upper bound on the prompt tokens of a call that would be recorded
/// now. It includes the messages and answers of the agent's unfinished calls,
/// which will be part of the history when this call runs.
std::uint64_t prompt_token_bound(const wire::ProgramRecord &program,
                                 const wire::CallRequest &request,
                                 std::uint32_t minimum_bytes_per_token);

/// Computes the reservation of a chat call and lowers its output token limit to
/// what the remaining budget covers.
/// @param price in micro-units per token.
/// @return nothing when the budget does not cover the prompt and one output
/// token.
std::optional<reservation> reserve_chat(const wire::ProgramRecord &program,
                                        const wire::CallRequest &request,
                                        const config::model_object &model,
                                        std::uint64_t price);

/// Returns the cost of a finished chat call in micro-units.
/// @param price in micro-units per token.
std::uint64_t cost_of(const wire::Usage &usage, std::uint64_t price);

} // namespace heathtrestle::programs
