// Waiting for the signal that asks a process to end.
#pragma once

namespace heathtrestle::runtime {

/// Waits for SIGTERM, SIGINT or SIGHUP, for programs that read their settings
/// only when they start. Needs `block_signals`.
void wait_for_stop();

} // namespace heathtrestle::runtime
