// Quantiles of measured values.
#pragma once

#include <vector>

namespace heathtrestle::bench {

/// @param share from 0 to 1.
/// @return the smallest value that at least this share of the values do not
/// exceed; 0 when there are none.
double quantile(std::vector<double> values, double share);

double mean(const std::vector<double> &values);

} // namespace heathtrestle::bench
