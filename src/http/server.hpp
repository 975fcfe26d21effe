// An HTTP/1.1 server: each connection is a fiber that reads a request, runs
// the handler and writes what the handler answers.
#pragma once

#include "http/io_thread.hpp"
#include "http/message.hpp"
#include "runtime/fiber_pool.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace heathtrestle::http {

/// One request and the means to answer it. Used from one fiber only.
class exchange {
public:
  exchange() = default;
  exchange(const exchange &) = delete;
  exchange &operator=(const exchange &) = delete;
  virtual ~exchange() = default;

  [[nodiscard]] virtual const request &incoming() const = 0;
  /// Sends a whole response. Called at most once, and not after a stream.
  virtual void respond(response answer) = 0;
  /// Sends the head of a chunked response.
  virtual void start_stream(std::uint32_t status, header_map headers) = 0;
  /// @return false when the peer has gone.
  virtual bool write(std::string data) = 0;
  virtual void finish_stream() = 0;
};

using handler = std::function<void(exchange &)>;

struct server_options {
  std::string address; // "ip:port"; port 0 takes any free one
  std::uint64_t body_limit = 8U * 1024U * 1024U; // bytes
  std::uint32_t header_limit = 16U * 1024U;      // bytes
  std::chrono::milliseconds idle_timeout{60000};
};

class server {
public:
  /// @return an error when the address cannot be listened on.
  static result<std::unique_ptr<server>> start(io_thread &io,
                                               runtime::fiber_pool &fibers,
                                               server_options options,
                                               handler handle);
  ~server();
  server(const server &) = delete;
  server &operator=(const server &) = delete;

  /// "ip:port" with the real port.
  [[nodiscard]] std::string address() const;
  /// No new connections; connections end after the request they are on.
  void stop_accepting();
  /// Requests being handled now.
  [[nodiscard]] std::size_t active() const;

private:
  struct state;
  explicit server(std::shared_ptr<state> shared);
  std::shared_ptr<state> state_;
};

} // namespace heathtrestle::http
