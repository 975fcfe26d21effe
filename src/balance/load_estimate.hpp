// What reports of the engines' loads that are already some time old still tell
// about the loads now, when many gateways place their turns by them.
#pragma once

#include "base/time.hpp"

#include <span>
#include <vector>

namespace heathtrestle::balance {

/// What other gateways had running at one engine, as of some moment.
struct reported_load {
  double running = 0;
  /// The epoch when nothing has been reported.
  timestamp at{};

  bool operator==(const reported_load &) const = default;
};

/// The requests of other gateways at one engine now, as far as is known.
struct load_estimate {
  double running = 0;
  /// Standard deviation of `running`.
  double spread = 0;
  /// Requests that have come since the report, as expected: the less was left
  /// of the report, the more. Engines are drawn by this weight.
  double expected_arrivals = 0;

  bool operator==(const load_estimate &) const = default;
};

/// The loads of a service's engines after reports on them.
///
/// Of the requests reported, a share of exp(-age / turn) still runs. As many as
/// have ended have come since, for the service's load as a whole changes
/// slowly; they went where the report showed the lowest loads, for that is
/// where the other gateways have sent them. So the expected_arrivals fill the
/// engines with the least left up to one level, and an engine that looked idle
/// is no better than others by now. A report that is many turns old tells
/// nothing but the usual load. This is the load interpretation of Dahlin,
/// "Interpreting stale load information" (1999), with ends of turns taken into
/// account.
/// @param turn_ms mean time of a request at an engine, in milliseconds.
std::vector<load_estimate>
estimate_loads(std::span<const reported_load> reports, timestamp now,
               double turn_ms);

} // namespace heathtrestle::balance
