// The inputs and outputs of kept turns, which lie on the disk. The reducer and
// what it wants sent only name them; they are read when a message leaves, so
// that the memory of a node does not grow with what conversations have said.
#pragma once

#include "wire/messages.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace heathtrestle::records {

/// Where whole turns are read from.
class turn_bodies {
public:
  virtual ~turn_bodies() = default;

  /// @return nothing when the turn is not there, or cannot be read.
  virtual std::optional<wire::RecordTurn> read(const std::string &id) = 0;

protected:
  turn_bodies() = default;
  turn_bodies(const turn_bodies &) = default;
  turn_bodies &operator=(const turn_bodies &) = default;
};

/// Completes the turns that a message names: the histories of a reply, the
/// turns of a snapshot's part. A history that lacks a turn is not told at all.
/// A turn that has expired since the snapshot began stays without its body:
/// entries from before the expiry must decide on the follower as they did
/// elsewhere.
/// @return how many turns of histories were missing.
std::size_t fill_turn_bodies(wire::Envelope &message, turn_bodies &bodies);

/// Moves the whole turns out of a snapshot and leaves their names behind.
void extract_bodies(wire::RecordSnapshot &snapshot,
                    std::vector<wire::RecordTurn> &taken);

/// A turn without its input and output.
wire::RecordTurn without_body(const wire::RecordTurn &turn);

} // namespace heathtrestle::records
