#include "runtime/signal_mask.hpp"

namespace heathtrestle::runtime {

sigset_t handled_signals() {
  sigset_t signals{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

void block_signals() {
  const sigset_t signals = handled_signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void unblock_signals() {
  const sigset_t signals = handled_signals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace heathtrestle::runtime
