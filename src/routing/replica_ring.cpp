#include "routing/replica_ring.hpp"

#include "routing/instance_directory.hpp"

namespace heathtrestle::routing {

void replica_ring::add(const instance_ptr &added) {
  by_point_.emplace(added->ring_point, added);
}

void replica_ring::remove(const instance &removed) {
  const auto [first, last] = by_point_.equal_range(removed.ring_point);
  for (auto it = first; it != last; ++it) {
    if (it->second.get() == &removed) {
      by_point_.erase(it);
      return;
    }
  }
}

} // namespace heathtrestle::routing
