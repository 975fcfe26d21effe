// Tests the bound of what a gateway holds for its open requests.
#include "forwarding/byte_budget.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::forwarding {
namespace {

constexpr std::size_t limit = 1000;

class byte_budget_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(byte_budget_test);
  CPPUNIT_TEST(the_least_urgent_requests_are_refused_first);
  CPPUNIT_TEST(the_body_counts_before_it_is_read);
  CPPUNIT_TEST(what_runs_may_exceed_the_limit);
  CPPUNIT_TEST(reading_ahead_stays_within_the_limit);
  CPPUNIT_TEST(an_ended_request_returns_its_bytes);
  CPPUNIT_TEST(without_a_limit_everything_is_admitted);
  CPPUNIT_TEST_SUITE_END();

  std::shared_ptr<byte_budget> budget_ = std::make_shared<byte_budget>(limit);

public:
  void the_least_urgent_requests_are_refused_first() {
    byte_budget::booking held(budget_);
    for (const std::uint32_t refused : {4U, 3U, 2U, 1U, 0U}) {
      held.resize(500 + 100 * (4 - refused));
      CPPUNIT_ASSERT(budget_->admits(refused, 0));
      held.grow(1);
      CPPUNIT_ASSERT(!budget_->admits(refused, 0));
      CPPUNIT_ASSERT(refused == 0 || budget_->admits(refused - 1, 0));
    }
    CPPUNIT_ASSERT(budget_->current() == byte_budget::state::full);
    held.resize(600);
    CPPUNIT_ASSERT(budget_->current() == byte_budget::state::tight);
    held.resize(100);
    CPPUNIT_ASSERT(budget_->current() == byte_budget::state::free);
  }

  void the_body_counts_before_it_is_read() {
    CPPUNIT_ASSERT(budget_->admits(0, 900));
    CPPUNIT_ASSERT(!budget_->admits(0, 901));
  }

  void what_runs_may_exceed_the_limit() {
    byte_budget::booking held(budget_);
    held.grow(2 * limit);
    CPPUNIT_ASSERT_EQUAL(2 * limit, budget_->held());
  }

  void reading_ahead_stays_within_the_limit() {
    byte_budget::booking running(budget_);
    byte_budget::booking ahead(budget_);
    running.resize(900);
    CPPUNIT_ASSERT(ahead.try_resize(100));
    CPPUNIT_ASSERT(!ahead.try_resize(101));
    CPPUNIT_ASSERT_EQUAL(limit, budget_->held());
    running.grow(500);
    CPPUNIT_ASSERT(ahead.try_resize(50)); // less is always possible
  }

  void an_ended_request_returns_its_bytes() {
    {
      byte_budget::booking held(budget_);
      held.resize(700);
      const byte_budget::booking moved(std::move(held));
      CPPUNIT_ASSERT_EQUAL(std::size_t{700}, budget_->held());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget_->held());
  }

  void without_a_limit_everything_is_admitted() {
    const auto unlimited = std::make_shared<byte_budget>(0);
    byte_budget::booking held(unlimited);
    CPPUNIT_ASSERT(held.try_resize(std::size_t{1} << 40U));
    CPPUNIT_ASSERT(unlimited->admits(4, 1));
    CPPUNIT_ASSERT(unlimited->current() == byte_budget::state::free);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(byte_budget_test);

} // namespace
} // namespace heathtrestle::forwarding
