// A consistent hashing ring of the replicas of one service in one zone.
//
// All gateways walk the same ring, so requests with the same key meet the same
// few replicas whichever gateway takes them, and a replica that joins or leaves
// changes the walk of a key by one place only.
#pragma once

#include "base/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

namespace heathtrestle::routing {

struct instance;
using instance_ptr = std::shared_ptr<instance>;

class replica_ring {
public:
  void add(const instance_ptr &added);
  void remove(const instance &removed);

  [[nodiscard]] bool empty() const { return by_point_.empty(); }
  [[nodiscard]] std::size_t size() const { return by_point_.size(); }

  /// Visits the replicas that follow `key` on the ring, each at most once,
  /// until `visit` returns false.
  template <typename Visit> void walk(std::uint64_t key, Visit visit) const {
    const auto first = by_point_.lower_bound(key);
    for (auto it = first; it != by_point_.end(); ++it) {
      if (!visit(it->second)) {
        return;
      }
    }
    for (auto it = by_point_.begin(); it != first; ++it) {
      if (!visit(it->second)) {
        return;
      }
    }
  }

private:
  std::multimap<std::uint64_t, instance_ptr> by_point_;
};

} // namespace heathtrestle::routing
