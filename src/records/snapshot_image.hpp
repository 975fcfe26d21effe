// The state of a record table as of one log index, cut into parts of bounded
// size. Turns never change, so an image shares them with the table: to make one
// copies the accounts and a pointer a turn, and a part is put together only
// when it is sent.
#pragma once

#include "wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace heathtrestle::records {

/// A turn that is kept, without its body, which lies on the disk.
struct stored_turn {
  std::shared_ptr<const wire::RecordTurn> turn;
  /// Until when it is kept, in milliseconds of the leaders' clocks.
  std::uint64_t expires_ms = 0;
  /// Encoded size of the turn with its body.
  std::size_t bytes = 0;
};

class snapshot_image {
public:
  /// @param quotas accounts of tenants; all in the first part.
  /// @param part_bytes a part ends with the record that brings it to this size;
  /// zero for one part that holds everything.
  snapshot_image(std::uint64_t time_ms, wire::RecordSnapshot quotas,
                 std::vector<wire::RecordProgram> programs,
                 std::vector<stored_turn> turns, std::size_t part_bytes);

  /// At least one, also of an empty table.
  [[nodiscard]] std::size_t parts() const { return part_ends_.size(); }
  /// Names the turns; their bodies are filled in when the part is sent.
  [[nodiscard]] wire::RecordSnapshot part(std::size_t number) const;

private:
  /// Programs come first: places up to their number are theirs, those behind
  /// are the turns'.
  [[nodiscard]] std::size_t records() const {
    return programs_.size() + turns_.size();
  }
  [[nodiscard]] std::size_t size_of(std::size_t place) const;

  std::uint64_t time_ms_;
  /// Holds the accounts of tenants alone, with their time.
  wire::RecordSnapshot quotas_;
  std::vector<wire::RecordProgram> programs_;
  std::vector<stored_turn> turns_;
  /// The place behind the last record of each part.
  std::vector<std::size_t> part_ends_;
};

} // namespace heathtrestle::records
