// A copy of the state of a record table at one log index, divided into parts of
// bounded size. Stored turns never change, so the image shares them with the
// table: creating one copies the accounts and one pointer per turn, and a part
// is encoded only when it is sent.
#pragma once

#include "wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace heathtrestle::records {

/// A stored turn without its body, which is on disk.
struct stored_turn {
  std::shared_ptr<const wire::RecordTurn> turn;
  /// Expiry time in milliseconds, by the clocks of the leaders.
  std::uint64_t expires_ms = 0;
  /// Encoded size of the turn including its body, in bytes.
  std::size_t bytes = 0;
};

class snapshot_image {
public:
  /// @param quotas accounts of tenants; all are placed in the first part.
  /// @param part_bytes a part ends with the record that reaches this size; zero
  /// puts everything into one part.
  snapshot_image(std::uint64_t time_ms, wire::RecordSnapshot quotas,
                 std::vector<wire::RecordProgram> programs,
                 std::vector<stored_turn> turns, std::size_t part_bytes);

  /// Number of parts; at least one, even for an empty table.
  [[nodiscard]] std::size_t parts() const { return part_ends_.size(); }
  /// A part without turn bodies, which are added when it is sent.
  [[nodiscard]] wire::RecordSnapshot part(std::size_t number) const;

private:
  /// Programs come first: positions below their number refer to programs, the
  /// others to turns.
  [[nodiscard]] std::size_t records() const {
    return programs_.size() + turns_.size();
  }
  [[nodiscard]] std::size_t size_of(std::size_t place) const;

  std::uint64_t time_ms_;
  /// Only the accounts of tenants and their time are set.
  wire::RecordSnapshot quotas_;
  std::vector<wire::RecordProgram> programs_;
  std::vector<stored_turn> turns_;
  /// The position after the last record of each part.
  std::vector<std::size_t> part_ends_;
};

} // namespace heathtrestle::records
