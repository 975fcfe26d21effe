// Ticks a ledger client as a gateway process does.
#pragma once

#include "records/ledger_client.hpp"
#include "runtime/asio.hpp"

namespace heathtrestle::test_support {

/// Ticks the client until the context stops.
inline asio::awaitable<void> tick_forever(asio::io_context &io,
                                          records::ledger_client &client) {
  asio::steady_timer timer(io);
  while (true) {
    timer.expires_after(records::ledger_client::tick_interval);
    co_await timer.async_wait(as_result);
    client.tick();
  }
}

} // namespace heathtrestle::test_support
