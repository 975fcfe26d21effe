// A linear model that is learnt from noisy samples: an outcome is taken to be
// the sum of a few inputs, each times a coefficient.
//
// Least squares with a prior: each coefficient is believed to lie near a value
// with a stated spread until samples say otherwise. Older samples lose weight,
// so the model follows a change, and falls back to the prior where an input
// has not varied for long. A sample far off the model counts as one at the
// limit (Huber 1964), so a few outliers do not move it; as the usual distance
// grows the limit grows with it, so a model that is far off itself still moves.
#pragma once

#include <array>
#include <cstddef>

namespace heathtrestle::balance {

class decaying_regression {
public:
  static constexpr std::size_t terms = 3;
  using vector = std::array<double, terms>;

  struct options {
    /// What the coefficients are believed to be, and the spread of that belief.
    vector prior{};
    vector prior_spread{};
    /// Usual distance between outcome and model before the first sample.
    double noise = 1;
    /// After so many samples one has lost half of its weight.
    double half_life = 300;
  };

  explicit decaying_regression(const options &settings);

  void add(const vector &inputs, double outcome);

  [[nodiscard]] const vector &coefficients() const { return coefficients_; }
  [[nodiscard]] double predict(const vector &inputs) const;
  /// Smoothed distance between outcome and model.
  [[nodiscard]] double noise() const { return noise_; }

private:
  using matrix = std::array<vector, terms>;

  void solve();

  options options_;
  double retained_; // weight that a sample keeps when another one comes
  double noise_;
  matrix products_{}; // decayed sums of input times input
  vector outcomes_{}; // decayed sums of input times outcome
  vector coefficients_{};
};

} // namespace heathtrestle::balance
