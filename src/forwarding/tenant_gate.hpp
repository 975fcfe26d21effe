// Admission control by tenant: checks that the request's key is known and that
// the configuration is recent enough to rely on keys, and determines whether a
// permit of the tenant's quota is needed. It only decides; the caller obtains
// the permit and answers the client.
#pragma once

#include "forwarding/client_request.hpp"
#include "records/turn_ledger.hpp"
#include "routing/route_table.hpp"
#include "tenants/key_freshness.hpp"
#include "tenants/permit.hpp"
#include "tenants/recent_programs.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace heathtrestle::forwarding {

/// How a tenant's requests are counted against its quota.
struct quota_counting {
  /// Length of the sliding window.
  duration_ms window{5000};
  /// The tolerance beyond the limit of a window: a fraction of the limit, plus
  /// a number of requests.
  double overshoot = 0;
  double slack = 0;
};

struct tenant_gate_options {
  /// Time within which a revoked key must stop working on every gateway; zero
  /// for no such guarantee.
  duration_ms key_revocation{0};
  quota_counting quota;
};

/// The request is admitted on behalf of `tenant`, which is empty where no key
/// is needed.
struct admitted {
  tenant_id tenant;
  /// Overrides the priority of the route when set.
  std::optional<std::uint32_t> priority;
  /// The tenant's home regions; empty: any.
  std::vector<std::string> home_regions;
  /// Set when the request needs a permit of the tenant's quota.
  std::optional<records::permit_request> permit;
};

enum class refusal_cause : std::uint8_t {
  /// The key is missing or belongs to no tenant.
  unknown_key,
  /// The configuration was not confirmed recently, so the key may have been
  /// revoked.
  stale_keys,
  /// The tenant's quota is used up.
  over_quota,
  /// The tenant's programs would exceed its quota if all of them started at
  /// once.
  paced_programs,
  /// The leader that keeps the tenant's quota account does not answer.
  unknown_quota,
};
std::string_view name_of(refusal_cause cause);

struct refused {
  refusal_cause cause = refusal_cause::unknown_key;
  duration_ms retry_after{0};
};

using admission = std::variant<admitted, refused>;

class tenant_gate {
public:
  explicit tenant_gate(tenant_gate_options options)
      : freshness_(options.key_revocation), counting_(options.quota) {}

  /// Decides on a request on its arrival.
  [[nodiscard]] admission admit(const client_request &request,
                                const routing::route &route,
                                const routing::route_table &routes,
                                timestamp now) const;
  /// Records that the program of a request has received its first permit. Its
  /// later requests do not count as the start of a program.
  void record_program_start(const client_request &request);

  /// Checks by the current routes whether an admitted request may still be
  /// sent. While it waited, its key may have been revoked or the configuration
  /// may have become stale.
  /// @return the cause for refusing it, if any.
  [[nodiscard]] std::optional<refusal_cause>
  recheck_admission(const client_request &request, const routing::route &route,
                    const routing::route_table &routes, timestamp now) const;

  /// Records that the configuration was current at `moment`.
  void confirm(timestamp moment) { freshness_.confirm(moment); }
  /// Returns whether keys can be relied on; false while the configuration is
  /// stale and there are tenants.
  [[nodiscard]] bool keys_are_fresh(const routing::route_table &routes,
                                    timestamp now) const {
    return routes.keys().empty() || freshness_.keys_valid(now);
  }
  [[nodiscard]] const tenants::key_freshness &freshness() const {
    return freshness_;
  }

private:
  /// Returns whether the request is the first turn of a program that this
  /// gateway has not seen. Requests without a turn never start a program.
  [[nodiscard]] bool begins_program(const client_request &request) const;
  [[nodiscard]] tenants::quota_terms
  terms_of(const tenants::request_quota &quota,
           const routing::route_table &routes) const;

  tenants::key_freshness freshness_;
  quota_counting counting_;
  tenants::recent_programs programs_;
};

} // namespace heathtrestle::forwarding
