#include "programs/reservation.hpp"

#include "programs/program_store.hpp"

#include <algorithm>
#include <limits>

namespace heathtrestle::programs {

namespace {

/// Upper bound on the tokens that the framing of an assistant message adds to
/// its text.
constexpr std::uint64_t message_framing_tokens = 40;

/// Upper bound on the tokens in a text of `bytes` bytes, rounded up.
std::uint64_t tokens_in(std::uint64_t bytes, std::uint32_t bytes_per_token) {
  return (bytes + bytes_per_token - 1) / bytes_per_token;
}

template <typename Messages>
std::uint64_t token_bound(const Messages &messages,
                          std::uint32_t bytes_per_token) {
  std::uint64_t tokens = 0;
  for (const std::string &message : messages) {
    tokens += tokens_in(message.size(), bytes_per_token);
  }
  return tokens;
}

} // namespace

std::uint64_t prompt_token_bound(const wire::ProgramRecord &program,
                                 const wire::CallRequest &request,
                                 std::uint32_t minimum_bytes_per_token) {
  std::uint64_t tokens =
      token_bound(request.messages(), minimum_bytes_per_token);
  const wire::AgentRecord *agent = find_agent(program, request.agent());
  if (agent != nullptr && request.history_mode() != wire::HISTORY_REPLACE) {
    tokens += token_bound(agent->history(), minimum_bytes_per_token);
  }
  for (const wire::CallRecord &call : program.calls()) {
    const bool comes_before =
        call.request().agent() == request.agent() && !is_final(call.state());
    if (comes_before) {
      tokens += token_bound(call.request().messages(), minimum_bytes_per_token);
      tokens += call.request().max_output_tokens() + message_framing_tokens;
    }
  }
  return tokens;
}

std::optional<reservation> reserve_chat(const wire::ProgramRecord &program,
                                        const wire::CallRequest &request,
                                        const config::model_object &model,
                                        std::uint64_t price) {
  std::uint32_t wanted = request.max_output_tokens() > 0
                             ? request.max_output_tokens()
                             : model.default_output_tokens;
  if (price == 0) {
    return reservation{.amount = 0, .max_output_tokens = wanted};
  }
  const std::uint64_t committed = program.spent() + program.reserved();
  const std::uint64_t left =
      program.budget() > committed ? program.budget() - committed : 0;
  const std::uint64_t affordable = left / price;
  const std::uint64_t prompt =
      prompt_token_bound(program, request, model.minimum_bytes_per_token);
  if (affordable <= prompt) {
    return std::nullopt;
  }
  const std::uint64_t output =
      std::min<std::uint64_t>(wanted, affordable - prompt);
  return reservation{.amount = (prompt + output) * price,
                     .max_output_tokens = static_cast<std::uint32_t>(output)};
}

std::uint64_t cost_of(const wire::Usage &usage, std::uint64_t price) {
  return (usage.prompt_tokens() + usage.output_tokens()) * price;
}

} // namespace heathtrestle::programs
