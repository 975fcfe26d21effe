#include "routing/topology.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::routing {
namespace {

class topology_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(topology_test);
  CPPUNIT_TEST(zones_map_to_their_regions);
  CPPUNIT_TEST(without_a_list_all_zones_are_one_region);
  CPPUNIT_TEST(an_unlisted_zone_is_in_no_region);
  CPPUNIT_TEST(contradictory_settings_are_rejected);
  CPPUNIT_TEST_SUITE_END();

  static std::string error_of(const place_settings &settings) {
    const auto read = topology::from_settings(settings);
    return read ? std::string() : describe(read.error());
  }

public:
  void zones_map_to_their_regions() {
    const auto read = topology::from_settings(
        {.zone = "a1", .zones = {"a1=a", "a2=a", "b1=b"}});
    CPPUNIT_ASSERT(read);
    const topology &places = read.value();
    CPPUNIT_ASSERT_EQUAL(std::string("a"), places.region());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), places.region_of("b1"));
    CPPUNIT_ASSERT(places.locality_of("a1") == locality::same_zone);
    CPPUNIT_ASSERT(places.locality_of("a2") == locality::same_region);
    CPPUNIT_ASSERT(places.locality_of("b1") == locality::other_region);
  }

  void without_a_list_all_zones_are_one_region() {
    const topology places("a1");
    CPPUNIT_ASSERT(places.has_one_region());
    CPPUNIT_ASSERT(places.locality_of("a1") == locality::same_zone);
    CPPUNIT_ASSERT(places.locality_of("b1") == locality::same_region);
  }

  void an_unlisted_zone_is_in_no_region() {
    const auto read =
        topology::from_settings({.zone = "a1", .zones = {"a1=a", "b1=b"}});
    CPPUNIT_ASSERT(read.value().locality_of("c1") == locality::other_region);
    CPPUNIT_ASSERT_EQUAL(std::string(), read.value().region_of("c1"));
  }

  void contradictory_settings_are_rejected() {
    const auto names = [](const std::string &error, const char *what) {
      return error.find(what) != std::string::npos;
    };
    CPPUNIT_ASSERT(
        names(error_of({.zone = "a1", .zones = {"b1=b"}}), "\"a1\""));
    CPPUNIT_ASSERT(names(error_of({.zone = "a1", .zones = {"a1=a", "a1=b"}}),
                         "listed twice"));
    CPPUNIT_ASSERT(names(
        error_of({.zone = "a1", .region = "b", .zones = {"a1=a"}}), "\"b\""));
    for (const char *malformed : {"a1", "=a", "a1="}) {
      CPPUNIT_ASSERT(
          names(error_of({.zone = "a1", .zones = {malformed}}), "zone=region"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(topology_test);

} // namespace
} // namespace heathtrestle::routing
