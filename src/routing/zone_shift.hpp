// Schedules how the traffic of a drained zone shifts to the other zones:
// gradually, but within the time limit.
//
// Conversations that leave the zone lose their cached prompts, which other
// engines have to read again. If all conversations moved at once, these engines
// would be busy with prefill and delay every turn. They therefore move one
// after the other.
//
// A process knows when it learned of the drain, possibly late, but not when the
// operator requested it. The time limit is therefore counted from the last time
// at which the zone was certainly not drained.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>

namespace heathtrestle::routing {

/// The time interval in which the traffic of one zone shifts.
struct zone_shift {
  timestamp begin{};
  /// From then on the zone gets no traffic. If not after `begin`, all traffic
  /// moves at once.
  timestamp end{};

  bool operator==(const zone_shift &) const = default;

  /// @return the share of its normal traffic that the zone still gets, 0 to 1.
  [[nodiscard]] double remaining(timestamp now) const;
  /// True while a conversation may still be sent to the zone.
  /// @param draw uniformly distributed over conversations and equal for all
  /// requests of one, so that none moves back and forth.
  [[nodiscard]] bool keeps(std::uint64_t draw, timestamp now) const;
};

/// @param undrained when the zone was last certainly not drained; nothing if
/// unknown, in which case all traffic moves at once.
/// @param heard when this process learned of the drain.
/// @param limit time from the operator's request until nothing may be sent to
/// the zone; zero to move at once.
zone_shift plan_shift(std::optional<timestamp> undrained, timestamp heard,
                      duration_ms limit);

} // namespace heathtrestle::routing
