// Faults injected into the mechanisms under test, to verify that the checker
// detects each violation. A mutation changes events or effects at the boundary
// of the reducer; the reducer itself has no such switches.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace heathtrestle::sim {

enum class mutation : std::uint8_t {
  none,
  /// A restarted process keeps its boot number, and with it the identity under
  /// which it voted before.
  same_identity_after_restart,
  /// Every engine request and tool invocation may start work, including those
  /// that may only resume it.
  always_start,
  /// Releases of engine memory are acknowledged but not executed.
  no_release,
  /// Daemons read a price of 0 for every class and so reserve nothing.
  no_reservation,
  /// Daemons read draining back ends as active.
  no_drain,
  /// A planned stop kills the process without draining it.
  stop_without_drain,
  /// A reply goes to the first open connection instead of that of its request.
  crossed_replies,
  /// Some outcomes of calls are replaced by "not run" refusals.
  early_not_run,
  /// Configuration deltas between nodes are dropped, and messages report
  /// configuration revision 0.
  no_relay,
  /// Each call is sent under an agent name of its own, so that calls of one
  /// agent are not ordered.
  no_order,
};

/// @return nothing for an unknown name.
std::optional<mutation> mutation_named(std::string_view name);
std::string_view name_of(mutation which);

} // namespace heathtrestle::sim
