#include "routing/eligibility.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::routing {
namespace {

class eligibility_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(eligibility_test);
  CPPUNIT_TEST(a_request_without_home_regions_may_go_anywhere);
  CPPUNIT_TEST(home_regions_of_route_and_tenant_both_apply);
  CPPUNIT_TEST(a_drained_zone_is_excluded_until_the_drain_is_cancelled);
  CPPUNIT_TEST(a_leaving_replica_is_excluded);
  CPPUNIT_TEST_SUITE_END();

  topology places_ =
      topology::from_settings({.zone = "a1", .zones = {"a1=a", "a2=a", "b1=b"}})
          .value();
  zone_drains drains_;
  const timestamp now_ = timestamp_from(5000);

  static instance in_zone(const std::string &zone) {
    instance made;
    made.record.id = instance_id{"r-" + zone};
    made.record.zone = zone;
    return made;
  }

  exclusion cause(const std::string &zone, const residency &home) const {
    return exclusion_of(in_zone(zone), home, places_, drains_);
  }

public:
  void a_request_without_home_regions_may_go_anywhere() {
    for (const char *zone : {"a1", "a2", "b1", "elsewhere"}) {
      CPPUNIT_ASSERT(cause(zone, {}) == exclusion::none);
    }
  }

  void home_regions_of_route_and_tenant_both_apply() {
    const residency both{.route_regions = {"a", "b"}, .tenant_regions = {"b"}};
    CPPUNIT_ASSERT(cause("a1", both) == exclusion::outside_home);
    CPPUNIT_ASSERT(cause("b1", both) == exclusion::none);
    CPPUNIT_ASSERT(cause("elsewhere", both) == exclusion::outside_home);
    const residency apart{.route_regions = {"a"}, .tenant_regions = {"b"}};
    CPPUNIT_ASSERT(cause("a1", apart) == exclusion::outside_home);
    CPPUNIT_ASSERT(cause("b1", apart) == exclusion::outside_home);
    // An unlisted zone is in no region, not even one of its own name.
    const residency same_name{.route_regions = {"elsewhere"}};
    CPPUNIT_ASSERT(cause("elsewhere", same_name) == exclusion::outside_home);
    // An unknown region is still enforced.
    const residency unknown{.route_regions = {"nowhere"}};
    CPPUNIT_ASSERT(cause("a1", unknown) == exclusion::outside_home);
  }

  void a_drained_zone_is_excluded_until_the_drain_is_cancelled() {
    CPPUNIT_ASSERT(drains_.put("a1", now_));
    CPPUNIT_ASSERT(!drains_.put("a1", now_));
    CPPUNIT_ASSERT(cause("a1", {}) == exclusion::zone_drained);
    CPPUNIT_ASSERT(cause("a2", {}) == exclusion::none);
    CPPUNIT_ASSERT(drains_.remove("a1", now_));
    CPPUNIT_ASSERT(cause("a1", {}) == exclusion::none);
  }

  void a_leaving_replica_is_excluded() {
    instance leaving = in_zone("a1");
    leaving.record.draining = true;
    CPPUNIT_ASSERT(exclusion_of(leaving, {}, places_, drains_) ==
                   exclusion::leaving);
    instance gone = in_zone("a1");
    gone.listed = false;
    CPPUNIT_ASSERT(exclusion_of(gone, {}, places_, drains_) ==
                   exclusion::leaving);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(eligibility_test);

} // namespace
} // namespace heathtrestle::routing
