// Checks data residency in the record group. The group chooses the nodes that
// store a record and moves records when nodes are lost, so all of its nodes
// must lie in the home regions.
#pragma once

#include "records/turn_ledger.hpp"
#include "routing/residency.hpp"
#include "routing/topology.hpp"

#include <optional>
#include <vector>

namespace heathtrestle::forwarding {

/// @param nodes the nodes of the record group. A node without a region is in
/// the region of its zone.
/// @return the first node outside the home regions, with its region; nothing
/// when all are inside or the request is not restricted.
std::optional<records::storage_place>
storage_outside(const std::vector<records::storage_place> &nodes,
                const routing::residency &home,
                const routing::topology &places);

} // namespace heathtrestle::forwarding
