#include "forwarding/policy_switches.hpp"

#include <array>
#include <utility>

namespace heathtrestle::forwarding {

namespace {

using named_switch = std::pair<std::string_view, bool policy_switches::*>;

constexpr std::array<named_switch, 13> switches{{
    {"prefix_view", &policy_switches::prefix_view},
    {"learnt_costs", &policy_switches::learnt_costs},
    {"turn_places", &policy_switches::turn_places},
    {"shared_loads", &policy_switches::shared_loads},
    {"engine_wait", &policy_switches::engine_wait},
    {"replica_speed", &policy_switches::replica_speed},
    {"zone_preference", &policy_switches::zone_preference},
    {"object_affinity", &policy_switches::object_affinity},
    {"connection_reuse", &policy_switches::connection_reuse},
    {"avoidance", &policy_switches::avoidance},
    {"route_priority", &policy_switches::route_priority},
    {"late_priority", &policy_switches::late_priority},
    {"patience", &policy_switches::patience},
}};

} // namespace

std::vector<std::string> policy_names() {
  std::vector<std::string> names;
  names.reserve(switches.size());
  for (const auto &[name, member] : switches) {
    names.emplace_back(name);
  }
  return names;
}

policy_switches policies_without(const std::vector<std::string> &names) {
  policy_switches policies;
  for (const std::string &unwanted : names) {
    for (const auto &[name, member] : switches) {
      if (name == unwanted) {
        policies.*member = false;
      }
    }
  }
  return policies;
}

} // namespace heathtrestle::forwarding
