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
  /// Where others reach `rpc_address`; empty where it is the same.
  std::string advertised_rpc_address;
  std::string metrics_address;
  std::vector<std::string> seeds;
  /// Storage nodes that may be lost at once, disks and all.
  std::uint64_t tolerated_losses = 1;
  std::uint64_t partitions = 0;
  std::uint64_t store_writes_per_second = 0;
  std::string store_address;
  double grace_seconds = 8;
  /// For so long after a replica's leaving was recorded it may get new work.
  std::chrono::milliseconds drain_notice{1500};
  /// Time from the operator's request to drain a zone until its replicas get
  /// nothing more; zero where zones are not drained.
  std::chrono::milliseconds zone_drain{0};
  /// Time within which a key that was taken away must stop working everywhere;
  /// zero when that is not promised.
  std::chrono::milliseconds key_revocation{0};
  /// Window within which a tenant's requests are counted against its quota.
  double quota_window_seconds = 5;
  /// What may be sent beyond the limit of a window: a share of it, and so many
  /// requests more.
  double quota_overshoot = 0;
  double quota_slack = 0;
  /// What a replica may get in any second while it warms up: so many times the
  /// rate that it bears, and so many requests more; 0 where no limit is kept.
  double slow_start_overshoot = 0;
  double slow_start_slack = 0;
  /// Mechanisms of choice that are switched off, by name.
  std::vector<std::string> disabled_policies;
  std::string log_level = "info";
  std::uint64_t log_lines = 200;
};

void describe_settings(config::settings_schema &schema,
                       gateway_settings &settings);

} // namespace heathtrestle::forwarding
