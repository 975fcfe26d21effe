// Exports the daemon's metrics in the Prometheus text format. docs/METRICS.md
// lists them.
#pragma once

#include <string>

namespace heathtrestle::daemon {

class daemon_runtime;

/// Collects all metrics and formats them as Prometheus text.
std::string print_metrics(daemon_runtime &runtime);

/// Counts a finished request.
/// @param route the path pattern, used as a label.
void count_request(const std::string &route, unsigned status, double seconds);

} // namespace heathtrestle::daemon
