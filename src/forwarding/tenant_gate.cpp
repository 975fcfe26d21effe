#include "forwarding/tenant_gate.hpp"

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
  }
  return "unknown";
}

admission tenant_gate::admit(const client_request &request,
                             const routing::route &route,
                             const routing::route_table &routes,
                             timestamp now) {
  const tenants::tenant *tenant = routes.keys().find(request.key.value());
  if (needs_key(route, routes)) {
    // Whether a key is unknown is no more certain than that it is known.
    if (!freshness_.holds(now)) {
      return refused{.cause = refusal_cause::stale_keys};
    }
    if (tenant == nullptr) {
      return refused{.cause = refusal_cause::unknown_key};
    }
  }
  if (tenant == nullptr) {
    return admitted{};
  }
  const auto over = quotas_.refuse(*tenant, stage_of(request), now);
  if (over) {
    return refused{.cause = over->paced ? refusal_cause::paced_programs
                                        : refusal_cause::over_quota,
                   .retry_after = over->retry_after};
  }
  if (!request.program.empty()) {
    programs_.insert(request.program);
  }
  return admitted{.tenant = tenant->id,
                  .priority = tenant->priority,
                  .home_regions = tenant->home_regions};
}

std::optional<refusal_cause> tenant_gate::objection(
    const client_request &request, const routing::route &route,
    const routing::route_table &routes, timestamp now) const {
  if (!needs_key(route, routes)) {
    return std::nullopt;
  }
  if (!freshness_.holds(now)) {
    return refusal_cause::stale_keys;
  }
  const bool held = routes.keys().find(request.key.value()) != nullptr;
  return held ? std::nullopt : std::optional(refusal_cause::unknown_key);
}

tenants::request_stage
tenant_gate::stage_of(const client_request &request) const {
  const bool begins = request.turn.has_value() &&
                      request.previous_turn.empty() &&
                      !programs_.contains(request.program);
  return begins ? tenants::request_stage::begins_program
                : tenants::request_stage::under_way;
}

} // namespace heathtrestle::forwarding
