// The settings of heathtrestled. A test checks that docs/SETTINGS.md lists
// every key.
#pragma once

#include "config/settings_schema.hpp"
#include "core/node.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heathtrestle::daemon {

struct daemon_settings {
  std::string name;
  std::string zone = "zone-1";
  std::string region = "region-1";
  std::string cluster = "heathtrestle";
  std::vector<std::string> roles{"gateway", "partitions"};
  std::uint64_t workers = 2;
  std::string rpc_address;
  std::string http_address;
  std::uint64_t body_limit = 8U * 1024U * 1024U;
  std::vector<std::string> seeds;
  std::uint64_t founding_members = 3;
  std::uint64_t partitions = 16;
  std::uint64_t replication = 3;
  std::string platform_address;
  std::chrono::milliseconds tick_interval{50};
  std::chrono::milliseconds heartbeat_interval{300};
  std::chrono::milliseconds election_timeout{1500};
  std::chrono::milliseconds probe_interval{1000};
  std::chrono::milliseconds suspicion_timeout{3000};
  std::chrono::milliseconds drain_limit{30000};
  std::chrono::milliseconds program_idle_limit{3600000};
  std::chrono::milliseconds stall_limit{15000};
  std::string placement = "affinity";
  std::string scheduling = "fair_priority";
  std::string log_level = "info";
  std::string trace_file;
};

/// Values of the setting `node.roles`.
inline constexpr std::string_view gateway_role = "gateway";
inline constexpr std::string_view partitions_role = "partitions";

bool has_role(const daemon_settings &settings, std::string_view role);

/// Registers every setting with its key, default, bounds and help text.
void describe_settings(config::settings_schema &schema,
                       daemon_settings &settings);

/// Derives the reducer's options from the settings.
core::node_options node_options_of(const daemon_settings &settings);

} // namespace heathtrestle::daemon
