#include "records/snapshot_image.hpp"

#include <utility>

namespace heathtrestle::records {

snapshot_image::snapshot_image(std::uint64_t time_ms,
                               wire::RecordSnapshot quotas,
                               std::vector<wire::RecordProgram> programs,
                               std::vector<stored_turn> turns,
                               std::size_t part_bytes)
    : time_ms_(time_ms), quotas_(std::move(quotas)),
      programs_(std::move(programs)), turns_(std::move(turns)) {
  std::size_t bytes = 0;
  for (std::size_t place = 0; place < records(); ++place) {
    bytes += size_of(place);
    if (part_bytes > 0 && bytes >= part_bytes) {
      part_ends_.push_back(place + 1);
      bytes = 0;
    }
  }
  if (part_ends_.empty() || part_ends_.back() < records()) {
    part_ends_.push_back(records());
  }
}

std::size_t snapshot_image::size_of(std::size_t place) const {
  return place < programs_.size() ? programs_[place].ByteSizeLong()
                                  : turns_[place - programs_.size()].bytes;
}

wire::RecordSnapshot snapshot_image::part(std::size_t number) const {
  wire::RecordSnapshot part;
  if (number == 0) {
    part = quotas_;
  }
  part.set_time_ms(time_ms_);
  const std::size_t first = number == 0 ? 0 : part_ends_.at(number - 1);
  for (std::size_t place = first; place < part_ends_.at(number); ++place) {
    if (place < programs_.size()) {
      *part.add_programs() = programs_[place];
      continue;
    }
    const stored_turn &kept = turns_[place - programs_.size()];
    wire::RecordKeptTurn &saved = *part.add_turns();
    *saved.mutable_turn() = *kept.turn;
    saved.set_expires_ms(kept.expires_ms);
    saved.set_bytes(kept.bytes);
  }
  return part;
}

} // namespace heathtrestle::records
