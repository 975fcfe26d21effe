// The signals that ask a process to end.
#pragma once

#include <csignal>

namespace heathtrestle::runtime {

/// Blocks SIGTERM and SIGINT for this thread and all that it starts later, and
/// ignores SIGPIPE. Called before any thread is started.
sigset_t block_stop_signals();

/// Waits for one of the blocked signals.
void wait_for_stop(const sigset_t &signals);

} // namespace heathtrestle::runtime
