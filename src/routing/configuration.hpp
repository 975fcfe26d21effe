// The gateway's configuration: routes from hosts and paths to services,
// services, tenants, and limits on client requests. Plain data, independent of
// the format in which it is stored.
#pragma once

#include "base/time.hpp"
#include "base/typed_id.hpp"
#include "tenants/tenant.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace heathtrestle::routing {

/// Configured name of a service that routes refer to.
using service_id = typed_id<std::string, struct service_id_tag>;
/// Id of a replica. A restarted replica may keep its id; `born_ms` in its
/// record distinguishes the incarnations.
using instance_id = typed_id<std::string, struct instance_id_tag>;
/// Version number of a configuration, set by the operator; increases.
using configuration_version =
    typed_id<std::uint64_t, struct configuration_version_tag>;

/// Whether a request of a route may run more than once.
enum class request_kind : std::uint8_t {
  idempotent,
  non_idempotent,
  /// The response is an event stream. Runs once unless the route is resumable.
  streaming,
};

/// A service and its share of a route's traffic.
struct weighted_service {
  service_id service;
  std::uint32_t weight = 1;
};

struct route {
  std::string name;
  std::string host;
  std::string path_prefix; // begins and ends with a slash
  request_kind kind = request_kind::non_idempotent;
  duration_ms timeout{0};
  duration_ms target_latency{0};
  /// Longest acceptable gap between two events.
  duration_ms target_gap{0};
  std::uint32_t priority = 0; // 0 is the most urgent
  std::vector<weighted_service> services;
  /// Maximum number of instances that may run one client request.
  std::uint32_t max_attempts = 1;
  bool sticky_sessions = false;
  bool resumable = false;
  /// Turns of programs are stored, and later turns refer to earlier ones.
  bool retained = false;
  duration_ms retention{0};
  /// Clients need no API key.
  bool open = false;
  /// Regions in which its requests may be served and stored; empty for any.
  std::vector<std::string> home_regions;

  /// True when a request that may already have run may be sent again.
  [[nodiscard]] bool repeatable() const {
    return kind == request_kind::idempotent ||
           (kind == request_kind::streaming && resumable);
  }
};

/// Properties of a service whose replicas are model engines.
struct engine_profile {
  std::uint32_t slots = 0;
  std::uint64_t tokens_per_event = 1;
  /// Capacity of one engine's memory in tokens; zero if not configured.
  std::uint64_t memory_tokens = 0;
  /// Longest time that a finished request's memory may be pinned.
  duration_ms pin_limit{0};
};

/// Limits for replicas of a service that are warming up after a start.
struct slow_start_profile {
  /// How long a replica takes to warm up after a start.
  duration_ms duration{0};
  /// Requests per second that one replica can serve while it warms up.
  double requests_per_second = 0;

  bool operator==(const slow_start_profile &) const = default;
};

struct service {
  service_id id;
  std::string health_path;
  /// Connections that one replica accepts from all gateways together.
  std::uint32_t connection_limit = 0;
  std::optional<engine_profile> engine;
  /// Absent if replicas need no warm-up.
  std::optional<slow_start_profile> slow_start;
};

/// Size limits and timeouts of client connections.
struct client_limits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = 4194304;
  duration_ms header_timeout{3000};
  duration_ms idle_timeout{15000};
};

struct configuration {
  configuration_version version;
  std::vector<route> routes;
  std::vector<service> services;
  client_limits limits;
  /// Empty if clients need no API keys.
  std::vector<tenants::tenant> tenants;
};

} // namespace heathtrestle::routing
