#include "runtime/stop_signals.hpp"

#include "runtime/signal_mask.hpp"

namespace heathtrestle::runtime {

void wait_for_stop() {
  const sigset_t signals = handled_signals();
  int received = 0;
  sigwait(&signals, &received);
}

} // namespace heathtrestle::runtime
