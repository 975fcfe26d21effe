// One client connection. Reads requests one after another within the configured
// limits, serves each of them, and closes the connection after the idle
// timeout.
#pragma once

#include "forwarding/client_request.hpp"
#include "forwarding/gateway.hpp"
#include "runtime/asio.hpp"

#include <cstdint>
#include <memory>
#include <optional>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

namespace heathtrestle::forwarding {

class client_session : public std::enable_shared_from_this<client_session> {
public:
  client_session(gateway &shared, tcp::socket socket);
  ~client_session();
  client_session(const client_session &) = delete;
  client_session &operator=(const client_session &) = delete;

  /// Serves the connection until it ends.
  asio::awaitable<void> run();

  /// Closes the connection at once if it is idle, otherwise after the current
  /// answer.
  void begin_drain();
  /// Called when the gateway is destroyed before the session, which must not
  /// use it afterwards.
  void on_gateway_destroyed() { registered_ = false; }

  [[nodiscard]] tcp::socket &socket() { return socket_; }

private:
  /// What the connection is waiting for. Each phase has its own time limit.
  enum class phase : std::uint8_t { idle, header, body, serving };
  using request_parser = beast_http::request_parser<beast_http::string_body>;
  using request_head = beast_http::request_header<beast_http::fields>;

  void enter(phase next, duration_ms limit);
  /// Runs while the connection is open, and cancels the operation whose phase
  /// has timed out.
  asio::awaitable<void> watch_deadline();

  /// A request and the memory that is booked for it.
  struct received_request {
    client_request request;
    byte_budget::booking held;
  };

  [[nodiscard]] routing::client_limits limits() const;
  asio::awaitable<std::optional<received_request>> read_request();
  asio::awaitable<bool> read_header(request_parser &parser);
  /// Copies a head to which the parser will add the fields behind a chunked
  /// body. Those are dropped, since nothing that was decided by the head may
  /// change.
  static std::optional<request_head> copy_of_head(const request_parser &parser);
  /// Reads the body and books it.
  /// @return false when it was not read; the client has been answered.
  asio::awaitable<bool> read_body(request_parser &parser,
                                  byte_budget::booking &held);
  /// Returns how long the body may take as a whole.
  [[nodiscard]] duration_ms body_time(const request_parser &parser) const;
  /// Books the body as far as it was received.
  /// @return false when there is no memory for it.
  static bool book_body(const request_parser &parser,
                        byte_budget::booking &held);
  /// Decides whether there is memory for the request whose header was read.
  [[nodiscard]] bool has_memory_for(const request_parser &parser) const;
  asio::awaitable<void> reject(boost::system::error_code failure);
  /// Answers a request that could not be parsed. Then half-closes the
  /// connection and discards further input, since closing with unread bytes
  /// would reset the connection and could lose the answer.
  /// @param retry_after the value of Retry-After; zero for none.
  asio::awaitable<void> reject_with(std::uint32_t status,
                                    duration_ms retry_after = {});

  gateway &gateway_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  asio::steady_timer timer_;
  phase phase_ = phase::idle;
  timestamp deadline_{};
  bool timed_out_ = false;
  bool closed_ = false;
  bool registered_ = true;
};

/// Accepts clients until the acceptor is closed.
asio::awaitable<void> accept_clients(gateway &shared, tcp::acceptor &acceptor);

} // namespace heathtrestle::forwarding
