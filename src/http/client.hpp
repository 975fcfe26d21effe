// An HTTP/1.1 client for fibers. Every request has a connection of its own, so
// a failed connect is proof that the request did not reach the peer.
#pragma once

#include "http/io_thread.hpp"
#include "http/message.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace heathtrestle::http {

struct client_timeouts {
  std::chrono::milliseconds connect{2000};
  /// Longest silence while waiting for the response or its next part.
  std::chrono::milliseconds silence{30000};
};

/// Gets the body of a response part by part.
/// @return false to end the exchange early.
using body_sink = std::function<bool(std::string_view)>;

class client {
public:
  explicit client(io_thread &io) : io_(io) {}

  /// Sends a request and waits for the response.
  /// @param address "ip:port".
  /// @param sink gets the body of a response with status 200, if given;
  /// otherwise the body stands in the response.
  /// @return an error whose `ran` is `not_run` when no connection was made,
  /// and `unknown` when it broke later.
  result<response> send(const std::string &address, const request &outgoing,
                        client_timeouts timeouts = {},
                        const body_sink &sink = nullptr);

private:
  io_thread &io_;
};

} // namespace heathtrestle::http
