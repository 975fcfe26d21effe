// Guards against sending requests to a drained zone, also with an old or
// missing list.
#include "routing/zone_drains.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::routing {
namespace {

constexpr duration_ms limit{5000};

class zone_drains_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(zone_drains_test);
  CPPUNIT_TEST(drains_are_unknown_before_the_list_is_received);
  CPPUNIT_TEST(drains_are_known_if_zones_are_never_drained);
  CPPUNIT_TEST(a_drain_at_startup_applies_at_once);
  CPPUNIT_TEST(active_conversations_move_within_the_limit);
  CPPUNIT_TEST(retried_requests_avoid_the_drained_zone);
  CPPUNIT_TEST(the_last_list_applies_regardless_of_age);
  CPPUNIT_TEST(a_drain_can_be_cancelled_during_the_shift);
  CPPUNIT_TEST(a_repeated_drain_applies_at_once);
  CPPUNIT_TEST(zones_are_drained_independently);
  CPPUNIT_TEST_SUITE_END();

  zone_drains drains_{limit};
  const timestamp now_ = timestamp_from(100000);

  /// Whether the last conversation to move may still go to the zone.
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

  void drains_are_unknown_before_the_list_is_received() {
    CPPUNIT_ASSERT(!zone_drains(limit).known());
    CPPUNIT_ASSERT(drains_.known());
  }

  void drains_are_known_if_zones_are_never_drained() {
    CPPUNIT_ASSERT(zone_drains().known());
  }

  void a_drain_at_startup_applies_at_once() {
    zone_drains started(limit);
    started.put("a", now_);
    CPPUNIT_ASSERT(started.blocks_requests("a", {.draw = 0, .now = now_}));
  }

  void active_conversations_move_within_the_limit() {
    drains_.put("a", now_);
    CPPUNIT_ASSERT(open_to_last("a", now_ + duration_ms{100}));
    CPPUNIT_ASSERT(!open_to_any("a", now_ + limit / 2));
  }

  void retried_requests_avoid_the_drained_zone() {
    drains_.put("a", now_);
    CPPUNIT_ASSERT(drains_.blocks_requests("a", {.draw = {}, .now = now_}));
  }

  void the_last_list_applies_regardless_of_age() {
    drains_.put("a", now_);
    const timestamp much_later = now_ + 100 * limit;
    CPPUNIT_ASSERT(!open_to_any("a", much_later));
    CPPUNIT_ASSERT(open_to_any("b", much_later));
    CPPUNIT_ASSERT(drains_.age(much_later) > 100 * limit);
  }

  void a_drain_can_be_cancelled_during_the_shift() {
    drains_.put("a", now_);
    CPPUNIT_ASSERT(drains_.remove("a", now_ + duration_ms{300}));
    CPPUNIT_ASSERT(!drains_.blocks_requests(
        "a", {.draw = {}, .now = now_ + duration_ms{300}}));
    CPPUNIT_ASSERT(!drains_.remove("a", now_ + duration_ms{400}));
  }

  void a_repeated_drain_applies_at_once() {
    drains_.put("a", now_);
    const timestamp back = now_ + 10 * limit;
    drains_.remove("a", back);
    drains_.confirm(back);
    drains_.put("a", back + duration_ms{500});
    CPPUNIT_ASSERT(!open_to_any("a", back + duration_ms{500}));
    // Once its traffic has returned, a drain is gradual again.
    drains_.remove("a", back + duration_ms{600});
    const timestamp later = back + 4 * limit;
    drains_.confirm(later);
    drains_.put("a", later);
    CPPUNIT_ASSERT(open_to_last("a", later));
  }

  void zones_are_drained_independently() {
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
