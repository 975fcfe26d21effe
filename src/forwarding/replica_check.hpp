// Finds out why an attempt was lost at a replica: whether the replica has
// crashed or only the connection broke.
#pragma once

#include "routing/instance_directory.hpp"
#include "runtime/asio.hpp"

#include <cstdint>
#include <string_view>

namespace heathtrestle::forwarding {

class gateway;

/// What became of a replica at which an attempt was lost.
enum class replica_fate : std::uint8_t {
  alive,       // it accepts connections: only the attempt's connection broke
  crashed,     // nothing listens at its address
  unlisted,    // its entry is gone, or belongs to a later start
  unreachable, // it does not answer; whether it runs is not known
  unknown,     // not checked
};

std::string_view name_of(replica_fate fate);

/// Checks whether a replica accepts connections, by opening one. It goes to the
/// pool if no other is idle there.
asio::awaitable<replica_fate> probe_replica(gateway &shared,
                                            routing::instance_record target);

/// Checks whether a replica at which an attempt was lost is still listed and
/// accepts connections.
asio::awaitable<replica_fate> check_replica(gateway &shared,
                                            const routing::instance &target);

} // namespace heathtrestle::forwarding
