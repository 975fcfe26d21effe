// Learns what a turn costs at the engines of one service from the turns that
// this gateway has completed: the prefill time per prompt token and the
// slowdown that each concurrent request adds. Engines differ a hundredfold in
// both, and their directory records do not state either.
#pragma once

#include "balance/decaying_regression.hpp"

namespace heathtrestle::balance {

/// Measurements of one completed turn.
struct turn_observation {
  /// Estimated prompt tokens that were not in the engine's prefix cache.
  double missing_tokens = 0;
  /// Estimated other requests that were running on the engine.
  double running = 0;
  /// Time from sending the request to its first event.
  double first_event_ms = 0;
  /// Mean time between events; zero if there were fewer than two.
  double event_gap_ms = 0;
  /// Total number of events.
  double events = 0;

  bool operator==(const turn_observation &) const = default;
};

/// The costs of one service's engines, in milliseconds.
struct engine_costs {
  double ms_per_token = 0;
  /// Delay that one more running request adds to a whole turn of each other.
  double ms_per_running = 0;
  /// Duration of a turn whose prompt is fully cached on an otherwise idle
  /// engine.
  double turn_ms = 0;

  bool operator==(const engine_costs &) const = default;
};

class engine_cost_model {
public:
  engine_cost_model();

  void observe(const turn_observation &turn);

  [[nodiscard]] engine_costs costs() const;
  /// Predicted time to the first event, at least 1 ms.
  [[nodiscard]] double first_event_ms(double missing_tokens,
                                      double running) const;
  /// Predicted time between events, above zero.
  [[nodiscard]] double event_gap_ms(double running) const;
  /// Smoothed absolute error of the first-event prediction.
  [[nodiscard]] double first_event_noise_ms() const {
    return first_event_.noise();
  }

private:
  decaying_regression first_event_;
  decaying_regression event_gap_;
  /// Smoothed number of events per turn.
  double events_;
};

} // namespace heathtrestle::balance
