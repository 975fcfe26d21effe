#include "bench/statistics.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace heathtrestle::bench {

double quantile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  const double wanted = std::ceil(share * static_cast<double>(values.size()));
  const auto rank = std::clamp<std::size_t>(static_cast<std::size_t>(wanted), 1,
                                            values.size()) -
                    1;
  const auto position = values.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(values.begin(), position, values.end());
  return *position;
}

double mean(const std::vector<double> &values) {
  if (values.empty()) {
    return 0;
  }
  return std::accumulate(values.begin(), values.end(), 0.0) /
         static_cast<double>(values.size());
}

} // namespace heathtrestle::bench
