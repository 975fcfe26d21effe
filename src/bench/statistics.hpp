// Quantiles and means of samples.
#pragma once

#include <vector>

namespace heathtrestle::bench {

/// @param share from 0 to 1.
/// @return the smallest value that at least this share of the values do not
/// exceed; 0 when there are none.
double quantile(std::vector<double> values, double share);

/// @return the arithmetic mean; 0 when there are no values.
double mean(const std::vector<double> &values);

} // namespace heathtrestle::bench
