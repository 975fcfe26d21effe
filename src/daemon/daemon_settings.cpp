#include "daemon/daemon_settings.hpp"

#include <algorithm>

namespace heathtrestle::daemon {

namespace {

constexpr std::uint64_t hour_ms = 3600000;
constexpr std::uint64_t hours_per_week = 168;
constexpr std::uint64_t week_ms = hours_per_week * hour_ms;
constexpr std::uint64_t largest_body = 1ULL << 30U;

} // namespace

bool has_role(const daemon_settings &settings, std::string_view role) {
  return std::find(settings.roles.begin(), settings.roles.end(), role) !=
         settings.roles.end();
}

void describe_settings(config::settings_schema &schema,
                       daemon_settings &settings) {
  schema.text("node.name", settings.name,
              "name of this daemon, unique in its cluster", true);
  schema.text("node.zone", settings.zone, "zone of this machine");
  schema.text("node.region", settings.region, "region of this machine");
  schema.text("node.cluster", settings.cluster,
              "name of the cluster; others' messages are rejected");
  schema.choices("node.roles", settings.roles, {"gateway", "partitions"},
                 "what this daemon does: serve callers, hold partitions "
                 "(programs and dispatching)");
  schema.integer("node.workers", settings.workers, 1, 64,
                 "threads that reduce events and run fibers");
  schema.address("listen.rpc", settings.rpc_address,
                 "where other daemons reach this one", true);
  schema.address("listen.http", settings.http_address,
                 "where callers and operators reach this one", true);
  schema.integer("listen.body_limit", settings.body_limit, 1024, largest_body,
                 "largest body of a request in bytes");
  schema.texts("cluster.seeds", settings.seeds,
               "rpc addresses of some daemons to join through");
  schema.integer("cluster.founding_members", settings.founding_members, 1, 100,
                 "daemons that must know each other before the cluster forms");
  schema.integer("cluster.partitions", settings.partitions, 1, 65536,
                 "partitions of the key space, fixed at the founding");
  schema.integer("cluster.replication", settings.replication, 1, 7,
                 "replicas of each partition, fixed at the founding");
  schema.address("platform.address", settings.platform_address,
                 "the platform's object API", true);
  schema.milliseconds("timing.tick", settings.tick_interval, 5, 1000,
                      "how often time passes for the reducer");
  schema.milliseconds("timing.heartbeat", settings.heartbeat_interval, 20,
                      10000, "between heartbeats of partition leaders");
  schema.milliseconds("timing.election", settings.election_timeout, 100, 60000,
                      "least silence of a leader before an election");
  schema.milliseconds("timing.probe", settings.probe_interval, 50, 60000,
                      "between probes of other daemons");
  schema.milliseconds("timing.suspicion", settings.suspicion_timeout, 100,
                      600000, "from suspecting a daemon to holding it dead");
  schema.milliseconds("timing.drain", settings.drain_limit, 0, hour_ms,
                      "longest planned stop");
  schema.milliseconds("programs.idle_limit", settings.program_idle_limit, 1000,
                      week_ms, "a program without calls ends after this");
  schema.milliseconds("programs.stall_limit", settings.stall_limit, 100,
                      hour_ms,
                      "a call without a sign of life is stalled after this");
  schema.choice("policy.placement", settings.placement,
                {"affinity", "least_loaded", "random"},
                "which back end gets a call");
  schema.choice("policy.scheduling", settings.scheduling,
                {"fair_priority", "fifo"},
                "which waiting call a back end gets next");
  schema.choice("log.level", settings.log_level,
                {"debug", "info", "warning", "error"},
                "least severity that is logged");
  schema.text("trace.file", settings.trace_file,
              "records every event and its effects here, for replay; needs "
              "node.workers 1");
}

core::node_options node_options_of(const daemon_settings &settings) {
  core::node_options options;
  options.seeds = settings.seeds;
  options.founding_members = settings.founding_members;
  options.partition_count = static_cast<std::uint32_t>(settings.partitions);
  options.replication = static_cast<std::uint32_t>(settings.replication);
  options.drain_limit = settings.drain_limit;
  options.detector.probe_interval = settings.probe_interval;
  options.detector.suspicion_timeout = settings.suspicion_timeout;
  options.partitions.raft.heartbeat_interval = settings.heartbeat_interval;
  options.partitions.raft.election_timeout = settings.election_timeout;
  options.partitions.programs.idle_limit = settings.program_idle_limit;
  options.partitions.programs.stall_limit = settings.stall_limit;
  options.partitions.programs.placement = settings.placement;
  options.dispatch.scheduling = settings.scheduling;
  return options;
}

} // namespace heathtrestle::daemon
