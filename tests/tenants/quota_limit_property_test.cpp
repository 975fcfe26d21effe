// Guards against exceeding a tenant's quota under random faults: delayed and
// lost messages, gateways that are cut off or restart, leaders that are
// replaced and go on issuing permits, and quota changes.
#include "support/quota_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

namespace heathtrestle::tenants {
namespace {

using test_support::quota_faults;
using test_support::quota_fleet;

std::size_t allowed(const request_quota &quota) {
  const double seconds =
      std::chrono::duration<double>(quota_fleet::window).count();
  constexpr double thousandths = 1000;
  return static_cast<std::size_t>(
      (quota.rate_per_second * seconds + quota.burst) *
          (1 + quota_fleet::overshoot_permille / thousandths) +
      quota_fleet::slack);
}

class quota_limit_property_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(quota_limit_property_test);
  CPPUNIT_TEST(faults_never_exceed_the_limit);
  CPPUNIT_TEST(a_reduced_limit_applies_after_one_window);
  CPPUNIT_TEST(restarts_of_all_gateways_keep_the_count);
  CPPUNIT_TEST(requests_within_the_limit_are_never_rejected);
  CPPUNIT_TEST(the_limit_can_be_used);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t max_gateways = 340;

  static request_quota draw_quota(std::mt19937_64 &random) {
    return {.rate_per_second = 1 + static_cast<double>(random() % 40),
            .burst = static_cast<double>(random() % 40)};
  }

  static quota_faults draw_faults(std::mt19937_64 &random) {
    const auto draw = [&random](std::uint64_t longest) {
      return duration_ms{static_cast<std::int64_t>(random() % longest)};
    };
    constexpr double hundredths = 100;
    return {.max_message_delay = draw(random() % 3 == 0 ? 2000 : 100),
            .max_commit_delay = draw(random() % 3 == 0 ? 3000 : 100),
            .max_send_delay = draw(1000),
            .lost = static_cast<double>(random() % 30) / hundredths,
            .misdirected = static_cast<double>(random() % 50) / hundredths};
  }

  /// Injects a random fault, or changes or ends one.
  static void inject_fault(quota_fleet &fleet, std::mt19937_64 &random) {
    switch (random() % 5) {
    case 0:
      fleet.change_leader();
      break;
    case 1:
      fleet.cut_off(random() % (fleet.gateways() + 1));
      break;
    case 2:
      fleet.heal();
      break;
    case 3:
      for (std::size_t times = random() % 50; times > 0; --times) {
        fleet.restart(random() % fleet.gateways());
      }
      break;
    default:
      fleet.set_faults(draw_faults(random));
      break;
    }
  }

public:
  void faults_never_exceed_the_limit() {
    for (unsigned seed = 1; seed <= 60; ++seed) {
      std::mt19937_64 random(seed);
      const request_quota quota = draw_quota(random);
      quota_fleet fleet(1 + random() % max_gateways, quota, seed,
                        draw_faults(random));
      for (int stretch = 0; stretch < 20; ++stretch) {
        const double times = static_cast<double>(random() % 8);
        fleet.run(duration_ms{static_cast<std::int64_t>(random() % 2000)},
                  quota.rate_per_second * times);
        inject_fault(fleet, random);
      }
      CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}: {} sent, {} allowed", seed,
                                         fleet.most_in_window(),
                                         allowed(quota)),
                             fleet.most_in_window() <= allowed(quota));
    }
  }

  void a_reduced_limit_applies_after_one_window() {
    for (unsigned seed = 1; seed <= 30; ++seed) {
      std::mt19937_64 random(seed);
      const request_quota before{.rate_per_second = 60, .burst = 60};
      const request_quota after{.rate_per_second = 10, .burst = 5};
      quota_fleet fleet(1 + random() % max_gateways, before, seed,
                        draw_faults(random));
      for (int stretch = 0; stretch < 6; ++stretch) {
        fleet.run(duration_ms{1500}, 200);
        inject_fault(fleet, random);
      }
      fleet.change_quota(after);
      fleet.set_faults({});
      fleet.heal();
      for (std::size_t gateway = 0; gateway < fleet.gateways(); ++gateway) {
        fleet.deliver_configuration(gateway);
        fleet.run(duration_ms{5}, 200);
      }
      // The partition learns the new terms with the next request.
      const timestamp applies_from =
          fleet.now() + duration_ms{100} + quota_fleet::window;
      fleet.run(duration_ms{15000}, 200);
      CPPUNIT_ASSERT(fleet.most_in_window() <= allowed(before));
      CPPUNIT_ASSERT_MESSAGE(
          fmt::format("seed {}: {} sent, {} allowed", seed,
                      fleet.most_in_window(applies_from), allowed(after)),
          fleet.most_in_window(applies_from) <= allowed(after));
    }
  }

  void restarts_of_all_gateways_keep_the_count() {
    const request_quota quota{.rate_per_second = 20, .burst = 10};
    quota_fleet fleet(57, quota, 5);
    for (int times = 0; times < 20; ++times) {
      fleet.run(duration_ms{700}, 200);
      for (std::size_t gateway = 0; gateway < fleet.gateways(); ++gateway) {
        fleet.restart(gateway);
      }
      fleet.change_leader();
    }
    CPPUNIT_ASSERT(fleet.most_in_window() <= allowed(quota));
  }

  /// Requests that arrive exactly at the rate, through one or many gateways.
  void requests_within_the_limit_are_never_rejected() {
    for (const double rate : {1.0, 6.0, 20.0, 160.0, 1000.0}) {
      for (const double burst : {0.0, 10.0, 200.0}) {
        for (const std::size_t gateways : {1, 57, 300}) {
          quota_fleet fleet(gateways, {.rate_per_second = rate, .burst = burst},
                            6);
          fleet.run(duration_ms{6000}, rate * 0.3);
          fleet.run(duration_ms{15000}, rate);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(
              fmt::format("{} a second, {} at once, {} gateways", rate, burst,
                          gateways),
              0, fleet.refused);
        }
      }
    }
  }

  /// Under demand far above the limit, nearly all of the limit is used.
  void the_limit_can_be_used() {
    constexpr double usable = 0.95;
    for (const double rate : {6.0, 20.0, 160.0, 1000.0}) {
      for (const std::size_t gateways : {12, 57, 300}) {
        quota_fleet fleet(gateways, {.rate_per_second = rate, .burst = 0}, 7);
        fleet.run(duration_ms{6000}, rate * 3);
        const std::size_t before = fleet.sent();
        constexpr duration_ms span{20000};
        fleet.run(span, rate * 3);
        const double seconds = std::chrono::duration<double>(span).count();
        const auto sent = static_cast<double>(fleet.sent() - before);
        CPPUNIT_ASSERT_MESSAGE(
            fmt::format("{} a second, {} gateways: {}", rate, gateways, sent),
            sent >= rate * seconds * usable);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_limit_property_test);

} // namespace
} // namespace heathtrestle::tenants
