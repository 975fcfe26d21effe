#include "http/status_server.hpp"

#include "forwarding/stall_guard.hpp"
#include "http/address.hpp"
#include "http/message_framing.hpp"
#include "http/message_reader.hpp"

#include <memory>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace heathtrestle::http {

namespace {

namespace beast_http = boost::beast::http;

constexpr std::uint32_t status_not_allowed = 405;
constexpr std::uint64_t largest_body = 65536;
constexpr duration_ms accept_pause{50};
/// Time from the first byte of a request to its end, and for each part of an
/// answer.
constexpr duration_ms transfer_time{5000};

page page_for(const beast_http::request<beast_http::string_body> &request,
              const page_handler &handler) {
  if (request.method() != beast_http::verb::get) {
    return {.status = status_not_allowed, .body = "only GET\n"};
  }
  const auto target = request.target();
  return handler({target.data(), target.size()});
}

asio::awaitable<void> serve_connection(tcp::socket socket,
                                       std::shared_ptr<page_handler> handler) {
  boost::beast::flat_buffer buffer(max_element_bytes);
  bool open = true;
  while (open) {
    beast_http::request_parser<beast_http::string_body> parser;
    parser.body_limit(largest_body);
    if (buffer.size() == 0) {
      // A failure to wait shows again when the request is read.
      static_cast<void>(
          co_await socket.async_wait(tcp::socket::wait_read, as_result));
    }
    forwarding::stall_guard guard(socket, transfer_time);
    const auto [failure, bytes] =
        co_await beast_http::async_read(socket, buffer, parser, as_result);
    if (failure || !has_plain_framing(parser.get())) {
      co_return;
    }
    guard.on_progress();
    page answer = page_for(parser.get(), *handler);
    beast_http::response<beast_http::string_body> message;
    message.result(answer.status);
    message.set(beast_http::field::content_type, answer.content_type);
    message.body() = std::move(answer.body);
    message.keep_alive(parser.get().keep_alive());
    message.prepare_payload();
    const auto [lost, written] =
        co_await beast_http::async_write(socket, message, as_result);
    open = !lost && message.keep_alive();
  }
}

asio::awaitable<void> accept_loop(asio::io_context &io, tcp::acceptor acceptor,
                                  std::shared_ptr<page_handler> handler) {
  while (true) {
    tcp::socket socket(io);
    const auto [failure] = co_await acceptor.async_accept(socket, as_result);
    if (failure) {
      asio::steady_timer pause(io, accept_pause);
      co_await pause.async_wait(as_result);
      continue;
    }
    asio::co_spawn(io, serve_connection(std::move(socket), handler),
                   asio::detached);
  }
}

} // namespace

result<tcp::acceptor> listen(asio::io_context &io, const std::string &address) {
  const auto parsed = parse_address(address);
  if (!parsed) {
    return parsed.error();
  }
  const tcp::endpoint endpoint(parsed.value().ip, parsed.value().port);
  tcp::acceptor acceptor(io);
  boost::system::error_code failure;
  acceptor.open(endpoint.protocol(), failure);
  if (!failure) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
  }
  if (!failure) {
    acceptor.bind(endpoint, failure);
  }
  if (!failure) {
    acceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return fail(error_code::internal, failure.message(), "listen", address);
  }
  return acceptor;
}

result<void> serve_pages(asio::io_context &io, const std::string &address,
                         page_handler handler) {
  auto acceptor = listen(io, address);
  if (!acceptor) {
    return acceptor.error();
  }
  asio::co_spawn(
      io,
      accept_loop(io, std::move(acceptor).value(),
                  std::make_shared<page_handler>(std::move(handler))),
      asio::detached);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace heathtrestle::http
