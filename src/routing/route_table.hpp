// Finds the route of a request: among the routes of its host, the one with the
// longest matching path prefix. Immutable; each configuration gets a new table.
#pragma once

#include "routing/configuration.hpp"
#include "tenants/key_ring.hpp"

#include <string_view>
#include <unordered_map>

namespace heathtrestle::routing {

class route_table {
public:
  explicit route_table(configuration settings);

  /// @param host as the client sent it; a port and its case are ignored.
  /// @param target the request target; a query is ignored.
  /// @return null if no route matches.
  [[nodiscard]] const route *find(std::string_view host,
                                  std::string_view target) const;

  /// @return null if the service is not configured.
  [[nodiscard]] const service *find_service(const service_id &id) const;

  /// API keys of the configured tenants.
  [[nodiscard]] const tenants::key_ring &keys() const { return keys_; }

  [[nodiscard]] configuration_version version() const {
    return settings_.version;
  }
  [[nodiscard]] const client_limits &limits() const { return settings_.limits; }
  [[nodiscard]] const configuration &settings() const { return settings_; }

private:
  configuration settings_;
  tenants::key_ring keys_;
  // Longest prefix first. Points into settings_, which never changes.
  std::unordered_map<std::string, std::vector<const route *>> by_host_;
};

/// Smooth weighted round robin: spreads the requests of a route over its
/// services in proportion to their weights.
class split_rotation {
public:
  /// @return the service of the next request; null if the route has none.
  const service_id *next(const route &split);

private:
  /// Credit of each service by route name; the highest credit is next.
  std::unordered_map<std::string, std::vector<std::int64_t>> credits_;
};

} // namespace heathtrestle::routing
