// How much each tenant asked of the gateways lately, as they tell it with what
// they ask of the record group. Each is told the sum of the others'. Kept in
// memory only: gateways tell the whole window each time, so a new leader knows
// what a tenant has used as soon as it has heard from them.
#pragma once

#include "base/time.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace heathtrestle::records {

class usage_board {
public:
  /// @param gateway its address; what it told before is void.
  void tell(const std::string &gateway, const wire::TenantUsage &usage,
            timestamp now);
  /// What the others were asked, of the tenants that `gateway` has told of.
  [[nodiscard]] wire::TenantUsage others(const std::string &gateway) const;

private:
  struct sums {
    std::uint32_t requests = 0;
    std::uint32_t programs = 0;
  };
  struct report {
    wire::TenantUsage usage;
    timestamp at{};
  };

  void withdraw(const report &old);
  void forget_old(timestamp now);

  std::map<std::string, report> by_gateway_;
  std::unordered_map<std::uint32_t, sums> by_tenant_;
  /// The longest time that a report reaches back.
  std::uint32_t covered_ms_ = 0;
  timestamp next_sweep_{};
};

} // namespace heathtrestle::records
