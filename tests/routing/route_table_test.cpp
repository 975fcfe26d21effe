#include "routing/route_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace heathtrestle::routing {
namespace {

route route_for(const std::string &host, const std::string &prefix) {
  route made;
  made.name = host + prefix;
  made.host = host;
  made.path_prefix = prefix;
  made.services = {{service_id{"service"}, 1}};
  return made;
}

class route_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(route_table_test);
  CPPUNIT_TEST(the_longest_prefix_of_the_host_wins);
  CPPUNIT_TEST(port_and_case_of_the_host_are_ignored);
  CPPUNIT_TEST(a_query_is_not_part_of_the_path);
  CPPUNIT_TEST(another_host_or_path_has_no_route);
  CPPUNIT_TEST(a_split_follows_its_weights);
  CPPUNIT_TEST(a_route_without_services_yields_null);
  CPPUNIT_TEST_SUITE_END();

  static route_table table() {
    configuration settings;
    settings.routes = {route_for("a.example", "/x/"),
                       route_for("a.example", "/x/y/"),
                       route_for("b.example", "/x/")};
    return route_table(settings);
  }

public:
  void the_longest_prefix_of_the_host_wins() {
    const route_table routes = table();
    CPPUNIT_ASSERT_EQUAL(std::string("a.example/x/y/"),
                         routes.find("a.example", "/x/y/z")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("a.example/x/"),
                         routes.find("a.example", "/x/z")->name);
  }

  void port_and_case_of_the_host_are_ignored() {
    CPPUNIT_ASSERT(table().find("A.Example:80", "/x/1") != nullptr);
  }

  void a_query_is_not_part_of_the_path() {
    CPPUNIT_ASSERT_EQUAL(std::string("a.example/x/"),
                         table().find("a.example", "/x/?to=/x/y/")->name);
  }

  void another_host_or_path_has_no_route() {
    const route_table routes = table();
    CPPUNIT_ASSERT(routes.find("c.example", "/x/") == nullptr);
    CPPUNIT_ASSERT(routes.find("a.example", "/xy/") == nullptr);
    CPPUNIT_ASSERT(routes.find("a.example", "/x") == nullptr);
  }

  void a_split_follows_its_weights() {
    route split = route_for("a.example", "/x/");
    split.services = {{service_id{"main"}, 90}, {service_id{"trial"}, 10}};
    split_rotation rotation;
    std::map<std::string, int> counts;
    constexpr int requests = 50;
    for (int request = 0; request < requests; ++request) {
      ++counts[rotation.next(split)->value()];
    }
    CPPUNIT_ASSERT_EQUAL(45, counts["main"]);
    CPPUNIT_ASSERT_EQUAL(5, counts["trial"]);
  }

  void a_route_without_services_yields_null() {
    route empty = route_for("a.example", "/x/");
    empty.services.clear();
    split_rotation rotation;
    CPPUNIT_ASSERT(rotation.next(empty) == nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_table_test);

} // namespace
} // namespace heathtrestle::routing
