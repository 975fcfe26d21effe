#include "records/partition_circuit_breaker.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::records {
namespace {

class partition_circuit_breaker_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(partition_circuit_breaker_test);
  CPPUNIT_TEST(an_election_does_not_open_it);
  CPPUNIT_TEST(opening_and_closing_are_reported_once);
  CPPUNIT_TEST(the_retry_time_grows_with_the_outage);
  CPPUNIT_TEST(probes_are_rate_limited);
  CPPUNIT_TEST_SUITE_END();

  const timestamp start_ = timestamp_from(10000);
  partition_circuit_breaker breaker_{duration_ms{1500}};

public:
  void an_election_does_not_open_it() {
    CPPUNIT_ASSERT(!breaker_.open_if_overdue({}, start_));
    CPPUNIT_ASSERT(
        !breaker_.open_if_overdue(start_, start_ + duration_ms{1499}));
    CPPUNIT_ASSERT(breaker_.is_served());
    CPPUNIT_ASSERT(!breaker_.start_probe_if_due(start_ + duration_ms{1499}));
  }

  void opening_and_closing_are_reported_once() {
    CPPUNIT_ASSERT(
        breaker_.open_if_overdue(start_, start_ + duration_ms{1500}));
    CPPUNIT_ASSERT(
        !breaker_.open_if_overdue(start_, start_ + duration_ms{1600}));
    CPPUNIT_ASSERT(!breaker_.is_served());
    CPPUNIT_ASSERT(breaker_.on_served());
    CPPUNIT_ASSERT(!breaker_.on_served());
    CPPUNIT_ASSERT(breaker_.is_served());
  }

  void the_retry_time_grows_with_the_outage() {
    breaker_.open_if_overdue(start_, start_ + duration_ms{1500});
    const auto after = [this](int ms) {
      return breaker_.retry_after(start_ + duration_ms{ms}).count();
    };
    CPPUNIT_ASSERT_EQUAL(duration_ms::rep{500}, after(300));
    CPPUNIT_ASSERT_EQUAL(duration_ms::rep{1500}, after(1500));
    CPPUNIT_ASSERT_EQUAL(duration_ms::rep{2000}, after(60000));
  }

  void probes_are_rate_limited() {
    const timestamp opened = start_ + duration_ms{1500};
    breaker_.open_if_overdue(start_, opened);
    CPPUNIT_ASSERT(breaker_.start_probe_if_due(opened));
    CPPUNIT_ASSERT(!breaker_.start_probe_if_due(opened + duration_ms{200}));
    CPPUNIT_ASSERT(breaker_.start_probe_if_due(opened + duration_ms{250}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(partition_circuit_breaker_test);

} // namespace
} // namespace heathtrestle::records
