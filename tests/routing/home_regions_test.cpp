#include "routing/home_regions.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::routing {
namespace {

class home_regions_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(home_regions_test);
  CPPUNIT_TEST(a_home_region_without_zones_is_unknown);
  CPPUNIT_TEST(only_changed_home_regions_differ);
  CPPUNIT_TEST_SUITE_END();

  const topology places_ =
      topology::from_settings({.zone = "a1", .zones = {"a1=a", "b1=b"}})
          .value();

  static configuration with_homes(std::vector<std::string> of_route,
                                  std::vector<std::string> of_tenant) {
    configuration made;
    made.routes.emplace_back();
    made.routes.back().home_regions = std::move(of_route);
    made.tenants.emplace_back();
    made.tenants.back().home_regions = std::move(of_tenant);
    return made;
  }

public:
  void a_home_region_without_zones_is_unknown() {
    CPPUNIT_ASSERT(
        unknown_home_regions(with_homes({"a"}, {"b"}), places_).empty());
    const std::set<std::string> both{"c", "d"};
    CPPUNIT_ASSERT(
        unknown_home_regions(with_homes({"a", "c"}, {"d"}), places_) == both);
    // Without configured regions every name is unknown.
    CPPUNIT_ASSERT(
        !unknown_home_regions(with_homes({"a"}, {}), topology("a1")).empty());
  }

  void only_changed_home_regions_differ() {
    configuration changed = with_homes({"a"}, {"b"});
    changed.routes.back().timeout = duration_ms{1};
    CPPUNIT_ASSERT(same_home_regions(with_homes({"a"}, {"b"}), changed));
    CPPUNIT_ASSERT(!same_home_regions(with_homes({"b"}, {"b"}), changed));
    CPPUNIT_ASSERT(!same_home_regions(with_homes({"a"}, {}), changed));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(home_regions_test);

} // namespace
} // namespace heathtrestle::routing
