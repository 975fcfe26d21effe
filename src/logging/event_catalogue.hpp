// The numbered events that daemons log. docs/EVENTS.md explains each of them;
// a test holds the two together.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace heathtrestle::logging {

enum class severity : std::uint8_t { debug, info, warning, error };

enum class event : std::uint32_t {
  daemon_started = 100,
  daemon_stopping = 101,
  daemon_stopped = 102,
  settings_rejected = 103,
  drain_finished = 104,
  member_joined = 200,
  member_suspected = 201,
  member_dead = 202,
  member_left = 203,
  member_refuted = 204,
  duplicate_node_name = 205,
  cluster_founded = 206,
  leadership_gained = 300,
  leadership_lost = 301,
  replica_created = 302,
  replica_set_changed = 304,
  snapshot_sent = 305,
  snapshot_installed = 306,
  call_stalled = 400,
  call_resumed = 401,
  call_outcome_unknown = 402,
  program_expired = 403,
  memory_released = 404,
  attempt_failed = 405,
  dispatch_refused = 500,
  engine_request_failed = 501,
  gateway_gave_up = 600,
  configuration_applied = 700,
  configuration_object_rejected = 701,
  platform_watch_started = 702,
  platform_unavailable = 703,
  platform_recovered = 704,
  configuration_change_settled = 705,
  transport_send_failed = 800,
  transport_message_rejected = 801,
  http_request_rejected = 802,
  http_server_failed = 803,
};

struct event_row {
  event number;
  std::string_view name;
  severity level;
};

inline constexpr std::array event_table{
    event_row{event::daemon_started, "daemon_started", severity::info},
    event_row{event::daemon_stopping, "daemon_stopping", severity::info},
    event_row{event::daemon_stopped, "daemon_stopped", severity::info},
    event_row{event::settings_rejected, "settings_rejected", severity::error},
    event_row{event::drain_finished, "drain_finished", severity::info},
    event_row{event::member_joined, "member_joined", severity::info},
    event_row{event::member_suspected, "member_suspected", severity::info},
    event_row{event::member_dead, "member_dead", severity::warning},
    event_row{event::member_left, "member_left", severity::info},
    event_row{event::member_refuted, "member_refuted", severity::warning},
    event_row{event::duplicate_node_name, "duplicate_node_name",
              severity::error},
    event_row{event::cluster_founded, "cluster_founded", severity::info},
    event_row{event::leadership_gained, "leadership_gained", severity::info},
    event_row{event::leadership_lost, "leadership_lost", severity::info},
    event_row{event::replica_created, "replica_created", severity::info},
    event_row{event::replica_set_changed, "replica_set_changed",
              severity::info},
    event_row{event::snapshot_sent, "snapshot_sent", severity::info},
    event_row{event::snapshot_installed, "snapshot_installed", severity::info},
    event_row{event::call_stalled, "call_stalled", severity::warning},
    event_row{event::call_resumed, "call_resumed", severity::info},
    event_row{event::call_outcome_unknown, "call_outcome_unknown",
              severity::warning},
    event_row{event::program_expired, "program_expired", severity::info},
    event_row{event::memory_released, "memory_released", severity::debug},
    event_row{event::attempt_failed, "attempt_failed", severity::warning},
    event_row{event::dispatch_refused, "dispatch_refused", severity::debug},
    event_row{event::engine_request_failed, "engine_request_failed",
              severity::warning},
    event_row{event::gateway_gave_up, "gateway_gave_up", severity::warning},
    event_row{event::configuration_applied, "configuration_applied",
              severity::debug},
    event_row{event::configuration_object_rejected,
              "configuration_object_rejected", severity::warning},
    event_row{event::platform_watch_started, "platform_watch_started",
              severity::info},
    event_row{event::platform_unavailable, "platform_unavailable",
              severity::warning},
    event_row{event::platform_recovered, "platform_recovered", severity::info},
    event_row{event::configuration_change_settled,
              "configuration_change_settled", severity::info},
    event_row{event::transport_send_failed, "transport_send_failed",
              severity::debug},
    event_row{event::transport_message_rejected, "transport_message_rejected",
              severity::warning},
    event_row{event::http_request_rejected, "http_request_rejected",
              severity::debug},
    event_row{event::http_server_failed, "http_server_failed", severity::error},
};

/// The catalogue's row of an event.
constexpr const event_row &row_of(event number) {
  for (const event_row &row : event_table) {
    if (row.number == number) {
      return row;
    }
  }
  return event_table.front();
}

} // namespace heathtrestle::logging
