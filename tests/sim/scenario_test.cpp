// A fixed set of simulated runs: all hold as the product is, and the checker
// sees each point violated when its mechanism is switched off.
#include "sim/scenario.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

namespace heathtrestle::sim {
namespace {

constexpr std::uint64_t seeds = 16;

class scenario_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(scenario_test);
  CPPUNIT_TEST(a_calm_day_holds);
  CPPUNIT_TEST(all_faults_together_hold);
  CPPUNIT_TEST(deaths_during_tool_calls_hold);
  CPPUNIT_TEST(the_same_seed_gives_the_same_run);
  CPPUNIT_TEST(without_order_calls_overtake);
  CPPUNIT_TEST(without_release_memory_is_held);
  CPPUNIT_TEST(without_reservation_budgets_break);
  CPPUNIT_TEST(without_the_fence_bookings_repeat);
  CPPUNIT_TEST(without_drain_a_leaving_back_end_gets_work);
  CPPUNIT_TEST(without_drain_a_stop_cuts_requests);
  CPPUNIT_TEST(without_request_ids_answers_cross);
  CPPUNIT_TEST(without_commit_a_refusal_lies);
  CPPUNIT_TEST(without_relay_the_configuration_is_late);
  CPPUNIT_TEST_SUITE_END();

public:
  void a_calm_day_holds() {
    scenario_options options = standard_scenario(1);
    options.faults.clear();
    expect_all_hold(options);
  }

  void all_faults_together_hold() {
    scenario_options options = standard_scenario(1);
    options.fault_count = 12;
    expect_all_hold(options);
  }

  void deaths_during_tool_calls_hold() { expect_all_hold(slow_tools()); }

  void the_same_seed_gives_the_same_run() {
    const scenario_result first = run_scenario(standard_scenario(5));
    const scenario_result second = run_scenario(standard_scenario(5));
    CPPUNIT_ASSERT(first.faults == second.faults);
    CPPUNIT_ASSERT_EQUAL(first.answers, second.answers);
    CPPUNIT_ASSERT_EQUAL(first.engine_starts, second.engine_starts);
  }

  void without_order_calls_overtake() {
    expect_violated(mutation::no_order, invariant::order);
  }
  void without_release_memory_is_held() {
    expect_violated(mutation::no_release, invariant::memory);
  }
  void without_reservation_budgets_break() {
    expect_violated(mutation::no_reservation, invariant::budget);
  }
  void without_the_fence_bookings_repeat() {
    scenario_options options = slow_tools();
    options.world.switched_off = mutation::always_start;
    expect_violated(options, invariant::at_most_once);
  }
  void without_drain_a_leaving_back_end_gets_work() {
    scenario_options options = standard_scenario(1);
    options.faults = {fault_kind::backend_drain};
    options.world.switched_off = mutation::no_drain;
    expect_violated(options, invariant::leaving_backend);
  }
  void without_drain_a_stop_cuts_requests() {
    scenario_options options = standard_scenario(1);
    options.faults = {fault_kind::planned_stop};
    options.world.switched_off = mutation::stop_without_drain;
    expect_violated(options, invariant::planned_stop);
  }
  void without_request_ids_answers_cross() {
    expect_violated(mutation::crossed_replies, invariant::whole_answer);
  }
  void without_commit_a_refusal_lies() {
    expect_violated(mutation::early_not_run, invariant::not_run);
  }
  void without_relay_the_configuration_is_late() {
    expect_violated(mutation::no_relay, invariant::configuration);
  }

private:
  static scenario_options slow_tools() {
    scenario_options options = standard_scenario(1);
    options.world.tool_time = 1500 * per_millisecond;
    options.faults = {fault_kind::kill, fault_kind::freeze,
                      fault_kind::zone_loss, fault_kind::cut_both_ways};
    return options;
  }

  static void set_seed(scenario_options &options, std::uint64_t seed) {
    options.world.seed = seed;
    options.workload.seed = seed;
  }

  static void expect_all_hold(scenario_options options) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      set_seed(options, seed);
      const scenario_result result = run_scenario(options);
      CPPUNIT_ASSERT_MESSAGE(
          result.judged.holds()
              ? std::string()
              : fmt::format("seed {}: {}: {}", seed,
                            name_of(result.judged.violations[0].first),
                            result.judged.violations[0].second),
          result.judged.holds());
      CPPUNIT_ASSERT_EQUAL(result.programs, result.finished);
    }
  }

  static void expect_violated(mutation off, invariant which) {
    scenario_options options = standard_scenario(1);
    options.world.switched_off = off;
    expect_violated(options, which);
  }

  /// Some seed must show it; which one is fixed by the seeds.
  static void expect_violated(scenario_options options, invariant which) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      set_seed(options, seed);
      if (run_scenario(options).judged.violates(which)) {
        return;
      }
    }
    CPPUNIT_FAIL(fmt::format("{} was not violated with {} switched off",
                             name_of(which),
                             name_of(options.world.switched_off)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(scenario_test);

} // namespace
} // namespace heathtrestle::sim
