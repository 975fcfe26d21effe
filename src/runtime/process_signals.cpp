#include "runtime/process_signals.hpp"

#include "runtime/signal_mask.hpp"

#include <csignal>
#include <utility>

namespace heathtrestle::runtime {

process_signals::process_signals(asio::io_context &io,
                                 std::function<void()> on_stop,
                                 std::function<void()> on_reload)
    : signals_(io, SIGTERM, SIGINT, SIGHUP), on_stop_(std::move(on_stop)),
      on_reload_(std::move(on_reload)) {
  wait();
  unblock_signals();
}

void process_signals::wait() {
  signals_.async_wait([this](boost::system::error_code failure, int number) {
    if (failure) {
      return;
    }
    if (number == SIGHUP) {
      on_reload_();
    } else if (!stopping_) {
      stopping_ = true;
      on_stop_();
    }
    wait();
  });
}

} // namespace heathtrestle::runtime
