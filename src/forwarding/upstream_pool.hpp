// Connections to replicas, kept between requests. One request at a time uses a
// connection; an idle one is handed out again unless its replica has closed it,
// has sent bytes that nobody asked for, or is about to close it.
#pragma once

#include "base/error.hpp"
#include "forwarding/socket_options.hpp"
#include "routing/instance_directory.hpp"
#include "runtime/asio.hpp"

#include <map>
#include <memory>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>

namespace heathtrestle::forwarding {

struct upstream_connection {
  explicit upstream_connection(asio::io_context &io) : socket(io) {}

  tcp::socket socket;
  boost::beast::flat_buffer buffer;
  /// When the replica may close it while it is idle.
  timestamp usable_until{};
  /// True when it has served a request before.
  bool reused = false;
  /// True until it stands, or its time to connect is over.
  bool connecting = false;
};

using connection_ptr = std::shared_ptr<upstream_connection>;

struct pool_options {
  duration_ms connect_timeout{250};
  /// How long an idle connection is kept when the replica names no time.
  duration_ms idle_limit{10000};
  /// A connection this close to its end is not used again.
  duration_ms idle_margin{500};
  liveness_options liveness;
};

/// Why no connection was made.
enum class connect_error : std::uint8_t {
  refused, // nothing listens there any more
  timed_out,
  failed,
};

class upstream_pool {
public:
  upstream_pool(asio::io_context &io, pool_options options)
      : io_(io), options_(options) {}

  /// An idle connection to the instance, or a new one.
  asio::awaitable<result_or<connection_ptr, connect_error>>
  acquire(const routing::instance_record &target);

  /// True when a connection to the instance waits to be used again.
  [[nodiscard]] bool has_idle(const routing::incarnation &start,
                              timestamp now) const;

  /// Keeps a connection whose last answer was read whole.
  /// @param keep_alive how long the replica keeps it idle; zero when unsaid.
  void release(const routing::incarnation &start, connection_ptr connection,
               duration_ms keep_alive);

  /// Closes the idle connections to an instance that has gone.
  void close_idle(const routing::incarnation &start) { idle_.erase(start); }
  /// Closes all connections to an instance whose process has ended for certain:
  /// requests on them learn at once what they would else learn only when the
  /// liveness check or their deadline tells.
  void close_all(const routing::incarnation &start);

  /// Closes idle connections whose time is up.
  void close_expired(timestamp now);

  /// Connections made since the start.
  [[nodiscard]] std::uint64_t opened() const { return opened_; }

private:
  connection_ptr take_idle(const routing::incarnation &start);
  connection_ptr track(const routing::incarnation &start,
                       connection_ptr connection);

  asio::io_context &io_;
  pool_options options_;
  std::map<routing::incarnation, std::vector<connection_ptr>> idle_;
  /// Connections that were handed out, and may have been closed since.
  std::map<routing::incarnation,
           std::vector<std::weak_ptr<upstream_connection>>>
      in_use_;
  std::uint64_t opened_ = 0;
};

} // namespace heathtrestle::forwarding
