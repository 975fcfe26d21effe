// Feature switches for the mechanisms of replica selection. A setting can
// disable each of them, to measure its effect or because it misbehaves.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace heathtrestle::forwarding {

struct policy_switches {
  /// Prefer engines that are estimated to have the prompt's prefix cached.
  bool prefix_view = true;
  /// Learn engine costs from completed turns; otherwise the defaults are used.
  bool learnt_costs = true;
  /// Use the engine named in the record of the previous turn as the one that
  /// has the conversation cached.
  bool turn_places = true;
  /// Include the load that other gateways report.
  bool shared_loads = true;
  /// Include an engine's recent time to the first event.
  bool engine_wait = true;
  /// Send fewer requests to replicas that answer slower than others.
  bool replica_speed = true;
  /// Prefer replicas in the gateway's zone.
  bool zone_preference = true;
  /// Send requests that concern the same object to the same plain replica.
  bool object_affinity = true;
  /// Among equal plain replicas prefer one with an idle connection.
  bool connection_reuse = true;
  /// Avoid replicas that failed recently.
  bool avoidance = true;
  /// Send the priority of the route or tenant to the engines.
  bool route_priority = true;
  /// Give programs past their deadline a low priority at the engines.
  bool late_priority = true;
  /// Let requests wait for a replica before they are refused.
  bool patience = true;

  bool operator==(const policy_switches &) const = default;
};

/// Returns the names under which the mechanisms are disabled in the settings.
std::vector<std::string> policy_names();

/// Returns the switches with the named mechanisms disabled.
policy_switches policies_without(const std::vector<std::string> &names);

} // namespace heathtrestle::forwarding
