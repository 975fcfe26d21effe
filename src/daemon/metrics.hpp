// The daemon's metrics in the Prometheus text format; docs/METRICS.md lists
// them.
#pragma once

#include <string>

namespace heathtrestle::daemon {

class daemon_runtime;

/// Reads all counters and gauges and prints them.
std::string print_metrics(daemon_runtime &runtime);

/// Counts a finished request.
/// @param route the pattern of its path.
void count_request(const std::string &route, unsigned status, double seconds);

} // namespace heathtrestle::daemon
