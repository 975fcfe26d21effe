// A client of a gateway under test.
#pragma once

#include "http/call_client.hpp"
#include "runtime/asio.hpp"
#include "support/coroutines.hpp"

#include <map>
#include <optional>
#include <string>

#include <boost/beast/http/verb.hpp>

namespace heathtrestle::test_support {

/// Sends a request to the gateway that listens at `clients`.
/// @param attempt the attempt id of the request.
/// @return the answer; nothing when the connection breaks before it is
/// complete.
inline std::optional<http::call_response>
ask_gateway(asio::io_context &io, const tcp::acceptor &clients,
            const std::string &target, const std::string &attempt,
            const std::map<std::string, std::string> &fields) {
  const std::string address =
      "127.0.0.1:" + std::to_string(clients.local_endpoint().port());
  http::call_client client(io, address, duration_ms{5000});
  http::call_request request(boost::beast::http::verb::post, target, 11);
  request.set(boost::beast::http::field::host, "h");
  request.set("Attempt", attempt);
  for (const auto &[name, value] : fields) {
    request.set(name, value);
  }
  request.body() = "question";
  return await_result(io, client.call(request, duration_ms{20000}));
}

} // namespace heathtrestle::test_support
