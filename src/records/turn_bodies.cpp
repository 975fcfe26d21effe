#include "records/turn_bodies.hpp"

#include <utility>

namespace heathtrestle::records {

namespace {

/// @return the number of missing turns.
std::size_t fill_turn_bodies(wire::RecordReplyItem &item, turn_bodies &bodies) {
  std::size_t missing = 0;
  for (wire::RecordTurn &turn : *item.mutable_history()) {
    std::optional<wire::RecordTurn> whole = bodies.read(turn.id());
    if (whole) {
      turn = std::move(*whole);
    } else {
      ++missing;
    }
  }
  if (missing > 0) {
    // With a partial history the program would continue a different
    // conversation.
    item.clear_history();
    item.set_verdict(wire::RECORD_UNAVAILABLE);
  }
  return missing;
}

void fill_turn_bodies(wire::RecordSnapshot &part, turn_bodies &bodies) {
  for (wire::RecordKeptTurn &kept : *part.mutable_turns()) {
    std::optional<wire::RecordTurn> whole = bodies.read(kept.turn().id());
    if (whole) {
      *kept.mutable_turn() = std::move(*whole);
      kept.clear_bytes();
    }
  }
}

} // namespace

std::size_t fill_turn_bodies(wire::Envelope &message, turn_bodies &bodies) {
  std::size_t missing = 0;
  if (message.has_record_reply()) {
    for (wire::RecordReplyItem &item :
         *message.mutable_record_reply()->mutable_items()) {
      missing += fill_turn_bodies(item, bodies);
    }
  }
  if (message.has_snapshot_request()) {
    fill_turn_bodies(*message.mutable_snapshot_request()->mutable_records(),
                     bodies);
  }
  return missing;
}

void extract_bodies(wire::RecordSnapshot &snapshot,
                    std::vector<wire::RecordTurn> &taken) {
  for (wire::RecordKeptTurn &kept : *snapshot.mutable_turns()) {
    if (kept.bytes() != 0) {
      continue; // carries no body
    }
    kept.set_bytes(kept.turn().ByteSizeLong());
    wire::RecordTurn named = without_body(kept.turn());
    taken.push_back(std::exchange(*kept.mutable_turn(), std::move(named)));
  }
}

wire::RecordTurn without_body(const wire::RecordTurn &turn) {
  wire::RecordTurn named;
  named.set_id(turn.id());
  named.set_previous(turn.previous());
  if (turn.has_place()) {
    *named.mutable_place() = turn.place();
  }
  return named;
}

} // namespace heathtrestle::records
