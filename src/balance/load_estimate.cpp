#include "balance/load_estimate.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace heathtrestle::balance {

namespace {

/// Turns are measured in whole milliseconds; none is taken for zero.
constexpr double shortest_turn_ms = 1;

/// Share of the requests of a report that still run.
double share_left(const reported_load &report, timestamp now, double turn_ms) {
  if (report.at == timestamp{}) {
    return 0;
  }
  const double age =
      std::chrono::duration<double, std::milli>(now - report.at).count();
  return std::exp(-std::max(age, 0.0) / std::max(turn_ms, shortest_turn_ms));
}

/// The level up to which `expected_arrivals` fill the lowest of the loads.
double level_after(std::vector<double> loads, double expected_arrivals) {
  std::sort(loads.begin(), loads.end());
  double below = 0; // sum of the loads under the level
  for (std::size_t count = 1; count <= loads.size(); ++count) {
    below += loads[count - 1];
    const double level =
        (expected_arrivals + below) / static_cast<double>(count);
    if (count == loads.size() || level <= loads[count]) {
      return level;
    }
  }
  return 0;
}

} // namespace

std::vector<load_estimate>
estimate_loads(std::span<const reported_load> reports, timestamp now,
               double turn_ms) {
  std::vector<load_estimate> estimates;
  std::vector<double> left;
  double ended = 0;
  for (const reported_load &report : reports) {
    const double share = share_left(report, now, turn_ms);
    left.push_back(report.running * share);
    ended += report.running * (1 - share);
    estimates.push_back(
        {.spread = report.running * share * (1 - share)}); // binomial
  }
  const double level = level_after(left, ended);
  for (std::size_t index = 0; index < left.size(); ++index) {
    load_estimate &each = estimates[index];
    each.expected_arrivals = std::max(level - left[index], 0.0);
    each.running = left[index] + each.expected_arrivals;
    each.spread = std::sqrt(each.spread + each.expected_arrivals); // Poisson
  }
  return estimates;
}

} // namespace heathtrestle::balance
