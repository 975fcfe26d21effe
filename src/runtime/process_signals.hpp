// Signals as events on the process's io_context.
#pragma once

#include "runtime/asio.hpp"

#include <functional>

#include <boost/asio/signal_set.hpp>

namespace heathtrestle::runtime {

/// Calls `on_stop` at the first SIGTERM or SIGINT and `on_reload` at each
/// SIGHUP, including those that have been pending since `block_signals`
/// (several of one kind count once). Lives as long as the io_context runs.
class process_signals {
public:
  process_signals(asio::io_context &io, std::function<void()> on_stop,
                  std::function<void()> on_reload);

private:
  void wait();

  asio::signal_set signals_;
  std::function<void()> on_stop_;
  std::function<void()> on_reload_;
  bool stopping_ = false;
};

} // namespace heathtrestle::runtime
