// Remembers which programs a gateway has recently admitted, to tell a program's
// first request from later ones. Bounded: keeps two generations and drops the
// older one whole. A program that was dropped, or that was admitted by another
// gateway, counts as new; the only effect is that it is rejected slightly
// earlier while its tenant is over its limit.
#pragma once

#include "base/ids.hpp"

#include <cstdint>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace heathtrestle::tenants {

class recent_programs {
public:
  /// @param generation number of programs after which the older half is
  /// dropped.
  explicit recent_programs(std::size_t generation = 4096)
      : generation_(generation) {}

  [[nodiscard]] bool contains(std::string_view program) const {
    const std::uint64_t key = stable_hash(program);
    return newer_.contains(key) || older_.contains(key);
  }

  void insert(std::string_view program) {
    newer_.insert(stable_hash(program));
    if (newer_.size() >= generation_) {
      older_ = std::exchange(newer_, {});
    }
  }

private:
  std::size_t generation_;
  std::unordered_set<std::uint64_t> newer_;
  std::unordered_set<std::uint64_t> older_;
};

} // namespace heathtrestle::tenants
