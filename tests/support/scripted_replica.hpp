// A replica for tests of the gateway: it answers with scripted bytes over a
// loopback socket.
#pragma once

#include "http/status_server.hpp"
#include "runtime/asio.hpp"
#include "silent_listener.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <fmt/format.h>

namespace heathtrestle::test_support {

namespace beast_http = boost::beast::http;

/// The replica's response to one request.
struct scripted {
  std::string bytes; // sent unchanged except that {id} becomes the attempt id
  bool close = false;
  bool reset = false;
  duration_ms delay{0};
  /// Sent after `bytes` until the connection ends, if not empty.
  std::string repeated{};
  duration_ms repeated_pause{0};
};

class scripted_replica {
public:
  explicit scripted_replica(asio::io_context &io)
      : io_(io), acceptor_(std::move(http::listen(io, "127.0.0.1:0")).value()) {
    address_ = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    asio::co_spawn(io, accept(), asio::detached);
  }

  std::deque<scripted> script;
  /// Called after a request was received, before it is answered.
  std::function<void()> before_answer;
  std::vector<beast_http::request<beast_http::string_body>> received;
  /// The connection of each received request, in the order of their opening.
  std::vector<std::size_t> received_on;

  [[nodiscard]] std::string address() const { return address_; }
  /// The number of connections that were opened.
  [[nodiscard]] std::size_t connections() const { return open_.size(); }
  /// Whether a connection, in the order of their opening, is still served.
  [[nodiscard]] bool is_open(std::size_t opened) const {
    return !open_.at(opened).expired();
  }
  /// Refuses further connections, as a process that has ended does.
  void stop_listening() { acceptor_.close(); }
  /// Ignores all that comes, as a machine without power does.
  void fall_silent() {
    is_silent_ = true;
    acceptor_.cancel();
    platform::stand_ins::silence_listener(acceptor_.native_handle());
  }
  /// Closes all connections and ends.
  void end() {
    stop_listening();
    for (const auto &each : open_) {
      if (const auto socket = each.lock()) {
        socket->close();
      }
    }
  }

private:
  asio::awaitable<void> accept() {
    while (true) {
      tcp::socket socket(io_);
      const auto [failure] = co_await acceptor_.async_accept(socket, as_result);
      if (failure) {
        co_return;
      }
      const auto accepted = std::make_shared<tcp::socket>(std::move(socket));
      open_.push_back(accepted);
      asio::co_spawn(io_, serve(accepted, open_.size() - 1), asio::detached);
    }
  }

  /// Waits for longer than any test takes.
  asio::awaitable<void> stay_silent() {
    asio::steady_timer timer(io_, std::chrono::hours(1));
    co_await timer.async_wait(as_result);
  }

  /// Sends the repeated bytes until the gateway closes the connection.
  asio::awaitable<void> repeat(std::shared_ptr<tcp::socket> accepted,
                               scripted answer) {
    constexpr std::size_t batch_bytes = 65536;
    const bool is_fast = answer.repeated_pause.count() == 0;
    std::string batch = answer.repeated;
    while (is_fast && batch.size() < batch_bytes) {
      batch += answer.repeated;
    }
    asio::steady_timer timer(io_);
    while (true) {
      const auto [failure, written] =
          co_await asio::async_write(*accepted, asio::buffer(batch), as_result);
      if (failure) {
        co_return;
      }
      if (!is_fast) {
        timer.expires_after(answer.repeated_pause);
        co_await timer.async_wait(as_result);
      }
    }
  }

  asio::awaitable<void> serve(std::shared_ptr<tcp::socket> accepted,
                              std::size_t opened) {
    tcp::socket &socket = *accepted;
    boost::beast::flat_buffer buffer;
    while (true) {
      beast_http::request<beast_http::string_body> request;
      const auto [failure, bytes] =
          co_await beast_http::async_read(socket, buffer, request, as_result);
      if (failure || script.empty()) {
        co_return;
      }
      const auto id = request["Attempt"];
      scripted next = script.front();
      script.pop_front();
      for (std::size_t at = next.bytes.find("{id}"); at != std::string::npos;
           at = next.bytes.find("{id}")) {
        next.bytes.replace(at, 4, std::string(id.data(), id.size()));
      }
      received.push_back(std::move(request));
      received_on.push_back(opened);
      if (before_answer) {
        before_answer();
      }
      if (next.delay.count() > 0) {
        asio::steady_timer timer(io_, next.delay);
        co_await timer.async_wait(as_result);
      }
      if (is_silent_) {
        co_await stay_silent();
      }
      // Some tests disconnect before the answer, so a write error is ignored.
      static_cast<void>(co_await asio::async_write(
          socket, asio::buffer(next.bytes), as_result));
      if (!next.repeated.empty()) {
        co_await repeat(accepted, next);
        co_return;
      }
      if (next.reset) {
        socket.set_option(asio::socket_base::linger(true, 0));
      }
      if (next.close || next.reset) {
        socket.close();
        co_return;
      }
    }
  }

  asio::io_context &io_;
  tcp::acceptor acceptor_;
  std::string address_;
  bool is_silent_ = false;
  std::vector<std::weak_ptr<tcp::socket>> open_;
};

inline std::string plain(const std::string &body,
                         const std::string &id = "{id}") {
  return "HTTP/1.1 200 OK\r\nAttempt: " + id + "\r\nSignature: s\r\n" +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chunk(const std::string &data) {
  return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

inline std::string event(int id) {
  return fmt::format("id: {}\ndata: d{}\n\n", id, id);
}

inline const std::string stream_head =
    "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nSignature: s\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
inline const std::string stream_end = "0\r\n\r\n";

/// A stream of events with these ids.
inline scripted events(int first, int last) {
  std::string bytes = stream_head;
  for (int id = first; id <= last; ++id) {
    bytes += chunk(event(id));
  }
  return {.bytes = bytes + stream_end};
}

/// The same, broken off before its end.
inline scripted broken_events(int first, int last) {
  scripted broken = events(first, last);
  broken.bytes.resize(broken.bytes.size() - stream_end.size());
  broken.close = true;
  return broken;
}

inline std::string refusal_of(const std::string &id) {
  return "HTTP/1.1 503 Busy\r\nAttempt: " + id +
         "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}
inline const std::string refusal = refusal_of("{id}");
/// A refusal that does not say which request it refuses.
inline const std::string anonymous_refusal =
    "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace heathtrestle::test_support
