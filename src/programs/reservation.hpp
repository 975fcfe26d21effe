// How much of a program's budget a call may cost at most, computed before it
// runs, so that the budget holds whatever the engine does.
#pragma once

#include "config/objects.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <optional>

namespace heathtrestle::programs {

struct reservation {
  std::uint64_t amount = 0;            // micro-units
  std::uint32_t max_output_tokens = 0; // clamped to what the budget allows
};

/// An upper bound on the prompt tokens of a call that is recorded now, the
/// answers of unfinished earlier calls of its agent included.
std::uint64_t prompt_token_bound(const wire::ProgramRecord &program,
                                 const wire::CallRequest &request,
                                 std::uint32_t minimum_bytes_per_token);

/// @param price micro-units a token.
/// @return nothing when the budget does not allow even one output token.
std::optional<reservation> reserve_chat(const wire::ProgramRecord &program,
                                        const wire::CallRequest &request,
                                        const config::model_object &model,
                                        std::uint64_t price);

/// What a finished chat call costs.
std::uint64_t cost_of(const wire::Usage &usage, std::uint64_t price);

} // namespace heathtrestle::programs
