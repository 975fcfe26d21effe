// Errors of the daemon and its tools: a code, the step and the peer at which
// the error occurred, whether the request was executed, and when to retry.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <boost/outcome.hpp>
#include <fmt/format.h>

namespace heathtrestle {

/// Stable error codes that callers may rely on.
enum class error_code : std::uint8_t {
  invalid_request,
  not_found,
  conflict,
  forbidden,
  budget_exhausted,
  turn_limit,
  program_ended,
  overloaded,
  no_backend,
  not_ready,
  deadline_exceeded,
  peer_unreachable,
  protocol_error,
  platform_unavailable,
  tool_failed,
  engine_failed,
  outcome_unknown,
  too_large,
  internal,
};

/// Whether the request had an effect.
enum class ran_status : std::uint8_t { not_run, ran, unknown };

/// The error of every `result`.
struct error {
  error_code code = error_code::internal;
  std::string message;
  std::string step;
  std::string peer;
  ran_status ran = ran_status::not_run;
  /// Delay after which a retry may succeed; zero when a retry does not help.
  std::chrono::milliseconds retry_after{0};

  [[nodiscard]] bool retryable() const { return retry_after.count() > 0; }
};

/// The stable name of a code, as in the HTTP interface.
std::string_view name_of(error_code code);
/// The HTTP status that callers get for a code.
std::uint32_t http_status_of(error_code code);

/// "step (peer): message [code]".
std::string describe(const error &error);

/// A value or an error of a subsystem's own kind.
template <typename Value, typename Error>
using result_or = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    Value, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

template <typename Value>
using result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    Value, error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Shorthand for a failed result.
inline auto fail(error_code code, std::string message, std::string step,
                 std::string peer = {}) {
  return BOOST_OUTCOME_V2_NAMESPACE::failure(
      error{.code = code,
            .message = std::move(message),
            .step = std::move(step),
            .peer = std::move(peer)});
}

} // namespace heathtrestle
