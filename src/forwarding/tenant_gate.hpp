// Which requests may run as far as tenants are concerned: the key has to be
// known, what is known of keys has to be fresh enough, and a tenant with a
// quota needs a permit for each request. Decides only; the caller asks and
// answers.
#pragma once

#include "forwarding/client_request.hpp"
#include "records/turn_ledger.hpp"
#include "routing/route_table.hpp"
#include "tenants/freshness.hpp"
#include "tenants/permit.hpp"
#include "tenants/recent_programs.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace heathtrestle::forwarding {

/// How the operator counts what tenants send.
struct quota_counting {
  /// Length of the sliding window.
  duration_ms window{5000};
  /// What is tolerated beyond the limit of a window: a share of it, and so many
  /// requests.
  double overshoot = 0;
  double slack = 0;
};

struct tenant_gate_options {
  /// Time within which a key that was taken away must stop working everywhere;
  /// zero when there is no such promise.
  duration_ms key_revocation{0};
  quota_counting quota;
};

/// The request may run, in the name of `tenant`; empty where it needs none.
struct admitted {
  tenant_id tenant;
  /// Set when it goes before the route's.
  std::optional<std::uint32_t> priority;
  /// The tenant's home regions; empty: any.
  std::vector<std::string> home_regions;
  /// Set when it needs a permit.
  std::optional<records::permit_request> permit;
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
  /// No leader answers that keeps the tenant's account.
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

  /// Decides on a request that has just come.
  [[nodiscard]] admission admit(const client_request &request,
                                const routing::route &route,
                                const routing::route_table &routes,
                                timestamp now) const;
  /// The program of a request has got its first permit: what it asks for later
  /// goes on with it.
  void record_program_start(const client_request &request);

  /// Decides whether a request that was admitted may still be sent, by the
  /// routes that are in force now: while it waited its key may have been taken
  /// away, or this gateway cut off.
  /// @return the cause against it, if any.
  [[nodiscard]] std::optional<refusal_cause>
  recheck_admission(const client_request &request, const routing::route &route,
                    const routing::route_table &routes, timestamp now) const;

  /// The configuration was current at `moment`.
  void confirm(timestamp moment) { freshness_.confirm(moment); }
  /// False while requests with keys cannot be served.
  [[nodiscard]] bool keys_are_fresh(const routing::route_table &routes,
                                    timestamp now) const {
    return routes.keys().empty() || freshness_.holds(now);
  }
  [[nodiscard]] const tenants::freshness &freshness() const {
    return freshness_;
  }

private:
  /// A turn of a program that this gateway has not let in before begins one;
  /// calls of tools belong to a program under way.
  [[nodiscard]] bool begins_program(const client_request &request) const;
  [[nodiscard]] tenants::quota_terms
  terms_of(const tenants::request_quota &quota,
           const routing::route_table &routes) const;

  tenants::freshness freshness_;
  quota_counting counting_;
  tenants::recent_programs programs_;
};

} // namespace heathtrestle::forwarding
