#include "forwarding/client_session.hpp"

#include "forwarding/http_status.hpp"
#include "forwarding/request_exchange.hpp"
#include "forwarding/socket_options.hpp"
#include "http/message_framing.hpp"
#include "http/message_reader.hpp"
#include "logging/log.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

namespace heathtrestle::forwarding {

namespace {

constexpr std::size_t first_read_bytes = 16384;
/// Added to the idle timeout, so that a request sent just before the limit is
/// still served.
constexpr duration_ms idle_slack{1000};
constexpr duration_ms linger_limit{500};
constexpr duration_ms accept_pause{20};
/// Booked for a request besides what it carries: buffers and its state.
constexpr std::size_t request_overhead_bytes = 48U << 10U;
/// Another gateway can probably serve the request.
constexpr duration_ms memory_retry{50};
/// Bytes a second of a body, without its framing, below which a client is given
/// up.
constexpr std::size_t min_body_rate = 500;
constexpr std::size_t ms_per_second = 1000;

std::uint32_t status_for(boost::system::error_code failure) {
  constexpr std::uint32_t header_too_large = 431;
  if (failure == beast_http::error::header_limit ||
      failure == beast_http::error::buffer_overflow) {
    return header_too_large;
  }
  if (failure == beast_http::error::body_limit) {
    return status_content_too_large;
  }
  return status_bad_request;
}

bool is_protocol_error(boost::system::error_code failure) {
  return failure.category() ==
             make_error_code(beast_http::error::bad_method).category() &&
         failure != beast_http::error::end_of_stream &&
         failure != beast_http::error::partial_message;
}

} // namespace

client_session::client_session(gateway &shared, tcp::socket socket)
    : gateway_(shared), socket_(std::move(socket)), timer_(shared.io()) {
  gateway_.add_session(*this);
}

client_session::~client_session() {
  if (registered_) {
    gateway_.remove_session(*this);
  }
}

void client_session::enter(phase next, duration_ms limit) {
  phase_ = next;
  const timestamp deadline = steady_now() + limit;
  const bool sooner = deadline < deadline_;
  deadline_ = deadline;
  if (sooner) {
    timer_.cancel(); // makes watch_deadline() use the new deadline
  }
}

asio::awaitable<void> client_session::watch_deadline() {
  const auto self = shared_from_this();
  while (!closed_) {
    timer_.expires_at(deadline_);
    co_await timer_.async_wait(as_result);
    const bool overdue = phase_ != phase::serving && steady_now() >= deadline_;
    if (overdue && !closed_) {
      timed_out_ = true;
      boost::system::error_code ignored;
      socket_.cancel(ignored);
      deadline_ = steady_now() + linger_limit;
    }
  }
}

asio::awaitable<void> client_session::run() {
  const auto self = shared_from_this();
  enable_liveness_checks(socket_, gateway_.options().client_liveness);
  enter(phase::idle, duration_ms{15000});
  asio::co_spawn(gateway_.io(), watch_deadline(), asio::detached);
  bool open = true;
  while (open) {
    std::optional<received_request> received = co_await read_request();
    if (!received) {
      break;
    }
    constexpr duration_ms unbounded{std::chrono::hours(24)};
    enter(phase::serving, unbounded);
    gateway_.on_request_started();
    const auto exchange = std::make_shared<request_exchange>(
        gateway_, socket_, std::move(received->request),
        std::move(received->held));
    open = co_await exchange->run();
    gateway_.on_request_finished();
    open = open && !gateway_.draining();
  }
  closed_ = true;
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

routing::client_limits client_session::limits() const {
  return gateway_.routes() ? gateway_.routes()->limits()
                           : routing::client_limits{};
}

void client_session::begin_drain() {
  if (phase_ == phase::idle && buffer_.size() == 0) {
    boost::system::error_code ignored;
    socket_.cancel(ignored);
  }
}

asio::awaitable<std::optional<client_session::received_request>>
client_session::read_request() {
  const routing::client_limits limits = this->limits();
  timed_out_ = false;
  buffer_.max_size(limits.header_bytes + first_read_bytes);
  if (buffer_.size() == 0) {
    enter(phase::idle, limits.idle_timeout + idle_slack);
    const auto [failure, bytes] = co_await socket_.async_read_some(
        buffer_.prepare(first_read_bytes), as_result);
    if (failure) {
      co_return std::nullopt;
    }
    buffer_.commit(bytes);
  }
  enter(phase::header, limits.header_timeout);
  request_parser parser;
  parser.header_limit(limits.header_bytes);
  parser.body_limit(limits.body_bytes);
  if (!co_await read_header(parser)) {
    co_return std::nullopt;
  }
  const timestamp arrived = steady_now();
  byte_budget::booking held = gateway_.open_booking();
  if (!has_memory_for(parser)) {
    gateway_.metrics().on_refused("memory");
    co_await reject_with(status_unavailable, memory_retry);
    co_return std::nullopt;
  }
  held.resize(request_overhead_bytes + parser.content_length().value_or(0));
  auto head = copy_of_head(parser);
  if (!co_await read_body(parser, held)) {
    co_return std::nullopt;
  }
  if (head) {
    parser.get().base() = std::move(*head);
  }
  co_return received_request{.request = interpret(parser.release(), arrived,
                                                  gateway_.options().headers),
                             .held = std::move(held)};
}

bool client_session::has_memory_for(const request_parser &parser) const {
  const auto &head = parser.get();
  const auto &routes = gateway_.routes();
  const auto to_view = [](boost::beast::string_view text) {
    return std::string_view(text.data(), text.size());
  };
  const routing::route *route =
      routes ? routes->find(to_view(head[beast_http::field::host]),
                            to_view(head.target()))
             : nullptr;
  const std::size_t bytes =
      request_overhead_bytes + parser.content_length().value_or(0);
  return gateway_.held_bytes().admits(route != nullptr ? route->priority : 0,
                                      bytes);
}

asio::awaitable<bool> client_session::read_body(request_parser &parser,
                                                byte_budget::booking &held) {
  const timestamp begun = steady_now();
  const duration_ms limit = body_time(parser);
  const duration_ms grace = limits().header_timeout;
  http::message_reader<true> reader(socket_, buffer_, parser);
  while (!parser.is_done()) {
    const std::size_t received = parser.get().body().size();
    const duration_ms earned{
        static_cast<std::int64_t>(ms_per_second * received / min_body_rate)};
    const timestamp deadline = begun + std::min(limit, grace + earned);
    enter(phase::body, deadline - steady_now());
    const auto failure = co_await reader.step();
    const std::size_t body_bytes = parser.get().body().size();
    const bool framing_too_long =
        failure == beast_http::error::buffer_overflow ||
        http::is_excessive_framing(reader.parsed_bytes() - body_bytes,
                                   body_bytes);
    if (framing_too_long) {
      co_await reject_with(status_content_too_large);
      co_return false;
    }
    if (failure) {
      co_await reject(failure);
      co_return false;
    }
    if (!book_body(parser, held)) {
      gateway_.metrics().on_refused("memory");
      co_await reject_with(status_unavailable, memory_retry);
      co_return false;
    }
  }
  co_return true;
}

duration_ms client_session::body_time(const request_parser &parser) const {
  const duration_ms limit = gateway_.options().body_timeout;
  const auto text = parser.get()[gateway_.options().headers.deadline_ms];
  const auto deadline = parse_number({text.data(), text.size()});
  if (!deadline) {
    return limit;
  }
  // Nobody waits for the answer after that.
  return std::min(limit, duration_ms{static_cast<std::int64_t>(*deadline)});
}

bool client_session::book_body(const request_parser &parser,
                               byte_budget::booking &held) {
  const std::size_t needed =
      request_overhead_bytes + parser.get().body().capacity();
  return needed <= held.bytes() || held.try_resize(needed);
}

std::optional<client_session::request_head>
client_session::copy_of_head(const request_parser &parser) {
  const bool may_have_trailers = parser.chunked();
  return may_have_trailers ? std::optional(parser.get().base()) : std::nullopt;
}

asio::awaitable<bool> client_session::read_header(request_parser &parser) {
  http::message_reader<true> reader(socket_, buffer_, parser);
  while (!parser.is_header_done()) {
    const auto failure = co_await reader.step();
    if (failure) {
      co_await reject(failure);
      co_return false;
    }
  }
  if (!http::has_plain_framing(parser.get())) {
    co_await reject_with(status_bad_request);
    co_return false;
  }
  const bool expects =
      beast_http::token_list(parser.get()[beast_http::field::expect])
          .exists("100-continue");
  if (expects) {
    constexpr std::string_view continue_response =
        "HTTP/1.1 100 Continue\r\n\r\n";
    const auto [lost, written] = co_await asio::async_write(
        socket_,
        asio::buffer(continue_response.data(), continue_response.size()),
        as_result);
    co_return !lost;
  }
  co_return true;
}

asio::awaitable<void>
client_session::reject(boost::system::error_code failure) {
  constexpr std::uint32_t request_timeout = 408;
  if (timed_out_) {
    co_await reject_with(request_timeout);
  } else if (is_protocol_error(failure)) {
    co_await reject_with(status_for(failure));
  }
}

asio::awaitable<void> client_session::reject_with(std::uint32_t status,
                                                  duration_ms retry_after) {
  logging::line(logging::event::http_request_rejected)
      .field("status", status)
      .write();
  enter(phase::header, linger_limit);
  beast_http::response<beast_http::empty_body> answer;
  answer.result(status);
  answer.set(beast_http::field::connection, "close");
  if (retry_after.count() > 0) {
    answer.set(beast_http::field::retry_after,
               fmt::format("{:.3f}",
                           std::chrono::duration<double>(retry_after).count()));
  }
  answer.prepare_payload();
  const auto [lost, written] =
      co_await beast_http::async_write(socket_, answer, as_result);
  boost::system::error_code failure = lost;
  if (!failure) {
    socket_.shutdown(tcp::socket::shutdown_send, failure);
  }
  std::array<char, first_read_bytes> rest{};
  timed_out_ = false;
  while (!failure && !timed_out_) {
    const auto [ended, bytes] =
        co_await socket_.async_read_some(asio::buffer(rest), as_result);
    failure = ended;
  }
}

asio::awaitable<void> accept_clients(gateway &shared, tcp::acceptor &acceptor) {
  while (acceptor.is_open()) {
    tcp::socket socket(shared.io());
    const auto [failure] = co_await acceptor.async_accept(socket, as_result);
    if (failure) {
      // Out of file descriptors, or the client has already disconnected.
      asio::steady_timer pause(shared.io(), accept_pause);
      co_await pause.async_wait(as_result);
      continue;
    }
    const auto session =
        std::make_shared<client_session>(shared, std::move(socket));
    asio::co_spawn(
        shared.io(), [session] { return session->run(); }, asio::detached);
  }
}

} // namespace heathtrestle::forwarding
