// A small HTTP server for a process's own pages: readiness, metrics, and what
// peers ask. Runs on the caller's thread.
#pragma once

#include "base/error.hpp"
#include "runtime/asio.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace heathtrestle::http {

struct page {
  std::uint32_t status = 200;
  std::string body;
  std::string content_type = "text/plain";
};

/// @param target the request's path and query.
using page_handler = std::function<page(std::string_view target)>;

/// Serves GET requests at `address` ("ip:port") until the process ends.
/// @return an error when the address cannot be listened on.
result<void> serve_pages(asio::io_context &io, const std::string &address,
                         page_handler handler);

/// Opens a listening socket.
result<tcp::acceptor> listen(asio::io_context &io, const std::string &address);

} // namespace heathtrestle::http
