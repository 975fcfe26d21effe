// Cancels the operations of a socket when a write makes no progress, so that a
// peer that never reads holds neither the connection nor what is written to it.
#pragma once

#include "runtime/asio.hpp"

#include <memory>

namespace heathtrestle::forwarding {

/// How long a client may take no byte of an answer before it is given up.
inline constexpr duration_ms client_stall_limit{10000};

class stall_guard {
public:
  /// @param socket must outlive the guard.
  stall_guard(tcp::socket &socket, duration_ms limit);
  ~stall_guard();
  stall_guard(const stall_guard &) = delete;
  stall_guard &operator=(const stall_guard &) = delete;

  /// Starts the time limit anew.
  void on_progress();

private:
  /// Outlives the guard until a timer that has already expired was handled.
  struct state {
    explicit state(tcp::socket &guarded)
        : socket(&guarded), timer(guarded.get_executor()) {}

    tcp::socket *socket; // null once the guard is gone
    asio::steady_timer timer;
  };

  std::shared_ptr<state> state_;
  duration_ms limit_;
};

} // namespace heathtrestle::forwarding
