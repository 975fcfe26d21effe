#include "forwarding/policy_switches.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace heathtrestle::forwarding {
namespace {

class policy_switches_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(policy_switches_test);
  CPPUNIT_TEST(all_are_on_unless_named);
  CPPUNIT_TEST(each_name_switches_off_another);
  CPPUNIT_TEST_SUITE_END();

public:
  void all_are_on_unless_named() {
    CPPUNIT_ASSERT(policies_without({}) == policy_switches{});
    const policy_switches without =
        policies_without({"shared_loads", "patience"});
    CPPUNIT_ASSERT(!without.shared_loads);
    CPPUNIT_ASSERT(!without.patience);
    CPPUNIT_ASSERT(without.learnt_costs);
  }

  void each_name_switches_off_another() {
    const std::vector<std::string> names = policy_names();
    for (const std::string &one : names) {
      CPPUNIT_ASSERT(!(policies_without({one}) == policy_switches{}));
      for (const std::string &other : names) {
        const bool same = policies_without({one}) == policies_without({other});
        CPPUNIT_ASSERT_EQUAL(one == other, same);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(policy_switches_test);

} // namespace
} // namespace heathtrestle::forwarding
