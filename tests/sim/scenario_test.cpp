// Invariants hold under injected faults for a fixed set of seeds, and the
// checker detects a violation when the mechanism behind it is switched off.
#include "sim/scenario.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

namespace heathtrestle::sim {
namespace {

constexpr std::uint64_t seeds = 16;

class scenario_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(scenario_test);
  CPPUNIT_TEST(invariants_hold_without_faults);
  CPPUNIT_TEST(invariants_hold_with_all_faults);
  CPPUNIT_TEST(invariants_hold_with_failures_during_tool_calls);
  CPPUNIT_TEST(the_same_seed_gives_the_same_run);
  CPPUNIT_TEST(unordered_calls_are_detected);
  CPPUNIT_TEST(unreleased_memory_is_detected);
  CPPUNIT_TEST(overspent_budgets_are_detected);
  CPPUNIT_TEST(repeated_bookings_are_detected);
  CPPUNIT_TEST(work_on_a_draining_back_end_is_detected);
  CPPUNIT_TEST(requests_cut_by_a_planned_stop_are_detected);
  CPPUNIT_TEST(crossed_replies_are_detected);
  CPPUNIT_TEST(false_not_run_refusals_are_detected);
  CPPUNIT_TEST(late_configuration_is_detected);
  CPPUNIT_TEST_SUITE_END();

public:
  void invariants_hold_without_faults() {
    scenario_options options = standard_scenario(1);
    options.faults.clear();
    expect_all_hold(options);
  }

  void invariants_hold_with_all_faults() {
    scenario_options options = standard_scenario(1);
    options.fault_count = 12;
    expect_all_hold(options);
  }

  void invariants_hold_with_failures_during_tool_calls() {
    expect_all_hold(slow_tools());
  }

  void the_same_seed_gives_the_same_run() {
    const scenario_result first = run_scenario(standard_scenario(5));
    const scenario_result second = run_scenario(standard_scenario(5));
    CPPUNIT_ASSERT(first.faults == second.faults);
    CPPUNIT_ASSERT_EQUAL(first.answers, second.answers);
    CPPUNIT_ASSERT_EQUAL(first.engine_starts, second.engine_starts);
  }

  void unordered_calls_are_detected() {
    expect_violated(mutation::no_order, invariant::order);
  }
  void unreleased_memory_is_detected() {
    expect_violated(mutation::no_release, invariant::memory);
  }
  void overspent_budgets_are_detected() {
    expect_violated(mutation::no_reservation, invariant::budget);
  }
  void repeated_bookings_are_detected() {
    scenario_options options = slow_tools();
    options.world.switched_off = mutation::always_start;
    expect_violated(options, invariant::at_most_once);
  }
  void work_on_a_draining_back_end_is_detected() {
    scenario_options options = standard_scenario(1);
    options.faults = {fault_kind::backend_drain};
    options.world.switched_off = mutation::no_drain;
    expect_violated(options, invariant::leaving_backend);
  }
  void requests_cut_by_a_planned_stop_are_detected() {
    scenario_options options = standard_scenario(1);
    options.faults = {fault_kind::planned_stop};
    options.world.switched_off = mutation::stop_without_drain;
    expect_violated(options, invariant::planned_stop);
  }
  void crossed_replies_are_detected() {
    expect_violated(mutation::crossed_replies, invariant::whole_answer);
  }
  void false_not_run_refusals_are_detected() {
    expect_violated(mutation::early_not_run, invariant::not_run);
  }
  void late_configuration_is_detected() {
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

  /// At least one of the seeds must violate the invariant.
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
