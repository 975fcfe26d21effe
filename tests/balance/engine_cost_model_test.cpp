#include "balance/decaying_regression.hpp"
#include "balance/engine_cost_model.hpp"
#include "balance/replica_speed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>

namespace heathtrestle::balance {
namespace {

/// Generates turns of an engine with the given costs and exponentially
/// distributed queueing delay.
class simulated_engine {
public:
  simulated_engine(double ms_per_token, double ms_per_running,
                   std::uint64_t seed)
      : ms_per_token_(ms_per_token), ms_per_running_(ms_per_running),
        random_(seed) {}

  turn_observation turn() {
    turn_observation made;
    made.missing_tokens =
        std::uniform_real_distribution(200.0, 4000.0)(random_);
    made.running = std::uniform_real_distribution(0.0, 8.0)(random_);
    made.events = 10;
    const double reading = made.missing_tokens * ms_per_token_;
    const double queueing = std::exponential_distribution(1 / 20.0)(random_);
    made.first_event_ms = 25 + reading + queueing;
    made.event_gap_ms = 12 + made.running * ms_per_running_ / made.events;
    return made;
  }
  /// A turn that was delayed by a fault.
  turn_observation disturbed() {
    turn_observation made = turn();
    made.first_event_ms += 4000;
    made.event_gap_ms = 400;
    return made;
  }

private:
  double ms_per_token_;
  double ms_per_running_;
  std::mt19937_64 random_;
};

class engine_cost_model_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(engine_cost_model_test);
  CPPUNIT_TEST(uses_the_prior_before_the_first_turn);
  CPPUNIT_TEST(learns_prefill_speed_within_a_hundred_turns);
  CPPUNIT_TEST(learns_cost_of_running_requests);
  CPPUNIT_TEST(tolerates_a_tenth_of_delayed_turns);
  CPPUNIT_TEST(follows_a_change_of_speed);
  CPPUNIT_TEST(identical_turns_keep_the_prior_rate);
  CPPUNIT_TEST(costs_are_never_negative);
  CPPUNIT_TEST_SUITE_END();

  static void check_rate(double expected, const engine_cost_model &model,
                         double tolerance) {
    const double learnt = model.costs().ms_per_token;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(learnt),
                           learnt > expected * (1 - tolerance) &&
                               learnt < expected * (1 + tolerance));
  }

public:
  void uses_the_prior_before_the_first_turn() {
    const engine_costs costs = engine_cost_model().costs();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.01, costs.ms_per_token, 1e-9);
    CPPUNIT_ASSERT(costs.ms_per_running > 0);
    CPPUNIT_ASSERT(costs.turn_ms > 0);
  }

  void learns_prefill_speed_within_a_hundred_turns() {
    // 3.8, 12, 38 and 380 tokens per millisecond.
    for (const double ms_per_token : {1 / 3.8, 1 / 12.0, 1 / 38.0, 1 / 380.0}) {
      simulated_engine engine(ms_per_token, 5, 3);
      engine_cost_model model;
      for (int turn = 0; turn < 100; ++turn) {
        model.observe(engine.turn());
      }
      const double noise_of_queueing = 20.0 / 4000;
      check_rate(ms_per_token, model, 0.25 + noise_of_queueing / ms_per_token);
    }
  }

  void learns_cost_of_running_requests() {
    for (const double ms_per_running : {1.0, 5.0, 20.0}) {
      simulated_engine engine(1 / 38.0, ms_per_running, 4);
      engine_cost_model model;
      for (int turn = 0; turn < 300; ++turn) {
        model.observe(engine.turn());
      }
      CPPUNIT_ASSERT_DOUBLES_EQUAL(ms_per_running, model.costs().ms_per_running,
                                   2.5);
    }
  }

  void tolerates_a_tenth_of_delayed_turns() {
    simulated_engine engine(1 / 38.0, 5, 5);
    engine_cost_model model;
    for (int turn = 0; turn < 400; ++turn) {
      model.observe(turn % 10 == 9 ? engine.disturbed() : engine.turn());
    }
    check_rate(1 / 38.0, model, 0.3);
  }

  void follows_a_change_of_speed() {
    simulated_engine before(1 / 270.0, 5, 6);
    simulated_engine after(1 / 27.0, 5, 7);
    engine_cost_model model;
    for (int turn = 0; turn < 1000; ++turn) {
      model.observe(before.turn());
    }
    for (int turn = 0; turn < 1000; ++turn) {
      model.observe(after.turn());
    }
    check_rate(1 / 27.0, model, 0.3);
  }

  void identical_turns_keep_the_prior_rate() {
    engine_cost_model model;
    for (int turn = 0; turn < 500; ++turn) {
      model.observe({.missing_tokens = 0,
                     .running = 1,
                     .first_event_ms = 60,
                     .event_gap_ms = 12,
                     .events = 10});
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.01, model.costs().ms_per_token, 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(60, model.first_event_ms(0, 1), 3);
  }

  void costs_are_never_negative() {
    engine_cost_model model;
    for (int turn = 0; turn < 500; ++turn) {
      const double size = turn % 10;
      model.observe({.missing_tokens = 1000 * size,
                     .running = size,
                     .first_event_ms = 500 - 40 * size,
                     .event_gap_ms = 50 - 4 * size,
                     .events = 10});
    }
    CPPUNIT_ASSERT(model.costs().ms_per_token > 0);
    CPPUNIT_ASSERT(model.costs().ms_per_running > 0);
    CPPUNIT_ASSERT(model.event_gap_ms(1000) > 0);
    CPPUNIT_ASSERT(model.first_event_ms(1e6, 1000) > 0);
  }
};

class replica_speed_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(replica_speed_test);
  CPPUNIT_TEST(detects_a_slow_replica);
  CPPUNIT_TEST(tolerates_one_slow_response);
  CPPUNIT_TEST(excess_wait_decays);
  CPPUNIT_TEST_SUITE_END();

public:
  void detects_a_slow_replica() {
    replica_speed speed;
    CPPUNIT_ASSERT_EQUAL(1.0, speed.slowdown());
    for (int answer = 0; answer < 60; ++answer) {
      speed.record_duration(50, 10);
    }
    CPPUNIT_ASSERT(speed.slowdown() > 4.5 && speed.slowdown() <= 5);
  }

  void tolerates_one_slow_response() {
    replica_speed speed;
    speed.record_duration(10000, 10);
    CPPUNIT_ASSERT(speed.slowdown() < 2);
  }

  void excess_wait_decays() {
    replica_speed speed;
    const timestamp start = timestamp_from(1000);
    CPPUNIT_ASSERT_EQUAL(0.0, speed.wait_ms(start));
    for (int turn = 0; turn < 20; ++turn) {
      speed.record_first_event(200, start);
    }
    CPPUNIT_ASSERT(speed.wait_ms(start) > 150);
    CPPUNIT_ASSERT(speed.wait_ms(start + duration_ms{5000}) < 10);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_cost_model_test);
CPPUNIT_TEST_SUITE_REGISTRATION(replica_speed_test);

} // namespace
} // namespace heathtrestle::balance
