// The mechanisms by which a gateway decides, each of which a setting can switch
// off: to measure what it is worth, and to do without it should it misbehave.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace heathtrestle::forwarding {

struct policy_switches {
  /// What engines are taken to keep of prompts.
  bool prefix_view = true;
  /// Engine costs learnt from turns; without it the prior beliefs stand.
  bool learnt_costs = true;
  /// Where the record of the last turn says that its memory lies.
  bool turn_places = true;
  /// What other gateways tell of their requests.
  bool shared_loads = true;
  /// How long first events were lately waited for at an engine.
  bool engine_wait = true;
  /// Replicas that answer slower than others get less.
  bool replica_speed = true;
  /// Replicas of the own zone go first.
  bool zone_preference = true;
  /// Requests of one object go to one plain replica.
  bool object_affinity = true;
  /// Among plain replicas that are alike, one with an idle connection is taken.
  bool connection_reuse = true;
  /// Replicas that failed lately are avoided.
  bool avoidance = true;
  /// Turns of more urgent routes go first at the engines.
  bool route_priority = true;
  /// Programs that have missed their time come last at the engines.
  bool late_priority = true;
  /// Requests wait for a place before they are refused.
  bool patience = true;

  bool operator==(const policy_switches &) const = default;
};

/// The names under which mechanisms are switched off.
std::vector<std::string> policy_names();

/// All mechanisms but those named.
policy_switches policies_without(const std::vector<std::string> &names);

} // namespace heathtrestle::forwarding
