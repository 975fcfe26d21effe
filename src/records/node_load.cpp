#include "records/node_load.hpp"

#include "logging/log.hpp"

#include <algorithm>
#include <utility>

namespace heathtrestle::records {

namespace {

/// Short enough to see what a return of the whole fleet is busy with, which
/// lasts some seconds; a line a second costs a node nothing that shows.
constexpr duration_ms report_interval{1000};

constexpr std::array<std::string_view, message_kinds> kind_names{
    "request", "append_request", "append_reply",   "heartbeat",
    "vote",    "snapshot",       "follow_objects", "other"};
constexpr std::array<std::string_view, work_parts> part_names{
    "reduce_us",      "write_us", "apply_us",
    "read_bodies_us", "send_us",  "compact_us"};

} // namespace

std::string_view name_of(message_kind kind) {
  return kind_names[static_cast<std::size_t>(kind)];
}

std::string_view name_of(work_part part) {
  return part_names[static_cast<std::size_t>(part)];
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
  sums_.longest_queue = std::max(sums_.longest_queue, count);
  sums_.longest_wait = std::max(sums_.longest_wait, now - oldest);
}

void node_load::on_questions(std::uint64_t taken, std::uint64_t repeated,
                             std::uint64_t settled) {
  sums_.questions += taken;
  sums_.repeated_questions += repeated;
  sums_.settled_questions += settled;
}

void node_load::on_history(std::size_t turns, std::size_t bytes) {
  sums_.history_turns += turns;
  sums_.history_bytes += bytes;
}

std::optional<load_sums> node_load::take_report(timestamp now) {
  if (now < next_report_) {
    return std::nullopt;
  }
  next_report_ = now + report_interval;
  load_sums sums = std::exchange(sums_, {});
  return sums.questions + sums.repeated_questions > 0 ? std::optional(sums)
                                                      : std::nullopt;
}

void log_load(const load_sums &sums) {
  logging::line line(logging::event::record_node_load);
  for (std::size_t kind = 0; kind < message_kinds; ++kind) {
    line.field(name_of(static_cast<message_kind>(kind)), sums.messages[kind]);
  }
  line.field("questions", sums.questions)
      .field("repeated", sums.repeated_questions)
      .field("settled", sums.settled_questions)
      .field("history_turns", sums.history_turns)
      .field("history_bytes", sums.history_bytes)
      .field("longest_queue", sums.longest_queue)
      .field("longest_wait_ms", sums.longest_wait.count());
  for (std::size_t part = 0; part < work_parts; ++part) {
    line.field(name_of(static_cast<work_part>(part)), sums.spent[part].count());
  }
  line.write();
}

} // namespace heathtrestle::records
