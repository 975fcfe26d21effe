#include "records/node_load.hpp"

#include "logging/log.hpp"

#include <algorithm>
#include <utility>

namespace heathtrestle::records {

namespace {

/// Short enough to show the load while the whole fleet reconnects, which lasts
/// a few seconds.
constexpr duration_ms report_interval{1000};

constexpr std::array<std::string_view, message_kinds> kind_names{
    "request", "append_request", "append_reply",   "heartbeat",
    "vote",    "snapshot",       "follow_objects", "other"};
constexpr std::array<std::string_view, step_phases> phase_names{
    "reduce_us",      "write_us", "apply_us",
    "read_bodies_us", "send_us",  "compact_us"};

} // namespace

std::string_view name_of(message_kind kind) {
  return kind_names[static_cast<std::size_t>(kind)];
}

std::string_view name_of(step_phase phase) {
  return phase_names[static_cast<std::size_t>(phase)];
}

message_kind kind_of(const wire::Envelope &envelope) {
  switch (envelope.body_case()) {
  case wire::Envelope::kRecordRequest:
    return message_kind::request;
  case wire::Envelope::kAppendRequest:
    return message_kind::append_request;
  case wire::Envelope::kAppendReply:
    return message_kind::append_reply;
  case wire::Envelope::kHeartbeatBatch:
  case wire::Envelope::kHeartbeatReplyBatch:
    return message_kind::heartbeat;
  case wire::Envelope::kVoteRequest:
  case wire::Envelope::kVoteReply:
    return message_kind::vote;
  case wire::Envelope::kSnapshotRequest:
  case wire::Envelope::kSnapshotProgress:
    return message_kind::snapshot;
  case wire::Envelope::kFollowObjects:
    return message_kind::follow_objects;
  default:
    return message_kind::other;
  }
}

void node_load::on_queue(std::size_t count, timestamp oldest, timestamp now) {
  totals_.longest_queue = std::max(totals_.longest_queue, count);
  totals_.longest_wait = std::max(totals_.longest_wait, now - oldest);
}

void node_load::on_history(std::size_t turns, std::size_t bytes) {
  totals_.history_turns += turns;
  totals_.history_bytes += bytes;
}

std::optional<load_totals> node_load::take_report(timestamp now) {
  if (now < next_report_) {
    return std::nullopt;
  }
  next_report_ = now + report_interval;
  load_totals totals = std::exchange(totals_, {});
  totals.disk = disk_.since(std::exchange(reported_disk_, disk_));
  return totals.requests.taken + totals.requests.repeated > 0
             ? std::optional(totals)
             : std::nullopt;
}

void log_load(const load_totals &totals) {
  logging::line line(logging::event::record_node_load);
  for (std::size_t kind = 0; kind < message_kinds; ++kind) {
    line.field(name_of(static_cast<message_kind>(kind)), totals.messages[kind]);
  }
  line.field("questions", totals.requests.taken)
      .field("repeated", totals.requests.repeated)
      .field("settled", totals.requests.settled)
      .field("expired", totals.requests.expired)
      .field("late", totals.requests.late)
      .field("longest_unproposed_ms",
             totals.requests.longest_unproposed.count())
      .field("longest_outcome_ms", totals.requests.longest_outcome.count())
      .field("history_turns", totals.history_turns)
      .field("history_bytes", totals.history_bytes)
      .field("longest_queue", totals.longest_queue)
      .field("longest_wait_ms", totals.longest_wait.count())
      .field("disk_bytes_written", totals.disk.bytes_written)
      .field("disk_syncs", totals.disk.syncs)
      .field("disk_bytes_reclaimed", totals.disk.bytes_reclaimed)
      .field("disk_live_bytes", totals.disk.live_bytes)
      .field("disk_total_bytes", totals.disk.total_bytes);
  for (std::size_t phase = 0; phase < step_phases; ++phase) {
    line.field(name_of(static_cast<step_phase>(phase)),
               totals.spent[phase].count());
  }
  line.write();
}

} // namespace heathtrestle::records
