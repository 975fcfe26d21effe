#include "forwarding/replica_check.hpp"

#include <utility>

namespace heathtrestle::forwarding {

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
  }
  return "unknown";
}

asio::awaitable<replica_fate> check_replica(gateway &shared,
                                            const routing::instance &target) {
  const routing::instance_record record = target.record;
  if (!shared.replicas().directory().contains(record.start())) {
    co_return replica_fate::unlisted;
  }
  auto connection = co_await shared.pool().connect(record);
  if (connection) {
    shared.pool().release(record.start(), std::move(connection).value(),
                          duration_ms{0});
    co_return replica_fate::alive;
  }
  co_return connection.error() == connect_error::refused
      ? replica_fate::crashed
      : replica_fate::unreachable;
}

} // namespace heathtrestle::forwarding
