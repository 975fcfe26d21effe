// The HTTP API for callers and operators, described in docs/openapi.yaml.
#pragma once

#include "http/server.hpp"

namespace heathtrestle::daemon {

class daemon_runtime;

/// Routes one request to its handler. Runs on a separate fiber per request.
void handle_request(daemon_runtime &runtime, http::exchange &exchange);

} // namespace heathtrestle::daemon
