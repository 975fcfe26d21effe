// Runs operators' statements: queries over all daemons, and configuration
// changes by compare-and-set on the platform.
#pragma once

#include "http/server.hpp"

#include <cstdint>

namespace heathtrestle::daemon {

class daemon_runtime;

/// Answers `POST /v1/statements`, whose body is the statement's text.
/// @return the HTTP status that was sent.
std::uint32_t run_statement(daemon_runtime &runtime, http::exchange &exchange);

} // namespace heathtrestle::daemon
