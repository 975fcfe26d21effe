#include "balance/engine_cost_model.hpp"

#include <algorithm>

namespace heathtrestle::balance {

namespace {

/// Tokens enter the model in thousands, so that all inputs have similar
/// magnitude.
constexpr double tokens_per_unit = 1000;
/// Half-life of a sample: about ten seconds on a busy gateway, in which the
/// engines of one service do not change their speed.
constexpr double half_life_turns = 300;

/// Priors. Engines read 10 to 1,000 prompt tokens per millisecond and produce
/// an event every 5 to 50 ms; the wide spread lets a few dozen turns override
/// them.
constexpr decaying_regression::options first_event_prior{
    .prior = {30, 10, 2}, // base; per thousand tokens; per running request
    .prior_spread = {100, 30, 4},
    .noise = 20,
    .half_life = half_life_turns};
constexpr decaying_regression::options event_gap_prior{
    .prior = {15, 0, 0.4}, // base; unused; per running request
    .prior_spread = {30, 1e-3, 0.8},
    .noise = 5,
    .half_life = half_life_turns};
/// Initial estimate of events per turn, and the smoothing factor of one turn.
constexpr double events_prior = 10;
constexpr double events_weight = 0.02;

/// Lower bound of the learned prefill time; smaller values are noise.
constexpr double min_ms_per_token = 1.0 / 5000;
/// Lower bound: concurrent requests never speed an engine up.
constexpr double min_ms_per_running = 0.1;

} // namespace

engine_cost_model::engine_cost_model()
    : first_event_(first_event_prior), event_gap_(event_gap_prior),
      events_(events_prior) {}

void engine_cost_model::observe(const turn_observation &turn) {
  first_event_.add({1, turn.missing_tokens / tokens_per_unit, turn.running},
                   turn.first_event_ms);
  if (turn.event_gap_ms > 0) {
    event_gap_.add({1, 0, turn.running}, turn.event_gap_ms);
  }
  events_ += events_weight * (turn.events - events_);
}

engine_costs engine_cost_model::costs() const {
  const double per_token = first_event_.coefficients()[1] / tokens_per_unit;
  const double first = std::max(first_event_.coefficients()[2], 0.0);
  const double gap = std::max(event_gap_.coefficients()[2], 0.0);
  return {.ms_per_token = std::max(per_token, min_ms_per_token),
          .ms_per_running = std::max(first + gap * events_, min_ms_per_running),
          .turn_ms = first_event_ms(0, 0) + event_gap_ms(0) * events_};
}

double engine_cost_model::first_event_ms(double missing_tokens,
                                         double running) const {
  return std::max(
      first_event_.predict({1, missing_tokens / tokens_per_unit, running}),
      1.0);
}

double engine_cost_model::event_gap_ms(double running) const {
  constexpr double min_gap_ms = 0.1;
  return std::max(event_gap_.predict({1, 0, running}), min_gap_ms);
}

} // namespace heathtrestle::balance
