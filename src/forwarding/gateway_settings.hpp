// The settings of the forwarding gateway.
#pragma once

#include "config/settings_schema.hpp"
#include "routing/topology.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace heathtrestle::forwarding {

struct gateway_settings {
  std::string name;
  routing::place_settings places;
  std::string client_address;
  std::string readiness_address;
  std::string peer_address;
  std::string rpc_address;
  /// The address at which others reach `rpc_address`, if different.
  std::string advertised_rpc_address;
  std::string metrics_address;
  std::vector<std::string> seeds;
  /// Number of storage nodes that may be lost at once with their disks.
  std::uint64_t tolerated_losses = 1;
  std::uint64_t partitions = 0;
  std::uint64_t store_writes_per_second = 0;
  std::string store_address;
  double grace_seconds = 8;
  /// How long a replica may receive new requests after its departure was
  /// recorded.
  std::chrono::milliseconds drain_notice{1500};
  /// Time from the operator's request to drain a zone until its replicas
  /// receive no more requests; zero when zones are never drained.
  std::chrono::milliseconds zone_drain{0};
  /// Time within which a revoked key must stop working on every gateway; zero
  /// for no such guarantee.
  std::chrono::milliseconds key_revocation{0};
  /// Length of the window in which a tenant's requests are counted against its
  /// quota.
  double quota_window_seconds = 5;
  /// The tolerance beyond the limit of a window: a fraction of the limit, plus
  /// a number of requests.
  double quota_overshoot = 0;
  double quota_slack = 0;
  /// The limit for a replica that is warming up, in any second: a multiple of
  /// its rate plus a number of requests; an overshoot of 0 disables the limit.
  double slow_start_overshoot = 0;
  double slow_start_slack = 0;
  /// Names of the selection mechanisms that are disabled.
  std::vector<std::string> disabled_policies;
  /// Memory of the machine in megabytes; 0 if unknown.
  std::uint64_t memory_mb = 0;
  std::string log_level = "info";
  std::uint64_t log_lines = 200;
};

void describe_settings(config::settings_schema &schema,
                       gateway_settings &settings);

} // namespace heathtrestle::forwarding
