#include "balance/load_estimate.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace heathtrestle::balance {

namespace {

/// Lower bound that avoids a division by zero.
constexpr double min_turn_ms = 1;

/// Fraction of the reported requests that are still running.
double surviving_share(const reported_load &report, timestamp now,
                       double turn_ms) {
  if (report.at == timestamp{}) {
    return 0;
  }
  const double age =
      std::chrono::duration<double, std::milli>(now - report.at).count();
  return std::exp(-std::max(age, 0.0) / std::max(turn_ms, min_turn_ms));
}

/// Water-filling: the level to which the arrivals raise the lowest loads.
double fill_level(std::vector<double> loads, double arrivals) {
  std::sort(loads.begin(), loads.end());
  double below = 0; // sum of the loads below the level
  for (std::size_t count = 1; count <= loads.size(); ++count) {
    below += loads[count - 1];
    const double level = (arrivals + below) / static_cast<double>(count);
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
  std::vector<double> surviving;
  double ended = 0;
  for (const reported_load &report : reports) {
    const double share = surviving_share(report, now, turn_ms);
    surviving.push_back(report.running * share);
    ended += report.running * (1 - share);
    estimates.push_back(
        {.spread = report.running * share * (1 - share)}); // binomial
  }
  const double level = fill_level(surviving, ended);
  for (std::size_t index = 0; index < surviving.size(); ++index) {
    load_estimate &each = estimates[index];
    each.expected_arrivals = std::max(level - surviving[index], 0.0);
    each.running = surviving[index] + each.expected_arrivals;
    each.spread = std::sqrt(each.spread + each.expected_arrivals); // Poisson
  }
  return estimates;
}

} // namespace heathtrestle::balance
