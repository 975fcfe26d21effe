#include "runtime/stop_signals.hpp"

namespace heathtrestle::runtime {

sigset_t block_stop_signals() {
  sigset_t signals{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

void wait_for_stop(const sigset_t &signals) {
  int received = 0;
  sigwait(&signals, &received);
}

} // namespace heathtrestle::runtime
