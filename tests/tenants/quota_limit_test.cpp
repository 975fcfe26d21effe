// Guards against admitting more than a tenant's quota when its requests arrive
// at many gateways at once after an idle time, with an excess that grows with
// the number of gateways, and against gateways without reports admitting
// without a limit.
#include "support/quota_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

namespace heathtrestle::tenants {
namespace {

using test_support::quota_fleet;

/// Maximum number of requests in one window of 5 s, including the tolerance.
std::size_t allowed(const request_quota &quota) {
  constexpr double seconds = 5;
  constexpr double overshoot = 1.1;
  constexpr double slack = 20;
  return static_cast<std::size_t>(
      (quota.rate_per_second * seconds + quota.burst) * overshoot + slack);
}

constexpr request_quota small{.rate_per_second = 6, .burst = 4};
constexpr request_quota middle{.rate_per_second = 20, .burst = 10};
constexpr request_quota large{.rate_per_second = 160, .burst = 100};

class quota_limit_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(quota_limit_test);
  CPPUNIT_TEST(a_sudden_load_stays_within_the_limit);
  CPPUNIT_TEST(gateways_that_are_cut_off_stay_within_the_limit);
  CPPUNIT_TEST(the_limit_holds_while_all_gateways_are_cut_off);
  CPPUNIT_TEST(a_returning_idle_tenant_stays_within_its_limit);
  CPPUNIT_TEST_SUITE_END();

  static void check(const quota_fleet &fleet, const request_quota &quota,
                    const std::string &what) {
    const std::size_t most = fleet.most_in_window();
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{}: {} sent in 5 s, {} allowed", what,
                                       most, allowed(quota)),
                           most <= allowed(quota));
  }

public:
  void a_sudden_load_stays_within_the_limit() {
    for (const request_quota &quota : {small, middle, large}) {
      for (const std::size_t gateways : {12, 57, 300}) {
        for (const double times : {1.2, 2.0, 4.0, 10.0}) {
          quota_fleet fleet(gateways, quota, 1);
          fleet.run(duration_ms{20000}, quota.rate_per_second * times);
          check(fleet, quota,
                fmt::format("{} a second, {} gateways, asked {} times",
                            quota.rate_per_second, gateways, times));
        }
      }
    }
  }

  void gateways_that_are_cut_off_stay_within_the_limit() {
    for (const std::size_t gateways : {12, 57, 300}) {
      quota_fleet fleet(gateways, middle, 2);
      fleet.run(duration_ms{3000}, 80);
      fleet.cut_off(gateways / 3);
      fleet.run(duration_ms{17000}, 80);
      check(fleet, middle, fmt::format("{} gateways", gateways));
    }
  }

  void the_limit_holds_while_all_gateways_are_cut_off() {
    for (const std::size_t gateways : {12, 57, 300}) {
      quota_fleet fleet(gateways, middle, 3);
      fleet.cut_off(gateways);
      fleet.run(duration_ms{3000}, 80);
      fleet.heal();
      fleet.run(duration_ms{17000}, 80);
      check(fleet, middle, fmt::format("{} gateways", gateways));
    }
  }

  void a_returning_idle_tenant_stays_within_its_limit() {
    quota_fleet fleet(57, small, 4);
    for (int times = 0; times < 4; ++times) {
      fleet.run(duration_ms{5500}, 60);
      fleet.run(duration_ms{6000}, 0);
    }
    check(fleet, small, "57 gateways");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_limit_test);

} // namespace
} // namespace heathtrestle::tenants
