// What a process knows of drained zones, and what it does while it cannot know.
#include "routing/zone_drains.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::routing {
namespace {

constexpr duration_ms limit{5000};

class zone_drains_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(zone_drains_test);
  CPPUNIT_TEST(nothing_is_known_before_the_list_was_heard);
  CPPUNIT_TEST(where_zones_are_not_drained_nothing_is_asked_for);
  CPPUNIT_TEST(a_drain_that_was_there_at_the_start_is_in_force_at_once);
  CPPUNIT_TEST(a_conversation_under_way_moves_within_the_limit);
  CPPUNIT_TEST(what_was_at_a_replica_before_does_not_return);
  CPPUNIT_TEST(what_was_heard_last_holds_however_old);
  CPPUNIT_TEST(a_drain_that_is_taken_back_while_traffic_moves);
  CPPUNIT_TEST(a_zone_that_is_drained_again_moves_at_once);
  CPPUNIT_TEST(several_zones_are_drained_apart);
  CPPUNIT_TEST_SUITE_END();

  zone_drains drains_{limit};
  const timestamp now_ = timestamp_from(100000);

  /// Whether the conversation that leaves last may go to the zone.
  bool open_to_last(const std::string &zone, timestamp now) const {
    return !drains_.blocks_requests(zone, {.draw = 0, .now = now});
  }
  bool open_to_any(const std::string &zone, timestamp now) const {
    return open_to_last(zone, now) ||
           !drains_.blocks_requests(zone, {.draw = {}, .now = now});
  }

public:
  void setUp() override {
    drains_.set_known();
    drains_.confirm(now_ - duration_ms{200});
  }

  void nothing_is_known_before_the_list_was_heard() {
    CPPUNIT_ASSERT(!zone_drains(limit).known());
    CPPUNIT_ASSERT(drains_.known());
  }

  void where_zones_are_not_drained_nothing_is_asked_for() {
    CPPUNIT_ASSERT(zone_drains().known());
  }

  void a_drain_that_was_there_at_the_start_is_in_force_at_once() {
    zone_drains started(limit);
    started.put("a", now_);
    CPPUNIT_ASSERT(started.blocks_requests("a", {.draw = 0, .now = now_}));
  }

  void a_conversation_under_way_moves_within_the_limit() {
    drains_.put("a", now_);
    CPPUNIT_ASSERT(open_to_last("a", now_ + duration_ms{100}));
    CPPUNIT_ASSERT(!open_to_any("a", now_ + limit / 2));
  }

  void what_was_at_a_replica_before_does_not_return() {
    drains_.put("a", now_);
    CPPUNIT_ASSERT(drains_.blocks_requests("a", {.draw = {}, .now = now_}));
  }

  void what_was_heard_last_holds_however_old() {
    drains_.put("a", now_);
    const timestamp much_later = now_ + 100 * limit;
    CPPUNIT_ASSERT(!open_to_any("a", much_later));
    CPPUNIT_ASSERT(open_to_any("b", much_later));
    CPPUNIT_ASSERT(drains_.age(much_later) > 100 * limit);
  }

  void a_drain_that_is_taken_back_while_traffic_moves() {
    drains_.put("a", now_);
    CPPUNIT_ASSERT(drains_.remove("a", now_ + duration_ms{300}));
    CPPUNIT_ASSERT(!drains_.blocks_requests(
        "a", {.draw = {}, .now = now_ + duration_ms{300}}));
    CPPUNIT_ASSERT(!drains_.remove("a", now_ + duration_ms{400}));
  }

  void a_zone_that_is_drained_again_moves_at_once() {
    drains_.put("a", now_);
    const timestamp back = now_ + 10 * limit;
    drains_.remove("a", back);
    drains_.confirm(back);
    drains_.put("a", back + duration_ms{500});
    CPPUNIT_ASSERT(!open_to_any("a", back + duration_ms{500}));
    // Once its traffic has returned, that moves as the first time.
    drains_.remove("a", back + duration_ms{600});
    const timestamp later = back + 4 * limit;
    drains_.confirm(later);
    drains_.put("a", later);
    CPPUNIT_ASSERT(open_to_last("a", later));
  }

  void several_zones_are_drained_apart() {
    drains_.put("a", now_);
    drains_.put("b", now_ + duration_ms{100});
    const timestamp moved = now_ + limit;
    CPPUNIT_ASSERT(!open_to_any("a", moved) && !open_to_any("b", moved));
    drains_.remove("a", moved);
    CPPUNIT_ASSERT(open_to_any("a", moved) && !open_to_any("b", moved));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(zone_drains_test);

} // namespace
} // namespace heathtrestle::routing
