// The answer of the stand-in engine: a function of the whole prompt, so that
// an answer that was crossed, cut or mixed with another can be told.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace heathtrestle::stand_ins {

inline constexpr std::uint32_t bytes_per_token = 4;

/// Tokens of a prompt as the stand-in counts them.
std::uint64_t count_tokens(const std::string &text);

/// The answer to a conversation.
/// @param messages canonical JSON, one each.
/// @param max_tokens upper limit on its length.
std::string expected_answer(const std::vector<std::string> &messages,
                            std::uint32_t max_tokens);

/// An assistant's message with that answer, as canonical JSON.
std::string assistant_message(const std::string &answer);

} // namespace heathtrestle::stand_ins
