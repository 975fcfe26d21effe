// Programs of a tenant at many gateways: quota limits hold, and few running
// programs are refused.
#include "support/quota_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

namespace heathtrestle::records {
namespace {

using test_support::quota_faults;
using test_support::quota_fleet;

/// The maximum number of permits within one window.
double permit_bound(const tenants::request_quota &quota) {
  constexpr double overshoot = 1.1;
  constexpr double slack = 20;
  const double seconds =
      std::chrono::duration<double>(quota_fleet::window).count();
  return (quota.rate_per_second * seconds + quota.burst) * overshoot + slack;
}

constexpr tenants::request_quota large{.rate_per_second = 160, .burst = 160};

class permit_allocator_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(permit_allocator_test);
  CPPUNIT_TEST(below_its_limit_a_tenant_is_never_refused);
  CPPUNIT_TEST(a_hot_tenant_stays_within_the_bound);
  CPPUNIT_TEST(a_small_hot_tenant_stays_within_the_bound);
  CPPUNIT_TEST(over_the_limit_whole_programs_are_served);
  CPPUNIT_TEST(a_lower_limit_holds_within_a_window);
  CPPUNIT_TEST(a_higher_limit_applies_at_once);
  CPPUNIT_TEST(terms_that_arrive_during_a_proposal_are_proposed_at_once);
  CPPUNIT_TEST(cut_off_gateways_send_nothing);
  CPPUNIT_TEST(restarting_gateways_refuse_nothing_below_the_limit);
  CPPUNIT_TEST(a_restarted_fleet_stays_within_the_bound);
  CPPUNIT_TEST(a_lower_limit_does_not_refuse_everything_at_first);
  CPPUNIT_TEST(a_refusal_carries_the_retry_time);
  CPPUNIT_TEST(most_permits_are_granted_without_a_commit);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t gateways = 57;
  static constexpr int length = 12;

public:
  void below_its_limit_a_tenant_is_never_refused() {
    quota_fleet all(gateways, large, 11);
    all.run_programs(duration_ms{20000}, 100, length);
    CPPUNIT_ASSERT_EQUAL(0, all.refused);
    CPPUNIT_ASSERT_EQUAL(0, all.failed);
  }

  void a_hot_tenant_stays_within_the_bound() {
    quota_fleet all(gateways, large, 11);
    all.run_programs(duration_ms{8000}, 100, length);
    all.run_programs(duration_ms{12000}, 750, length);
    CPPUNIT_ASSERT(static_cast<double>(all.most_in_window()) <=
                   permit_bound(large));
  }

  void a_small_hot_tenant_stays_within_the_bound() {
    const tenants::request_quota small{.rate_per_second = 8, .burst = 8};
    quota_fleet all(gateways, small, 11);
    all.run_programs(duration_ms{8000}, 5, length);
    all.run_programs(duration_ms{12000}, 37, length);
    CPPUNIT_ASSERT(static_cast<double>(all.most_in_window()) <=
                   permit_bound(small));
  }

  void over_the_limit_whole_programs_are_served() {
    quota_fleet all(gateways, large, 11);
    all.run_programs(duration_ms{5000}, 100, length);
    // Programs begun before the demand rose, and just after it did.
    all.run_programs(duration_ms{5000}, 500, length);
    CPPUNIT_ASSERT_MESSAGE(
        fmt::format("{} begun, {} failed", all.begun, all.failed),
        all.failed * 2 < all.begun);
    const int begun = all.begun;
    const int failed = all.failed;
    all.run_programs(duration_ms{15000}, 500, length);
    // A program that fails midway has wasted its tenant's quota.
    CPPUNIT_ASSERT((all.failed - failed) * 10 < all.begun - begun);
    CPPUNIT_ASSERT(all.refused > 0);
    // The quota is not left unused.
    const double served = all.begun - begun - (all.failed - failed);
    CPPUNIT_ASSERT(served * length > 160.0 * 15 * 0.8);
  }

  void a_lower_limit_holds_within_a_window() {
    const tenants::request_quota lower{.rate_per_second = 30, .burst = 30};
    quota_fleet all(gateways, large, 11);
    all.run_programs(duration_ms{10000}, 100, length);
    all.change_quota(lower);
    all.deliver_configuration();
    all.run_programs(quota_fleet::window + duration_ms{100}, 100, length);
    CPPUNIT_ASSERT(all.most_in_window() > 0);
    const timestamp in_force = all.now();
    all.run_programs(duration_ms{10000}, 100, length);
    CPPUNIT_ASSERT(static_cast<double>(all.most_in_window(in_force)) <=
                   permit_bound(lower));
  }

  void a_higher_limit_applies_at_once() {
    quota_fleet all(gateways, {.rate_per_second = 30, .burst = 30}, 11);
    all.run_programs(duration_ms{10000}, 100, length);
    CPPUNIT_ASSERT(all.refused > 0);
    all.change_quota({.rate_per_second = 300, .burst = 300});
    all.deliver_configuration();
    all.run_programs(duration_ms{200}, 100, length);
    const int before = all.refused;
    all.run_programs(duration_ms{5000}, 100, length);
    CPPUNIT_ASSERT_EQUAL(before, all.refused);
  }

  static gateway_permit_request request_under(std::uint64_t version) {
    gateway_permit_request request;
    request.id = version;
    request.wanted.set_tenant("a");
    request.wanted.mutable_terms()->set_version(version);
    request.wanted.mutable_terms()->set_window_ms(5000);
    return request;
  }

  /// Until the account is full by the old terms, nothing would be proposed, and
  /// the lower limit would count from that late moment on.
  void terms_that_arrive_during_a_proposal_are_proposed_at_once() {
    permit_allocator allocator;
    const timestamp now = timestamp_from(1000);
    constexpr tenants::quota_time time = 1000;
    allocator.request_permit(request_under(1), time, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         allocator.take_reservations(now).size());
    allocator.request_permit(request_under(2), time, now);
    wire::ReservedQuota full;
    full.set_tenant("a");
    full.set_number(1);
    full.set_free_after_ms(3000);
    allocator.on_reserved(full, time, now);
    const auto proposed = allocator.take_reservations(now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, proposed.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, proposed.front().terms().version());
    allocator.on_reserved(full, time, now);
    CPPUNIT_ASSERT(allocator.take_reservations(now).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, allocator.take_replies().size());
  }

  void cut_off_gateways_send_nothing() {
    quota_fleet all(gateways, large, 11);
    all.run_programs(duration_ms{8000}, 300, length);
    all.cut_off(gateways);
    all.run_programs(duration_ms{500}, 300, length);
    const std::size_t before = all.sent();
    all.run_programs(duration_ms{8000}, 300, length);
    CPPUNIT_ASSERT_EQUAL(before, all.sent());
    CPPUNIT_ASSERT(static_cast<double>(all.most_in_window()) <=
                   permit_bound(large));
  }

  void restarting_gateways_refuse_nothing_below_the_limit() {
    quota_fleet all(gateways, large, 11);
    all.run_programs(duration_ms{8000}, 100, length);
    for (std::size_t number = 0; number < gateways; ++number) {
      all.restart(number);
      all.run_programs(duration_ms{100}, 100, length);
    }
    CPPUNIT_ASSERT_EQUAL(0, all.refused + all.failed);
  }

  void a_restarted_fleet_stays_within_the_bound() {
    quota_fleet all(gateways, large, 11);
    all.run_programs(duration_ms{10000}, 400, length);
    for (std::size_t number = 0; number < gateways; ++number) {
      all.restart(number);
    }
    all.change_leader();
    all.run_programs(duration_ms{10000}, 400, length);
    CPPUNIT_ASSERT(static_cast<double>(all.most_in_window()) <=
                   permit_bound(large));
  }

  void a_lower_limit_does_not_refuse_everything_at_first() {
    quota_fleet all(gateways, large, 11);
    all.run_programs(duration_ms{10000}, 100, length);
    all.change_quota({.rate_per_second = 60, .burst = 60});
    all.deliver_configuration();
    const int before = all.begun;
    const int failed = all.failed;
    all.run_programs(quota_fleet::window / 2, 100, length);
    // Three fifths of the demand are within the quota.
    const double usual = 100.0 / length * 2.5;
    CPPUNIT_ASSERT(all.begun - before > usual * 0.4);
    CPPUNIT_ASSERT((all.failed - failed) * 4 < all.begun - before);
  }

  void a_refusal_carries_the_retry_time() {
    tenants::quota_account account;
    const tenants::quota_terms terms{.version = 1,
                                     .millirequests_per_second = 1000,
                                     .burst_millirequests = 1000};
    const tenants::quota_time now = 100000;
    const tenants::reservation made =
        account.reserve({.terms = terms, .wanted = 20}, now);
    CPPUNIT_ASSERT_EQUAL(6U, made.granted);
    CPPUNIT_ASSERT(made.free_after > duration_ms{0});
    CPPUNIT_ASSERT(made.free_after <=
                   terms.window + tenants::permit_lifetime +
                       duration_ms{2 * tenants::quota_slice_ms});
    const auto later =
        now + static_cast<tenants::quota_time>(made.free_after.count());
    CPPUNIT_ASSERT(
        account.reserve({.terms = terms, .wanted = 1}, later).granted == 1);
  }

  /// A tenant with steady requests gets permits from the headroom, without
  /// waiting for a commit.
  void most_permits_are_granted_without_a_commit() {
    permit_allocator allocator;
    tenants::quota_account account;
    timestamp now = timestamp_from(1000);
    int at_once = 0;
    constexpr int asked = 500;
    for (int number = 0; number < asked; ++number) {
      now += duration_ms{20};
      const auto time = milliseconds_of(now);
      gateway_permit_request request{.reply_to = "gateway",
                                     .id = static_cast<std::uint64_t>(number)};
      request.wanted.set_tenant("a");
      wire::QuotaTerms &terms = *request.wanted.mutable_terms();
      terms.set_version(1);
      terms.set_millirequests_per_second(100000);
      terms.set_window_ms(5000);
      allocator.request_permit(std::move(request), time, now);
      at_once += allocator.take_replies().empty() ? 0 : 1;
      for (const wire::ReserveQuota &wanted :
           allocator.take_reservations(now)) {
        const auto made = account.reserve(from_wire(wanted), time);
        allocator.on_reserved(to_wire(made, "a"), time, now);
      }
      allocator.take_replies();
    }
    CPPUNIT_ASSERT(at_once > asked * 9 / 10);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(permit_allocator_test);

} // namespace
} // namespace heathtrestle::records
