#include "records/partition_circuit_breaker.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace heathtrestle::records {
namespace {

class partition_circuit_breaker_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(partition_circuit_breaker_test);
  CPPUNIT_TEST(an_election_is_waited_for);
  CPPUNIT_TEST(a_loss_and_a_return_are_told_once);
  CPPUNIT_TEST(callers_are_sent_away_for_as_long_as_it_has_lasted);
  CPPUNIT_TEST(probes_are_spaced);
  CPPUNIT_TEST_SUITE_END();

  const timestamp start_ = timestamp_from(10000);
  partition_circuit_breaker contact_{duration_ms{1500}};

public:
  void an_election_is_waited_for() {
    CPPUNIT_ASSERT(!contact_.open_if_overdue({}, start_));
    CPPUNIT_ASSERT(
        !contact_.open_if_overdue(start_, start_ + duration_ms{1499}));
    CPPUNIT_ASSERT(contact_.is_served());
    CPPUNIT_ASSERT(!contact_.start_probe_if_due(start_ + duration_ms{1499}));
  }

  void a_loss_and_a_return_are_told_once() {
    CPPUNIT_ASSERT(
        contact_.open_if_overdue(start_, start_ + duration_ms{1500}));
    CPPUNIT_ASSERT(
        !contact_.open_if_overdue(start_, start_ + duration_ms{1600}));
    CPPUNIT_ASSERT(!contact_.is_served());
    CPPUNIT_ASSERT(contact_.on_served());
    CPPUNIT_ASSERT(!contact_.on_served());
    CPPUNIT_ASSERT(contact_.is_served());
  }

  void callers_are_sent_away_for_as_long_as_it_has_lasted() {
    contact_.open_if_overdue(start_, start_ + duration_ms{1500});
    const auto after = [this](int ms) {
      return contact_.retry_after(start_ + duration_ms{ms}).count();
    };
    CPPUNIT_ASSERT_EQUAL(duration_ms::rep{500}, after(300));
    CPPUNIT_ASSERT_EQUAL(duration_ms::rep{1500}, after(1500));
    CPPUNIT_ASSERT_EQUAL(duration_ms::rep{2000}, after(60000));
  }

  void probes_are_spaced() {
    const timestamp lost = start_ + duration_ms{1500};
    contact_.open_if_overdue(start_, lost);
    CPPUNIT_ASSERT(contact_.start_probe_if_due(lost));
    CPPUNIT_ASSERT(!contact_.start_probe_if_due(lost + duration_ms{200}));
    CPPUNIT_ASSERT(contact_.start_probe_if_due(lost + duration_ms{250}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(partition_circuit_breaker_test);

} // namespace
} // namespace heathtrestle::records
