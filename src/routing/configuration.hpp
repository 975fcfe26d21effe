// The operator's configuration as the forwarding gateway uses it: routes from
// hosts and paths to services, and the limits on what clients may send.
//
// Plain data, independent of the format in which it arrives.
#pragma once

#include "base/time.hpp"
#include "base/typed_id.hpp"
#include "tenants/tenant.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace heathtrestle::routing {

/// A service that routes lead to, by its configured name.
using service_id = typed_id<std::string, struct service_id_tag>;
/// A service's replica. One that starts again may have the same id: `born_ms`,
/// in its record, tells the two apart.
using instance_id = typed_id<std::string, struct instance_id_tag>;
/// The operator's number of a configuration; newer ones are larger.
using configuration_version =
    typed_id<std::uint64_t, struct configuration_version_tag>;

/// How often a request of a route may run.
enum class request_kind : std::uint8_t {
  idempotent,
  non_idempotent,
  /// The answer is a series of events. Runs once unless the route is resumable.
  streaming,
};

/// One part of a route's traffic.
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
  /// Longest pause between two events that still counts as in time.
  duration_ms target_gap{0};
  std::uint32_t priority = 0; // 0 is the most urgent
  std::vector<weighted_service> services;
  /// Most instances that may run one client request.
  std::uint32_t max_attempts = 1;
  bool sticky_sessions = false;
  bool resumable = false;
  /// The turns of programs are kept, and later ones name the earlier.
  bool retained = false;
  duration_ms retention{0};
  /// Clients need no key for it.
  bool open = false;
  /// Regions in which its requests may be served and kept; empty: any.
  std::vector<std::string> home_regions;

  /// True when a request that may already have run may be sent again.
  [[nodiscard]] bool repeatable() const {
    return kind == request_kind::idempotent ||
           (kind == request_kind::streaming && resumable);
  }
};

/// What is known of a service whose replicas are model engines.
struct engine_profile {
  std::uint32_t slots = 0;
  std::uint64_t tokens_per_event = 1;
  /// Tokens that one engine's memory holds; zero when it is not told.
  std::uint64_t memory_tokens = 0;
  /// Longest time that a finished request's memory may be pinned.
  duration_ms pin_limit{0};
};

/// How replicas of a service begin: slowly, and they fall over under more than
/// they bear until they are warm.
struct slow_start_profile {
  /// How long a replica takes to warm up after a start.
  duration_ms duration{0};
  /// Requests a second that one bears meanwhile.
  double requests_per_second = 0;

  bool operator==(const slow_start_profile &) const = default;
};

struct service {
  service_id id;
  std::string health_path;
  /// Connections that one replica accepts from all gateways together.
  std::uint32_t connection_limit = 0;
  std::optional<engine_profile> engine;
  /// Absent where replicas are as good as ever right after a start.
  std::optional<slow_start_profile> slow_start;
};

/// Bounds on what clients send and on how long they may rest.
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
  /// Empty where clients need no keys.
  std::vector<tenants::tenant> tenants;
};

} // namespace heathtrestle::routing
