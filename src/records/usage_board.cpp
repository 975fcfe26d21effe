#include "records/usage_board.hpp"

#include <algorithm>

namespace heathtrestle::records {

namespace {

/// What a gateway told counts this long after it fell silent: about the window
/// in which requests are counted, since what it let through was let through.
constexpr duration_ms told_for{5000};
constexpr duration_ms sweep_interval{500};

/// Calls `use(tenant, requests, programs)` for each tenant; lists of unequal
/// length end with the shortest.
template <typename Use>
void for_each_tenant(const wire::TenantUsage &usage, Use use) {
  const int listed = std::min(
      {usage.tenants_size(), usage.requests_size(), usage.programs_size()});
  for (int place = 0; place < listed; ++place) {
    use(usage.tenants(place), usage.requests(place), usage.programs(place));
  }
}

} // namespace

void usage_board::tell(const std::string &gateway,
                       const wire::TenantUsage &usage, timestamp now) {
  forget_old(now);
  report &told = by_gateway_[gateway];
  withdraw(told);
  told = {.usage = usage, .at = now};
  covered_ms_ = std::max(covered_ms_, usage.covered_ms());
  for_each_tenant(usage, [this](std::uint32_t tenant, std::uint32_t requests,
                                std::uint32_t programs) {
    sums &sum = by_tenant_[tenant];
    sum.requests += requests;
    sum.programs += programs;
  });
}

void usage_board::withdraw(const report &old) {
  for_each_tenant(old.usage,
                  [this](std::uint32_t tenant, std::uint32_t requests,
                         std::uint32_t programs) {
                    sums &sum = by_tenant_[tenant];
                    sum.requests -= requests;
                    sum.programs -= programs;
                    if (sum.requests == 0 && sum.programs == 0) {
                      by_tenant_.erase(tenant);
                    }
                  });
}

void usage_board::forget_old(timestamp now) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + sweep_interval;
  std::erase_if(by_gateway_, [this, now](const auto &entry) {
    const bool old = now >= entry.second.at + told_for;
    if (old) {
      withdraw(entry.second);
    }
    return old;
  });
  covered_ms_ = 0;
  for (const auto &[gateway, told] : by_gateway_) {
    covered_ms_ = std::max(covered_ms_, told.usage.covered_ms());
  }
}

wire::TenantUsage usage_board::others(const std::string &gateway) const {
  wire::TenantUsage told;
  told.set_covered_ms(covered_ms_);
  const auto own = by_gateway_.find(gateway);
  if (own == by_gateway_.end()) {
    return told;
  }
  for_each_tenant(own->second.usage,
                  [&](std::uint32_t tenant, std::uint32_t requests,
                      std::uint32_t programs) {
                    const sums &sum = by_tenant_.at(tenant);
                    told.add_tenants(tenant);
                    told.add_requests(sum.requests - requests);
                    told.add_programs(sum.programs - programs);
                  });
  return told;
}

} // namespace heathtrestle::records
