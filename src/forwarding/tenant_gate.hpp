// Which requests may run as far as tenants are concerned: the key has to be
// known, what is known of keys has to be fresh enough, and the tenant has to be
// within its quota. Decides only; the caller answers.
#pragma once

#include "forwarding/client_request.hpp"
#include "routing/route_table.hpp"
#include "tenants/freshness.hpp"
#include "tenants/quota_book.hpp"
#include "tenants/recent_programs.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace heathtrestle::forwarding {

struct tenant_gate_options {
  /// Time within which a key that was taken away must stop working everywhere;
  /// zero when there is no such promise.
  duration_ms key_revocation{0};
  tenants::quota_options quota;
};

/// The request may run, in the name of `tenant`; empty where it needs none.
struct admitted {
  tenant_id tenant;
  /// Set when it goes before the route's.
  std::optional<std::uint32_t> priority;
  /// The tenant's home regions; empty: any.
  std::vector<std::string> home_regions;
};

enum class refusal_cause : std::uint8_t {
  /// No key, or one that nobody holds.
  unknown_key,
  /// The configuration was not confirmed lately enough: the key may have been
  /// taken away since.
  stale_keys,
  /// The tenant has used its quota up.
  over_quota,
  /// The tenant's programs would need more than its quota if all began at once.
  paced_programs,
};
std::string_view name_of(refusal_cause cause);

struct refused {
  refusal_cause cause = refusal_cause::unknown_key;
  duration_ms retry_after{0};
};

using admission = std::variant<admitted, refused>;

class tenant_gate {
public:
  tenant_gate(tenant_gate_options options, timestamp started)
      : freshness_(options.key_revocation), quotas_(options.quota, started) {}

  /// Decides on a request that has just come, and counts it.
  admission admit(const client_request &request, const routing::route &route,
                  const routing::route_table &routes, timestamp now);

  /// Decides whether a request that was admitted may still be sent, by the
  /// routes that are in force now: while it waited its key may have been taken
  /// away, or this gateway cut off.
  /// @return the cause against it, if any.
  [[nodiscard]] std::optional<refusal_cause>
  objection(const client_request &request, const routing::route &route,
            const routing::route_table &routes, timestamp now) const;

  /// Takes in the tenants of a new configuration.
  void apply(const routing::route_table &routes, timestamp now) {
    quotas_.apply(routes.keys().tenants(), now);
  }
  /// The configuration was current at `moment`.
  void confirm(timestamp moment) { freshness_.confirm(moment); }
  /// False while requests with keys cannot be served.
  [[nodiscard]] bool keys_hold(const routing::route_table &routes,
                               timestamp now) const {
    return routes.keys().empty() || freshness_.holds(now);
  }
  [[nodiscard]] const tenants::freshness &freshness() const {
    return freshness_;
  }
  [[nodiscard]] tenants::quota_book &quotas() { return quotas_; }

private:
  /// A turn of a program that this gateway has not let in before begins one;
  /// calls of tools belong to a program under way.
  [[nodiscard]] tenants::request_stage
  stage_of(const client_request &request) const;

  tenants::freshness freshness_;
  tenants::quota_book quotas_;
  tenants::recent_programs programs_;
};

} // namespace heathtrestle::forwarding
