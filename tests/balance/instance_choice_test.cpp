#include "balance/instance_choice.hpp"
#include "balance/prefix_view.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <set>

namespace heathtrestle::balance {
namespace {

candidate idle(bool same_zone) {
  return {.running = 0, .slots = 12, .same_zone = same_zone};
}

/// Engines that read 270 tokens per millisecond and whose turns take 300 ms.
const engine_choice_options quick_engines{
    .costs = {.ms_per_token = 1.0 / 270, .ms_per_running = 10, .turn_ms = 300}};
/// Engines that read 38 tokens per millisecond.
const engine_choice_options slow_engines{
    .costs = {.ms_per_token = 1.0 / 38, .ms_per_running = 5, .turn_ms = 250}};

class instance_choice_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(instance_choice_test);
  CPPUNIT_TEST(returns_nothing_without_candidates);
  CPPUNIT_TEST(prefers_cached_prompt_at_equal_load);
  CPPUNIT_TEST(prefers_prefill_over_a_full_engine);
  CPPUNIT_TEST(prefers_short_prefill_over_queueing);
  CPPUNIT_TEST(leaves_the_zone_only_under_load);
  CPPUNIT_TEST(avoids_a_slow_engine);
  CPPUNIT_TEST(accepts_more_load_for_a_cached_prompt_on_slow_engines);
  CPPUNIT_TEST(avoids_an_engine_with_excess_wait);
  CPPUNIT_TEST(chooses_a_suspect_only_as_last_resort);
  CPPUNIT_TEST(breaks_ties_evenly);
  CPPUNIT_TEST(load_outweighs_affinity_of_plain_replicas);
  CPPUNIT_TEST(idle_connection_only_breaks_ties);
  CPPUNIT_TEST_SUITE_END();

public:
  void returns_nothing_without_candidates() {
    CPPUNIT_ASSERT(!choose_engine({}, 1, quick_engines));
    CPPUNIT_ASSERT(!choose_plain({}, 1, {}));
  }

  void prefers_cached_prompt_at_equal_load() {
    std::array nodes{idle(true), idle(true)};
    nodes[0].missing_tokens = 14000;
    nodes[1].missing_tokens = 300;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         *choose_engine(nodes, 0, quick_engines));
  }

  void prefers_prefill_over_a_full_engine() {
    std::array nodes{idle(true), idle(true)};
    nodes[0].missing_tokens = 14000;
    nodes[1].running = 30;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         *choose_engine(nodes, 1, quick_engines));
  }

  void prefers_short_prefill_over_queueing() {
    std::array nodes{idle(true), idle(true)};
    nodes[0].missing_tokens = 500;
    nodes[1].running = 5;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         *choose_engine(nodes, 1, quick_engines));
  }

  void leaves_the_zone_only_under_load() {
    std::array nodes{idle(true), idle(false)};
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         *choose_engine(nodes, 1, quick_engines));
    nodes[0].running = 10;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         *choose_engine(nodes, 1, quick_engines));
  }

  void avoids_a_slow_engine() {
    std::array nodes{idle(true), idle(true)};
    nodes[0].running = 5;
    nodes[1].running = 5;
    nodes[0].slowdown = 1.5;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         *choose_engine(nodes, 0, quick_engines));
  }

  void accepts_more_load_for_a_cached_prompt_on_slow_engines() {
    std::array nodes{idle(true), idle(true)};
    nodes[0].running = 5;
    nodes[1].missing_tokens = 3000;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         *choose_engine(nodes, 0, quick_engines));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         *choose_engine(nodes, 0, slow_engines));
  }

  void avoids_an_engine_with_excess_wait() {
    std::array nodes{idle(true), idle(true)};
    nodes[0].wait_ms = 80;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         *choose_engine(nodes, 0, quick_engines));
  }

  void chooses_a_suspect_only_as_last_resort() {
    std::array nodes{idle(true), idle(false)};
    nodes[0].suspect = true;
    nodes[1].running = 75;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         *choose_engine(nodes, 0, quick_engines));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{0},
        *choose_engine(std::span(nodes).first(1), 0, quick_engines));
  }

  void breaks_ties_evenly() {
    const std::array nodes{idle(true), idle(true), idle(true)};
    std::set<std::size_t> taken;
    for (std::uint64_t random = 0; random < nodes.size(); ++random) {
      taken.insert(*choose_plain(nodes, random, {}));
    }
    CPPUNIT_ASSERT_EQUAL(nodes.size(), taken.size());
  }

  void load_outweighs_affinity_of_plain_replicas() {
    std::array nodes{idle(true), idle(true)};
    nodes[0].slots = nodes[1].slots = 6;
    nodes[0].affinity = 2;
    nodes[1].affinity = 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *choose_plain(nodes, 1, {}));
    nodes[0].running = 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *choose_plain(nodes, 1, {}));
  }

  void idle_connection_only_breaks_ties() {
    std::array nodes{idle(true), idle(true), idle(false)};
    nodes[1].connected = true;
    nodes[2].connected = true;
    for (std::uint64_t random = 0; random < nodes.size(); ++random) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *choose_plain(nodes, random, {}));
    }
    nodes[1].running = 1;
    for (std::uint64_t random = 0; random < nodes.size(); ++random) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *choose_plain(nodes, random, {}));
    }
  }
};

class prefix_view_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(prefix_view_test);
  CPPUNIT_TEST(recorded_parts_are_cached);
  CPPUNIT_TEST(a_part_is_cached_only_with_all_before_it);
  CPPUNIT_TEST(evicts_least_recently_used_parts);
  CPPUNIT_TEST(only_the_new_tokens_of_a_grown_part_are_missing);
  CPPUNIT_TEST(generated_tokens_extend_the_last_part);
  CPPUNIT_TEST(a_grown_part_counts_with_its_full_size);
  CPPUNIT_TEST(reducing_the_capacity_evicts);
  CPPUNIT_TEST_SUITE_END();

public:
  void recorded_parts_are_cached() {
    prefix_view view(1000);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{30},
                         view.missing_tokens({{1, 10}, {2, 20}}));
    view.record({{1, 10}, {2, 20}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         view.missing_tokens({{1, 10}, {2, 20}}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5},
                         view.missing_tokens({{1, 10}, {2, 20}, {3, 5}}));
  }

  void a_part_is_cached_only_with_all_before_it() {
    prefix_view view(1000);
    view.record({{1, 10}, {2, 20}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{25},
                         view.missing_tokens({{9, 5}, {2, 20}}));
  }

  void only_the_new_tokens_of_a_grown_part_are_missing() {
    prefix_view view(1000);
    view.record({{1, 10}, {2, 20}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{15},
                         view.missing_tokens({{1, 10}, {2, 35}}));
    // Everything after an incomplete part has to be read.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5 + 20},
                         view.missing_tokens({{1, 15}, {2, 20}}));
  }

  void generated_tokens_extend_the_last_part() {
    prefix_view view(1000);
    view.record({{1, 10}, {2, 20}}, 7);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                         view.missing_tokens({{1, 10}, {2, 30}}));
  }

  void a_grown_part_counts_with_its_full_size() {
    prefix_view view(100);
    view.record({{1, 10}, {2, 20}});
    view.record({{1, 10}, {2, 60}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{70}, view.tokens());
    view.record({{1, 10}, {3, 50}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{60}, view.tokens());
  }

  void reducing_the_capacity_evicts() {
    prefix_view view(100);
    view.record({{1, 10}, {2, 60}});
    view.record({{1, 10}, {3, 20}});
    view.set_capacity(50);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{30}, view.tokens());
  }

  void evicts_least_recently_used_parts() {
    prefix_view view(100);
    view.record({{1, 50}, {2, 30}});
    view.record({{1, 50}, {3, 40}});
    CPPUNIT_ASSERT(view.tokens() <= 100);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         view.missing_tokens({{1, 50}, {3, 40}}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{30},
                         view.missing_tokens({{1, 50}, {2, 30}}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(instance_choice_test);
CPPUNIT_TEST_SUITE_REGISTRATION(prefix_view_test);

} // namespace
} // namespace heathtrestle::balance
