// Linear regression over noisy samples, with exponential forgetting, a Gaussian
// prior and outlier clipping.
//
// Each coefficient stays near its prior until samples outweigh it. Older
// samples lose weight, so the model follows changes and returns to the prior
// for an input that has not varied for long. A sample far from the prediction
// is clipped to a limit (Huber 1964), so a few outliers barely move the model.
// The limit scales with the smoothed residual, so a model that is far off still
// converges.
#pragma once

#include <array>
#include <cstddef>

namespace heathtrestle::balance {

class decaying_regression {
public:
  static constexpr std::size_t terms = 3;
  using vector = std::array<double, terms>;

  struct options {
    /// Prior mean and standard deviation of each coefficient.
    vector prior{};
    vector prior_spread{};
    /// Expected absolute residual before the first sample.
    double noise = 1;
    /// Number of later samples after which a sample's weight has halved.
    double half_life = 300;
  };

  explicit decaying_regression(const options &settings);

  void add(const vector &inputs, double outcome);

  [[nodiscard]] const vector &coefficients() const { return coefficients_; }
  [[nodiscard]] double predict(const vector &inputs) const;
  /// Smoothed absolute residual.
  [[nodiscard]] double noise() const { return noise_; }

private:
  using matrix = std::array<vector, terms>;

  void solve();

  options options_;
  double retained_; // factor applied to old weights by each new sample
  double noise_;
  matrix products_{}; // decayed sums of input times input
  vector outcomes_{}; // decayed sums of input times outcome
  vector coefficients_{};
};

} // namespace heathtrestle::balance
