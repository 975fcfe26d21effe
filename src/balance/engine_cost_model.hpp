// What a turn costs at the engines of one service, learnt from the turns that
// this gateway has seen through: how fast prompts are read, and what one more
// running request costs the others. Engines differ a hundredfold in both, and
// nothing in their records tells.
#pragma once

#include "balance/decaying_regression.hpp"

namespace heathtrestle::balance {

/// How a turn went at the engine that answered it.
struct turn_observation {
  /// Tokens of the prompt that the engine was taken to lack.
  double missing_tokens = 0;
  /// Requests that were taken to run there beside this one.
  double running = 0;
  /// From sending the request to its first event.
  double first_event_ms = 0;
  /// Mean time between its later events; zero where there was no second one.
  double event_gap_ms = 0;
  /// Events in all.
  double events = 0;

  bool operator==(const turn_observation &) const = default;
};

/// The costs of one service's engines, in milliseconds.
struct engine_costs {
  double ms_per_token = 0;
  /// What one more running request costs each other one, over a whole turn.
  double ms_per_running = 0;
  /// A turn that finds its prompt and no other request there.
  double turn_ms = 0;

  bool operator==(const engine_costs &) const = default;
};

class engine_cost_model {
public:
  engine_cost_model();

  void observe(const turn_observation &turn);

  [[nodiscard]] engine_costs costs() const;
  /// The time to the first event of a turn of that kind.
  [[nodiscard]] double first_event_ms(double missing_tokens,
                                      double running) const;
  /// The time between its events.
  [[nodiscard]] double event_gap_ms(double running) const;
  /// Usual distance of a first event from what was expected.
  [[nodiscard]] double first_event_noise_ms() const {
    return first_event_.noise();
  }

private:
  decaying_regression first_event_;
  decaying_regression event_gap_;
  /// Smoothed number of events of a turn.
  double events_;
};

} // namespace heathtrestle::balance
