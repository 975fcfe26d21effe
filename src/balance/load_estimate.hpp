// Estimates the current loads of a service's engines from load reports that are
// already stale, when many gateways place their turns by the same reports.
#pragma once

#include "base/time.hpp"

#include <span>
#include <vector>

namespace heathtrestle::balance {

/// Requests of the other gateways that were running on one engine at some time.
struct reported_load {
  double running = 0;
  /// Time of the report; the epoch if there is none.
  timestamp at{};

  bool operator==(const reported_load &) const = default;
};

/// Estimate of the other gateways' current requests on one engine.
struct load_estimate {
  double running = 0;
  /// Standard deviation of `running`.
  double spread = 0;
  /// Expected number of requests that arrived since the report: higher for
  /// engines with less surviving load. Used as the weight of the random draw.
  double expected_arrivals = 0;

  bool operator==(const load_estimate &) const = default;
};

/// Estimates the engines' current loads from reports of different ages.
///
/// Of the reported requests, a share of exp(-age / turn) is still running. The
/// total load changes slowly, so as many requests are assumed to have arrived
/// as have ended. The other gateways sent these to the engines with the lowest
/// reported loads, so the arrivals fill the engines with the least surviving
/// load up to one level, and an engine that was reported idle is no better than
/// others. A report that is many turns old yields the average load. This is the
/// load interpretation of Dahlin, "Interpreting stale load information" (1999),
/// extended by the completion of turns.
/// @param turn_ms mean duration of a request on an engine, in milliseconds.
std::vector<load_estimate>
estimate_loads(std::span<const reported_load> reports, timestamp now,
               double turn_ms);

} // namespace heathtrestle::balance
