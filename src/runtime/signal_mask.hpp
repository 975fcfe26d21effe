// The signals that a process handles itself, blocked until it can.
#pragma once

#include <csignal>

namespace heathtrestle::runtime {

/// SIGTERM, SIGINT and SIGHUP.
sigset_t handled_signals();

/// Blocks the handled signals for this thread and all that it starts later, and
/// ignores SIGPIPE. Called first in main: a signal that comes while the process
/// starts stays pending, where its default action would end the process.
void block_signals();

/// Lets this thread receive the handled signals, pending ones at once. Called
/// once their handler is installed.
void unblock_signals();

} // namespace heathtrestle::runtime
