// Runs a coroutine to completion on an io_context.
#pragma once

#include "runtime/asio.hpp"

#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace heathtrestle::test_support {

/// @return the result of the coroutine. Other work on `io` runs meanwhile.
template <typename Value>
Value await_result(asio::io_context &io, asio::awaitable<Value> work) {
  std::optional<Value> outcome;
  asio::co_spawn(
      io,
      [&outcome, &work]() -> asio::awaitable<void> {
        outcome.emplace(co_await std::move(work));
      },
      asio::detached);
  io.restart();
  while (!outcome) {
    io.run_one();
  }
  return std::move(*outcome);
}

} // namespace heathtrestle::test_support
