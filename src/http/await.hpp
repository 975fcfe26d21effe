// Lets a fiber wait for an Asio operation that runs on the I/O thread.
// Only for the sources of this folder: it pulls in Asio.
#pragma once

#include <boost/asio/post.hpp>
#include <boost/fiber/future.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <memory>
#include <utility>

namespace heathtrestle::http {

struct io_outcome {
  boost::system::error_code failure;
  std::size_t bytes = 0;
};

/// Starts an operation on the I/O thread and waits for it as a fiber.
/// @param start called there with a handler `(error_code, size_t = 0)`.
template <typename Executor, typename Start>
io_outcome await(const Executor &executor, Start start) {
  // Shared: the fiber may go on and return before the I/O thread has left
  // `set_value`.
  auto promise = std::make_shared<boost::fibers::promise<io_outcome>>();
  auto future = promise->get_future();
  boost::asio::post(executor, [promise, start = std::move(start)]() mutable {
    start([promise](boost::system::error_code failure, std::size_t bytes = 0) {
      promise->set_value({failure, bytes});
    });
  });
  return future.get();
}

} // namespace heathtrestle::http
