// Access to the bodies (input and output) of stored turns. The replicated state
// and the messages it creates only name turns; bodies are read from disk when a
// message is sent, so that memory use does not grow with the size of
// conversations.
#pragma once

#include "wire/messages.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace heathtrestle::records {

/// Reads turns with their bodies.
class turn_bodies {
public:
  virtual ~turn_bodies() = default;

  /// @return nothing when the turn does not exist or cannot be read.
  virtual std::optional<wire::RecordTurn> read(const std::string &id) = 0;

protected:
  turn_bodies() = default;
  turn_bodies(const turn_bodies &) = default;
  turn_bodies &operator=(const turn_bodies &) = default;
};

/// Adds the bodies of the turns that a message names: histories in a reply, and
/// turns in a part of a snapshot. A history with a missing turn is removed and
/// its item marked unavailable. A turn of a snapshot that has expired meanwhile
/// stays without its body, because log entries from before the expiry must
/// decide the same on the follower as elsewhere.
/// @return the number of history turns that were missing.
std::size_t fill_turn_bodies(wire::Envelope &message, turn_bodies &bodies);

/// Moves turns with bodies out of a snapshot and leaves them there without
/// bodies.
void extract_bodies(wire::RecordSnapshot &snapshot,
                    std::vector<wire::RecordTurn> &taken);

/// A copy of the turn without its input and output.
wire::RecordTurn without_body(const wire::RecordTurn &turn);

} // namespace heathtrestle::records
