// Deterministic answers of the stand-in engine. An answer depends on the whole
// prompt, so that tests detect swapped, truncated or interleaved answers.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace heathtrestle::stand_ins {

inline constexpr std::uint32_t bytes_per_token = 4;

/// Estimates tokens from the length: `bytes_per_token` each, rounded up.
std::uint64_t count_tokens(const std::string &text);

/// Computes the answer to a conversation.
/// @param messages the messages, each as canonical JSON.
/// @param max_tokens upper limit on the length of the answer.
std::string expected_answer(const std::vector<std::string> &messages,
                            std::uint32_t max_tokens);

/// Formats the answer as an assistant message in canonical JSON.
std::string assistant_message(const std::string &answer);

} // namespace heathtrestle::stand_ins
