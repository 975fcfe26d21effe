// Connection pool to replicas. A connection serves one request at a time. An
// idle connection is reused unless the replica has closed it, has sent
// unexpected bytes, or is about to close it.
#pragma once

#include "base/error.hpp"
#include "forwarding/socket_options.hpp"
#include "routing/instance_directory.hpp"
#include "runtime/asio.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>

namespace heathtrestle::forwarding {

/// Numbers the connections of a pool in the order of their opening.
using connection_number = std::uint64_t;

struct upstream_connection {
  upstream_connection(asio::io_context &io, connection_number opened_as)
      : socket(io), number(opened_as) {}

  tcp::socket socket;
  connection_number number;
  boost::beast::flat_buffer buffer;
  /// The time after which an idle connection is not reused, because the replica
  /// may close it.
  timestamp usable_until{};
  /// Set when the connection has served a request before.
  bool reused = false;
  /// Set while connecting, until the connection is established or times out.
  bool connecting = false;
};

using connection_ptr = std::shared_ptr<upstream_connection>;

struct pool_options {
  duration_ms connect_timeout{250};
  /// How long an idle connection is kept when the replica announces no limit.
  duration_ms idle_limit{10000};
  /// A connection that expires within this time is not reused.
  duration_ms idle_margin{500};
  liveness_options liveness;
};

/// Why no connection was established.
enum class connect_error : std::uint8_t {
  refused, // no process listens on the address
  timed_out,
  failed,
};

class upstream_pool {
public:
  upstream_pool(asio::io_context &io, pool_options options)
      : io_(io), options_(options) {}

  /// Returns an idle connection to the instance, or opens a new one.
  /// @param excluded the connections that are not returned.
  asio::awaitable<result_or<connection_ptr, connect_error>>
  acquire(const routing::instance_record &target,
          const std::vector<connection_number> &excluded);

  /// Opens a new connection to the instance.
  asio::awaitable<result_or<connection_ptr, connect_error>>
  connect(const routing::instance_record &target);

  /// Returns whether there is an idle connection to the instance.
  [[nodiscard]] bool has_idle(const routing::incarnation &start,
                              timestamp now) const;

  /// Returns a connection to the pool after its last answer was read
  /// completely.
  /// @param keep_alive how long the replica keeps it idle; zero if unspecified.
  void release(const routing::incarnation &start, connection_ptr connection,
               duration_ms keep_alive);

  /// Drops the newest idle connection to the instance if the instance has
  /// closed it. A process that ends closes all of them.
  /// @return true when it was dropped.
  bool drop_closed(const routing::incarnation &start);

  /// Closes the idle connections to an instance that is no longer listed.
  void close_idle(const routing::incarnation &start) { idle_.erase(start); }
  /// Closes all connections to an instance whose process has certainly ended,
  /// so that requests on them fail at once instead of at the liveness timeout
  /// or their deadline.
  void close_all(const routing::incarnation &start);

  /// Closes expired idle connections.
  void close_expired(timestamp now);

  /// The number of connections opened since the start.
  [[nodiscard]] std::uint64_t opened() const { return opened_; }

private:
  connection_ptr take_idle(const routing::incarnation &start,
                           const std::vector<connection_number> &excluded);
  connection_ptr track(const routing::incarnation &start,
                       connection_ptr connection);

  asio::io_context &io_;
  pool_options options_;
  std::map<routing::incarnation, std::vector<connection_ptr>> idle_;
  /// Connections in use; some may have been closed since.
  std::map<routing::incarnation,
           std::vector<std::weak_ptr<upstream_connection>>>
      in_use_;
  std::uint64_t opened_ = 0;
};

} // namespace heathtrestle::forwarding
