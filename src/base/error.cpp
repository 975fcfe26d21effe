#include "base/error.hpp"

#include <array>
#include <string_view>

namespace heathtrestle {

namespace {

struct code_row {
  error_code code;
  std::string_view name;
  std::uint32_t http_status;
};

constexpr std::array code_table{
    code_row{error_code::invalid_request, "invalid_request", 400},
    code_row{error_code::not_found, "not_found", 404},
    code_row{error_code::conflict, "conflict", 409},
    code_row{error_code::forbidden, "forbidden", 403},
    code_row{error_code::budget_exhausted, "budget_exhausted", 402},
    code_row{error_code::turn_limit, "turn_limit", 409},
    code_row{error_code::program_ended, "program_ended", 409},
    code_row{error_code::overloaded, "overloaded", 429},
    code_row{error_code::no_backend, "no_backend", 503},
    code_row{error_code::not_ready, "not_ready", 503},
    code_row{error_code::deadline_exceeded, "deadline_exceeded", 504},
    code_row{error_code::peer_unreachable, "peer_unreachable", 502},
    code_row{error_code::protocol_error, "protocol_error", 502},
    code_row{error_code::platform_unavailable, "platform_unavailable", 503},
    code_row{error_code::tool_failed, "tool_failed", 502},
    code_row{error_code::engine_failed, "engine_failed", 502},
    code_row{error_code::outcome_unknown, "outcome_unknown", 504},
    code_row{error_code::too_large, "too_large", 413},
    code_row{error_code::internal, "internal", 500},
};

const code_row &row_of(error_code code) {
  for (const code_row &row : code_table) {
    if (row.code == code) {
      return row;
    }
  }
  return code_table.back();
}

} // namespace

std::string_view name_of(error_code code) { return row_of(code).name; }

std::uint32_t http_status_of(error_code code) {
  return row_of(code).http_status;
}

std::string describe(const error &error) {
  const std::string peer =
      error.peer.empty() ? "" : fmt::format(" ({})", error.peer);
  return fmt::format("{}{}: {} [{}]", error.step, peer, error.message,
                     name_of(error.code));
}

} // namespace heathtrestle
