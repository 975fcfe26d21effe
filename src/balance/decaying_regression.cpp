#include "balance/decaying_regression.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace heathtrestle::balance {

namespace {

/// Residuals are clipped at this multiple of the smoothed residual. Two to
/// three keep nearly all of the information of undisturbed samples.
constexpr double residual_limit = 2.5;
/// Smoothing factor of the residual.
constexpr double noise_weight = 0.02;
/// Limits how far one sample raises the smoothed residual, as a multiple of it.
constexpr double noise_growth_limit = 10;

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
  const double deviation = outcome - expected;
  const double limit = residual_limit * noise_;
  const double clipped = expected + std::clamp(deviation, -limit, limit);
  const double residual =
      std::min(std::abs(deviation), noise_growth_limit * noise_);
  noise_ += noise_weight * (residual - noise_);
  for (std::size_t row = 0; row < terms; ++row) {
    for (std::size_t column = 0; column < terms; ++column) {
      products_[row][column] =
          retained_ * products_[row][column] + inputs[row] * inputs[column];
    }
    outcomes_[row] = retained_ * outcomes_[row] + inputs[row] * clipped;
  }
  solve();
}

void decaying_regression::solve() {
  // The prior enters as a ridge term: its precision relative to the noise.
  matrix left = products_;
  vector right = outcomes_;
  for (std::size_t place = 0; place < terms; ++place) {
    const double spread = options_.prior_spread[place];
    const double weight = noise_ * noise_ / (spread * spread);
    left[place][place] += weight;
    right[place] += weight * options_.prior[place];
  }
  // Gaussian elimination without pivoting; the matrix is positive definite, so
  // no pivot is zero.
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
