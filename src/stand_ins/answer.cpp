#include "stand_ins/answer.hpp"

#include "base/ids.hpp"

#include <algorithm>

#include <boost/json.hpp>
#include <fmt/format.h>

namespace heathtrestle::stand_ins {

namespace {

constexpr std::uint32_t shortest_answer = 12;
constexpr std::uint32_t answer_spread = 48;
constexpr std::uint64_t token_values = 0x1000;

} // namespace

std::uint64_t count_tokens(const std::string &text) {
  return (text.size() + bytes_per_token - 1) / bytes_per_token;
}

std::string expected_answer(const std::vector<std::string> &messages,
                            std::uint32_t max_tokens) {
  std::uint64_t digest = 0;
  for (const std::string &message : messages) {
    digest = stable_hash(message, digest);
  }
  const auto wanted =
      static_cast<std::uint32_t>(shortest_answer + digest % answer_spread);
  const std::uint32_t length = std::min(wanted, max_tokens);
  std::string text;
  for (std::uint32_t position = 0; position < length; ++position) {
    const std::uint64_t token =
        stable_hash(std::to_string(position), digest) % token_values;
    text += fmt::format("{:03x} ", token);
  }
  return text;
}

std::string assistant_message(const std::string &answer) {
  boost::json::object message;
  message["content"] = answer;
  message["role"] = "assistant";
  return boost::json::serialize(message);
}

} // namespace heathtrestle::stand_ins
