#include "forwarding/gateway_settings.hpp"

#include "forwarding/policy_switches.hpp"
#include "records/partitions.hpp"

namespace heathtrestle::forwarding {

void describe_settings(config::settings_schema &schema,
                       gateway_settings &settings) {
  constexpr double longest_grace = 600;
  constexpr std::uint64_t longest_drain_notice = 60000;
  constexpr std::uint64_t longest_zone_drain = 600000;
  constexpr std::uint64_t most_lines = 100000;
  constexpr std::uint64_t longest_revocation = 600000;
  constexpr double shortest_window = 0.1;
  constexpr double longest_window = 600;
  constexpr double most_overshoot = 100;
  constexpr double most_slack = 10000;
  constexpr std::uint64_t most_memory_mb = 1U << 20U;
  schema.text("node.name", settings.name,
              "name of this process, unique among the gateways", true);
  routing::describe_places(schema, settings.places);
  schema.address("listen.clients", settings.client_address,
                 "where clients reach this gateway", true);
  schema.address("listen.readiness", settings.readiness_address,
                 "where the entry asks whether this gateway is ready", true);
  schema.address("listen.peers", settings.peer_address,
                 "where other processes ask for this one's copies of objects",
                 true);
  schema.address("listen.rpc", settings.rpc_address,
                 "where the record group reaches this gateway", true);
  schema.address("advertise.rpc", settings.advertised_rpc_address,
                 "the address that is told to others in place of listen.rpc, "
                 "where a relay stands before it");
  schema.address("listen.metrics", settings.metrics_address,
                 "where counters and histograms are served at /metrics", true);
  schema.integer("cluster.tolerated_losses", settings.tolerated_losses, 0,
                 records::max_tolerated_losses,
                 "storage nodes that may be lost at once, disks and all");
  records::describe_partitions(schema, settings.partitions,
                               settings.store_writes_per_second);
  schema.texts("cluster.seeds", settings.seeds,
               "peer addresses to ask while the object store is down; they "
               "may be stale");
  schema.address("store.address", settings.store_address,
                 "the platform's object store", true);
  schema.real("timing.grace_seconds", settings.grace_seconds, 0, longest_grace,
              "seconds from a stop signal until the process is killed");
  schema.milliseconds("timing.drain_notice_ms", settings.drain_notice, 1,
                      longest_drain_notice,
                      "milliseconds for which a replica may get new work after "
                      "its leaving was recorded");
  schema.milliseconds("timing.zone_drain_ms", settings.zone_drain, 0,
                      longest_zone_drain,
                      "milliseconds from the operator's request to drain a "
                      "zone until its replicas get nothing more; 0 where "
                      "zones are not drained");
  schema.milliseconds("tenants.key_revocation_ms", settings.key_revocation, 0,
                      longest_revocation,
                      "milliseconds within which a key that was taken away "
                      "stops working, also on a gateway that is cut off; 0 "
                      "for no such promise");
  schema.real("tenants.quota_window_seconds", settings.quota_window_seconds,
              shortest_window, longest_window,
              "seconds within which a tenant's requests are counted against "
              "its quota");
  schema.real("tenants.quota_overshoot", settings.quota_overshoot, 0,
              most_overshoot,
              "share of a window's limit that may be sent beyond it, so that "
              "programs under way can end");
  schema.real("tenants.quota_slack", settings.quota_slack, 0, most_slack,
              "requests more than that in any window");
  schema.real("warmup.overshoot", settings.slow_start_overshoot, 0,
              most_overshoot,
              "times the rate that a replica bears while it warms up that all "
              "gateways together may send it in any second; 0 for no limit");
  schema.real("warmup.slack", settings.slow_start_slack, 0, most_slack,
              "requests more than that in any second");
  schema.choices("policy.disabled", settings.disabled_policies, policy_names(),
                 "mechanisms of choice that are switched off, to measure what "
                 "they are worth");
  schema.integer(
      "limits.memory_mb", settings.memory_mb, 0, most_memory_mb,
      "megabytes of memory that this process may use; two fifths of "
      "them may be held for open requests, beyond that new ones are "
      "refused, and a sixteenth for answers beyond 64 KB each; 0 for "
      "no limit of requests and 16 MB for answers");
  schema.choice("log.level", settings.log_level,
                {"debug", "info", "warning", "error"},
                "least severity that is logged");
  schema.integer("log.lines_per_second", settings.log_lines, 1, most_lines,
                 "lines a second that are logged at most, and as many again "
                 "of warnings; the rest is counted");
}

} // namespace heathtrestle::forwarding
