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

/// Engines that read 270 tokens a millisecond, and whose turns take 300 ms.
const engine_choice_options quick_engines{
    .costs = {.ms_per_token = 1.0 / 270, .ms_per_running = 10, .turn_ms = 300}};
/// Engines that read 38 tokens a millisecond.
const engine_choice_options slow_engines{
    .costs = {.ms_per_token = 1.0 / 38, .ms_per_running = 5, .turn_ms = 250}};

class instance_choice_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(instance_choice_test);
  CPPUNIT_TEST(nothing_to_choose_from_gives_nothing);
  CPPUNIT_TEST(an_engine_that_keeps_the_prompt_wins_at_equal_load);
  CPPUNIT_TEST(a_full_engine_loses_to_one_that_must_read);
  CPPUNIT_TEST(a_short_prompt_is_not_worth_a_queue);
  CPPUNIT_TEST(an_engine_keeps_to_the_zone_until_load_says_otherwise);
  CPPUNIT_TEST(a_slow_engine_gets_less);
  CPPUNIT_TEST(where_reading_is_dear_a_prompt_is_worth_more_load);
  CPPUNIT_TEST(an_engine_where_others_wait_gets_less);
  CPPUNIT_TEST(a_suspect_is_taken_only_when_alone);
  CPPUNIT_TEST(equals_are_taken_alike);
  CPPUNIT_TEST(a_plain_replica_is_chosen_by_load_before_warmth);
  CPPUNIT_TEST(an_idle_connection_decides_among_equals_only);
  CPPUNIT_TEST_SUITE_END();

public:
  void nothing_to_choose_from_gives_nothing() {
    CPPUNIT_ASSERT(!choose_engine({}, 1, quick_engines));
    CPPUNIT_ASSERT(!choose_plain({}, 1, {}));
  }

  void an_engine_that_keeps_the_prompt_wins_at_equal_load() {
    std::array nodes{idle(true), idle(true)};
    nodes[0].missing_tokens = 14000;
    nodes[1].missing_tokens = 300;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         *choose_engine(nodes, 0, quick_engines));
  }

  void a_full_engine_loses_to_one_that_must_read() {
    std::array nodes{idle(true), idle(true)};
    nodes[0].missing_tokens = 14000;
    nodes[1].running = 30;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         *choose_engine(nodes, 1, quick_engines));
  }

  void a_short_prompt_is_not_worth_a_queue() {
    std::array nodes{idle(true), idle(true)};
    nodes[0].missing_tokens = 500;
    nodes[1].running = 5;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         *choose_engine(nodes, 1, quick_engines));
  }

  void an_engine_keeps_to_the_zone_until_load_says_otherwise() {
    std::array nodes{idle(true), idle(false)};
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         *choose_engine(nodes, 1, quick_engines));
    nodes[0].running = 10;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         *choose_engine(nodes, 1, quick_engines));
  }

  void a_slow_engine_gets_less() {
    std::array nodes{idle(true), idle(true)};
    nodes[0].running = 5;
    nodes[1].running = 5;
    nodes[0].slowdown = 1.5;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         *choose_engine(nodes, 0, quick_engines));
  }

  void where_reading_is_dear_a_prompt_is_worth_more_load() {
    std::array nodes{idle(true), idle(true)};
    nodes[0].running = 5;
    nodes[1].missing_tokens = 3000;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         *choose_engine(nodes, 0, quick_engines));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         *choose_engine(nodes, 0, slow_engines));
  }

  void an_engine_where_others_wait_gets_less() {
    std::array nodes{idle(true), idle(true)};
    nodes[0].wait_ms = 80;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         *choose_engine(nodes, 0, quick_engines));
  }

  void a_suspect_is_taken_only_when_alone() {
    std::array nodes{idle(true), idle(false)};
    nodes[0].suspect = true;
    nodes[1].running = 75;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         *choose_engine(nodes, 0, quick_engines));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{0},
        *choose_engine(std::span(nodes).first(1), 0, quick_engines));
  }

  void equals_are_taken_alike() {
    const std::array nodes{idle(true), idle(true), idle(true)};
    std::set<std::size_t> taken;
    for (std::uint64_t random = 0; random < nodes.size(); ++random) {
      taken.insert(*choose_plain(nodes, random, {}));
    }
    CPPUNIT_ASSERT_EQUAL(nodes.size(), taken.size());
  }

  void a_plain_replica_is_chosen_by_load_before_warmth() {
    std::array nodes{idle(true), idle(true)};
    nodes[0].slots = nodes[1].slots = 6;
    nodes[0].affinity = 2;
    nodes[1].affinity = 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *choose_plain(nodes, 1, {}));
    nodes[0].running = 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *choose_plain(nodes, 1, {}));
  }

  void an_idle_connection_decides_among_equals_only() {
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
  CPPUNIT_TEST(what_was_sent_is_kept);
  CPPUNIT_TEST(a_part_counts_only_with_all_before_it);
  CPPUNIT_TEST(the_longest_unused_parts_give_way);
  CPPUNIT_TEST(a_part_that_has_grown_lacks_what_is_new);
  CPPUNIT_TEST(what_was_generated_is_kept_behind_the_last_part);
  CPPUNIT_TEST(a_grown_part_counts_in_full);
  CPPUNIT_TEST(less_memory_keeps_less);
  CPPUNIT_TEST_SUITE_END();

public:
  void what_was_sent_is_kept() {
    prefix_view view(1000);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{30},
                         view.missing_tokens({{1, 10}, {2, 20}}));
    view.record({{1, 10}, {2, 20}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         view.missing_tokens({{1, 10}, {2, 20}}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5},
                         view.missing_tokens({{1, 10}, {2, 20}, {3, 5}}));
  }

  void a_part_counts_only_with_all_before_it() {
    prefix_view view(1000);
    view.record({{1, 10}, {2, 20}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{25},
                         view.missing_tokens({{9, 5}, {2, 20}}));
  }

  void a_part_that_has_grown_lacks_what_is_new() {
    prefix_view view(1000);
    view.record({{1, 10}, {2, 20}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{15},
                         view.missing_tokens({{1, 10}, {2, 35}}));
    // What follows a part that is not whole must be read.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5 + 20},
                         view.missing_tokens({{1, 15}, {2, 20}}));
  }

  void what_was_generated_is_kept_behind_the_last_part() {
    prefix_view view(1000);
    view.record({{1, 10}, {2, 20}}, 7);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                         view.missing_tokens({{1, 10}, {2, 30}}));
  }

  void a_grown_part_counts_in_full() {
    prefix_view view(100);
    view.record({{1, 10}, {2, 20}});
    view.record({{1, 10}, {2, 60}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{70}, view.tokens());
    view.record({{1, 10}, {3, 50}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{60}, view.tokens());
  }

  void less_memory_keeps_less() {
    prefix_view view(100);
    view.record({{1, 10}, {2, 60}});
    view.record({{1, 10}, {3, 20}});
    view.set_capacity(50);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{30}, view.tokens());
  }

  void the_longest_unused_parts_give_way() {
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
