// The HTTP interface of callers and operators; docs/openapi.yaml describes it.
#pragma once

#include "http/server.hpp"

namespace heathtrestle::daemon {

class daemon_runtime;

/// Routes one request. Runs on a fiber of its own.
void handle_request(daemon_runtime &runtime, http::exchange &exchange);

} // namespace heathtrestle::daemon
