// Decides which storage nodes relay watched objects, and who follows which.
//
// In a small fleet a few nodes watch the object store, one more than may fail
// at once, and all gateways follow these. In a large one they feed a second
// level of relays, which the gateways follow, so that the followers of one
// relay do not grow with the fleet. Pure functions over the list of nodes;
// processes that know different lists follow different relays, which is
// harmless.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace heathtrestle::objects {

/// A storage node that can serve as a relay.
struct relay_address {
  std::string name;
  std::string address; // "ip:port"
  std::string zone;

  bool operator==(const relay_address &) const = default;
};

/// The relays that a process tries one after the other.
struct relay_order {
  std::vector<relay_address> relays;
  /// The first of them, of which the process starts with any.
  std::size_t preferred = 0;

  bool operator==(const relay_order &) const = default;
};

/// Sorts relays into the order in which they are used, the same in all
/// processes. Neighbours are in different zones where possible.
std::vector<relay_address>
sort_by_preference(std::vector<relay_address> relays);

/// The relays of a gateway: of the second level, if there is one, those in its
/// own zone first.
/// @param watchers the number of nodes that watch the object store.
/// @param zone of the gateway.
relay_order relays_of_gateway(std::vector<relay_address> nodes,
                              std::size_t watchers, const std::string &zone);

/// The relays that a storage node follows: those that watch the store, or none
/// when it is one of them or there is only one level.
/// @param name of the node.
relay_order relays_of_node(std::vector<relay_address> nodes,
                           std::size_t watchers, const std::string &name);

} // namespace heathtrestle::objects
