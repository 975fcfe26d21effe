// Whether the record group may keep what a request with home regions brings. It
// copies each record to nodes of its own choice and moves them to others when
// nodes are lost, so all nodes that it has must lie at home.
#pragma once

#include "records/turn_ledger.hpp"
#include "routing/residency.hpp"
#include "routing/topology.hpp"

#include <optional>
#include <vector>

namespace heathtrestle::forwarding {

/// @param nodes of the record group. A node that tells no region lies in the
/// one of its zone.
/// @return the first node that lies outside the home regions, with its region;
/// nothing where all lie inside, or the request is bound to none.
std::optional<records::storage_place>
storage_outside(const std::vector<records::storage_place> &nodes,
                const routing::residency &home,
                const routing::topology &places);

} // namespace heathtrestle::forwarding
