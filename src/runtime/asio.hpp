// The Asio vocabulary of the forwarding path: one thread, coroutines, and
// errors as values.
//
// Boost.Fiber ships no scheduler for Asio, and handing every wait to another
// thread costs more than the request itself on a fraction of a core; Asio's own
// coroutines are the nearest kin that shares the socket's thread.
#pragma once

#include "base/time.hpp"

#include <chrono>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace heathtrestle {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Completes an operation with a tuple that starts with its error code.
inline constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// The present time of the monotonic clock, in whole milliseconds.
inline timestamp steady_now() {
  return std::chrono::time_point_cast<duration_ms>(
      std::chrono::steady_clock::now());
}

} // namespace heathtrestle
