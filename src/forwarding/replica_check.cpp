#include "forwarding/replica_check.hpp"

#include "forwarding/gateway.hpp"
#include "forwarding/socket_options.hpp"

#include <utility>

namespace heathtrestle::forwarding {

namespace {

/// A process that is ending may still accept a connection, which then breaks at
/// once.
constexpr duration_ms settle_time{10};
/// A replica that closes so many connections, but goes on accepting them, has
/// more than it takes.
constexpr int max_checks = 3;

} // namespace

std::string_view name_of(replica_fate fate) {
  switch (fate) {
  case replica_fate::alive:
    return "alive";
  case replica_fate::crashed:
    return "crashed";
  case replica_fate::unlisted:
    return "unlisted";
  case replica_fate::unreachable:
    return "unreachable";
  case replica_fate::unknown:
    return "unknown";
  }
  return "unknown";
}

asio::awaitable<replica_fate> probe_replica(gateway &shared,
                                            routing::instance_record target) {
  asio::steady_timer timer(shared.io());
  for (int checked = 0; checked < max_checks; ++checked) {
    auto connection = co_await shared.pool().connect(target);
    if (!connection) {
      co_return connection.error() == connect_error::refused
          ? replica_fate::crashed
          : replica_fate::unreachable;
    }
    timer.expires_after(settle_time);
    co_await timer.async_wait(as_result);
    if (!is_open_and_idle(connection.value()->socket)) {
      continue;
    }
    if (!shared.pool().has_idle(target.start(), steady_now())) {
      shared.pool().release(target.start(), std::move(connection).value(),
                            duration_ms{0});
    }
    break;
  }
  co_return replica_fate::alive;
}

asio::awaitable<replica_fate> check_replica(gateway &shared,
                                            const routing::instance &target) {
  if (!shared.replicas().directory().contains(target.record.start())) {
    co_return replica_fate::unlisted;
  }
  co_return co_await probe_replica(shared, target.record);
}

} // namespace heathtrestle::forwarding
