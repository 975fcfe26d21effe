#include "balance/decaying_regression.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace heathtrestle::balance {

namespace {

/// A sample counts as one at most so many usual distances off the model. Two
/// to three keep nearly all of the information of undisturbed samples.
constexpr double outlier_limit = 2.5;
/// Weight of one sample in the usual distance.
constexpr double noise_weight = 0.02;
/// One sample raises the usual distance as if it were at most so many times as
/// far off.
constexpr double noise_step = 10;

} // namespace

decaying_regression::decaying_regression(const options &settings)
    : options_(settings), retained_(std::pow(0.5, 1 / settings.half_life)),
      noise_(settings.noise), coefficients_(settings.prior) {}

double decaying_regression::predict(const vector &inputs) const {
  return std::inner_product(inputs.begin(), inputs.end(), coefficients_.begin(),
                            0.0);
}

void decaying_regression::add(const vector &inputs, double outcome) {
  const double expected = predict(inputs);
  const double distance = outcome - expected;
  const double limit = outlier_limit * noise_;
  const double taken = expected + std::clamp(distance, -limit, limit);
  const double seen = std::min(std::abs(distance), noise_step * noise_);
  noise_ += noise_weight * (seen - noise_);
  for (std::size_t row = 0; row < terms; ++row) {
    for (std::size_t column = 0; column < terms; ++column) {
      products_[row][column] =
          retained_ * products_[row][column] + inputs[row] * inputs[column];
    }
    outcomes_[row] = retained_ * outcomes_[row] + inputs[row] * taken;
  }
  solve();
}

void decaying_regression::solve() {
  // The prior counts as samples whose noise is that of the others: with the
  // precision of its spread, in units of the noise.
  matrix left = products_;
  vector right = outcomes_;
  for (std::size_t place = 0; place < terms; ++place) {
    const double spread = options_.prior_spread[place];
    const double weight = noise_ * noise_ / (spread * spread);
    left[place][place] += weight;
    right[place] += weight * options_.prior[place];
  }
  // Gaussian elimination; the matrix is positive definite, so no pivot is zero.
  for (std::size_t pivot = 0; pivot < terms; ++pivot) {
    for (std::size_t row = pivot + 1; row < terms; ++row) {
      const double factor = left[row][pivot] / left[pivot][pivot];
      for (std::size_t column = pivot; column < terms; ++column) {
        left[row][column] -= factor * left[pivot][column];
      }
      right[row] -= factor * right[pivot];
    }
  }
  for (std::size_t row = terms; row-- > 0;) {
    double rest = right[row];
    for (std::size_t column = row + 1; column < terms; ++column) {
      rest -= left[row][column] * coefficients_[column];
    }
    coefficients_[row] = rest / left[row][row];
  }
}

} // namespace heathtrestle::balance
