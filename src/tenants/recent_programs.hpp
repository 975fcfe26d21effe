// Remembers which programs a gateway has let in lately, to tell a program's
// first request from later ones. Bounded: two generations, of which the older
// one is dropped whole. A program that is forgotten, or that comes from another
// gateway, counts as new; it is then refused a little sooner while its tenant
// is over its limit, and never otherwise.
#pragma once

#include "base/ids.hpp"

#include <cstdint>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace heathtrestle::tenants {

class recent_programs {
public:
  /// @param generation programs after which the older half is forgotten.
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
