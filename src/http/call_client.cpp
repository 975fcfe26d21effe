#include "http/call_client.hpp"

#include "forwarding/socket_options.hpp"
#include "http/address.hpp"
#include "http/message_framing.hpp"
#include "http/message_reader.hpp"

#include <algorithm>
#include <utility>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace heathtrestle::http {

namespace beast_http = boost::beast::http;

namespace {

/// The lists of the largest deployments take some megabytes.
constexpr std::uint64_t answer_limit = 16U << 20U;
/// Time from the first byte of an answer to its end.
constexpr duration_ms answer_time{5000};

} // namespace

struct call_client::connection {
  explicit connection(asio::io_context &io)
      : socket(io), timer(io), buffer(max_element_bytes) {}

  tcp::socket socket;
  asio::steady_timer timer;
  boost::beast::flat_buffer buffer;

  /// Closes the connection after `limit`, unless disarmed or armed anew.
  static void arm(const connection_ptr &self, duration_ms limit) {
    self->timer.expires_after(limit);
    self->timer.async_wait(
        [weak = std::weak_ptr(self)](boost::system::error_code cancelled) {
          const auto late = weak.lock();
          // A timer that was armed anew has another expiry by now.
          if (!cancelled && late &&
              late->timer.expiry() <= asio::steady_timer::clock_type::now()) {
            boost::system::error_code ignored;
            late->socket.close(ignored);
          }
        });
  }
  void disarm() { timer.expires_at(asio::steady_timer::time_point::max()); }
};

call_client::call_client(asio::io_context &io, std::string address,
                         duration_ms connect_timeout)
    : io_(io), address_(std::move(address)), connect_timeout_(connect_timeout) {
}

call_client::connection_ptr call_client::take_idle() {
  while (!idle_.empty()) {
    connection_ptr candidate = std::move(idle_.back());
    idle_.pop_back();
    if (forwarding::is_open_and_idle(candidate->socket)) {
      return candidate;
    }
  }
  return nullptr;
}

asio::awaitable<bool> call_client::connect(connection_ptr over) {
  const auto parsed = parse_address(address_);
  if (!parsed) {
    co_return false;
  }
  const auto [failure] = co_await over->socket.async_connect(
      tcp::endpoint(parsed.value().ip, parsed.value().port), as_result);
  if (!failure) {
    forwarding::enable_liveness_checks(over->socket, {});
  }
  co_return !failure;
}

asio::awaitable<std::optional<call_response>>
call_client::call(call_request request, duration_ms timeout, bool *sent) {
  if (sent != nullptr) {
    *sent = false;
  }
  connection_ptr over = take_idle();
  if (!over) {
    over = std::make_shared<connection>(io_);
    connection::arm(over, std::min(timeout, connect_timeout_));
    if (!co_await connect(over)) {
      over->disarm();
      co_return std::nullopt;
    }
  }
  if (sent != nullptr) {
    *sent = true;
  }
  const timestamp deadline = steady_now() + timeout;
  connection::arm(over, timeout);
  request.prepare_payload();
  const auto [write_failure, written] =
      co_await beast_http::async_write(over->socket, request, as_result);
  if (write_failure) {
    over->disarm();
    co_return std::nullopt;
  }
  beast_http::response_parser<beast_http::string_body> parser;
  parser.body_limit(answer_limit);
  // A failure to wait shows again when the answer is read.
  static_cast<void>(
      co_await over->socket.async_wait(tcp::socket::wait_read, as_result));
  connection::arm(over, std::min(deadline - steady_now(), answer_time));
  const auto [read_failure, bytes] = co_await beast_http::async_read(
      over->socket, over->buffer, parser, as_result);
  over->disarm();
  if (read_failure || !has_plain_framing(parser.get())) {
    co_return std::nullopt;
  }
  call_response answer = parser.release();
  // Bytes behind the answer would be taken for the answer to the next call.
  const bool is_clean = over->buffer.size() == 0;
  if (answer.keep_alive() && is_clean && over->socket.is_open()) {
    idle_.push_back(std::move(over));
  }
  co_return answer;
}

call_request get_request(const std::string &host, const std::string &target) {
  call_request request(beast_http::verb::get, target, 11);
  request.set(beast_http::field::host, host);
  return request;
}

} // namespace heathtrestle::http
