// Finds the route of a request: of the routes of its host, the one with the
// longest prefix of its path. Immutable; a new configuration makes a new table.
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
  /// @return null when no route matches.
  [[nodiscard]] const route *find(std::string_view host,
                                  std::string_view target) const;

  /// @return null when the service is not configured.
  [[nodiscard]] const service *find_service(const service_id &id) const;

  /// Whose each key is.
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

/// Spreads the requests of split routes over their services in proportion to
/// the weights, as evenly in time as whole requests allow.
class split_rotation {
public:
  /// @return the service of the next request. A route without services gives
  /// null; one with a single service gives that.
  const service_id *next(const route &split);

private:
  /// Credit of each service of a route; the richest is next.
  std::unordered_map<std::string, std::vector<std::int64_t>> credits_;
};

} // namespace heathtrestle::routing
