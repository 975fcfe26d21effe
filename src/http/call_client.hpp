// Calls to one HTTP server from a coroutine: connections are kept between
// calls, and a call that takes too long ends with its connection.
#pragma once

#include "runtime/asio.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace heathtrestle::http {

using call_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using call_response =
    boost::beast::http::response<boost::beast::http::string_body>;

class call_client {
public:
  /// @param address "ip:port".
  call_client(asio::io_context &io, std::string address,
              duration_ms connect_timeout);

  /// @param timeout for the whole call, connecting included.
  /// @return nothing when no whole answer came. Whether the server has done
  /// what was asked is then unknown, unless `sent` is false.
  /// @param sent set to whether the request may have reached the server.
  asio::awaitable<std::optional<call_response>>
  call(call_request request, duration_ms timeout, bool *sent = nullptr);

private:
  struct connection;
  using connection_ptr = std::shared_ptr<connection>;

  connection_ptr take_idle();
  asio::awaitable<bool> connect(connection_ptr over);

  asio::io_context &io_;
  std::string address_;
  duration_ms connect_timeout_;
  std::vector<connection_ptr> idle_;
};

/// A GET request without a body.
call_request get_request(const std::string &host, const std::string &target);

} // namespace heathtrestle::http
