#include "forwarding/tenant_gate.hpp"

#include <cmath>

namespace heathtrestle::forwarding {

namespace {

bool needs_key(const routing::route &route,
               const routing::route_table &routes) {
  return !route.open && !routes.keys().empty();
}

} // namespace

std::string_view name_of(refusal_cause cause) {
  switch (cause) {
  case refusal_cause::unknown_key:
    return "unknown_key";
  case refusal_cause::stale_keys:
    return "stale_keys";
  case refusal_cause::over_quota:
    return "over_quota";
  case refusal_cause::paced_programs:
    return "paced_programs";
  case refusal_cause::unknown_quota:
    return "unknown_quota";
  }
  return "unknown";
}

admission tenant_gate::admit(const client_request &request,
                             const routing::route &route,
                             const routing::route_table &routes,
                             timestamp now) const {
  const tenants::tenant *tenant = routes.keys().find(request.key.value());
  if (needs_key(route, routes)) {
    // A stale configuration does not show that a key is unknown either.
    if (!freshness_.keys_valid(now)) {
      return refused{.cause = refusal_cause::stale_keys};
    }
    if (tenant == nullptr) {
      return refused{.cause = refusal_cause::unknown_key};
    }
  }
  if (tenant == nullptr) {
    return admitted{};
  }
  admitted result{.tenant = tenant->id,
                  .priority = tenant->priority,
                  .home_regions = tenant->home_regions,
                  .permit = std::nullopt};
  if (tenant->quota.limited()) {
    result.permit = {.tenant = tenant->id,
                     .terms = terms_of(tenant->quota, routes),
                     .begins_program = begins_program(request)};
  }
  return result;
}

void tenant_gate::record_program_start(const client_request &request) {
  if (!request.program.empty()) {
    programs_.insert(request.program);
  }
}

tenants::quota_terms
tenant_gate::terms_of(const tenants::request_quota &quota,
                      const routing::route_table &routes) const {
  constexpr double thousandths = 1000;
  return {.version = routes.version().value(),
          .millirequests_per_second = static_cast<std::uint64_t>(
              std::llround(quota.rate_per_second * thousandths)),
          .burst_millirequests = static_cast<std::uint64_t>(
              std::llround(quota.burst * thousandths)),
          .window = counting_.window,
          .overshoot_permille = static_cast<std::uint32_t>(
              std::floor(counting_.overshoot * thousandths)),
          .slack = static_cast<std::uint32_t>(std::floor(counting_.slack))};
}

std::optional<refusal_cause> tenant_gate::recheck_admission(
    const client_request &request, const routing::route &route,
    const routing::route_table &routes, timestamp now) const {
  if (!needs_key(route, routes)) {
    return std::nullopt;
  }
  if (!freshness_.keys_valid(now)) {
    return refusal_cause::stale_keys;
  }
  const bool held = routes.keys().find(request.key.value()) != nullptr;
  return held ? std::nullopt : std::optional(refusal_cause::unknown_key);
}

bool tenant_gate::begins_program(const client_request &request) const {
  return request.turn.has_value() && request.previous_turn.empty() &&
         !programs_.contains(request.program);
}

} // namespace heathtrestle::forwarding
