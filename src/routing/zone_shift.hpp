// How the traffic of a drained zone moves to the other zones: not all of it at
// once, and none of it late.
//
// The load pattern: a third of the engines is drained while all are in usual
// use. What they keep of prompts is lost to the conversations that leave, and
// is read again elsewhere. Where all conversations leave in the same moment,
// the other engines read for all of them at once, and every turn there waits
// behind that. So they leave one after the other.
//
// A process does not know when the drain was asked for, only when it heard of
// it, and it may have heard late. What it does know is when the zone was last
// certainly not drained: the time in which the traffic has to be gone is
// counted from then.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>

namespace heathtrestle::routing {

/// The time in which one zone's traffic moves.
struct zone_shift {
  timestamp begin{};
  /// From then on the zone gets nothing. Not after `begin`: all moves at once.
  timestamp end{};

  bool operator==(const zone_shift &) const = default;

  /// @return the share of its usual traffic that the zone still gets, 0 to 1.
  [[nodiscard]] double remaining(timestamp now) const;
  /// True while a conversation still goes to the zone.
  /// @param draw evenly spread over conversations and the same for all requests
  /// of one, so that none goes back and forth.
  [[nodiscard]] bool keeps(std::uint64_t draw, timestamp now) const;
};

/// @param undrained when the zone was last certainly not drained; nothing where
/// that is not known.
/// @param heard when this process heard of the drain.
/// @param limit time from the operator's request until nothing may be sent to
/// the zone; zero to move at once.
zone_shift plan_shift(std::optional<timestamp> undrained, timestamp heard,
                      duration_ms limit);

} // namespace heathtrestle::routing
